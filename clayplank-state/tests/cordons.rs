//! Cordons of data centres: sequences of commands, repeated commands, and snapshots.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeSet;

use clayplank_state::{Command, CommandBody, Machine, Reply};
use clayplank_types::DataCentre;
use proptest::prelude::*;

fn set_cordon(machine: &mut Machine, name: &str, is_cordoned: bool) -> Reply {
    let data_centre = DataCentre::new(name);
    let body = if is_cordoned {
        CommandBody::Cordon(data_centre)
    } else {
        CommandBody::Uncordon(data_centre)
    };
    machine.apply(&Command { at_ms: 1, body })
}

fn data_centres(names: &[&str]) -> BTreeSet<DataCentre> {
    names.iter().map(|name| DataCentre::new(*name)).collect()
}

#[test]
fn commands_take_effect_in_sequence_and_repeats_change_nothing() {
    let mut machine = Machine::default();
    let changed = Reply::Cordoned { has_changed: true };
    let unchanged = Reply::Cordoned { has_changed: false };
    assert_eq!(set_cordon(&mut machine, "a", false), unchanged, "there is no cordon to remove");
    assert_eq!(set_cordon(&mut machine, "a", true), changed);
    assert_eq!(set_cordon(&mut machine, "a", true), unchanged);
    assert_eq!(set_cordon(&mut machine, "b", true), changed);
    assert_eq!(machine.cordoned_data_centres(), &data_centres(&["a", "b"]));
    assert_eq!(set_cordon(&mut machine, "a", false), changed);
    assert_eq!(set_cordon(&mut machine, "a", false), unchanged);
    assert_eq!(set_cordon(&mut machine, "a", true), changed);
    assert_eq!(machine.revision(), 4, "each change creates a revision, and nothing else does");
}

#[test]
fn a_delta_contains_all_cordons_once_one_has_changed() {
    let mut machine = Machine::default();
    set_cordon(&mut machine, "a", true);
    let first = machine.delta_after(0);
    assert_eq!(first.cordoned, Some(data_centres(&["a"])));
    assert_eq!(machine.delta_after(first.revision).cordoned, None);
    set_cordon(&mut machine, "b", true);
    assert_eq!(machine.delta_after(first.revision).cordoned, Some(data_centres(&["a", "b"])));
    set_cordon(&mut machine, "a", false);
    set_cordon(&mut machine, "b", false);
    assert_eq!(machine.delta_after(first.revision).cordoned, Some(BTreeSet::new()));
}

proptest! {
    /// Snapshots, and hosts that apply deltas, have exactly the cordons that the commands set.
    #[test]
    fn deltas_and_snapshots_match_the_commands(
        commands in proptest::collection::vec((0..4_usize, any::<bool>(), any::<bool>()), 0..40),
    ) {
        let mut machine = Machine::default();
        let mut expected = BTreeSet::new();
        let (mut received, mut revision) = (BTreeSet::new(), 0);
        for (number, is_cordoned, is_updated) in commands {
            let name = ["a", "b", "c", "d"][number];
            set_cordon(&mut machine, name, is_cordoned);
            if is_cordoned {
                expected.insert(DataCentre::new(name));
            } else {
                expected.remove(&DataCentre::new(name));
            }
            if is_updated {
                let delta = machine.delta_after(revision);
                received = delta.cordoned.unwrap_or(received);
                revision = delta.revision;
                prop_assert_eq!(&received, &expected);
            }
            machine = Machine::from_snapshot(&machine.to_snapshot().unwrap()).unwrap();
            prop_assert_eq!(machine.cordoned_data_centres(), &expected);
        }
    }
}
