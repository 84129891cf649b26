//! gRPC service that this host offers to its peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use clayplank_agreement::{Envelope, ReplicaId};
use clayplank_members::MemberUpdate;
use clayplank_placement::{Event, PlacementId, PlacementRequest, RunningPlacement};
use clayplank_registry::{AgedLimit, Heartbeat, UpstreamStatus};
use clayplank_schedule::{GrantHolder, GrantId, RenewedGrant, Usage};
use clayplank_state::{CommandBody, decode, encode};
use clayplank_types::{AttemptId, HostId, Incarnation, PoolId, Priority, RequestId, UpstreamId};
use clayplank_wire::inner_server::Inner;
use clayplank_wire::{
    AwaitTurnsReply, AwaitTurnsRequest, ExecuteReply, ExecuteRequest, FindLeaderReply,
    FindLeaderRequest, FinishReply, FinishRequest, FirstTokenReply, FirstTokenRequest, FollowReply,
    FollowRequest, Granted, InspectReply, InspectRequest, IntroduceReply, IntroduceRequest,
    NotOwner, PlaceReply, PlaceRequest, ProbeReply, ProbeRequest, Refused, RenewReply,
    RenewRequest, ReportReply, ReportRequest, ReserveReply, ReserveRequest, SpreadReply,
    SpreadRequest, StepReply, StepRequest, StoppingReply, StoppingRequest, TakeTurnReply,
    TakeTurnRequest, WatchReply, WatchRequest, execute_reply, inspect_reply, reserve_reply,
    stopping_reply, watch_reply,
};
use tonic::{Request, Response, Status};
use xtra::Address;

use crate::fleet::fleet_keeper::FleetKeeper;
use crate::fleet::heartbeat_relay::HeartbeatRelay;
use crate::fleet::placement_keeper::{CallEnded, PlacementKeeper};
use crate::follow::follow_responder::FollowResponder;
use crate::follow::leader_confirmation::Relay;
use crate::keepers::keeper::{Keeper, KeeperAddress};
use crate::keepers::keeper_client::KeeperClient;
use crate::keepers::keeper_messages::{
    AnnounceStop, CommandOutcome, Execute, FindLeader, Inspect, Introduce, Step, StopReply,
    WATCH_HOLD_MS, Watch, WatchOutcome,
};
use crate::owners::owner::{
    Finish, FirstToken, Owner, Renew, Reserve, ReserveResponse, ReserveResult,
};
use crate::owners::reservations::{part_from_wire, part_to_wire};
use crate::process::clock::now_ms;
use crate::process::membership::{Gossip, Membership};
use crate::process::peers::Peers;

/// Time-out of a probe that this host sends on behalf of another.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves peers: passes their calls to the local actors and encodes the answers.
#[derive(Clone)]
pub(crate) struct InnerService {
    pub(crate) owner: Option<Address<Owner>>,
    pub(crate) keeper: KeeperAddress,
    /// `None` on seeded hosts, which find each other from bootstrap addresses.
    pub(crate) membership: Option<Address<Membership>>,
    pub(crate) peers: Peers,
    /// Keepers that a seeded host knows and names to its peers, also if it is not a keeper itself.
    pub(crate) keepers: Option<KeeperClient>,
    /// Registry of upstreams, and fleet, of a seeded keeper.
    pub(crate) fleet: Option<Arc<FleetKeeper>>,
    /// Confirms the state of a seeded keeper to its followers.
    pub(crate) relay: Option<Arc<Relay>>,
    /// Forwards heartbeats from a seeded keeper to its peers.
    pub(crate) heartbeat_relay: Option<HeartbeatRelay>,
}

type RpcResult<T> = Result<Response<T>, Status>;

impl InnerService {
    fn owner(&self) -> Result<&Address<Owner>, Status> {
        self.owner.as_ref().ok_or_else(|| Status::unimplemented("not an entry host"))
    }

    fn fleet(&self) -> Result<&Arc<FleetKeeper>, Status> {
        self.fleet.as_ref().ok_or_else(|| Status::unimplemented("not a seeded keeper"))
    }

    /// Placement of prompts, once this keeper knows enough for it.
    fn placement(&self) -> Result<&PlacementKeeper, Status> {
        self.fleet()?.ready_placement().ok_or_else(|| Status::unavailable("not ready"))
    }

    fn known_keepers(&self) -> Vec<String> {
        names(&self.keepers.as_ref().map(KeeperClient::keepers).unwrap_or_default())
    }

    fn known_contacts(&self) -> Vec<String> {
        names(&self.keepers.as_ref().map(KeeperClient::sample_contacts).unwrap_or_default())
    }

    fn keeper(&self) -> Result<&Address<Keeper>, Status> {
        self.keeper.as_ref().ok_or_else(|| Status::unimplemented("not a keeper"))
    }
}

fn names(hosts: &[HostId]) -> Vec<String> {
    hosts.iter().map(ToString::to_string).collect()
}

fn actor_stopped<E>(_: E) -> Status {
    Status::unavailable("the host is stopping")
}

/// Status for a message of a peer that cannot be decoded.
pub(crate) fn invalid_message<E: std::fmt::Display>(error: E) -> Status {
    Status::invalid_argument(error.to_string())
}

/// Decodes the limits that a peer reports; an empty field stands for none.
fn decode_limits(bytes: &[u8]) -> Result<Vec<AgedLimit>, Status> {
    if bytes.is_empty() {
        return Ok(Vec::new());
    }
    decode(bytes).map_err(invalid_message)
}

fn hint_text(hint: Option<HostId>) -> String {
    hint.map_or_else(String::new, |host| host.to_string())
}

#[tonic::async_trait]
impl Inner for InnerService {
    async fn reserve(&self, request: Request<ReserveRequest>) -> RpcResult<ReserveReply> {
        let request = request.into_inner();
        let reserve = reserve_from_wire(request)?;
        let answer = self
            .owner()?
            .send(reserve)
            .await
            .map_err(actor_stopped)?
            .await
            .map_err(actor_stopped)?;
        Ok(Response::new(reserve_to_wire(answer)))
    }

    async fn renew(&self, request: Request<RenewRequest>) -> RpcResult<RenewReply> {
        let renew = renew_from_wire(request.into_inner())?;
        self.owner()?.send(renew).await.map_err(actor_stopped)?;
        Ok(Response::new(RenewReply::default()))
    }

    async fn first_token(&self, request: Request<FirstTokenRequest>) -> RpcResult<FirstTokenReply> {
        let request = request.into_inner();
        let first = FirstToken {
            pool: PoolId::new(request.pool),
            owner: Incarnation(request.owner_incarnation),
            grant_id: GrantId(request.grant_id),
        };
        self.owner()?.send(first).await.map_err(actor_stopped)?;
        Ok(Response::new(FirstTokenReply {}))
    }

    async fn finish(&self, request: Request<FinishRequest>) -> RpcResult<FinishReply> {
        let request = request.into_inner();
        let attempt_id: AttemptId = request.attempt_id.parse().map_err(invalid_message)?;
        let usage = Usage {
            engine_ended: request.engine_ended,
            engine_failed: request.engine_failed,
            output_tokens: request.output_tokens,
            decode_ms: request.decode_ms,
        };
        let finish = Finish { pool: PoolId::new(request.pool), attempt_id, usage };
        self.owner()?.send(finish).await.map_err(actor_stopped)?;
        Ok(Response::new(FinishReply {}))
    }

    async fn step(&self, request: Request<StepRequest>) -> RpcResult<StepReply> {
        let messages = request.into_inner().messages;
        let decoded: Result<Vec<Envelope>, _> =
            messages.iter().map(|bytes| decode(bytes)).collect();
        self.keeper()?
            .send(Step(decoded.map_err(invalid_message)?))
            .await
            .map_err(actor_stopped)?;
        Ok(Response::new(StepReply {}))
    }

    async fn execute(&self, request: Request<ExecuteRequest>) -> RpcResult<ExecuteReply> {
        let body: CommandBody = decode(&request.into_inner().command).map_err(invalid_message)?;
        let executed = self
            .keeper()?
            .send(Execute(body))
            .await
            .map_err(actor_stopped)?
            .await
            .map_err(actor_stopped)?;
        let result = match executed {
            CommandOutcome::Reply(reply) => {
                execute_reply::Result::Reply(encode(&reply).map_err(invalid_message)?)
            }
            CommandOutcome::NotLeader(hint) => {
                execute_reply::Result::NotLeaderHint(hint_text(hint))
            }
            CommandOutcome::Unknown => execute_reply::Result::Unknown(true),
        };
        Ok(Response::new(ExecuteReply { result: Some(result) }))
    }

    async fn watch(&self, request: Request<WatchRequest>) -> RpcResult<WatchReply> {
        let request = request.into_inner();
        let watch = Watch {
            host: HostId::new(request.from_host),
            applied_revision: request.applied_revision,
            wait_ms: WATCH_HOLD_MS,
        };
        let watched = self
            .keeper()?
            .send(watch)
            .await
            .map_err(actor_stopped)?
            .await
            .map_err(actor_stopped)?;
        let result = match watched {
            WatchOutcome::Delta(delta) => {
                watch_reply::Result::Delta(encode(&delta).map_err(invalid_message)?)
            }
            WatchOutcome::NotLeader(hint) => watch_reply::Result::NotLeaderHint(hint_text(hint)),
        };
        Ok(Response::new(WatchReply { result: Some(result) }))
    }

    async fn introduce(&self, request: Request<IntroduceRequest>) -> RpcResult<IntroduceReply> {
        let replica: ReplicaId = decode(&request.into_inner().replica).map_err(invalid_message)?;
        if let Some(keepers) = &self.keepers {
            keepers.add_keepers([HostId::new(replica.host.clone())]);
        }
        let introduction = match &self.keeper {
            Some(keeper) => {
                let introduced = keeper.send(Introduce(replica)).await.map_err(actor_stopped)?;
                encode(&introduced).map_err(invalid_message)?
            }
            None => Vec::new(),
        };
        Ok(Response::new(IntroduceReply {
            introduction,
            keepers: self.known_keepers(),
            contacts: self.known_contacts(),
        }))
    }

    async fn stopping(&self, request: Request<StoppingRequest>) -> RpcResult<StoppingReply> {
        let stopping = AnnounceStop(HostId::new(request.into_inner().from_host));
        let result = match self.keeper()?.send(stopping).await.map_err(actor_stopped)? {
            StopReply::Decided(may_stop) => stopping_reply::Result::MayStop(may_stop),
            StopReply::NotLeader(hint) => stopping_reply::Result::NotLeaderHint(hint_text(hint)),
        };
        Ok(Response::new(StoppingReply { result: Some(result) }))
    }

    async fn inspect(&self, _: Request<InspectRequest>) -> RpcResult<InspectReply> {
        let result = match self.keeper()?.send(Inspect).await.map_err(actor_stopped)? {
            Ok(status) => inspect_reply::Result::Json(
                serde_json::to_string(&status).map_err(invalid_message)?,
            ),
            Err(hint) => inspect_reply::Result::NotLeaderHint(hint_text(hint)),
        };
        Ok(Response::new(InspectReply { result: Some(result) }))
    }

    async fn probe(&self, request: Request<ProbeRequest>) -> RpcResult<ProbeReply> {
        let request = request.into_inner();
        let updates: Vec<MemberUpdate> = decode(&request.gossip).map_err(invalid_message)?;
        let membership = self.membership.as_ref();
        let membership = membership.ok_or_else(|| Status::unimplemented("no membership here"))?;
        let local_updates = membership.send(Gossip(updates)).await.map_err(actor_stopped)?;
        let gossip = encode(&local_updates).map_err(invalid_message)?;
        let reached = request.via_target.is_empty() || self.probe_for_another(&request).await;
        Ok(Response::new(ProbeReply { reached, gossip }))
    }

    async fn follow(&self, request: Request<FollowRequest>) -> RpcResult<FollowReply> {
        let relay = self.relay.as_ref();
        let relay = relay.ok_or_else(|| Status::unimplemented("not a seeded keeper"))?;
        let responder = FollowResponder { fleet: self.fleet()?, keeper: self.keeper()?, relay };
        let result = responder.answer_follow(request.into_inner()).await?;
        Ok(Response::new(FollowReply { result: Some(result) }))
    }

    async fn find_leader(&self, request: Request<FindLeaderRequest>) -> RpcResult<FindLeaderReply> {
        let request = request.into_inner();
        if let Some(keepers) = self.keepers.as_ref().filter(|_| !request.from_host.is_empty()) {
            keepers.add_contacts([HostId::new(request.from_host)]);
            keepers.add_keepers(request.keepers.into_iter().map(HostId::new));
        }
        let find = FindLeader { wait_ms: request.wait_ms };
        let leader = match &self.keeper {
            Some(keeper) => {
                keeper.send(find).await.map_err(actor_stopped)?.await.map_err(actor_stopped)?
            }
            None => None,
        };
        let leader_host = hint_text(leader);
        Ok(Response::new(FindLeaderReply {
            leader_host,
            keepers: self.known_keepers(),
            contacts: self.known_contacts(),
        }))
    }

    async fn place(&self, request: Request<PlaceRequest>) -> RpcResult<PlaceReply> {
        let placement_request: PlacementRequest =
            decode(&request.into_inner().ask).map_err(invalid_message)?;
        let placed = self.placement()?.place(&placement_request);
        Ok(Response::new(PlaceReply { placed: encode(&placed).map_err(invalid_message)? }))
    }

    async fn await_turns(&self, request: Request<AwaitTurnsRequest>) -> RpcResult<AwaitTurnsReply> {
        let request = request.into_inner();
        let queued: Vec<PlacementRequest> = decode(&request.queued).map_err(invalid_message)?;
        let decisions =
            self.placement()?.await_turns(request.life, &queued).await.map_err(|CallEnded| {
                Status::aborted("replaced by a newer call, or no longer placing")
            })?;
        let decisions = encode(&decisions).map_err(invalid_message)?;
        Ok(Response::new(AwaitTurnsReply { decisions }))
    }

    async fn take_turn(&self, request: Request<TakeTurnRequest>) -> RpcResult<TakeTurnReply> {
        let request = request.into_inner();
        let limit: AgedLimit = decode(&request.limit).map_err(invalid_message)?;
        let taken = self.fleet()?.take_permit(limit, request.patience_ms);
        let (is_taken, wait_ms) = match taken {
            Ok(wait_ms) => (true, wait_ms),
            Err(wait_ms) => (false, wait_ms),
        };
        Ok(Response::new(TakeTurnReply { is_taken, wait_ms }))
    }

    async fn report(&self, request: Request<ReportRequest>) -> RpcResult<ReportReply> {
        let request = request.into_inner();
        if !request.placed.is_empty() {
            let placed: Vec<RunningPlacement> = decode(&request.placed).map_err(invalid_message)?;
            self.fleet()?.placement().add_placements(placed);
        }
        let events: Vec<(PlacementId, Event)> = decode(&request.events).map_err(invalid_message)?;
        self.fleet()?.placement().record_events(&events);
        for limit in self.fleet()?.record_limits(decode_limits(&request.limits)?) {
            if let Some(heartbeat_relay) = &self.heartbeat_relay {
                heartbeat_relay.queue_limit(limit);
            }
        }
        Ok(Response::new(ReportReply {}))
    }

    async fn spread(&self, request: Request<SpreadRequest>) -> RpcResult<SpreadReply> {
        let request = request.into_inner();
        let heartbeats: Vec<Heartbeat> = decode(&request.heartbeats).map_err(invalid_message)?;
        let fleet = self.fleet()?;
        fleet.apply(&heartbeats);
        fleet.record_limits(decode_limits(&request.limits)?);
        // The upstream is told that it may end once enough keepers have answered this call.
        if heartbeats.iter().any(|heartbeat| heartbeat.standing != UpstreamStatus::Ready) {
            fleet.wait_until_saved().await;
        }
        if let Some(heartbeat_relay) = self.heartbeat_relay.as_ref().filter(|_| request.passes_on) {
            heartbeats.into_iter().for_each(|heartbeat| heartbeat_relay.queue_heartbeat(heartbeat));
        }
        Ok(Response::new(SpreadReply {}))
    }
}

impl InnerService {
    async fn probe_for_another(&self, request: &ProbeRequest) -> bool {
        let target = HostId::new(request.via_target.clone());
        let probe = ProbeRequest {
            from_host: request.from_host.clone(),
            via_target: String::new(),
            gossip: request.gossip.clone(),
        };
        let call = self.peers.call(&target, INDIRECT_PROBE_TIMEOUT, |mut client| async move {
            client.probe(probe).await
        });
        call.await.is_ok()
    }
}

fn reserve_from_wire(request: ReserveRequest) -> Result<Reserve, Status> {
    let account = request.account.parse().map_err(invalid_message)?;
    let attempt_id: AttemptId = request.attempt_id.parse().map_err(invalid_message)?;
    // The deadline is by the owner's clock: only the remaining time is sent.
    let deadline_ms = now_ms() + request.deadline_in_ms;
    let mut reservation_request = clayplank_schedule::ReservationRequest::new(
        RequestId(0),
        attempt_id,
        account,
        &request.model,
        request.prompt_tokens,
        deadline_ms,
    );
    reservation_request.weight = request.share;
    reservation_request.priority = Priority::from_rank(request.priority_rank as usize);
    reservation_request.adapter = Some(request.adapter).filter(|adapter| !adapter.is_empty());
    reservation_request.max_output_tokens = request.max_output_tokens;
    reservation_request.prefix_hashes = request.prefix_hashes;
    reservation_request.avoided_engines =
        request.avoid_engines.into_iter().map(UpstreamId::new).collect();
    let holder = GrantHolder {
        host: HostId::new(request.from_host),
        incarnation: Incarnation(request.from_incarnation),
    };
    Ok(Reserve { pool: PoolId::new(request.pool), holder, request: reservation_request })
}

fn reserve_to_wire(answer: ReserveResponse) -> ReserveReply {
    let result = match answer.reserved {
        ReserveResult::Granted { grant, owner } => reserve_reply::Result::Granted(Granted {
            grant_id: grant.grant_id.0,
            owner_incarnation: owner.0,
            engines: grant.parts.iter().map(part_to_wire).collect(),
            engine_priority_rank: u32::from(grant.engine_priority.0),
        }),
        ReserveResult::Refused(refusal) => reserve_reply::Result::Refused(Refused {
            reason: refusal.reason.as_str().to_owned(),
            retry_after_ms: refusal.retry_after_ms,
        }),
        ReserveResult::NotOwner(owner) => {
            reserve_reply::Result::NotOwner(NotOwner { owner: hint_text(owner) })
        }
    };
    ReserveReply { result: Some(result), pool_wait_ms: answer.pool_wait_ms }
}

fn renew_from_wire(request: RenewRequest) -> Result<Renew, Status> {
    let mut grants_by_pool: BTreeMap<PoolId, Vec<RenewedGrant>> = BTreeMap::new();
    for grant in request.grants {
        let renewed_grant = RenewedGrant {
            grant_id: GrantId(grant.grant_id),
            owner: Incarnation(grant.owner_incarnation),
            attempt_id: grant.attempt_id.parse().map_err(invalid_message)?,
            parts: grant.engines.into_iter().map(part_from_wire).collect(),
        };
        grants_by_pool.entry(PoolId::new(grant.pool)).or_default().push(renewed_grant);
    }
    let holder = GrantHolder {
        host: HostId::new(request.from_host),
        incarnation: Incarnation(request.from_incarnation),
    };
    Ok(Renew { holder, grants_by_pool })
}
