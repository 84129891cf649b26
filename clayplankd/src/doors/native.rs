//! The native contract of seeded hosts: its calls, headers and documents.

use bytes::Bytes;
use clayplank_forward::{CommandFormat, HeaderNames};
use clayplank_registry::Heartbeat;
use clayplank_routes::ServingPlan;
use clayplank_settings::Faults;
use clayplank_types::DataCentre;
use http::{HeaderValue, Method, Request, Uri, header};
use http_body_util::Full;
use serde_json::{Value, json};

use crate::doors::contract::{Contract, ControlCall, ControlError, EngineLoadReport};

const PLAN_PATH: &str = "/v1/plan";
const UPSTREAMS_PATH: &str = "/v1/upstreams/";
const QUARANTINE_PATH: &str = "/v1/held-back";
const CORDONS_PATH: &str = "/v1/cordons";
const HEALTH_PATH: &str = "/health";
const REPORT_PATH: &str = "/v1/report";
const RESERVATIONS_PATH: &str = "/v1/reservations";

/// The project's own contract, for deployments without a platform-specific one.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeContract;

impl CommandFormat for NativeContract {
    fn reserve(&self, ticket: &str, tokens: u64, hold_ms: u64) -> Request<Full<Bytes>> {
        let body = json!({ "ticket": ticket, "tokens": tokens, "hold_ms": hold_ms });
        reservation_request(Method::PUT, &body)
    }

    fn release(&self, ticket: &str) -> Request<Full<Bytes>> {
        reservation_request(Method::DELETE, &json!({ "ticket": ticket }))
    }
}

fn reservation_request(method: Method, body: &Value) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = method;
    *request.uri_mut() = Uri::from_static(RESERVATIONS_PATH);
    let headers = request.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(header::HOST, HeaderValue::from_static("engine"));
    request
}

impl Contract for NativeContract {
    fn header_names(&self) -> HeaderNames {
        HeaderNames::default()
    }

    fn parse_call(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<ControlCall, ControlError> {
        if let Some(id) = path.strip_prefix(UPSTREAMS_PATH).filter(|id| !id.is_empty()) {
            return scan_upstream_call(method, id, body);
        }
        if let Some(name) = path.strip_prefix(CORDONS_PATH).and_then(|rest| rest.strip_prefix('/'))
        {
            return scan_cordon_call(method, name);
        }
        match (method, path) {
            (&Method::PUT, PLAN_PATH) => {
                let text = std::str::from_utf8(body).map_err(|error| malformed(&error))?;
                let plan = self.parse_plan(text).map_err(ControlError::Malformed)?;
                Ok(ControlCall::Publish(Box::new(plan)))
            }
            (&Method::GET, PLAN_PATH) => Ok(ControlCall::ReadPlan),
            (&Method::GET, QUARANTINE_PATH) => Ok(ControlCall::ListQuarantined),
            (&Method::GET, CORDONS_PATH) => Ok(ControlCall::ListCordons),
            (&Method::DELETE, _) => scan_lift(path),
            _ => Err(ControlError::NotFound),
        }
    }

    fn parse_plan(&self, text: &str) -> Result<ServingPlan, Faults> {
        clayplank_settings::parse(text)
    }

    fn report_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static(REPORT_PATH);
        request.headers_mut().insert(header::HOST, HeaderValue::from_static("engine"));
        request
    }

    fn parse_report(&self, body: &[u8]) -> Result<EngineLoadReport, serde_json::Error> {
        serde_json::from_slice(body)
    }

    fn is_readiness_call(&self, method: &Method, path: &str) -> bool {
        method == Method::GET && path == HEALTH_PATH
    }
}

/// Parses a call that lifts the quarantine of a request, named by its fingerprint.
fn scan_lift(path: &str) -> Result<ControlCall, ControlError> {
    let fingerprint = path.strip_prefix(QUARANTINE_PATH).and_then(|rest| rest.strip_prefix('/'));
    let fingerprint = fingerprint.ok_or(ControlError::NotFound)?;
    fingerprint.parse().map(ControlCall::LiftQuarantine).map_err(|error| malformed(&error))
}

fn scan_cordon_call(method: &Method, name: &str) -> Result<ControlCall, ControlError> {
    let data_centre = DataCentre::new(name);
    match *method {
        Method::PUT => Ok(ControlCall::Cordon(data_centre)),
        Method::DELETE => Ok(ControlCall::Uncordon(data_centre)),
        _ => Err(ControlError::NotFound),
    }
}

fn scan_upstream_call(method: &Method, id: &str, body: &[u8]) -> Result<ControlCall, ControlError> {
    match *method {
        Method::PUT => {
            let heartbeat: Heartbeat =
                serde_json::from_slice(body).map_err(|error| malformed(&error))?;
            ControlCall::from_heartbeat(heartbeat.with_name(id))
        }
        Method::DELETE => Ok(ControlCall::Depart(Heartbeat::departure(id))),
        _ => Err(ControlError::NotFound),
    }
}

fn malformed(error: &dyn std::error::Error) -> ControlError {
    let mut faults = Faults::default();
    faults.push("", format!("cannot be read: {error}"));
    ControlError::Malformed(faults)
}
