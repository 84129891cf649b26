//! One attempt: sends a request to an upstream and classifies the head of the response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clayplank_clock::Instant;
use clayplank_connect::ConnectError;
use clayplank_registry::{LimitObservation, LimitUpdateResult};
use clayplank_types::UpstreamId;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::answer::{
    DeclaredLimit, RequestedBackoff, Verdict, classify_head, is_leaving, parse_backoff,
    parse_limit, parse_load,
};
use crate::call::Call;
use crate::choice::Chosen;
use crate::clock::now_ms;
use crate::delivery::{DeliveryError, deliver};
use crate::exchange::{Connection, ExchangeError};
use crate::headers::{UpstreamHeaders, upstream_headers};
use crate::load::{LoadGuard, Outcome};
use crate::request_metadata::header_text;
use crate::survivals::AnswerProgress;

/// Highest rank (the least urgent) that engines accept.
const MAX_RANK: u8 = 9;

/// Retry time sent to callers if the upstreams are full, in ms.
pub(crate) const BUSY_RETRY_MS: u64 = 700;

/// Retry time sent to callers while this host reaches no upstream, in ms; the load balancer may
/// route the retry to a host that does.
pub(crate) const CUT_OFF_RETRY_MS: u64 = 100;

/// Result of an attempt, up to the head of the response.
pub(crate) enum Attempt {
    /// The upstream's answer to the request.
    Answered(Box<Response<Incoming>>, Connection, Box<LoadGuard>),
    /// The upstream did not run the request.
    NotRun,
    /// This host reaches no upstream; nothing was sent.
    CutOff,
    /// No valid answer came; the upstream may have run the request.
    MayHaveRun,
}

/// A response of which the head has been received.
struct Answer {
    response: Response<Incoming>,
    connection: Connection,
    /// Time at which the request was sent, in ms.
    sent_ms: u64,
    /// The same time.
    sent_at: Instant,
}

impl Call {
    /// Sends the request to an upstream and classifies the head of the response.
    pub(crate) async fn attempt(
        &mut self,
        chosen: Chosen,
        last_event_id: Option<u64>,
        timeout: Duration,
    ) -> Attempt {
        // Other hosts may have reported in the meantime that upstreams terminate under this
        // request.
        if self.is_quarantined() {
            return Attempt::NotRun;
        }
        let Chosen { record, helpers, load, .. } = chosen;
        let upstream = record.heartbeat.id.clone();
        // The upstream may have stopped accepting requests while memory was reserved for this one, or
        // while it waited for a permit.
        if !self.entry.directory.accepts_request(&upstream) {
            self.log_withheld(&upstream);
            return Attempt::NotRun;
        }
        let request = self.request_for(&record.heartbeat.name, &helpers, last_event_id);
        self.tried.push(upstream.clone());
        let may_have_run_before = self.may_have_run;
        self.count_sent();
        self.log_limited(&upstream);
        let (sent_ms, sent_at) = (now_ms(), Instant::now());
        let entry = Arc::clone(&self.entry);
        let sent = deliver(&entry, &upstream, record.heartbeat.address, request);
        let sent = load.unless_replaced(clayplank_clock::timeout(timeout, sent)).await;
        let Some(sent) = sent else {
            return self.record_unanswered(
                &upstream,
                load,
                "lost",
                "replaced by another incarnation",
            );
        };
        match sent {
            Ok(Ok((response, connection))) => {
                let answer = Answer { response, connection, sent_ms, sent_at };
                self.process_head(&upstream, load, answer, may_have_run_before)
            }
            Ok(Err(DeliveryError::Exchange(ExchangeError::Connect(error)))) => {
                self.sent_count -= 1;
                self.may_have_run = may_have_run_before;
                self.record_unconnected(&upstream, load, &error)
            }
            Ok(Err(DeliveryError::NotAccepting)) => {
                self.sent_count -= 1;
                self.may_have_run = may_have_run_before;
                self.log_withheld(&upstream);
                Attempt::NotRun
            }
            Ok(Err(DeliveryError::Exchange(ExchangeError::Failed(error)))) => {
                self.record_unanswered(&upstream, load, "lost", &error.to_string())
            }
            Ok(Err(DeliveryError::Exchange(error @ ExchangeError::NotFinal(_)))) => {
                self.record_unanswered(&upstream, load, "not_final", &error.to_string())
            }
            Err(_) => {
                self.record_cut_off(timeout);
                self.record_unanswered(&upstream, load, "silent", "no response within the time-out")
            }
        }
    }

    /// Classifies the head of a response and records what it states about the upstream.
    fn process_head(
        &mut self,
        upstream: &UpstreamId,
        mut load: LoadGuard,
        answer: Answer,
        may_have_run_before: bool,
    ) -> Attempt {
        let Answer { response, connection, sent_ms, sent_at } = answer;
        let (head, body) = response.into_parts();
        let names = &self.entry.names;
        if let Some((running, waiting)) = parse_load(&head.headers, names) {
            self.entry.directory.record_load(upstream, running, waiting);
        }
        let verdict = classify_head(&head, names, &self.metadata.attempt_id);
        // Any other response may come from a different upstream.
        if matches!(verdict, Verdict::Valid | Verdict::NotRun) {
            self.entry.quarantine.record_response(upstream, sent_at);
            self.record_limit(upstream, parse_limit(&head.headers, names), sent_ms);
            self.record_backoff(upstream, parse_backoff(&head), connection.tunnel_host());
            if is_leaving(&head.headers, names) {
                self.record_leaving(upstream);
            }
        }
        match verdict {
            Verdict::Valid => {
                let response = Box::new(Response::from_parts(head, body));
                Attempt::Answered(response, connection, Box::new(load))
            }
            Verdict::NotRun => {
                self.may_have_run = may_have_run_before;
                let at_fault = header_text(&head.headers, &self.entry.names.at_fault);
                self.record_at_fault(&mut load, at_fault.unwrap_or_default());
                self.log_attempt(upstream, "not_run", head.status.as_str());
                Attempt::NotRun
            }
            // The upstream refuses the version that the caller demands, which says nothing about its
            // incarnation.
            Verdict::Replaced if self.head.headers.contains_key(&names.expect_version) => {
                self.may_have_run = may_have_run_before;
                self.log_attempt(upstream, "not_run", head.status.as_str());
                Attempt::NotRun
            }
            Verdict::Replaced => {
                self.may_have_run = may_have_run_before;
                self.entry.directory.record_replaced(upstream);
                self.log_attempt(upstream, "replaced", head.status.as_str());
                Attempt::NotRun
            }
            Verdict::Foreign => {
                self.record_unanswered(upstream, load, "foreign", head.status.as_str())
            }
        }
    }

    /// Records the rate limit that the upstream declared in the response to a request sent at
    /// `sent_ms`.
    fn record_limit(&self, upstream: &UpstreamId, limit: DeclaredLimit, sent_ms: u64) {
        let (requests_per_s, at_ms) = match limit {
            DeclaredLimit::None => (None, sent_ms),
            DeclaredLimit::PerSecond(per_s) => (Some(per_s), now_ms()),
            DeclaredLimit::Unreadable => {
                log::warn!(target: "forward",
                    upstream = upstream.as_str();
                    "Ignored an invalid rate limit in a response");
                return;
            }
        };
        let observed = LimitObservation { upstream: upstream.clone(), requests_per_s, at_ms };
        let noted = self.entry.directory.record_limit(&observed);
        if noted == LimitUpdateResult::Changed {
            log::info!(target: "forward",
                upstream = upstream.as_str(), limit_per_s = requests_per_s,
                request = self.metadata.attempt_id;
                "An upstream's limit changed");
        }
        // A limit is reported with every response that states it: other hosts may since have
        // received a report that it was lifted.
        let is_reported = match noted {
            LimitUpdateResult::Changed => true,
            LimitUpdateResult::Unchanged => requests_per_s.is_some(),
            LimitUpdateResult::Outdated(_) => false,
        };
        if is_reported {
            self.entry.placer.record_limit(&observed);
        }
    }

    /// Records the backoff that the upstream requested from this host.
    fn record_backoff(
        &self,
        upstream: &UpstreamId,
        backoff: RequestedBackoff,
        tunnel_host: Option<SocketAddr>,
    ) {
        match backoff {
            RequestedBackoff::None => {}
            RequestedBackoff::ForMs(backoff_ms) => {
                self.entry.directory.record_backoff(upstream, backoff_ms);
                log::info!(target: "forward",
                    upstream = upstream.as_str(), backoff_ms = backoff_ms,
                    request = self.metadata.attempt_id;
                    "An upstream requested a backoff");
                if let Some(host) = tunnel_host {
                    self.report_backoff(host, upstream, backoff_ms);
                }
            }
            RequestedBackoff::Unreadable => {
                log::warn!(target: "forward",
                    upstream = upstream.as_str();
                    "Ignored an invalid Retry-After in a response");
            }
        }
    }

    /// Reports a backoff to the peer through which the answer came.
    fn report_backoff(&self, host: SocketAddr, upstream: &UpstreamId, backoff_ms: u64) {
        let Some(record) = self.entry.directory.record(upstream) else {
            return;
        };
        let entry = Arc::clone(&self.entry);
        tokio::spawn(async move {
            entry.connector.report_backoff(host, record.heartbeat.address, backoff_ms).await;
        });
    }

    /// Records that the upstream stated that it is leaving.
    fn record_leaving(&self, upstream: &UpstreamId) {
        if self.entry.directory.record_leaving(upstream) {
            log::info!(target: "forward",
                upstream = upstream.as_str(), request = self.metadata.attempt_id;
                "An upstream stated that it is leaving");
        }
    }

    /// Logs that a request is not sent to the chosen upstream, which wants no requests any more.
    fn log_withheld(&self, upstream: &UpstreamId) {
        let backoff = self.entry.directory.backoff_left(upstream);
        self.entry.metrics.count_attempt("withheld");
        log::info!(target: "forward",
            request = self.metadata.attempt_id, upstream = upstream.as_str(),
            backoff_ms = backoff.as_millis() as u64, waited_ms = self.waited_ms();
            "The chosen upstream wants no requests any more");
    }

    /// Logs that a request is sent to an upstream with a rate limit.
    fn log_limited(&self, upstream: &UpstreamId) {
        let limit = self.entry.directory.limit(upstream);
        let Some(limit_per_s) = limit.and_then(|limit| limit.requests_per_s) else {
            return;
        };
        self.entry.metrics.count_limited();
        log::info!(target: "forward",
            request = self.metadata.attempt_id, upstream = upstream.as_str(), limit_per_s = limit_per_s,
            sent = self.sent_count, has_begun = self.last_event_at.is_some();
            "Sends to an upstream with a limit");
    }

    /// Attributes the failure to the helper that the response names, or else to the engine that
    /// responded.
    fn record_at_fault(&mut self, load: &mut LoadGuard, at_fault: &str) {
        let id = self.entry.directory.find(at_fault);
        match id.filter(|id| load.record_helper_failed(id)) {
            Some(helper) => {
                log::info!(target: "forward",
                    request = self.metadata.attempt_id, upstream = helper.as_str();
                    "A helper was at fault");
                // The engine that responded can still run the prompt with other helpers.
                self.tried.pop();
                self.failed_helpers.push(helper);
            }
            None => load.record_outcome(Outcome::Failed),
        }
    }

    /// Records an attempt for which no connection was opened.
    fn record_unconnected(
        &mut self,
        upstream: &UpstreamId,
        mut load: LoadGuard,
        error: &ConnectError,
    ) -> Attempt {
        match error {
            ConnectError::Upstream(_) => {
                load.record_outcome(Outcome::Unreachable);
                self.log_attempt(upstream, "unreached", &error.to_string());
                Attempt::NotRun
            }
            ConnectError::CutOff(_) => {
                load.record_outcome(Outcome::CutOff);
                self.log_attempt(upstream, "cut_off", &error.to_string());
                self.tried.pop();
                Attempt::CutOff
            }
        }
    }

    /// Records an attempt that got no valid answer and may have run.
    fn record_unanswered(
        &mut self,
        upstream: &UpstreamId,
        mut load: LoadGuard,
        outcome: &'static str,
        cause: &str,
    ) -> Attempt {
        load.record_outcome(Outcome::Broken);
        self.record_break(upstream, AnswerProgress::default());
        self.log_attempt(upstream, outcome, cause);
        Attempt::MayHaveRun
    }

    /// Counts an attempt before its first byte is sent: an attempt that is dropped while it is
    /// sent, because an unresponsive stream continues, counts as sent too.
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
        let values = UpstreamHeaders {
            account: self.account.as_deref(),
            upstream,
            remaining_ms: self.remaining().as_millis() as u64,
            last_event_id,
            helpers,
            rank: self.is_engine.then_some(self.rank.min(MAX_RANK)),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = upstream_headers(&self.head.headers, &self.entry.names, &values);
        request
    }

    fn log_attempt(&self, upstream: &UpstreamId, outcome: &'static str, cause: &str) {
        self.entry.metrics.count_attempt(outcome);
        log::info!(target: "forward",
            request = self.metadata.attempt_id, route = self.route.name, upstream = upstream.as_str(),
            outcome = outcome, cause = cause, waited_ms = self.waited_ms(),
            fingerprint:% = self.fingerprint();
            "An attempt ended without an answer");
    }
}
