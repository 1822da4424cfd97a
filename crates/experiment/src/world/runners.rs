//! Runner processes and engines in a run.

use std::rc::Rc;
use std::time::Duration;

use kumquattiller_base::request::Id;
use kumquattiller_routing::admission::Action;
use kumquattiller_routing::admission::Item;
use kumquattiller_routing::admission::Verdict;
use rand::RngExt;

use crate::engine::Task;
use crate::workload;
use crate::world::Result;
use crate::world::World;
use crate::world::event::Event;

/// Time that an engine needs to come back.
const REVIVAL: Duration = Duration::from_secs(20);

impl World {
    /// Offers an attempt to a runner process.
    pub(super) fn offer(&mut self, job: usize, runner: usize, attempt: u32) {
        if self.states[job].result.is_some() || self.states[job].attempt != attempt {
            return;
        }
        if !self.sites[runner].is_alive {
            self.states[job].losses += 1;
            self.send_back(job, runner);
            return;
        }
        if !self.policy.has_gate() {
            self.start(job, runner, 0);
            return;
        }
        let item = self.item(job);
        match self.sites[runner].gate.arrive(item, self.now) {
            Verdict::Admit { priority } => self.start(job, runner, priority),
            Verdict::Hold => {}
            Verdict::Refuse(_) => {
                self.states[job].refusals += 1;
                self.send_back(job, runner);
            }
        }
    }

    /// Returns a request as gates see it.
    pub(super) fn item(&self, job: usize) -> Item {
        let work = &self.jobs[job];
        Item {
            request: id(job),
            prompt: work.prompt,
            max_response: work.max_answer,
            rank: Default::default(),
            deadline: work.deadline,
            is_reservation: false,
        }
    }

    fn start(&mut self, job: usize, runner: usize, priority: u32) {
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
            self.finish(job, Result::Refused);
            return;
        }
        self.sites[runner].engine.start(task);
        self.kick(runner);
    }

    pub(super) fn send_back(&mut self, job: usize, runner: usize) {
        let at = self.now + self.latency(self.daemon(job), runner);
        let attempt = self.states[job].attempt;
        self.schedule(at, Event::Returned { job, runner, attempt });
    }

    /// Begins a step when the engine has work and none is in progress.
    pub(super) fn kick(&mut self, runner: usize) {
        let site = &mut self.sites[runner];
        if site.is_stepping || site.engine.is_idle() {
            return;
        }
        site.is_stepping = true;
        site.step_began = self.now;
        let at = self.now + site.engine.begin();
        let life = site.life;
        self.schedule(at, Event::Step { runner, life });
    }

    pub(super) fn step(&mut self, runner: usize, life: u32) {
        let site = &mut self.sites[runner];
        if site.life != life {
            return;
        }
        site.is_stepping = false;
        self.gaps.record(self.now.since(site.step_began), site.engine.decoding());
        let progress = site.engine.step();
        for &job in &progress.first {
            if !self.is_segment(job) {
                self.first_token(job, runner);
            }
        }
        for &job in &progress.ended {
            if self.is_segment(job) {
                self.end_segment(job);
            } else {
                self.end(job, runner);
            }
        }
        self.kick(runner);
    }

    fn first_token(&mut self, job: usize, runner: usize) {
        let way = self.latency(self.daemon(job), runner) + self.deployment.client_latency();
        self.states[job].hit = self.sites[runner].engine.hit(job);
        self.states[job].first = Some(self.now + way);
        let actions = self.sites[runner].gate.prefilled(id(job), self.now);
        self.apply(runner, actions);
    }

    fn end(&mut self, job: usize, runner: usize) {
        self.leave(job, runner);
        self.release_long(job);
        self.finish(job, Result::Done);
    }

    /// Takes a request out of a runner's books.
    fn leave(&mut self, job: usize, runner: usize) {
        let actions = self.sites[runner].gate.finished(id(job), self.now);
        self.apply(runner, actions);
        let at = self.now + self.latency(self.daemon(job), runner);
        self.schedule(at, Event::Ended { job, runner });
    }

    /// Takes a request off wherever it is.
    pub(super) fn cancel(&mut self, job: usize) {
        self.release_long(job);
        let Some(runner) = self.states[job].runner else {
            return;
        };
        self.sites[runner].engine.cancel(job);
        self.leave(job, runner);
        self.kick(runner);
    }

    /// Carries out what a gate decided.
    pub(super) fn apply(&mut self, runner: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Admit { request, priority } => {
                    let job = job(request);
                    if self.granted_long(job, runner) {
                        continue;
                    }
                    self.start(job, runner, priority);
                }
                Action::Expire { .. } => {}
                Action::Refuse { request, .. } => {
                    let job = job(request);
                    if self.refused_long(job, runner) {
                        continue;
                    }
                    self.states[job].refusals += 1;
                    self.send_back(job, runner);
                }
            }
        }
    }

    pub(super) fn heartbeat(&mut self, runner: usize) {
        let next = self.now + self.model.report_interval;
        self.schedule(next, Event::Heartbeat { runner });
        if !self.sites[runner].is_alive {
            return;
        }
        if self.policy.has_gate() {
            let actions = self.sites[runner].gate.advance(self.now);
            self.apply(runner, actions);
        }
        let load = self.sites[runner].load(self.policy.has_gate());
        let is_lost = self.rng.random::<f64>() < self.model.lost_event_share;
        let evicted = self.sites[runner].engine.take_evicted();
        let evicted = Rc::from(if is_lost { Vec::new() } else { evicted });
        for daemon in 0..self.entries.len() {
            let at = self.now + self.latency(daemon, runner);
            let evicted = Rc::clone(&evicted);
            self.schedule(at, Event::Report { daemon, runner, load, evicted, gap: is_lost });
        }
    }

    /// Draws when an engine dies next.
    pub(super) fn plan_death(&mut self, runner: usize) {
        if let Some(mean) = self.model.death_interval {
            let after = workload::exponential(mean.as_secs_f64(), &mut self.rng);
            self.schedule(self.now + Duration::from_secs_f64(after), Event::Die { runner });
        }
    }

    pub(super) fn die(&mut self, runner: usize) {
        self.sites[runner].is_alive = false;
        self.sites[runner].clear(&self.model);
        self.set_reachable(runner, false);
        self.forget_taken(runner);
        let lost = |s: &&usize| self.states[**s].runner == Some(runner);
        let open: Vec<usize> = (0..self.states.len()).collect();
        let lost: Vec<usize> = open.iter().filter(lost).copied().collect();
        for job in lost {
            if self.states[job].result.is_none() {
                self.states[job].losses += 1;
                self.states[job].first = None;
                self.release_long(job);
                self.send_back(job, runner);
            }
        }
        self.died_long(runner);
        self.schedule(self.now + REVIVAL, Event::Revive { runner });
    }

    pub(super) fn revive(&mut self, runner: usize) {
        self.sites[runner].is_alive = true;
        self.set_reachable(runner, true);
        self.plan_death(runner);
    }

    fn set_reachable(&mut self, runner: usize, reachable: bool) {
        let id = self.sites[runner].id.clone();
        for entry in &mut self.entries {
            entry.table.set_reachable(&id, reachable);
            entry.router.prefixes_mut().record_gap(&id);
        }
    }
}

/// Returns the id of a job's request.
pub(super) const fn id(job: usize) -> Id {
    Id::from_u128(job as u128)
}

/// Returns the job of a request's id.
pub(super) const fn job(request: Id) -> usize {
    request.as_u128() as usize
}
