//! Events of a caller's request over all of its calls: what hosts logged, and the moments that follow from
//! it.

use std::time::{Duration, UNIX_EPOCH};

use serde_json::Value;

use crate::caller_requests::{CallerRequest, appointment_ms};
use crate::calls::Call;
use crate::explain::Event;

/// Message of the derived event that a caller called again.
const RETURN_MESSAGE: &str = "The caller returned";

/// Message of the derived event that the first event of an answer was sent.
const FIRST_EVENT_MESSAGE: &str = "The first event of the answer";

/// Message of the derived event that precedes one of several requests with the same fingerprint.
const ARRIVAL_MESSAGE: &str = "A request with this fingerprint arrived";

/// Field of a refusal, added here: the moment that it named for the caller's return.
const RETURN_AT_FIELD: &str = "return_at";

/// Returns the events of all calls of a request, in order of time.
pub(crate) fn request_events(request: &CallerRequest<'_>) -> Vec<Event> {
    let first_try_ms = request.first.arrived_ms;
    let mut events = Vec::new();
    let mut previous: Option<&Call<'_>> = None;
    for (index, call) in request.calls().enumerate() {
        events
            .extend(previous.map(|previous| return_event(previous, call, index + 1, first_try_ms)));
        events.extend(first_event(call, first_try_ms));
        events.extend(call.lines.iter().map(|line| {
            let mut event = Event::of(line, None);
            let appointment_ms = appointment_ms(call).filter(|_| std::ptr::eq(*line, call.last));
            if let Some(at_ms) = appointment_ms {
                event.fields.insert(RETURN_AT_FIELD.to_owned(), Value::from(format_time(at_ms)));
            }
            event
        }));
        previous = Some(call);
    }
    events.sort_by_key(|event| event.at_ms);
    events
}

/// Returns the event that a request arrived, for requests that are shown one after the other.
pub(crate) fn arrival_event(request: &CallerRequest<'_>) -> Event {
    let first = &request.first;
    let calls = ("calls", Value::from(request.calls().count()));
    derived_event(first, first.arrived_ms, ARRIVAL_MESSAGE, [calls])
}

/// Returns the event that a caller called again: how long after the moment that the refusal named, and
/// after the first try.
fn return_event(previous: &Call<'_>, call: &Call<'_>, number: usize, first_try_ms: u64) -> Event {
    let (field, from_ms) = match appointment_ms(previous) {
        Some(appointment_ms) => ("after_appointment_ms", appointment_ms),
        None => ("after_end_ms", previous.ended_ms()),
    };
    let fields = [
        ("call", Value::from(number)),
        ("since_first_try_ms", Value::from(call.arrived_ms - first_try_ms)),
        (field, Value::from(call.arrived_ms as i64 - from_ms as i64)),
    ];
    derived_event(call, call.arrived_ms, RETURN_MESSAGE, fields)
}

/// Returns the event that the first event of a stream was sent, if the logs tell when.
fn first_event(call: &Call<'_>, first_try_ms: u64) -> Option<Event> {
    let has_arrival = call.last.fields.contains_key("waited_ms");
    let first_event_ms =
        call.last.fields.get("first_event_ms")?.as_u64().filter(|_| has_arrival)?;
    let at_ms = call.arrived_ms + first_event_ms;
    let fields = [
        ("since_first_try_ms", Value::from(at_ms - first_try_ms)),
        ("goal_ms", Value::from(call.last.number("goal_ms"))),
    ];
    Some(derived_event(call, at_ms, FIRST_EVENT_MESSAGE, fields))
}

fn derived_event<const N: usize>(
    call: &Call<'_>,
    at_ms: u64,
    message: &str,
    fields: [(&str, Value); N],
) -> Event {
    let id = ("request", Value::from(call.id));
    let fields = fields.into_iter().chain([id]).map(|(name, value)| (name.to_owned(), value));
    Event {
        time: format_time(at_ms),
        host: call.last.host.clone(),
        message: message.to_owned(),
        age_ms: None,
        fields: fields.collect(),
        others: None,
        at_ms,
    }
}

fn format_time(at_ms: u64) -> String {
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(at_ms)).to_string()
}
