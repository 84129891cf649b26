//! Connections to upstreams detect an unresponsive machine by TCP keepalive, also while nothing is sent.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use clayplank_connect::{Connector, UpstreamStream};
use socket2::SockRef;
use tokio::net::TcpListener;

/// Longest time until a failed machine is detected.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(5);

/// Time for which a sound upstream may fall silent.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);

#[tokio::test]
async fn an_idle_connection_is_probed_until_its_peer_counts_as_dead() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let connector = Connector::default();
    let stream = connector.connect(listener.local_addr().unwrap()).await.unwrap();
    let UpstreamStream::Direct(stream) = stream else { panic!("not a direct connection") };
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().unwrap());
    let (first, interval) =
        (socket.tcp_keepalive_time().unwrap(), socket.tcp_keepalive_interval().unwrap());
    let user_timeout = socket.tcp_user_timeout().unwrap().unwrap();
    assert!(user_timeout >= MAX_SILENCE * 2, "{user_timeout:?}");
    // The connection ends with the last probe, or with the first one due after TCP_USER_TIMEOUT.
    let probes = socket.tcp_keepalive_retries().unwrap();
    assert!(first + interval * probes < user_timeout, "{probes} probes from {first:?} on");
    assert!(user_timeout + interval <= MAX_DETECTION_TIME, "{user_timeout:?} and {interval:?}");
}
