//! Backoffs that upstreams request, and upstreams that state that they are leaving.

use std::sync::Arc;
use std::time::{Duration, Instant};

use clayplank_forward::{Directory, EntryBuilder};
use clayplank_routes::RequestKind;
use clayplank_types::UpstreamId;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::harness::{Host, NoPlacer, plain_service, read_some, record, route};

/// Head of a refusal by the upstream itself, to this attempt; tests append more headers.
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nx-clayplank-attempt-id: a\r\n\
    x-clayplank-not-run: 1\r\n";

/// The backoff left after an upstream gave these answers, each to one request.
async fn backoff_after(answers: &[String]) -> Duration {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let directory = Arc::new(Directory::default());
    directory.apply(vec![record("u", listener.local_addr().unwrap())]);
    let responses = answers.to_vec();
    tokio::spawn(async move {
        for answer in responses {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_some(&mut stream).await;
            stream
                .write_all(format!("{answer}content-length: 2\r\n\r\nok").as_bytes())
                .await
                .unwrap();
        }
    });
    let host = Host::start(
        EntryBuilder::default(),
        route(RequestKind::Unrepeatable),
        plain_service(),
        Arc::clone(&directory),
        Arc::new(NoPlacer),
    )
    .await;
    for _ in answers {
        let mut caller = host.connect().await;
        let request = "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
            connection: close\r\ncontent-length: 0\r\n\r\n";
        caller.write_all(request.as_bytes()).await.unwrap();
        read_some(&mut caller).await;
    }
    directory.backoff_left(&UpstreamId::new("u"))
}

#[rstest]
#[case::seconds("retry-after: 30\r\n", 30.0)]
#[case::fraction("retry-after: 29.5\r\n", 29.5)]
#[case::date(
    "date: Mon, 14 Sep 2026 22:28:30 GMT\r\nretry-after: Mon, 14 Sep 2026 22:29:00 GMT\r\n",
    30.0
)]
#[case::past_date(
    "date: Mon, 14 Sep 2026 22:28:30 GMT\r\nretry-after: Mon, 14 Sep 2026 22:28:00 GMT\r\n",
    0.0
)]
#[case::date_without_the_current_one("retry-after: Mon, 14 Sep 2026 22:29:00 GMT\r\n", 0.0)]
#[case::absent("", 0.0)]
#[case::zero("retry-after: 0\r\n", 0.0)]
#[case::negative("retry-after: -3\r\n", 0.0)]
#[case::not_a_number("retry-after: NaN\r\n", 0.0)]
#[case::infinite("retry-after: inf\r\n", 0.0)]
#[case::text("retry-after: soon\r\n", 0.0)]
#[case::empty("retry-after:\r\n", 0.0)]
#[tokio::test]
async fn a_backoff_is_read_from_a_refusal(#[case] header: &str, #[case] seconds: f64) {
    let started_at = Instant::now();
    let left = backoff_after(&[format!("{REFUSAL}{header}")]).await;
    let requested = Duration::from_secs_f64(seconds);
    assert!(left <= requested && left + started_at.elapsed() >= requested, "{left:?}");
}

#[tokio::test]
async fn an_enormous_backoff_does_not_overflow() {
    let left = backoff_after(&[format!("{REFUSAL}retry-after: 1e300\r\n")]).await;
    assert!(left > Duration::from_secs(1_000_000_000), "{left:?}");
}

/// Only a 503 requests a backoff, and only from the upstream that was asked.
#[rstest]
#[case::failure(
    "HTTP/1.1 500 Internal Server Error\r\nx-clayplank-attempt-id: a\r\nretry-after: 30\r\n"
)]
#[case::too_many_requests(
    "HTTP/1.1 429 Too Many Requests\r\nx-clayplank-attempt-id: a\r\nx-clayplank-not-run: 1\r\nretry-after: 30\r\n"
)]
#[case::other_incarnation("HTTP/1.1 421 Misdirected Request\r\nretry-after: 30\r\n")]
#[case::other_attempt(
    "HTTP/1.1 503 Service Unavailable\r\nx-clayplank-attempt-id: b\r\nretry-after: 30\r\n"
)]
#[tokio::test]
async fn no_backoff_is_read_from_another_answer(#[case] head: &str) {
    assert_eq!(backoff_after(&[head.to_owned()]).await, Duration::ZERO);
}
