//! Load that an attempt puts on an upstream, counted until the attempt ends.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use clayplank_clock::Instant;
use clayplank_placement::{Event, PlacementId};
use clayplank_registry::Heartbeat;
use clayplank_types::UpstreamId;

use crate::answer::Framing;
use crate::entry::Entry;
use crate::reserve::Reservation;
use crate::termination::has_stopped_listening;

/// Result of an attempt, as far as it tells about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The upstream completed its work.
    Good,
    /// The upstream responded that it failed or did not run the request.
    Failed,
    /// The connection broke off, or its time-out passed.
    Broken,
    /// No connection could be opened.
    Unreachable,
    /// This host reaches no upstream, which says nothing about this one.
    CutOff,
}

impl Outcome {
    /// Event that is reported for the placement of an attempt with this outcome.
    fn event(self) -> Event {
        match self {
            Self::Good | Self::CutOff => Event::Ended,
            Self::Failed => Event::Failed,
            Self::Broken => Event::Broken,
            Self::Unreachable => Event::Unreached,
        }
    }
}

/// Releases what an attempt uses of an upstream, however the attempt ends.
pub(crate) struct LoadGuard {
    entry: Arc<Entry>,
    upstream: UpstreamId,
    address: SocketAddr,
    placement: Option<PlacementId>,
    /// Engines that prefill the prompt together with the upstream.
    helpers: Vec<UpstreamId>,
    failed_helper: Option<usize>,
    started_at: Instant,
    /// `None` until it is known; if the caller disconnects before, the attempt does not count
    /// against the upstream.
    outcome: Option<Outcome>,
    /// Memory reserved at other engines for the prompt; released when the attempt ends.
    reservation: Option<Reservation>,
    is_released: bool,
}

impl LoadGuard {
    /// Starts an attempt; `placement` is set if it was placed on an engine.
    pub(crate) fn new(
        entry: &Arc<Entry>,
        upstream: &Heartbeat,
        placement: Option<PlacementId>,
    ) -> Self {
        Self {
            entry: Arc::clone(entry),
            upstream: upstream.id.clone(),
            address: upstream.address,
            placement,
            helpers: Vec::new(),
            failed_helper: None,
            started_at: Instant::now(),
            outcome: None,
            reservation: None,
            is_released: false,
        }
    }

    /// Awaits a future that depends on the upstream; `None` once the upstream has been replaced.
    pub(crate) async fn unless_replaced<T>(&self, wait: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = wait => Some(done),
            () = self.entry.directory.wait_until_replaced(&self.upstream) => None,
        }
    }

    /// Whether the end of the connection completes a body, as opposed to a termination of the
    /// upstream that cut it short. An upstream that has announced its departure may terminate in the
    /// middle of an answer too, earlier than it intended.
    pub(crate) async fn is_complete_at_close(&self, framing: Framing) -> bool {
        match framing {
            Framing::Explicit => true,
            Framing::UntilClose => {
                !has_stopped_listening(&self.entry.connector, self.address).await
            }
        }
    }

    /// Keeps memory of other engines reserved for the duration of the attempt.
    pub(crate) fn set_reservation(&mut self, reservation: Reservation) {
        self.reservation = Some(reservation);
    }

    /// Reports that the first event has arrived.
    pub(crate) fn record_started(&self) {
        if let Some(id) = self.placement {
            let took_ms = self.started_at.elapsed().as_secs_f64() * 1e3;
            self.entry.placer.record_event(id, Event::Started { took_ms });
        }
    }

    /// Sets the engines that prefill the prompt together with the upstream.
    pub(crate) fn set_helpers(&mut self, helpers: Vec<UpstreamId>) {
        self.helpers = helpers;
    }

    /// Records that a helper failed, and not the upstream; `false` if the engine is not one of its
    /// helpers.
    pub(crate) fn record_helper_failed(&mut self, id: &UpstreamId) -> bool {
        self.failed_helper = self.helpers.iter().position(|helper| helper == id);
        self.failed_helper.is_some()
    }

    /// Records how the attempt ended.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }

    /// Records that the connection broke; returns whether the links of this host may be the cause.
    fn may_have_broken_links(&self) -> bool {
        let is_known = self.entry.directory.record(&self.upstream).is_some();
        is_known && self.entry.connector.record_broken(self.address)
    }

    /// Releases everything now: a broken stream may wait for seconds until another upstream
    /// continues it, and the memory reserved for the first attempt would be renewed meanwhile.
    pub(crate) fn release(&mut self) {
        if std::mem::replace(&mut self.is_released, true) {
            return;
        }
        self.reservation = None;
        let outcome = self.outcome.unwrap_or(Outcome::Good);
        match self.placement {
            Some(id) => {
                let event = match self.failed_helper {
                    Some(position) => Event::HelperFailed { position },
                    None if outcome == Outcome::Broken && self.may_have_broken_links() => {
                        Event::Unreached
                    }
                    None => outcome.event(),
                };
                self.entry.placer.record_event(id, event);
            }
            None => {
                let took_ms = self.started_at.elapsed().as_millis() as u64;
                let is_good = matches!(outcome, Outcome::Good | Outcome::CutOff);
                self.entry.directory.record_end(&self.upstream, took_ms, is_good);
            }
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.release();
    }
}
