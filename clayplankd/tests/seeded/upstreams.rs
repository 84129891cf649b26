//! Upstreams in the test process, and their heartbeats to the keepers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use clayplank_placement::EngineModel;
use clayplank_standin::{
    Registration, SharedRuns, SharedSignals, send_heartbeats, serve_pass_engine, serve_upstream,
};
use serde_json::Value;

use crate::answer::Answer;
use crate::client::call;
use crate::host::{Host, UPSTREAM_PORT};
use crate::system::{BASIC_UPSTREAMS, PROXIED_UPSTREAMS, System, Topology, behind_proxy};

/// Concurrent requests of an upstream of the service `app`.
const APP_SLOTS: u32 = 4;

impl System {
    pub fn upstream_ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], last)
    }

    /// Starts an upstream of the service `app` and returns its record of requests. It sends no
    /// heartbeats itself; tests send them singly.
    pub fn start_upstream(&self, id: &str, last: u8) -> SharedSignals {
        let signals = SharedSignals::default();
        let address = self.bind_address(last);
        let (id, runs) = (id.to_owned(), self.runs.clone());
        let listener = self.runtime.block_on(clayplank_standin::bind(address)).unwrap();
        self.runtime.spawn(serve_upstream(listener, id, runs, None, signals.clone()));
        signals
    }

    /// Starts an engine with simulated steps, which registers with all keepers.
    pub fn start_engine(&self, id: &str, last: u8, model: EngineModel) -> SocketAddr {
        self.start_engine_with(id, last, model, SharedSignals::default())
    }

    /// Like `start_engine`, with an engine whose statements a test changes.
    pub fn start_engine_with(
        &self,
        id: &str,
        last: u8,
        model: EngineModel,
        signals: SharedSignals,
    ) -> SocketAddr {
        let listener = self.runtime.block_on(clayplank_standin::bind(self.bind_address(last)));
        self.runtime.spawn(serve_pass_engine(listener.unwrap(), id.to_owned(), model, signals));
        self.register_engine(id, last);
        self.upstream_address(last)
    }

    /// Starts an upstream of a plain service whose statements a test changes; it registers with
    /// all keepers.
    pub fn start_service_with(&self, service: &str, id: &str, last: u8, signals: SharedSignals) {
        let listener = self.runtime.block_on(clayplank_standin::bind(self.bind_address(last)));
        let runs = SharedRuns::default();
        self.runtime.spawn(serve_upstream(listener.unwrap(), id.to_owned(), runs, None, signals));
        self.send_heartbeats(self.registration(id, service, last, APP_SLOTS));
    }

    /// Sends heartbeats of an engine, whether it exists or not.
    pub fn register_engine(&self, id: &str, last: u8) {
        self.send_heartbeats(self.registration(id, "pool", last, EngineModel::default().slots));
    }

    fn send_heartbeats(&self, registration: Registration) {
        let keepers = self.keepers.iter().map(Host::control).collect();
        self.runtime.spawn(send_heartbeats(registration, keepers, Duration::from_millis(300)));
    }

    fn registration(&self, id: &str, service: &str, last: u8, slots: u32) -> Registration {
        Registration {
            id: id.to_owned(),
            service: service.to_owned(),
            address: self.upstream_address(last),
            data_centre: "hall".to_owned(),
            slots,
        }
    }

    /// Address on which an upstream listens, which may be behind a proxy.
    fn bind_address(&self, last: u8) -> SocketAddr {
        let ip = self.upstream_ip(last);
        let Topology { has_proxies, has_upstream_proxies, .. } = self.topology;
        let has_proxy = match BASIC_UPSTREAMS.contains(&last) {
            true => has_proxies || has_upstream_proxies,
            false => has_upstream_proxies && PROXIED_UPSTREAMS.contains(&last),
        };
        let ip = if has_proxy { behind_proxy(ip) } else { ip };
        SocketAddr::new(IpAddr::V4(ip), UPSTREAM_PORT)
    }

    fn upstream_address(&self, last: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.upstream_ip(last)), UPSTREAM_PORT)
    }

    /// Sends one heartbeat of an upstream to one keeper.
    pub fn send_heartbeat(&mut self, keeper: usize, id: &str, status: &str) -> Answer {
        self.send_heartbeat_to(self.keepers[keeper].control(), id, status)
    }

    /// Sends one heartbeat of an upstream to the control listener of an entry host.
    pub fn send_heartbeat_to_entry(&mut self, entry: usize, id: &str, status: &str) -> Answer {
        self.send_heartbeat_to(self.entries[entry].control(), id, status)
    }

    fn send_heartbeat_to(&mut self, control: SocketAddr, id: &str, status: &str) -> Answer {
        self.last_sequence += 1;
        let last = match id {
            "u1" => 21,
            "u2" => 22,
            _ => 23,
        };
        let body = self.heartbeat(id, last, self.last_sequence, status);
        let path = format!("/v1/upstreams/{id}");
        call(control, "PUT", &path, &[], &body.to_string())
    }

    /// Requests that carry heartbeats of both upstreams to every keeper.
    pub fn heartbeat_calls(&self, sequence: u64) -> Vec<(SocketAddr, String, String)> {
        let of_upstream = |id: &str, last: u8| {
            let body = self.heartbeat(id, last, sequence, "ready").to_string();
            let path = format!("/v1/upstreams/{id}");
            self.keepers
                .iter()
                .map(move |keeper| (keeper.control(), path.clone(), body.clone()))
                .collect::<Vec<_>>()
        };
        [of_upstream("u1", 21), of_upstream("u2", 22)].concat()
    }

    pub fn heartbeat(&self, id: &str, last: u8, sequence: u64, status: &str) -> Value {
        self.registration(id, "app", last, APP_SLOTS).heartbeat(sequence, status)
    }
}
