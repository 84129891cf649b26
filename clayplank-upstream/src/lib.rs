//! Clients of engines, plain services and the platform's host list.
//!
//! [`EngineClient`] is the only interface to engines that the other packages use; an engine with
//! another protocol needs only another implementation of it.
//! [`Assembler`] puts the chunks of an answer in order and detects gaps.
//!
//! ```
//! use clayplank_upstream::{Assembler, Chunk};
//!
//! let chunk = |offset, text: &str| Chunk { offset, text: text.to_owned(), finish: None };
//! let mut assembler = Assembler::default();
//! assert!(assembler.apply(chunk(1, "b")).unwrap().is_empty());
//! let ready = assembler.apply(chunk(0, "a")).unwrap();
//! assert_eq!(ready.iter().map(|chunk| chunk.text.as_str()).collect::<String>(), "ab");
//! ```

#![warn(clippy::disallowed_methods, reason = "decisions that depend on time use clayplank_clock")]

mod answer;
mod assemble;
mod client;
mod engine;
mod platform;
mod service;

pub use answer::{AnswerOptions, AnswerStream, RelayError};
pub use assemble::{Assembler, Chunk, ChunkOrderError, Finish};
pub use client::{HttpClient, UpstreamError};
pub use engine::{
    CacheEvent, CompletionRequest, EngineClient, EngineCommand, HttpEngineClient, KvHandle,
    LoadReport,
};
pub use platform::{HostState, fetch_platform_hosts};
pub use service::{ServiceAnswer, ServiceRequest, forward};
