//! Equality of the fingerprints of requests.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_types::{Fingerprint, RequestIdentity};
use rstest::rstest;

const BASE_REQUEST: RequestIdentity<'_> =
    RequestIdentity { caller: "clubs", host: "dala.example", path: "/results/2?a=1", body: b"ab" };

#[test]
fn the_same_request_has_the_same_fingerprint() {
    assert_eq!(Fingerprint::of(&BASE_REQUEST), Fingerprint::of(&BASE_REQUEST.clone()));
}

#[rstest]
#[case::caller(RequestIdentity { caller: "halls", ..BASE_REQUEST })]
#[case::host(RequestIdentity { host: "other.example", ..BASE_REQUEST })]
#[case::path(RequestIdentity { path: "/results/3?a=1", ..BASE_REQUEST })]
#[case::query(RequestIdentity { path: "/results/2?a=2", ..BASE_REQUEST })]
#[case::body(RequestIdentity { body: b"ac", ..BASE_REQUEST })]
#[case::bytes_moved_from_body_to_path(RequestIdentity { path: "/results/2?a=1a", body: b"b", ..BASE_REQUEST })]
#[case::no_caller(RequestIdentity { caller: "", ..BASE_REQUEST })]
fn another_request_has_another_fingerprint(#[case] other: RequestIdentity<'_>) {
    assert_ne!(Fingerprint::of(&BASE_REQUEST), Fingerprint::of(&other));
}

#[test]
fn a_fingerprint_is_parsed_from_its_text() {
    let fingerprint = Fingerprint::of(&BASE_REQUEST);
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    assert_eq!(Fingerprint::new(7).to_string(), "00000000000000000000000000000007");
    assert!("7".parse::<Fingerprint>().is_err());
    assert!("0000000000000000000000000000000g".parse::<Fingerprint>().is_err());
}
