//! Prompts that are larger than an engine and are computed by several engines.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use kumquattiller_base::size::Tokens;
use kumquattiller_routing::admission::Item;
use kumquattiller_routing::admission::Verdict;
use kumquattiller_routing::long::Action;
use kumquattiller_routing::long::Event as Change;
use kumquattiller_routing::long::Part;
use kumquattiller_routing::long::Reservation;

use crate::engine::Task;
use crate::world::Outcome;
use crate::world::World;
use crate::world::event::Event;
use crate::world::runners::request_id;

/// Reservations in progress, by job.
pub(super) type Reservations = BTreeMap<usize, Progress>;

/// Progress of a prompt that several engines compute.
#[derive(Debug)]
pub(super) struct Progress {
    reservation: Reservation,
    /// Reserved memory, with the index of the runner that holds it.
    reserved: Vec<(usize, Tokens)>,
    /// Index of the segment that is being computed.
    segment: usize,
}

impl World {
    /// Returns whether the request does not fit on one engine.
    pub(super) fn needs_several_engines(&self, job: usize) -> bool {
        let limits = self.backends[0].gate.limits();
        let capacity = limits.capacity.saturating_sub(limits.short_reserve);
        self.policy.has_gate() && self.jobs[job].footprint() > capacity
    }

    /// Starts to reserve engines, or refuses a prompt that does not fit into any zone.
    pub(super) fn begin_reservation(&mut self, job: usize) {
        let work = &self.jobs[job];
        let limits = self.backends[0].gate.limits();
        let prefill_time = limits.pace.prefill_time(work.prompt) * 2;
        let decode_time = limits.busy_step * work.max_answer.get() as u32;
        let start_by = work.deadline - prefill_time - decode_time;
        let entry = &self.entries[self.entry_index(job)];
        let long_engines = entry.router.division(&entry.table).long_engines;
        let started =
            Reservation::begin(&entry.table, work.footprint(), long_engines, start_by, self.now);
        let Ok((reservation, actions)) = started else {
            self.finish(job, Outcome::Refused);
            return;
        };
        let progress = Progress { reservation, reserved: Vec::new(), segment: 0 };
        self.reservations.insert(job, progress);
        self.apply_reservation_actions(job, actions);
    }

    /// Passes an event to the reservation of a job and applies the resulting actions.
    fn update_reservation(&mut self, job: usize, change: Change) {
        let daemon = self.entry_index(job);
        let Some(progress) = self.reservations.get_mut(&job) else {
            return;
        };
        let entry = &mut self.entries[daemon];
        let actions = progress.reservation.handle(change, &entry.table, self.now, &mut entry.rng);
        self.apply_reservation_actions(job, actions);
    }

    fn apply_reservation_actions(&mut self, job: usize, actions: Vec<Action>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Reserve(part) => self.reserve_part(job, &part),
                Action::Release(runner) => self.release_part(job, self.backend_index(&runner)),
                Action::Ready(_) => self.begin_segment(job),
                Action::Wake(at) => self.schedule(at, Event::Reserve { job }),
                Action::Fail { .. } => {
                    self.reservations.remove(&job);
                    self.finish(job, Outcome::Refused);
                }
            }
        }
    }

    /// Continues after a timeout, a pause or a handover between engines.
    pub(super) fn advance_reservation(&mut self, job: usize) {
        let is_between_segments =
            self.reservations.get(&job).is_some_and(|p| p.reservation.is_granted());
        if is_between_segments && self.states[job].runner.is_none() {
            self.begin_segment(job);
        } else {
            self.update_reservation(job, Change::Tick);
        }
    }

    fn reserve_part(&mut self, job: usize, part: &Part) {
        let runner = self.backend_index(&part.runner);
        if !self.backends[runner].is_alive {
            self.update_reservation(job, Change::Lost(part.runner.clone()));
            return;
        }
        let item = Item {
            request: request_id(job),
            prompt: part.tokens,
            max_response: Tokens::ZERO,
            rank: Default::default(),
            deadline: self.jobs[job].deadline,
            is_reservation: true,
        };
        match self.backends[runner].gate.arrive(item, self.now) {
            Verdict::Admit { .. } => {
                self.record_grant(job, runner);
            }
            Verdict::Hold => {}
            Verdict::Refuse(_) => {
                self.update_reservation(job, Change::Refused(part.runner.clone()))
            }
        }
    }

    /// Reserves the memory of a granted part; returns false when the job has no reservation.
    pub(super) fn record_grant(&mut self, job: usize, runner: usize) -> bool {
        let runner_id = self.backends[runner].id.clone();
        let Some(progress) = self.reservations.get_mut(&job) else {
            return false;
        };
        let part = progress.reservation.parts().iter().find(|p| p.runner == runner_id);
        let tokens = part.map_or(Tokens::ZERO, |p| p.tokens);
        progress.reserved.push((runner, tokens));
        self.backends[runner].engine.reserve(tokens);
        self.update_reservation(job, Change::Granted(runner_id));
        true
    }

    /// Passes a delayed refusal to the reservation; returns false when the job has none.
    pub(super) fn record_refusal(&mut self, job: usize, runner: usize) -> bool {
        let is_long = self.reservations.contains_key(&job);
        self.update_reservation(job, Change::Refused(self.backends[runner].id.clone()));
        is_long
    }

    /// Releases everything that is still reserved for a job.
    pub(super) fn release_reservation(&mut self, job: usize) {
        self.update_reservation(job, Change::Finished);
        self.reservations.remove(&job);
    }

    /// Forgets the memory that was reserved on a crashed engine.
    pub(super) fn forget_reserved_memory(&mut self, runner: usize) {
        for progress in self.reservations.values_mut() {
            progress.reserved.retain(|(r, _)| *r != runner);
        }
    }

    /// Reports the loss of a runner to all reservations.
    pub(super) fn report_crash(&mut self, runner: usize) {
        let jobs: Vec<usize> = self.reservations.keys().copied().collect();
        for job in jobs {
            self.update_reservation(job, Change::Lost(self.backends[runner].id.clone()));
        }
    }

    fn release_part(&mut self, job: usize, runner: usize) {
        let Some(progress) = self.reservations.get_mut(&job) else {
            return;
        };
        if self.states[job].runner == Some(runner) {
            self.backends[runner].engine.cancel(job);
            self.states[job].runner = None;
        }
        progress.segment = 0;
        let position = progress.reserved.iter().position(|(r, _)| *r == runner);
        if let Some(position) = position {
            let (_, tokens) = progress.reserved.remove(position);
            self.backends[runner].engine.release(tokens);
        }
        let actions = self.backends[runner].gate.finished(request_id(job), self.now);
        self.apply_gate_actions(runner, actions);
        self.start_step(runner);
    }

    /// Starts the next segment on its engine; the last segment also generates the answer.
    fn begin_segment(&mut self, job: usize) {
        let progress = &self.reservations[&job];
        let (segment, parts) = (progress.segment, progress.reservation.parts());
        let runner = self.backend_index(&parts[segment].runner);
        let is_last = segment + 1 == parts.len();
        let work = &self.jobs[job];
        let task = Task {
            job,
            priority: work.band().priority(),
            prompt: segment_tokens(work.prompt, parts, segment),
            answer: if is_last { work.answer } else { Tokens::new(1) },
            footprint: Tokens::ZERO,
            session: u64::MAX,
            prefix: Tokens::ZERO,
        };
        self.states[job].runner = Some(runner);
        self.backends[runner].engine.start(task);
        self.start_step(runner);
    }

    /// Returns whether the job has a reservation and its current segment is not the last.
    pub(super) fn is_segment(&self, job: usize) -> bool {
        let is_last = |p: &Progress| p.segment + 1 == p.reservation.parts().len();
        self.reservations.get(&job).is_some_and(|progress| !is_last(progress))
    }

    /// Starts the transfer of KV from a completed segment to the engine of the next one.
    pub(super) fn end_segment(&mut self, job: usize) {
        if let Some(progress) = self.reservations.get_mut(&job) {
            progress.segment += 1;
            self.states[job].runner = None;
            self.schedule(self.now + self.model.handover, Event::Reserve { job });
        }
    }

    fn backend_index(&self, runner: &kumquattiller_base::runner::Id) -> usize {
        self.backends.iter().position(|s| s.id == *runner).expect("a known id")
    }
}

/// Returns the number of prompt tokens in a segment; the last segment has the remaining ones.
fn segment_tokens(prompt: Tokens, parts: &[Part], segment: usize) -> Tokens {
    let before = parts[..segment].iter().fold(Tokens::ZERO, |s, p| s.saturating_add(p.tokens));
    let left = prompt.saturating_sub(before).max(Tokens::new(1));
    if segment + 1 == parts.len() { left } else { left.min(parts[segment].tokens) }
}
