//! Derives the bounds of waiting requests from the resources of the host.

use crate::entry::{DEFAULT_MAX_BUFFERED_BYTES, DEFAULT_MAX_CONNECTIONS};
use crate::queue_quota::QueueLimits;

/// Memory that a host needs without a queue, in bytes.
const BYTES_WITHOUT_QUEUE: usize = 256 << 20;

/// Memory of one connection of a caller: two uncounted buffers of 16 KiB, and the connection's own.
const CONNECTION_BYTES: usize = 96 << 10;

/// Memory of the program itself, in bytes.
const PROGRAM_BYTES: usize = 16 << 20;

const _: () = assert!(
    DEFAULT_MAX_CONNECTIONS * CONNECTION_BYTES + DEFAULT_MAX_BUFFERED_BYTES + PROGRAM_BYTES
        <= BYTES_WITHOUT_QUEUE,
    "the memory without a queue must cover connections, buffers and the program"
);

/// Share of the open files that the connections of waiting requests may take: one in four. The
/// others serve requests that run, upstreams and other hosts.
const FILES_PER_WAITING_REQUEST: usize = 4;

/// A shorter queue is filled by the random variation of arrivals, and only delays refusals.
const MIN_REQUESTS: usize = 8;

impl QueueLimits {
    /// Bounds for a host with `memory_mb` (of 2^20 bytes) and `max_files` open files, whose requests
    /// have bodies of up to `max_body_bytes`. `None` if no request may wait there.
    pub fn of(memory_mb: u64, max_files: Option<u64>, max_body_bytes: u64) -> Option<Self> {
        let memory_bytes = to_usize(memory_mb).saturating_mul(1 << 20);
        let bytes = memory_bytes.saturating_sub(BYTES_WITHOUT_QUEUE);
        let by_memory = bytes / to_usize(max_body_bytes).max(1);
        let by_files = max_files.map_or(usize::MAX, to_usize) / FILES_PER_WAITING_REQUEST;
        // A waiting request keeps its caller's connection.
        let requests = by_memory.min(by_files).min(DEFAULT_MAX_CONNECTIONS);
        (requests >= MIN_REQUESTS).then_some(Self { requests, bytes })
    }
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
