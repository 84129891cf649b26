//! Answers a prompt at an engine of the pass model: reads it, with others perhaps, and writes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Response, StatusCode};
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};

use crate::call::send_json;
use crate::http_util::{Body, ServeError, empty};
use crate::pass_run::{PassRun, Place};
use crate::pass_server::{PARTS_PATH, PartCall};
use crate::upstream::{ATTEMPT_HEADER, EXPECT_HEADER, header_text, marked, not_run};

/// Tokens of the prompt and the most of the answer.
const TOKENS_HEADER: &str = "x-clayplank-tokens";

/// Engines that read with this one, each with the name of what it holds.
const HELPERS_HEADER: &str = "x-clayplank-helpers";

/// Requests running, waiting, and slots.
const LOAD_HEADER: &str = "x-clayplank-load";

const AT_FAULT_HEADER: &str = "x-clayplank-at-fault";

/// Time for another engine to read its part.
const PART_PATIENCE: Duration = Duration::from_secs(30);

/// An engine that reads a part.
#[derive(Clone, Debug)]
struct Helper {
    address: SocketAddr,
    ticket: Option<String>,
}

/// What the headers of a request say of its prompt.
#[derive(Clone, Debug)]
struct Prompt {
    prompt_tokens: u64,
    output_tokens: u64,
    helpers: Vec<Helper>,
    /// The last event that its caller has.
    last_event: u64,
}

impl Prompt {
    /// Engines that read it, this one among them.
    fn parts(&self) -> usize {
        self.helpers.len() + 1
    }

    /// Memory that it takes here: all but what is set aside at helpers.
    fn memory_tokens(&self) -> u64 {
        let has_tickets = self.helpers.iter().any(|helper| helper.ticket.is_some());
        let own_part = self.prompt_tokens / self.parts() as u64;
        let ticket_tokens = if has_tickets { self.prompt_tokens - own_part } else { 0 };
        self.prompt_tokens + self.output_tokens - ticket_tokens
    }
}

/// Reads a prompt, with helpers if some are named, and streams the answer.
pub(crate) async fn generate(id: &str, run: &Arc<PassRun>, head: &Parts) -> Response<Body> {
    let attempt = header_text(&head.headers, ATTEMPT_HEADER);
    if header_text(&head.headers, EXPECT_HEADER) != id {
        return empty(StatusCode::MISDIRECTED_REQUEST);
    }
    let prompt = scan_prompt(&head.headers);
    let has_slot = run.running() < run.model.slots as usize;
    let Some(mut place) = run.admit(prompt.memory_tokens()).filter(|_| has_slot) else {
        return not_run(&attempt);
    };
    if let Err(failed) = read_together(&mut place, &prompt).await {
        return not_run_for(&attempt, failed);
    }
    place.write(prompt.prompt_tokens / prompt.parts() as u64);
    let mut response = stream(id, &attempt, place, &prompt, run.model.steps_per_event);
    let load = format!("{},0,{}", run.running(), run.model.slots);
    if let Ok(load) = load.parse() {
        response.headers_mut().insert(LOAD_HEADER, load);
    }
    response
}

/// Reads the own part while the helpers read theirs; `Err` names the first that did not.
async fn read_together(place: &mut Place, prompt: &Prompt) -> Result<(), SocketAddr> {
    let (prompt_tokens, parts) = (prompt.prompt_tokens, prompt.parts());
    let read_elsewhere =
        futures_util::future::join_all(prompt.helpers.iter().map(|helper| {
            let call = PartCall { prompt_tokens, parts, ticket: helper.ticket.clone() };
            async move {
                send_json(helper.address, Method::POST, PARTS_PATH, &call, PART_PATIENCE).await
            }
        }));
    let (answers, ()) = tokio::join!(read_elsewhere, place.read(prompt_tokens, parts));
    let is_read = |status: &Option<StatusCode>| status.is_some_and(|status| status.is_success());
    match answers.iter().position(|status| !is_read(status)) {
        Some(failed) => Err(prompt.helpers[failed].address),
        None => Ok(()),
    }
}

/// Names the helper that is at fault that a request was not run.
fn not_run_for(attempt: &str, helper: SocketAddr) -> Response<Body> {
    let mut response = not_run(attempt);
    if let Ok(address) = helper.to_string().parse() {
        response.headers_mut().insert(AT_FAULT_HEADER, address);
    }
    response
}

/// The answer to a prompt that was read; its events follow as they are written.
fn stream(
    id: &str,
    attempt: &str,
    place: Place,
    prompt: &Prompt,
    steps_per_event: u32,
) -> Response<Body> {
    let events = prompt.output_tokens.div_ceil(u64::from(steps_per_event)).max(1);
    let (sender, channel) = Channel::<Bytes, ServeError>::new(1);
    tokio::spawn(send_events(sender, place, id.to_owned(), prompt.last_event, events));
    marked(StatusCode::OK, attempt, channel.boxed_unsync(), Some(id))
}

/// Sends events as passes bring them; those up to `first` are known to the caller.
async fn send_events(
    mut sender: Sender<Bytes, ServeError>,
    mut place: Place,
    engine: String,
    first: u64,
    events: u64,
) {
    for number in first + 1..=events {
        let is_written = place.progress.wait_for(|progress| progress.events >= number - first);
        if is_written.await.is_err() {
            return;
        }
        let event = format!("id: {number}\ndata: {engine}\n\n");
        if sender.send_data(Bytes::from(event)).await.is_err() {
            return;
        }
    }
}

fn scan_prompt(headers: &HeaderMap) -> Prompt {
    let (prompt_tokens, output_tokens) = scan_tokens(&header_text(headers, TOKENS_HEADER));
    Prompt {
        prompt_tokens,
        output_tokens,
        helpers: scan_helpers(&header_text(headers, HELPERS_HEADER)),
        last_event: header_text(headers, "last-event-id").parse().unwrap_or(0),
    }
}

fn scan_tokens(text: &str) -> (u64, u64) {
    let (prompt, output) = text.split_once(',').unwrap_or((text, "0"));
    let read = |part: &str| part.trim().parse().unwrap_or(0);
    (read(prompt), read(output))
}

fn scan_helpers(text: &str) -> Vec<Helper> {
    let scan = |part: &str| {
        let (address, ticket) = part.split_once('/').unwrap_or((part, ""));
        let ticket = (!ticket.is_empty()).then(|| ticket.to_owned());
        Some(Helper { address: address.trim().parse().ok()?, ticket })
    };
    text.split(',').filter_map(scan).collect()
}
