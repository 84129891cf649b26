//! Where placements come from: an edge of the process.

use std::future::Future;
use std::pin::Pin;

use clayplank_placement::{Ask, Event, Placed, PlacementId};

/// A future behind an edge.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Chooses engines for prompts, here or at another host.
pub trait Placer: Send + Sync + 'static {
    /// Chooses engines for a prompt, within a short time.
    fn place<'a>(&'a self, ask: &'a Ask) -> BoxFuture<'a, Placed>;

    /// Takes in what became of a placement.
    fn note(&self, id: PlacementId, event: Event);

    /// Names the next placement.
    fn next_id(&self) -> PlacementId;
}
