//! Where placements come from: an edge of the process.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use clayplank_placement::{Ask, Event, Placed, PlacementId};
use clayplank_registry::ObservedLimit;

/// A future behind an edge.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// When a request may go to an upstream that names a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// After this time: the turn is its own.
    After(Duration),
    /// It has none: there is no turn before this time.
    NotBefore(Duration),
    /// Nobody answers who gives turns.
    Unknown,
}

/// Chooses engines for prompts, here or at another host.
pub trait Placer: Send + Sync + 'static {
    /// Chooses engines for a prompt, within a short time.
    fn place<'a>(&'a self, ask: &'a Ask) -> BoxFuture<'a, Placed>;

    /// Takes in what became of a placement.
    fn note(&self, id: PlacementId, event: Event);

    /// Tells the keepers, and whoever chooses here, what an upstream said of its limit.
    fn note_limit(&self, observed: &ObservedLimit);

    /// Takes a turn at an upstream that names a limit, if there is one within the patience.
    fn take_turn<'a>(&'a self, limit: &'a ObservedLimit, patience: Duration)
    -> BoxFuture<'a, Turn>;

    /// Names the next placement.
    fn next_id(&self) -> PlacementId;
}
