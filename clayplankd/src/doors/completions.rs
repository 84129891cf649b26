//! The completions API, with streamed or buffered answers.

use std::sync::Arc;

use bytes::Bytes;
use clayplank_state::StoredAnswer;
use clayplank_types::Outcome;
use clayplank_upstream::{Chunk, Finish, ServiceRequest};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Method, Response, StatusCode};
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::doors::account_limits::AccountPermit;
use crate::doors::body_abort::FlushBeforeAbort;
use crate::doors::claims::{Claimed, HeldClaim, claim, release, settle};
use crate::doors::dispatch::{PromptJob, Sink, run_job};
use crate::doors::replies::{BodyAborted, Problem, full, json, set_outcome};
use crate::doors::services::{fingerprint, repeat_response};
use crate::process::host_state::{Host, InProgressGuard};

/// Number of chunks buffered for a slow caller before backpressure stops reading from the engine.
const STREAM_CHUNKS: usize = 64;

const DONE: &str = "data: [DONE]\n\n";

/// The called variant of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Style {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl Style {
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }

    fn object(self, is_chunk: bool) -> &'static str {
        match (self, is_chunk) {
            (Self::Text, _) => "text_completion",
            (Self::Chat, true) => "chat.completion.chunk",
            (Self::Chat, false) => "chat.completion",
        }
    }
}

/// The body of a call. Unknown fields are ignored, as model servers do.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct CallBody {
    pub(crate) model: Option<String>,
    prompt: Option<String>,
    messages: Option<Vec<MessageBody>>,
    pub(crate) max_tokens: Option<u64>,
    #[serde(default)]
    pub(crate) stream: bool,
}

#[derive(Clone, Debug, Deserialize)]
struct MessageBody {
    role: String,
    content: String,
}

impl CallBody {
    /// Parses a body, or reports the fault in it.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self, Problem> {
        serde_json::from_slice(bytes)
            .map_err(|error| Problem::Malformed(format!("the body is not a call: {error}")))
    }

    /// Builds the prompt; chat messages are joined, one per line.
    pub(crate) fn to_prompt(&self, style: Style) -> Result<String, Problem> {
        let prompt = match style {
            Style::Text => self.prompt.clone().ok_or("/prompt: must be a string"),
            Style::Chat => self
                .messages
                .as_deref()
                .map(join_messages)
                .ok_or("/messages: must be a list of messages"),
        };
        let prompt = prompt.map_err(|message| Problem::Malformed(message.to_owned()))?;
        match prompt.is_empty() {
            true => Err(Problem::Malformed("the prompt must not be empty".to_owned())),
            false => Ok(prompt),
        }
    }
}

fn join_messages(messages: &[MessageBody]) -> String {
    let lines: Vec<_> =
        messages.iter().map(|message| format!("{}: {}", message.role, message.content)).collect();
    lines.join("\n")
}

/// An admitted call.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) job: PromptJob,
    pub(crate) style: Style,
    pub(crate) is_streamed: bool,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) body: Bytes,
}

type AnswerResponse = Response<crate::doors::replies::Body>;

/// Runs a call. The response starts only with the first token, so that its status code can still
/// report an earlier failure.
pub(crate) async fn run_completion(
    host: &Arc<Host>,
    call: Call,
    permit: AccountPermit,
    guard: InProgressGuard,
) -> Result<AnswerResponse, Problem> {
    let held_claim = match &call.idempotency_key {
        Some(key) if !call.job.effective.repeatable => {
            match claim(host, &call.job.account, key, call_fingerprint(&call), call.job.deadline)
                .await?
            {
                Claimed::Run(held_claim) => Some(held_claim),
                Claimed::Repeated(answer) => return Ok(repeat_response(answer)),
            }
        }
        Some(_) | None => None,
    };
    if call.is_streamed {
        stream_answer(host, call, permit, guard, held_claim).await
    } else {
        // Runs in a separate task, so that the grant is ended even if the caller disconnects.
        let host = Arc::clone(host);
        let task =
            tokio::spawn(
                async move { buffered_answer(&host, &call, &permit, guard, held_claim).await },
            );
        task.await.unwrap_or_else(|_| Err(Problem::Failed("the request failed inside".to_owned())))
    }
}

fn call_fingerprint(call: &Call) -> u128 {
    fingerprint(&ServiceRequest {
        method: Method::POST,
        path: call.style.path().to_owned(),
        headers: HeaderMap::new(),
        body: call.body.clone(),
    })
}

async fn buffered_answer(
    host: &Host,
    call: &Call,
    permit: &AccountPermit,
    _guard: InProgressGuard,
    held_claim: Option<HeldClaim>,
) -> Result<AnswerResponse, Problem> {
    let mut sink = Sink::Buffered(String::new());
    let result = run_job(host, &call.job, permit, &mut sink).await;
    let Sink::Buffered(text) = sink else {
        return Err(Problem::Failed("the answer went elsewhere".to_owned()));
    };
    let result = result.map(|finish| completion_body(call, &text, &finish));
    end_claim(host, held_claim, result.as_ref().map(|body| Some(body.to_string()))).await;
    let mut response = json(StatusCode::OK, &result?);
    set_outcome(&mut response, Outcome::Answered);
    Ok(response)
}

/// Settles or releases the claim, depending on the outcome of the request. The body of a streamed
/// answer is not stored.
async fn end_claim(
    host: &Host,
    held_claim: Option<HeldClaim>,
    result: Result<Option<String>, &Problem>,
) {
    let Some(held_claim) = held_claim else {
        return;
    };
    match result {
        Ok(body) => {
            let content_type = Some("application/json".to_owned());
            settle(
                host,
                held_claim,
                Some(StoredAnswer {
                    status: 200,
                    content_type,
                    body: body.map(String::into_bytes),
                }),
            )
            .await;
        }
        Err(problem) if problem.outcome() == Outcome::NotRun => release(host, held_claim),
        Err(_) => settle(host, held_claim, None).await,
    }
}

async fn stream_answer(
    host: &Arc<Host>,
    call: Call,
    permit: AccountPermit,
    guard: InProgressGuard,
    held_claim: Option<HeldClaim>,
) -> Result<AnswerResponse, Problem> {
    let (chunk_sender, mut chunks) = mpsc::channel(STREAM_CHUNKS);
    let (model, style) = (call.job.model.clone(), call.style);
    let task_host = Arc::clone(host);
    let task = tokio::spawn(async move {
        let mut sink = Sink::Stream(chunk_sender);
        let result = run_job(&task_host, &call.job, &permit, &mut sink).await;
        end_claim(&task_host, held_claim, result.as_ref().map(|_| None)).await;
        result
    });
    let Some(first) = chunks.recv().await else {
        return match join(task).await {
            Ok(finish) => Ok(empty_stream(style, &model, &finish)),
            Err(problem) => Err(problem),
        };
    };
    let (sender, channel) = Channel::<Bytes, BodyAborted>::new(STREAM_CHUNKS);
    tokio::spawn(send_stream(sender, style, model, first, chunks, task, guard));
    Ok(event_response(FlushBeforeAbort::new(channel.boxed_unsync()).boxed_unsync()))
}

async fn join(task: JoinHandle<Result<Finish, Problem>>) -> Result<Finish, Problem> {
    task.await.unwrap_or_else(|_| Err(Problem::Failed("the request failed inside".to_owned())))
}

fn event_response(body: crate::doors::replies::Body) -> AnswerResponse {
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    set_outcome(&mut response, Outcome::Answered);
    response
}

fn empty_stream(style: Style, model: &str, finish: &Finish) -> AnswerResponse {
    let text = format!("{}{DONE}", event(&last_chunk(style, model, finish)));
    event_response(full(text))
}

/// Forwards the chunks to the caller. An answer that breaks off ends with an error event and an
/// aborted connection, never with `[DONE]`.
async fn send_stream(
    mut sender: Sender<Bytes, BodyAborted>,
    style: Style,
    model: String,
    first: Chunk,
    mut chunks: mpsc::Receiver<Chunk>,
    task: JoinHandle<Result<Finish, Problem>>,
    _guard: InProgressGuard,
) {
    let mut next = Some(first);
    while let Some(chunk) = next {
        let data = event(&middle_chunk(style, &model, &chunk));
        if sender.send_data(Bytes::from(data)).await.is_err() {
            // The caller disconnected. The engine's request is cancelled when sending the next
            // chunk fails.
            return;
        }
        next = chunks.recv().await;
    }
    match join(task).await {
        Ok(finish) => {
            let end = format!("{}{DONE}", event(&last_chunk(style, &model, &finish)));
            sender.send_data(Bytes::from(end)).await.ok();
        }
        Err(problem) => {
            let end = format!("event: error\n{}", event(&problem.to_json()));
            sender.send_data(Bytes::from(end)).await.ok();
            sender.abort(BodyAborted);
        }
    }
}

fn event(value: &serde_json::Value) -> String {
    format!("data: {value}\n\n")
}

fn middle_chunk(style: Style, model: &str, chunk: &Chunk) -> serde_json::Value {
    let choice = match style {
        Style::Text => serde_json::json!({ "index": 0, "text": chunk.text, "finish_reason": null }),
        Style::Chat => {
            serde_json::json!({ "index": 0, "delta": { "content": chunk.text }, "finish_reason": null })
        }
    };
    serde_json::json!({ "object": style.object(true), "model": model, "choices": [choice] })
}

fn last_chunk(style: Style, model: &str, finish: &Finish) -> serde_json::Value {
    let choice = match style {
        Style::Text => {
            serde_json::json!({ "index": 0, "text": "", "finish_reason": finish.reason })
        }
        Style::Chat => {
            serde_json::json!({ "index": 0, "delta": {}, "finish_reason": finish.reason })
        }
    };
    let usage = usage(finish);
    serde_json::json!({ "object": style.object(true), "model": model, "choices": [choice], "usage": usage })
}

fn completion_body(call: &Call, text: &str, finish: &Finish) -> serde_json::Value {
    let choice = match call.style {
        Style::Text => {
            serde_json::json!({ "index": 0, "text": text, "finish_reason": finish.reason })
        }
        Style::Chat => serde_json::json!({
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish.reason,
        }),
    };
    serde_json::json!({
        "object": call.style.object(false),
        "model": call.job.model,
        "choices": [choice],
        "usage": usage(finish),
    })
}

fn usage(finish: &Finish) -> serde_json::Value {
    serde_json::json!({
        "prompt_tokens": finish.prompt_tokens,
        "completion_tokens": finish.completion_tokens,
        "total_tokens": finish.prompt_tokens + finish.completion_tokens,
        "prompt_tokens_details": { "cached_tokens": finish.cached_tokens },
    })
}
