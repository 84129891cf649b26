//! Claims: at-most-once execution of requests with an idempotency key.
//!
//! A host commits a claim before it dispatches the request. From then on, no other dispatch of the
//! request is allowed. Until the claim expires, its key becomes free again only if the holder
//! releases it, which means that the holder sent nothing to an upstream.

use std::collections::{BTreeMap, BTreeSet};

use clayplank_types::{AccountId, AttemptId};
use serde::{Deserialize, Serialize};

use crate::command::{Claim, Reply};

/// Largest answer body that is stored. Of a larger answer, only the status and content type are
/// stored: a repeat learns that the request ran, but does not get the body.
pub const MAX_KEPT_ANSWER_BYTES: usize = 64 << 10;

/// Maximum number of expired claims that one claim command removes.
const MAX_EXPIRED_PER_CLAIM: usize = 16;

/// Identifies a request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Client account that sent the request.
    pub account: AccountId,
    /// Idempotency key chosen by the caller.
    pub key: String,
}

/// The stored answer of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header, if any.
    pub content_type: Option<String>,
    /// Response body; `None` if it is larger than [`MAX_KEPT_ANSWER_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// State of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The holder may have dispatched the request.
    InProgress,
    /// The request ran and was answered.
    Settled(StoredAnswer),
    /// The request may have run; its answer is unknown.
    Unknown,
}

/// One claim; its times are in ms since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    /// Hash of the request, to detect reuse of the key for another request.
    fingerprint: u128,
    /// Dispatch that took the claim.
    attempt_id: AttemptId,
    /// Time by which the request has ended.
    deadline_ms: u64,
    /// Time from which the claim may be removed.
    expires_ms: u64,
    state: ClaimState,
}

/// All stored claims, with an index by expiry time. Expired claims are removed by later claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claims {
    records: BTreeMap<ClaimKey, Record>,
    by_expiry: BTreeSet<(u64, ClaimKey)>,
}

impl Claims {
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn claim(&mut self, now_ms: u64, claim: &Claim) -> Reply {
        self.remove_expired(now_ms);
        if let Some(record) = self.records.get(&claim.key) {
            return reply_to_repeat(now_ms, record, claim);
        }
        let record = Record {
            fingerprint: claim.fingerprint,
            attempt_id: claim.attempt_id,
            deadline_ms: now_ms + claim.deadline_in_ms,
            // If a claim expired before its request has ended, the request could run twice.
            expires_ms: now_ms + claim.keep_ms.max(2 * claim.deadline_in_ms),
            state: ClaimState::InProgress,
        };
        self.by_expiry.insert((record.expires_ms, claim.key.clone()));
        self.records.insert(claim.key.clone(), record);
        Reply::Claimed
    }

    pub(crate) fn settle(
        &mut self,
        key: &ClaimKey,
        attempt_id: AttemptId,
        answer: Option<StoredAnswer>,
    ) -> Reply {
        let matching = self.records.get_mut(key).filter(|record| record.attempt_id == attempt_id);
        if let Some(record) = matching.filter(|record| record.state == ClaimState::InProgress) {
            record.state = match answer {
                Some(answer) => ClaimState::Settled(drop_large_body(answer)),
                None => ClaimState::Unknown,
            };
        }
        Reply::Settled
    }

    pub(crate) fn release(&mut self, key: &ClaimKey, attempt_id: AttemptId) -> Reply {
        let matching = self.records.get(key).filter(|record| record.attempt_id == attempt_id);
        if let Some(record) = matching.filter(|record| record.state == ClaimState::InProgress) {
            self.by_expiry.remove(&(record.expires_ms, key.clone()));
            self.records.remove(key);
        }
        Reply::Released
    }

    fn remove_expired(&mut self, now_ms: u64) {
        for _ in 0..MAX_EXPIRED_PER_CLAIM {
            let is_due =
                self.by_expiry.first().is_some_and(|(expires_ms, _)| *expires_ms <= now_ms);
            if !is_due {
                return;
            }
            if let Some((_, key)) = self.by_expiry.pop_first() {
                self.records.remove(&key);
            }
        }
    }
}

fn reply_to_repeat(now_ms: u64, record: &Record, claim: &Claim) -> Reply {
    if record.fingerprint != claim.fingerprint {
        return Reply::OtherRequest;
    }
    match &record.state {
        // The holder lost the reply and sent the claim again: it is still the only holder.
        ClaimState::InProgress if record.attempt_id == claim.attempt_id => Reply::Claimed,
        ClaimState::InProgress if now_ms < record.deadline_ms => {
            Reply::InProgress { retry_after_ms: record.deadline_ms - now_ms }
        }
        ClaimState::InProgress | ClaimState::Unknown => Reply::Unknown,
        ClaimState::Settled(answer) => Reply::Repeated(answer.clone()),
    }
}

fn drop_large_body(mut answer: StoredAnswer) -> StoredAnswer {
    answer.body = answer.body.filter(|body| body.len() <= MAX_KEPT_ANSWER_BYTES);
    answer
}
