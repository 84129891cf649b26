//! The completions interface, streamed and whole.

use std::sync::Arc;

use bytes::Bytes;
use clayplank_state::Answer;
use clayplank_types::Outcome;
use clayplank_upstream::{Chunk, Finish, ServiceRequest};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Method, Response, StatusCode};
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::doors::accounts::AccountPass;
use crate::doors::claims::{Claimed, HeldClaim, claim, release, settle};
use crate::doors::cut_off::FlushBeforeCutOff;
use crate::doors::dispatch::{Sink, Work, run_work};
use crate::doors::replies::{CutOff, Problem, full, json, set_outcome};
use crate::doors::services::{fingerprint, repeat_response};
use crate::process::host::{Host, InProgressGuard};

/// Chunks that wait for a slow caller before the engine's stream is held up.
const STREAM_CHUNKS: usize = 64;

const DONE: &str = "data: [DONE]\n\n";

/// Which of the two interfaces was called.
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

/// The body of a call. Fields that are not listed are ignored, as model servers do.
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
    /// Reads a body, or names what is wrong in it.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self, Problem> {
        serde_json::from_slice(bytes)
            .map_err(|error| Problem::Malformed(format!("the body is not a call: {error}")))
    }

    /// The prompt of the call.
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

/// A call that was let in.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) work: Work,
    pub(crate) style: Style,
    pub(crate) is_streamed: bool,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) body: Bytes,
}

type Answered = Response<crate::doors::replies::Body>;

/// Runs a call; the answer starts with the first token, so that its status is true.
pub(crate) async fn run_completion(
    host: &Arc<Host>,
    call: Call,
    pass: AccountPass,
    guard: InProgressGuard,
) -> Result<Answered, Problem> {
    let held = match &call.idempotency_key {
        Some(key) if !call.work.effective.repeatable => {
            match claim(host, &call.work.account, key, call_fingerprint(&call), call.work.deadline)
                .await?
            {
                Claimed::Run(held) => Some(held),
                Claimed::Repeated(answer) => return Ok(repeat_response(answer)),
            }
        }
        Some(_) | None => None,
    };
    if call.is_streamed {
        stream_answer(host, call, pass, guard, held).await
    } else {
        // On a task of its own: if the caller leaves, the grant is ended all the same.
        let host = Arc::clone(host);
        let task =
            tokio::spawn(async move { whole_answer(&host, &call, &pass, guard, held).await });
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

async fn whole_answer(
    host: &Host,
    call: &Call,
    pass: &AccountPass,
    _guard: InProgressGuard,
    held: Option<HeldClaim>,
) -> Result<Answered, Problem> {
    let mut sink = Sink::Whole(String::new());
    let result = run_work(host, &call.work, pass, &mut sink).await;
    let Sink::Whole(text) = sink else {
        return Err(Problem::Failed("the answer went elsewhere".to_owned()));
    };
    let result = result.map(|finish| whole_body(call, &text, &finish));
    end_claim(host, held, result.as_ref().map(|body| Some(body.to_string()))).await;
    let mut response = json(StatusCode::OK, &result?);
    set_outcome(&mut response, Outcome::Answered);
    Ok(response)
}

/// Settles or releases, as the request ended. A streamed answer is not kept.
async fn end_claim(host: &Host, held: Option<HeldClaim>, result: Result<Option<String>, &Problem>) {
    let Some(held) = held else {
        return;
    };
    match result {
        Ok(body) => {
            let content_type = Some("application/json".to_owned());
            settle(
                host,
                held,
                Some(Answer { status: 200, content_type, body: body.map(String::into_bytes) }),
            )
            .await;
        }
        Err(problem) if problem.outcome() == Outcome::NotRun => release(host, held),
        Err(_) => settle(host, held, None).await,
    }
}

async fn stream_answer(
    host: &Arc<Host>,
    call: Call,
    pass: AccountPass,
    guard: InProgressGuard,
    held: Option<HeldClaim>,
) -> Result<Answered, Problem> {
    let (chunk_sender, mut chunks) = mpsc::channel(STREAM_CHUNKS);
    let (model, style) = (call.work.model.clone(), call.style);
    let task_host = Arc::clone(host);
    let task = tokio::spawn(async move {
        let mut sink = Sink::Stream(chunk_sender);
        let result = run_work(&task_host, &call.work, &pass, &mut sink).await;
        end_claim(&task_host, held, result.as_ref().map(|_| None)).await;
        result
    });
    let Some(first) = chunks.recv().await else {
        return match join(task).await {
            Ok(finish) => Ok(empty_stream(style, &model, &finish)),
            Err(problem) => Err(problem),
        };
    };
    let (sender, channel) = Channel::<Bytes, CutOff>::new(STREAM_CHUNKS);
    tokio::spawn(send_stream(sender, style, model, first, chunks, task, guard));
    Ok(event_response(FlushBeforeCutOff::new(channel.boxed_unsync()).boxed_unsync()))
}

async fn join(task: JoinHandle<Result<Finish, Problem>>) -> Result<Finish, Problem> {
    task.await.unwrap_or_else(|_| Err(Problem::Failed("the request failed inside".to_owned())))
}

fn event_response(body: crate::doors::replies::Body) -> Answered {
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    set_outcome(&mut response, Outcome::Answered);
    response
}

fn empty_stream(style: Style, model: &str, finish: &Finish) -> Answered {
    let text = format!("{}{DONE}", event(&last_chunk(style, model, finish)));
    event_response(full(text))
}

/// Passes the chunks on. A broken answer ends with an error event and a broken connection, never with `[DONE]`.
async fn send_stream(
    mut sender: Sender<Bytes, CutOff>,
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
            // The caller left: the engine is told as soon as the next chunk finds nobody.
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
            sender.abort(CutOff);
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

fn whole_body(call: &Call, text: &str, finish: &Finish) -> serde_json::Value {
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
        "model": call.work.model,
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
