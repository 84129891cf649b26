//! Tests that damaged payloads of the calls between hosts are harmless: a decoder rejects them or
//! returns another value of the repeated type, but neither panics nor allocates memory for items that
//! are not there.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_agreement::{Configuration, Envelope, Introduction, ReplicaId};
use clayplank_members::MemberUpdate;
use clayplank_placement::{
    Event, PlacementId, PlacementOutcome, PlacementRequest, RunningPlacement,
};
use clayplank_registry::{Buckets, Changes, Cursor, Digest, Heartbeat, Record};
use clayplank_state::{
    Command, CommandBody, Delta, Machine, PlanDocument, PlanEdit, Reply, decode, encode, pack,
    unpack,
};
use clayplank_types::{
    Fingerprint, ObservedOutcome, QuarantineEntry, SuspectKind, SuspectObservation, UpstreamId,
};
use proptest::prelude::*;
use serde::de::DeserializeOwned;

/// Decodes bytes as each type that hosts send to each other.
fn decode_as_all_types(bytes: &[u8]) {
    fn read<T: DeserializeOwned>(bytes: &[u8]) {
        decode::<T>(bytes).ok();
        unpack::<T>(bytes).ok();
    }
    read::<Vec<Envelope>>(bytes);
    read::<Introduction>(bytes);
    read::<ReplicaId>(bytes);
    read::<Configuration>(bytes);
    read::<Vec<MemberUpdate>>(bytes);
    read::<PlacementRequest>(bytes);
    read::<PlacementOutcome>(bytes);
    read::<Vec<RunningPlacement>>(bytes);
    read::<Vec<(PlacementId, Event)>>(bytes);
    read::<Vec<Heartbeat>>(bytes);
    read::<Cursor>(bytes);
    read::<Digest>(bytes);
    read::<Buckets>(bytes);
    read::<Changes>(bytes);
    read::<CommandBody>(bytes);
    read::<Command>(bytes);
    read::<Reply>(bytes);
    read::<Delta>(bytes);
    read::<Vec<QuarantineEntry>>(bytes);
    Machine::from_snapshot(bytes).ok();
    PlanEdit::unpack(bytes).ok();
}

fn observation(number: u64) -> SuspectObservation {
    SuspectObservation {
        kind: SuspectKind::PromptPart,
        fingerprint: Fingerprint::new(u128::from(number) << 70),
        request: Fingerprint::new(u128::from(number) << 70),
        caller: "clubs".to_owned(),
        has_survived: false,
        outcome: ObservedOutcome::Ended(UpstreamId::new(format!("u{number}"))),
        ago_ms: number * 40,
        seen: None,
    }
}

/// Samples of the values that hosts send, encoded or packed.
fn samples() -> Vec<Vec<u8>> {
    let mut machine = Machine::default();
    let document = PlanDocument { version: 7, text: "{\"version\":7}".into() };
    machine.apply(&Command { at_ms: 9, body: CommandBody::Publish(document) });
    let repeated = (0..3).map(|number| SuspectObservation {
        fingerprint: Fingerprint::new(1),
        ..observation(number)
    });
    let body = CommandBody::NoteSightings(repeated.collect());
    let command = Command { at_ms: 1_000, body };
    let reply = machine.apply(&command);
    assert_eq!(machine.quarantined().len(), 1);
    let heartbeat = Heartbeat { service: "pool".to_owned(), ..Heartbeat::default() }.with_name("u");
    let record = Record { heartbeat: heartbeat.clone(), is_silent: true };
    let changes = Changes { cursor: Cursor { life: 3, change: 4 }, records: vec![record] };
    vec![
        encode(&command).unwrap(),
        encode(&reply).unwrap(),
        encode(&machine.delta_after(0)).unwrap(),
        machine.to_snapshot().unwrap(),
        encode(&vec![heartbeat]).unwrap(),
        encode(&changes).unwrap(),
        pack(&changes).unwrap(),
    ]
}

/// No proper prefix of an encoded value may be decoded as a value.
#[test]
fn a_truncated_value_is_rejected() {
    let body = CommandBody::NoteSightings((0..3).map(observation).collect());
    let bytes = encode(&Command { at_ms: 1_000, body }).unwrap();
    for length in 0..bytes.len() {
        assert!(decode::<Command>(&bytes[..length]).is_err(), "{length} of {} bytes", bytes.len());
    }
}

/// A large item count without the items is rejected without allocating memory for them.
#[test]
fn a_count_without_its_items_is_rejected() {
    let mut bytes = vec![0xff; 9];
    bytes.push(0x01);
    assert!(decode::<Vec<Heartbeat>>(&bytes).is_err());
    assert!(decode::<Vec<Envelope>>(&bytes).is_err());
    assert!(decode::<String>(&bytes).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn random_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        decode_as_all_types(&bytes);
    }

    #[test]
    fn damaged_values_cause_no_panic(
        sample in any::<prop::sample::Index>(),
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        length in any::<prop::sample::Index>(),
    ) {
        let samples = samples();
        let mut bytes = sample.get(&samples).clone();
        let position = position.index(bytes.len());
        bytes[position] = byte;
        decode_as_all_types(&bytes);
        bytes.truncate(length.index(bytes.len()));
        decode_as_all_types(&bytes);
    }
}
