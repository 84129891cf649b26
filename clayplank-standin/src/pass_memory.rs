//! Memory of an engine of the pass model: what requests use, and what tickets hold.

use std::collections::BTreeMap;

use tokio::time::{Duration, Instant};

/// Memory that was set aside under a name.
#[derive(Clone, Copy, Debug)]
struct Ticket {
    tokens: u64,
    until: Instant,
}

/// Who has how much of an engine's memory.
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

    /// Sets memory aside, or renews what was set aside under the name; whether there is room.
    pub(crate) fn reserve(&mut self, name: &str, tokens: u64, hold: Duration) -> bool {
        self.drop_lapsed();
        let held = self.tickets.get(name).map_or(0, |ticket| ticket.tokens);
        let has_room = self.free_tokens() + held >= tokens;
        if has_room {
            let ticket = Ticket { tokens, until: Instant::now() + hold };
            self.tickets.insert(name.to_owned(), ticket);
        }
        has_room
    }

    /// Gives back what was set aside.
    pub(crate) fn release(&mut self, name: &str) {
        self.tickets.remove(name);
    }

    /// What a name holds; 0 if nothing is set aside under it.
    pub(crate) fn held_tokens(&mut self, name: &str) -> u64 {
        self.drop_lapsed();
        self.tickets.get(name).map_or(0, |ticket| ticket.tokens)
    }

    /// Takes memory for a request; whether there was room.
    pub(crate) fn take(&mut self, tokens: u64) -> bool {
        self.drop_lapsed();
        let has_room = self.free_tokens() >= tokens;
        if has_room {
            self.used_tokens += tokens;
        }
        has_room
    }

    /// Gives back memory of a request.
    pub(crate) fn give_back(&mut self, tokens: u64) {
        self.used_tokens -= tokens;
    }

    /// What is set aside by tickets.
    pub(crate) fn reserved_tokens(&mut self) -> u64 {
        self.drop_lapsed();
        self.tickets.values().map(|ticket| ticket.tokens).sum()
    }

    /// What requests use.
    pub(crate) fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    fn free_tokens(&self) -> u64 {
        let reserved: u64 = self.tickets.values().map(|ticket| ticket.tokens).sum();
        self.total_tokens.saturating_sub(self.used_tokens + reserved)
    }

    fn drop_lapsed(&mut self) {
        let now = Instant::now();
        self.tickets.retain(|_, ticket| now < ticket.until);
    }
}
