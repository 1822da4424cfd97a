use std::collections::BTreeMap;

use kumquattiller_dialect::engine::Completion;
use kumquattiller_dialect::engine::Handle;
use kumquattiller_dialect::engine::Load;
use kumquattiller_dialect::engine::Prefill;
use kumquattiller_dialect::engine::State;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::engine::Settings;
use crate::engine::Text;
use crate::engine::cache::Cache;
use crate::engine::job::Job;
use crate::engine::job::Progress;
use crate::engine::refusal::Refusal;

/// The simulated state of one incarnation of an engine.
#[derive(Debug)]
pub(super) struct Simulator {
    pub(super) settings: Settings,
    /// Base URL at which other engines reach this one.
    pub(super) url: String,
    pub(super) state: State,
    pub(super) jobs: BTreeMap<String, Job>,
    pub(super) handles: BTreeMap<String, Handle>,
    pub(super) cache: Cache,
    /// Number of jobs and imports so far.
    pub(super) arrivals: u64,
    /// Number of streams started so far.
    pub(super) started: u64,
    /// Number of loads from the weight store so far.
    pub(super) loads: u64,
    /// The load report that is handed out until it is too old, with the time that it was taken.
    pub(super) reported_load: Option<(Instant, Load)>,
}

/// Reads the text of a stream as it is generated.
#[derive(Debug)]
pub(super) struct Reader {
    pub(super) text: Text,
    pub(super) progress: watch::Receiver<Progress>,
}

impl Simulator {
    pub(super) fn new(settings: Settings, url: String, incarnation: u64) -> Self {
        let state = State { models: settings.models.clone(), incarnation, ..State::default() };
        let cache = Cache::new(&settings);
        Self {
            settings,
            url,
            state,
            jobs: BTreeMap::new(),
            handles: BTreeMap::new(),
            cache,
            arrivals: 0,
            started: 0,
            loads: 0,
            reported_load: None,
        }
    }

    /// Starts a stream, or returns a reader of the existing stream with the same request id.
    pub(super) fn start_stream(&mut self, completion: &Completion) -> Result<Reader, Refusal> {
        if let Ok(reader) = self.reader(&completion.request) {
            return Ok(reader);
        }
        self.check_model(&completion.model)?;
        self.check_context(&completion.context)?;
        let mut job = Job::generate(completion, self.next_arrival());
        self.apply_cached_prefix(&mut job);
        self.check_capacity(job.held_tokens, job.max_tokens)?;
        let shared = job.blocks[..job.shared].to_vec();
        self.cache.pin(&shared);
        self.jobs.insert(completion.request.clone(), job);
        self.started += 1;
        self.shrink_cache();
        self.reader(&completion.request)
    }

    /// Starts a prefill, or returns the progress of the existing one with the same request id.
    pub(super) fn start_prefill(
        &mut self,
        prefill: &Prefill,
    ) -> Result<watch::Receiver<Progress>, Refusal> {
        if let Some(job) = self.jobs.get(&prefill.request) {
            return Ok(job.progress.subscribe());
        }
        self.check_model(&prefill.model)?;
        self.check_context(&prefill.context)?;
        self.check_capacity(prefill.prompt_tokens, 0)?;
        let job = Job::prefill(prefill, self.next_arrival());
        let progress = job.progress.subscribe();
        self.jobs.insert(prefill.request.clone(), job);
        self.shrink_cache();
        Ok(progress)
    }

    /// Returns a reader of a stream.
    pub(super) fn reader(&self, request: &str) -> Result<Reader, Refusal> {
        let job = self.jobs.get(request).ok_or(Refusal::UnknownStream)?;
        Ok(Reader { text: job.text, progress: job.progress.subscribe() })
    }

    /// Removes a stream and frees its memory; an unknown stream is ignored.
    pub(super) fn cancel_stream(&mut self, request: &str) {
        if let Some(job) = self.jobs.remove(request) {
            self.cache.unpin(&job.blocks[..job.shared]);
        }
    }

    /// Stores KV that was read from another engine.
    pub(super) fn import_kv(&mut self, tokens: u64) -> Result<Handle, Refusal> {
        self.check_capacity(tokens, 0)?;
        let number = self.next_arrival();
        let name = format!("import-{}-{number}", self.state.incarnation);
        let handle = self.local_handle(name.clone(), tokens);
        self.handles.insert(name, handle.clone());
        self.shrink_cache();
        Ok(handle)
    }

    /// Returns a handle of this engine.
    pub(super) fn local_handle(&self, name: String, tokens: u64) -> Handle {
        Handle { engine: self.url.clone(), handle: name, tokens }
    }

    /// Returns whether a handle refers to this engine.
    pub(super) fn is_local(&self, handle: &Handle) -> bool {
        handle.engine.is_empty() || handle.engine == self.url
    }

    fn next_arrival(&mut self) -> u64 {
        self.arrivals += 1;
        self.arrivals
    }

    fn check_model(&self, model: &str) -> Result<(), Refusal> {
        let loaded = self.state.models.iter().any(|m| m.name == model);
        if self.settings.check_models && !loaded {
            return Err(Refusal::UnknownModel);
        }
        Ok(())
    }

    fn check_context(&self, context: &[Handle]) -> Result<(), Refusal> {
        let local = context.iter().filter(|handle| self.is_local(handle));
        if local.clone().any(|handle| !self.handles.contains_key(&handle.handle)) {
            return Err(Refusal::UnknownHandle);
        }
        Ok(())
    }

    /// Deducts the cached prefix from the tokens that a job computes and holds.
    fn apply_cached_prefix(&self, job: &mut Job) {
        let block = self.settings.block.get();
        job.shared = self.cache.cached_prefix(&job.blocks);
        let cached = (job.shared as u64 * block).min(job.prompt_tokens);
        job.held_tokens -= cached;
        // The last token of a prompt is always computed.
        job.prefill_left = (job.prompt_tokens - cached).max(1);
    }
}
