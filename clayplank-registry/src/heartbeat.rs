//! Heartbeats of upstreams.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::Range;

use clayplank_types::{DataCentre, UpstreamId};
use serde::{Deserialize, Serialize};

/// Status of an upstream with regard to new requests, as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamStatus {
    /// It accepts new requests.
    #[default]
    Ready,
    /// It completes its requests and accepts no new ones.
    Draining,
    /// It departed.
    Gone,
}

/// One heartbeat of an upstream.
///
/// An upstream keeps its name when it restarts, and retains nothing from before the restart. Its
/// name and start time together identify one incarnation, and all state about an upstream, such as
/// its record, placements and reservations, is keyed by the id of the incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Id of this incarnation of the upstream; see [`Heartbeat::with_name`].
    #[serde(default)]
    pub id: UpstreamId,
    /// Name of the upstream, the same for all its incarnations.
    #[serde(default)]
    pub name: String,
    /// Start time of this incarnation, in ms since 1970 by the upstream's clock; 0 if it is not
    /// reported.
    #[serde(default)]
    pub born_ms: u64,
    /// Sequence number, which increases with each heartbeat of an incarnation, so that late
    /// heartbeats are recognized.
    pub sequence: u64,
    /// Name of the service to which the upstream belongs.
    pub service: String,
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Data centre in which the upstream runs.
    pub data_centre: DataCentre,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Status of the upstream.
    pub standing: UpstreamStatus,
    /// Remaining duration of the cold period, in ms, during which the upstream accepts only a
    /// limited number of requests per second.
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
            standing: UpstreamStatus::Ready,
            cold_left_ms: 0,
        }
    }
}

/// Separates the name from the start time in the id of an incarnation.
const INCARNATION_SEPARATOR: char = '@';

/// The character that follows [`INCARNATION_SEPARATOR`], which bounds the range of ids of a name's
/// incarnations.
const AFTER_INCARNATION_SEPARATOR: char = 'A';

impl Heartbeat {
    /// Sets the name, and the id that follows from the name and `born_ms`.
    pub fn with_name(self, name: &str) -> Self {
        let id = match self.born_ms {
            0 => UpstreamId::new(name),
            born_ms => UpstreamId::new(format!("{name}{INCARNATION_SEPARATOR}{born_ms}")),
        };
        Self { id, name: name.to_owned(), ..self }
    }

    /// Whether the reported address can be connected to: its port is not 0 and its IP address is
    /// specified.
    pub fn is_reachable(&self) -> bool {
        self.address.port() != 0 && !self.address.ip().is_unspecified()
    }

    /// A departure notice that does not identify the incarnation; as a rule the latest one departs.
    pub fn departure(name: &str) -> Self {
        Self { standing: UpstreamStatus::Gone, ..Self::default() }.with_name(name)
    }
}

/// Range of the ids of all incarnations of this name, except that of an incarnation without a start
/// time.
pub fn incarnation_ids(name: &str) -> Range<UpstreamId> {
    let bound = |separator| UpstreamId::new(format!("{name}{separator}"));
    bound(INCARNATION_SEPARATOR)..bound(AFTER_INCARNATION_SEPARATOR)
}
