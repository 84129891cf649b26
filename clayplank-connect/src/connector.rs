//! Opens connections to upstreams: directly, or through a peer where the direct path is broken.
//!
//! Both are tried at once where a direct connection failed before, as in "happy eyeballs" (RFC 8305);
//! elsewhere the direct one has a head start. A host that is cut off thus serves its callers on, and
//! uses its own links again as soon as they are restored.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use clayplank_clock::now_ms;
use tokio::net::TcpStream;

use crate::reachability::Reachability;
use crate::socket::open;
use crate::stream::UpstreamStream;
use crate::tunnel_client::{TunnelStream, open_tunnel, report_backoff};
use crate::tunnel_hosts::TunnelHosts;
use crate::tunnel_protocol::TunnelReply;

/// Time after which a peer is asked while a direct connection is being opened; many times the round
/// trip to the farthest data centre of a region.
const HEAD_START: Duration = Duration::from_millis(150);

/// Time-out for opening a tunnel through one peer.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(250);

/// Minimum interval between two log lines on whether this host is cut off, in ms.
const MIN_LOG_INTERVAL_MS: u64 = 1_000;

/// Default time after which an upstream that drains or has departed receives no more requests, in ms.
const DEFAULT_DRAIN_MS: u64 = 2_000;

/// Part of that time for which a request may be on one of the connections to such an upstream: there
/// are two if it goes through a peer, and the hosts need time to learn that the upstream drains.
const DELIVERY_SHARE: f64 = 0.25;

/// Reason for which no connection to an upstream could be opened.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The upstream refused the connection or did not answer; a peer, if one could be asked, had
    /// the same result.
    #[error(transparent)]
    Upstream(io::Error),
    /// This host reaches no upstream, and no peer could open a tunnel. This says nothing about the
    /// upstream.
    #[error("this host reaches no upstream: {0}")]
    CutOff(io::Error),
}

impl ConnectError {
    /// Whether the upstream's host refused the connection, as nothing listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Upstream(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Reason for which no tunnel could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoTunnel {
    /// A peer did not reach the upstream either.
    Unreachable,
    /// No peer could be asked.
    NoPeer,
}

/// Result of opening a connection, as counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Connected,
    Tunnelled,
    Failed,
}

impl Outcome {
    fn as_str(self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::Tunnelled => "tunnelled",
            Self::Failed => "failed",
        }
    }
}

#[derive(Debug, Default)]
struct State {
    reachability: Reachability,
    tunnel_hosts: TunnelHosts,
    counts: BTreeMap<Outcome, u64>,
    /// Whether the last line on this stated that the host is cut off, and its time in ms.
    is_logged_cut_off: bool,
    logged_at_ms: u64,
}

/// Opens the connections of this host to upstreams.
#[derive(Debug)]
pub struct Connector {
    /// Local address of all direct connections; `None` if the operating system chooses one.
    source: Option<IpAddr>,
    drain_ms: AtomicU64,
    state: Mutex<State>,
}

impl Default for Connector {
    fn default() -> Self {
        Self::with_source(None)
    }
}

impl Connector {
    /// Creates a connector whose direct connections come from the given address of this host.
    pub fn with_source(source: Option<IpAddr>) -> Self {
        Self { source, drain_ms: AtomicU64::new(DEFAULT_DRAIN_MS), state: Mutex::default() }
    }

    /// Sets the time after which an upstream that drains or has departed receives no more requests,
    /// in ms.
    pub fn set_drain_ms(&self, drain_ms: u64) {
        self.drain_ms.store(drain_ms, Ordering::SeqCst);
    }

    /// Time for which a request may be on one connection to an upstream that has stopped accepting
    /// requests.
    pub fn delivery_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms.load(Ordering::SeqCst)).mul_f64(DELIVERY_SHARE)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a connection to an upstream.
    ///
    /// # Errors
    /// The upstream refused the connection or did not answer, or this host is cut off.
    pub async fn connect(&self, address: SocketAddr) -> Result<UpstreamStream, ConnectError> {
        let opened = self.open(address).await;
        let outcome = match &opened {
            Ok(UpstreamStream::Direct(_)) => Outcome::Connected,
            Ok(UpstreamStream::Tunnelled(_)) => Outcome::Tunnelled,
            Err(_) => Outcome::Failed,
        };
        *self.lock().counts.entry(outcome).or_default() += 1;
        opened
    }

    /// Opens a connection in one of the two ways, whichever succeeds first.
    async fn open(&self, address: SocketAddr) -> Result<UpstreamStream, ConnectError> {
        let mut direct = pin!(self.connect_directly(address));
        let head_start = clayplank_clock::timeout(self.head_start(address), direct.as_mut());
        let mut failed = match head_start.await {
            Ok(Ok(stream)) => return Ok(UpstreamStream::Direct(stream)),
            Ok(Err(error)) => Some(error),
            Err(_) => None,
        };
        let mut tunnel = pin!(self.open_tunnel(address));
        let mut no_tunnel = None;
        loop {
            if let Some(cause) = no_tunnel
                && let Some(error) = failed.take()
            {
                return Err(self.connect_error(error, cause));
            }
            tokio::select! {
                biased;
                connected = direct.as_mut(), if failed.is_none() => match connected {
                    Ok(stream) => return Ok(UpstreamStream::Direct(stream)),
                    Err(error) => failed = Some(error),
                },
                tunnelled = tunnel.as_mut(), if no_tunnel.is_none() => match tunnelled {
                    Ok(stream) => {
                        self.record(address, Reachability::record_failed);
                        return Ok(UpstreamStream::Tunnelled(stream));
                    }
                    Err(cause) => no_tunnel = Some(cause),
                },
            }
        }
    }

    /// Reason why neither way to an upstream is open.
    fn connect_error(&self, direct: io::Error, no_tunnel: NoTunnel) -> ConnectError {
        match no_tunnel {
            NoTunnel::NoPeer if self.is_cut_off() => ConnectError::CutOff(direct),
            NoTunnel::NoPeer | NoTunnel::Unreachable => ConnectError::Upstream(direct),
        }
    }

    /// Opens a direct connection within a time-out.
    pub(crate) async fn connect_within(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<TcpStream> {
        match clayplank_clock::timeout(timeout, self.connect_directly(address)).await {
            Ok(connected) => connected,
            Err(_) => {
                self.record(address, Reachability::record_failed);
                Err(io::ErrorKind::TimedOut.into())
            }
        }
    }

    async fn connect_directly(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let opened = open(address, self.source).await;
        let record = match &opened {
            Ok(_) => Reachability::record_connected,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Reachability::record_refused
            }
            Err(_) => Reachability::record_failed,
        };
        self.record(address, record);
        opened
    }

    /// Time for which a direct connection alone is tried.
    fn head_start(&self, address: SocketAddr) -> Duration {
        let now_ms = now_ms();
        let state = self.lock();
        let is_broken =
            state.reachability.is_cut_off(now_ms) || state.reachability.has_failed(now_ms, address);
        if is_broken { Duration::ZERO } else { HEAD_START }
    }

    /// Has one of the peers connect to an upstream. If one does not reach it, the next is asked: the
    /// peer's own link to it may be broken.
    async fn open_tunnel(&self, address: SocketAddr) -> Result<TunnelStream, NoTunnel> {
        let hosts = self.lock().tunnel_hosts.choose(now_ms());
        let mut no_tunnel = NoTunnel::NoPeer;
        for host in hosts {
            let opened = clayplank_clock::timeout(TUNNEL_TIMEOUT, open_tunnel(host, address)).await;
            let cause = match opened {
                Ok(Ok(Ok(stream))) => return Ok(stream),
                Ok(Ok(Err(TunnelReply::Refused))) => return Err(NoTunnel::Unreachable),
                Ok(Ok(Err(TunnelReply::Unreachable))) => {
                    no_tunnel = NoTunnel::Unreachable;
                    continue;
                }
                Ok(Ok(Err(reply))) => reply.as_str().to_owned(),
                Ok(Err(error)) => error.to_string(),
                Err(_) => "timed out".to_owned(),
            };
            log::debug!(target: "forward", "Opened no tunnel through {host}: {cause}.");
            self.lock().tunnel_hosts.avoid(now_ms(), host);
        }
        Err(no_tunnel)
    }

    /// Records the result of a connection.
    fn record(&self, address: SocketAddr, record: fn(&mut Reachability, u64, SocketAddr)) {
        let now_ms = now_ms();
        let mut state = self.lock();
        record(&mut state.reachability, now_ms, address);
        state.log_change(now_ms);
    }

    /// Records that a connection to an upstream broke amid an answer; returns whether the links of
    /// this host may be the cause.
    pub fn record_broken(&self, address: SocketAddr) -> bool {
        let now_ms = now_ms();
        let reachability = &mut self.lock().reachability;
        reachability.record_broken(now_ms, address);
        reachability.may_have_broken_links(now_ms)
    }

    /// Whether this host seems to reach no upstream directly.
    pub fn is_cut_off(&self) -> bool {
        self.lock().reachability.is_cut_off(now_ms())
    }

    /// Whether this host does not reach an upstream, and its own links may be at fault.
    pub(crate) fn may_be_at_fault(&self, address: SocketAddr) -> bool {
        let now_ms = now_ms();
        let reachability = &self.lock().reachability;
        reachability.is_cut_off(now_ms)
            || (reachability.has_failed(now_ms, address) && reachability.is_impaired(now_ms))
    }

    /// Whether a list of peers that may open tunnels should be requested now; if so, counts it as
    /// requested.
    pub fn take_tunnel_hosts_request(&self) -> bool {
        let now_ms = now_ms();
        let mut state = self.lock();
        let is_cut_off = state.reachability.is_cut_off(now_ms);
        state.tunnel_hosts.take_request(now_ms, is_cut_off)
    }

    /// Sets the peers that may open tunnels for this host.
    pub fn set_tunnel_hosts(&self, hosts: Vec<SocketAddr>) {
        self.lock().tunnel_hosts.set(now_ms(), hosts);
    }

    /// Reports to the peer through which an answer came that the upstream requested a backoff, as
    /// the upstream takes the peer for the sender.
    pub async fn report_backoff(&self, host: SocketAddr, upstream: SocketAddr, backoff_ms: u64) {
        let report = report_backoff(host, upstream, backoff_ms);
        match clayplank_clock::timeout(TUNNEL_TIMEOUT, report).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                log::info!(target: "forward", "Could not report a backoff to {host}: {error}.")
            }
            Err(_) => {
                log::info!(target: "forward", "Could not report a backoff to {host} in time.")
            }
        }
    }

    /// Metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        let now_ms = now_ms();
        let state = self.lock();
        let mut text = String::new();
        for outcome in [Outcome::Connected, Outcome::Tunnelled, Outcome::Failed] {
            let count = state.counts.get(&outcome).copied().unwrap_or_default();
            let labels = format!("outcome=\"{}\"", outcome.as_str());
            writeln!(text, "clayplank_entry_connections_total{{{labels}}} {count}").ok();
        }
        let unreached = state.reachability.count_failed(now_ms);
        let is_cut_off = u8::from(state.reachability.is_cut_off(now_ms));
        writeln!(text, "clayplank_entry_unreached_upstreams {unreached}").ok();
        writeln!(text, "clayplank_entry_cut_off {is_cut_off}").ok();
        text
    }
}

impl State {
    /// Logs when this host no longer reaches any upstream, and when it reaches one again.
    fn log_change(&mut self, now_ms: u64) {
        let is_cut_off = self.reachability.is_cut_off(now_ms);
        if self.is_logged_cut_off == is_cut_off || now_ms < self.logged_at_ms + MIN_LOG_INTERVAL_MS
        {
            return;
        }
        self.is_logged_cut_off = is_cut_off;
        self.logged_at_ms = now_ms;
        let unreached = self.reachability.count_failed(now_ms);
        if is_cut_off {
            log::warn!(target: "forward", unreached = unreached; "Cut off from all upstreams");
        } else {
            log::info!(target: "forward", unreached = unreached; "Reaches upstreams again");
        }
    }
}
