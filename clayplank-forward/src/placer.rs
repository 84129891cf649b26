//! Interface through which placements are requested.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use clayplank_placement::{Event, PlacementId, PlacementOutcome, PlacementRequest};
use clayplank_registry::LimitObservation;

/// A boxed future, as returned by trait methods.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Answer to a request for a permit to send to an upstream with a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitReply {
    /// The permit is granted; the request may be sent after this time.
    After(Duration),
    /// No permit is granted; none will be available before this time.
    NotBefore(Duration),
    /// No host that grants permits answered.
    Unknown,
}

/// Places prompts on engines, at this or at another host.
pub trait Placer: Send + Sync + 'static {
    /// Chooses engines for a prompt; returns within a short time.
    fn place<'a>(&'a self, request: &'a PlacementRequest) -> BoxFuture<'a, PlacementOutcome>;

    /// Waits for the decision on a request that [`Placer::place`] reported as queued. Dropping the
    /// future removes the request from the queue.
    fn await_turn<'a>(&'a self, request: &'a PlacementRequest) -> BoxFuture<'a, PlacementOutcome>;

    /// Records an event in the life of a placement, such as its end.
    fn record_event(&self, id: PlacementId, event: Event);

    /// Reports the limit that an upstream declared to the keepers, and to the placement at this host.
    fn record_limit(&self, observed: &LimitObservation);

    /// Requests a permit for an upstream with a rate limit; `timeout` bounds the wait for it.
    fn request_permit<'a>(
        &'a self,
        limit: &'a LimitObservation,
        timeout: Duration,
    ) -> BoxFuture<'a, PermitReply>;

    /// Allocates the id of the next placement.
    fn next_id(&self) -> PlacementId;
}
