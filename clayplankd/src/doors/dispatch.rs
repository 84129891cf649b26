//! Runs one prompt: grant, dispatch, relay, and another try where that is allowed.

use std::net::SocketAddr;
use std::sync::Arc;

use clayplank_clock::Instant;
use clayplank_schedule::{Ask, Usage};
use clayplank_settings::Effective;
use clayplank_types::{AccountId, AttemptId, PREFIX_BLOCK_TOKENS, UpstreamId, prefix_hashes};
use clayplank_upstream::{
    AnswerStream, Chunk, CompletionRef, EdgeError, Finish, KvHandle, RelayOptions,
};
use tokio::sync::mpsc;

use crate::doors::accounts::AccountPass;
use crate::doors::replies::Problem;
use crate::doors::suspects::Identity;
use crate::owners::reserve::{Held, finish, new_ask, reserve, tell_first_token};
use crate::process::clock::millis;
use crate::process::host::Host;
use crate::process::logging::part;
use crate::process::metrics::Span;

/// Tries of one request, the first among them.
const MAX_TRIES: usize = 3;

/// A prompt on its way to an engine.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) account: AccountId,
    pub(crate) share: u64,
    pub(crate) effective: Effective,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_tokens: u64,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) band: String,
    pub(crate) identity: Identity,
}

/// Where the chunks go.
#[derive(Debug)]
pub(crate) enum Sink {
    /// To the caller, one by one.
    Stream(mpsc::Sender<Chunk>),
    /// Into one text.
    Whole(String),
}

impl Sink {
    /// Passes a chunk on; `false` if the caller has left.
    async fn put(&mut self, chunk: Chunk) -> bool {
        match self {
            Self::Stream(sender) => sender.send(chunk).await.is_ok(),
            Self::Whole(text) => {
                text.push_str(&chunk.text);
                true
            }
        }
    }

    /// Forgets a broken answer, if the caller has not seen any of it.
    fn reset(&mut self, has_output: bool) -> bool {
        match self {
            Self::Stream(_) => !has_output,
            Self::Whole(text) => {
                text.clear();
                true
            }
        }
    }
}

/// How an attempt failed.
#[derive(Debug)]
enum AttemptError {
    /// It is proven that no engine began it.
    NotBegun,
    /// It began, or may have.
    Broken(String),
    /// The caller has left.
    CallerLeft,
    /// The deadline is over.
    DeadlineOver,
}

/// What one attempt has done so far.
#[derive(Debug, Default)]
struct Progress {
    first_token: Option<Instant>,
    last_token: Option<Instant>,
    output_tokens: u64,
}

/// Runs a prompt to its end, one way or the other, within its deadline.
pub(crate) async fn run_work(
    host: &Host,
    work: &Work,
    pass: &AccountPass,
    sink: &mut Sink,
) -> Result<Finish, Problem> {
    let mut avoid = Vec::new();
    let mut may_have_run = false;
    for tries in 1.. {
        let ask = plan_ask(host, work, &avoid);
        let reserved = match host.let_through(&work.identity, tries == 1).await {
            Ok(()) => reserve(host, &ask, work.deadline).await,
            Err(refusal) => Err(refusal),
        };
        let held = match reserved {
            Ok(held) => held,
            // What ran before is told, not that the last try did not run.
            Err(refusal) if may_have_run => {
                return Err(Problem::Failed(format!("an engine failed; {refusal}")));
            }
            Err(refusal) => return Err(Problem::Refused(refusal)),
        };
        let mut progress = Progress::default();
        let error = match run_attempt(host, work, &held, sink, &mut progress).await {
            Ok(finish) => {
                host.note_answered(&work.identity);
                return Ok(finish);
            }
            Err(error) => error,
        };
        if let AttemptError::Broken(_) = &error {
            note_break(host, work, &held);
        }
        avoid.extend(held.grant.parts.iter().map(|part| part.engine.clone()));
        let is_safe = match &error {
            AttemptError::NotBegun => true,
            AttemptError::Broken(_) => {
                work.effective.repeatable && sink.reset(progress.output_tokens > 0)
            }
            AttemptError::CallerLeft | AttemptError::DeadlineOver => false,
        };
        may_have_run |= !matches!(error, AttemptError::NotBegun);
        if !is_safe || tries >= MAX_TRIES || !pass.spend_retry() {
            return Err(explain(error, may_have_run));
        }
        log::info!(target: part::CALLERS,
            "Attempt {} failed and is tried again: {error:?}.", held.grant.attempt_id);
    }
    Err(Problem::Failed("no try was left".to_owned()))
}

/// The last engine of a grant writes the answer: it is the one that broke it off.
fn note_break(host: &Host, work: &Work, held: &Held) {
    let engine = held.grant.parts.last().map(|part| &part.engine);
    let address = engine.and_then(|engine| host.addresses.get(engine));
    if let (Some(engine), Some(&address)) = (engine, address) {
        let attempt = held.grant.attempt_id.to_string();
        host.note_break(&work.identity, engine, address, &attempt);
    }
}

fn explain(error: AttemptError, may_have_run: bool) -> Problem {
    match error {
        AttemptError::NotBegun if may_have_run => Problem::Failed("an engine failed".to_owned()),
        AttemptError::NotBegun => {
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

fn plan_ask(host: &Host, work: &Work, avoid: &[UpstreamId]) -> Ask {
    let bytes_per_block =
        work.prompt.len() as u64 * PREFIX_BLOCK_TOKENS / work.prompt_tokens.max(1);
    let block_bytes = host
        .settings
        .bytes_per_token
        .bytes(PREFIX_BLOCK_TOKENS)
        .min(bytes_per_block.max(1) as usize);
    let mut ask =
        new_ask(AttemptId::random(), work.account.clone(), &work.model, work.prompt_tokens);
    ask.share = work.share;
    ask.priority = work.effective.priority;
    ask.adapter = work.effective.adapter.clone();
    ask.max_output_tokens = work.max_tokens;
    ask.prefix_hashes = prefix_hashes(work.prompt.as_bytes(), block_bytes);
    ask.avoid = avoid.to_vec();
    ask
}

/// Runs one attempt, and ends its grant whatever happens.
async fn run_attempt(
    host: &Host,
    work: &Work,
    held: &Held,
    sink: &mut Sink,
    progress: &mut Progress,
) -> Result<Finish, AttemptError> {
    let result =
        match clayplank_clock::timeout_at(work.deadline, relay(host, work, held, sink, progress))
            .await
        {
            Ok(result) => result,
            Err(_) => Err(AttemptError::DeadlineOver),
        };
    let engine_ended = match (&result, held.grant.parts.len()) {
        (Ok(_), 1) | (Err(AttemptError::NotBegun), 1) => true,
        // The other members of a gang keep their part until they are told.
        _ => cancel_parts(host, held).await,
    };
    let (first, last) = (progress.first_token, progress.last_token);
    let decode_ms = first.zip(last).map_or(0, |(first, last)| (last - first).as_millis() as u64);
    let engine_failed = matches!(result, Err(AttemptError::Broken(_) | AttemptError::NotBegun));
    let usage =
        Usage { engine_ended, engine_failed, output_tokens: progress.output_tokens, decode_ms };
    finish(host, held, usage).await;
    if result.is_ok() {
        host.metrics.record(
            &work.account,
            &work.band,
            Span::Total,
            work.arrived.elapsed().as_millis() as u64,
        );
    }
    result
}

/// Whether every engine has confirmed that the attempt ended there.
async fn cancel_parts(host: &Host, held: &Held) -> bool {
    let mut all_ended = true;
    for part in &held.grant.parts {
        let Some(&address) = host.addresses.get(&part.engine) else {
            continue;
        };
        all_ended &= host.engines.cancel(address, held.grant.attempt_id).await.is_ok();
    }
    all_ended
}

async fn relay(
    host: &Host,
    work: &Work,
    held: &Held,
    sink: &mut Sink,
    progress: &mut Progress,
) -> Result<Finish, AttemptError> {
    let mut stream = start(host, work, held).await?;
    loop {
        let next = stream.next().await;
        let chunk = match next {
            Ok(Some(chunk)) => chunk,
            Ok(None) => return Err(AttemptError::Broken("the answer has no end".to_owned())),
            Err(error) => return Err(AttemptError::Broken(error.to_string())),
        };
        if let Some(mut finish) = chunk.finish.clone() {
            // The last engine of a gang counts only the part that it read.
            let earlier = held.grant.parts.iter().rev().skip(1);
            finish.prompt_tokens += earlier.map(|part| part.prompt_tokens).sum::<u64>();
            return Ok(finish);
        }
        note_token(host, work, held, progress);
        if !sink.put(chunk).await {
            return Err(AttemptError::CallerLeft);
        }
    }
}

fn note_token(host: &Host, work: &Work, held: &Held, progress: &mut Progress) {
    let now = Instant::now();
    match progress.last_token {
        None => {
            let first_ms = (now - work.arrived).as_millis() as u64;
            host.metrics.record(&work.account, &work.band, Span::FirstToken, first_ms);
            progress.first_token = Some(now);
            host.tell_in_background(held);
        }
        Some(last) => {
            let gap_ms = (now - last).as_millis() as u64;
            host.metrics.record(&work.account, &work.band, Span::BetweenTokens, gap_ms);
        }
    }
    progress.last_token = Some(now);
    progress.output_tokens += 1;
}

impl Host {
    fn tell_in_background(&self, held: &Held) {
        if let Some(host) = self.shared() {
            let held = held.clone();
            tokio::spawn(async move { tell_first_token(&host, &held).await });
        }
    }
}

/// Begins the attempt at the last engine, after the others have read their parts.
async fn start(host: &Host, work: &Work, held: &Held) -> Result<AnswerStream, AttemptError> {
    let attempt_id = held.grant.attempt_id;
    let left = work.deadline.saturating_duration_since(Instant::now());
    let prompts = split_prompt(&work.prompt, held);
    let mut kv_imports: Vec<KvHandle> = Vec::new();
    let mut last_address = None;
    for (position, part) in held.grant.parts.iter().enumerate() {
        let address = engine_address(host, &part.engine)?;
        let completion = CompletionRef {
            attempt_id,
            model: &work.model,
            adapter: work.effective.adapter.as_deref(),
            prompt: prompts[position],
            max_tokens: work.max_tokens,
            priority: held.engine_priority,
            kv_imports: &kv_imports,
            stream: true,
        };
        if position + 1 < held.grant.parts.len() {
            host.engines
                .prefill(address, completion, left)
                .await
                .map_err(|error| classify(&error))?;
            kv_imports.push(KvHandle { address, handle: attempt_id });
            continue;
        }
        last_address = Some((
            address,
            host.engines
                .complete(address, completion, left)
                .await
                .map_err(|error| classify(&error))?,
        ));
    }
    let (address, response) = last_address.ok_or(AttemptError::NotBegun)?;
    let options = RelayOptions {
        silence: millis(host.settings.timing.upstream_silence_ms),
        ..RelayOptions::default()
    };
    Ok(AnswerStream::new(Arc::clone(&host.engines), address, attempt_id, response, options))
}

fn engine_address(host: &Host, engine: &UpstreamId) -> Result<SocketAddr, AttemptError> {
    host.addresses.get(engine).copied().ok_or(AttemptError::NotBegun)
}

fn classify(error: &EdgeError) -> AttemptError {
    if error.proves_not_begun() {
        AttemptError::NotBegun
    } else {
        AttemptError::Broken(error.to_string())
    }
}

/// Cuts the prompt into the parts of a gang, between characters.
fn split_prompt<'a>(prompt: &'a str, held: &Held) -> Vec<&'a str> {
    let total_tokens: u64 = held.grant.parts.iter().map(|part| part.prompt_tokens).sum();
    let mut rest = prompt;
    let mut parts = Vec::new();
    for part in &held.grant.parts {
        let size_bytes = prompt.len() as u64 * part.prompt_tokens / total_tokens.max(1);
        let is_last = parts.len() + 1 == held.grant.parts.len();
        let cut = if is_last { rest.len() } else { rest.floor_char_boundary(size_bytes as usize) };
        let (head, tail) = rest.split_at(cut);
        parts.push(head);
        rest = tail;
    }
    parts
}
