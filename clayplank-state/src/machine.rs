//! The deterministic state machine to which the keepers apply their replicated log.

use std::collections::{BTreeMap, BTreeSet};

use clayplank_types::{
    DataCentre, Fingerprint, HostId, QuarantineEntry, SuspectObservation, UpstreamId,
};
use serde::{Deserialize, Serialize};

use crate::claims::Claims;
use crate::command::{CodecError, Command, CommandBody, PlanDocument, Reply, decode, encode};
use crate::cordons::Cordons;
use crate::plan::Plan;
use crate::quarantine::{Suspects, TrialReply};
use crate::settings::{Delta, Settings};

/// Latest revision and sizes of a machine's state, for status reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineStats {
    /// Latest revision.
    pub revision: u64,
    /// Number of settings, including removed ones.
    pub settings: usize,
    /// Number of claims that are stored.
    pub claims: usize,
}

/// The latest fencing token of an upstream, and the lease of its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Fence {
    token: u64,
    /// Holder of the token.
    host: HostId,
    /// End of the lease, in ms since the Unix epoch.
    until_ms: u64,
}

/// The replicated state. All parts that hosts follow (settings, plan, quarantined requests and
/// cordons) share one sequence of revisions, so that a host can request the changes after one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    settings: Settings,
    plan: Plan,
    claims: Claims,
    fences: BTreeMap<UpstreamId, Fence>,
    /// Last fencing token granted, for any upstream; 0 if there was none.
    last_fence: u64,
    suspects: Suspects,
    cordons: Cordons,
    /// Highest timestamp of any applied command. It never decreases, also when leadership moves to
    /// a keeper with a slower clock.
    now_ms: u64,
}

impl Machine {
    /// Applies a command and returns the reply for its sender.
    pub fn apply(&mut self, command: &Command) -> Reply {
        self.now_ms = self.now_ms.max(command.at_ms);
        match &command.body {
            CommandBody::Change(change) => self.settings.apply(change),
            CommandBody::Claim(claim) => self.claims.claim(self.now_ms, claim),
            CommandBody::Settle { key, attempt_id, answer } => {
                self.claims.settle(key, *attempt_id, answer.clone())
            }
            CommandBody::Release { key, attempt_id } => self.claims.release(key, *attempt_id),
            CommandBody::Publish(document) => self.publish(document),
            CommandBody::Fence { upstream, host, lease_ms } => {
                self.fence(upstream, host, *lease_ms)
            }
            CommandBody::NoteSightings(observations) => self.apply_observations(observations),
            CommandBody::ClaimTrial(fingerprint) => self.claim_trial(*fingerprint),
            CommandBody::Lift(fingerprint) => self.lift(*fingerprint),
            CommandBody::Cordon(data_centre) => self.set_cordon(data_centre, true),
            CommandBody::Uncordon(data_centre) => self.set_cordon(data_centre, false),
        }
    }

    fn apply_observations(&mut self, observations: &[SuspectObservation]) -> Reply {
        let changes = self.suspects.apply(self.now_ms, observations);
        if !changes.is_empty() {
            self.bump_quarantine_revision();
        }
        Reply::Noted(changes)
    }

    fn claim_trial(&mut self, fingerprint: Fingerprint) -> Reply {
        let trial = self.suspects.claim_trial(self.now_ms, fingerprint);
        if trial == TrialReply::Granted {
            // The other hosts receive the time of the next trial.
            self.bump_quarantine_revision();
        }
        Reply::Trial(trial)
    }

    fn lift(&mut self, fingerprint: Fingerprint) -> Reply {
        let was_held_back = self.suspects.lift(fingerprint);
        if was_held_back {
            self.bump_quarantine_revision();
        }
        Reply::Lifted { was_held_back }
    }

    /// Creates a revision, so that hosts receive the list of quarantined requests again.
    fn bump_quarantine_revision(&mut self) {
        self.settings.revision += 1;
        self.suspects.revision = self.settings.revision;
    }

    fn set_cordon(&mut self, data_centre: &DataCentre, is_cordoned: bool) -> Reply {
        let revision = self.settings.revision + 1;
        let reply = self.cordons.set(revision, data_centre, is_cordoned);
        if self.cordons.revision == revision {
            self.settings.revision = revision;
        }
        reply
    }

    fn publish(&mut self, document: &PlanDocument) -> Reply {
        let revision = self.settings.revision + 1;
        let reply = self.plan.publish(revision, document);
        if self.plan.revision == revision {
            self.settings.revision = revision;
        }
        reply
    }

    fn fence(&mut self, upstream: &UpstreamId, host: &HostId, lease_ms: u64) -> Reply {
        self.last_fence += 1;
        let token = self.last_fence;
        let previous = self.fences.get(upstream);
        assert!(previous.is_none_or(|previous| previous.token < token), "fencing tokens increase");
        let other_holder = previous.filter(|previous| previous.host != *host);
        let wait_ms = other_holder.map_or(0, |other| other.until_ms.saturating_sub(self.now_ms));
        let until_ms = self.now_ms + wait_ms + lease_ms;
        self.fences.insert(upstream.clone(), Fence { token, host: host.clone(), until_ms });
        Reply::Fenced { token, wait_ms }
    }

    /// Latest revision; each change that hosts have to receive increases it by one.
    pub fn revision(&self) -> u64 {
        self.settings.revision
    }

    /// All changes after `revision`, for a host that has applied that revision.
    pub fn delta_after(&self, revision: u64) -> Delta {
        let mut delta = self.settings.delta_after(revision);
        delta.plan = self.plan.changed_after(revision);
        let has_changed = self.suspects.revision > revision;
        delta.held_back = has_changed.then(|| self.quarantined());
        delta.cordoned = self.cordons.changed_after(revision);
        delta
    }

    /// All quarantined requests.
    pub fn quarantined(&self) -> Vec<QuarantineEntry> {
        self.suspects.quarantined(self.now_ms)
    }

    /// All cordoned data centres: no requests are sent to their upstreams.
    pub fn cordoned_data_centres(&self) -> &BTreeSet<DataCentre> {
        self.cordons.data_centres()
    }

    /// The serving plan in force; `None` if none was published.
    pub fn plan(&self) -> Option<&PlanDocument> {
        self.plan.document.as_ref()
    }

    /// Latest revision, and the numbers of settings and claims.
    pub fn stats(&self) -> MachineStats {
        MachineStats {
            revision: self.revision(),
            settings: self.settings.len(),
            claims: self.claims.len(),
        }
    }

    /// Encodes the complete state as a snapshot.
    ///
    /// # Errors
    /// The state cannot be encoded.
    pub fn to_snapshot(&self) -> Result<Vec<u8>, CodecError> {
        encode(self)
    }

    /// Restores the state from a snapshot; empty input gives the initial state.
    ///
    /// # Errors
    /// The bytes are not a snapshot.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, CodecError> {
        if bytes.is_empty() { Ok(Self::default()) } else { decode(bytes) }
    }
}
