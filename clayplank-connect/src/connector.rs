//! Opens connections to upstreams and observes which of them can be reached.

use std::fmt::Write as _;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Mutex, MutexGuard, PoisonError};

use clayplank_clock::now_ms;
use tokio::net::TcpStream;

use crate::reachability::Reachability;
use crate::socket::open;

/// Results of connections, and counts of them.
#[derive(Debug, Default)]
struct Observed {
    reachability: Reachability,
    connected: u64,
    failed: u64,
    /// Whether the last line on this stated that the host is cut off.
    is_logged_cut_off: bool,
}

/// Opens the connections of this host to upstreams.
#[derive(Debug, Default)]
pub struct Connector {
    /// Local address of all connections; `None` if the operating system chooses one.
    source: Option<IpAddr>,
    observed: Mutex<Observed>,
}

impl Connector {
    /// Creates a connector whose connections come from the given address of this host.
    pub fn with_source(source: Option<IpAddr>) -> Self {
        Self { source, ..Self::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Observed> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a connection to an upstream.
    ///
    /// # Errors
    /// The upstream refused the connection, or did not answer in time.
    pub async fn connect(&self, address: SocketAddr) -> Result<TcpStream, io::Error> {
        let opened = open(address, self.source).await;
        self.record(address, opened.is_ok());
        opened
    }

    fn record(&self, address: SocketAddr, is_connected: bool) {
        let now_ms = now_ms();
        let mut observed = self.lock();
        if is_connected {
            observed.connected += 1;
            observed.reachability.record_connected(now_ms, address);
        } else {
            observed.failed += 1;
            observed.reachability.record_failed(now_ms, address);
        }
        observed.log_change(now_ms);
    }

    /// Whether this host seems to reach no upstream.
    pub fn is_cut_off(&self) -> bool {
        self.lock().reachability.is_cut_off(now_ms())
    }

    /// Metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        let now_ms = now_ms();
        let observed = self.lock();
        let mut text = String::new();
        for (outcome, count) in [("connected", observed.connected), ("failed", observed.failed)] {
            let labels = format!("outcome=\"{outcome}\"");
            writeln!(text, "clayplank_entry_connections_total{{{labels}}} {count}").ok();
        }
        let unreached = observed.reachability.count_failed(now_ms);
        let is_cut_off = u8::from(observed.reachability.is_cut_off(now_ms));
        writeln!(text, "clayplank_entry_unreached_upstreams {unreached}").ok();
        writeln!(text, "clayplank_entry_cut_off {is_cut_off}").ok();
        text
    }
}

impl Observed {
    /// Logs when this host no longer reaches any upstream, and when it reaches one again.
    fn log_change(&mut self, now_ms: u64) {
        let is_cut_off = self.reachability.is_cut_off(now_ms);
        if std::mem::replace(&mut self.is_logged_cut_off, is_cut_off) == is_cut_off {
            return;
        }
        let unreached = self.reachability.count_failed(now_ms);
        if is_cut_off {
            log::warn!(target: "forward", unreached = unreached; "Cut off from all upstreams");
        } else {
            log::info!(target: "forward", unreached = unreached; "Reaches upstreams again");
        }
    }
}
