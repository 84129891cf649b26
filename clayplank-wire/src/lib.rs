//! The gRPC protocol between the hosts of a deployment: messages, client and server.
//!
//! The code under `generated/` is committed; `cargo run -p clayplank-wire-gen` regenerates it from
//! `proto/inner.proto`.
//!
//! ```
//! use clayplank_wire::{Refused, ReserveReply, reserve_reply};
//!
//! let refused = Refused { reason: "no-engine".to_owned(), retry_after_ms: 500 };
//! let reply = ReserveReply { result: Some(reserve_reply::Result::Refused(refused)), pool_wait_ms: 0 };
//! assert!(matches!(reply.result, Some(reserve_reply::Result::Refused(_))));
//! ```

#[allow(missing_docs, missing_debug_implementations, clippy::all, clippy::pedantic, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/clayplank.inner.v1.rs"]
mod inner;

pub use inner::*;
