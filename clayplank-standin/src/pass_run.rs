//! An engine of the pass model in real time: its passes, and who waits for what they bring.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use clayplank_placement::EngineModel;
use tokio::sync::{Notify, watch};

use crate::pass::{PassEnd, PassEngine, Reading, Writing};
use crate::pass_memory::PassMemory;

/// How far a request is at this engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Whether its part is read.
    pub(crate) is_read: bool,
    /// Events that were written.
    pub(crate) events: u64,
}

#[derive(Debug)]
pub(crate) struct State {
    engine: PassEngine,
    pub(crate) memory: PassMemory,
    progress: HashMap<usize, watch::Sender<Progress>>,
    next_request: usize,
}

/// One engine, shared by its answers and its passes.
#[derive(Debug)]
pub(crate) struct PassRun {
    pub(crate) model: EngineModel,
    state: Mutex<State>,
    work: Notify,
}

/// A request's place at the engine; given back when dropped.
#[derive(Debug)]
pub(crate) struct Place {
    run: Arc<PassRun>,
    number: usize,
    memory_tokens: u64,
    pub(crate) progress: watch::Receiver<Progress>,
}

impl PassRun {
    pub(crate) fn new(model: EngineModel) -> Self {
        let state = State {
            engine: PassEngine::new(model.clone()),
            memory: PassMemory::new(model.memory_tokens),
            progress: HashMap::new(),
            next_request: 0,
        };
        Self { model, state: Mutex::new(state), work: Notify::new() }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests that have a place, helpers' parts among them.
    pub(crate) fn running(&self) -> usize {
        self.lock().progress.len()
    }

    /// Takes a request in; `None` if its memory is not free.
    pub(crate) fn admit(self: &Arc<Self>, memory_tokens: u64) -> Option<Place> {
        let mut state = self.lock();
        if !state.memory.take(memory_tokens) {
            return None;
        }
        let number = state.next_request;
        state.next_request += 1;
        let (sender, progress) = watch::channel(Progress::default());
        state.progress.insert(number, sender);
        Some(Place { run: Arc::clone(self), number, memory_tokens, progress })
    }

    /// Plays passes until the task is dropped.
    pub(crate) async fn play(self: Arc<Self>) {
        loop {
            let pass_ms = self.lock().engine.start_pass();
            match pass_ms {
                Some(pass_ms) => {
                    tokio::time::sleep(Duration::from_secs_f64(pass_ms / 1e3)).await;
                    self.lock().end_pass();
                }
                None => self.work.notified().await,
            }
        }
    }
}

impl State {
    fn end_pass(&mut self) {
        let PassEnd { read, written, .. } = self.engine.end_pass();
        for request in read {
            self.tell(request, |progress| progress.is_read = true);
        }
        for request in written {
            self.tell(request, |progress| progress.events += 1);
        }
    }

    fn tell(&self, request: usize, change: impl FnOnce(&mut Progress)) {
        if let Some(sender) = self.progress.get(&request) {
            sender.send_modify(change);
        }
    }
}

impl Place {
    /// Reads one of so many parts of a prompt; returns once it is read.
    pub(crate) async fn read(&mut self, prompt_tokens: u64, parts: usize) {
        let tokens = prompt_tokens as f64;
        let reading = Reading::part(&self.run.model, self.number, tokens, parts);
        self.run.lock().engine.read(reading);
        self.run.work.notify_one();
        // The sender lives as long as this place.
        self.progress.wait_for(|progress| progress.is_read).await.ok();
    }

    /// Begins to write; events are told by `progress`.
    pub(crate) fn write(&self, context_tokens: u64) {
        let writing = Writing { request: self.number, context_tokens: context_tokens as f64 };
        self.run.lock().engine.write(writing);
        self.run.work.notify_one();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.run.lock();
        state.engine.end(self.number);
        state.memory.give_back(self.memory_tokens);
        state.progress.remove(&self.number);
    }
}
