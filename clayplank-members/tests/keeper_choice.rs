//! Which keepers hundreds of hosts follow.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use clayplank_members::KeeperChoice;
use clayplank_types::HostId;
use rstest::rstest;

fn keepers(count: usize) -> Vec<HostId> {
    (0..count).map(|number| HostId::new(format!("10.0.{number}.1"))).collect()
}

/// Whom a host follows.
fn first(choice: &KeeperChoice, keepers: &[HostId]) -> HostId {
    choice.order(keepers).remove(0)
}

fn choices(hosts: usize) -> Vec<KeeperChoice> {
    (0..hosts).map(|number| KeeperChoice::new(HostId::new(format!("10.9.{number}.7")))).collect()
}

/// How many hosts follow each keeper.
fn spread(choices: &[KeeperChoice], keepers: &[HostId]) -> BTreeMap<HostId, usize> {
    let mut spread = BTreeMap::new();
    for choice in choices {
        *spread.entry(first(choice, keepers)).or_default() += 1;
    }
    spread
}

#[rstest]
#[case::of_today(984, 10)]
#[case::of_twice_the_size(2_000, 20)]
fn hosts_spread_over_keepers(#[case] hosts: usize, #[case] count: usize) {
    let spread = spread(&choices(hosts), &keepers(count));
    let most = spread.values().max().unwrap();
    assert!(*most < 2 * hosts / count, "{spread:?}");
    assert_eq!(spread.len(), count);
}

#[test]
fn hosts_of_a_lost_keeper_spread_over_the_others_and_come_back() {
    let keepers = keepers(10);
    let mut choices = choices(984);
    let before = spread(&choices, &keepers);
    let lost = &keepers[3];
    for choice in &mut choices {
        if first(choice, &keepers) == *lost {
            choice.note_failed(0, lost.clone());
        }
    }
    let meanwhile = spread(&choices, &keepers);
    assert_eq!(meanwhile.get(lost), None);
    for (keeper, hosts) in &meanwhile {
        let more = hosts - before[keeper];
        assert!(more < 2 * before[lost] / 9 + 5, "{keeper:?} gets {more} more");
    }
    for choice in &mut choices {
        let due = choice.take_due(10_000, &keepers);
        assert!(due.iter().all(|keeper| keeper == lost), "{due:?}");
        due.iter().for_each(|keeper| choice.note_answered(keeper));
    }
    assert_eq!(spread(&choices, &keepers), before, "it was asked again, and answered");
}

#[test]
fn a_keeper_in_doubt_is_followed_only_once_it_has_answered() {
    let keepers = keepers(3);
    let mut choice = KeeperChoice::new(HostId::new("host"));
    let lost = first(&choice, &keepers);
    choice.note_failed(0, lost.clone());
    let followed = first(&choice, &keepers);
    assert_eq!(choice.take_due(999, &keepers), []);
    assert_eq!(choice.take_due(1_000, &keepers), std::slice::from_ref(&lost));
    assert_eq!(choice.take_due(1_001, &keepers), [], "it is being asked");
    assert_eq!(first(&choice, &keepers), followed);
    choice.note_answered(&lost);
    assert_eq!(first(&choice, &keepers), lost);
}

#[test]
fn one_that_fails_again_and_again_is_asked_less_and_less_often() {
    let keepers = keepers(2);
    let mut choice = KeeperChoice::new(HostId::new("host"));
    let lost = first(&choice, &keepers);
    choice.note_failed(0, lost.clone());
    let (mut now_ms, mut asked) = (0, 1);
    while now_ms < 120_000 {
        for keeper in choice.take_due(now_ms, &keepers) {
            assert_eq!(keeper, lost);
            asked += 1;
            choice.note_failed(now_ms, keeper);
        }
        now_ms += 100;
    }
    assert!((5..=9).contains(&asked), "{asked} times in two minutes");
    choice.note_answered(&lost);
    assert_eq!(first(&choice, &keepers), lost);
}

#[test]
fn where_all_failed_the_one_in_doubt_for_the_shortest_time_is_asked() {
    let keepers = keepers(3);
    let mut choice = KeeperChoice::new(HostId::new("host"));
    for (number, keeper) in keepers.iter().enumerate() {
        choice.note_failed(100 * number as u64, keeper.clone());
    }
    assert_eq!(choice.order(&keepers), keepers);
    assert!(KeeperChoice::new(HostId::new("host")).order(&[]).is_empty());
}
