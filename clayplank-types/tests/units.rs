//! Ids, length bands, prefix hashes and token estimates.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_types::{
    AccountId, AttemptId, LengthBands, RefusalReason, TokenRatio, prefix_hashes,
};

#[test]
fn ids_are_parsed_from_their_text() {
    let attempt = AttemptId::random();
    assert_eq!(attempt.to_string().parse::<AttemptId>().unwrap(), attempt);
    assert!("xyz".parse::<AttemptId>().is_err());
    let account: AccountId = "dala/times".parse().unwrap();
    assert_eq!(account.to_string(), "dala/times");
    assert!("dala".parse::<AccountId>().is_err());
}

#[test]
fn bands_include_their_upper_bound() {
    let bands = LengthBands::new(vec![10, 20]).unwrap();
    assert_eq!([0, 10, 11, 20, 21].map(|tokens| bands.index_of(tokens)), [0, 0, 1, 1, 2]);
    assert!(LengthBands::new(vec![10, 10]).is_err());
}

#[test]
fn equal_hashes_mean_equal_prefixes() {
    let (left, right) = (b"aaaabbbbcccc", b"aaaabbbbdddd");
    let (left, right) = (prefix_hashes(left, 4), prefix_hashes(right, 4));
    assert_eq!(left[..2], right[..2]);
    assert_ne!(left[2], right[2]);
    assert_eq!(prefix_hashes(b"aaa", 4), Vec::<u64>::new());
}

#[test]
fn a_text_has_at_least_one_token() {
    assert_eq!([0, 1, 4, 5].map(|size| TokenRatio::default().tokens(size)), [1, 1, 1, 2]);
}

#[test]
fn a_refusal_reason_serializes_to_its_name() {
    let reason = RefusalReason::DeadlineOutOfReach;
    assert_eq!(serde_json::to_value(reason).unwrap(), reason.as_str());
}
