use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::time::Moment;

use crate::Claim;
use crate::Now;
use crate::Record;
use crate::shard::Number;
use crate::shard::Verdict;
use crate::writer::Action;
use crate::writer::Answer;
use crate::writer::Batch;
use crate::writer::Event;
use crate::writer::Lane;
use crate::writer::ReadResult;
use crate::writer::Settings;
use crate::writer::Want;
use crate::writer::WriteResult;
use crate::writer::lane::Busy;
use crate::writer::lane::Note;
use crate::writer::lane::Orphan;

/// How long a write that was given up may still take effect.
const LATE_WRITE: Duration = Duration::from_secs(60);

/// Writes the claims of one entry daemon.
#[derive(Debug)]
pub struct Writer {
    daemon: daemon::Id,
    incarnation: daemon::Incarnation,
    settings: Settings,
    lanes: BTreeMap<Number, Lane>,
    /// Until when the store is taken to be unavailable.
    outage_until: Moment,
}

impl Writer {
    /// Builds the writer of one start of a daemon.
    pub const fn new(
        daemon: daemon::Id,
        incarnation: daemon::Incarnation,
        settings: Settings,
    ) -> Self {
        let lanes = BTreeMap::new();
        Self { daemon, incarnation, settings, lanes, outage_until: Moment::ZERO }
    }

    /// Handles an event and returns what to do.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Want(want) => self.want(now, want, &mut actions),
            Event::Finish { key, attempt, outcome } => {
                let number = Number::of(&key);
                self.note(now, number, Note::Finish(key, attempt, outcome));
            }
            Event::Release { key, attempt } => {
                let number = Number::of(&key);
                self.note(now, number, Note::Release(key, attempt));
            }
            Event::Read(number, result) => self.read_done(now, number, result, &mut actions),
            Event::Write(number, result) => self.write_done(now, number, result, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// Returns when the next [`Event::Tick`] is needed.
    pub fn next_due(&self) -> Option<Moment> {
        let idle = self.lanes.values().filter(|lane| matches!(lane.busy, Busy::Idle));
        let due = idle.filter_map(|lane| lane.due);
        let wants = self.lanes.values().flat_map(|lane| &lane.wants);
        due.chain(wants.map(|want| want.answer_by)).min()
    }

    /// Tells whether every outcome is in the store.
    pub fn is_idle(&self) -> bool {
        self.lanes.values().all(Lane::is_settled)
    }

    fn want(&mut self, now: Now, want: Want, actions: &mut Vec<Action>) {
        if now.moment < self.outage_until {
            actions.push(Action::Reply(want.call, Answer::Unavailable));
            return;
        }
        let lane = self.lanes.entry(Number::of(&want.key)).or_default();
        lane.due_by(now.moment + self.settings.claim_linger);
        lane.wants.push(want);
    }

    fn note(&mut self, now: Now, number: Number, note: Note) {
        let lane = self.lanes.entry(number).or_default();
        lane.due_by(now.moment + self.settings.outcome_linger);
        lane.notes.push(note);
    }

    fn tick(&mut self, now: Now, actions: &mut Vec<Action>) {
        let due: Vec<Number> = self.lanes.keys().copied().collect();
        for number in due {
            self.give_up_late(now, number, actions);
            let Some(lane) = self.lanes.get(&number) else {
                continue;
            };
            let is_due = lane.due.is_some_and(|due| due <= now.moment);
            if is_due && matches!(lane.busy, Busy::Idle) {
                self.advance(now, number, actions);
            }
        }
    }

    /// Refuses the calls that waited too long and forgets old orphans.
    fn give_up_late(&mut self, now: Now, number: Number, actions: &mut Vec<Action>) {
        let Some(lane) = self.lanes.get_mut(&number) else {
            return;
        };
        let late = lane.wants.extract_if(.., |want| want.answer_by <= now.moment);
        let late: Vec<Want> = late.collect();
        for want in late {
            refuse(lane, want, now, actions);
        }
        lane.orphans.retain(|orphan| orphan.until > now.moment);
    }

    /// Starts the next call to the store for an idle lane, if one is needed.
    fn advance(&mut self, now: Now, number: Number, actions: &mut Vec<Action>) {
        let Some(lane) = self.lanes.get_mut(&number) else {
            return;
        };
        lane.due = None;
        if lane.is_settled() && lane.orphans.is_empty() {
            return;
        }
        if lane.is_settled() && !lane.fresh {
            lane.known = None;
        }
        let Some((version, shard)) = &lane.known else {
            lane.busy = Busy::Reading;
            actions.push(Action::Read(number));
            return;
        };
        let version = *version;
        let shard = shard.clone();
        let wants = std::mem::take(&mut lane.wants);
        let notes = std::mem::take(&mut lane.notes);
        let record_of = |want: &Want| record(&self.daemon, self.incarnation, want);
        let batch = Batch::fold(&shard, wants, notes, &lane.orphans, now.wall, record_of);
        if batch.changed {
            let shard = batch.shard.clone();
            lane.busy = Busy::Writing(batch);
            actions.push(Action::Write { number, version, shard });
        } else if batch.is_provisional() && !lane.fresh {
            lane.put_back(batch);
            lane.busy = Busy::Reading;
            actions.push(Action::Read(number));
        } else {
            lane.fresh = false;
            lane.uncertain = false;
            reply_all(batch.decided, actions);
            self.due_again(now, number);
        }
    }

    fn read_done(
        &mut self,
        now: Now,
        number: Number,
        result: ReadResult,
        actions: &mut Vec<Action>,
    ) {
        self.give_up_late(now, number, actions);
        let Some(lane) = self.lanes.get_mut(&number) else {
            return;
        };
        lane.busy = Busy::Idle;
        match result {
            ReadResult::Found(object) => {
                let (version, shard) = object.map(|(v, s)| (Some(v), s)).unwrap_or_default();
                lane.known = Some((version, shard));
                lane.fresh = true;
                self.advance(now, number, actions);
            }
            ReadResult::Unavailable => self.outage(now, number, actions),
        }
    }

    fn write_done(
        &mut self,
        now: Now,
        number: Number,
        result: WriteResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(lane) = self.lanes.get_mut(&number) else {
            return;
        };
        let Busy::Writing(batch) = std::mem::take(&mut lane.busy) else {
            return;
        };
        match result {
            WriteResult::Written(version) => {
                lane.known = Some((Some(version), batch.shard));
                lane.fresh = false;
                lane.uncertain = false;
                lane.orphans.retain(|orphan| !batch.released.contains(&orphan.attempt));
                reply_all(batch.decided, actions);
                self.due_again(now, number);
            }
            WriteResult::Conflict => {
                lane.known = None;
                lane.put_back(batch);
                self.give_up_late(now, number, actions);
                self.advance(now, number, actions);
            }
            WriteResult::Lost => {
                lane.known = None;
                lane.uncertain = true;
                lane.put_back(batch);
                self.give_up_late(now, number, actions);
                self.advance(now, number, actions);
            }
            WriteResult::Unavailable => {
                lane.put_back(batch);
                self.outage(now, number, actions);
            }
        }
    }

    /// Makes the next write of a lane due when something waits.
    fn due_again(&mut self, now: Now, number: Number) {
        let Some(lane) = self.lanes.get_mut(&number) else {
            return;
        };
        if !lane.wants.is_empty() {
            lane.due_by(now.moment);
        } else if !lane.notes.is_empty() {
            lane.due_by(now.moment + self.settings.outcome_linger);
        } else if !lane.orphans.is_empty() {
            lane.due_by(now.moment + self.settings.orphan_check);
        }
    }

    /// Refuses every waiting call of the lane and tries the notes again later.
    fn outage(&mut self, now: Now, number: Number, actions: &mut Vec<Action>) {
        self.outage_until = now.moment + self.settings.outage_pause;
        let retry_at = self.outage_until;
        let Some(lane) = self.lanes.get_mut(&number) else {
            return;
        };
        lane.known = None;
        for want in std::mem::take(&mut lane.wants) {
            refuse(lane, want, now, actions);
        }
        lane.uncertain = false;
        lane.due = None;
        if !lane.notes.is_empty() || !lane.orphans.is_empty() {
            lane.due_by(retry_at);
        }
    }
}

/// Answers a call that the store did not decide; its attempt is never granted.
fn refuse(lane: &mut Lane, want: Want, now: Now, actions: &mut Vec<Action>) {
    if lane.uncertain {
        let until = now.moment + LATE_WRITE;
        lane.orphans.push(Orphan { key: want.key, attempt: want.attempt, until });
    }
    actions.push(Action::Reply(want.call, Answer::Unavailable));
}

fn record(daemon: &daemon::Id, incarnation: daemon::Incarnation, want: &Want) -> Record {
    Record {
        fingerprint: want.fingerprint,
        attempt: want.attempt,
        daemon: daemon.clone(),
        incarnation,
        until: want.until,
        outcome: None,
    }
}

fn reply_all(decided: Vec<(Want, Verdict)>, actions: &mut Vec<Action>) {
    for (want, verdict) in decided {
        actions.push(Action::Reply(want.call, answer(want, verdict)));
    }
}

fn answer(want: Want, verdict: Verdict) -> Answer {
    match verdict {
        Verdict::Added | Verdict::Own => {
            Answer::Granted(Claim::new(want.key, want.attempt, want.start_by, want.until))
        }
        Verdict::Held { until } => Answer::Held { until },
        Verdict::Finished(outcome) => Answer::Finished(outcome),
        Verdict::Unknown => Answer::Unknown,
        Verdict::Reused => Answer::Reused,
        Verdict::Full => Answer::Full,
    }
}
