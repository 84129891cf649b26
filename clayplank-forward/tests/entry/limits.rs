//! What a host takes from answers that name a limit.

use std::sync::Arc;

use clayplank_forward::{Directory, EntryBuilder};
use clayplank_routes::RequestKind;
use clayplank_types::UpstreamId;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::harness::{Host, NoPlacer, plain_service, read_some, record, route};

/// A head of an answer that is the upstream's own, up to what a test adds.
const OWN: &str = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\n";

/// The limit that is known after an upstream gave these answers, to one request each.
async fn limit_after(answers: &[&str]) -> Option<f64> {
    let given: Vec<_> = answers.iter().map(|answer| (*answer).to_owned()).collect();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let directory = Arc::new(Directory::default());
    directory.apply(vec![record("u", listener.local_addr().unwrap())]);
    tokio::spawn(async move {
        for answer in given {
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
    directory.limit(&UpstreamId::new("u"))?.requests_per_s
}

const NAMED: &str = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit: 40.5\r\n";

#[tokio::test]
async fn a_limit_holds_until_an_answer_names_none() {
    assert_eq!(limit_after(&[OWN]).await, None);
    assert_eq!(limit_after(&[NAMED]).await, Some(40.5));
    assert_eq!(limit_after(&[NAMED, OWN]).await, None);
}

#[tokio::test]
async fn a_refusal_names_a_limit_too() {
    let full = "HTTP/1.1 503 Service Unavailable\r\nx-clayplank-attempt-id: a\r\n\
        x-clayplank-not-run: 1\r\nx-clayplank-limit: 0\r\n";
    assert_eq!(limit_after(&[full]).await, Some(0.0));
}

#[tokio::test]
async fn a_limit_that_is_no_rate_changes_nothing() {
    const MALFORMED: [&str; 4] = [
        "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit: -1\r\n",
        "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit: NaN\r\n",
        "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit: few\r\n",
        "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit:\r\n",
    ];
    assert_eq!(limit_after(&MALFORMED).await, None);
    assert_eq!(limit_after(&[NAMED, MALFORMED[0], MALFORMED[2]]).await, Some(40.5));
}

/// The answer may come from another life at the same address, or belong to another request.
#[tokio::test]
async fn a_limit_in_anothers_answer_is_not_the_upstreams() {
    let replaced = "HTTP/1.1 421 Misdirected Request\r\nx-clayplank-limit: 1\r\n";
    let foreign = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: b\r\nx-clayplank-seal: s\r\n\
        x-clayplank-limit: 1\r\n";
    assert_eq!(limit_after(&[replaced]).await, None);
    assert_eq!(limit_after(&[foreign]).await, None);
}
