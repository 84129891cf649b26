//! Reads the streamed answer of one attempt completely and in order, resuming broken streams.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clayplank_types::AttemptId;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use http::Response;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::assemble::{Assembler, Chunk, ChunkOrderError, Finish};
use crate::client::UpstreamError;
use crate::engine::EngineClient;

/// Data of the event that follows the last chunk.
const DONE: &str = "[DONE]";

/// Options for reading an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerOptions {
    /// Maximum number of times that a broken stream is resumed.
    pub max_resumes: u32,
    /// Maximum time to wait for the next event of the engine.
    pub event_timeout: Duration,
}

impl Default for AnswerOptions {
    fn default() -> Self {
        Self { max_resumes: 3, event_timeout: Duration::from_secs(5) }
    }
}

/// Reason for which an answer ended before it was complete.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The stream broke and could not be resumed.
    #[error("the stream broke at chunk {offset}")]
    Broken {
        /// Offset of the first missing chunk.
        offset: u64,
        /// Reason for which the stream was not resumed.
        source: UpstreamError,
    },
    /// The offsets of the chunks are not those of one answer.
    #[error("the chunks do not make one answer")]
    Order(#[from] ChunkOrderError),
    /// A chunk carries the id of another attempt.
    #[error("a chunk of attempt {found} came in the answer of {wanted}")]
    WrongAttempt {
        /// Attempt whose answer is being read.
        wanted: AttemptId,
        /// Attempt that the chunk names.
        found: AttemptId,
    },
    /// A chunk could not be deserialized.
    #[error("a chunk cannot be read")]
    Malformed(#[from] serde_json::Error),
}

#[derive(Deserialize)]
struct ChunkBody {
    id: AttemptId,
    offset: u64,
    choices: Vec<ChoiceBody>,
    #[serde(default)]
    usage: Option<UsageBody>,
}

#[derive(Deserialize)]
struct ChoiceBody {
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct UsageBody {
    prompt_tokens: u64,
    #[serde(default)]
    cached_tokens: u64,
    completion_tokens: u64,
}

type Events = Pin<Box<dyn Stream<Item = Result<Event, EventStreamError<hyper::Error>>> + Send>>;

/// The streamed answer of one attempt, as a sequence of chunks.
pub struct AnswerStream {
    client: Arc<dyn EngineClient>,
    engine: SocketAddr,
    attempt_id: AttemptId,
    options: AnswerOptions,
    events: Events,
    assembler: Assembler,
    ready: VecDeque<Chunk>,
    resumes: u32,
}

impl std::fmt::Debug for AnswerStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AnswerStream")
            .field("engine", &self.engine)
            .field("attempt_id", &self.attempt_id)
            .finish()
    }
}

impl AnswerStream {
    /// Creates a stream that reads from the response to a dispatched attempt.
    pub fn new(
        client: Arc<dyn EngineClient>,
        engine: SocketAddr,
        attempt_id: AttemptId,
        response: Response<Incoming>,
        options: AnswerOptions,
    ) -> Self {
        let (events, assembler) = (read_events(response), Assembler::default());
        Self {
            client,
            engine,
            attempt_id,
            options,
            events,
            assembler,
            ready: VecDeque::new(),
            resumes: 0,
        }
    }

    /// Returns the next chunk in order, or `None` once the answer is complete.
    ///
    /// # Errors
    /// The rest of the answer cannot be obtained. Chunks returned before stay valid.
    pub async fn next(&mut self) -> Result<Option<Chunk>, RelayError> {
        loop {
            if let Some(chunk) = self.ready.pop_front() {
                return Ok(Some(chunk));
            }
            if self.assembler.is_complete() {
                return Ok(None);
            }
            match clayplank_clock::timeout(self.options.event_timeout, self.events.next()).await {
                Ok(Some(Ok(event))) if event.data == DONE => {}
                Ok(Some(Ok(event))) => {
                    let chunk = self.read_chunk(&event.data)?;
                    self.ready.extend(self.assembler.apply(chunk)?);
                }
                Ok(Some(Err(_)) | None) | Err(_) => self.resume().await?,
            }
        }
    }

    fn read_chunk(&self, data: &str) -> Result<Chunk, RelayError> {
        let body: ChunkBody = serde_json::from_str(data)?;
        if body.id != self.attempt_id {
            return Err(RelayError::WrongAttempt { wanted: self.attempt_id, found: body.id });
        }
        let choice = body.choices.into_iter().next();
        let (text, reason) =
            choice.map_or((String::new(), None), |choice| (choice.text, choice.finish_reason));
        let finish = reason.map(|reason| {
            let usage = body.usage.unwrap_or(UsageBody {
                prompt_tokens: 0,
                cached_tokens: 0,
                completion_tokens: 0,
            });
            Finish {
                reason,
                prompt_tokens: usage.prompt_tokens,
                cached_tokens: usage.cached_tokens,
                completion_tokens: usage.completion_tokens,
            }
        });
        Ok(Chunk { offset: body.offset, text, finish })
    }

    /// Resumes the stream at the first missing chunk; the engine does not run the attempt again.
    async fn resume(&mut self) -> Result<(), RelayError> {
        let offset = self.assembler.next_offset();
        if self.resumes >= self.options.max_resumes {
            let source = UpstreamError::NoAnswer { address: self.engine };
            return Err(RelayError::Broken { offset, source });
        }
        self.resumes += 1;
        let resumed = self
            .client
            .resume(self.engine, self.attempt_id, offset, self.options.event_timeout)
            .await;
        let response = resumed.map_err(|source| RelayError::Broken { offset, source })?;
        self.assembler.discard_buffered();
        self.events = read_events(response);
        Ok(())
    }
}

fn read_events(response: Response<Incoming>) -> Events {
    let data: BodyDataStream<Incoming> = BodyDataStream::new(response.into_body());
    let bytes = data.map(|part: Result<Bytes, hyper::Error>| part);
    Box::pin(bytes.eventsource())
}
