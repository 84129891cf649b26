//! The door for operators and for heartbeats of upstreams.
//!
//! Any host may have one. A keeper answers from what it holds; a host without a disk asks the
//! keepers, and passes heartbeats on to them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clayplank_forward::now_ms;
use clayplank_registry::{Heartbeat, Standing};
use clayplank_routes::ServingPlan;
use clayplank_settings::Faults;
use clayplank_state::{Body, Delta, PlanDocument, Reply};
use clayplank_types::{DataCentre, HeldBack, HostId, RequestFingerprint};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde_json::Value;
use xtra::Address;

use crate::doors::contract::{ControlCall, ControlFault, SharedContract};
use crate::fleet::fleet_keeper::FleetKeeper;
use crate::fleet::spread::Spread;
use crate::keepers::keeper::Keeper;
use crate::keepers::keeper_client::KeeperClient;
use crate::keepers::keeper_messages::WhoLeads;
use crate::process::logging::part;

/// The largest plan, in bytes; the platform's callers keep below four megabytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The most that a line of the log tells of what is wrong with a call, in characters.
const MAX_TOLD_CHARS: usize = 300;

/// Time for the keepers to take a plan, or to confirm one: callers move on after about a second.
pub(super) const PATIENCE: Duration = Duration::from_millis(900);

/// Time for this host's own keeper to say who leads; one that waits for its disk says nothing.
const OWN_KEEPER_PATIENCE: Duration = Duration::from_millis(100);

/// A host without a disk takes heartbeats only if the leader answered it within this time, in
/// ms: it asks about every half a second. Those that a host takes that is cut off are lost; with
/// a leader that was heard at any time, prompts were refused beside idle engines, which all
/// counted as silent.
const LEADER_HEARD_MS: u64 = 1_200;

/// Where a door finds the registered upstreams and who leads.
#[derive(Clone)]
pub(crate) enum Registered {
    /// On a keeper.
    Kept {
        /// The keeper of this host.
        keeper: Address<Keeper>,
        /// Its registry.
        fleet: Arc<FleetKeeper>,
    },
    /// On a host without a disk: the keepers know them.
    Followed,
}

/// What the door needs.
#[derive(Clone)]
pub(crate) struct ControlDoor {
    pub(crate) own: HostId,
    pub(crate) contract: SharedContract,
    pub(crate) keepers: KeeperClient,
    pub(crate) registered: Registered,
    pub(crate) spread: Spread,
    /// The data centres of the deployment; none if the settings do not name them.
    pub(crate) data_centres: Arc<[DataCentre]>,
}

pub(super) type Answer = Response<Full<Bytes>>;

impl ControlDoor {
    /// Answers a call.
    pub(crate) async fn answer(self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return fault(StatusCode::BAD_REQUEST, &format!("the body: {error}")),
        };
        match self.contract.scan_call(&head.method, head.uri.path(), &body) {
            Ok(ControlCall::Publish(plan)) => self.publish(&plan, &body).await,
            Ok(ControlCall::ReadPlan) => self.read_plan().await,
            Ok(ControlCall::Heartbeat(heartbeat)) => self.take_heartbeat(heartbeat).await,
            Ok(ControlCall::Leave(gone)) => self.take_leave(gone).await,
            Ok(ControlCall::ReadHeldBack) => self.read_held_back().await,
            Ok(ControlCall::Lift(fingerprint)) => self.lift(fingerprint).await,
            Ok(ControlCall::ReadCordoned) => self.read_cordoned().await,
            Ok(ControlCall::Cordon(data_centre)) => self.cordon(data_centre).await,
            Ok(ControlCall::Uncordon(data_centre)) => self.uncordon(data_centre).await,
            Err(ControlFault::NotFound) => fault(StatusCode::NOT_FOUND, "no such call"),
            Err(ControlFault::Malformed(faults)) => malformed(&faults),
        }
    }

    async fn publish(&self, plan: &ServingPlan, body: &Bytes) -> Answer {
        let began_ms = now_ms();
        let Ok(text) = std::str::from_utf8(body) else {
            return fault(StatusCode::BAD_REQUEST, "the body is not UTF-8");
        };
        let document = PlanDocument { version: plan.version, text: text.into() };
        let reply = self.keepers.execute(&Body::Publish(document), PATIENCE).await;
        let (answer, outcome) = match &reply {
            Ok(Reply::Published { .. }) => (empty(StatusCode::OK), "published"),
            Ok(Reply::OtherPlan) => {
                let message = "another plan has this version";
                (fault(StatusCode::CONFLICT, message), "other_plan")
            }
            Ok(_) => (fault(StatusCode::INTERNAL_SERVER_ERROR, "an unfit reply"), "unfit"),
            Err(_) => (fault(StatusCode::SERVICE_UNAVAILABLE, "no quorum in time"), "no_quorum"),
        };
        log::info!(target: part::KEEPER,
            version = plan.version, outcome = outcome, took_ms = now_ms() - began_ms,
            bytes = body.len();
            "An operator sent a plan");
        answer
    }

    /// What a quorum confirms to last, or the answer where none does in time: `what` the caller asked
    /// for goes to the log.
    pub(super) async fn confirmed(&self, what: &str) -> Result<Delta, Box<Answer>> {
        match self.keepers.watch(&self.own, 0, PATIENCE).await {
            Ok((delta, _)) => Ok(delta),
            Err(error) => {
                log::info!(target: part::KEEPER, "{what} is not known: {error}.");
                Err(Box::new(fault(StatusCode::SERVICE_UNAVAILABLE, "no quorum in time")))
            }
        }
    }

    /// The plan that a quorum confirms to be the newest.
    async fn read_plan(&self) -> Answer {
        match self.confirmed("The newest plan").await.map(|delta| delta.plan) {
            Ok(Some(document)) => json(StatusCode::OK, Bytes::from(document.text.to_string())),
            Ok(None) => fault(StatusCode::NOT_FOUND, "no plan was published"),
            Err(answer) => *answer,
        }
    }

    /// The requests that a quorum confirms to be held back.
    async fn read_held_back(&self) -> Answer {
        match self.confirmed("What is held back").await {
            Ok(delta) => {
                let held_back = delta.held_back.unwrap_or_default();
                let told: Vec<_> = held_back.iter().map(held_back_json).collect();
                json(StatusCode::OK, Bytes::from(Value::from(told).to_string()))
            }
            Err(answer) => *answer,
        }
    }

    async fn lift(&self, fingerprint: RequestFingerprint) -> Answer {
        let reply = self.keepers.execute(&Body::Lift(fingerprint), PATIENCE).await;
        let (answer, outcome) = match &reply {
            Ok(Reply::Lifted { was_held_back: true }) => (empty(StatusCode::OK), "lifted"),
            Ok(Reply::Lifted { was_held_back: false }) => {
                (fault(StatusCode::NOT_FOUND, "no such request is held back"), "not_held_back")
            }
            Ok(_) => (fault(StatusCode::INTERNAL_SERVER_ERROR, "an unfit reply"), "unfit"),
            Err(_) => (fault(StatusCode::SERVICE_UNAVAILABLE, "no quorum in time"), "no_quorum"),
        };
        log::info!(target: part::KEEPER,
            fingerprint:% = fingerprint, outcome = outcome;
            "An operator lifts a request that is held back");
        answer
    }

    async fn take_heartbeat(&self, heartbeat: Heartbeat) -> Answer {
        let takes_work = heartbeat.standing == Standing::Ready;
        if let Registered::Kept { fleet, .. } = &self.registered {
            fleet.apply(std::slice::from_ref(&heartbeat));
        }
        if !takes_work {
            return self.tell_leader(&heartbeat).await;
        }
        self.spread.push(heartbeat);
        match self.leader().await {
            Some(_) => empty(StatusCode::OK),
            // Cut off from the others, perhaps: the upstream should find a keeper that is not.
            None => fault(StatusCode::SERVICE_UNAVAILABLE, "no keeper leads"),
        }
    }

    /// Who leads, as far as this host knows.
    async fn leader(&self) -> Option<HostId> {
        let Registered::Kept { keeper, .. } = &self.registered else {
            return self.keepers.leader_heard_within(LEADER_HEARD_MS);
        };
        match clayplank_clock::timeout(OWN_KEEPER_PATIENCE, keeper.send(WhoLeads)).await {
            Ok(leader) => leader.ok().flatten(),
            Err(_) => self.keepers.leader().filter(|leader| *leader != self.own),
        }
    }

    async fn take_leave(&self, gone: Heartbeat) -> Answer {
        let gone = match &self.registered {
            Registered::Kept { fleet, .. } => fleet.leave(&gone),
            // The keepers know which life it is.
            Registered::Followed => gone,
        };
        self.tell_leader(&gone).await
    }

    /// Acknowledges that an upstream takes no new work once the leader knows it.
    async fn tell_leader(&self, heartbeat: &Heartbeat) -> Answer {
        let leader = self.leader().await;
        if self.spread.push_urgent(heartbeat, leader.as_ref()).await {
            empty(StatusCode::OK)
        } else {
            fault(StatusCode::SERVICE_UNAVAILABLE, "the leading keeper does not know yet")
        }
    }
}

fn held_back_json(one: &HeldBack) -> Value {
    serde_json::json!({
        "fingerprint": one.fingerprint.to_string(),
        "caller": one.caller,
        "ended": one.ended,
        "next_trial_in_ms": one.next_trial_in_ms,
    })
}

pub(super) fn empty(status: StatusCode) -> Answer {
    json(status, Bytes::from_static(b"{}"))
}

pub(super) fn json(status: StatusCode, body: Bytes) -> Answer {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

pub(super) fn fault(status: StatusCode, message: &str) -> Answer {
    let body = serde_json::json!({ "error": message });
    json(status, Bytes::from(body.to_string()))
}

fn malformed(faults: &Faults) -> Answer {
    // What is wrong may quote the body, which may be of any length.
    let told: String = faults.to_string().chars().take(MAX_TOLD_CHARS).collect();
    log::info!(target: part::KEEPER, faults = told; "A call was refused");
    let body = serde_json::json!({ "error": "the body is wrong", "faults": faults });
    json(StatusCode::BAD_REQUEST, Bytes::from(body.to_string()))
}
