//! The state machine that the keepers' log drives.

use std::collections::{BTreeMap, BTreeSet};

use clayplank_types::{DataCentre, HeldBack, HostId, RequestFingerprint, Sighting, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::claims::Claims;
use crate::command::{Body, CodecError, Command, PlanDocument, Reply, decode, encode};
use crate::cordons::Cordons;
use crate::plan::Plan;
use crate::settings::{Delta, Settings};
use crate::suspects::{Suspects, Trial};

/// How much a machine holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The newest revision of settings.
    pub revision: u64,
    /// Settings, removed ones among them.
    pub settings: usize,
    /// Claims.
    pub claims: usize,
}

/// Who may give orders to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Fence {
    token: u64,
    host: HostId,
    until_ms: u64,
}

/// Settings, claims, fencing tokens, requests that are held back, and cordons.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    settings: Settings,
    plan: Plan,
    claims: Claims,
    fences: BTreeMap<UpstreamId, Fence>,
    last_fence: u64,
    suspects: Suspects,
    cordons: Cordons,
    /// The latest time that a command carried: time never goes back, whoever leads.
    now_ms: u64,
}

impl Machine {
    /// Applies a command and gives the reply to whoever asked for it.
    pub fn apply(&mut self, command: &Command) -> Reply {
        self.now_ms = self.now_ms.max(command.at_ms);
        match &command.body {
            Body::Change(change) => self.settings.apply(change),
            Body::Claim(claim) => self.claims.claim(self.now_ms, claim),
            Body::Settle { key, attempt_id, answer } => {
                self.claims.settle(key, *attempt_id, answer.clone())
            }
            Body::Release { key, attempt_id } => self.claims.release(key, *attempt_id),
            Body::Publish(document) => self.publish(document),
            Body::Fence { upstream, host, lease_ms } => self.fence(upstream, host, *lease_ms),
            Body::NoteSightings(sightings) => self.note_sightings(sightings),
            Body::ClaimTrial(fingerprint) => self.claim_trial(*fingerprint),
            Body::Lift(fingerprint) => self.lift(*fingerprint),
            Body::Cordon(data_centre) => self.set_cordon(data_centre, true),
            Body::Uncordon(data_centre) => self.set_cordon(data_centre, false),
        }
    }

    fn note_sightings(&mut self, sightings: &[Sighting]) -> Reply {
        let verdicts = self.suspects.note(self.now_ms, sightings);
        if !verdicts.is_empty() {
            self.tell_held_back();
        }
        Reply::Noted(verdicts)
    }

    fn claim_trial(&mut self, fingerprint: RequestFingerprint) -> Reply {
        let trial = self.suspects.claim_trial(self.now_ms, fingerprint);
        if trial == Trial::Granted {
            // The other hosts learn when the next one is.
            self.tell_held_back();
        }
        Reply::Trial(trial)
    }

    fn lift(&mut self, fingerprint: RequestFingerprint) -> Reply {
        let was_held_back = self.suspects.lift(fingerprint);
        if was_held_back {
            self.tell_held_back();
        }
        Reply::Lifted { was_held_back }
    }

    /// Hosts get the list anew.
    fn tell_held_back(&mut self) {
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
        let former = self.fences.get(upstream);
        assert!(former.is_none_or(|former| former.token < token), "fencing tokens only rise");
        let other = former.filter(|former| former.host != *host);
        let wait_ms = other.map_or(0, |other| other.until_ms.saturating_sub(self.now_ms));
        let until_ms = self.now_ms + wait_ms + lease_ms;
        self.fences.insert(upstream.clone(), Fence { token, host: host.clone(), until_ms });
        Reply::Fenced { token, wait_ms }
    }

    /// The newest revision of settings.
    pub fn revision(&self) -> u64 {
        self.settings.revision
    }

    /// Settings that changed after a revision.
    pub fn delta_after(&self, revision: u64) -> Delta {
        let mut delta = self.settings.delta_after(revision);
        delta.plan = self.plan.changed_after(revision);
        let is_news = self.suspects.revision > revision;
        delta.held_back = is_news.then(|| self.held_back());
        delta.cordoned = self.cordons.changed_after(revision);
        delta
    }

    /// Requests that are held back.
    pub fn held_back(&self) -> Vec<HeldBack> {
        self.suspects.held_back(self.now_ms)
    }

    /// Data centres whose upstreams get nothing.
    pub fn cordoned(&self) -> &BTreeSet<DataCentre> {
        self.cordons.data_centres()
    }

    /// The serving plan in force.
    pub fn plan(&self) -> Option<&PlanDocument> {
        self.plan.document.as_ref()
    }

    /// How much it holds.
    pub fn counts(&self) -> Counts {
        Counts {
            revision: self.revision(),
            settings: self.settings.len(),
            claims: self.claims.len(),
        }
    }

    /// The whole state, for a snapshot.
    ///
    /// # Errors
    /// The state cannot be encoded.
    pub fn to_snapshot(&self) -> Result<Vec<u8>, CodecError> {
        encode(self)
    }

    /// The reverse of [`Machine::to_snapshot`]; no bytes are the empty state.
    ///
    /// # Errors
    /// The bytes are not a snapshot.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, CodecError> {
        if bytes.is_empty() { Ok(Self::default()) } else { decode(bytes) }
    }
}
