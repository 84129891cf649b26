//! Answers those that follow a keeper: entry hosts, and other keepers on behalf of theirs.

use clayplank_placement::Renewed;
use clayplank_registry::{Cursor, Digest, Heartbeat};
use clayplank_state::{Delta, decode, encode};
use clayplank_types::HostId;
use clayplank_wire::{FollowRequest, Followed, KeeperFollow, follow_reply};
use tonic::Status;
use xtra::Address;

use crate::fleet::fleet_keeper::{FleetKeeper, News};
use crate::follow::relay::{Relay, Renewals};
use crate::keepers::keeper::Keeper;
use crate::keepers::keeper_messages::{DeltaAfter, Watch, Watched};
use crate::process::inner::malformed;

/// What a keeper answers its followers from.
#[derive(Clone, Copy)]
pub(crate) struct Followers<'a> {
    pub(crate) fleet: &'a FleetKeeper,
    pub(crate) keeper: &'a Address<Keeper>,
    pub(crate) relay: &'a Relay,
}

/// What a follower asks with, decoded.
struct Asked {
    host: HostId,
    revision: u64,
    plan_version: u64,
    cursor: Cursor,
    digest: Option<Digest>,
    limits_cursor: Cursor,
    is_hedge: bool,
}

impl Followers<'_> {
    /// Answers a follower.
    pub(crate) async fn answer(
        self,
        request: FollowRequest,
    ) -> Result<follow_reply::Result, Status> {
        let known: Vec<Heartbeat> = decode(&request.known).map_err(malformed)?;
        let asked = Asked {
            host: HostId::new(request.from_host),
            revision: request.applied_revision,
            plan_version: request.plan_version,
            cursor: decode(&request.cursor).map_err(malformed)?,
            digest: decode_digest(&request.digest)?,
            limits_cursor: decode(&request.limits_cursor).map_err(malformed)?,
            is_hedge: request.is_hedge,
        };
        self.fleet.learn(&known);
        match request.keeper {
            Some(of_keeper) => self.answer_keeper(&asked, &of_keeper).await,
            None => {
                let renewed: Vec<Renewed> = decode(&request.renewed).map_err(malformed)?;
                self.relay.note_renewed(request.life, renewed);
                self.answer_host(&asked).await
            }
        }
    }

    /// Answers an entry host when there is news, and after a while that there is none. What it is told
    /// holds all that was acknowledged before it asked.
    async fn answer_host(self, asked: &Asked) -> Result<follow_reply::Result, Status> {
        let newest_round = self.relay.newest_round();
        self.fleet.note_entry_host(asked.host.clone());
        self.relay.wait_for_news(asked.revision, asked.cursor).await;
        let Some(leader) = self.relay.confirm_after(newest_round).await else {
            return Ok(follow_reply::Result::NotLeaderHint(String::new()));
        };
        let delta = self.keeper.send(DeltaAfter(asked.revision)).await;
        let delta = delta.map_err(|_| stopping())?;
        self.followed(asked, delta, &leader)
    }

    /// Answers another keeper at once, if this one leads.
    async fn answer_keeper(
        self,
        asked: &Asked,
        of_keeper: &KeeperFollow,
    ) -> Result<follow_reply::Result, Status> {
        let renewals: Renewals = decode(&of_keeper.renewals).map_err(malformed)?;
        let watch =
            Watch { host: asked.host.clone(), applied_revision: asked.revision, wait_ms: 0 };
        let answer = self.keeper.send(watch).await.map_err(|_| stopping())?;
        let delta = match answer.await.map_err(|_| stopping())? {
            Watched::Delta(delta) => delta,
            Watched::NotLeader(hint) => {
                let hint = hint.map_or_else(String::new, |host| host.to_string());
                return Ok(follow_reply::Result::NotLeaderHint(hint));
            }
        };
        self.fleet.renew_all(&renewals);
        self.fleet.note_relayed_hosts(asked.host.clone(), of_keeper.entry_hosts);
        // The rest of the state comes with the log.
        let delta = Delta { revision: delta.revision, ..Delta::default() };
        self.followed(asked, delta, self.relay.own())
    }

    /// The news for a follower, with what it has to know of the other hosts.
    fn followed(
        self,
        asked: &Asked,
        mut delta: Delta,
        leader: &HostId,
    ) -> Result<follow_reply::Result, Status> {
        let fleet = self.fleet;
        let news = match asked.is_hedge {
            true => News::later(asked.cursor),
            false => fleet.news_for(asked.cursor, asked.digest.as_ref()),
        };
        let news = news.map_err(malformed)?;
        let plan_edit = fleet.take_edit(&mut delta, asked.plan_version);
        Ok(follow_reply::Result::Followed(Followed {
            delta: encode(&delta).map_err(malformed)?,
            plan_edit,
            changes: news.changes,
            entry_hosts: fleet.count_entry_hosts(),
            asks_digest: news.asks_digest,
            asks_known: news.asks_known.0,
            keepers: fleet.keepers().hosts().iter().map(ToString::to_string).collect(),
            deputy: fleet.keepers().deputy().map_or_else(String::new, |host| host.to_string()),
            leader: leader.to_string(),
            limits: encode_limits(fleet, asked.limits_cursor)?,
        }))
    }
}

fn stopping() -> Status {
    Status::unavailable("the keeper is stopping")
}

/// What a follower lacks of the limits that upstreams name; empty if nothing.
fn encode_limits(fleet: &FleetKeeper, cursor: Cursor) -> Result<Vec<u8>, Status> {
    let changes = fleet.limit_changes(cursor);
    if changes.cursor == cursor {
        return Ok(Vec::new());
    }
    encode(&changes).map_err(malformed)
}

/// What a follower knows, if it told it.
fn decode_digest(bytes: &[u8]) -> Result<Option<Digest>, Status> {
    if bytes.is_empty() {
        return Ok(None);
    }
    decode(bytes).map(Some).map_err(malformed)
}
