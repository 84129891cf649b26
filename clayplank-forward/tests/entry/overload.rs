//! A host that has more work than it can process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clayplank_forward::{Directory, EntryBuilder};
use clayplank_routes::RequestKind;
use tokio::io::AsyncWriteExt;

use crate::harness::{Host, TestPlacer, answering_upstream, plain_service, read_some, route};

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\n";

const REQUEST: &str = "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
    content-length: 0\r\n\r\n";

async fn readiness_becomes(host: &Host, expected: bool) {
    while host.gate.is_ready() != expected {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a host that accepts callers whom it can only serve late, while other hosts are idle.
#[tokio::test]
async fn an_overloaded_host_closes_new_connections_and_serves_open_ones() {
    let directory = Arc::new(Directory::default());
    directory.apply(vec![answering_upstream("u0", &[HEAD]).await]);
    let host = Host::start(
        EntryBuilder::default(),
        route(RequestKind::Repeatable),
        plain_service(),
        directory,
        Arc::new(TestPlacer::default()),
    )
    .await;
    let mut open = host.connect().await;
    open.write_all(REQUEST.as_bytes()).await.unwrap();
    assert!(read_some(&mut open).await.starts_with("HTTP/1.1 200"));

    let is_busy = Arc::new(AtomicBool::new(true));
    let busy = tokio::spawn({
        let is_busy = Arc::clone(&is_busy);
        async move {
            while is_busy.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(150));
                tokio::task::yield_now().await;
            }
        }
    });
    readiness_becomes(&host, false).await;
    let mut new = host.connect().await;
    new.write_all(REQUEST.as_bytes()).await.ok();
    assert_eq!(read_some(&mut new).await, "", "closed unread");
    open.write_all(REQUEST.as_bytes()).await.unwrap();
    assert!(read_some(&mut open).await.starts_with("HTTP/1.1 200"));
    let metrics = host.entry.metrics_text();
    assert!(metrics.contains("clayplank_entry_shed_connections_total 1"), "{metrics}");

    is_busy.store(false, Ordering::SeqCst);
    busy.await.unwrap();
    readiness_becomes(&host, true).await;
    let mut new = host.connect().await;
    new.write_all(REQUEST.as_bytes()).await.unwrap();
    assert!(read_some(&mut new).await.starts_with("HTTP/1.1 200"));
}
