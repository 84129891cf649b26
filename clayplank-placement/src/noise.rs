//! Random additions to the costs of engines on a standalone host.

use std::cell::RefCell;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Upper bound of the random addition to an engine's cost on a standalone host, as a share of the
/// prompt's weight. It equals the cost of harming one stream.
const STANDALONE_NOISE_SHARE: f64 = 0.5;

/// Source of random additions to the costs of engines. They keep hosts with the same view from
/// sending everything to the same engines.
#[derive(Clone, Debug)]
pub(crate) struct Noise {
    rng: RefCell<SmallRng>,
}

impl Noise {
    pub(crate) fn new(seed: u64) -> Self {
        Self { rng: RefCell::new(SmallRng::seed_from_u64(seed)) }
    }

    /// Draws the addition to the cost of one engine, as a share of the prompt's weight.
    pub(crate) fn draw(&self) -> f64 {
        STANDALONE_NOISE_SHARE * self.rng.borrow_mut().random::<f64>()
    }
}
