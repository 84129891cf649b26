//! Upstreams to which this host connects on behalf of its peers.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use clayplank_connect::UpstreamAccess;
use clayplank_registry::UpstreamStatus;
use clayplank_types::UpstreamId;

use crate::clock::now_ms;
use crate::directory::{Directory, Inner};

impl Inner {
    /// Upstreams at an address that have not departed.
    pub(crate) fn running_at(&self, address: SocketAddr) -> impl Iterator<Item = &UpstreamId> {
        let heartbeats = self.records.values().map(|record| &record.heartbeat);
        let running = heartbeats
            .filter(move |one| one.address == address && one.standing != UpstreamStatus::Gone);
        running.map(|one| &one.id)
    }
}

impl UpstreamAccess for Directory {
    fn is_open(&self, address: SocketAddr) -> bool {
        let now_ms = now_ms();
        let inner = self.lock();
        inner.running_at(address).any(|id| inner.backoff_left_ms(now_ms, id) == 0)
    }

    fn wait_until_not_accepting(
        &self,
        address: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = ()> + Send + '_>> {
        Box::pin(self.wait_until_none_accepting(address))
    }

    fn record_backoff(&self, address: SocketAddr, backoff_ms: u64) {
        let upstreams: Vec<_> = self.lock().running_at(address).cloned().collect();
        upstreams.iter().for_each(|id| self.record_backoff(id, backoff_ms));
    }
}
