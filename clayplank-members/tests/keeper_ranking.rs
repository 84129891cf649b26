//! Distribution of hosts over keepers, and back-off of failed keepers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use clayplank_members::KeeperRanking;
use clayplank_types::HostId;
use rstest::rstest;

fn keepers(count: usize) -> Vec<HostId> {
    (0..count).map(|number| HostId::new(format!("10.0.{number}.1"))).collect()
}

/// The keeper that a host follows.
fn followed_keeper(ranking: &KeeperRanking, keepers: &[HostId]) -> HostId {
    ranking.ranked(keepers).remove(0)
}

fn rankings(hosts: usize) -> Vec<KeeperRanking> {
    (0..hosts).map(|number| KeeperRanking::new(HostId::new(format!("10.9.{number}.7")))).collect()
}

/// Number of hosts that follow each keeper.
fn spread(rankings: &[KeeperRanking], keepers: &[HostId]) -> BTreeMap<HostId, usize> {
    let mut spread = BTreeMap::new();
    for ranking in rankings {
        *spread.entry(followed_keeper(ranking, keepers)).or_default() += 1;
    }
    spread
}

#[rstest]
#[case::of_today(984, 10)]
#[case::of_twice_the_size(2_000, 20)]
fn hosts_spread_over_keepers(#[case] hosts: usize, #[case] count: usize) {
    let spread = spread(&rankings(hosts), &keepers(count));
    let most = spread.values().max().unwrap();
    assert!(*most < 2 * hosts / count, "{spread:?}");
    assert_eq!(spread.len(), count);
}

#[test]
fn hosts_of_a_failed_keeper_spread_over_the_others_and_return() {
    let keepers = keepers(10);
    let mut rankings = rankings(984);
    let before = spread(&rankings, &keepers);
    let failed = &keepers[3];
    for ranking in &mut rankings {
        if followed_keeper(ranking, &keepers) == *failed {
            ranking.record_failure(0, failed.clone());
        }
    }
    let during_failure = spread(&rankings, &keepers);
    assert_eq!(during_failure.get(failed), None);
    for (keeper, hosts) in &during_failure {
        let more = hosts - before[keeper];
        assert!(more < 2 * before[failed] / 9 + 5, "{keeper:?} gets {more} more");
    }
    for ranking in &mut rankings {
        let due = ranking.take_retries(10_000, &keepers);
        assert!(due.iter().all(|keeper| keeper == failed), "{due:?}");
        due.iter().for_each(|keeper| ranking.record_success(keeper));
    }
    assert_eq!(spread(&rankings, &keepers), before, "it was retried and answered");
}

#[test]
fn a_keeper_in_backoff_is_followed_only_after_it_has_answered() {
    let keepers = keepers(3);
    let mut ranking = KeeperRanking::new(HostId::new("host"));
    let failed = followed_keeper(&ranking, &keepers);
    ranking.record_failure(0, failed.clone());
    let followed = followed_keeper(&ranking, &keepers);
    assert_eq!(ranking.take_retries(999, &keepers), []);
    assert_eq!(ranking.take_retries(1_000, &keepers), std::slice::from_ref(&failed));
    assert_eq!(ranking.take_retries(1_001, &keepers), [], "it is being retried");
    assert_eq!(followed_keeper(&ranking, &keepers), followed);
    ranking.record_success(&failed);
    assert_eq!(followed_keeper(&ranking, &keepers), failed);
}

#[test]
fn a_keeper_that_fails_repeatedly_is_retried_with_growing_delays() {
    let keepers = keepers(2);
    let mut ranking = KeeperRanking::new(HostId::new("host"));
    let failed = followed_keeper(&ranking, &keepers);
    ranking.record_failure(0, failed.clone());
    let (mut now_ms, mut retries) = (0, 1);
    while now_ms < 120_000 {
        for keeper in ranking.take_retries(now_ms, &keepers) {
            assert_eq!(keeper, failed);
            retries += 1;
            ranking.record_failure(now_ms, keeper);
        }
        now_ms += 100;
    }
    assert!((5..=9).contains(&retries), "{retries} times in two minutes");
    ranking.record_success(&failed);
    assert_eq!(followed_keeper(&ranking, &keepers), failed);
}

#[test]
fn keepers_that_all_failed_are_ordered_by_the_end_of_their_backoff() {
    let keepers = keepers(3);
    let mut ranking = KeeperRanking::new(HostId::new("host"));
    for (number, keeper) in keepers.iter().enumerate() {
        ranking.record_failure(100 * number as u64, keeper.clone());
    }
    assert_eq!(ranking.ranked(&keepers), keepers);
    assert!(KeeperRanking::new(HostId::new("host")).ranked(&[]).is_empty());
}
