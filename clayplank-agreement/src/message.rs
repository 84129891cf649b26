//! Messages between replicas.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::ReplicaId;
use crate::log::{Entry, EntryId, Snapshot};

/// A message with its sender and recipient. A replica drops messages addressed to another
/// incarnation of its host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: ReplicaId,
    /// Recipient.
    pub to: ReplicaId,
    /// Payload.
    pub message: Message,
}

/// Result of an append on the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The logs match up to `index`, and the follower has synced them.
    Matched {
        /// Index of the last entry of the append or snapshot.
        index: u64,
    },
    /// The follower has no entry, or an entry of another term, at the append's previous index.
    Rejected {
        /// Previous index of the rejected append. The leader uses it to ignore rejections of
        /// older appends.
        previous_index: u64,
        /// Highest index at which the logs may match.
        hint_index: u64,
    },
}

/// A request or reply of the Raft protocol. Every message carries a term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Pre-vote request: whether the recipient would vote for the sender. It changes no
    /// persistent state.
    PreVote {
        /// Term of the election that would follow.
        term: u64,
        /// Last entry of the sender's log.
        last: EntryId,
    },
    /// Reply to a pre-vote request.
    PreVoteReply {
        /// Requested term if the pre-vote is granted, else the current term of the replica that
        /// replies.
        term: u64,
        /// Whether the pre-vote is granted.
        granted: bool,
    },
    /// Vote request of a candidate.
    Vote {
        /// Term of the election.
        term: u64,
        /// Last entry of the sender's log.
        last: EntryId,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Current term of the replica that replies.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Log entries from the leader; without entries it is a heartbeat or a probe.
    Append {
        /// Term of the leader.
        term: u64,
        /// Entry that precedes `entries` in the leader's log.
        previous: EntryId,
        /// Entries after `previous`.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit_index: u64,
        /// Latest read-index round that the leader has started; a reply confirms it.
        read_round: u64,
    },
    /// Reply to an append or a snapshot.
    AppendReply {
        /// Current term of the follower.
        term: u64,
        /// Whether the logs match.
        result: AppendResult,
        /// Read-index round of the request.
        read_round: u64,
    },
    /// A snapshot, sent if the leader no longer has the entries that the follower needs.
    Install {
        /// Term of the leader.
        term: u64,
        /// State machine and configuration at the snapshot's last entry.
        snapshot: Arc<Snapshot>,
        /// Latest read-index round that the leader has started; a reply confirms it.
        read_round: u64,
    },
}

impl Message {
    /// The sender's term; of a pre-vote request or a granted pre-vote, the term of the proposed
    /// election.
    pub fn term(&self) -> u64 {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Install { term, .. } => *term,
        }
    }
}
