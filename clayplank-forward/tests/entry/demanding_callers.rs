//! Unusual but valid requests of callers.

use std::sync::Arc;

use clayplank_forward::{Directory, EntryBuilder};
use clayplank_routes::RequestKind;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::harness::{
    Host, TestPlacer, answering_upstream, plain_service, read_some, record, route,
};

const VALID: &str = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\n";

/// Header by which a caller demands a version that no upstream has.
const DEMAND: &str = "x-clayplank-expect-version: 9\r\n";

/// Sends a request with further headers, and returns the start of the answer.
async fn call_with(host: &Host, headers: &str) -> String {
    let mut caller = host.connect().await;
    let request = format!(
        "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n{headers}\
         connection: close\r\ncontent-length: 0\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    read_some(&mut caller).await
}

async fn start(directory: Arc<Directory>, kind: RequestKind) -> Host {
    let placer = Arc::new(TestPlacer::default());
    Host::start(EntryBuilder::default(), route(kind), plain_service(), directory, placer).await
}

/// A host took the answer for one of another incarnation, and sent the upstream nothing for two minutes.
#[rstest]
#[case::repeatable(RequestKind::Repeatable)]
#[case::unrepeatable(RequestKind::Unrepeatable)]
#[tokio::test]
async fn an_upstream_that_lacks_a_demanded_version_serves_other_requests(
    #[case] kind: RequestKind,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let directory = Arc::new(Directory::default());
    directory.apply(vec![record("u", listener.local_addr().unwrap())]);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let answer = match read_some(&mut stream).await.contains(DEMAND) {
                true => "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n".to_owned(),
                false => format!("{VALID}content-length: 0\r\n\r\n"),
            };
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    let host = start(directory, kind).await;
    let demanding = call_with(&host, DEMAND).await;
    assert!(demanding.starts_with("HTTP/1.1 503"), "{demanding}");
    let other = call_with(&host, "").await;
    assert!(other.starts_with("HTTP/1.1 200"), "{other}");
}

/// Requests and answers with more than 100 headers were rejected, whatever their size.
#[tokio::test]
async fn requests_and_answers_may_have_several_hundred_headers() {
    let headers = |name: &str| -> String {
        (0..300).map(|number| format!("{name}-{number}: 1\r\n")).collect()
    };
    let directory = Arc::new(Directory::default());
    let head = format!("{VALID}{}", headers("x-b"));
    directory.apply(vec![answering_upstream("u", &[&head]).await]);
    let host = start(directory, RequestKind::Unrepeatable).await;
    let answer = call_with(&host, &headers("x-a")).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("x-b-299: 1"), "{answer}");
}
