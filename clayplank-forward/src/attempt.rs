//! One attempt: sends a request to an upstream, and judges the head of its answer.

use std::time::Duration;

use bytes::Bytes;
use clayplank_registry::{Noted, ObservedLimit};
use clayplank_types::UpstreamId;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::answer::{NamedLimit, Verdict, judge, scan_limit, scan_load};
use crate::call::Call;
use crate::choice::Chosen;
use crate::clock::now_ms;
use crate::exchange::{Connection, ExchangeError, exchange};
use crate::facts::text;
use crate::headers::{Told, for_upstream};
use crate::load::{LoadGuard, Outcome};

/// The least urgent rank that engines know.
const MAX_RANK: u8 = 9;

/// When to come back to upstreams that were full, in ms.
pub(crate) const BUSY_RETRY_MS: u64 = 700;

/// How one attempt ended, as far as the head of its answer.
pub(crate) enum Attempt {
    /// The upstream's own answer.
    Answered(Box<Response<Incoming>>, Connection, LoadGuard),
    /// It was not run there.
    NotRun,
    /// It may have run there.
    Lost,
}

/// An answer up to its head.
struct Answer {
    response: Response<Incoming>,
    connection: Connection,
    /// When its request was sent.
    sent_ms: u64,
}

impl Call {
    /// Sends the request to an upstream, and judges the head of its answer.
    pub(crate) async fn attempt(
        &mut self,
        chosen: Chosen,
        last_event_id: Option<u64>,
        patience: Duration,
    ) -> Attempt {
        // Others may have learned meanwhile that upstreams end under it.
        if self.is_held_back() {
            return Attempt::NotRun;
        }
        let Chosen { record, helpers, mut load, .. } = chosen;
        let upstream = record.heartbeat.id.clone();
        let request = self.request_for(&record.heartbeat.name, &helpers, last_event_id);
        self.tried.push(upstream.clone());
        let could_have_run = self.may_have_run;
        self.count_sent();
        self.log_limited(&upstream);
        let sent_ms = now_ms();
        let sent = exchange(record.heartbeat.address, request);
        let sent = load.unless_replaced(clayplank_clock::timeout(patience, sent)).await;
        let Some(sent) = sent else {
            return self.note_lost(&upstream, load, "lost", "another life stands in its place");
        };
        match sent {
            Ok(Ok((response, connection))) => {
                let answer = Answer { response, connection, sent_ms };
                self.take_head(&upstream, load, answer, could_have_run)
            }
            Ok(Err(ExchangeError::Connect(error))) => {
                self.sent_count -= 1;
                self.may_have_run = could_have_run;
                load.note_outcome(Outcome::Unreached);
                self.log_attempt(&upstream, "unreached", &error.to_string());
                Attempt::NotRun
            }
            Ok(Err(ExchangeError::Failed(error))) => {
                self.note_lost(&upstream, load, "lost", &error.to_string())
            }
            Err(_) => self.note_lost(&upstream, load, "silent", "no answer in time"),
        }
    }

    /// Judges the head of an answer.
    fn take_head(
        &mut self,
        upstream: &UpstreamId,
        mut load: LoadGuard,
        answer: Answer,
        could_have_run: bool,
    ) -> Attempt {
        let Answer { response, connection, sent_ms } = answer;
        let (head, body) = response.into_parts();
        let names = &self.entry.names;
        if let Some((running, waiting)) = scan_load(&head.headers, names) {
            self.entry.directory.note_load(upstream, running, waiting);
        }
        let verdict = judge(&head, names, &self.facts.attempt_id);
        // Any other answer may be another upstream's.
        if matches!(verdict, Verdict::Own | Verdict::NotRun) {
            self.note_limit(upstream, scan_limit(&head.headers, names), sent_ms);
        }
        match verdict {
            Verdict::Own => {
                let response = Box::new(Response::from_parts(head, body));
                Attempt::Answered(response, connection, load)
            }
            Verdict::NotRun => {
                self.may_have_run = could_have_run;
                let at_fault = text(&head.headers, &self.entry.names.at_fault);
                self.note_at_fault(&mut load, at_fault.unwrap_or_default());
                self.log_attempt(upstream, "not_run", head.status.as_str());
                Attempt::NotRun
            }
            Verdict::Replaced => {
                self.may_have_run = could_have_run;
                self.entry.directory.note_replaced(upstream);
                self.log_attempt(upstream, "replaced", head.status.as_str());
                Attempt::NotRun
            }
            Verdict::Foreign => self.note_lost(upstream, load, "foreign", head.status.as_str()),
        }
    }

    /// Takes in how many requests the upstream says that it takes, in its answer to one that was sent at
    /// a time.
    fn note_limit(&self, upstream: &UpstreamId, limit: NamedLimit, sent_ms: u64) {
        let (requests_per_s, at_ms) = match limit {
            NamedLimit::None => (None, sent_ms),
            NamedLimit::PerSecond(per_s) => (Some(per_s), now_ms()),
            NamedLimit::Unreadable => {
                log::warn!(target: "forward", upstream = upstream.as_str(); "A limit cannot be read");
                return;
            }
        };
        let observed = ObservedLimit { upstream: upstream.clone(), requests_per_s, at_ms };
        let noted = self.entry.directory.note_limit(&observed);
        if noted == Noted::Changed {
            log::info!(target: "forward",
                upstream = upstream.as_str(), limit_per_s = requests_per_s,
                request = self.facts.attempt_id;
                "An upstream's limit changed");
        }
        // A limit is told with each answer that names it: others may have heard since that it was lifted.
        let is_told = match noted {
            Noted::Changed => true,
            Noted::Unchanged => requests_per_s.is_some(),
            Noted::Outdated(_) => false,
        };
        if is_told {
            self.entry.placer.note_limit(&observed);
        }
    }

    /// Tells of a request that goes to an upstream which named a limit.
    fn log_limited(&self, upstream: &UpstreamId) {
        let limit = self.entry.directory.limit(upstream);
        let Some(limit_per_s) = limit.and_then(|limit| limit.requests_per_s) else {
            return;
        };
        self.entry.figures.count_limited();
        log::info!(target: "forward",
            request = self.facts.attempt_id, upstream = upstream.as_str(), limit_per_s = limit_per_s,
            sent = self.sent_count, has_begun = self.waits_since.is_some();
            "Sends to an upstream with a limit");
    }

    /// Blames the helper that the answer names, or else the engine that answered.
    fn note_at_fault(&mut self, load: &mut LoadGuard, at_fault: &str) {
        let id = self.entry.directory.find(at_fault);
        match id.filter(|id| load.note_helper_failed(id)) {
            Some(helper) => {
                log::info!(target: "forward",
                    request = self.facts.attempt_id, upstream = helper.as_str();
                    "A helper was at fault");
                // The engine that answered may well read the prompt with others.
                self.tried.pop();
                self.unfit_helpers.push(helper);
            }
            None => load.note_outcome(Outcome::Failed),
        }
    }

    /// An attempt that may have run, without an answer of its own.
    fn note_lost(
        &mut self,
        upstream: &UpstreamId,
        mut load: LoadGuard,
        outcome: &'static str,
        cause: &str,
    ) -> Attempt {
        load.note_outcome(Outcome::Broken);
        self.note_break(upstream);
        self.log_attempt(upstream, outcome, cause);
        Attempt::Lost
    }

    /// Counts an attempt before its first byte leaves: one that is dropped on its way, when a
    /// silent stream goes on meanwhile, has been sent all the same.
    fn count_sent(&mut self) {
        self.sent_count += 1;
        self.may_have_run = true;
    }

    fn request_for(
        &self,
        upstream: &str,
        helpers: &str,
        last_event_id: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let told = Told {
            account: self.account.as_deref(),
            upstream,
            left_ms: self.left().as_millis() as u64,
            last_event_id,
            helpers,
            rank: self.is_engine.then_some(self.rank.min(MAX_RANK)),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = for_upstream(&self.head.headers, &self.entry.names, &told);
        request
    }

    fn log_attempt(&self, upstream: &UpstreamId, outcome: &'static str, cause: &str) {
        self.entry.figures.count_attempt(outcome);
        log::info!(target: "forward",
            request = self.facts.attempt_id, route = self.route.name, upstream = upstream.as_str(),
            outcome = outcome, cause = cause, waited_ms = self.waited_ms(),
            fingerprint:% = self.fingerprint;
            "An attempt ended without an answer");
    }
}
