//! The calls, headers and document formats with which a platform talks to a seeded host.

use std::sync::Arc;

use bytes::Bytes;
use clayplank_forward::{CommandFormat, HeaderNames};
use clayplank_registry::Heartbeat;
use clayplank_routes::ServingPlan;
use clayplank_settings::Faults;
use clayplank_types::{DataCentre, Fingerprint};
use http::{Method, Request};
use http_body_util::Full;
use serde::Deserialize;

/// A call to the control endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// An operator replaces the serving plan.
    Publish(Box<ServingPlan>),
    /// An operator reads the plan in force, as it was sent.
    ReadPlan,
    /// An upstream reports its status.
    Heartbeat(Heartbeat),
    /// An upstream departs: the incarnation that it names, or the newest.
    Depart(Heartbeat),
    /// An operator lists the quarantined requests.
    ListQuarantined,
    /// An operator lifts the quarantine of a request.
    LiftQuarantine(Fingerprint),
    /// An operator lists the cordoned data centres.
    ListCordons,
    /// An operator cordons a data centre: its upstreams get no more requests.
    Cordon(DataCentre),
    /// An operator lifts the cordon of a data centre.
    Uncordon(DataCentre),
}

impl ControlCall {
    /// The call for a heartbeat of an upstream with a usable address.
    ///
    /// # Errors
    /// The address lacks a host or a port, so that no request could be sent to the upstream.
    pub fn from_heartbeat(heartbeat: Heartbeat) -> Result<Self, ControlError> {
        if heartbeat.is_reachable() {
            return Ok(Self::Heartbeat(heartbeat));
        }
        let mut faults = Faults::default();
        faults.push("/address", format!("nothing can be reached at {}", heartbeat.address));
        Err(ControlError::Malformed(faults))
    }
}

/// Load that an engine reports on request. The native contract uses this JSON form unchanged:
/// missing fields take their defaults, and unknown fields are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct EngineLoadReport {
    /// Ratio of actual run time to the cost model's estimate; above 1 if the engine is slower.
    pub pace: f64,
    /// Number of requests that the engine runs, from all hosts.
    pub running: usize,
    /// Number of requests that wait at the engine.
    pub waiting: usize,
    /// Engine memory that its requests occupy, in tokens.
    pub used_tokens: u64,
    /// Start time of the engine's incarnation, in ms since the Unix epoch; 0 if not reported.
    pub born_ms: u64,
}

impl Default for EngineLoadReport {
    fn default() -> Self {
        Self { pace: 1.0, running: 0, waiting: 0, used_tokens: 0, born_ms: 0 }
    }
}

/// Reason for the rejection of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlError {
    /// No call has this method and path.
    NotFound,
    /// The body or the path is invalid.
    Malformed(Faults),
}

/// Header names, formats and calls of a platform. An implementation only translates them, and takes
/// no decisions.
pub trait Contract: CommandFormat {
    /// Names of the headers in requests and responses.
    fn header_names(&self) -> HeaderNames;

    /// Parses a call to the control endpoint.
    ///
    /// # Errors
    /// There is no such call, or its body is invalid; each fault names its place in the body.
    fn parse_call(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<ControlCall, ControlError>;

    /// Parses a serving plan, such as one that was accepted and stored before.
    ///
    /// # Errors
    /// The text is not a valid plan; lists all faults.
    fn parse_plan(&self, text: &str) -> Result<ServingPlan, Faults>;

    /// The request for an engine's report.
    fn report_request(&self) -> Request<Full<Bytes>>;

    /// Parses an engine's report.
    ///
    /// # Errors
    /// The body is not a valid report.
    fn parse_report(&self, body: &[u8]) -> Result<EngineLoadReport, serde_json::Error>;

    /// Whether a call is the readiness check, which asks if the host accepts new connections.
    fn is_readiness_call(&self, method: &Method, path: &str) -> bool;
}

/// The contract, shared by the parts of a host.
pub(crate) type SharedContract = Arc<dyn Contract>;
