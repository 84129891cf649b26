//! Tunnels: connections that a peer opens for a host whose own links to an upstream are broken.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_connect::{
    ConnectError, Connector, TunnelServer, UpstreamAccess, UpstreamStream, is_tunnel_request,
};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Upstreams of a peer.
#[derive(Debug, Default)]
struct Access {
    is_closed: AtomicBool,
    backoffs: Mutex<Vec<(SocketAddr, u64)>>,
}

impl UpstreamAccess for Access {
    fn is_open(&self, _: SocketAddr) -> bool {
        !self.is_closed.load(Ordering::SeqCst)
    }

    fn wait_until_not_accepting(
        &self,
        _: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = ()> + Send + '_>> {
        Box::pin(std::future::pending())
    }

    fn record_backoff(&self, address: SocketAddr, backoff_ms: u64) {
        self.backoffs.lock().unwrap().push((address, backoff_ms));
    }
}

/// A peer that reaches all upstreams.
struct Peer {
    address: SocketAddr,
    access: Arc<Access>,
    server: Arc<TunnelServer>,
    /// Number of connections of other hosts.
    asked: Arc<AtomicU64>,
    /// Task that serves all connections; aborting it closes them.
    task: JoinHandle<()>,
}

impl Peer {
    async fn start() -> Self {
        Self::start_with(Arc::new(Connector::default())).await
    }

    async fn start_with(connector: Arc<Connector>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (access, asked) = (Arc::new(Access::default()), Arc::new(AtomicU64::new(0)));
        let server = Arc::new(TunnelServer::new(connector, access.clone()));
        let (serving, counted) = (Arc::clone(&server), Arc::clone(&asked));
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                counted.fetch_add(1, Ordering::SeqCst);
                let server = Arc::clone(&serving);
                connections.spawn(async move {
                    assert!(is_tunnel_request(&stream).await.unwrap());
                    server.serve(stream).await;
                });
            }
        });
        Self { address, access, server, asked, task }
    }
}

/// Address at which nothing listens, so that a direct connection is refused.
async fn refusing_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// A host whose own connections are refused: they come from an address that it does not have.
fn cut_off_host(peers: &[&Peer]) -> Connector {
    let connector = Connector::with_source(Some("192.0.2.1".parse().unwrap()));
    connector.set_tunnel_hosts(peers.iter().map(|peer| peer.address).collect());
    connector
}

/// An upstream that sends `answer` to each request of one byte, and then closes or resets.
async fn start_upstream(answer: Vec<u8>, resets: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                stream.read_u8().await.unwrap();
                stream.write_all(&answer).await.unwrap();
                if resets {
                    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                }
            });
        }
    });
    address
}

async fn read_answer(stream: &mut UpstreamStream) -> (Vec<u8>, std::io::Result<usize>) {
    stream.write_all(b"?").await.unwrap();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer).await;
    (answer, read)
}

#[tokio::test]
async fn a_host_without_links_reaches_an_upstream_through_a_peer() {
    let peer = Peer::start().await;
    let answer: Vec<u8> = (0..200_000).map(|number: u32| number as u8).collect();
    let upstream = start_upstream(answer.clone(), false).await;
    let mut stream = cut_off_host(&[&peer]).connect(upstream).await.unwrap();
    assert_eq!(stream.tunnel_host(), Some(peer.address));
    let (read, end) = read_answer(&mut stream).await;
    assert!(read == answer && end.is_ok());
}

/// An answer without a length ends with its connection.
#[tokio::test]
async fn an_answer_that_breaks_at_the_upstream_does_not_look_complete() {
    let peer = Peer::start().await;
    let upstream = start_upstream(b"part".to_vec(), true).await;
    let mut stream = cut_off_host(&[&peer]).connect(upstream).await.unwrap();
    let (_, end) = read_answer(&mut stream).await;
    assert!(end.is_err());
}

#[tokio::test]
async fn an_answer_does_not_look_complete_if_the_peer_ends() {
    let peer = Peer::start().await;
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = upstream.local_addr().unwrap();
    let mut stream = cut_off_host(&[&peer]).connect(address).await.unwrap();
    let (mut accepted, _) = upstream.accept().await.unwrap();
    accepted.write_all(b"part").await.unwrap();
    let mut part = [0; 4];
    stream.read_exact(&mut part).await.unwrap();
    peer.task.abort();
    assert!(stream.read_u8().await.is_err());
}

#[tokio::test]
async fn an_upstream_is_left_as_soon_as_the_host_abandons_a_request() {
    let peer = Peer::start().await;
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = cut_off_host(&[&peer]).connect(upstream.local_addr().unwrap()).await.unwrap();
    let (mut accepted, _) = upstream.accept().await.unwrap();
    drop(stream);
    let mut rest = Vec::new();
    let left = tokio::time::timeout(Duration::from_secs(20), accepted.read_to_end(&mut rest)).await;
    assert_eq!(left.unwrap().unwrap(), 0);
}

/// A peer that was frozen, or whose link was, passed the bytes on long after they had been sent.
#[tokio::test]
async fn bytes_of_a_request_that_come_late_are_not_passed_on() {
    let peer = Peer::start().await;
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut stream = cut_off_host(&[&peer]).connect(upstream.local_addr().unwrap()).await.unwrap();
    let (mut accepted, _) = upstream.accept().await.unwrap();
    stream.write_all(b"head").await.unwrap();
    tokio::time::sleep(Duration::from_secs(2)).await;
    stream.write_all(b"body").await.unwrap();
    let mut passed = Vec::new();
    let end = tokio::time::timeout(Duration::from_secs(20), accepted.read_to_end(&mut passed));
    assert!(end.await.is_ok(), "the connection stays open");
    assert_eq!(String::from_utf8_lossy(&passed), "head");
}

#[tokio::test]
async fn an_upstream_that_a_peer_does_not_reach_either_is_at_fault() {
    let peer = Peer::start().await;
    let host = cut_off_host(&[&peer]);
    for _ in 0..2 {
        let failed = host.connect(refusing_address().await).await.unwrap_err();
        assert!(matches!(failed, ConnectError::Upstream(_)), "{failed}");
    }
}

#[tokio::test]
async fn a_host_that_nobody_helps_blames_no_upstream_once_it_is_cut_off() {
    let host = cut_off_host(&[]);
    for _ in 0..2 {
        let failed = host.connect(refusing_address().await).await;
        assert!(matches!(failed, Err(ConnectError::Upstream(_))));
    }
    let failed = host.connect(refusing_address().await).await;
    assert!(matches!(failed, Err(ConnectError::CutOff(_))));
    assert!(host.is_cut_off());
}

#[tokio::test]
async fn a_peer_without_links_is_passed_over_and_opens_no_tunnel_itself() {
    let other = Peer::start().await;
    let without_links = Arc::new(cut_off_host(&[&other]));
    let peer = Peer::start_with(Arc::clone(&without_links)).await;
    for _ in 0..3 {
        without_links.connect(refusing_address().await).await.unwrap_err();
    }
    let asked = other.asked.load(Ordering::SeqCst);
    let upstream = start_upstream(b"x".to_vec(), false).await;
    cut_off_host(&[&peer]).connect(upstream).await.unwrap_err();
    assert_eq!(other.asked.load(Ordering::SeqCst), asked);
    assert!(
        peer.server.metrics_text().contains("clayplank_tunnel_requests_total{reply=\"no_path\"} 1")
    );
    let stream = cut_off_host(&[&peer, &other]).connect(upstream).await.unwrap();
    assert_eq!(stream.tunnel_host(), Some(other.address));
}

/// Guards against giving up an upstream that one peer does not reach, as a link of the peer is cut.
#[tokio::test]
async fn an_upstream_is_reached_through_the_next_peer_if_one_does_not_reach_it() {
    let upstream = start_upstream(b"whole".to_vec(), false).await;
    for _ in 0..8 {
        let without_links = Connector::with_source(Some("192.0.2.1".parse().unwrap()));
        let peers = [Peer::start_with(Arc::new(without_links)).await, Peer::start().await];
        let stream = cut_off_host(&[&peers[0], &peers[1]]).connect(upstream).await.unwrap();
        assert_eq!(stream.tunnel_host(), Some(peers[1].address));
    }
}

#[tokio::test]
async fn a_peer_connects_only_to_upstreams_that_it_knows() {
    let peer = Peer::start().await;
    peer.access.is_closed.store(true, Ordering::SeqCst);
    let upstream = start_upstream(b"x".to_vec(), false).await;
    cut_off_host(&[&peer]).connect(upstream).await.unwrap_err();
    assert!(peer.server.metrics_text().contains("reply=\"declined\"} 1"));
}

/// The upstream takes the peer for the sender of the request.
#[tokio::test]
async fn a_peer_learns_of_a_backoff_that_an_upstream_requested_through_it() {
    let peer = Peer::start().await;
    let upstream = refusing_address().await;
    cut_off_host(&[&peer]).report_backoff(peer.address, upstream, 3_000).await;
    assert_eq!(*peer.access.backoffs.lock().unwrap(), [(upstream, 3_000)]);
}

#[tokio::test]
async fn a_host_with_sound_links_asks_no_peer() {
    let peer = Peer::start().await;
    let host = Connector::default();
    host.set_tunnel_hosts(vec![peer.address]);
    let upstream = start_upstream(b"x".to_vec(), false).await;
    for _ in 0..5 {
        let stream = host.connect(upstream).await.unwrap();
        assert_eq!(stream.tunnel_host(), None);
    }
    assert_eq!(peer.asked.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_host_uses_its_own_links_again_once_they_are_restored() {
    let peer = Peer::start().await;
    let host = Connector::default();
    host.set_tunnel_hosts(vec![peer.address]);
    let address = refusing_address().await;
    host.connect(address).await.unwrap_err();
    let listener = TcpListener::bind(address).await.unwrap();
    let stream = host.connect(address).await.unwrap();
    assert_eq!(stream.tunnel_host(), None);
    drop(listener);
}

/// Requests of a host that is cut off are answered at once, so one after the other would load the
/// keepers.
#[tokio::test(start_paused = true)]
async fn a_host_that_gets_no_list_of_peers_requests_it_once_a_second() {
    let host = cut_off_host(&[]);
    for _ in 0..3 {
        host.connect(refusing_address().await).await.unwrap_err();
    }
    for _ in 0..3 {
        tokio::time::advance(Duration::from_secs(1)).await;
        assert!(host.take_tunnel_hosts_request());
        assert!(!host.take_tunnel_hosts_request());
    }
}

#[tokio::test]
async fn bytes_that_are_no_request_close_the_connection() {
    let peer = Peer::start().await;
    for bytes in [&b"TUNX"[..], b"TUN1\xff", b"TUN1\x02\xff\xff", b"T"] {
        let mut stream = TcpStream::connect(peer.address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut reply = Vec::new();
        // A reset is as good as a close.
        stream.read_to_end(&mut reply).await.ok();
        assert!(reply.is_empty());
    }
}
