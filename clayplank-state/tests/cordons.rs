//! Data centres whose upstreams get nothing: orders in series, repeated, and over a snapshot.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeSet;

use clayplank_state::{Body, Command, Machine, Reply};
use clayplank_types::DataCentre;
use proptest::prelude::*;

fn order(machine: &mut Machine, name: &str, is_cordoned: bool) -> Reply {
    let data_centre = DataCentre::new(name);
    let body = if is_cordoned { Body::Cordon(data_centre) } else { Body::Uncordon(data_centre) };
    machine.apply(&Command { at_ms: 1, body })
}

fn names(names: &[&str]) -> BTreeSet<DataCentre> {
    names.iter().map(|name| DataCentre::new(*name)).collect()
}

#[test]
fn orders_in_series_are_followed_and_the_same_again_changes_nothing() {
    let mut machine = Machine::default();
    let changed = Reply::Cordoned { has_changed: true };
    let unchanged = Reply::Cordoned { has_changed: false };
    assert_eq!(order(&mut machine, "a", false), unchanged, "there is none to take off");
    assert_eq!(order(&mut machine, "a", true), changed);
    assert_eq!(order(&mut machine, "a", true), unchanged);
    assert_eq!(order(&mut machine, "b", true), changed);
    assert_eq!(machine.cordoned(), &names(&["a", "b"]));
    assert_eq!(order(&mut machine, "a", false), changed);
    assert_eq!(order(&mut machine, "a", false), unchanged);
    assert_eq!(order(&mut machine, "a", true), changed);
    assert_eq!(machine.revision(), 4, "each change is news, and nothing else");
}

#[test]
fn a_host_is_told_of_all_cordons_once_one_has_changed() {
    let mut machine = Machine::default();
    order(&mut machine, "a", true);
    let first = machine.delta_after(0);
    assert_eq!(first.cordoned, Some(names(&["a"])));
    assert_eq!(machine.delta_after(first.revision).cordoned, None);
    order(&mut machine, "b", true);
    assert_eq!(machine.delta_after(first.revision).cordoned, Some(names(&["a", "b"])));
    order(&mut machine, "a", false);
    order(&mut machine, "b", false);
    assert_eq!(machine.delta_after(first.revision).cordoned, Some(BTreeSet::new()));
}

proptest! {
    /// What a snapshot and a host that was told of changes hold is what the orders ask for.
    #[test]
    fn what_is_told_is_what_was_ordered(
        orders in proptest::collection::vec((0..4_usize, any::<bool>(), any::<bool>()), 0..40),
    ) {
        let mut machine = Machine::default();
        let mut wanted = BTreeSet::new();
        let (mut told, mut revision) = (BTreeSet::new(), 0);
        for (number, is_cordoned, is_told) in orders {
            let name = ["a", "b", "c", "d"][number];
            order(&mut machine, name, is_cordoned);
            if is_cordoned {
                wanted.insert(DataCentre::new(name));
            } else {
                wanted.remove(&DataCentre::new(name));
            }
            if is_told {
                let delta = machine.delta_after(revision);
                told = delta.cordoned.unwrap_or(told);
                revision = delta.revision;
                prop_assert_eq!(&told, &wanted);
            }
            machine = Machine::from_snapshot(&machine.to_snapshot().unwrap()).unwrap();
            prop_assert_eq!(machine.cordoned(), &wanted);
        }
    }
}
