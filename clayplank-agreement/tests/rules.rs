//! Raft rules that randomised runs rarely exercise.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_agreement::{
    AppendResult, Change, Configuration, Entry, EntryId, Envelope, HardState, Message, Options,
    Payload, Replica, ReplicaId, Snapshot, StoredState,
};

fn id(host: &str) -> ReplicaId {
    ReplicaId::new(host, 1)
}

/// Replica a of three, with one entry of term 2 that it does not know to be committed.
fn replica_with_uncommitted_entry() -> Replica {
    let configuration = Configuration::from_voters([id("a"), id("b"), id("c")]);
    let last = EntryId { term: 1, index: 1 };
    let stored = StoredState {
        hard_state: HardState { term: 2, vote: None },
        snapshot: Snapshot { last, configuration, data: Vec::new() },
        entries: vec![Entry { index: 2, term: 2, payload: Payload::Command(b"x".to_vec()) }],
    };
    Replica::new(id("a"), stored, Options::default(), 0)
}

fn deliver_from_b(replica: &mut Replica, now_ms: u64, message: Message) {
    replica.receive(now_ms, Envelope { from: id("b"), to: id("a"), message });
    let ready = replica.take_ready(now_ms);
    replica.record_persisted(ready.written());
}

fn elect(replica: &mut Replica, now_ms: u64) {
    replica.tick(now_ms);
    deliver_from_b(replica, now_ms, Message::PreVoteReply { term: 3, granted: true });
    deliver_from_b(replica, now_ms, Message::VoteReply { term: 3, granted: true });
    assert!(replica.is_leader());
    // The first heartbeat creates the replication state of each follower.
    replica.tick(now_ms + 1);
    replica.take_ready(now_ms + 1);
}

fn matched(index: u64) -> Message {
    Message::AppendReply { term: 3, result: AppendResult::Matched { index }, read_round: 0 }
}

/// Ongaro 2014, figure 3.7: an entry of an earlier term may still be replaced, even if a quorum has
/// it.
#[test]
fn entry_of_an_earlier_term_is_committed_only_with_one_of_the_current_term() {
    let mut replica = replica_with_uncommitted_entry();
    elect(&mut replica, 10_000);
    deliver_from_b(&mut replica, 10_002, matched(2));
    assert_eq!(replica.commit_index(), 1);
    deliver_from_b(&mut replica, 10_003, matched(3));
    assert_eq!(replica.commit_index(), 3);
}

#[test]
fn read_waits_for_the_first_commit_of_the_term_and_for_a_quorum() {
    let mut replica = replica_with_uncommitted_entry();
    elect(&mut replica, 10_000);
    let read = replica.request_read().unwrap();
    assert_eq!(replica.take_ready(10_002).reads, vec![]);
    replica.receive(10_003, Envelope { from: id("b"), to: id("a"), message: matched(3) });
    assert_eq!(
        replica.take_ready(10_003).reads,
        vec![],
        "no quorum has confirmed the read-index round yet"
    );
    let confirmed =
        Message::AppendReply { term: 3, result: AppendResult::Matched { index: 3 }, read_round: 1 };
    replica.receive(10_004, Envelope { from: id("b"), to: id("a"), message: confirmed });
    assert_eq!(replica.take_ready(10_004).reads, vec![(read, 3)]);
}

#[test]
fn message_to_another_incarnation_is_dropped() {
    let mut replica = replica_with_uncommitted_entry();
    let message = Message::Vote { term: 9, last: EntryId { term: 9, index: 9 } };
    replica.receive(1, Envelope { from: id("b"), to: ReplicaId::new("a", 2), message });
    assert_eq!(replica.term(), 2);
    assert!(replica.take_ready(1).is_empty());
}

#[test]
fn leader_without_a_quorum_steps_down() {
    let mut replica = replica_with_uncommitted_entry();
    elect(&mut replica, 10_000);
    replica.tick(20_000);
    assert!(!replica.is_leader());
}

/// After a power failure, only the replica with the most up-to-date log can win the election. It
/// must not wait for its time-out while it repeatedly refuses the pre-votes of the others.
#[test]
fn replica_that_refuses_an_outdated_log_starts_an_election_soon() {
    let mut replica = replica_with_uncommitted_entry();
    replica.tick(10_000);
    replica.take_ready(10_000);
    let outdated = Message::PreVote { term: 3, last: EntryId { term: 1, index: 1 } };
    deliver_from_b(&mut replica, 10_010, outdated);
    replica.tick(10_150);
    let messages = replica.take_ready(10_150).messages;
    let is_pre_vote = |envelope: &Envelope| matches!(envelope.message, Message::PreVote { .. });
    assert_eq!(messages.iter().filter(|envelope| is_pre_vote(envelope)).count(), 2, "{messages:?}");
}

fn deliver_from(replica: &mut Replica, now_ms: u64, from: &str, message: Message) {
    replica.receive(now_ms, Envelope { from: id(from), to: id("a"), message });
    let ready = replica.take_ready(now_ms);
    replica.record_persisted(ready.written());
    replica.take_ready(now_ms);
}

/// A leader of three voters, elected at 10,000 ms, one of which, c, never replies.
fn leader_with_unresponsive_voter() -> Replica {
    let configuration = Configuration::from_voters([id("a"), id("b"), id("c")]);
    let stored = StoredState {
        hard_state: HardState { term: 2, vote: None },
        ..StoredState::genesis(configuration, Vec::new())
    };
    let options = Options { replace_unresponsive_ms: Some(1_500), ..Options::default() };
    let mut replica = Replica::new(id("a"), stored, options, 0);
    elect(&mut replica, 10_000);
    deliver_from(&mut replica, 10_002, "b", matched(2));
    replica
}

/// After the new replica has introduced itself, the leader makes all changes on its own.
#[test]
fn caught_up_learner_replaces_an_unresponsive_voter() {
    let mut replica = leader_with_unresponsive_voter();
    let add_learner = Some(Change::AddLearner(id("d")));
    assert_eq!(replica.admit(&id("d")), add_learner);
    assert_eq!(replica.maintain_membership(10_004), None, "the learner has no entries yet");
    deliver_from(&mut replica, 10_005, "b", matched(3));
    deliver_from(&mut replica, 10_006, "d", matched(3));
    assert_eq!(replica.maintain_membership(10_007), Some(Change::Promote(id("d"))));
    assert_eq!(replica.maintain_membership(10_008), None, "one change at a time");
    deliver_from(&mut replica, 10_009, "b", matched(4));
    deliver_from(&mut replica, 10_010, "d", matched(4));
    assert_eq!(replica.maintain_membership(11_000), None, "c may only have paused");
    deliver_from(&mut replica, 11_600, "b", matched(4));
    deliver_from(&mut replica, 11_600, "d", matched(4));
    assert_eq!(replica.maintain_membership(11_601), Some(Change::Remove(id("c"))));
    assert_eq!(replica.configuration().voters, [id("a"), id("b"), id("d")].into());
}

/// Without the unresponsive voter, the quorum would be both remaining voters, and only these two
/// would have the log.
#[test]
fn unresponsive_voter_stays_without_a_replacement() {
    let mut replica = leader_with_unresponsive_voter();
    deliver_from(&mut replica, 11_600, "b", matched(2));
    assert_eq!(replica.maintain_membership(11_601), None);
    assert!(replica.may_stop(11_602, "b"), "without a replacement, b stays a voter and may stop");
}

#[test]
fn departing_voter_is_removed_before_it_stops_if_it_has_a_replacement() {
    let mut replica = leader_with_unresponsive_voter();
    replica.admit(&id("d"));
    deliver_from(&mut replica, 10_005, "b", matched(3));
    replica.record_departure(10_006, "b");
    assert!(!replica.may_stop(10_006, "b"), "a learner may replace b");
    deliver_from(&mut replica, 10_006, "d", matched(3));
    assert_eq!(replica.maintain_membership(10_007), Some(Change::Promote(id("d"))));
    deliver_from(&mut replica, 10_009, "b", matched(4));
    deliver_from(&mut replica, 10_010, "d", matched(4));
    assert!(!replica.may_stop(10_011, "b"), "b is one of four voters");
    assert_eq!(replica.maintain_membership(10_011), Some(Change::Remove(id("b"))));
    assert!(!replica.may_stop(10_012, "b"), "the removal is not committed yet");
    deliver_from(&mut replica, 10_013, "d", matched(5));
    assert!(replica.may_stop(10_014, "b"));
}

#[test]
fn unresponsive_follower_is_probed_without_entries() {
    let mut replica = replica_with_uncommitted_entry();
    elect(&mut replica, 10_000);
    replica.propose(vec![0; 1_000]).unwrap();
    // Follower c never replies: each heartbeat to it is a probe without entries.
    for now_ms in (10_100..10_600).step_by(100) {
        deliver_from_b(&mut replica, now_ms, matched(2));
        replica.tick(now_ms + 1);
        let ready = replica.take_ready(now_ms + 1);
        let to_unresponsive = ready.messages.iter().filter(|envelope| envelope.to == id("c"));
        for envelope in to_unresponsive {
            let Message::Append { entries, .. } = &envelope.message else {
                panic!("a heartbeat is an append: {envelope:?}");
            };
            assert!(entries.is_empty(), "{} entries", entries.len());
        }
    }
}
