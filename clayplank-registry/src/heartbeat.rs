//! What an upstream tells of itself.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

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

/// One heartbeat of an upstream. The id names one life of its process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// This life of the upstream.
    pub id: UpstreamId,
    /// Rises with each heartbeat, so that a late one is told apart.
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
}

impl Default for Heartbeat {
    fn default() -> Self {
        Self {
            id: UpstreamId::default(),
            sequence: 0,
            service: String::new(),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0),
            data_centre: DataCentre::default(),
            slots: 0,
            standing: Standing::Ready,
        }
    }
}

impl Heartbeat {
    /// What tells that an upstream left, with what was known of it.
    pub fn gone(id: &UpstreamId, known: Option<Self>) -> Self {
        let known = known.unwrap_or_else(|| Self { id: id.clone(), ..Self::default() });
        Self { standing: Standing::Gone, ..known }
    }
}
