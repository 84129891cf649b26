//! Membership view of one host, kept by the SWIM protocol.

use std::collections::{BTreeMap, BTreeSet};

use clayplank_types::{DataCentre, HostId, Incarnation, PoolId};
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{RngExt, SeedableRng};

use crate::rendezvous::choose_owner;
use crate::update::{MemberUpdate, Status};

/// Peers that are requested to probe a host indirectly after it missed a direct probe.
const INDIRECT_PROBES: usize = 2;

/// Maximum number of membership updates piggybacked on one message, beside the one about the local
/// host.
const MAX_PIGGYBACKED_UPDATES: usize = 12;

/// Each update is transmitted this many times the binary logarithm of the number of hosts.
const RETRANSMIT_FACTOR: u32 = 3;

/// Time-outs of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureDetectorTiming {
    /// Interval between two probes sent by one host, in ms.
    pub probe_interval_ms: u64,
    /// Time from the suspicion of a host until it is declared dead, in ms.
    pub suspect_ms: u64,
}

impl Default for FailureDetectorTiming {
    fn default() -> Self {
        Self { probe_interval_ms: 500, suspect_ms: 2_000 }
    }
}

/// A network operation that the caller of this package has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeAction {
    /// Send a probe to this host.
    Probe(HostId),
    /// Request that `via` probe `target`.
    ProbeVia {
        /// The peer that sends the indirect probe.
        via: HostId,
        /// The host that missed a direct probe.
        target: HostId,
    },
}

#[derive(Clone, Debug)]
struct Member {
    data_centre: DataCentre,
    version: u64,
    status: Status,
    suspect_since_ms: u64,
    /// Remaining transmissions of the latest update about this host.
    transmissions_left: u32,
    /// Indirect probes whose results are outstanding.
    pending_indirect_probes: usize,
}

/// Membership view of the local host: the status of every host, and the state of the failure
/// detector.
#[derive(Clone, Debug)]
pub struct Members {
    local: HostId,
    members: BTreeMap<HostId, Member>,
    timing: FailureDetectorTiming,
    next_probe_ms: u64,
    probe_queue: Vec<HostId>,
    rng: SmallRng,
}

impl Members {
    /// Creates a view in which every host is live until it misses a probe. The incarnation also
    /// seeds the random order of probes.
    pub fn new(
        local: HostId,
        incarnation: Incarnation,
        hosts: impl IntoIterator<Item = (HostId, DataCentre)>,
        timing: FailureDetectorTiming,
        now_ms: u64,
    ) -> Self {
        let member = |data_centre| Member {
            data_centre,
            version: 0,
            status: Status::Live,
            suspect_since_ms: 0,
            transmissions_left: 0,
            pending_indirect_probes: 0,
        };
        let members =
            hosts.into_iter().map(|(host, data_centre)| (host, member(data_centre))).collect();
        let rng = SmallRng::seed_from_u64(incarnation.0);
        let mut view =
            Self { local, members, timing, next_probe_ms: now_ms, probe_queue: Vec::new(), rng };
        view.set_local(incarnation.0, Status::Live);
        view
    }

    /// The status of a host; `None` for a host that is not a member.
    pub fn status(&self, host: &HostId) -> Option<Status> {
        self.members.get(host).map(|member| member.status)
    }

    /// Every host with its status, in the order of names.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, Status)> {
        self.members.iter().map(|(host, member)| (host, member.status))
    }

    /// Hosts with status [`Status::Live`] or [`Status::Suspect`].
    pub fn live(&self) -> impl Iterator<Item = &HostId> {
        self.iter()
            .filter(|(_, status)| matches!(status, Status::Live | Status::Suspect))
            .map(|(host, _)| host)
    }

    /// The owner of a pool: a live host of `data_centre`, or any live host if that data centre has
    /// none.
    pub fn owner_of(&self, pool: &PoolId, data_centre: &DataCentre) -> Option<&HostId> {
        let is_in_data_centre = |host: &&HostId| {
            self.members.get(*host).is_some_and(|member| member.data_centre == *data_centre)
        };
        choose_owner(pool, self.live().filter(is_in_data_centre))
            .or_else(|| choose_owner(pool, self.live()))
    }

    /// Announces that the local host is departing. This holds until its next incarnation.
    pub fn announce_departure(&mut self) {
        let version = self.members.get(&self.local).map_or(0, |member| member.version);
        self.set_local(version, Status::Leaving);
    }

    fn set_local(&mut self, version: u64, status: Status) {
        let transmissions_left = self.max_transmissions();
        if let Some(member) = self.members.get_mut(&self.local) {
            member.version = version;
            member.status = status;
            member.transmissions_left = transmissions_left;
        }
    }

    /// Declares hosts dead whose suspicion has timed out, and starts the next probe if it is due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<ProbeAction> {
        self.declare_suspects_dead(now_ms);
        if now_ms < self.next_probe_ms {
            return Vec::new();
        }
        // After a suspension of the process, missed probes are not made up for.
        self.next_probe_ms = now_ms + self.timing.probe_interval_ms;
        self.next_probe_target().map(ProbeAction::Probe).into_iter().collect()
    }

    fn declare_suspects_dead(&mut self, now_ms: u64) {
        let max_transmissions = self.max_transmissions();
        let suspect_ms = self.timing.suspect_ms;
        for member in self.members.values_mut() {
            if member.status == Status::Suspect && now_ms >= member.suspect_since_ms + suspect_ms {
                member.status = Status::Gone;
                member.transmissions_left = max_transmissions;
            }
        }
    }

    /// Takes the next host from a shuffled list of all peers, which is refilled when it is empty.
    /// Dead hosts are included, so that both sides of a healed network partition discover each
    /// other.
    fn next_probe_target(&mut self) -> Option<HostId> {
        if self.probe_queue.is_empty() {
            self.probe_queue =
                self.members.keys().filter(|host| **host != self.local).cloned().collect();
            self.probe_queue.shuffle(&mut self.rng);
        }
        self.probe_queue.pop()
    }

    /// Records that a host answered a direct or an indirect probe.
    pub fn record_ack(&mut self, host: &HostId) {
        let max_transmissions = self.max_transmissions();
        if let Some(member) = self.members.get_mut(host) {
            member.pending_indirect_probes = 0;
            if member.status == Status::Suspect {
                member.status = Status::Live;
                member.transmissions_left = max_transmissions;
            }
        }
    }

    /// Records that a host missed a direct probe; returns the indirect probes to request.
    pub fn record_missed_probe(&mut self, now_ms: u64, target: &HostId) -> Vec<ProbeAction> {
        if self.status(target) != Some(Status::Live) {
            return Vec::new();
        }
        let candidates =
            self.live().filter(|host| **host != self.local && *host != target).cloned();
        let candidates: Vec<_> = candidates.collect();
        let selected: Vec<_> = candidates.into_iter().sample(&mut self.rng, INDIRECT_PROBES);
        if let Some(member) = self.members.get_mut(target) {
            member.pending_indirect_probes = selected.len();
        }
        if selected.is_empty() {
            self.suspect(now_ms, target);
        }
        selected
            .into_iter()
            .map(|via| ProbeAction::ProbeVia { via, target: target.clone() })
            .collect()
    }

    /// Records that an indirect probe of the target failed too.
    pub fn record_missed_indirect_probe(&mut self, now_ms: u64, target: &HostId) {
        let Some(member) =
            self.members.get_mut(target).filter(|member| member.pending_indirect_probes > 0)
        else {
            return;
        };
        member.pending_indirect_probes -= 1;
        if member.pending_indirect_probes == 0 {
            self.suspect(now_ms, target);
        }
    }

    fn suspect(&mut self, now_ms: u64, target: &HostId) {
        let max_transmissions = self.max_transmissions();
        let Some(member) = self.members.get_mut(target) else {
            return;
        };
        if member.status == Status::Live {
            member.status = Status::Suspect;
            member.suspect_since_ms = now_ms;
            member.transmissions_left = max_transmissions;
        }
    }

    /// Takes the updates to piggyback on the next probe or reply, the least transmitted first.
    pub fn take_updates(&mut self) -> Vec<MemberUpdate> {
        let mut pending: Vec<_> =
            self.members.iter().filter(|(_, member)| member.transmissions_left > 0).collect();
        pending.sort_by_key(|(_, member)| std::cmp::Reverse(member.transmissions_left));
        let mut selected: BTreeSet<HostId> = pending
            .into_iter()
            .take(MAX_PIGGYBACKED_UPDATES)
            .map(|(host, _)| host.clone())
            .collect();
        for host in &selected {
            if let Some(member) = self.members.get_mut(host) {
                member.transmissions_left -= 1;
            }
        }
        // The local host's state is always included: a restarted peer needs it to identify this
        // host.
        selected.insert(self.local.clone());
        selected.iter().filter_map(|host| self.update_of(host)).collect()
    }

    fn update_of(&self, host: &HostId) -> Option<MemberUpdate> {
        let member = self.members.get(host)?;
        Some(MemberUpdate { host: host.clone(), version: member.version, status: member.status })
    }

    /// The update to send to a host that this view holds for suspect, departing or dead, so that it
    /// can refute it; `None` if the host is live or unknown.
    pub fn refutable_update_for(&self, host: &HostId) -> Option<MemberUpdate> {
        self.update_of(host).filter(|update| update.status != Status::Live)
    }

    /// Applies updates received from a peer, and refutes those about the local host.
    pub fn apply_updates(&mut self, now_ms: u64, updates: &[MemberUpdate]) {
        for update in updates {
            if update.host == self.local {
                self.refute(update);
            } else {
                self.apply_update(now_ms, update);
            }
        }
    }

    fn refute(&mut self, update: &MemberUpdate) {
        let Some(local) = self.members.get(&self.local) else {
            return;
        };
        let (version, status) = (local.version, local.status);
        if update.beats(version, status) {
            self.set_local(update.version.max(version) + 1, status);
        }
    }

    fn apply_update(&mut self, now_ms: u64, update: &MemberUpdate) {
        let max_transmissions = self.max_transmissions();
        let Some(member) = self.members.get_mut(&update.host) else {
            return;
        };
        if !update.beats(member.version, member.status) {
            return;
        }
        if update.status == Status::Suspect {
            member.suspect_since_ms = now_ms;
        }
        member.version = update.version;
        member.status = update.status;
        member.transmissions_left = max_transmissions;
    }

    /// Applies a notice of the platform that a host is departing.
    pub fn apply_platform_departure(&mut self, host: &HostId) {
        let max_transmissions = self.max_transmissions();
        if let Some(member) =
            self.members.get_mut(host).filter(|member| member.status < Status::Leaving)
        {
            member.status = Status::Leaving;
            member.transmissions_left = max_transmissions;
        }
    }

    fn max_transmissions(&self) -> u32 {
        RETRANSMIT_FACTOR * (self.members.len() as u32 + 1).ilog2().max(1)
    }

    /// Delays the first probe by a random part of the interval, so that hosts that start at the
    /// same time do not all probe at once.
    pub fn delay_first_probe(&mut self) {
        self.next_probe_ms += self.rng.random_range(0..=self.timing.probe_interval_ms);
    }
}
