use kumquattiller_support::fleet::Fleet;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Responses of the store that one fault drops.
const LOST_ANSWERS: u32 = 3;

/// A fault and the index of the process that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An entry daemon is killed.
    KillEntry(usize),
    /// An entry daemon is frozen.
    FreezeEntry(usize),
    /// An entry daemon is asked to stop.
    StopEntry(usize),
    /// A runner process is killed.
    KillRunner(usize),
    /// A runner process is frozen.
    FreezeRunner(usize),
    /// A runner process is asked to stop.
    StopRunner(usize),
    /// An engine is killed.
    KillEngine(usize),
    /// The open links to a runner are cut.
    CutLink(usize),
    /// The links to a runner are cut and new ones are refused.
    CloseLink(usize),
    /// The platform has an outage.
    Outage,
    /// Responses of the store are lost.
    LoseAnswers,
}

/// A process of one of the two programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Process {
    Entry(usize),
    Runner(usize),
}

impl Fault {
    /// Draws two faults that do not affect the same process.
    pub fn draw_pair(rng: &mut ChaCha8Rng) -> [Self; 2] {
        let first = Self::draw(rng);
        loop {
            let second = Self::draw(rng);
            if first.process().is_none() || first.process() != second.process() {
                return [first, second];
            }
        }
    }

    /// Returns the affected process, or `None` when the fault affects no process of the programs.
    const fn process(self) -> Option<Process> {
        match self {
            Self::KillEntry(index) | Self::FreezeEntry(index) | Self::StopEntry(index) => {
                Some(Process::Entry(index))
            }
            Self::KillRunner(index) | Self::FreezeRunner(index) | Self::StopRunner(index) => {
                Some(Process::Runner(index))
            }
            _ => None,
        }
    }

    /// Draws a fault.
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        let entry = rng.random_range(0..2);
        let engine = rng.random_range(0..3);
        let runner = rng.random_range(0..4);
        match rng.random_range(0..11) {
            0 => Self::KillEntry(entry),
            1 => Self::FreezeEntry(entry),
            2 => Self::StopEntry(entry),
            3 => Self::KillRunner(runner),
            4 => Self::FreezeRunner(runner),
            5 => Self::StopRunner(runner),
            6 => Self::KillEngine(engine),
            7 => Self::CutLink(runner),
            8 => Self::CloseLink(runner),
            9 => Self::Outage,
            _ => Self::LoseAnswers,
        }
    }

    /// Injects the fault.
    pub async fn inject(self, fleet: &mut Fleet) {
        match self {
            Self::KillEntry(index) => fleet.entries[index].program.kill().await,
            Self::FreezeEntry(index) => fleet.entries[index].program.freeze(),
            Self::StopEntry(index) => fleet.entries[index].program.terminate(),
            Self::KillRunner(index) => fleet.runners[index].program.kill().await,
            Self::FreezeRunner(index) => fleet.runners[index].program.freeze(),
            Self::StopRunner(index) => fleet.runners[index].program.terminate(),
            Self::KillEngine(index) => fleet.engine(index).kill(),
            Self::CutLink(index) => fleet.runners[index].relay.cut(),
            Self::CloseLink(index) => fleet.runners[index].relay.close(),
            Self::Outage => fleet.platform.set_outage(true),
            Self::LoseAnswers => fleet.platform.lose_answers(LOST_ANSWERS),
        }
    }

    /// Ends the fault: restarts what was killed or stopped and resumes what was frozen.
    pub async fn repair(self, fleet: &mut Fleet) {
        let binaries = fleet.binaries.clone();
        match self {
            Self::KillEntry(index) => fleet.entries[index].restart(&binaries),
            Self::FreezeEntry(index) => fleet.entries[index].program.thaw(),
            Self::StopEntry(index) => {
                fleet.entries[index].stopped().await;
                fleet.entries[index].restart(&binaries);
            }
            Self::KillRunner(index) => fleet.runners[index].restart(&binaries),
            Self::FreezeRunner(index) => fleet.runners[index].program.thaw(),
            Self::StopRunner(index) => {
                fleet.runners[index].stopped().await;
                fleet.runners[index].restart(&binaries);
            }
            Self::KillEngine(index) => fleet.engine(index).restart(),
            Self::CloseLink(index) => fleet.runners[index].relay.open(),
            Self::Outage => fleet.platform.set_outage(false),
            Self::CutLink(_) | Self::LoseAnswers => {}
        }
    }
}
