//! The control endpoint, for operators and for heartbeats of upstreams.
//!
//! Any host may have one. A keeper uses its local registry; a host without a data folder queries
//! the keepers, and forwards heartbeats to them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clayplank_forward::now_ms;
use clayplank_registry::{Heartbeat, UpstreamStatus};
use clayplank_routes::ServingPlan;
use clayplank_settings::Faults;
use clayplank_state::{CommandBody, Delta, PlanDocument, Reply};
use clayplank_types::{DataCentre, Fingerprint, HostId, QuarantineEntry};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde_json::Value;
use xtra::Address;

use crate::doors::contract::{ControlCall, ControlError, SharedContract};
use crate::fleet::fleet_keeper::FleetKeeper;
use crate::fleet::heartbeat_relay::HeartbeatRelay;
use crate::keepers::keeper::Keeper;
use crate::keepers::keeper_client::KeeperClient;
use crate::keepers::keeper_messages::GetLeader;
use crate::process::logging::log_target;

/// Size limit of a body, such as a plan, in bytes; the platform's plans stay below four megabytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Limit of the logged text of a call's faults, in characters.
const MAX_LOGGED_CHARS: usize = 300;

/// Time-out of a call to the keepers, such as to store or confirm a plan: clients give up after
/// about a second.
pub(super) const QUORUM_TIMEOUT: Duration = Duration::from_millis(900);

/// Time-out of asking the local keeper for the leader; a keeper that waits for its disk does not
/// answer.
const LOCAL_KEEPER_TIMEOUT: Duration = Duration::from_millis(100);

/// Largest age of the leader's last answer, in ms, at which a host without a data folder accepts
/// heartbeats; it contacts the leader about every half second. Heartbeats that a disconnected host
/// accepts are lost: without this limit, prompts were refused beside idle engines, which all
/// counted as unresponsive.
const MAX_LEADER_CONTACT_AGE_MS: u64 = 1_200;

/// Access of the endpoint to the registry of upstreams and to the current leader.
#[derive(Clone)]
pub(crate) enum RegistryAccess {
    /// The host is a keeper, with a local registry.
    Local {
        /// The local keeper.
        keeper: Address<Keeper>,
        /// The local registry and fleet.
        fleet: Arc<FleetKeeper>,
    },
    /// The host has no data folder; the registry is on the keepers.
    Remote,
}

/// State of the control endpoint.
#[derive(Clone)]
pub(crate) struct ControlEndpoint {
    pub(crate) local_host: HostId,
    pub(crate) contract: SharedContract,
    pub(crate) keepers: KeeperClient,
    pub(crate) registry: RegistryAccess,
    pub(crate) heartbeat_relay: HeartbeatRelay,
    /// Data centres of the deployment; empty if the settings do not name them.
    pub(crate) data_centres: Arc<[DataCentre]>,
}

pub(super) type Answer = Response<Full<Bytes>>;

impl ControlEndpoint {
    /// Parses and answers a call.
    pub(crate) async fn answer(self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return fault(StatusCode::BAD_REQUEST, &format!("the body: {error}")),
        };
        match self.contract.parse_call(&head.method, head.uri.path(), &body) {
            Ok(ControlCall::Publish(plan)) => self.publish(&plan, &body).await,
            Ok(ControlCall::ReadPlan) => self.read_plan().await,
            Ok(ControlCall::Heartbeat(heartbeat)) => self.apply_heartbeat(heartbeat).await,
            Ok(ControlCall::Depart(departed)) => self.apply_departure(departed).await,
            Ok(ControlCall::ListQuarantined) => self.list_quarantined().await,
            Ok(ControlCall::LiftQuarantine(fingerprint)) => self.lift_quarantine(fingerprint).await,
            Ok(ControlCall::ListCordons) => self.read_cordoned().await,
            Ok(ControlCall::Cordon(data_centre)) => self.cordon(data_centre).await,
            Ok(ControlCall::Uncordon(data_centre)) => self.uncordon(data_centre).await,
            Err(ControlError::NotFound) => fault(StatusCode::NOT_FOUND, "no such call"),
            Err(ControlError::Malformed(faults)) => malformed(&faults),
        }
    }

    async fn publish(&self, plan: &ServingPlan, body: &Bytes) -> Answer {
        let started_ms = now_ms();
        let Ok(text) = std::str::from_utf8(body) else {
            return fault(StatusCode::BAD_REQUEST, "the body is not UTF-8");
        };
        let document = PlanDocument { version: plan.version, text: text.into() };
        let reply = self.keepers.execute(&CommandBody::Publish(document), QUORUM_TIMEOUT).await;
        let (answer, outcome) = match &reply {
            Ok(Reply::Published { .. }) => (empty(StatusCode::OK), "published"),
            Ok(Reply::OtherPlan) => {
                let message = "another plan has this version";
                (fault(StatusCode::CONFLICT, message), "other_plan")
            }
            Ok(_) => (fault(StatusCode::INTERNAL_SERVER_ERROR, "an unfit reply"), "unfit"),
            Err(_) => (fault(StatusCode::SERVICE_UNAVAILABLE, "no quorum in time"), "no_quorum"),
        };
        log::info!(target: log_target::KEEPER,
            version = plan.version, outcome = outcome, took_ms = now_ms() - started_ms,
            bytes = body.len();
            "An operator sent a plan");
        answer
    }

    /// The replicated state as confirmed by a quorum, or an error response if no quorum answers in
    /// time; `what` names the requested data in the log.
    pub(super) async fn confirmed(&self, what: &str) -> Result<Delta, Box<Answer>> {
        match self.keepers.watch(&self.local_host, 0, QUORUM_TIMEOUT).await {
            Ok((delta, _)) => Ok(delta),
            Err(error) => {
                log::info!(target: log_target::KEEPER, "{what} not available from a quorum: {error}.");
                Err(Box::new(fault(StatusCode::SERVICE_UNAVAILABLE, "no quorum in time")))
            }
        }
    }

    /// Answers with the newest plan, as confirmed by a quorum.
    async fn read_plan(&self) -> Answer {
        match self.confirmed("Newest plan").await.map(|delta| delta.plan) {
            Ok(Some(document)) => json(StatusCode::OK, Bytes::from(document.text.to_string())),
            Ok(None) => fault(StatusCode::NOT_FOUND, "no plan was published"),
            Err(answer) => *answer,
        }
    }

    /// Answers with the quarantined requests, as confirmed by a quorum.
    async fn list_quarantined(&self) -> Answer {
        match self.confirmed("List of quarantined requests").await {
            Ok(delta) => {
                let requests = delta.held_back.unwrap_or_default();
                let shown: Vec<_> = requests.iter().map(quarantined_json).collect();
                json(StatusCode::OK, Bytes::from(Value::from(shown).to_string()))
            }
            Err(answer) => *answer,
        }
    }

    async fn lift_quarantine(&self, fingerprint: Fingerprint) -> Answer {
        let reply = self.keepers.execute(&CommandBody::Lift(fingerprint), QUORUM_TIMEOUT).await;
        let (answer, outcome) = match &reply {
            Ok(Reply::Lifted { was_held_back: true }) => (empty(StatusCode::OK), "lifted"),
            Ok(Reply::Lifted { was_held_back: false }) => {
                (fault(StatusCode::NOT_FOUND, "no such request is held back"), "not_held_back")
            }
            Ok(_) => (fault(StatusCode::INTERNAL_SERVER_ERROR, "an unfit reply"), "unfit"),
            Err(_) => (fault(StatusCode::SERVICE_UNAVAILABLE, "no quorum in time"), "no_quorum"),
        };
        log::info!(target: log_target::KEEPER,
            fingerprint:% = fingerprint, outcome = outcome;
            "An operator lifted the quarantine of a request");
        answer
    }

    async fn apply_heartbeat(&self, heartbeat: Heartbeat) -> Answer {
        let accepts_requests = heartbeat.standing == UpstreamStatus::Ready;
        if let RegistryAccess::Local { fleet, .. } = &self.registry {
            fleet.apply(std::slice::from_ref(&heartbeat));
        }
        if !accepts_requests {
            return self.notify_leader(&heartbeat).await;
        }
        self.heartbeat_relay.queue_heartbeat(heartbeat);
        match self.leader().await {
            Some(_) => empty(StatusCode::OK),
            // This host may be partitioned from the keepers: the upstream should try another host.
            None => fault(StatusCode::SERVICE_UNAVAILABLE, "no keeper leads"),
        }
    }

    /// The leading keeper, as far as this host knows.
    async fn leader(&self) -> Option<HostId> {
        let RegistryAccess::Local { keeper, .. } = &self.registry else {
            return self.keepers.recent_leader(MAX_LEADER_CONTACT_AGE_MS);
        };
        match clayplank_clock::timeout(LOCAL_KEEPER_TIMEOUT, keeper.send(GetLeader)).await {
            Ok(leader) => leader.ok().flatten(),
            Err(_) => self.keepers.leader().filter(|leader| *leader != self.local_host),
        }
    }

    async fn apply_departure(&self, departed: Heartbeat) -> Answer {
        let departed = match &self.registry {
            RegistryAccess::Local { fleet, .. } => fleet.record_departure(&departed),
            // The keepers determine the incarnation.
            RegistryAccess::Remote => departed,
        };
        self.notify_leader(&departed).await
    }

    /// Reports to the keepers that an upstream accepts no new requests, and acknowledges it only
    /// once enough of them have saved it.
    async fn notify_leader(&self, heartbeat: &Heartbeat) -> Answer {
        let started_ms = now_ms();
        let leader = self.leader().await;
        let local_fleet = match &self.registry {
            RegistryAccess::Local { fleet, .. } => Some(fleet),
            RegistryAccess::Remote => None,
        };
        let relayed = self.heartbeat_relay.relay_now(heartbeat, leader.as_ref(), local_fleet);
        let is_relayed = relayed.await;
        log::info!(target: log_target::KEEPER,
            upstream = heartbeat.id.as_str(), standing:? = heartbeat.standing,
            sequence = heartbeat.sequence, leader = leader.as_ref().map_or("", HostId::as_str),
            acknowledged = is_relayed, took_ms = now_ms() - started_ms;
            "An upstream reported that it accepts no new requests");
        if is_relayed {
            empty(StatusCode::OK)
        } else {
            fault(StatusCode::SERVICE_UNAVAILABLE, "too few keepers know yet")
        }
    }
}

fn quarantined_json(quarantined: &QuarantineEntry) -> Value {
    serde_json::json!({
        "kind": quarantined.kind.as_str(),
        "fingerprint": quarantined.fingerprint.to_string(),
        "caller": quarantined.caller,
        "ended": quarantined.ended,
        "next_trial_in_ms": quarantined.next_trial_in_ms,
    })
}

pub(super) fn empty(status: StatusCode) -> Answer {
    json(status, Bytes::from_static(b"{}"))
}

pub(super) fn json(status: StatusCode, body: Bytes) -> Answer {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

pub(super) fn fault(status: StatusCode, message: &str) -> Answer {
    let body = serde_json::json!({ "error": message });
    json(status, Bytes::from(body.to_string()))
}

fn malformed(faults: &Faults) -> Answer {
    // The faults may quote the body, which may be long.
    let shown: String = faults.to_string().chars().take(MAX_LOGGED_CHARS).collect();
    log::info!(target: log_target::KEEPER, faults = shown; "Rejected a malformed call");
    let body = serde_json::json!({ "error": "the body is wrong", "faults": faults });
    json(StatusCode::BAD_REQUEST, Bytes::from(body.to_string()))
}
