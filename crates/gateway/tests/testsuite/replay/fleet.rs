use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::dialect::Prompt;
use kumquattiller_gateway::engine::Profile;
use kumquattiller_gateway::load::Assignment;
use kumquattiller_gateway::load::Ledger;
use kumquattiller_gateway::load::report_interval;
use kumquattiller_gateway::load::server_key;
use kumquattiller_gateway::pace;
use kumquattiller_gateway::placement::Candidate;
use kumquattiller_gateway::placement::Placement;
use kumquattiller_gateway::placement::Reason;
use kumquattiller_gateway::placement::Request;
use kumquattiller_gateway::placement::first_urgency;
use kumquattiller_gateway::placement::is_long;
use kumquattiller_gateway::placement::needs_joint;
use kumquattiller_gateway::placement::place_prompt;
use kumquattiller_gateway::placement::request_value;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::engine::Engine;
use super::engine::Part;
use super::job::Job;
use super::job::Kind;
use super::job::Outcome;

/// Time after which the report of a long placement reaches the peers, in milliseconds.
const PROMPT_REPORT_MS: u64 = 5;

/// Daemons and engines of one service.
#[derive(Debug)]
pub struct Fleet {
    profile: Profile,
    servers: Vec<runner::Id>,
    engines: Vec<Engine>,
    /// Factor by which each engine is slower than its profile.
    pub paces: Vec<f64>,
    /// Whether each request goes to the server with the least work instead.
    pub least_work: bool,
    ledgers: Vec<Ledger>,
    measured: Vec<pace::Table>,
    report_at: Vec<u64>,
    jobs: HashMap<usize, Job>,
    next: usize,
    now_ms: u64,
    outcomes: Vec<Outcome>,
    random: StdRng,
}

impl Fleet {
    pub fn new(profile: Profile, engines: usize, daemons: usize, seed: u64) -> Self {
        Self {
            profile,
            servers: (0..engines).map(|n| format!("server-{n}").parse().unwrap()).collect(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            paces: vec![1.0; engines],
            least_work: false,
            ledgers: (0..daemons).map(|_| Ledger::default()).collect(),
            measured: (0..daemons).map(|_| pace::Table::default()).collect(),
            report_at: (0..daemons as u64).map(|n| n * 4).collect(),
            jobs: HashMap::new(),
            next: 0,
            now_ms: 0,
            outcomes: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Plays a load for a time. `rates` returns the requests per second of a kind at a millisecond.
    pub fn play(mut self, duration_ms: u64, rates: impl Fn(Kind, u64) -> f64) -> Vec<Outcome> {
        while self.now_ms < duration_ms {
            self.now_ms += 1;
            for kind in [Kind::Short, Kind::Long, Kind::VeryLong] {
                if self.random.random_bool(rates(kind, self.now_ms) / 1e3) {
                    self.arrive(kind);
                }
            }
            (0..self.ledgers.len()).for_each(|daemon| self.report(daemon));
            (0..self.engines.len()).for_each(|server| self.run(server));
        }
        self.outcomes
    }

    fn now(&self) -> Moment {
        Moment::from_millis(self.now_ms)
    }

    fn arrive(&mut self, kind: Kind) {
        let daemon = self.random.random_range(0..self.ledgers.len());
        let prompt = kind.prompt(&mut self.random);
        let now = self.now();
        let long = is_long(&prompt, &self.profile);
        if !needs_joint(&prompt, &self.profile) {
            let long_ms = if long { self.profile.prefill_ms(prompt.tokens) } else { 0.0 };
            self.ledgers[daemon].record_demand(long_ms, !long, now);
        }
        let Some(placement) = self.place(daemon, kind, &prompt) else {
            let value = request_value(prompt.tokens);
            self.outcomes.push(Outcome { kind, arrived_ms: self.now_ms, value, times: None });
            return;
        };
        let job = self.next;
        self.next += 1;
        let servers: Vec<usize> = std::iter::once(&placement.server)
            .chain(&placement.helpers)
            .filter_map(|id| self.servers.iter().position(|s| s == id))
            .collect();
        for server in &servers {
            self.engines[*server].waiting.push(Part::new(job, kind, placement.part_ms));
        }
        let pass_ms = self.expected_pass_ms(daemon, servers[0]);
        let key = self.ledgers[daemon].start(assignments(kind, &prompt, &placement), now);
        if !placement.holders.is_empty() {
            let joint_ms = placement.part_ms * servers.len() as f64;
            self.ledgers[daemon].record_demand(joint_ms, false, now);
        }
        if long {
            self.report_at[daemon] = self.report_at[daemon].min(self.now_ms + PROMPT_REPORT_MS);
        }
        self.jobs.insert(
            job,
            Job {
                daemon,
                key,
                kind,
                arrived_ms: self.now_ms,
                prompt,
                parts_left: servers.len(),
                server: servers[0],
                passes_left: prompt.max_output.get() / u64::from(self.profile.stride),
                first_ms: None,
                last_ms: 0,
                longest_gap_ms: 0,
                pass_ms,
                expected_first_ms: placement.first_ms,
                is_alone: placement.helpers.is_empty(),
            },
        );
    }

    fn place(&self, daemon: usize, kind: Kind, prompt: &Prompt) -> Option<Placement> {
        let (ledger, now) = (&self.ledgers[daemon], self.now());
        let peer_loads = ledger.peer_loads(now);
        let load = |id: &runner::Id| ledger.total_load(id, peer_loads.get(&server_key(id)), now);
        let candidate = |(n, id): (usize, &runner::Id)| {
            let candidate = Candidate::new(id.clone(), load(id), self.profile.slots);
            Candidate { pace: self.measured[daemon].pace(n as u64), ..candidate }
        };
        let candidates: Vec<Candidate> = self.servers.iter().enumerate().map(candidate).collect();
        if self.least_work {
            let work = |c: &&Candidate| (c.load.unanswered_ms * 1e3) as u64;
            let least = candidates.iter().min_by_key(work)?;
            let part_ms = self.profile.prefill_ms(prompt.tokens);
            return (!needs_joint(prompt, &self.profile)).then(|| Placement {
                server: least.id.clone(),
                helpers: Vec::new(),
                holders: Vec::new(),
                part_ms,
                first_ms: least.load.unanswered_ms + part_ms,
                reason: Reason::FewestRequests,
            });
        }
        let request = Request {
            prompt,
            target_latency: kind.target_latency(),
            target_gap: kind.target_gap(),
            profile: &self.profile,
        };
        let demand = ledger.demand(now);
        let peers = self.ledgers.len() - 1;
        let others = peers as f64 / self.ledgers.len() as f64;
        let unreported = demand.short_per_s * others * report_interval(peers).as_secs_f64();
        place_prompt(&request, &candidates, &demand, unreported).ok()
    }

    /// Sends the report of a daemon to its peers if it is due.
    fn report(&mut self, daemon: usize) {
        if self.report_at[daemon] > self.now_ms {
            return;
        }
        let now = self.now();
        let peers = self.ledgers.len() - 1;
        self.report_at[daemon] = self.now_ms + report_interval(peers).as_millis() as u64;
        let demand = self.ledgers[daemon].local_demand(now);
        let loads: HashMap<_, _> = self.ledgers[daemon].report().collect();
        let measures: HashMap<_, _> = self.measured[daemon].reports(now).into_iter().collect();
        for peer in (0..self.ledgers.len()).filter(|peer| *peer != daemon) {
            let name: daemon::Id = format!("daemon-{daemon}").parse().unwrap();
            self.measured[peer].merge(&name, measures.clone());
            self.ledgers[peer].update_peer(name, demand, loads.clone(), now);
        }
        self.measured[daemon].update(now);
        self.ledgers[daemon].expire(now, |_| true);
    }

    /// Ends and starts the passes of an engine.
    fn run(&mut self, server: usize) {
        if let Some(prefilled) = self.engines[server].end_pass(self.now_ms) {
            for job in std::mem::take(&mut self.engines[server].decoding) {
                self.event(job);
            }
            for id in prefilled {
                let Some(job) = self.jobs.get_mut(&id) else { continue };
                job.parts_left -= 1;
                if job.parts_left == 0 {
                    self.event(id);
                }
            }
        }
        let pace = self.paces[server];
        self.engines[server].start_pass(self.now_ms, &self.profile, pace, &self.jobs);
    }

    /// Compares the time until an event of a job with the expected one, as `Dispatch` does.
    fn measure(&mut self, id: usize) {
        let Some(job) = self.jobs.get(&id) else { return };
        let pass_ms = self.expected_pass_ms(job.daemon, job.server);
        let job = self.jobs.get_mut(&id).unwrap();
        let (Some(before), Some(after)) = (std::mem::replace(&mut job.pass_ms, pass_ms), pass_ms)
        else {
            return;
        };
        let (expected_ms, since_ms) = match job.first_ms {
            None => (job.expected_first_ms, job.arrived_ms),
            Some(_) => (before.max(after), job.last_ms),
        };
        let seen = Duration::from_millis(self.now_ms - since_ms);
        let expected = Duration::from_secs_f64(expected_ms / 1e3);
        if job.is_alone && seen >= expected / 2 {
            let now = Moment::from_millis(self.now_ms);
            self.measured[job.daemon].record(job.server as u64, expected, seen, now);
        }
    }

    fn expected_pass_ms(&self, daemon: usize, server: usize) -> Option<f64> {
        let load = self.ledgers[daemon].server_load(&self.servers[server], self.now());
        let context = Tokens::new(load.memory);
        let decode_ms = self.profile.decode_pass_ms(f64::from(load.decoding), context);
        (load.unanswered_ms <= decode_ms).then(|| decode_ms + load.unanswered_ms / 2.0)
    }

    /// Delivers an event of a job, which may be its last.
    fn event(&mut self, id: usize) {
        self.measure(id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let on_time = job.record_event(self.now_ms);
        let ledger = &mut self.ledgers[job.daemon];
        ledger.first_event(job.key, on_time);
        if !on_time {
            ledger.mark_late(job.key);
        }
        if job.passes_left == 0 {
            ledger.end(job.key);
            self.outcomes.push(job.outcome());
            self.jobs.remove(&id);
            return;
        }
        job.passes_left -= 1;
        self.engines[job.server].decoding.push(id);
    }
}

/// Returns the work that a placement adds to each of its servers.
fn assignments(kind: Kind, prompt: &Prompt, placement: &Placement) -> Vec<Assignment> {
    let held: u64 = placement.holders.iter().map(|(_, tokens)| tokens.get()).sum();
    let main = Assignment {
        server: placement.server.clone(),
        prefill_ms: placement.part_ms,
        target_gap: kind.target_gap(),
        value: request_value(prompt.tokens),
        urgency: first_urgency(prompt.tokens, kind.target_latency()),
        memory: Tokens::new((prompt.tokens.get() + prompt.max_output.get()).saturating_sub(held)),
        helper: false,
    };
    let helper = |id: &runner::Id| {
        let part = placement.holders.iter().find(|(holder, _)| holder == id);
        let memory = part.map_or(Tokens::ZERO, |(_, tokens)| *tokens);
        Assignment { server: id.clone(), memory, helper: true, ..main.clone() }
    };
    std::iter::once(main.clone()).chain(placement.helpers.iter().map(helper)).collect()
}
