//! Heartbeats of a stand-in that registers with keepers.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};

use crate::http_client::send_json;

/// Time-out of a heartbeat; after it the next keeper is tried.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Description of an upstream in its heartbeats.
#[derive(Clone, Debug)]
pub struct Registration {
    /// Identifies one incarnation of the upstream; a restarted upstream has another id.
    pub id: String,
    /// Name of the service that the upstream belongs to.
    pub service: String,
    /// Address at which hosts reach the upstream.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
}

impl Registration {
    /// Body of one heartbeat. `sequence` increases with each; `status` is `"ready"` for an upstream that
    /// accepts requests.
    pub fn heartbeat(&self, sequence: u64, status: &str) -> Value {
        json!({
            "id": self.id,
            "sequence": sequence,
            "service": self.service,
            "address": self.address,
            "data_centre": self.data_centre,
            "slots": self.slots,
            "standing": status,
        })
    }
}

/// Sends a heartbeat per `interval` until the task is dropped. A keeper that does not accept it is
/// skipped for the next one in the list.
pub async fn send_heartbeats(
    registration: Registration,
    keepers: Vec<SocketAddr>,
    interval: Duration,
) {
    let path = format!("/v1/upstreams/{}", registration.id);
    let mut keeper = 0;
    for sequence in 1.. {
        let body = registration.heartbeat(sequence, "ready");
        for _ in 0..keepers.len() {
            let address = keepers[keeper % keepers.len()];
            let reply = send_json(address, Method::PUT, &path, &body, HEARTBEAT_TIMEOUT).await;
            if reply.is_some_and(|reply| reply.is_success()) {
                break;
            }
            keeper += 1;
        }
        tokio::time::sleep(interval).await;
    }
}
