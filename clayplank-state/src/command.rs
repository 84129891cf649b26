//! Commands of the log and their replies.

use std::sync::Arc;

use clayplank_types::{
    AttemptId, DataCentre, HostId, Incarnation, Partner, RequestFingerprint, Sighting, UpstreamId,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::claims::{Answer, ClaimKey};
use crate::settings::{SettingKey, SettingValue, Versioned};
use crate::suspects::{Trial, Verdicts};

/// Bytes that are not the wanted value, or a value without an encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed bytes of the replicated state")]
pub struct CodecError;

/// Encodes for the log and the inner protocol.
///
/// # Errors
/// The value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    postcard::to_stdvec(value).map_err(|_| CodecError)
}

/// The reverse of [`encode`].
///
/// # Errors
/// The bytes are not a value of the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    postcard::from_bytes(bytes).map_err(|_| CodecError)
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Wall time of the keeper that proposed it, in milliseconds since 1970.
    pub at_ms: u64,
    /// What is to be done.
    pub body: Body,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// An operator changes a setting.
    Change(SettingChange),
    /// A host is about to dispatch a request that must not run twice.
    Claim(Claim),
    /// The request ran; this is its answer. `None`: it may have run.
    Settle {
        /// Which request.
        key: ClaimKey,
        /// Under which dispatch.
        attempt_id: AttemptId,
        /// What it answered.
        answer: Option<Answer>,
    },
    /// Nothing was sent.
    Release {
        /// Which request.
        key: ClaimKey,
        /// Under which dispatch.
        attempt_id: AttemptId,
    },
    /// An operator replaces the serving plan as a whole.
    Publish(PlanDocument),
    /// A host is about to give orders to an upstream.
    Fence {
        /// To whom.
        upstream: UpstreamId,
        /// Who.
        host: HostId,
        /// How long it may give orders under this token.
        lease_ms: u64,
    },
    /// What a host saw of requests under which upstreams ended.
    NoteSightings(Vec<Sighting>),
    /// A host would try a request that is held back, once.
    ClaimTrial(RequestFingerprint),
    /// An operator holds a request back no more.
    Lift(RequestFingerprint),
    /// An operator wants nothing more to go to the upstreams of a data centre.
    Cordon(DataCentre),
    /// An operator takes that back.
    Uncordon(DataCentre),
}

/// A serving plan as the operator sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanDocument {
    /// The highest one is in force.
    pub version: u64,
    /// The document, unchanged; hosts share it.
    pub text: Arc<str>,
}

/// A change of one setting by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingChange {
    /// Drawn by the operator's tool; a resend carries the same one.
    pub change_id: String,
    /// The operator's partner.
    pub partner: Partner,
    /// The operator's name.
    pub operator: String,
    /// Which setting.
    pub key: SettingKey,
    /// The version that the operator saw; 0 for a setting that is not there.
    pub expected_version: u64,
    /// The new value; `None` removes the setting.
    pub value: Option<SettingValue>,
}

/// A host and its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Its name.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// A request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Partner, account and the caller's key.
    pub key: ClaimKey,
    /// Tells whether a repeat is the same request.
    pub fingerprint: u128,
    /// Who dispatches it.
    pub holder: ClaimHolder,
    /// Under which dispatch.
    pub attempt_id: AttemptId,
    /// From the proposal until the request has ended, one way or the other.
    pub deadline_in_ms: u64,
    /// From the proposal until the claim is forgotten.
    pub keep_ms: u64,
}

/// What a command brought about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The setting is changed, and has this version now.
    Changed {
        /// Its version, the revision of the change.
        version: u64,
    },
    /// Somebody else changed the setting before.
    Conflict {
        /// What it is now.
        current: Box<Versioned>,
    },
    /// The setting is another partner's.
    Forbidden,
    /// The change does not fit the other settings.
    Unfit {
        /// The place in the value, as a JSON pointer.
        path: String,
        /// What would be right.
        message: String,
    },
    /// The request may be dispatched, once, by the one who asked.
    Claimed,
    /// The request ran before; this is what it answered.
    Repeated(Answer),
    /// The request is being run.
    InProgress {
        /// When its outcome will be known.
        retry_after_ms: u64,
    },
    /// The request may have run; its answer is not known.
    Unknown,
    /// The key was used for another request.
    OtherRequest,
    /// The claim is settled, or was before.
    Settled,
    /// The claim is gone, or was not there.
    Released,
    /// A plan of this version or a higher one is in force.
    Published {
        /// The version in force.
        version: u64,
    },
    /// Another plan has this version.
    OtherPlan,
    /// The token for orders from now on.
    Fenced {
        /// Higher than all before it.
        token: u64,
        /// What is left of another holder's lease. Whoever orders an upstream
        /// that checks no tokens waits for it.
        wait_ms: u64,
    },
    /// What was seen is taken in.
    Noted(Verdicts),
    /// Whether the host that asked may try the request.
    Trial(Trial),
    /// The request is not held back.
    Lifted {
        /// Whether it was before.
        was_held_back: bool,
    },
    /// The data centre is under a cordon, or is not, as was asked.
    Cordoned {
        /// Whether that was otherwise before.
        has_changed: bool,
    },
}
