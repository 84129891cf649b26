//! What an attempt takes of an upstream, until it ends.

use std::future::Future;
use std::sync::Arc;

use clayplank_clock::Instant;
use clayplank_placement::{Event, PlacementId};
use clayplank_types::UpstreamId;

use crate::entry::Entry;
use crate::reserve::Reservation;

/// How an attempt ended, as far as it speaks of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The upstream did its work.
    Good,
    /// The upstream answered that it failed, or did not run the request.
    Failed,
    /// The connection broke off, or nothing more came.
    Broken,
    /// No connection could be had.
    Unreached,
}

impl Outcome {
    /// What is told of the placement of an attempt that ended like this.
    fn event(self) -> Event {
        match self {
            Self::Good => Event::Ended,
            Self::Failed => Event::Failed,
            Self::Broken => Event::Broken,
            Self::Unreached => Event::Unreached,
        }
    }
}

/// Gives back what an attempt takes of an upstream, however it ends.
pub(crate) struct LoadGuard {
    entry: Arc<Entry>,
    upstream: UpstreamId,
    placement: Option<PlacementId>,
    /// Engines that read with the upstream.
    helpers: Vec<UpstreamId>,
    failed_helper: Option<usize>,
    started_at: Instant,
    /// `None` until it is known; a caller who leaves before speaks of no upstream.
    outcome: Option<Outcome>,
    /// Memory that other engines hold for the prompt; released when the attempt ends.
    reservation: Option<Reservation>,
    is_over: bool,
}

impl LoadGuard {
    /// An attempt that starts now; `placement` if it was placed on an engine.
    pub(crate) fn new(
        entry: &Arc<Entry>,
        upstream: &UpstreamId,
        placement: Option<PlacementId>,
    ) -> Self {
        Self {
            entry: Arc::clone(entry),
            upstream: upstream.clone(),
            placement,
            helpers: Vec::new(),
            failed_helper: None,
            started_at: Instant::now(),
            outcome: None,
            reservation: None,
            is_over: false,
        }
    }

    /// What comes of a wait on the upstream; `None` once another life stands in its place.
    pub(crate) async fn unless_replaced<T>(&self, wait: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = wait => Some(done),
            () = self.entry.directory.wait_until_replaced(&self.upstream) => None,
        }
    }

    /// Keeps memory of other engines reserved for as long as the attempt.
    pub(crate) fn hold(&mut self, reservation: Reservation) {
        self.reservation = Some(reservation);
    }

    /// The first event came.
    pub(crate) fn note_started(&self) {
        if let Some(id) = self.placement {
            let took_ms = self.started_at.elapsed().as_secs_f64() * 1e3;
            self.entry.placer.note(id, Event::Started { took_ms });
        }
    }

    /// Names the engines that read with the upstream.
    pub(crate) fn set_helpers(&mut self, helpers: Vec<UpstreamId>) {
        self.helpers = helpers;
    }

    /// Notes that a helper failed, and not the upstream; `false` if it is none of its helpers.
    pub(crate) fn note_helper_failed(&mut self, id: &UpstreamId) -> bool {
        self.failed_helper = self.helpers.iter().position(|helper| helper == id);
        self.failed_helper.is_some()
    }

    /// Notes how the attempt ended.
    pub(crate) fn note_outcome(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }

    /// Gives all of it back now: a stream that broke off may wait for seconds until another
    /// upstream goes on, and the memory of the first attempt would be renewed meanwhile.
    pub(crate) fn end(&mut self) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        self.reservation = None;
        let outcome = self.outcome.unwrap_or(Outcome::Good);
        match self.placement {
            Some(id) => {
                let event = match self.failed_helper {
                    Some(position) => Event::HelperFailed { position },
                    None => outcome.event(),
                };
                self.entry.placer.note(id, event);
            }
            None => {
                let took_ms = self.started_at.elapsed().as_millis() as u64;
                let is_good = outcome == Outcome::Good;
                self.entry.directory.note_end(&self.upstream, took_ms, is_good);
            }
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.end();
    }
}
