//! Tests that [`Assembler`] returns each chunk once and in order, whatever the order of arrival.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_upstream::{Assembler, Chunk, ChunkOrderError, Finish};
use proptest::prelude::*;

fn chunk(offset: u64, end: u64) -> Chunk {
    let finish = (offset == end).then(Finish::default);
    Chunk { offset, text: format!("{offset} "), finish }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_order_with_duplicates_gives_each_chunk_once(
        order in (1..40_u64).prop_flat_map(|end| {
            let offsets: Vec<u64> = (0..=end).chain(0..=end).collect();
            (Just(end), Just(offsets).prop_shuffle())
        }),
    ) {
        let (end, offsets) = order;
        let mut assembler = Assembler::default();
        let mut returned = Vec::new();
        for offset in offsets {
            returned.extend(assembler.apply(chunk(offset, end)).unwrap().into_iter().map(|chunk| chunk.offset));
        }
        prop_assert!(assembler.is_complete());
        prop_assert_eq!(returned, (0..=end).collect::<Vec<_>>());
    }

    #[test]
    fn an_answer_with_a_missing_chunk_is_not_complete(end in 1..40_u64, missing in any::<prop::sample::Index>()) {
        let missing = missing.index(end as usize + 1) as u64;
        let mut assembler = Assembler::default();
        for offset in (0..=end).filter(|&offset| offset != missing) {
            assembler.apply(chunk(offset, end)).unwrap();
        }
        prop_assert!(!assembler.is_complete());
        prop_assert_eq!(assembler.next_offset(), missing);
    }
}

#[test]
fn a_chunk_after_the_end_is_an_error() {
    let mut assembler = Assembler::default();
    assembler.apply(chunk(1, 1)).unwrap();
    assert_eq!(assembler.apply(chunk(5, 9)), Err(ChunkOrderError::AfterEnd { offset: 5, end: 1 }));
}

#[test]
fn a_lasting_gap_is_an_error() {
    let mut assembler = Assembler::default();
    let found = (1..200).find_map(|offset| assembler.apply(chunk(offset, 1_000)).err());
    assert_eq!(found, Some(ChunkOrderError::Missing { missing: 0 }));
}

#[test]
fn a_resumed_stream_starts_at_the_first_missing_chunk() {
    let mut assembler = Assembler::default();
    assembler.apply(chunk(0, 3)).unwrap();
    assembler.apply(chunk(2, 3)).unwrap();
    assembler.discard_buffered();
    let resumed: Vec<_> =
        (1..=3).flat_map(|offset| assembler.apply(chunk(offset, 3)).unwrap()).collect();
    assert_eq!(resumed.iter().map(|chunk| chunk.offset).collect::<Vec<_>>(), vec![1, 2, 3]);
    assert!(assembler.is_complete());
}
