//! Probes the other hosts and publishes who is live.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use clayplank_members::{Effect, Members, Rumour, Status, Timing};
use clayplank_settings::HostSettings;
use clayplank_state::{decode, encode};
use clayplank_types::{HostId, Incarnation, PoolId, UpstreamId};
use clayplank_upstream::{HostState, HttpClient, fetch_platform_hosts};
use clayplank_wire::ProbeRequest;
use xtra::{Address, Context, Handler};

use crate::owners::pools::PoolDirectory;
use crate::owners::upstreams::UpstreamStates;
use crate::process::clock::{millis, now_ms};
use crate::process::logging::part;
use crate::process::peers::Peers;

const TICK: Duration = Duration::from_millis(100);

/// The membership as the rest of the host reads it.
#[derive(Debug)]
pub(crate) struct MembersView {
    members: ArcSwap<Members>,
    pools: Arc<PoolDirectory>,
}

impl MembersView {
    /// The owner of a pool, if any host is live.
    pub(crate) fn owner_of(&self, pool: &PoolId) -> Option<HostId> {
        self.members.load().owner_of(pool, self.pools.data_centre(pool)?).cloned()
    }

    pub(crate) fn statuses(&self) -> Vec<(HostId, Status)> {
        self.members.load().iter().map(|(host, status)| (host.clone(), status)).collect()
    }
}

/// The actor.
#[derive(xtra::Actor)]
pub(crate) struct Membership {
    members: Members,
    view: Arc<MembersView>,
    own: HostId,
    peers: Peers,
    probe_patience: Duration,
}

impl Membership {
    pub(crate) fn new(
        settings: &HostSettings,
        incarnation: Incarnation,
        peers: Peers,
        pools: Arc<PoolDirectory>,
    ) -> (Self, Arc<MembersView>) {
        let hosts =
            settings.hosts.iter().map(|entry| (entry.host.clone(), entry.data_centre.clone()));
        let timing = Timing {
            probe_interval_ms: settings.timing.probe_interval_ms,
            suspect_ms: settings.timing.suspect_ms,
        };
        let members = Members::new(settings.host.clone(), incarnation, hosts, timing, now_ms());
        let view = Arc::new(MembersView { members: ArcSwap::from_pointee(members.clone()), pools });
        let probe_patience = millis(settings.timing.probe_interval_ms);
        let own = settings.host.clone();
        (Self { members, view: Arc::clone(&view), own, peers, probe_patience }, view)
    }

    /// Publishes the view and logs what has changed.
    fn publish(&self) {
        let before = self.view.members.load_full();
        for (host, status) in self.members.iter() {
            let former = before.status(host);
            if former != Some(status) {
                log::info!(target: part::MEMBERS, "Host {host} is {status:?}.");
            }
        }
        self.view.members.store(Arc::new(self.members.clone()));
    }

    fn start_effect(&mut self, effect: Effect, context: &Context<Self>) {
        let Some(address) = context.mailbox().address().try_upgrade() else {
            return;
        };
        let (peers, patience) = (self.peers.clone(), self.probe_patience);
        let mut rumours = self.members.take_rumours();
        match effect {
            Effect::Probe(target) => {
                rumours.extend(self.members.rumour_for(&target));
                let request = self.probe_request("", &rumours);
                tokio::spawn(async move {
                    let answer = probe(&peers, &target, request, patience).await;
                    address.send(Probed { target, answer }).await.ok();
                });
            }
            Effect::ProbeVia { via, target } => {
                let request = self.probe_request(target.as_str(), &rumours);
                tokio::spawn(async move {
                    let answer = probe(&peers, &via, request, patience * 2).await;
                    let is_reached = answer.is_some_and(|(reached, _)| reached);
                    address.send(ProbedVia { target, is_reached }).await.ok();
                });
            }
        }
    }

    fn probe_request(&self, via_target: &str, rumours: &[Rumour]) -> ProbeRequest {
        ProbeRequest {
            from_host: self.own.to_string(),
            via_target: via_target.to_owned(),
            gossip: encode(&rumours).unwrap_or_default(),
        }
    }
}

/// Whether the target was reached, and what was told; `None` if there was no answer.
async fn probe(
    peers: &Peers,
    host: &HostId,
    request: ProbeRequest,
    patience: Duration,
) -> Option<(bool, Vec<Rumour>)> {
    let reply = peers
        .call(host, patience, |mut client| async move { client.probe(request).await })
        .await
        .ok()?;
    Some((reply.reached, decode(&reply.gossip).unwrap_or_default()))
}

/// Lets time pass.
struct Tick;

impl Handler<Tick> for Membership {
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        for effect in self.members.tick(now_ms()) {
            self.start_effect(effect, context);
        }
        self.publish();
    }
}

/// A probe of our own has ended.
struct Probed {
    target: HostId,
    answer: Option<(bool, Vec<Rumour>)>,
}

impl Handler<Probed> for Membership {
    type Return = ();

    async fn handle(&mut self, probed: Probed, context: &mut Context<Self>) {
        match probed.answer {
            Some((_, rumours)) => {
                self.members.note_reached(&probed.target);
                self.members.apply_rumours(now_ms(), &rumours);
            }
            None => {
                for effect in self.members.note_missed(now_ms(), &probed.target) {
                    self.start_effect(effect, context);
                }
            }
        }
        self.publish();
    }
}

/// A probe through another host has ended.
struct ProbedVia {
    target: HostId,
    is_reached: bool,
}

impl Handler<ProbedVia> for Membership {
    type Return = ();

    async fn handle(&mut self, probed: ProbedVia, _: &mut Context<Self>) {
        match probed.is_reached {
            true => self.members.note_reached(&probed.target),
            false => self.members.note_missed_via(now_ms(), &probed.target),
        }
        self.publish();
    }
}

/// Rumours of a host that probes us; answered with our own.
pub(crate) struct Gossip(pub(crate) Vec<Rumour>);

impl Handler<Gossip> for Membership {
    type Return = Vec<Rumour>;

    async fn handle(&mut self, gossip: Gossip, _: &mut Context<Self>) -> Self::Return {
        self.members.apply_rumours(now_ms(), &gossip.0);
        self.publish();
        self.members.take_rumours()
    }
}

/// This host is about to stop: it tells every other one at once.
pub(crate) struct Leave;

impl Handler<Leave> for Membership {
    type Return = ();

    async fn handle(&mut self, _: Leave, context: &mut Context<Self>) {
        self.members.leave();
        self.publish();
        let others: Vec<_> =
            self.members.live().filter(|host| **host != self.own).cloned().collect();
        for other in others.into_iter().take(MAX_TOLD_AT_ONCE) {
            self.start_effect(Effect::Probe(other), context);
        }
    }
}

/// A leaving host tells this many others itself; the rest hears it from them.
const MAX_TOLD_AT_ONCE: usize = 8;

/// The platform says that these hosts are leaving.
struct PlatformLeaving(Vec<HostId>);

impl Handler<PlatformLeaving> for Membership {
    type Return = ();

    async fn handle(&mut self, leaving: PlatformLeaving, _: &mut Context<Self>) {
        leaving.0.iter().for_each(|host| self.members.apply_platform_leaving(host));
        self.publish();
    }
}

/// Ticks until the actor is gone.
pub(crate) async fn run_membership(membership: Address<Membership>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if membership.send(Tick).await.is_err() {
            return;
        }
    }
}

/// Asks the platform for its list, again and again.
pub(crate) async fn run_platform(
    settings: Arc<HostSettings>,
    membership: Address<Membership>,
    upstreams: UpstreamStates,
    client: HttpClient,
) {
    let Some(platform) = &settings.platform else {
        return;
    };
    let upstream_ids: BTreeSet<UpstreamId> =
        settings.upstreams.iter().map(|one| one.id().clone()).collect();
    loop {
        match fetch_platform_hosts(&client, platform.address).await {
            Ok(list) => {
                let leaving = list
                    .iter()
                    .filter(|(_, state)| **state == HostState::Leaving)
                    .map(|(name, _)| name);
                let names: BTreeSet<_> = leaving.cloned().collect();
                let leaving_upstreams =
                    upstream_ids.iter().filter(|id| names.contains(id.as_str())).cloned();
                upstreams.set_leaving(leaving_upstreams.collect());
                let hosts = settings.hosts.iter().map(|entry| &entry.host);
                let leaving_hosts =
                    hosts.filter(|host| names.contains(host.as_str())).cloned().collect();
                membership.send(PlatformLeaving(leaving_hosts)).await.ok();
            }
            Err(error) => log::debug!(target: part::MEMBERS, "The platform gave no list: {error}."),
        }
        clayplank_clock::sleep(millis(platform.poll_interval_ms)).await;
    }
}
