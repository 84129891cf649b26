//! What an upstream tells of itself.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::Range;

use clayplank_types::{DataCentre, UpstreamId};
use serde::{Deserialize, Serialize};

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It does.
    #[default]
    Ready,
    /// It finishes what it has.
    Draining,
    /// It left.
    Gone,
}

/// One heartbeat of an upstream.
///
/// An upstream keeps its name when it starts again, and holds and knows nothing of before then: its
/// name and the time of its start together name one life. All that is known, placed or set aside
/// is kept by that id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// This life of the upstream; see [`Heartbeat::named`].
    #[serde(default)]
    pub id: UpstreamId,
    /// What the upstream calls itself in all its lives.
    #[serde(default)]
    pub name: String,
    /// When this life began, in ms since 1970 by the upstream's clock; 0 if it does not say so.
    #[serde(default)]
    pub born_ms: u64,
    /// Rises with each heartbeat of a life, so that a late one is told apart.
    pub sequence: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub standing: Standing,
    /// For how much longer it is cold, in ms: it bears only so many requests a second meanwhile.
    #[serde(default)]
    pub cold_left_ms: u64,
}

impl Default for Heartbeat {
    fn default() -> Self {
        Self {
            id: UpstreamId::default(),
            name: String::new(),
            born_ms: 0,
            sequence: 0,
            service: String::new(),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0),
            data_centre: DataCentre::default(),
            slots: 0,
            standing: Standing::Ready,
            cold_left_ms: 0,
        }
    }
}

/// Between the name and the start of an upstream in the id of a life.
const LIFE_MARK: char = '@';

/// The sign after [`LIFE_MARK`], before which all lives of a name lie in the order of ids.
const AFTER_LIFE_MARK: char = 'A';

impl Heartbeat {
    /// The same of an upstream with this name: the id of its life follows from the name and
    /// `born_ms`.
    pub fn named(self, name: &str) -> Self {
        let id = match self.born_ms {
            0 => UpstreamId::new(name),
            born_ms => UpstreamId::new(format!("{name}{LIFE_MARK}{born_ms}")),
        };
        Self { id, name: name.to_owned(), ..self }
    }

    /// Whether something can be reached at the address that it tells.
    pub fn is_reachable(&self) -> bool {
        self.address.port() != 0 && !self.address.ip().is_unspecified()
    }

    /// What tells that an upstream left which does not say in which life: the newest, as a rule.
    pub fn gone(name: &str) -> Self {
        Self { standing: Standing::Gone, ..Self::default() }.named(name)
    }
}

/// All ids that lives of this name may have, but for the one of a life without a time of start.
pub fn life_ids(name: &str) -> Range<UpstreamId> {
    let bound = |mark| UpstreamId::new(format!("{name}{mark}"));
    bound(LIFE_MARK)..bound(AFTER_LIFE_MARK)
}
