//! Probes the other hosts and publishes which of them are live (gossip membership).

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use clayplank_members::{FailureDetectorTiming, MemberUpdate, Members, ProbeAction, Status};
use clayplank_settings::HostSettings;
use clayplank_state::{decode, encode};
use clayplank_types::{HostId, Incarnation, PoolId, UpstreamId};
use clayplank_upstream::{HostState, HttpClient, fetch_platform_hosts};
use clayplank_wire::ProbeRequest;
use xtra::{Address, Context, Handler};

use crate::owners::leaving_upstreams::LeavingUpstreams;
use crate::owners::pool_directory::PoolDirectory;
use crate::process::clock::{millis, now_ms};
use crate::process::logging::log_target;
use crate::process::peers::Peers;

/// Interval at which the membership protocol advances.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Latest published membership, read by the other parts of the host.
#[derive(Debug)]
pub(crate) struct MembersView {
    members: ArcSwap<Members>,
    pools: Arc<PoolDirectory>,
}

impl MembersView {
    /// The owner of a pool; `None` if no host is live or the pool is unknown.
    pub(crate) fn owner_of(&self, pool: &PoolId) -> Option<HostId> {
        self.members.load().owner_of(pool, self.pools.data_centre(pool)?).cloned()
    }

    pub(crate) fn statuses(&self) -> Vec<(HostId, Status)> {
        self.members.load().iter().map(|(host, status)| (host.clone(), status)).collect()
    }
}

/// Actor that runs the membership protocol.
#[derive(xtra::Actor)]
pub(crate) struct Membership {
    members: Members,
    view: Arc<MembersView>,
    local_host: HostId,
    peers: Peers,
    probe_timeout: Duration,
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
        let timing = FailureDetectorTiming {
            probe_interval_ms: settings.timing.probe_interval_ms,
            suspect_ms: settings.timing.suspect_ms,
        };
        let members = Members::new(settings.host.clone(), incarnation, hosts, timing, now_ms());
        let view = Arc::new(MembersView { members: ArcSwap::from_pointee(members.clone()), pools });
        let probe_timeout = millis(settings.timing.probe_interval_ms);
        let local_host = settings.host.clone();
        (Self { members, view: Arc::clone(&view), local_host, peers, probe_timeout }, view)
    }

    /// Publishes the membership and logs each host whose status changed.
    fn publish(&self) {
        let before = self.view.members.load_full();
        for (host, status) in self.members.iter() {
            let previous = before.status(host);
            if previous != Some(status) {
                log::info!(target: log_target::MEMBERS, "Status of host {host} changed to {status:?}.");
            }
        }
        self.view.members.store(Arc::new(self.members.clone()));
    }

    fn start_effect(&mut self, effect: ProbeAction, context: &Context<Self>) {
        let Some(address) = context.mailbox().address().try_upgrade() else {
            return;
        };
        let (peers, timeout) = (self.peers.clone(), self.probe_timeout);
        let mut updates = self.members.take_updates();
        match effect {
            ProbeAction::Probe(target) => {
                updates.extend(self.members.refutable_update_for(&target));
                let request = self.probe_request("", &updates);
                tokio::spawn(async move {
                    let answer = probe(&peers, &target, request, timeout).await;
                    address.send(ProbeEnded { target, answer }).await.ok();
                });
            }
            ProbeAction::ProbeVia { via, target } => {
                let request = self.probe_request(target.as_str(), &updates);
                tokio::spawn(async move {
                    let answer = probe(&peers, &via, request, timeout * 2).await;
                    let is_reached = answer.is_some_and(|(reached, _)| reached);
                    address.send(IndirectProbeEnded { target, is_reached }).await.ok();
                });
            }
        }
    }

    fn probe_request(&self, via_target: &str, updates: &[MemberUpdate]) -> ProbeRequest {
        ProbeRequest {
            from_host: self.local_host.to_string(),
            via_target: via_target.to_owned(),
            gossip: encode(&updates).unwrap_or_default(),
        }
    }
}

/// Sends a probe. Returns whether its target was reached, and the updates of the answer; `None`
/// if there was no answer.
async fn probe(
    peers: &Peers,
    host: &HostId,
    request: ProbeRequest,
    timeout: Duration,
) -> Option<(bool, Vec<MemberUpdate>)> {
    let reply = peers
        .call(host, timeout, |mut client| async move { client.probe(request).await })
        .await
        .ok()?;
    Some((reply.reached, decode(&reply.gossip).unwrap_or_default()))
}

/// Advances the membership protocol to the current time.
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

/// A direct probe by this host ended.
struct ProbeEnded {
    target: HostId,
    answer: Option<(bool, Vec<MemberUpdate>)>,
}

impl Handler<ProbeEnded> for Membership {
    type Return = ();

    async fn handle(&mut self, probed: ProbeEnded, context: &mut Context<Self>) {
        match probed.answer {
            Some((_, updates)) => {
                self.members.record_ack(&probed.target);
                self.members.apply_updates(now_ms(), &updates);
            }
            None => {
                for effect in self.members.record_missed_probe(now_ms(), &probed.target) {
                    self.start_effect(effect, context);
                }
            }
        }
        self.publish();
    }
}

/// An indirect probe, through another host, ended.
struct IndirectProbeEnded {
    target: HostId,
    is_reached: bool,
}

impl Handler<IndirectProbeEnded> for Membership {
    type Return = ();

    async fn handle(&mut self, probed: IndirectProbeEnded, _: &mut Context<Self>) {
        match probed.is_reached {
            true => self.members.record_ack(&probed.target),
            false => self.members.record_missed_indirect_probe(now_ms(), &probed.target),
        }
        self.publish();
    }
}

/// Updates of a host that probes this one; answered with the local updates.
pub(crate) struct Gossip(pub(crate) Vec<MemberUpdate>);

impl Handler<Gossip> for Membership {
    type Return = Vec<MemberUpdate>;

    async fn handle(&mut self, gossip: Gossip, _: &mut Context<Self>) -> Self::Return {
        self.members.apply_updates(now_ms(), &gossip.0);
        self.publish();
        self.members.take_updates()
    }
}

/// This host is about to stop: notifies peers at once, without waiting for the next probe.
pub(crate) struct Leave;

impl Handler<Leave> for Membership {
    type Return = ();

    async fn handle(&mut self, _: Leave, context: &mut Context<Self>) {
        self.members.announce_departure();
        self.publish();
        let live_peers: Vec<_> =
            self.members.live().filter(|host| **host != self.local_host).cloned().collect();
        for peer in live_peers.into_iter().take(MAX_DEPARTURE_PROBES) {
            self.start_effect(ProbeAction::Probe(peer), context);
        }
    }
}

/// Number of peers that a departing host notifies itself; the others learn it from them by gossip.
const MAX_DEPARTURE_PROBES: usize = 8;

/// The platform lists these hosts as leaving.
struct PlatformLeaving(Vec<HostId>);

impl Handler<PlatformLeaving> for Membership {
    type Return = ();

    async fn handle(&mut self, leaving: PlatformLeaving, _: &mut Context<Self>) {
        leaving.0.iter().for_each(|host| self.members.apply_platform_departure(host));
        self.publish();
    }
}

/// Sends ticks until the actor has stopped.
pub(crate) async fn run_membership(membership: Address<Membership>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if membership.send(Tick).await.is_err() {
            return;
        }
    }
}

/// Polls the platform for its list of hosts and marks those that are leaving.
pub(crate) async fn run_platform_poll(
    settings: Arc<HostSettings>,
    membership: Address<Membership>,
    upstreams: LeavingUpstreams,
    client: HttpClient,
) {
    let Some(platform) = &settings.platform else {
        return;
    };
    let upstream_ids: BTreeSet<UpstreamId> =
        settings.upstreams.iter().map(|upstream| upstream.id().clone()).collect();
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
                upstreams.replace(leaving_upstreams.collect());
                let hosts = settings.hosts.iter().map(|entry| &entry.host);
                let leaving_hosts =
                    hosts.filter(|host| names.contains(host.as_str())).cloned().collect();
                membership.send(PlatformLeaving(leaving_hosts)).await.ok();
            }
            Err(error) => {
                log::debug!(target: log_target::MEMBERS, "Could not fetch the platform's list of hosts: {error}.")
            }
        }
        clayplank_clock::sleep(millis(platform.poll_interval_ms)).await;
    }
}
