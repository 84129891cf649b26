//! Connections to the peers of this host.

use std::collections::HashMap;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use clayplank_settings::HostSettings;
use clayplank_types::HostId;
use clayplank_wire::inner_client::InnerClient;
use tonic::transport::{Channel, Endpoint};

/// Time-out of opening a connection to a peer: many times the round trip to the farthest data
/// centre of a region. Calls to a peer wait for its connection. A host without power does not
/// answer, and the SYN is sent again only after a second: with 500 ms the first votes after a
/// power failure arrived at the same time, half a second late, and were split.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval of keep-alive pings, and the time-out of their answers: the connection to an
/// unresponsive peer is closed after twice this time.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Size limit of a message; the largest is a snapshot of the replicated state.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256 << 20;

/// Reason for the failure of a call to a peer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    /// The settings do not name the host.
    #[error("host `{host}` is not in the settings")]
    UnknownHost { host: HostId },
    /// The call ended with an error status.
    #[error("host `{host}` did not answer: {code}")]
    Call { host: HostId, code: tonic::Code },
    /// The call exceeded its time-out.
    #[error("host `{host}` did not answer in time")]
    TimedOut { host: HostId },
}

/// gRPC clients by host; connections are opened on first use and shared.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    clients: Arc<Mutex<HashMap<HostId, InnerClient<Channel>>>>,
    /// Port on which hosts that are named by their IP address listen for peers; `None` if the
    /// settings list the peers.
    inner_port: Option<u16>,
}

impl Peers {
    pub(crate) fn new(settings: &HostSettings) -> Self {
        let clients = settings.hosts.iter().map(|entry| (entry.host.clone(), connect(entry.inner)));
        Self { clients: Arc::new(Mutex::new(clients.collect())), inner_port: None }
    }

    /// Clients of hosts that are named by their IP address and all listen on `inner_port`.
    pub(crate) fn with_inner_port(inner_port: u16) -> Self {
        Self { clients: Arc::default(), inner_port: Some(inner_port) }
    }

    /// Address on which a host that is named by its IP address listens for peers.
    pub(crate) fn inner_address(&self, host: &HostId) -> Option<SocketAddr> {
        let ip: IpAddr = host.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, self.inner_port?))
    }

    fn client(&self, host: &HostId) -> Option<InnerClient<Channel>> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(host) {
            return Some(client.clone());
        }
        let client = connect(self.inner_address(host)?);
        clients.insert(host.clone(), client.clone());
        Some(client)
    }

    /// Calls a host; drops the call after `timeout`.
    pub(crate) async fn call<T, F>(
        &self,
        host: &HostId,
        timeout: Duration,
        call: impl FnOnce(InnerClient<Channel>) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let client =
            self.client(host).ok_or_else(|| PeerError::UnknownHost { host: host.clone() })?;
        match clayplank_clock::timeout(timeout, call(client)).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(PeerError::Call { host: host.clone(), code: status.code() }),
            Err(_) => Err(PeerError::TimedOut { host: host.clone() }),
        }
    }
}

fn connect(address: SocketAddr) -> InnerClient<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .unwrap_or_else(|_| Endpoint::from_static("http://0.0.0.0:1"));
    let channel = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
        .keep_alive_while_idle(true)
        .connect_lazy();
    InnerClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}
