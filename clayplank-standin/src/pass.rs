//! An engine that works in passes over all that it reads and writes, as its cost model says.

use clayplank_placement::EngineModel;

/// A part of a prompt that is read.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Names the request.
    pub request: usize,
    /// What is not read yet.
    pub left_tokens: f64,
    /// Without the step itself: tokens and pairs.
    pub ms_per_token: f64,
    /// Parts of split prompts are read before others.
    pub is_split: bool,
}

/// A stream that is written.
#[derive(Clone, Copy, Debug)]
pub struct Writing {
    /// Names the request.
    pub request: usize,
    /// What each step has to look at.
    pub context_tokens: f64,
}

/// What a pass brought.
#[derive(Clone, Debug, Default)]
pub struct PassEnd {
    /// Requests of which this engine has read its part.
    pub read: Vec<usize>,
    /// Requests whose next event is there.
    pub written: Vec<usize>,
    /// Whether the pass played all steps of an event.
    pub is_long: bool,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct PassEngine {
    model: EngineModel,
    readings: Vec<Reading>,
    writings: Vec<Writing>,
    pass: Option<PassEnd>,
}

impl Reading {
    /// One of so many even parts of a prompt.
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
    /// An engine at rest.
    pub fn new(model: EngineModel) -> Self {
        Self { model, readings: Vec::new(), writings: Vec::new(), pass: None }
    }

    /// Takes in a part to be read: one of a split prompt goes before all other reads, parts
    /// of earlier split prompts among them; a whole prompt goes after them.
    pub fn read(&mut self, reading: Reading) {
        let place = if reading.is_split { 0 } else { self.readings.len() };
        self.readings.insert(place, reading);
    }

    /// Takes in a stream to be written.
    pub fn write(&mut self, writing: Writing) {
        self.writings.push(writing);
    }

    /// Drops a request, whatever it was at.
    pub fn end(&mut self, request: usize) {
        self.readings.retain(|one| one.request != request);
        self.writings.retain(|one| one.request != request);
    }

    /// Whether no pass is under way.
    pub fn is_resting(&self) -> bool {
        self.pass.is_none()
    }

    /// Starts a pass; gives how long it takes, or `None` if there is nothing to do.
    pub fn start_pass(&mut self) -> Option<f64> {
        if self.readings.is_empty() && self.writings.is_empty() {
            return None;
        }
        let is_long = !self.writings.is_empty();
        let steps = if is_long { self.model.steps_per_event } else { 1 };
        let mut room = (u64::from(steps) * self.model.chunk_tokens) as f64;
        let mut read_ms = 0.0;
        for reading in &mut self.readings {
            let tokens = reading.left_tokens.min(room);
            room -= tokens;
            reading.left_tokens -= tokens;
            read_ms += tokens * reading.ms_per_token;
        }
        let done = |one: &Reading| one.left_tokens <= 0.0;
        let read = self.readings.iter().filter(|one| done(one)).map(|one| one.request).collect();
        self.readings.retain(|one| !done(one));
        let written: Vec<_> = self.writings.iter().map(|one| one.request).collect();
        let context: f64 = self.writings.iter().map(|one| one.context_tokens).sum();
        let step_ms = self.model.step_ms
            + self.model.per_sequence_ms * written.len() as f64
            + self.model.context_per_1000_tokens_ms * context / 1e3;
        self.pass = Some(PassEnd { read, written, is_long });
        Some(f64::from(steps) * step_ms + read_ms)
    }

    /// Ends the pass; tells what it brought.
    pub fn end_pass(&mut self) -> PassEnd {
        self.pass.take().unwrap_or_default()
    }
}
