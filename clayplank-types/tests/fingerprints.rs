//! Fingerprints of requests: what makes two of them the same.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_types::{RequestFingerprint, RequestIdentity};
use rstest::rstest;

const FIRST: RequestIdentity<'_> =
    RequestIdentity { caller: "clubs", host: "dala.example", path: "/results/2?a=1", body: b"ab" };

#[test]
fn the_same_request_has_the_same_fingerprint() {
    assert_eq!(RequestFingerprint::of(&FIRST), RequestFingerprint::of(&FIRST.clone()));
}

#[rstest]
#[case::caller(RequestIdentity { caller: "halls", ..FIRST })]
#[case::host(RequestIdentity { host: "other.example", ..FIRST })]
#[case::path(RequestIdentity { path: "/results/3?a=1", ..FIRST })]
#[case::query(RequestIdentity { path: "/results/2?a=2", ..FIRST })]
#[case::body(RequestIdentity { body: b"ac", ..FIRST })]
#[case::parts_that_move(RequestIdentity { path: "/results/2?a=1a", body: b"b", ..FIRST })]
#[case::no_caller(RequestIdentity { caller: "", ..FIRST })]
fn another_request_has_another_fingerprint(#[case] other: RequestIdentity<'_>) {
    assert_ne!(RequestFingerprint::of(&FIRST), RequestFingerprint::of(&other));
}

#[test]
fn a_fingerprint_is_read_back_from_its_text() {
    let fingerprint = RequestFingerprint::of(&FIRST);
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    assert_eq!(RequestFingerprint::new(7).to_string(), "00000000000000000000000000000007");
    assert!("7".parse::<RequestFingerprint>().is_err());
    assert!("0000000000000000000000000000000g".parse::<RequestFingerprint>().is_err());
}
