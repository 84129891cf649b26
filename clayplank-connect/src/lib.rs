//! Connections to upstreams, and what they tell about the network of this host.
//!
//! A host that does not reach an upstream has a peer connect to it (a tunnel): the peer passes bytes
//! on and decides nothing, so that the host chooses the upstream, sends and repeats its requests as it
//! does over its own links.
//!
//! ```
//! use clayplank_connect::Reachability;
//!
//! let mut reachability = Reachability::default();
//! let upstreams = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"].map(|text| text.parse().unwrap());
//! for upstream in upstreams {
//!     assert!(!reachability.is_cut_off(1));
//!     reachability.record_failed(1, upstream);
//! }
//! assert!(reachability.is_cut_off(2));
//! reachability.record_connected(3, upstreams[0]);
//! assert!(!reachability.is_cut_off(4));
//! ```

#![warn(clippy::disallowed_methods, reason = "time-dependent code uses clayplank_clock")]

mod connector;
mod reachability;
mod socket;
mod stream;
mod tunnel_client;
mod tunnel_hosts;
mod tunnel_protocol;
mod tunnel_server;

pub use connector::{ConnectError, Connector};
pub use reachability::Reachability;
pub use socket::{LIMIT_DURATION, set_socket_timeouts, set_unacknowledged_timeout};
pub use stream::UpstreamStream;
pub use tunnel_client::TunnelStream;
pub use tunnel_server::{TunnelServer, UpstreamAccess, is_tunnel_request};
