//! A network that delivers each message after a delay of its own.

use clayplank_agreement::Envelope;

/// Messages under way, each with the time at which it arrives.
#[derive(Default)]
pub struct Network {
    under_way: Vec<(u64, Envelope)>,
}

impl Network {
    /// Sends a message that arrives at this time.
    pub fn send(&mut self, arrives_ms: u64, envelope: Envelope) {
        self.under_way.push((arrives_ms, envelope));
    }

    /// Takes out what has arrived by now, in the order in which it was sent.
    pub fn take_arrived(&mut self, now_ms: u64) -> Vec<Envelope> {
        let arrived = self.under_way.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        arrived.map(|(_, envelope)| envelope).collect()
    }
}
