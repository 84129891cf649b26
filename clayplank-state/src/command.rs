//! Commands of the replicated log, their replies, and the binary encoding of both.

use std::sync::Arc;

use clayplank_types::{
    AttemptId, DataCentre, Fingerprint, HostId, Incarnation, Partner, SuspectObservation,
    UpstreamId,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::claims::{ClaimKey, StoredAnswer};
use crate::quarantine::{QuarantineChanges, TrialReply};
use crate::settings::{SettingKey, SettingValue, Versioned};

/// The bytes do not decode to the requested type, or the value cannot be encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed bytes of the replicated state")]
pub struct CodecError;

/// Encodes a value with postcard, as stored in the log and sent between hosts.
///
/// # Errors
/// The value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    postcard::to_stdvec(value).map_err(|_| CodecError)
}

/// Decodes bytes written by [`encode`].
///
/// # Errors
/// The bytes do not decode to a value of the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    postcard::from_bytes(bytes).map_err(|_| CodecError)
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Wall time at which a keeper proposed the command, in ms since the Unix epoch.
    pub at_ms: u64,
    /// The operation to apply.
    pub body: CommandBody,
}

/// The operation of a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandBody {
    /// An operator creates, replaces or removes a setting.
    Change(SettingChange),
    /// A host is about to dispatch a request that must run at most once.
    Claim(Claim),
    /// The dispatch of a claimed request has ended, and the request can no longer be released.
    Settle {
        /// Key of the claimed request.
        key: ClaimKey,
        /// Dispatch that took the claim; a claim of another dispatch is left as it is.
        attempt_id: AttemptId,
        /// Answer of the request; `None` if the outcome is unknown (the request may have run).
        answer: Option<StoredAnswer>,
    },
    /// The claimed request was not sent to any upstream, so its key is free again.
    Release {
        /// Key of the claimed request.
        key: ClaimKey,
        /// Dispatch that took the claim; a claim of another dispatch is left as it is.
        attempt_id: AttemptId,
    },
    /// An operator replaces the complete serving plan.
    Publish(PlanDocument),
    /// A host requests a fencing token before it sends commands to an upstream.
    Fence {
        /// Upstream that receives the commands.
        upstream: UpstreamId,
        /// Host that sends the commands.
        host: HostId,
        /// Lease: time for which the host may send commands under the token, in ms.
        lease_ms: u64,
    },
    /// A host reports upstreams that terminated or survived while they ran certain requests.
    NoteSightings(Vec<SuspectObservation>),
    /// A host requests permission to send a quarantined request to an upstream once, as a trial.
    ClaimTrial(Fingerprint),
    /// An operator lifts the quarantine of a request.
    Lift(Fingerprint),
    /// An operator cordons a data centre: no requests are sent to its upstreams.
    Cordon(DataCentre),
    /// An operator removes the cordon of a data centre.
    Uncordon(DataCentre),
}

/// A serving plan, byte for byte as the operator sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanDocument {
    /// Version set by the operator; the plan with the highest version is in force.
    pub version: u64,
    /// The plan as JSON; reference-counted, so that clones share it.
    pub text: Arc<str>,
}

/// A change of one setting by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingChange {
    /// Random id from the operator's tool; a resend carries the same id and gets the first reply.
    pub change_id: String,
    /// Partner to which the operator belongs; it must own the setting.
    pub partner: Partner,
    /// Name of the operator.
    pub operator: String,
    /// Setting to change.
    pub key: SettingKey,
    /// Version that the operator last observed; 0 for a setting that does not exist.
    pub expected_version: u64,
    /// New value; `None` removes the setting.
    pub value: Option<SettingValue>,
}

/// The host process that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Name of the host.
    pub host: HostId,
    /// Incarnation of the host: changes with each start of its process.
    pub incarnation: Incarnation,
}

/// The claim of a request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Client account and the caller's idempotency key.
    pub key: ClaimKey,
    /// Hash of the request, to detect reuse of the key for another request.
    pub fingerprint: u128,
    /// Host that dispatches the request.
    pub holder: ClaimHolder,
    /// Id of the dispatch.
    pub attempt_id: AttemptId,
    /// Time from the proposal by which the request has ended, successfully or not, in ms.
    pub deadline_in_ms: u64,
    /// Retention time of the claim from its proposal, in ms; at least twice `deadline_in_ms`
    /// applies.
    pub keep_ms: u64,
}

/// The result of applying a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The setting was changed.
    Changed {
        /// New version of the setting: the revision created by the change.
        version: u64,
    },
    /// The setting has another version than the operator expected.
    Conflict {
        /// Current version and value.
        current: Box<Versioned>,
    },
    /// The setting belongs to another partner.
    Forbidden,
    /// The change is inconsistent with other settings or with its key.
    Unfit {
        /// Location of the fault in the value, as a JSON pointer; empty for the whole value.
        path: String,
        /// The violated rule.
        message: String,
    },
    /// The claim is granted: the claiming host may dispatch the request once.
    Claimed,
    /// The request has already run; this is its answer.
    Repeated(StoredAnswer),
    /// The request has been claimed by another dispatch and may still be running.
    InProgress {
        /// Remaining time until the deadline of the claim, in ms.
        retry_after_ms: u64,
    },
    /// The request may have run, but its answer is unknown.
    Unknown,
    /// The key was used before for a request with another fingerprint.
    OtherRequest,
    /// The settlement was applied, or there was no open claim of that dispatch.
    Settled,
    /// The claim was removed, or there was no open claim of that dispatch.
    Released,
    /// A plan of this version or a higher one is in force.
    Published {
        /// Version in force.
        version: u64,
    },
    /// A plan with the same version but another text is in force.
    OtherPlan,
    /// A fencing token was granted.
    Fenced {
        /// Token, higher than all tokens granted before it, for any upstream.
        token: u64,
        /// Remaining lease of the previous holder, if that is another host, in ms. Before it
        /// commands an upstream that does not check tokens, the new holder waits for this time.
        wait_ms: u64,
    },
    /// The reported observations were applied; these changes of the quarantine resulted.
    Noted(QuarantineChanges),
    /// Whether the requesting host may send the request to an upstream.
    Trial(TrialReply),
    /// The request is not quarantined now.
    Lifted {
        /// Whether it was quarantined before the command.
        was_held_back: bool,
    },
    /// The data centre is cordoned or not, as the operator requested.
    Cordoned {
        /// Whether the command changed this.
        has_changed: bool,
    },
}
