//! Answers entry hosts that follow a keeper: with news, or that there is none.

use clayplank_placement::Renewed;
use clayplank_registry::{Cursor, Digest, Heartbeat};
use clayplank_state::{Delta, decode, encode};
use clayplank_types::HostId;
use clayplank_wire::{FollowRequest, Followed, follow_reply};
use tokio::sync::oneshot;
use tonic::Status;
use xtra::Address;

use crate::fleet::fleet_keeper::{FleetKeeper, News};
use crate::keepers::keeper::Keeper;
use crate::keepers::keeper_messages::{Watch, Watched};
use crate::process::inner::malformed;

/// A follower without news is confirmed after this time, in ms. A host whose
/// keeper has died finds the next one after about as long.
const FOLLOW_WAIT_MS: u64 = 500;

/// Answers an entry host when there is news, and confirms after a while that there is none.
pub(crate) async fn answer_follower(
    fleet: &FleetKeeper,
    keeper: &Address<Keeper>,
    request: FollowRequest,
) -> Result<follow_reply::Result, Status> {
    let cursor: Cursor = decode(&request.cursor).map_err(malformed)?;
    let renewed: Vec<Renewed> = decode(&request.renewed).map_err(malformed)?;
    let known: Vec<Heartbeat> = decode(&request.known).map_err(malformed)?;
    let digest = decode_digest(&request.digest)?;
    fleet.learn(&known);
    let host = HostId::new(request.from_host);
    let (revision, plan_version) = (request.applied_revision, request.plan_version);
    let mut changed = fleet.subscribe();
    let has_news = *changed.borrow_and_update() != cursor;
    let wait_ms = if has_news { 0 } else { FOLLOW_WAIT_MS };
    fleet.renew(request.life, &renewed);
    let mut watched = watch_keeper(keeper, &host, revision, wait_ms).await?;
    let answer = tokio::select! {
        answer = &mut watched => answer,
        _ = changed.changed() => watch_keeper(keeper, &host, revision, 0).await?.await,
    };
    match answer.map_err(|_| Status::unavailable("the keeper is stopping"))? {
        Watched::Delta(delta) => {
            fleet.note_entry_host(host);
            let news = fleet.news_for(cursor, digest.as_ref()).map_err(malformed)?;
            Ok(follow_reply::Result::Followed(followed(fleet, delta, plan_version, news)?))
        }
        Watched::NotLeader(hint) => {
            let hint = hint.map_or_else(String::new, |host| host.to_string());
            Ok(follow_reply::Result::NotLeaderHint(hint))
        }
    }
}

/// What a follower knows, if it told it.
fn decode_digest(bytes: &[u8]) -> Result<Option<Digest>, Status> {
    if bytes.is_empty() {
        return Ok(None);
    }
    decode(bytes).map(Some).map_err(malformed)
}

/// Asks this host's keeper for what changed after a revision.
async fn watch_keeper(
    keeper: &Address<Keeper>,
    host: &HostId,
    applied_revision: u64,
    wait_ms: u64,
) -> Result<oneshot::Receiver<Watched>, Status> {
    let watch = Watch { host: host.clone(), applied_revision, wait_ms };
    keeper.send(watch).await.map_err(|_| Status::unavailable("the keeper is stopping"))
}

/// The news for an entry host, with what it has to know of the other hosts.
fn followed(
    fleet: &FleetKeeper,
    mut delta: Delta,
    plan_version: u64,
    news: News,
) -> Result<Followed, Status> {
    let plan_edit = fleet.take_edit(&mut delta, plan_version);
    Ok(Followed {
        delta: encode(&delta).map_err(malformed)?,
        plan_edit,
        changes: news.changes,
        entry_hosts: fleet.count_entry_hosts(),
        asks_digest: news.asks_digest,
        asks_known: news.asks_known.0,
        keepers: fleet.keepers().hosts().iter().map(ToString::to_string).collect(),
        deputy: fleet.keepers().deputy().map_or_else(String::new, |host| host.to_string()),
    })
}
