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
use crate::writer::ClaimRequest;
use crate::writer::Event;
use crate::writer::ReadResult;
use crate::writer::Settings;
use crate::writer::ShardState;
use crate::writer::WriteResult;
use crate::writer::shard_state::Operation;
use crate::writer::shard_state::Orphan;
use crate::writer::shard_state::Update;

/// How long a write whose response is no longer awaited may still take effect.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(60);

/// Batches the claims and outcomes of one entry daemon into writes to the store.
///
/// It does no I/O and reads no clock: [`Self::handle`] turns events into actions.
#[derive(Debug)]
pub struct Writer {
    daemon: daemon::Id,
    incarnation: daemon::Incarnation,
    settings: Settings,
    shards: BTreeMap<Number, ShardState>,
    /// Until when calls are refused because the store was unavailable.
    outage_until: Moment,
}

impl Writer {
    /// Builds the writer of one incarnation of a daemon.
    pub const fn new(
        daemon: daemon::Id,
        incarnation: daemon::Incarnation,
        settings: Settings,
    ) -> Self {
        let shards = BTreeMap::new();
        Self { daemon, incarnation, settings, shards, outage_until: Moment::ZERO }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Claim(request) => self.queue_claim(now, request, &mut actions),
            Event::Finish { key, attempt, outcome } => {
                let number = Number::of(&key);
                self.queue_update(now, number, Update::Finish(key, attempt, outcome));
            }
            Event::Release { key, attempt } => {
                let number = Number::of(&key);
                self.queue_update(now, number, Update::Release(key, attempt));
            }
            Event::Read(number, result) => self.read_done(now, number, result, &mut actions),
            Event::Write(number, result) => self.write_done(now, number, result, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// Returns when the next [`Event::Tick`] is needed.
    pub fn next_due(&self) -> Option<Moment> {
        let idle = self.shards.values().filter(|state| matches!(state.operation, Operation::Idle));
        let due = idle.filter_map(|state| state.due);
        let requests = self.shards.values().flat_map(|state| &state.requests);
        due.chain(requests.map(|request| request.answer_by)).min()
    }

    /// Returns whether no call waits and every outcome and release has been written.
    pub fn is_idle(&self) -> bool {
        self.shards.values().all(ShardState::is_idle)
    }

    fn queue_claim(&mut self, now: Now, request: ClaimRequest, actions: &mut Vec<Action>) {
        if now.moment < self.outage_until {
            actions.push(Action::Reply(request.call, Answer::Unavailable));
            return;
        }
        let state = self.shards.entry(Number::of(&request.key)).or_default();
        state.schedule(now.moment + self.settings.claim_linger);
        state.requests.push(request);
    }

    fn queue_update(&mut self, now: Now, number: Number, update: Update) {
        let state = self.shards.entry(number).or_default();
        state.schedule(now.moment + self.settings.outcome_linger);
        state.updates.push(update);
    }

    fn tick(&mut self, now: Now, actions: &mut Vec<Action>) {
        let numbers: Vec<Number> = self.shards.keys().copied().collect();
        for number in numbers {
            self.refuse_expired(now, number, actions);
            let Some(state) = self.shards.get(&number) else {
                continue;
            };
            let is_due = state.due.is_some_and(|due| due <= now.moment);
            if is_due && matches!(state.operation, Operation::Idle) {
                self.start_operation(now, number, actions);
            }
        }
    }

    /// Refuses the calls that waited too long and drops expired orphans.
    fn refuse_expired(&mut self, now: Now, number: Number, actions: &mut Vec<Action>) {
        let Some(state) = self.shards.get_mut(&number) else {
            return;
        };
        let late = state.requests.extract_if(.., |request| request.answer_by <= now.moment);
        let late: Vec<ClaimRequest> = late.collect();
        for request in late {
            refuse(state, request, now, actions);
        }
        state.orphans.retain(|orphan| orphan.until > now.moment);
    }

    /// Starts the next store operation of an idle shard, if one is needed.
    fn start_operation(&mut self, now: Now, number: Number, actions: &mut Vec<Action>) {
        let Some(state) = self.shards.get_mut(&number) else {
            return;
        };
        state.due = None;
        if state.is_idle() && state.orphans.is_empty() {
            return;
        }
        if state.is_idle() && !state.fresh {
            state.cached = None;
        }
        let Some((version, shard)) = &state.cached else {
            state.operation = Operation::Reading;
            actions.push(Action::Read(number));
            return;
        };
        let version = *version;
        let shard = shard.clone();
        let requests = std::mem::take(&mut state.requests);
        let updates = std::mem::take(&mut state.updates);
        let record_of = |request: &ClaimRequest| record(&self.daemon, self.incarnation, request);
        let batch = Batch::build(&shard, requests, updates, &state.orphans, now.wall, record_of);
        if batch.changed {
            let shard = batch.shard.clone();
            state.operation = Operation::Writing(batch);
            state.earliest_write = now.moment + self.settings.write_interval;
            actions.push(Action::Write { number, version, shard });
        } else if batch.is_provisional() && !state.fresh {
            state.requeue(batch);
            state.operation = Operation::Reading;
            actions.push(Action::Read(number));
        } else {
            state.fresh = false;
            state.may_be_written = false;
            reply_all(batch.verdicts, actions);
            self.schedule_next(now, number);
        }
    }

    fn read_done(
        &mut self,
        now: Now,
        number: Number,
        result: ReadResult,
        actions: &mut Vec<Action>,
    ) {
        self.refuse_expired(now, number, actions);
        let Some(state) = self.shards.get_mut(&number) else {
            return;
        };
        state.operation = Operation::Idle;
        match result {
            ReadResult::Found(object) => {
                let (version, shard) = object.map(|(v, s)| (Some(v), s)).unwrap_or_default();
                state.cached = Some((version, shard));
                state.fresh = true;
                self.start_operation(now, number, actions);
            }
            ReadResult::Unavailable => self.handle_outage(now, number, actions),
        }
    }

    fn write_done(
        &mut self,
        now: Now,
        number: Number,
        result: WriteResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.shards.get_mut(&number) else {
            return;
        };
        let Operation::Writing(batch) = std::mem::take(&mut state.operation) else {
            return;
        };
        match result {
            WriteResult::Written(version) => {
                state.cached = Some((Some(version), batch.shard));
                state.fresh = false;
                state.may_be_written = false;
                state.orphans.retain(|orphan| !batch.released.contains(&orphan.attempt));
                reply_all(batch.verdicts, actions);
                self.schedule_next(now, number);
            }
            WriteResult::Conflict => {
                state.cached = None;
                state.requeue(batch);
                self.refuse_expired(now, number, actions);
                self.start_operation(now, number, actions);
            }
            WriteResult::Indeterminate => {
                state.cached = None;
                state.may_be_written = true;
                state.requeue(batch);
                self.refuse_expired(now, number, actions);
                self.start_operation(now, number, actions);
            }
            WriteResult::Unavailable => {
                state.requeue(batch);
                self.handle_outage(now, number, actions);
            }
        }
    }

    /// Schedules the next store operation of a shard when something waits for one.
    fn schedule_next(&mut self, now: Now, number: Number) {
        let Some(state) = self.shards.get_mut(&number) else {
            return;
        };
        if !state.requests.is_empty() {
            state.schedule(now.moment);
        } else if !state.updates.is_empty() {
            state.schedule(now.moment + self.settings.outcome_linger);
        } else if !state.orphans.is_empty() {
            state.schedule(now.moment + self.settings.orphan_check_interval);
        }
    }

    /// Refuses every call that waits for a write of the shard. Its updates and the removal of the
    /// records of its orphans are retried after the outage pause.
    fn handle_outage(&mut self, now: Now, number: Number, actions: &mut Vec<Action>) {
        self.outage_until = now.moment + self.settings.outage_pause;
        let retry_at = self.outage_until;
        let Some(state) = self.shards.get_mut(&number) else {
            return;
        };
        state.cached = None;
        for request in std::mem::take(&mut state.requests) {
            refuse(state, request, now, actions);
        }
        state.may_be_written = false;
        state.due = None;
        if !state.updates.is_empty() || !state.orphans.is_empty() {
            state.schedule(retry_at);
        }
    }
}

/// Refuses a call whose claim was not confirmed by the store.
///
/// Its attempt is never granted. If a write with the claim may have taken effect, the attempt
/// becomes an [`Orphan`], whose record is removed if it appears in the store.
fn refuse(state: &mut ShardState, request: ClaimRequest, now: Now, actions: &mut Vec<Action>) {
    if state.may_be_written {
        let until = now.moment + MAX_WRITE_DELAY;
        state.orphans.push(Orphan { key: request.key, attempt: request.attempt, until });
    }
    actions.push(Action::Reply(request.call, Answer::Unavailable));
}

fn record(daemon: &daemon::Id, incarnation: daemon::Incarnation, request: &ClaimRequest) -> Record {
    Record {
        fingerprint: request.fingerprint,
        attempt: request.attempt,
        daemon: daemon.clone(),
        incarnation,
        until: request.until,
        outcome: None,
    }
}

fn reply_all(verdicts: Vec<(ClaimRequest, Verdict)>, actions: &mut Vec<Action>) {
    for (request, verdict) in verdicts {
        actions.push(Action::Reply(request.call, answer(request, verdict)));
    }
}

fn answer(request: ClaimRequest, verdict: Verdict) -> Answer {
    match verdict {
        Verdict::Added | Verdict::Own => Answer::Granted(Claim::new(
            request.key,
            request.attempt,
            request.start_by,
            request.until,
        )),
        Verdict::Held { until } => Answer::Held { until },
        Verdict::Finished(outcome) => Answer::Finished(outcome),
        Verdict::Unknown => Answer::Unknown,
        Verdict::Reused => Answer::Reused,
        Verdict::Full => Answer::Full,
    }
}
