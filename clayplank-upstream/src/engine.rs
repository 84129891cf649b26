//! The interface of an engine and its implementation over HTTP.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use clayplank_types::{AttemptId, EnginePriority, Incarnation};
use futures_util::future::BoxFuture;
use http::{Method, Response, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::client::{HttpClient, UpstreamError, request_to};

/// Time-out of a control request to an engine, such as one for its load.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of the answer to a control request.
const MAX_CONTROL_ANSWER_BYTES: usize = 4 << 20;

const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Header that an engine sets on a rejection if it has not started the request.
const NOT_BEGUN_HEADER: &str = "x-not-begun";

/// A completion request to an engine, or a prefill request for a part of a prompt.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CompletionRequest<'a> {
    /// Id of the attempt, sent as a header.
    #[serde(skip)]
    pub attempt_id: AttemptId,
    /// Model that runs the request.
    pub model: &'a str,
    /// Adapter to apply to the model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<&'a str>,
    /// The prompt, or its last part if `kv_imports` covers the earlier ones.
    pub prompt: &'a str,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u64,
    /// Priority class for the prefill of the prompt.
    pub priority: EnginePriority,
    /// Handles of the KV cache of the prompt's earlier parts.
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    pub kv_imports: &'a [KvHandle],
    /// Whether the engine answers by server-sent events.
    pub stream: bool,
}

/// Handle of the KV cache of a part of a prompt, at the engine that prefilled it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvHandle {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Attempt that prefilled the part.
    pub handle: AttemptId,
}

/// Load report of an engine; it may be outdated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the engine; changes with each restart.
    pub incarnation: Incarnation,
    /// Capacity of its KV cache, in tokens.
    pub memory_tokens: u64,
    /// Attempts in the current batch, with the KV-cache tokens reserved for each.
    pub running: BTreeMap<AttemptId, u64>,
    /// Adapters that are loaded.
    #[serde(default)]
    pub adapters: BTreeSet<String>,
    /// Whether the engine is about to stop and must get no more requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Insertion of a prefix into an engine's cache, or its eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, incremented by one with each event; a larger step means lost events.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix_hash: u64,
    /// Whether the prefix was inserted; `false` if it was evicted.
    pub stored: bool,
}

/// A command to an engine, sent with a fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "order")]
pub enum EngineCommand {
    /// Load a model.
    LoadModel {
        /// Name of the model.
        model: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Change the engine's role.
    SetRole {
        /// Name of the new role.
        role: String,
    },
}

/// The operations of an engine that the serving layer uses.
pub trait EngineClient: Send + Sync + std::fmt::Debug {
    /// Starts an attempt; the body of the response is the stream of its answer.
    fn complete<'a>(
        &'a self,
        engine: SocketAddr,
        completion: CompletionRequest<'a>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Response<Incoming>, UpstreamError>>;

    /// Resumes the answer of an attempt at a chunk offset, without running the attempt again.
    fn resume(
        &self,
        engine: SocketAddr,
        attempt_id: AttemptId,
        offset: u64,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Response<Incoming>, UpstreamError>>;

    /// Cancels an attempt. Once this returns `Ok`, the engine no longer runs it.
    fn cancel(
        &self,
        engine: SocketAddr,
        attempt_id: AttemptId,
    ) -> BoxFuture<'_, Result<(), UpstreamError>>;

    /// Requests a load report, which may be outdated.
    fn load(&self, engine: SocketAddr) -> BoxFuture<'_, Result<LoadReport, UpstreamError>>;

    /// Requests the cache events with a sequence number above `after`. Events may be late, and
    /// some may be missing.
    fn cache_events(
        &self,
        engine: SocketAddr,
        after: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, UpstreamError>>;

    /// Prefills a part of a prompt; the engine keeps its KV cache for another engine to import.
    fn prefill<'a>(
        &'a self,
        engine: SocketAddr,
        part: CompletionRequest<'a>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<(), UpstreamError>>;

    /// Sends a command with a fencing token.
    fn send_command<'a>(
        &'a self,
        engine: SocketAddr,
        fence: u64,
        command: &'a EngineCommand,
    ) -> BoxFuture<'a, Result<(), UpstreamError>>;
}

/// Client of engines that implement the HTTP interface of `docs/ENGINES.md`.
#[derive(Clone, Debug, Default)]
pub struct HttpEngineClient {
    client: HttpClient,
}

#[derive(Serialize)]
struct FencedCommand<'a> {
    fence: u64,
    #[serde(flatten)]
    order: &'a EngineCommand,
}

impl HttpEngineClient {
    async fn send_attempt(
        &self,
        engine: SocketAddr,
        path: &str,
        completion: CompletionRequest<'_>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let body = serde_json::to_vec(&completion)
            .map_err(|_| UpstreamError::Malformed { address: engine })?;
        let request = request_to(Method::POST, engine, path)
            .header(ATTEMPT_HEADER, completion.attempt_id.to_string())
            .header(http::header::CONTENT_TYPE, "application/json");
        let response = self.client.send(engine, request, Bytes::from(body), timeout).await?;
        check_accepted(engine, response)
    }

    async fn fetch<T: DeserializeOwned>(
        &self,
        engine: SocketAddr,
        path: &str,
    ) -> Result<T, UpstreamError> {
        let request = request_to(Method::GET, engine, path);
        let response = self
            .client
            .exchange(engine, request, Bytes::new(), CONTROL_TIMEOUT, MAX_CONTROL_ANSWER_BYTES)
            .await?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(UpstreamError::Status { address: engine, status: status.as_u16() });
        }
        serde_json::from_slice(response.body())
            .map_err(|_| UpstreamError::NoAnswer { address: engine })
    }

    async fn send_control(
        &self,
        engine: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(), UpstreamError> {
        let request = request_to(method, engine, path);
        let response = self
            .client
            .exchange(engine, request, body, CONTROL_TIMEOUT, MAX_CONTROL_ANSWER_BYTES)
            .await?;
        match response.status() {
            StatusCode::OK => Ok(()),
            status => Err(UpstreamError::Status { address: engine, status: status.as_u16() }),
        }
    }
}

/// Turns a response other than 200 into an error that tells whether the request was started.
fn check_accepted(
    engine: SocketAddr,
    response: Response<Incoming>,
) -> Result<Response<Incoming>, UpstreamError> {
    if response.status() == StatusCode::OK {
        return Ok(response);
    }
    match response.headers().contains_key(NOT_BEGUN_HEADER) {
        true => Err(UpstreamError::NotStarted { address: engine }),
        false => Err(UpstreamError::Status { address: engine, status: response.status().as_u16() }),
    }
}

impl EngineClient for HttpEngineClient {
    fn complete<'a>(
        &'a self,
        engine: SocketAddr,
        completion: CompletionRequest<'a>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Response<Incoming>, UpstreamError>> {
        Box::pin(self.send_attempt(engine, "/v1/completions", completion, timeout))
    }

    fn resume(
        &self,
        engine: SocketAddr,
        attempt_id: AttemptId,
        offset: u64,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Response<Incoming>, UpstreamError>> {
        Box::pin(async move {
            let path = format!("/attempts/{attempt_id}?offset={offset}");
            let request = request_to(Method::GET, engine, &path);
            let response = self.client.send(engine, request, Bytes::new(), timeout).await?;
            check_accepted(engine, response)
        })
    }

    fn cancel(
        &self,
        engine: SocketAddr,
        attempt_id: AttemptId,
    ) -> BoxFuture<'_, Result<(), UpstreamError>> {
        Box::pin(async move {
            let path = format!("/attempts/{attempt_id}");
            self.send_control(engine, Method::DELETE, &path, Bytes::new()).await
        })
    }

    fn load(&self, engine: SocketAddr) -> BoxFuture<'_, Result<LoadReport, UpstreamError>> {
        Box::pin(self.fetch(engine, "/load"))
    }

    fn cache_events(
        &self,
        engine: SocketAddr,
        after: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, UpstreamError>> {
        Box::pin(async move { self.fetch(engine, &format!("/cache/events?after={after}")).await })
    }

    fn prefill<'a>(
        &'a self,
        engine: SocketAddr,
        part: CompletionRequest<'a>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<(), UpstreamError>> {
        Box::pin(
            async move { self.send_attempt(engine, "/kv/prefill", part, timeout).await.map(drop) },
        )
    }

    fn send_command<'a>(
        &'a self,
        engine: SocketAddr,
        fence: u64,
        command: &'a EngineCommand,
    ) -> BoxFuture<'a, Result<(), UpstreamError>> {
        Box::pin(async move {
            let body = serde_json::to_vec(&FencedCommand { fence, order: command });
            let body = body.map_err(|_| UpstreamError::Malformed { address: engine })?;
            self.send_control(engine, Method::POST, "/orders", Bytes::from(body)).await
        })
    }
}
