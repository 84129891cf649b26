//! Streams the tokens of an answer and injects the requested fault.

use std::sync::Arc;

use bytes::Bytes;
use clayplank_types::AttemptId;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};

use super::{Attempt, Engine, sleep_ms};
use crate::fault::{Fault, FaultKind};
use crate::http_server::{Body, ServeError};

/// Number of tokens after which a stream with the fault `drop-stream` breaks off.
const DROP_AFTER_TOKENS: u64 = 3;

impl Engine {
    pub(super) fn stream(
        self: Arc<Self>,
        id: AttemptId,
        offset: u64,
        fault: Option<Fault>,
    ) -> Response<Body> {
        let (sender, channel) = Channel::<Bytes, ServeError>::new(16);
        tokio::spawn(async move { self.send_tokens(id, offset, fault, sender).await });
        let mut response = Response::new(channel.boxed_unsync());
        let kind = http::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
        response
    }

    async fn send_tokens(
        &self,
        id: AttemptId,
        mut offset: u64,
        fault: Option<Fault>,
        mut sender: Sender<Bytes, ServeError>,
    ) {
        let mut progress = self.progress.subscribe();
        let kind = fault.map(|fault| fault.kind);
        match kind {
            Some(FaultKind::Die) => std::process::exit(1),
            Some(FaultKind::Late) => sleep_ms(fault.map_or(0, |fault| fault.delay_ms)).await,
            Some(FaultKind::LoseAnswer) => return sender.abort(ServeError::Broken),
            _ => {}
        }
        let mut delayed_chunk = None;
        loop {
            let Some(attempt) = self.attempt(id).filter(|attempt| !attempt.is_cancelled) else {
                return sender.abort(ServeError::Broken);
            };
            while offset < attempt.generated_tokens {
                let chunk = token_chunk(id, offset, &attempt);
                let is_first = offset == 0;
                offset += 1;
                if kind == Some(FaultKind::OutOfOrder) && is_first {
                    delayed_chunk = Some(chunk);
                    continue;
                }
                let is_repeated = kind == Some(FaultKind::AnswerTwice);
                let delayed = delayed_chunk.take();
                for part in [Some(chunk.clone()), delayed, is_repeated.then_some(chunk)]
                    .into_iter()
                    .flatten()
                {
                    if sender.send_data(part).await.is_err() {
                        return;
                    }
                }
                if kind == Some(FaultKind::DropStream) && offset >= DROP_AFTER_TOKENS {
                    return sender.abort(ServeError::Broken);
                }
            }
            if attempt.is_ended && offset >= attempt.generated_tokens {
                sender.send_data(final_chunk(id, &attempt)).await.ok();
                return;
            }
            if progress.changed().await.is_err() {
                return;
            }
        }
    }
}

fn token_chunk(id: AttemptId, offset: u64, attempt: &Attempt) -> Bytes {
    let text = format!("{:016x}-{offset} ", attempt.fingerprint);
    let chunk = serde_json::json!({ "id": id, "offset": offset, "choices": [{ "index": 0, "text": text }] });
    Bytes::from(format!("data: {chunk}\n\n"))
}

fn final_chunk(id: AttemptId, attempt: &Attempt) -> Bytes {
    let chunk = serde_json::json!({
        "id": id,
        "offset": attempt.generated_tokens,
        "choices": [{ "index": 0, "text": "", "finish_reason": "stop" }],
        "usage": {
            "prompt_tokens": attempt.prompt_tokens,
            "cached_tokens": attempt.cached_tokens,
            "completion_tokens": attempt.generated_tokens,
        },
    });
    Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n"))
}
