//! Rules of the log that random runs seldom reach.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_agreement::{
    AppendResult, Change, Configuration, Entry, EntryId, Envelope, HardState, Message, Options,
    Payload, Replica, ReplicaId, Snapshot, StoredState,
};

fn id(host: &str) -> ReplicaId {
    ReplicaId::new(host, 1)
}

/// A replica of three with one entry of term 2 that it does not know to be committed.
fn with_former_entry() -> Replica {
    let configuration = Configuration::of_voters([id("a"), id("b"), id("c")]);
    let last = EntryId { term: 1, index: 1 };
    let stored = StoredState {
        hard_state: HardState { term: 2, vote: None },
        snapshot: Snapshot { last, configuration, data: Vec::new() },
        entries: vec![Entry { index: 2, term: 2, payload: Payload::Command(b"x".to_vec()) }],
    };
    Replica::new(id("a"), stored, Options::default(), 0)
}

fn tell(replica: &mut Replica, now_ms: u64, message: Message) {
    replica.receive(now_ms, Envelope { from: id("b"), to: id("a"), message });
    let ready = replica.take_ready(now_ms);
    replica.note_persisted(ready.last_written());
}

fn lead(replica: &mut Replica, now_ms: u64) {
    replica.tick(now_ms);
    tell(replica, now_ms, Message::PreVoteReply { term: 3, granted: true });
    tell(replica, now_ms, Message::VoteReply { term: 3, granted: true });
    assert!(replica.is_leader());
    // Its first heartbeat tells it whom it leads.
    replica.tick(now_ms + 1);
    replica.take_ready(now_ms + 1);
}

fn matched(index: u64) -> Message {
    Message::AppendReply { term: 3, result: AppendResult::Matched { index }, read_round: 0 }
}

/// Ongaro 2014, figure 3.7: an entry of a former term on a quorum may still be replaced.
#[test]
fn an_entry_of_a_former_term_is_committed_only_with_one_of_the_own() {
    let mut replica = with_former_entry();
    lead(&mut replica, 10_000);
    tell(&mut replica, 10_002, matched(2));
    assert_eq!(replica.commit_index(), 1);
    tell(&mut replica, 10_003, matched(3));
    assert_eq!(replica.commit_index(), 3);
}

#[test]
fn a_read_waits_for_the_first_commit_of_the_term_and_for_a_quorum() {
    let mut replica = with_former_entry();
    lead(&mut replica, 10_000);
    let read = replica.read().unwrap();
    assert_eq!(replica.take_ready(10_002).reads, vec![]);
    replica.receive(10_003, Envelope { from: id("b"), to: id("a"), message: matched(3) });
    assert_eq!(replica.take_ready(10_003).reads, vec![], "no quorum has confirmed the round yet");
    let confirmed =
        Message::AppendReply { term: 3, result: AppendResult::Matched { index: 3 }, read_round: 1 };
    replica.receive(10_004, Envelope { from: id("b"), to: id("a"), message: confirmed });
    assert_eq!(replica.take_ready(10_004).reads, vec![(read, 3)]);
}

#[test]
fn a_message_to_another_incarnation_is_dropped() {
    let mut replica = with_former_entry();
    let message = Message::Vote { term: 9, last: EntryId { term: 9, index: 9 } };
    replica.receive(1, Envelope { from: id("b"), to: ReplicaId::new("a", 2), message });
    assert_eq!(replica.term(), 2);
    assert!(replica.take_ready(1).is_empty());
}

#[test]
fn a_leader_without_a_quorum_steps_down() {
    let mut replica = with_former_entry();
    lead(&mut replica, 10_000);
    replica.tick(20_000);
    assert!(!replica.is_leader());
}

/// After a loss of power, only the replica with the longest log may win: it must not
/// wait while others, whom it refuses, ask again and again.
#[test]
fn a_replica_that_refuses_a_shorter_log_asks_soon_itself() {
    let mut replica = with_former_entry();
    replica.tick(10_000);
    replica.take_ready(10_000);
    let shorter = Message::PreVote { term: 3, last: EntryId { term: 1, index: 1 } };
    tell(&mut replica, 10_010, shorter);
    replica.tick(10_150);
    let asked = replica.take_ready(10_150).messages;
    let asks = |envelope: &Envelope| matches!(envelope.message, Message::PreVote { .. });
    assert_eq!(asked.iter().filter(|envelope| asks(envelope)).count(), 2, "{asked:?}");
}

fn tell_from(replica: &mut Replica, now_ms: u64, from: &str, message: Message) {
    replica.receive(now_ms, Envelope { from: id(from), to: id("a"), message });
    let ready = replica.take_ready(now_ms);
    replica.note_persisted(ready.last_written());
    replica.take_ready(now_ms);
}

/// A leader of three voters, one of which, c, never answers, at 10,001 ms.
fn leads_with_a_silent_voter() -> Replica {
    let configuration = Configuration::of_voters([id("a"), id("b"), id("c")]);
    let stored = StoredState {
        hard_state: HardState { term: 2, vote: None },
        ..StoredState::genesis(configuration, Vec::new())
    };
    let options = Options { replace_silent_ms: Some(1_500), ..Options::default() };
    let mut replica = Replica::new(id("a"), stored, options, 0);
    lead(&mut replica, 10_000);
    tell_from(&mut replica, 10_002, "b", matched(2));
    replica
}

/// Nobody but the leader asks for a step once the newcomer has made itself known.
#[test]
fn a_newcomer_that_has_caught_up_takes_the_place_of_a_silent_voter() {
    let mut replica = leads_with_a_silent_voter();
    let learns = Some(Change::AddLearner(id("d")));
    assert_eq!(replica.admit(&id("d")), learns);
    assert_eq!(replica.keep_members(10_004), None, "the newcomer has no entries yet");
    tell_from(&mut replica, 10_005, "b", matched(3));
    tell_from(&mut replica, 10_006, "d", matched(3));
    assert_eq!(replica.keep_members(10_007), Some(Change::Promote(id("d"))));
    assert_eq!(replica.keep_members(10_008), None, "one change at a time");
    tell_from(&mut replica, 10_009, "b", matched(4));
    tell_from(&mut replica, 10_010, "d", matched(4));
    assert_eq!(replica.keep_members(11_000), None, "c may have paused");
    tell_from(&mut replica, 11_600, "b", matched(4));
    tell_from(&mut replica, 11_600, "d", matched(4));
    assert_eq!(replica.keep_members(11_601), Some(Change::Remove(id("c"))));
    assert_eq!(replica.configuration().voters, [id("a"), id("b"), id("d")].into());
}

/// Without it the two that are left would both have to answer, and hold all that there is.
#[test]
fn a_silent_voter_stays_while_nobody_votes_in_its_place() {
    let mut replica = leads_with_a_silent_voter();
    tell_from(&mut replica, 11_600, "b", matched(2));
    assert_eq!(replica.keep_members(11_601), None);
    assert!(replica.may_stop(11_602, "b"), "a restart takes no vote away");
}

#[test]
fn a_voter_that_stops_is_taken_out_before_it_ends_if_another_one_votes_in_its_place() {
    let mut replica = leads_with_a_silent_voter();
    replica.admit(&id("d"));
    tell_from(&mut replica, 10_005, "b", matched(3));
    replica.note_leaving(10_006, "b");
    assert!(!replica.may_stop(10_006, "b"), "the newcomer is about to vote");
    tell_from(&mut replica, 10_006, "d", matched(3));
    assert_eq!(replica.keep_members(10_007), Some(Change::Promote(id("d"))));
    tell_from(&mut replica, 10_009, "b", matched(4));
    tell_from(&mut replica, 10_010, "d", matched(4));
    assert!(!replica.may_stop(10_011, "b"), "it is one of four");
    assert_eq!(replica.keep_members(10_011), Some(Change::Remove(id("b"))));
    assert!(!replica.may_stop(10_012, "b"), "that is not committed yet");
    tell_from(&mut replica, 10_013, "d", matched(5));
    assert!(replica.may_stop(10_014, "b"));
}

#[test]
fn a_silent_follower_is_probed_without_entries() {
    let mut replica = with_former_entry();
    lead(&mut replica, 10_000);
    replica.propose(vec![0; 1_000]).unwrap();
    // Follower c never answers: each heartbeat asks it where the logs agree, and no more.
    for now_ms in (10_100..10_600).step_by(100) {
        tell(&mut replica, now_ms, matched(2));
        replica.tick(now_ms + 1);
        let ready = replica.take_ready(now_ms + 1);
        let to_silent = ready.messages.iter().filter(|envelope| envelope.to == id("c"));
        for envelope in to_silent {
            let Message::Append { entries, .. } = &envelope.message else {
                panic!("a heartbeat is an append: {envelope:?}");
            };
            assert!(entries.is_empty(), "{} entries", entries.len());
        }
    }
}
