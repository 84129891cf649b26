//! An engine that runs in batch passes: each pass advances all prompts in prefill and all streams in
//! decode, and lasts as long as the cost model of the serving plan says.

use clayplank_placement::EngineModel;

/// A part of a prompt in prefill.
#[derive(Clone, Copy, Debug)]
pub struct PrefillWork {
    /// Number that the caller gave the request.
    pub request: usize,
    /// Tokens still to be prefilled.
    pub left_tokens: f64,
    /// Prefill time of a token with its share of attention over token pairs; the step's own time is
    /// not in it.
    pub ms_per_token: f64,
    /// Whether the prompt is split over several engines; such parts are prefilled before others.
    pub is_split: bool,
}

/// A stream in decode.
#[derive(Clone, Copy, Debug)]
pub struct DecodeWork {
    /// Number that the caller gave the request.
    pub request: usize,
    /// Tokens of context that each decode step attends to.
    pub context_tokens: f64,
}

/// Result of a pass.
#[derive(Clone, Debug, Default)]
pub struct PassResult {
    /// Requests whose part at this engine is completely prefilled.
    pub prefilled: Vec<usize>,
    /// Requests that got their next event.
    pub decoded: Vec<usize>,
    /// Whether the pass included decode, and so ran all `steps_per_event` steps.
    pub has_decode: bool,
}

/// One engine: its queues of prefill and decode work, and the result of the pass in progress.
#[derive(Clone, Debug)]
pub struct PassEngine {
    model: EngineModel,
    prefills: Vec<PrefillWork>,
    decodes: Vec<DecodeWork>,
    pass: Option<PassResult>,
}

impl PrefillWork {
    /// One of `parts` equal parts of a prompt.
    pub fn part(model: &EngineModel, request: usize, prompt_tokens: f64, parts: usize) -> Self {
        let million_pairs = prompt_tokens * prompt_tokens / 2.0 / 1e6;
        let pairs_ms = million_pairs * model.per_million_pairs_ms;
        Self {
            request,
            left_tokens: prompt_tokens / parts as f64,
            ms_per_token: 1e3 / model.read_tokens_per_s + pairs_ms / prompt_tokens.max(1.0),
            is_split: parts > 1,
        }
    }
}

impl PassEngine {
    /// An engine without work.
    pub fn new(model: EngineModel) -> Self {
        Self { model, prefills: Vec::new(), decodes: Vec::new(), pass: None }
    }

    /// Queues a part for prefill. A part of a split prompt goes to the front, also before parts of
    /// earlier split prompts; a prompt that is not split goes to the back.
    pub fn add_prefill(&mut self, work: PrefillWork) {
        let position = if work.is_split { 0 } else { self.prefills.len() };
        self.prefills.insert(position, work);
    }

    /// Adds a stream to the decode batch.
    pub fn add_decode(&mut self, work: DecodeWork) {
        self.decodes.push(work);
    }

    /// Removes a request from prefill and decode.
    pub fn remove(&mut self, request: usize) {
        self.prefills.retain(|work| work.request != request);
        self.decodes.retain(|work| work.request != request);
    }

    /// Whether no pass is in progress.
    pub fn is_idle(&self) -> bool {
        self.pass.is_none()
    }

    /// Starts a pass. Returns its duration in ms, or `None` if there is no work.
    pub fn start_pass(&mut self) -> Option<f64> {
        if self.prefills.is_empty() && self.decodes.is_empty() {
            return None;
        }
        let has_decode = !self.decodes.is_empty();
        let steps = if has_decode { self.model.steps_per_event } else { 1 };
        let mut budget_tokens = (u64::from(steps) * self.model.chunk_tokens) as f64;
        let mut prefill_ms = 0.0;
        for work in &mut self.prefills {
            let tokens = work.left_tokens.min(budget_tokens);
            budget_tokens -= tokens;
            work.left_tokens -= tokens;
            prefill_ms += tokens * work.ms_per_token;
        }
        let is_done = |work: &PrefillWork| work.left_tokens <= 0.0;
        let prefilled =
            self.prefills.iter().filter(|work| is_done(work)).map(|work| work.request).collect();
        self.prefills.retain(|work| !is_done(work));
        let decoded: Vec<_> = self.decodes.iter().map(|work| work.request).collect();
        let context: f64 = self.decodes.iter().map(|work| work.context_tokens).sum();
        let step_ms = self.model.step_ms
            + self.model.per_sequence_ms * decoded.len() as f64
            + self.model.context_per_1000_tokens_ms * context / 1e3;
        self.pass = Some(PassResult { prefilled, decoded, has_decode });
        Some(f64::from(steps) * step_ms + prefill_ms)
    }

    /// Ends the pass and returns its result.
    pub fn end_pass(&mut self) -> PassResult {
        self.pass.take().unwrap_or_default()
    }
}
