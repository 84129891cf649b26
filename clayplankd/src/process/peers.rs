//! Connections to the other hosts.

use std::collections::HashMap;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use clayplank_settings::HostSettings;
use clayplank_types::HostId;
use clayplank_wire::inner_client::InnerClient;
use tonic::transport::{Channel, Endpoint};

/// Time to open a connection to another host: many times the way to the farthest data centre
/// of a region. Calls to a host wait for its connection; one to a host without power gives no
/// answer at all, and its opening packet is sent again only after a second. With 500 ms the
/// first votes after a loss of power met half a second late, and were split.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// A connection whose peer is silent for this long and one more is given up.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// The largest message: a snapshot of the replicated state.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256 << 20;

/// Why another host gave no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    /// It is not in the settings.
    #[error("host `{host}` is not in the settings")]
    NotKnown { host: HostId },
    /// The call failed.
    #[error("host `{host}` did not answer: {code}")]
    Call { host: HostId, code: tonic::Code },
    /// It took too long.
    #[error("host `{host}` did not answer in time")]
    TimedOut { host: HostId },
}

/// A client for each host.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    clients: Arc<Mutex<HashMap<HostId, InnerClient<Channel>>>>,
    /// Where hosts that are named by their address listen for each other.
    inner_port: Option<u16>,
}

impl Peers {
    pub(crate) fn new(settings: &HostSettings) -> Self {
        let clients = settings.hosts.iter().map(|entry| (entry.host.clone(), connect(entry.inner)));
        Self { clients: Arc::new(Mutex::new(clients.collect())), inner_port: None }
    }

    /// Hosts that are named by their address and listen on the same port.
    pub(crate) fn by_address(inner_port: u16) -> Self {
        Self { clients: Arc::default(), inner_port: Some(inner_port) }
    }

    fn client(&self, host: &HostId) -> Option<InnerClient<Channel>> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(host) {
            return Some(client.clone());
        }
        let ip: IpAddr = host.as_str().parse().ok()?;
        let client = connect(SocketAddr::new(ip, self.inner_port?));
        clients.insert(host.clone(), client.clone());
        Some(client)
    }

    /// Calls a host; the call is dropped when `patience` is over.
    pub(crate) async fn call<T, F>(
        &self,
        host: &HostId,
        patience: Duration,
        call: impl FnOnce(InnerClient<Channel>) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let client = self.client(host).ok_or_else(|| PeerError::NotKnown { host: host.clone() })?;
        match clayplank_clock::timeout(patience, call(client)).await {
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
        .http2_keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE)
        .keep_alive_while_idle(true)
        .connect_lazy();
    InnerClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}
