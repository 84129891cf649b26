//! Stand-ins for engines, the service and the platform. Each has its own runtime, so that it can be
//! terminated together with all its connections.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use clayplank_standin::{
    EngineModel, EngineServer, FaultKind, ServiceRecord, bind, serve_engine, serve_platform,
    serve_service,
};
use serde_json::json;
use tokio::runtime::{Builder, Runtime};

use super::{call, get};

fn new_runtime() -> Runtime {
    Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap()
}

fn post(address: SocketAddr, path: &str, body: &serde_json::Value) {
    assert_eq!(call(address, "POST", path, &[], body.to_string().as_bytes()).unwrap().status, 200);
}

/// A model engine.
pub struct Engine {
    pub address: SocketAddr,
    pub memory_tokens: u64,
    options: EngineServer,
    runtime: Option<Runtime>,
}

impl Engine {
    /// Starts an engine that generates up to `max_output_tokens`, one token per `step_ms`.
    pub fn start(max_output_tokens: u64, step_ms: f64) -> Self {
        let model = EngineModel {
            step_base_ms: step_ms,
            prefill_ms_per_token: 0.01,
            ..EngineModel::default()
        };
        let options = EngineServer { model, max_output_tokens, ..EngineServer::default() };
        let mut engine = Self {
            address: "127.0.0.1:0".parse().unwrap(),
            memory_tokens: model.memory_tokens,
            options,
            runtime: None,
        };
        engine.restart();
        engine
    }

    /// Starts the server, at its former address if it ran before.
    pub fn restart(&mut self) {
        let runtime = new_runtime();
        let listener = runtime.block_on(bind(self.address)).unwrap();
        self.address = listener.local_addr().unwrap();
        runtime.spawn(serve_engine(listener, self.options.clone()));
        self.runtime = Some(runtime);
    }

    /// Terminates the server and all its connections.
    pub fn terminate(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(Duration::from_secs(5));
        }
    }

    pub fn inject_faults(&self, kind: FaultKind, count: u64) {
        post(self.address, "/faults", &json!({ "kind": kind, "count": count, "delay_ms": 700 }));
    }

    pub fn announce_departure(&self) {
        assert_eq!(call(self.address, "POST", "/leaving", &[], b"").unwrap().status, 200);
    }

    /// All attempts that the engine has started.
    pub fn started_attempts(&self) -> BTreeSet<String> {
        let answer = get(self.address, "/record", None).unwrap();
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// Adapters that the engine has loaded.
    pub fn adapters(&self) -> Vec<String> {
        serde_json::from_value(self.load()["adapters"].clone()).unwrap()
    }

    fn load(&self) -> serde_json::Value {
        serde_json::from_slice(&get(self.address, "/load", None).unwrap().body).unwrap()
    }

    /// Memory used by the engine's batch. The report lags behind the actual use.
    pub fn reserved_tokens(&self) -> u64 {
        self.load()["reserved_tokens"].as_u64().unwrap()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A plain service, whose requests may run at most once.
pub struct Service {
    pub address: SocketAddr,
    runtime: Option<Runtime>,
}

impl Service {
    pub fn start() -> Self {
        let runtime = new_runtime();
        let listener = runtime.block_on(bind("127.0.0.1:0".parse().unwrap())).unwrap();
        let address = listener.local_addr().unwrap();
        runtime.spawn(serve_service(listener, Duration::from_millis(5)));
        Self { address, runtime: Some(runtime) }
    }

    pub fn inject_faults(&self, kind: FaultKind, count: u64) {
        post(self.address, "/faults", &json!({ "kind": kind, "count": count }));
    }

    /// Number of runs of each idempotency key.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let answer = get(self.address, "/record", None).unwrap();
        serde_json::from_slice::<ServiceRecord>(&answer.body).unwrap().runs
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// The platform's host list, which reports changes after a delay of 500 ms.
pub struct Platform {
    pub address: SocketAddr,
    runtime: Option<Runtime>,
}

impl Platform {
    pub fn start(hosts: usize) -> Self {
        let runtime = new_runtime();
        let listener = runtime.block_on(bind("127.0.0.1:0".parse().unwrap())).unwrap();
        let address = listener.local_addr().unwrap();
        let names = (0..hosts).map(|host| format!("h{host}")).collect();
        runtime.spawn(serve_platform(listener, names, Duration::from_millis(500)));
        Self { address, runtime: Some(runtime) }
    }

    pub fn set_leaving(&self, name: &str) {
        post(self.address, "/hosts", &json!({ name: "leaving" }));
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
