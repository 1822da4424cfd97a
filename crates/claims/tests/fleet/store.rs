use std::collections::BTreeMap;

use kumquattiller_claims::Event;
use kumquattiller_claims::ReadResult;
use kumquattiller_claims::Shard;
use kumquattiller_claims::WriteResult;
use kumquattiller_claims::shard::Number;

/// What goes wrong with a call to the store.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// Nothing.
    None,
    /// The call takes effect, its answer is lost.
    AnswerLost,
    /// The caller gives up; the call takes effect later.
    Late,
    /// The store refuses the call.
    Refused,
}

/// A call on its way to the store.
#[derive(Debug)]
pub struct Operation {
    pub node: usize,
    pub incarnation: u64,
    /// Nobody waits for the answer any more.
    pub silent: bool,
    number: Number,
    write: Option<(Option<u64>, Shard)>,
}

impl Operation {
    pub const fn read(node: usize, incarnation: u64, number: Number) -> Self {
        Self { node, incarnation, silent: false, number, write: None }
    }

    pub const fn write(
        node: usize,
        incarnation: u64,
        number: Number,
        version: Option<u64>,
        shard: Shard,
    ) -> Self {
        Self { node, incarnation, silent: false, number, write: Some((version, shard)) }
    }
}

/// The platform's store.
pub struct Store {
    objects: BTreeMap<Number, (u64, Shard)>,
    version: u64,
    pub out: bool,
    /// Takes every write whatever version it asks for.
    blind: bool,
}

impl Store {
    pub const fn new(blind: bool) -> Self {
        Self { objects: BTreeMap::new(), version: 0, out: false, blind }
    }

    /// Answers an operation; one that is late stays, marked as silent.
    pub fn answer(&mut self, operation: &mut Operation, fault: Fault) -> Event {
        let number = operation.number;
        let lost = matches!(fault, Fault::AnswerLost | Fault::Late);
        if matches!(fault, Fault::Late) {
            operation.silent = true;
        }
        let refused = self.out || matches!(fault, Fault::Refused);
        let Some((version, shard)) = &operation.write else {
            let found = ReadResult::Found(self.objects.get(&number).cloned());
            let result = if lost || refused { ReadResult::Unavailable } else { found };
            return Event::Read(number, result);
        };
        if matches!(fault, Fault::Late) {
            return Event::Write(number, WriteResult::Lost);
        }
        if refused {
            return Event::Write(number, WriteResult::Unavailable);
        }
        let result = self.write(number, *version, shard.clone());
        Event::Write(number, if lost { WriteResult::Lost } else { result })
    }

    fn write(&mut self, number: Number, version: Option<u64>, shard: Shard) -> WriteResult {
        let standing = self.objects.get(&number).map(|object| object.0);
        if standing != version && !self.blind {
            return WriteResult::Conflict;
        }
        self.version += 1;
        self.objects.insert(number, (self.version, shard));
        WriteResult::Written(self.version)
    }
}
