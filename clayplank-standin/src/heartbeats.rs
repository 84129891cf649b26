//! Heartbeats of a stand-in that registers with keepers.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};

use crate::call::send_json;

/// Time for a keeper to answer; then the next one is asked.
const PATIENCE: Duration = Duration::from_secs(1);

/// What an upstream tells keepers of itself.
#[derive(Clone, Debug)]
pub struct Registration {
    /// This life of the upstream.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
}

impl Registration {
    /// One heartbeat; `sequence` rises with each.
    pub fn heartbeat(&self, sequence: u64, standing: &str) -> Value {
        json!({
            "id": self.id,
            "sequence": sequence,
            "service": self.service,
            "address": self.address,
            "data_centre": self.data_centre,
            "slots": self.slots,
            "standing": standing,
        })
    }
}

/// Sends heartbeats until the task is dropped; a keeper that does not answer is passed over.
pub async fn send_heartbeats(
    registration: Registration,
    keepers: Vec<SocketAddr>,
    every: Duration,
) {
    let path = format!("/v1/upstreams/{}", registration.id);
    let mut keeper = 0;
    for sequence in 1.. {
        let body = registration.heartbeat(sequence, "ready");
        for _ in 0..keepers.len() {
            let address = keepers[keeper % keepers.len()];
            let status = send_json(address, Method::PUT, &path, &body, PATIENCE).await;
            if status.is_some_and(|status| status.is_success()) {
                break;
            }
            keeper += 1;
        }
        tokio::time::sleep(every).await;
    }
}
