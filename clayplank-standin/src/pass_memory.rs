//! KV-cache memory of a pass engine: tokens used by requests and tokens reserved by tickets.

use std::collections::BTreeMap;

use tokio::time::{Duration, Instant};

/// A named reservation of memory, valid until `expires_at`.
#[derive(Clone, Copy, Debug)]
struct Ticket {
    tokens: u64,
    expires_at: Instant,
}

/// Accounting of one engine's memory, in tokens.
#[derive(Clone, Debug)]
pub(crate) struct PassMemory {
    total_tokens: u64,
    used_tokens: u64,
    tickets: BTreeMap<String, Ticket>,
}

impl PassMemory {
    pub(crate) fn new(total_tokens: u64) -> Self {
        Self { total_tokens, used_tokens: 0, tickets: BTreeMap::new() }
    }

    /// Creates the named reservation, or replaces it. Returns whether there was room for it.
    pub(crate) fn reserve(&mut self, name: &str, tokens: u64, hold: Duration) -> bool {
        self.remove_expired();
        let current_tokens = self.tickets.get(name).map_or(0, |ticket| ticket.tokens);
        let has_room = self.free_tokens() + current_tokens >= tokens;
        if has_room {
            let ticket = Ticket { tokens, expires_at: Instant::now() + hold };
            self.tickets.insert(name.to_owned(), ticket);
        }
        has_room
    }

    /// Drops the named reservation.
    pub(crate) fn release(&mut self, name: &str) {
        self.tickets.remove(name);
    }

    /// Tokens reserved under a name; 0 if there is no such reservation.
    pub(crate) fn ticket_tokens(&mut self, name: &str) -> u64 {
        self.remove_expired();
        self.tickets.get(name).map_or(0, |ticket| ticket.tokens)
    }

    /// Allocates memory for a request. Returns whether there was room.
    pub(crate) fn allocate(&mut self, tokens: u64) -> bool {
        self.remove_expired();
        let has_room = self.free_tokens() >= tokens;
        if has_room {
            self.used_tokens += tokens;
        }
        has_room
    }

    /// Frees memory of a request.
    pub(crate) fn free(&mut self, tokens: u64) {
        self.used_tokens -= tokens;
    }

    /// Sum of all reservations that have not expired.
    pub(crate) fn reserved_tokens(&mut self) -> u64 {
        self.remove_expired();
        self.tickets.values().map(|ticket| ticket.tokens).sum()
    }

    /// Tokens allocated to requests.
    pub(crate) fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    fn free_tokens(&self) -> u64 {
        let reserved: u64 = self.tickets.values().map(|ticket| ticket.tokens).sum();
        self.total_tokens.saturating_sub(self.used_tokens + reserved)
    }

    fn remove_expired(&mut self) {
        let now = Instant::now();
        self.tickets.retain(|_, ticket| now < ticket.expires_at);
    }
}
