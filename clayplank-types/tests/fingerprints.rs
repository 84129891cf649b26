//! Fingerprints of requests: what makes two of them the same, and what a digest costs.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(clippy::print_stdout, reason = "the cost is printed, and judged by nobody's clock")]

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

/// Prints the cost of one digest; a body of 4 MB took 2.8 ms, one of 1 kB 0.001 ms, when it was measured last.
#[test]
#[ignore = "prints a figure for the docs; run with --release --ignored --nocapture"]
fn fingerprint_cost() {
    for bytes in [1_000, 20_000, 4_000_000] {
        let body = vec![7; bytes];
        let began = std::time::Instant::now();
        let rounds = 50;
        for _ in 0..rounds {
            std::hint::black_box(RequestFingerprint::of(&RequestIdentity { body: &body, ..FIRST }));
        }
        println!(
            "{bytes} bytes: {:.4} ms",
            began.elapsed().as_secs_f64() * 1e3 / f64::from(rounds)
        );
    }
}
