//! HTTP server of [`EngineCore`], with the interface of `docs/ENGINES.md`.

mod stream;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use clayplank_types::{AttemptId, EnginePriority, Incarnation, prefix_hashes};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::core::{EngineCore, EngineModel, Job, JobKind, StartError, StepEvent};
use crate::fault::{Fault, FaultKind};
use crate::http_client::exchange;
use crate::http_server::{Body, ServeError, empty, json, read_body, serve};

const BYTES_PER_TOKEN: usize = 4;
const PREFIX_BLOCK_BYTES: usize = 4_096;

/// Options of a served engine.
#[derive(Clone, Debug)]
pub struct EngineServer {
    /// Cost model and capacity.
    pub model: EngineModel,
    /// Names of the models in its model list.
    pub models: Vec<String>,
    /// Maximum number of tokens in an answer.
    pub max_output_tokens: u64,
    /// Delay of its load reports: each shows the state of this long ago.
    pub report_lag: Duration,
}

impl Default for EngineServer {
    fn default() -> Self {
        Self {
            model: EngineModel::default(),
            models: vec!["base".to_owned()],
            max_output_tokens: 24,
            report_lag: Duration::from_millis(200),
        }
    }
}

#[derive(Debug)]
struct State {
    core: EngineCore,
    attempts: HashMap<AttemptId, Attempt>,
    fault: Option<Fault>,
    highest_fence: u64,
    leaving: bool,
    adapters: BTreeSet<String>,
    reports: Vec<(tokio::time::Instant, Load)>,
}

#[derive(Clone, Debug, Default)]
struct Attempt {
    fingerprint: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    generated_tokens: u64,
    is_ended: bool,
    is_cancelled: bool,
}

#[derive(Clone, Debug, Serialize)]
struct Load {
    incarnation: Incarnation,
    memory_tokens: u64,
    reserved_tokens: u64,
    running: BTreeMap<AttemptId, u64>,
    adapters: BTreeSet<String>,
    leaving: bool,
}

#[derive(Debug)]
struct Engine {
    options: EngineServer,
    incarnation: Incarnation,
    state: Mutex<State>,
    work_added: Notify,
    progress: tokio::sync::watch::Sender<u64>,
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    adapter: Option<String>,
    #[serde(default)]
    kv_imports: Vec<KvHandle>,
    #[serde(default)]
    priority: EnginePriority,
}

/// Reference to the KV cache of a prompt part at the engine that prefilled it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct KvHandle {
    address: SocketAddr,
    handle: AttemptId,
}

#[derive(Debug, Deserialize)]
struct CommandBody {
    fence: u64,
    #[serde(default)]
    adapter: Option<String>,
}

/// Serves one incarnation of an engine until the task is dropped.
pub async fn serve_engine(listener: TcpListener, options: EngineServer) {
    let state = State {
        core: EngineCore::new(options.model),
        attempts: HashMap::new(),
        fault: None,
        highest_fence: 0,
        leaving: false,
        adapters: BTreeSet::new(),
        reports: Vec::new(),
    };
    let started_at = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let incarnation = Incarnation(started_at.map_or(1, |time| time.as_micros() as u64));
    let progress = tokio::sync::watch::Sender::new(0);
    let engine = Arc::new(Engine {
        options,
        incarnation,
        state: Mutex::new(state),
        work_added: Notify::new(),
        progress,
    });
    tokio::spawn(run_steps(Arc::clone(&engine)));
    serve(listener, move |request| answer(Arc::clone(&engine), request)).await;
}

async fn run_steps(engine: Arc<Engine>) {
    loop {
        let planned_ms = engine.lock().core.plan_step_ms();
        let Some(step_ms) = planned_ms else {
            engine.work_added.notified().await;
            continue;
        };
        tokio::time::sleep(Duration::from_secs_f64(step_ms / 1_000.0)).await;
        let mut state = engine.lock();
        if state.fault.is_some_and(|fault| fault.kind == FaultKind::Freeze && fault.count > 0) {
            continue;
        }
        let events = state.core.finish_step();
        for event in events {
            state.apply_step(event);
        }
        drop(state);
        engine.progress.send_modify(|step| *step += 1);
    }
}

impl State {
    fn apply_step(&mut self, event: StepEvent) {
        match event {
            StepEvent::Token(id, offset) => {
                self.update_attempt(id, |attempt| attempt.generated_tokens = offset + 1)
            }
            StepEvent::Prefilled(id) | StepEvent::Ended(id) => {
                self.update_attempt(id, |attempt| attempt.is_ended = true)
            }
        }
    }

    fn update_attempt(&mut self, id: AttemptId, update: impl FnOnce(&mut Attempt)) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            update(attempt);
        }
    }

    /// Returns the fault for the next request and decreases its count; a freeze lasts until it is reset.
    fn take_fault(&mut self) -> Option<Fault> {
        let active = self.fault.filter(|fault| fault.count > 0);
        if let Some(fault) = self.fault.as_mut().filter(|fault| fault.kind != FaultKind::Freeze) {
            fault.count = fault.count.saturating_sub(1);
        }
        active
    }
}

async fn answer(
    engine: Arc<Engine>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ServeError> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let method = request.method().clone();
    if parts != ["faults"] && engine.is_frozen() {
        std::future::pending::<()>().await;
    }
    match (method, parts.as_slice()) {
        (Method::POST, ["v1", "completions"]) => engine.complete(request).await,
        (Method::GET, ["v1", "models"]) => Ok(json(StatusCode::OK, &engine.options.models)),
        (Method::GET, ["attempts", id]) => engine.resume(id, request.uri().query()),
        (Method::DELETE, ["attempts", id]) => Ok(engine.cancel(id)),
        (Method::GET, ["load"]) => Ok(json(StatusCode::OK, &engine.load())),
        (Method::GET, ["cache", "events"]) => Ok(engine.cache_events(request.uri().query())),
        (Method::POST, ["kv", "prefill"]) => engine.prefill(request).await,
        (Method::GET, ["kv", id]) => Ok(engine.export_kv(id)),
        (Method::POST, ["orders"]) => Ok(engine.execute_command(request).await),
        (Method::POST, ["leaving"]) => Ok(engine.leave()),
        (Method::GET, ["record"]) => {
            Ok(json(StatusCode::OK, &engine.lock().core.started().collect::<Vec<_>>()))
        }
        (Method::POST, ["faults"]) => Ok(engine.set_fault(request).await),
        _ => Ok(empty(StatusCode::NOT_FOUND)),
    }
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_frozen(&self) -> bool {
        self.lock().fault.is_some_and(|fault| fault.kind == FaultKind::Freeze && fault.count > 0)
    }

    async fn set_fault(&self, request: Request<Incoming>) -> Response<Body> {
        let fault = serde_json::from_slice(&read_body(request.into_body()).await).ok();
        self.lock().fault = fault;
        json(StatusCode::OK, &fault)
    }

    fn leave(&self) -> Response<Body> {
        self.lock().leaving = true;
        empty(StatusCode::OK)
    }

    async fn execute_command(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(command) =
            serde_json::from_slice::<CommandBody>(&read_body(request.into_body()).await)
        else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let mut state = self.lock();
        if command.fence < state.highest_fence {
            return json(StatusCode::CONFLICT, &state.highest_fence);
        }
        state.highest_fence = command.fence;
        state.adapters.extend(command.adapter);
        json(StatusCode::OK, &command.fence)
    }

    /// The load report of `report_lag` ago, or the oldest one if the engine is younger than that.
    fn load(&self) -> Load {
        let mut state = self.lock();
        let running = state
            .core
            .running()
            .map(|running| (running.job.attempt_id, running.job.memory_tokens()));
        let current = Load {
            incarnation: self.incarnation,
            memory_tokens: state.core.model().memory_tokens,
            reserved_tokens: state.core.reserved_tokens(),
            running: running.collect(),
            adapters: state.adapters.clone(),
            leaving: state.leaving,
        };
        state.reports.push((tokio::time::Instant::now(), current));
        let lag = self.options.report_lag;
        let visible = state.reports.iter().rposition(|(at, _)| at.elapsed() >= lag).unwrap_or(0);
        state.reports.drain(..visible);
        state.reports[0].1.clone()
    }

    fn cache_events(&self, query: Option<&str>) -> Response<Body> {
        let after = query_number(query, "after");
        let state = self.lock();
        json(StatusCode::OK, &state.core.cache_events(after).collect::<Vec<_>>())
    }

    async fn complete(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, ServeError> {
        let Some((attempt_id, body)) = parse_request(request).await else {
            return Ok(empty(StatusCode::BAD_REQUEST));
        };
        let has_adapter =
            body.adapter.as_ref().is_none_or(|adapter| self.lock().adapters.contains(adapter));
        if !has_adapter {
            return Ok(reject(StartError::NoAdapter));
        }
        for import in &body.kv_imports {
            if !fetch_kv(import).await {
                return Ok(json(StatusCode::CONFLICT, &"a KV handle is gone"));
            }
        }
        let output_tokens =
            body.max_tokens.unwrap_or(u64::MAX).min(self.options.max_output_tokens).max(1);
        let started = self.start(attempt_id, JobKind::Completion, &body, output_tokens);
        let fault = self.lock().take_fault();
        match started {
            Ok(()) => Ok(self.stream(attempt_id, 0, fault)),
            Err(error) => Ok(reject(error)),
        }
    }

    async fn prefill(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, ServeError> {
        let Some((attempt_id, body)) = parse_request(request).await else {
            return Ok(empty(StatusCode::BAD_REQUEST));
        };
        if let Err(error) = self.start(attempt_id, JobKind::Prefill, &body, 0) {
            return Ok(reject(error));
        }
        let mut progress = self.progress.subscribe();
        loop {
            let attempt = self.attempt(attempt_id).unwrap_or_default();
            if attempt.is_cancelled {
                return Ok(empty(StatusCode::GONE));
            }
            if attempt.is_ended {
                return Ok(json(
                    StatusCode::OK,
                    &serde_json::json!({ "prompt_tokens": attempt.prompt_tokens }),
                ));
            }
            progress.changed().await.ok();
        }
    }

    fn start(
        &self,
        id: AttemptId,
        kind: JobKind,
        body: &CompletionBody,
        output_tokens: u64,
    ) -> Result<(), StartError> {
        let prompt = body.prompt.as_bytes();
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u64;
        let job = Job {
            attempt_id: id,
            kind,
            prompt_tokens,
            output_tokens,
            priority: body.priority,
            prefix_hashes: prefix_hashes(prompt, PREFIX_BLOCK_BYTES),
        };
        let mut state = self.lock();
        let cached_tokens = state.core.start(job)?;
        let fingerprint = fingerprint(prompt);
        let attempt = Attempt { fingerprint, prompt_tokens, cached_tokens, ..Attempt::default() };
        state.attempts.insert(id, attempt);
        drop(state);
        self.work_added.notify_one();
        Ok(())
    }

    fn attempt(&self, id: AttemptId) -> Option<Attempt> {
        self.lock().attempts.get(&id).cloned()
    }

    fn resume(
        self: Arc<Self>,
        id: &str,
        query: Option<&str>,
    ) -> Result<Response<Body>, ServeError> {
        match id.parse::<AttemptId>().ok().filter(|&id| self.attempt(id).is_some()) {
            Some(id) => Ok(self.stream(id, query_number(query, "offset"), None)),
            None => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        let Ok(id) = id.parse::<AttemptId>() else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let mut state = self.lock();
        state.core.cancel(id);
        state.update_attempt(id, |attempt| attempt.is_cancelled = true);
        drop(state);
        self.progress.send_modify(|step| *step += 1);
        empty(StatusCode::OK)
    }

    fn export_kv(&self, id: &str) -> Response<Body> {
        let attempt = id.parse::<AttemptId>().ok().and_then(|id| self.attempt(id));
        match attempt.filter(|attempt| attempt.is_ended && !attempt.is_cancelled) {
            Some(attempt) => json(StatusCode::OK, &attempt.prompt_tokens),
            None => empty(StatusCode::GONE),
        }
    }
}

async fn sleep_ms(delay_ms: u64) {
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}

fn reject(error: StartError) -> Response<Body> {
    let status = match error {
        StartError::Repeated => StatusCode::CONFLICT,
        StartError::OutOfMemory { .. } | StartError::NoAdapter => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = json(status, &error.to_string());
    response.headers_mut().insert("x-not-begun", http::HeaderValue::from_static("true"));
    response
}

fn fingerprint(prompt: &[u8]) -> u64 {
    SipHasher13::new().hash(prompt)
}

/// Attempt id and body of a request; `None` if either is malformed.
async fn parse_request(request: Request<Incoming>) -> Option<(AttemptId, CompletionBody)> {
    let attempt_id = attempt_id_of(&request)?;
    let body = serde_json::from_slice(&read_body(request.into_body()).await).ok()?;
    Some((attempt_id, body))
}

fn attempt_id_of(request: &Request<Incoming>) -> Option<AttemptId> {
    request.headers().get("x-attempt-id")?.to_str().ok()?.parse().ok()
}

fn query_number(query: Option<&str>, name: &str) -> u64 {
    let pairs = query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok()).unwrap_or(0)
}

async fn fetch_kv(import: &KvHandle) -> bool {
    let request = Request::get(format!("/kv/{}", import.handle))
        .header("host", import.address.to_string())
        .body(Full::default());
    let Ok(request) = request else {
        return false;
    };
    exchange(import.address, request).await.is_some_and(|status| status.is_success())
}
