//! Answers follow requests at a keeper: of entry hosts, and of other keepers on behalf of their hosts.

use clayplank_placement::RunningPlacement;
use clayplank_registry::{Cursor, Digest, Heartbeat};
use clayplank_state::{Delta, decode, encode};
use clayplank_types::HostId;
use clayplank_wire::{FollowRequest, Followed, KeeperFollow, follow_reply};
use tonic::Status;
use xtra::Address;

use crate::fleet::fleet_keeper::{FleetKeeper, UpstreamUpdate};
use crate::follow::leader_confirmation::{Relay, RenewalsByIncarnation};
use crate::keepers::keeper::Keeper;
use crate::keepers::keeper_messages::{GetDelta, Watch, WatchOutcome};
use crate::process::clock::now_ms;
use crate::process::peer_service::invalid_message;

/// The parts of a keeper that answer its followers.
#[derive(Clone, Copy)]
pub(crate) struct FollowResponder<'a> {
    pub(crate) fleet: &'a FleetKeeper,
    pub(crate) keeper: &'a Address<Keeper>,
    pub(crate) relay: &'a Relay,
}

/// A decoded follow request.
struct DecodedRequest {
    host: HostId,
    /// Revision that the follower has applied.
    revision: u64,
    plan_version: u64,
    cursor: Cursor,
    /// Digest of what the follower knows, if the keeper requested one.
    digest: Option<Digest>,
    limits_cursor: Cursor,
    /// Whether the follower also sent a request to another keeper.
    is_hedge: bool,
    /// Whether the follower reaches no upstream directly.
    is_cut_off: bool,
    /// Whether the follower requested hosts that may open tunnels.
    asks_tunnel_hosts: bool,
}

impl FollowResponder<'_> {
    /// Answers a follow request.
    pub(crate) async fn answer_follow(
        self,
        request: FollowRequest,
    ) -> Result<follow_reply::Result, Status> {
        let known: Vec<Heartbeat> = decode(&request.known).map_err(invalid_message)?;
        let decoded = DecodedRequest {
            host: HostId::new(request.from_host),
            revision: request.applied_revision,
            plan_version: request.plan_version,
            cursor: decode(&request.cursor).map_err(invalid_message)?,
            digest: decode_digest(&request.digest)?,
            limits_cursor: decode(&request.limits_cursor).map_err(invalid_message)?,
            is_hedge: request.is_hedge,
            is_cut_off: request.is_cut_off,
            asks_tunnel_hosts: request.asks_tunnel_hosts,
        };
        self.fleet.apply_follower_records(&known);
        match request.keeper {
            Some(keeper_part) => self.answer_keeper(&decoded, &keeper_part).await,
            None => {
                let placements: Vec<RunningPlacement> =
                    decode(&request.renewed).map_err(invalid_message)?;
                self.relay.record_renewals(request.life, placements);
                self.answer_host(&decoded).await
            }
        }
    }

    /// Answers an entry host as soon as there are updates, or after the hold time without any. The answer
    /// includes all that was acknowledged before the request came.
    async fn answer_host(self, request: &DecodedRequest) -> Result<follow_reply::Result, Status> {
        let newest_round = self.relay.newest_round();
        let (host, is_cut_off) = (request.host.clone(), request.is_cut_off);
        self.fleet.record_follower(host.clone());
        self.fleet.tunnel_hosts().record_follower(now_ms(), host, is_cut_off);
        // A host that is cut off needs a list of other hosts at once.
        if !(is_cut_off && request.asks_tunnel_hosts) {
            self.relay.wait_for_updates(request.revision, request.cursor).await;
        }
        let Some(leader) = self.relay.confirm_after(newest_round).await else {
            return Ok(follow_reply::Result::NotLeaderHint(String::new()));
        };
        let delta = self.keeper.send(GetDelta(request.revision)).await;
        let delta = delta.map_err(|_| stopping_status())?;
        self.reply(request, delta, &leader)
    }

    /// Answers another keeper at once, if this one leads.
    async fn answer_keeper(
        self,
        request: &DecodedRequest,
        keeper_part: &KeeperFollow,
    ) -> Result<follow_reply::Result, Status> {
        let renewals: RenewalsByIncarnation =
            decode(&keeper_part.renewals).map_err(invalid_message)?;
        let watch =
            Watch { host: request.host.clone(), applied_revision: request.revision, wait_ms: 0 };
        let answer = self.keeper.send(watch).await.map_err(|_| stopping_status())?;
        let delta = match answer.await.map_err(|_| stopping_status())? {
            WatchOutcome::Delta(delta) => delta,
            WatchOutcome::NotLeader(hint) => {
                let hint = hint.map_or_else(String::new, |host| host.to_string());
                return Ok(follow_reply::Result::NotLeaderHint(hint));
            }
        };
        self.fleet.placement().renew_all(renewals);
        self.fleet.record_peer_host_count(request.host.clone(), keeper_part.entry_hosts);
        if request.asks_tunnel_hosts {
            let hosts = keeper_part.tunnel_hosts.iter().map(HostId::new).collect();
            self.fleet.tunnel_hosts().record_reported(now_ms(), request.host.clone(), hosts);
        }
        // The keeper receives the rest of the state with the replicated log.
        let delta = Delta { revision: delta.revision, ..Delta::default() };
        self.reply(request, delta, self.relay.local_host())
    }

    /// The reply to a follower: updates of plan and upstreams, and what it must know of the other hosts.
    fn reply(
        self,
        request: &DecodedRequest,
        mut delta: Delta,
        leader: &HostId,
    ) -> Result<follow_reply::Result, Status> {
        let fleet = self.fleet;
        let updates = match request.is_hedge {
            true => UpstreamUpdate::without_changes(request.cursor),
            false => fleet.update_for(request.cursor, request.digest.as_ref()),
        };
        let updates = updates.map_err(invalid_message)?;
        let tunnel_hosts = match request.asks_tunnel_hosts {
            true => fleet.tunnel_hosts().sample(now_ms(), &request.host),
            false => Vec::new(),
        };
        let plan_edit = fleet.take_plan_edit(&mut delta, request.plan_version);
        Ok(follow_reply::Result::Followed(Followed {
            delta: encode(&delta).map_err(invalid_message)?,
            plan_edit,
            changes: updates.changes,
            entry_hosts: fleet.count_entry_hosts(),
            asks_digest: updates.needs_digest,
            asks_known: updates.requested_buckets.0,
            keepers: fleet.keepers().keepers().iter().map(ToString::to_string).collect(),
            deputy: fleet.keepers().deputy().map_or_else(String::new, |host| host.to_string()),
            leader: leader.to_string(),
            limits: encode_limits(fleet, request.limits_cursor)?,
            tunnel_hosts: tunnel_hosts.iter().map(ToString::to_string).collect(),
        }))
    }
}

fn stopping_status() -> Status {
    Status::unavailable("the keeper is stopping")
}

/// The changes after a cursor of the limits that upstreams name; empty if there are none.
fn encode_limits(fleet: &FleetKeeper, cursor: Cursor) -> Result<Vec<u8>, Status> {
    let changes = fleet.limit_changes(cursor);
    if changes.cursor == cursor {
        return Ok(Vec::new());
    }
    encode(&changes).map_err(invalid_message)
}

/// The digest that a follower sent; `None` if it sent none.
fn decode_digest(bytes: &[u8]) -> Result<Option<Digest>, Status> {
    if bytes.is_empty() {
        return Ok(None);
    }
    decode(bytes).map(Some).map_err(invalid_message)
}
