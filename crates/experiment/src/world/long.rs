//! Prompts larger than an engine in a run.

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
use crate::world::Result;
use crate::world::World;
use crate::world::event::Event;
use crate::world::runners::id;

/// Reservations in progress, by job.
pub(super) type Book = BTreeMap<usize, Progress>;

/// A prompt that several engines compute.
#[derive(Debug)]
pub(super) struct Progress {
    reservation: Reservation,
    /// Memory taken on engines.
    taken: Vec<(usize, Tokens)>,
    /// The segment in work.
    segment: usize,
}

impl World {
    /// Tells whether no engine holds the request.
    pub(super) fn is_larger_than_an_engine(&self, job: usize) -> bool {
        let limits = self.sites[0].gate.limits();
        let room = limits.capacity.saturating_sub(limits.short_reserve);
        self.policy.has_gate() && self.jobs[job].footprint() > room
    }

    /// Begins to reserve engines, or refuses a prompt that no zone holds.
    pub(super) fn begin_long(&mut self, job: usize) {
        let work = &self.jobs[job];
        let limits = self.sites[0].gate.limits();
        let busy = limits.pace.prefill_time(work.prompt) * 2;
        let decode = limits.busy_step * work.max_answer.get() as u32;
        let start_by = work.deadline - busy - decode;
        let entry = &self.entries[self.daemon(job)];
        let aside = entry.router.division(&entry.table).long_engines;
        let begun = Reservation::begin(&entry.table, work.footprint(), aside, start_by, self.now);
        let Ok((reservation, actions)) = begun else {
            self.finish(job, Result::Refused);
            return;
        };
        let progress = Progress { reservation, taken: Vec::new(), segment: 0 };
        self.long.insert(job, progress);
        self.carry_out(job, actions);
    }

    /// Gives an event to a job's reservation and carries out what it decides.
    fn change_long(&mut self, job: usize, change: Change) {
        let daemon = self.daemon(job);
        let Some(progress) = self.long.get_mut(&job) else {
            return;
        };
        let entry = &mut self.entries[daemon];
        let actions = progress.reservation.handle(change, &entry.table, self.now, &mut entry.rng);
        self.carry_out(job, actions);
    }

    fn carry_out(&mut self, job: usize, actions: Vec<Action>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Reserve(part) => self.reserve(job, &part),
                Action::Release(runner) => self.release_part(job, self.site(&runner)),
                Action::Ready(_) => self.begin_segment(job),
                Action::Wake(at) => self.schedule(at, Event::Reserve { job }),
                Action::Fail { .. } => {
                    self.long.remove(&job);
                    self.finish(job, Result::Refused);
                }
            }
        }
    }

    /// Goes on after a time limit, a pause or a handover.
    pub(super) fn advance_long(&mut self, job: usize) {
        let is_between_segments = self.long.get(&job).is_some_and(|p| p.reservation.is_granted());
        if is_between_segments && self.states[job].runner.is_none() {
            self.begin_segment(job);
        } else {
            self.change_long(job, Change::Tick);
        }
    }

    fn reserve(&mut self, job: usize, part: &Part) {
        let runner = self.site(&part.runner);
        if !self.sites[runner].is_alive {
            self.change_long(job, Change::Lost(part.runner.clone()));
            return;
        }
        let item = Item {
            request: id(job),
            prompt: part.tokens,
            max_response: Tokens::ZERO,
            rank: Default::default(),
            deadline: self.jobs[job].deadline,
            is_reservation: true,
        };
        match self.sites[runner].gate.arrive(item, self.now) {
            Verdict::Admit { .. } => {
                self.granted_long(job, runner);
            }
            Verdict::Hold => {}
            Verdict::Refuse(_) => self.change_long(job, Change::Refused(part.runner.clone())),
        }
    }

    /// Takes a granted part's memory; tells whether the job has a reservation.
    pub(super) fn granted_long(&mut self, job: usize, runner: usize) -> bool {
        let runner_id = self.sites[runner].id.clone();
        let Some(progress) = self.long.get_mut(&job) else {
            return false;
        };
        let part = progress.reservation.parts().iter().find(|p| p.runner == runner_id);
        let tokens = part.map_or(Tokens::ZERO, |p| p.tokens);
        progress.taken.push((runner, tokens));
        self.sites[runner].engine.reserve(tokens);
        self.change_long(job, Change::Granted(runner_id));
        true
    }

    /// Passes a late refusal on; tells whether the job has a reservation.
    pub(super) fn refused_long(&mut self, job: usize, runner: usize) -> bool {
        let is_long = self.long.contains_key(&job);
        self.change_long(job, Change::Refused(self.sites[runner].id.clone()));
        is_long
    }

    /// Releases everything that a job still has reserved.
    pub(super) fn release_long(&mut self, job: usize) {
        self.change_long(job, Change::Finished);
        self.long.remove(&job);
    }

    /// Forgets the memory of an engine that died.
    pub(super) fn forget_taken(&mut self, runner: usize) {
        for progress in self.long.values_mut() {
            progress.taken.retain(|(r, _)| *r != runner);
        }
    }

    /// Tells reservations that a runner is lost.
    pub(super) fn died_long(&mut self, runner: usize) {
        let jobs: Vec<usize> = self.long.keys().copied().collect();
        for job in jobs {
            self.change_long(job, Change::Lost(self.sites[runner].id.clone()));
        }
    }

    fn release_part(&mut self, job: usize, runner: usize) {
        let Some(progress) = self.long.get_mut(&job) else {
            return;
        };
        if self.states[job].runner == Some(runner) {
            self.sites[runner].engine.cancel(job);
            self.states[job].runner = None;
        }
        progress.segment = 0;
        let place = progress.taken.iter().position(|(r, _)| *r == runner);
        if let Some(place) = place {
            let (_, tokens) = progress.taken.remove(place);
            self.sites[runner].engine.release(tokens);
        }
        let actions = self.sites[runner].gate.finished(id(job), self.now);
        self.apply(runner, actions);
        self.kick(runner);
    }

    /// Computes the next segment on its engine; the last one generates the answer too.
    fn begin_segment(&mut self, job: usize) {
        let progress = &self.long[&job];
        let (segment, parts) = (progress.segment, progress.reservation.parts());
        let runner = self.site(&parts[segment].runner);
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
        self.sites[runner].engine.start(task);
        self.kick(runner);
    }

    /// Tells whether the engine computed only a segment of the job's prompt.
    pub(super) fn is_segment(&self, job: usize) -> bool {
        let is_last = |p: &Progress| p.segment + 1 == p.reservation.parts().len();
        self.long.get(&job).is_some_and(|progress| !is_last(progress))
    }

    /// Passes the KV of a segment on to the next engine.
    pub(super) fn end_segment(&mut self, job: usize) {
        if let Some(progress) = self.long.get_mut(&job) {
            progress.segment += 1;
            self.states[job].runner = None;
            self.schedule(self.now + self.model.handover, Event::Reserve { job });
        }
    }

    fn site(&self, runner: &kumquattiller_base::runner::Id) -> usize {
        self.sites.iter().position(|s| s.id == *runner).expect("a known id")
    }
}

/// Returns the prompt tokens of a segment; the last one has what the others leave.
fn segment_tokens(prompt: Tokens, parts: &[Part], segment: usize) -> Tokens {
    let before = parts[..segment].iter().fold(Tokens::ZERO, |s, p| s.saturating_add(p.tokens));
    let left = prompt.saturating_sub(before).max(Tokens::new(1));
    if segment + 1 == parts.len() { left } else { left.min(parts[segment].tokens) }
}
