//! Runs one prompt: reserves engines, dispatches the prompt, relays the answer, and retries where
//! that is safe.

use std::net::SocketAddr;
use std::sync::Arc;

use clayplank_clock::Instant;
use clayplank_schedule::{ReservationRequest, Usage};
use clayplank_settings::EffectiveSettings;
use clayplank_types::{AccountId, AttemptId, PREFIX_BLOCK_TOKENS, UpstreamId, prefix_hashes};
use clayplank_upstream::{
    AnswerOptions, AnswerStream, Chunk, CompletionRequest, Finish, KvHandle, UpstreamError,
};
use tokio::sync::mpsc;

use crate::doors::account_limits::AccountPermit;
use crate::doors::quarantine::Identity;
use crate::doors::replies::Problem;
use crate::owners::reservations::{
    OwnedGrant, finish_grant, new_request, notify_first_token, reserve,
};
use crate::process::clock::millis;
use crate::process::host_state::Host;
use crate::process::logging::log_target;
use crate::process::metrics::Span;

/// Limit of attempts of one request, including the first.
const MAX_ATTEMPTS: usize = 3;

/// A prompt to run on an engine, with the settings and limits of its request.
#[derive(Clone, Debug)]
pub(crate) struct PromptJob {
    pub(crate) account: AccountId,
    pub(crate) share: u64,
    pub(crate) effective: EffectiveSettings,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_tokens: u64,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) band: String,
    pub(crate) identity: Identity,
}

/// Destination of the chunks of an answer.
#[derive(Debug)]
pub(crate) enum Sink {
    /// Each chunk goes to the caller at once.
    Stream(mpsc::Sender<Chunk>),
    /// The chunks are joined into one text.
    Buffered(String),
}

impl Sink {
    /// Forwards a chunk; false if the caller has disconnected.
    async fn put(&mut self, chunk: Chunk) -> bool {
        match self {
            Self::Stream(sender) => sender.send(chunk).await.is_ok(),
            Self::Buffered(text) => {
                text.push_str(&chunk.text);
                true
            }
        }
    }

    /// Discards the output of a failed attempt; false if the caller has already received some.
    fn reset(&mut self, has_output: bool) -> bool {
        match self {
            Self::Stream(_) => !has_output,
            Self::Buffered(text) => {
                text.clear();
                true
            }
        }
    }
}

/// Reason for the failure of an attempt.
#[derive(Debug)]
enum AttemptError {
    /// Provably, no engine has started the attempt.
    NotStarted,
    /// The attempt broke off after it started, or may have started.
    Broken(String),
    /// The caller disconnected.
    CallerLeft,
    /// The deadline passed.
    DeadlineOver,
}

/// Progress of one attempt.
#[derive(Debug, Default)]
struct Progress {
    first_token: Option<Instant>,
    last_token: Option<Instant>,
    output_tokens: u64,
}

/// Runs a prompt within its deadline, with retries where that is safe.
pub(crate) async fn run_job(
    host: &Host,
    job: &PromptJob,
    permit: &AccountPermit,
    sink: &mut Sink,
) -> Result<Finish, Problem> {
    let mut excluded = Vec::new();
    let mut may_have_run = false;
    for attempt_count in 1.. {
        let request = reservation_request(host, job, &excluded);
        let reserved = match host.check_quarantine(&job.identity, attempt_count == 1).await {
            Ok(()) => reserve(host, &request, job.deadline).await,
            Err(refusal) => Err(refusal),
        };
        let reservation = match reserved {
            Ok(reservation) => reservation,
            // An earlier attempt may have run: report that, not that the last one was rejected.
            Err(refusal) if may_have_run => {
                return Err(Problem::Failed(format!("an engine failed; {refusal}")));
            }
            Err(refusal) => return Err(Problem::Refused(refusal)),
        };
        let mut progress = Progress::default();
        let error = match run_attempt(host, job, &reservation, sink, &mut progress).await {
            Ok(finish) => {
                host.record_answered(&job.identity);
                return Ok(finish);
            }
            Err(error) => error,
        };
        if let AttemptError::Broken(_) = &error {
            record_break(host, job, &reservation);
        }
        excluded.extend(reservation.grant.parts.iter().map(|part| part.engine.clone()));
        let is_safe = match &error {
            AttemptError::NotStarted => true,
            AttemptError::Broken(_) => {
                job.effective.repeatable && sink.reset(progress.output_tokens > 0)
            }
            AttemptError::CallerLeft | AttemptError::DeadlineOver => false,
        };
        may_have_run |= !matches!(error, AttemptError::NotStarted);
        if !is_safe || attempt_count >= MAX_ATTEMPTS || !permit.spend_retry() {
            return Err(to_problem(error, may_have_run));
        }
        log::info!(target: log_target::CALLERS,
            "Attempt {} failed and is retried: {error:?}.", reservation.grant.attempt_id);
    }
    Err(Problem::Failed("no try was left".to_owned()))
}

/// Records that an attempt broke off at the last engine of its grant, the one that generates the
/// answer.
fn record_break(host: &Host, job: &PromptJob, reservation: &OwnedGrant) {
    let engine = reservation.grant.parts.last().map(|part| &part.engine);
    let address = engine.and_then(|engine| host.addresses.get(engine));
    if let (Some(engine), Some(&address)) = (engine, address) {
        let attempt = reservation.grant.attempt_id.to_string();
        host.record_break(&job.identity, engine, address, &attempt);
    }
}

fn to_problem(error: AttemptError, may_have_run: bool) -> Problem {
    match error {
        AttemptError::NotStarted if may_have_run => Problem::Failed("an engine failed".to_owned()),
        AttemptError::NotStarted => {
            let reason = clayplank_types::RefusalReason::UpstreamRefused;
            Problem::Refused(clayplank_types::Refusal::new(reason, 500))
        }
        AttemptError::Broken(message) => Problem::Failed(message),
        AttemptError::CallerLeft => Problem::Failed("the caller left".to_owned()),
        AttemptError::DeadlineOver => {
            Problem::Failed("the deadline was over before the answer".to_owned())
        }
    }
}

fn reservation_request(
    host: &Host,
    job: &PromptJob,
    excluded: &[UpstreamId],
) -> ReservationRequest {
    let bytes_per_block = job.prompt.len() as u64 * PREFIX_BLOCK_TOKENS / job.prompt_tokens.max(1);
    let block_bytes = host
        .settings
        .bytes_per_token
        .bytes(PREFIX_BLOCK_TOKENS)
        .min(bytes_per_block.max(1) as usize);
    let mut request =
        new_request(AttemptId::random(), job.account.clone(), &job.model, job.prompt_tokens);
    request.weight = job.share;
    request.priority = job.effective.priority;
    request.adapter = job.effective.adapter.clone();
    request.max_output_tokens = job.max_tokens;
    request.prefix_hashes = prefix_hashes(job.prompt.as_bytes(), block_bytes);
    request.avoided_engines = excluded.to_vec();
    request
}

/// Runs one attempt, and ends its grant in every case.
async fn run_attempt(
    host: &Host,
    job: &PromptJob,
    reservation: &OwnedGrant,
    sink: &mut Sink,
    progress: &mut Progress,
) -> Result<Finish, AttemptError> {
    let result = match clayplank_clock::timeout_at(
        job.deadline,
        relay(host, job, reservation, sink, progress),
    )
    .await
    {
        Ok(result) => result,
        Err(_) => Err(AttemptError::DeadlineOver),
    };
    let engine_ended = match (&result, reservation.grant.parts.len()) {
        (Ok(_), 1) | (Err(AttemptError::NotStarted), 1) => true,
        // The other engines of a gang keep their part of the prompt until it is cancelled.
        _ => cancel_parts(host, reservation).await,
    };
    let (first, last) = (progress.first_token, progress.last_token);
    let decode_ms = first.zip(last).map_or(0, |(first, last)| (last - first).as_millis() as u64);
    let engine_failed = matches!(result, Err(AttemptError::Broken(_) | AttemptError::NotStarted));
    let usage =
        Usage { engine_ended, engine_failed, output_tokens: progress.output_tokens, decode_ms };
    finish_grant(host, reservation, usage).await;
    if result.is_ok() {
        host.metrics.record(
            &job.account,
            &job.band,
            Span::Total,
            job.arrived.elapsed().as_millis() as u64,
        );
    }
    result
}

/// Cancels the attempt at every engine; true if each of them confirmed it.
async fn cancel_parts(host: &Host, reservation: &OwnedGrant) -> bool {
    let mut all_ended = true;
    for part in &reservation.grant.parts {
        let Some(&address) = host.addresses.get(&part.engine) else {
            continue;
        };
        all_ended &= host.engines.cancel(address, reservation.grant.attempt_id).await.is_ok();
    }
    all_ended
}

async fn relay(
    host: &Host,
    job: &PromptJob,
    reservation: &OwnedGrant,
    sink: &mut Sink,
    progress: &mut Progress,
) -> Result<Finish, AttemptError> {
    let mut stream = start(host, job, reservation).await?;
    loop {
        let next = stream.next().await;
        let chunk = match next {
            Ok(Some(chunk)) => chunk,
            Ok(None) => return Err(AttemptError::Broken("the answer has no end".to_owned())),
            Err(error) => return Err(AttemptError::Broken(error.to_string())),
        };
        if let Some(mut finish) = chunk.finish.clone() {
            // The last engine of a gang counts only the part of the prompt that it prefilled.
            let earlier = reservation.grant.parts.iter().rev().skip(1);
            finish.prompt_tokens += earlier.map(|part| part.prompt_tokens).sum::<u64>();
            return Ok(finish);
        }
        record_token(host, job, reservation, progress);
        if !sink.put(chunk).await {
            return Err(AttemptError::CallerLeft);
        }
    }
}

fn record_token(host: &Host, job: &PromptJob, reservation: &OwnedGrant, progress: &mut Progress) {
    let now = Instant::now();
    match progress.last_token {
        None => {
            let first_ms = (now - job.arrived).as_millis() as u64;
            host.metrics.record(&job.account, &job.band, Span::FirstToken, first_ms);
            progress.first_token = Some(now);
            host.report_first_token_in_background(reservation);
        }
        Some(last) => {
            let gap_ms = (now - last).as_millis() as u64;
            host.metrics.record(&job.account, &job.band, Span::BetweenTokens, gap_ms);
        }
    }
    progress.last_token = Some(now);
    progress.output_tokens += 1;
}

impl Host {
    fn report_first_token_in_background(&self, reservation: &OwnedGrant) {
        if let Some(host) = self.shared() {
            let reservation = reservation.clone();
            tokio::spawn(async move { notify_first_token(&host, &reservation).await });
        }
    }
}

/// Starts the attempt at the last engine, after the others have prefilled their parts of the
/// prompt.
async fn start(
    host: &Host,
    job: &PromptJob,
    reservation: &OwnedGrant,
) -> Result<AnswerStream, AttemptError> {
    let attempt_id = reservation.grant.attempt_id;
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    let prompts = split_prompt(&job.prompt, reservation);
    let mut kv_imports: Vec<KvHandle> = Vec::new();
    let mut last_address = None;
    for (position, part) in reservation.grant.parts.iter().enumerate() {
        let address = engine_address(host, &part.engine)?;
        let completion = CompletionRequest {
            attempt_id,
            model: &job.model,
            adapter: job.effective.adapter.as_deref(),
            prompt: prompts[position],
            max_tokens: job.max_tokens,
            priority: reservation.engine_priority,
            kv_imports: &kv_imports,
            stream: true,
        };
        if position + 1 < reservation.grant.parts.len() {
            host.engines
                .prefill(address, completion, remaining)
                .await
                .map_err(|error| classify(&error))?;
            kv_imports.push(KvHandle { address, handle: attempt_id });
            continue;
        }
        last_address = Some((
            address,
            host.engines
                .complete(address, completion, remaining)
                .await
                .map_err(|error| classify(&error))?,
        ));
    }
    let (address, response) = last_address.ok_or(AttemptError::NotStarted)?;
    let options = AnswerOptions {
        event_timeout: millis(host.settings.timing.upstream_silence_ms),
        ..AnswerOptions::default()
    };
    Ok(AnswerStream::new(Arc::clone(&host.engines), address, attempt_id, response, options))
}

fn engine_address(host: &Host, engine: &UpstreamId) -> Result<SocketAddr, AttemptError> {
    host.addresses.get(engine).copied().ok_or(AttemptError::NotStarted)
}

fn classify(error: &UpstreamError) -> AttemptError {
    if error.proves_not_started() {
        AttemptError::NotStarted
    } else {
        AttemptError::Broken(error.to_string())
    }
}

/// Splits the prompt, at character boundaries, into the parts that the engines of a gang prefill.
fn split_prompt<'a>(prompt: &'a str, reservation: &OwnedGrant) -> Vec<&'a str> {
    let total_tokens: u64 = reservation.grant.parts.iter().map(|part| part.prompt_tokens).sum();
    let mut remainder = prompt;
    let mut parts = Vec::new();
    for part in &reservation.grant.parts {
        let size_bytes = prompt.len() as u64 * part.prompt_tokens / total_tokens.max(1);
        let is_last = parts.len() + 1 == reservation.grant.parts.len();
        let split_at_bytes = if is_last {
            remainder.len()
        } else {
            remainder.floor_char_boundary(size_bytes as usize)
        };
        let (head, tail) = remainder.split_at(split_at_bytes);
        parts.push(head);
        remainder = tail;
    }
    parts
}
