//! Connections to upstreams, and what they tell about the network of this host.
//!
//! ```
//! use clayplank_connect::Reachability;
//!
//! let mut reachability = Reachability::default();
//! let [first, second] = ["10.0.0.1:80", "10.0.0.2:80"].map(|text| text.parse().unwrap());
//! reachability.record_failed(0, first);
//! assert!(!reachability.is_cut_off(1));
//! reachability.record_failed(1, second);
//! assert!(reachability.is_cut_off(2));
//! reachability.record_connected(3, first);
//! assert!(!reachability.is_cut_off(4));
//! ```

#![warn(clippy::disallowed_methods, reason = "time-dependent code uses clayplank_clock")]

mod connector;
mod reachability;
mod socket;

pub use connector::Connector;
pub use reachability::Reachability;
pub use socket::set_socket_timeouts;
