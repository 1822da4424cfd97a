//! Simulation of runner processes and engines.

use std::rc::Rc;
use std::time::Duration;

use kumquattiller_base::request::Id;
use kumquattiller_routing::admission::Action;
use kumquattiller_routing::admission::Item;
use kumquattiller_routing::admission::Verdict;
use rand::RngExt;

use crate::engine::Task;
use crate::workload;
use crate::world::Outcome;
use crate::world::World;
use crate::world::event::Event;

/// Time that a crashed engine takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(20);

impl World {
    /// Offers an attempt to a runner process.
    pub(super) fn offer(&mut self, job: usize, runner: usize, attempt: u32) {
        if self.states[job].outcome.is_some() || self.states[job].attempt != attempt {
            return;
        }
        if !self.backends[runner].is_alive {
            self.states[job].losses += 1;
            self.schedule_return(job, runner);
            return;
        }
        if !self.policy.has_gate() {
            self.start_request(job, runner, 0);
            return;
        }
        let admission_item = self.admission_item(job);
        match self.backends[runner].gate.arrive(admission_item, self.now) {
            Verdict::Admit { priority } => self.start_request(job, runner, priority),
            Verdict::Hold => {}
            Verdict::Refuse(_) => {
                self.states[job].refusals += 1;
                self.schedule_return(job, runner);
            }
        }
    }

    /// Returns the item that represents a request at the gate.
    pub(super) fn admission_item(&self, job: usize) -> Item {
        let work = &self.jobs[job];
        Item {
            request: request_id(job),
            prompt: work.prompt,
            max_response: work.max_answer,
            rank: Default::default(),
            deadline: work.deadline,
            is_reservation: false,
        }
    }

    fn start_request(&mut self, job: usize, runner: usize, priority: u32) {
        let work = &self.jobs[job];
        let task = Task {
            job,
            priority,
            prompt: work.prompt,
            answer: work.answer,
            footprint: work.footprint(),
            session: work.session,
            prefix: work.prefix,
        };
        if task.footprint > self.model.memory {
            self.finish(job, Outcome::Refused);
            return;
        }
        self.backends[runner].engine.start(task);
        self.start_step(runner);
    }

    /// Schedules when the entry daemon learns that an attempt was refused or lost.
    pub(super) fn schedule_return(&mut self, job: usize, runner: usize) {
        let at = self.now + self.latency(self.entry_index(job), runner);
        let attempt = self.states[job].attempt;
        self.schedule(at, Event::Returned { job, runner, attempt });
    }

    /// Starts a step if the engine has work and no step is in progress.
    pub(super) fn start_step(&mut self, runner: usize) {
        let backend = &mut self.backends[runner];
        if backend.is_stepping || backend.engine.is_idle() {
            return;
        }
        backend.is_stepping = true;
        backend.step_began = self.now;
        let at = self.now + backend.engine.begin_step();
        let incarnation = backend.incarnation;
        self.schedule(at, Event::Step { runner, incarnation });
    }

    pub(super) fn finish_step(&mut self, runner: usize, incarnation: u32) {
        let backend = &mut self.backends[runner];
        if backend.incarnation != incarnation {
            return;
        }
        backend.is_stepping = false;
        self.gaps.record(self.now.since(backend.step_began), backend.engine.decoding());
        let progress = backend.engine.finish_step();
        for &job in &progress.first {
            if !self.is_segment(job) {
                self.record_first_token(job, runner);
            }
        }
        for &job in &progress.ended {
            if self.is_segment(job) {
                self.end_segment(job);
            } else {
                self.complete(job, runner);
            }
        }
        self.start_step(runner);
    }

    fn record_first_token(&mut self, job: usize, runner: usize) {
        let delivery_latency =
            self.latency(self.entry_index(job), runner) + self.deployment.client_latency();
        self.states[job].hit = self.backends[runner].engine.cached_prompt_tokens(job);
        self.states[job].first = Some(self.now + delivery_latency);
        let actions = self.backends[runner].gate.prefilled(request_id(job), self.now);
        self.apply_gate_actions(runner, actions);
    }

    fn complete(&mut self, job: usize, runner: usize) {
        self.release_from_gate(job, runner);
        self.release_reservation(job);
        self.finish(job, Outcome::Done);
    }

    /// Reports the end of a request to the gate of its runner and to its entry daemon.
    fn release_from_gate(&mut self, job: usize, runner: usize) {
        let actions = self.backends[runner].gate.finished(request_id(job), self.now);
        self.apply_gate_actions(runner, actions);
        let at = self.now + self.latency(self.entry_index(job), runner);
        self.schedule(at, Event::Ended { job, runner });
    }

    /// Cancels a request, its reservation and its work on the engine.
    pub(super) fn cancel(&mut self, job: usize) {
        self.release_reservation(job);
        let Some(runner) = self.states[job].runner else {
            return;
        };
        self.backends[runner].engine.cancel(job);
        self.release_from_gate(job, runner);
        self.start_step(runner);
    }

    /// Applies the actions that a gate decided on.
    pub(super) fn apply_gate_actions(&mut self, runner: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Admit { request, priority } => {
                    let job = job_index(request);
                    if self.record_grant(job, runner) {
                        continue;
                    }
                    self.start_request(job, runner, priority);
                }
                Action::Expire { .. } => {}
                Action::Refuse { request, .. } => {
                    let job = job_index(request);
                    if self.record_refusal(job, runner) {
                        continue;
                    }
                    self.states[job].refusals += 1;
                    self.schedule_return(job, runner);
                }
            }
        }
    }

    pub(super) fn heartbeat(&mut self, runner: usize) {
        let next = self.now + self.model.report_interval;
        self.schedule(next, Event::Heartbeat { runner });
        if !self.backends[runner].is_alive {
            return;
        }
        if self.policy.has_gate() {
            let actions = self.backends[runner].gate.advance(self.now);
            self.apply_gate_actions(runner, actions);
        }
        let load = self.backends[runner].load(self.policy.has_gate());
        let is_event_lost = self.rng.random::<f64>() < self.model.lost_event_share;
        let evicted = self.backends[runner].engine.take_evicted();
        let evicted = Rc::from(if is_event_lost { Vec::new() } else { evicted });
        for daemon in 0..self.entries.len() {
            let at = self.now + self.latency(daemon, runner);
            let evicted = Rc::clone(&evicted);
            self.schedule(at, Event::Report { daemon, runner, load, evicted, gap: is_event_lost });
        }
    }

    /// Draws the time of the next crash of an engine and schedules it.
    pub(super) fn schedule_crash(&mut self, runner: usize) {
        if let Some(mean) = self.model.death_interval {
            let after = workload::exponential(mean.as_secs_f64(), &mut self.rng);
            self.schedule(self.now + Duration::from_secs_f64(after), Event::Crash { runner });
        }
    }

    pub(super) fn crash(&mut self, runner: usize) {
        self.backends[runner].is_alive = false;
        self.backends[runner].clear(&self.model);
        self.set_reachable(runner, false);
        self.forget_reserved_memory(runner);
        let is_lost = |job: &&usize| self.states[**job].runner == Some(runner);
        let jobs: Vec<usize> = (0..self.states.len()).collect();
        let lost: Vec<usize> = jobs.iter().filter(is_lost).copied().collect();
        for job in lost {
            if self.states[job].outcome.is_none() {
                self.states[job].losses += 1;
                self.states[job].first = None;
                self.release_reservation(job);
                self.schedule_return(job, runner);
            }
        }
        self.report_crash(runner);
        self.schedule(self.now + RESTART_TIME, Event::Restart { runner });
    }

    pub(super) fn restart(&mut self, runner: usize) {
        self.backends[runner].is_alive = true;
        self.set_reachable(runner, true);
        self.schedule_crash(runner);
    }

    fn set_reachable(&mut self, runner: usize, reachable: bool) {
        let id = self.backends[runner].id.clone();
        for entry in &mut self.entries {
            entry.table.set_reachable(&id, reachable);
            entry.router.prefixes_mut().record_gap(&id);
        }
    }
}

/// Returns the request id of a job.
pub(super) const fn request_id(job: usize) -> Id {
    Id::from_u128(job as u128)
}

/// Returns the index of the job with a request id.
pub(super) const fn job_index(request: Id) -> usize {
    request.as_u128() as usize
}
