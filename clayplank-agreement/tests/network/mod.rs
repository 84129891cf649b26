//! A simulated network that delivers each message at a given time.

use clayplank_agreement::Envelope;

/// Messages in transit, each with its time of arrival.
#[derive(Default)]
pub struct Network {
    in_transit: Vec<(u64, Envelope)>,
}

impl Network {
    /// Sends a message that arrives at `arrives_ms`.
    pub fn send(&mut self, arrives_ms: u64, envelope: Envelope) {
        self.in_transit.push((arrives_ms, envelope));
    }

    /// Removes and returns the messages that have arrived by now, in the order of sending.
    pub fn take_arrived(&mut self, now_ms: u64) -> Vec<Envelope> {
        let arrived = self.in_transit.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        arrived.map(|(_, envelope)| envelope).collect()
    }
}
