use std::collections::BTreeMap;

use kumquattiller_claims::Event;
use kumquattiller_claims::ReadResult;
use kumquattiller_claims::Shard;
use kumquattiller_claims::WriteResult;
use kumquattiller_claims::shard::Number;

/// A fault of a store operation.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// No fault.
    None,
    /// The operation takes effect, but its response is lost.
    ResponseLost,
    /// The caller times out; the operation takes effect later.
    Late,
    /// The store refuses the operation.
    Refused,
}

/// A store operation in flight.
#[derive(Debug)]
pub struct Operation {
    pub node: usize,
    pub incarnation: u64,
    /// Whether the caller has timed out and gets no response.
    pub timed_out: bool,
    number: Number,
    write: Option<(Option<u64>, Shard)>,
}

impl Operation {
    pub const fn read(node: usize, incarnation: u64, number: Number) -> Self {
        Self { node, incarnation, timed_out: false, number, write: None }
    }

    pub const fn write(
        node: usize,
        incarnation: u64,
        number: Number,
        version: Option<u64>,
        shard: Shard,
    ) -> Self {
        Self { node, incarnation, timed_out: false, number, write: Some((version, shard)) }
    }
}

/// A model of the platform's store.
pub struct Store {
    objects: BTreeMap<Number, (u64, Shard)>,
    version: u64,
    pub unavailable: bool,
    /// Whether every write takes effect, whatever version it expects.
    ignores_versions: bool,
}

impl Store {
    pub const fn new(ignores_versions: bool) -> Self {
        Self { objects: BTreeMap::new(), version: 0, unavailable: false, ignores_versions }
    }

    /// Executes an operation; one with [`Fault::Late`] is only marked, and executed in a later call.
    pub fn execute(&mut self, operation: &mut Operation, fault: Fault) -> Event {
        let number = operation.number;
        let lost = matches!(fault, Fault::ResponseLost | Fault::Late);
        if matches!(fault, Fault::Late) {
            operation.timed_out = true;
        }
        let refused = self.unavailable || matches!(fault, Fault::Refused);
        let Some((version, shard)) = &operation.write else {
            let found = ReadResult::Found(self.objects.get(&number).cloned());
            let result = if lost || refused { ReadResult::Unavailable } else { found };
            return Event::Read(number, result);
        };
        if matches!(fault, Fault::Late) {
            return Event::Write(number, WriteResult::Indeterminate);
        }
        if refused {
            return Event::Write(number, WriteResult::Unavailable);
        }
        let result = self.write(number, *version, shard.clone());
        Event::Write(number, if lost { WriteResult::Indeterminate } else { result })
    }

    fn write(&mut self, number: Number, version: Option<u64>, shard: Shard) -> WriteResult {
        let current = self.objects.get(&number).map(|object| object.0);
        if current != version && !self.ignores_versions {
            return WriteResult::Conflict;
        }
        self.version += 1;
        self.objects.insert(number, (self.version, shard));
        WriteResult::Written(self.version)
    }
}
