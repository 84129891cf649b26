//! A host that has more work than it can process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clayplank_forward::{Directory, EntryBuilder};
use clayplank_registry::UpstreamStatus;
use clayplank_routes::{RequestKind, Route};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::harness::{
    Host, TestPlacer, answering_upstream, plain_service, read_some, record, route,
};

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\n";

const REQUEST: &str = "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
    content-length: 0\r\n\r\n";

/// Starts as many requests as a host has to have in progress to be overloaded, at an upstream that
/// does not answer and then drains.
async fn hold_requests(host: &Host, directory: &Directory) -> (TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut silent = record("silent", listener.local_addr().unwrap());
    directory.apply(vec![silent.clone()]);
    let mut callers = Vec::new();
    while host.gate.in_progress() < 32 {
        callers.push(host.send().await);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    silent.heartbeat.standing = UpstreamStatus::Draining;
    silent.heartbeat.sequence += 1;
    directory.apply(vec![silent]);
    (listener, callers)
}

async fn readiness_becomes(host: &Host, expected: bool) {
    while host.gate.is_ready() != expected {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a host that accepts callers whom it can only serve late, while other hosts are idle.
#[tokio::test]
async fn an_overloaded_host_closes_new_connections_and_serves_open_ones() {
    let directory = Arc::new(Directory::default());
    let host = Host::start(
        EntryBuilder::default(),
        Route { max_attempts: 1, ..route(RequestKind::Repeatable) },
        plain_service(),
        Arc::clone(&directory),
        Arc::new(TestPlacer::default()),
    )
    .await;
    let held = hold_requests(&host, &directory).await;
    directory.apply(vec![answering_upstream("u0", &[HEAD]).await]);
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
    drop(held);
    readiness_becomes(&host, true).await;
    let mut new = host.connect().await;
    new.write_all(REQUEST.as_bytes()).await.unwrap();
    assert!(read_some(&mut new).await.starts_with("HTTP/1.1 200"));
}
