//! How a platform speaks to a seeded host: an edge of the process.

use std::sync::Arc;

use bytes::Bytes;
use clayplank_forward::{HeaderNames, OrderFormat};
use clayplank_registry::Heartbeat;
use clayplank_routes::ServingPlan;
use clayplank_settings::Faults;
use clayplank_types::{DataCentre, RequestFingerprint};
use http::{Method, Request};
use http_body_util::Full;
use serde::Deserialize;

/// A call to a keeper.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// An operator replaces the serving plan.
    Publish(Box<ServingPlan>),
    /// An operator asks for the plan in force, as it was sent.
    ReadPlan,
    /// An upstream tells of itself.
    Heartbeat(Heartbeat),
    /// An upstream leaves: the life that it names, or the newest.
    Leave(Heartbeat),
    /// An operator asks which requests are held back.
    ReadHeldBack,
    /// An operator holds a request back no more.
    Lift(RequestFingerprint),
    /// An operator asks which data centres are under a cordon.
    ReadCordoned,
    /// An operator wants nothing more to go to the upstreams of a data centre.
    Cordon(DataCentre),
    /// An operator takes that back.
    Uncordon(DataCentre),
}

impl ControlCall {
    /// A heartbeat of an upstream that can be reached.
    ///
    /// # Errors
    /// Its address names no host, or no port: nothing could be sent there.
    pub fn of_heartbeat(heartbeat: Heartbeat) -> Result<Self, ControlFault> {
        if heartbeat.is_reachable() {
            return Ok(Self::Heartbeat(heartbeat));
        }
        let mut faults = Faults::default();
        faults.push("/address", format!("nothing can be reached at {}", heartbeat.address));
        Err(ControlFault::Malformed(faults))
    }
}

/// What an engine tells of itself when it is asked. Read as it stands under the project's own
/// contract; what is missing is usual, and other fields are passed over.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct EngineReport {
    /// How many times longer its work takes than its cost model says.
    pub pace: f64,
    /// Requests that it runs, for whichever host.
    pub running: usize,
    /// Requests that wait there.
    pub waiting: usize,
    /// Tokens of memory that its requests hold.
    pub used_tokens: u64,
    /// When the life that answers began, in ms since 1970; 0 if it does not say so.
    pub born_ms: u64,
}

impl Default for EngineReport {
    fn default() -> Self {
        Self { pace: 1.0, running: 0, waiting: 0, used_tokens: 0, born_ms: 0 }
    }
}

/// Why a call is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlFault {
    /// There is no such call.
    NotFound,
    /// Its body is wrong.
    Malformed(Faults),
}

/// Names, formats and calls of a platform. It translates and decides nothing.
pub trait Contract: OrderFormat {
    /// The headers of requests and answers.
    fn header_names(&self) -> HeaderNames;

    /// Reads a call to a keeper.
    ///
    /// # Errors
    /// It is none, or its body is wrong; with every fault's place.
    fn scan_call(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<ControlCall, ControlFault>;

    /// Reads a plan that was accepted before.
    ///
    /// # Errors
    /// All faults of the text.
    fn parse_plan(&self, text: &str) -> Result<ServingPlan, Faults>;

    /// The question to an engine for what it tells of itself.
    fn report_request(&self) -> Request<Full<Bytes>>;

    /// Reads an engine's answer to it.
    ///
    /// # Errors
    /// It is not what engines answer.
    fn scan_report(&self, body: &[u8]) -> Result<EngineReport, serde_json::Error>;

    /// Whether a call asks if the host takes new connections.
    fn is_readiness_call(&self, method: &Method, path: &str) -> bool;
}

/// A contract that the parts of a host share.
pub(crate) type SharedContract = Arc<dyn Contract>;
