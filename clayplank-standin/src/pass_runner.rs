//! Runs the passes of a [`PassEngine`] in real time and reports progress to the requests in them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use clayplank_placement::EngineModel;
use tokio::sync::{Notify, watch};

use crate::pass::{DecodeWork, PassEngine, PassResult, PrefillWork};
use crate::pass_memory::PassMemory;

/// Progress of an admitted request at this engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Whether this engine has prefilled its part of the prompt.
    pub(crate) is_prefilled: bool,
    /// Number of events generated so far.
    pub(crate) events: u64,
}

#[derive(Debug)]
pub(crate) struct State {
    engine: PassEngine,
    pub(crate) memory: PassMemory,
    progress: HashMap<usize, watch::Sender<Progress>>,
    next_request: usize,
}

/// One engine, shared by the task that runs its passes and the handlers of its requests.
#[derive(Debug)]
pub(crate) struct PassRunner {
    pub(crate) model: EngineModel,
    state: Mutex<State>,
    work_added: Notify,
}

/// An admitted request; dropping it frees its memory and removes it from the batch.
#[derive(Debug)]
pub(crate) struct Admission {
    runner: Arc<PassRunner>,
    number: usize,
    memory_tokens: u64,
    pub(crate) progress: watch::Receiver<Progress>,
}

impl PassRunner {
    pub(crate) fn new(model: EngineModel) -> Self {
        let state = State {
            engine: PassEngine::new(model.clone()),
            memory: PassMemory::new(model.memory_tokens),
            progress: HashMap::new(),
            next_request: 0,
        };
        Self { model, state: Mutex::new(state), work_added: Notify::new() }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of admitted requests, including parts prefilled for other engines.
    pub(crate) fn running(&self) -> usize {
        self.lock().progress.len()
    }

    /// Admits a request; `None` if too little memory is free.
    pub(crate) fn admit(self: &Arc<Self>, memory_tokens: u64) -> Option<Admission> {
        let mut state = self.lock();
        if !state.memory.allocate(memory_tokens) {
            return None;
        }
        let number = state.next_request;
        state.next_request += 1;
        let (sender, progress) = watch::channel(Progress::default());
        state.progress.insert(number, sender);
        Some(Admission { runner: Arc::clone(self), number, memory_tokens, progress })
    }

    /// Runs passes until the task is dropped; sleeps while there is no work.
    pub(crate) async fn run_passes(self: Arc<Self>) {
        loop {
            let pass_ms = self.lock().engine.start_pass();
            match pass_ms {
                Some(pass_ms) => {
                    tokio::time::sleep(Duration::from_secs_f64(pass_ms / 1e3)).await;
                    self.lock().end_pass();
                }
                None => self.work_added.notified().await,
            }
        }
    }
}

impl State {
    fn end_pass(&mut self) {
        let PassResult { prefilled, decoded, .. } = self.engine.end_pass();
        for request in prefilled {
            self.update_progress(request, |progress| progress.is_prefilled = true);
        }
        for request in decoded {
            self.update_progress(request, |progress| progress.events += 1);
        }
    }

    fn update_progress(&self, request: usize, change: impl FnOnce(&mut Progress)) {
        if let Some(sender) = self.progress.get(&request) {
            sender.send_modify(change);
        }
    }
}

impl Admission {
    /// Prefills one of `parts` equal parts of a prompt; returns once that is done.
    pub(crate) async fn prefill(&mut self, prompt_tokens: u64, parts: usize) {
        let tokens = prompt_tokens as f64;
        let work = PrefillWork::part(&self.runner.model, self.number, tokens, parts);
        self.runner.lock().engine.add_prefill(work);
        self.runner.work_added.notify_one();
        // This cannot fail: the sender is removed only when this admission is dropped.
        self.progress.wait_for(|progress| progress.is_prefilled).await.ok();
    }

    /// Starts decoding; `progress` counts the events.
    pub(crate) fn start_decode(&self, context_tokens: u64) {
        let work = DecodeWork { request: self.number, context_tokens: context_tokens as f64 };
        self.runner.lock().engine.add_decode(work);
        self.runner.work_added.notify_one();
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        let mut state = self.runner.lock();
        state.engine.remove(self.number);
        state.memory.free(self.memory_tokens);
        state.progress.remove(&self.number);
    }
}
