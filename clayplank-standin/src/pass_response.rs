//! Responds to a prompt at a pass engine: prefills it, together with helper engines if the request
//! names some, and streams the events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Response, StatusCode};
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};

use crate::http_client::send_json;
use crate::http_server::{Body, ServeError, empty};
use crate::pass_runner::{Admission, PassRunner};
use crate::pass_server::{PARTS_PATH, PartRequest};
use crate::upstream::{ATTEMPT_HEADER, EXPECT_HEADER, header_text, not_run, sealed_response};

/// Tokens of the prompt and the upper bound of the answer, separated by a comma.
const TOKENS_HEADER: &str = "x-clayplank-tokens";

/// Addresses of the helpers: engines that prefill a part of the prompt, each with the ticket of the
/// memory reserved there, if any.
const HELPERS_HEADER: &str = "x-clayplank-helpers";

/// Counts of running requests, queued requests and slots.
const LOAD_HEADER: &str = "x-clayplank-load";

/// Address of the helper because of which a request was not run.
const AT_FAULT_HEADER: &str = "x-clayplank-at-fault";

/// Time-out of a helper's part.
const PART_TIMEOUT: Duration = Duration::from_secs(30);

/// An engine that prefills a part of the prompt for this one.
#[derive(Clone, Debug)]
struct Helper {
    address: SocketAddr,
    ticket: Option<String>,
}

/// Description of a prompt in the headers of its request.
#[derive(Clone, Debug)]
struct Prompt {
    prompt_tokens: u64,
    output_tokens: u64,
    helpers: Vec<Helper>,
    /// Number of the last event that the caller received before; 0 for a new request.
    last_event: u64,
}

impl Prompt {
    /// Number of engines that prefill it, including this one.
    fn parts(&self) -> usize {
        self.helpers.len() + 1
    }

    /// Memory that it takes here: all tokens, less the helpers' parts if they were reserved there.
    fn memory_tokens(&self) -> u64 {
        let has_tickets = self.helpers.iter().any(|helper| helper.ticket.is_some());
        let local_part_tokens = self.prompt_tokens / self.parts() as u64;
        let reserved_tokens = if has_tickets { self.prompt_tokens - local_part_tokens } else { 0 };
        self.prompt_tokens + self.output_tokens - reserved_tokens
    }
}

/// Prefills a prompt, with helpers if some are named, and streams the answer.
pub(crate) async fn generate(id: &str, runner: &Arc<PassRunner>, head: &Parts) -> Response<Body> {
    let attempt = header_text(&head.headers, ATTEMPT_HEADER);
    if header_text(&head.headers, EXPECT_HEADER) != id {
        return empty(StatusCode::MISDIRECTED_REQUEST);
    }
    let prompt = parse_prompt(&head.headers);
    let has_slot = runner.running() < runner.model.slots as usize;
    let Some(mut admission) = runner.admit(prompt.memory_tokens()).filter(|_| has_slot) else {
        return not_run(&attempt);
    };
    if let Err(failed) = prefill_in_parts(&mut admission, &prompt).await {
        return not_run_because_of(&attempt, failed);
    }
    admission.start_decode(prompt.prompt_tokens / prompt.parts() as u64);
    let mut response = stream(id, &attempt, admission, &prompt, runner.model.steps_per_event);
    let load = format!("{},0,{}", runner.running(), runner.model.slots);
    if let Ok(load) = load.parse() {
        response.headers_mut().insert(LOAD_HEADER, load);
    }
    response
}

/// Prefills the local part while the helpers prefill theirs. `Err` is the first helper that failed.
async fn prefill_in_parts(admission: &mut Admission, prompt: &Prompt) -> Result<(), SocketAddr> {
    let (prompt_tokens, parts) = (prompt.prompt_tokens, prompt.parts());
    let helpers_done =
        futures_util::future::join_all(
            prompt.helpers.iter().map(|helper| {
                let part = PartRequest { prompt_tokens, parts, ticket: helper.ticket.clone() };
                async move {
                    send_json(helper.address, Method::POST, PARTS_PATH, &part, PART_TIMEOUT).await
                }
            }),
        );
    let (answers, ()) = tokio::join!(helpers_done, admission.prefill(prompt_tokens, parts));
    let is_done = |status: &Option<StatusCode>| status.is_some_and(|status| status.is_success());
    match answers.iter().position(|status| !is_done(status)) {
        Some(failed) => Err(prompt.helpers[failed].address),
        None => Ok(()),
    }
}

/// Response to an attempt that was not runner because a helper failed; names that helper.
fn not_run_because_of(attempt: &str, helper: SocketAddr) -> Response<Body> {
    let mut response = not_run(attempt);
    if let Ok(address) = helper.to_string().parse() {
        response.headers_mut().insert(AT_FAULT_HEADER, address);
    }
    response
}

/// Response to a prefilled prompt; its body streams the events as they are generated.
fn stream(
    id: &str,
    attempt: &str,
    admission: Admission,
    prompt: &Prompt,
    steps_per_event: u32,
) -> Response<Body> {
    let events = prompt.output_tokens.div_ceil(u64::from(steps_per_event)).max(1);
    let (sender, channel) = Channel::<Bytes, ServeError>::new(1);
    tokio::spawn(send_events(sender, admission, id.to_owned(), prompt.last_event, events));
    sealed_response(StatusCode::OK, attempt, channel.boxed_unsync(), Some(id))
}

/// Sends events as passes generate them. The caller already has those up to `last_event`.
async fn send_events(
    mut sender: Sender<Bytes, ServeError>,
    mut admission: Admission,
    engine: String,
    last_event: u64,
    events: u64,
) {
    for number in last_event + 1..=events {
        let is_generated =
            admission.progress.wait_for(|progress| progress.events >= number - last_event);
        if is_generated.await.is_err() {
            return;
        }
        let event = format!("id: {number}\ndata: {engine}\n\n");
        if sender.send_data(Bytes::from(event)).await.is_err() {
            return;
        }
    }
}

fn parse_prompt(headers: &HeaderMap) -> Prompt {
    let (prompt_tokens, output_tokens) = parse_tokens(&header_text(headers, TOKENS_HEADER));
    Prompt {
        prompt_tokens,
        output_tokens,
        helpers: parse_helpers(&header_text(headers, HELPERS_HEADER)),
        last_event: header_text(headers, "last-event-id").parse().unwrap_or(0),
    }
}

fn parse_tokens(text: &str) -> (u64, u64) {
    let (prompt, output) = text.split_once(',').unwrap_or((text, "0"));
    let parse = |part: &str| part.trim().parse().unwrap_or(0);
    (parse(prompt), parse(output))
}

fn parse_helpers(text: &str) -> Vec<Helper> {
    let parse = |part: &str| {
        let (address, ticket) = part.split_once('/').unwrap_or((part, ""));
        let ticket = (!ticket.is_empty()).then(|| ticket.to_owned());
        Some(Helper { address: address.trim().parse().ok()?, ticket })
    };
    text.split(',').filter_map(parse).collect()
}
