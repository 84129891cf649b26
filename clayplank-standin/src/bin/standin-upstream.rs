//! Simulated upstream that registers with keepers: a pass engine or a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use bytes::Bytes;
use clayplank_placement::EngineModel;
use clayplank_standin::{
    CrashTrigger, CrashingRequest, Registration, ServeError, SharedRuns, SharedSignals, bind,
    send_heartbeats, serve_pass_engine, serve_upstream,
};

use tokio::sync::mpsc;

/// Number of requests that a plain service runs concurrently.
const SERVICE_SLOTS: u32 = 6;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// A stand-in for an upstream that registers with keepers
struct Options {
    /// Where to listen
    listen: SocketAddr,
    /// Names this life of the upstream
    #[bpaf(argument("ID"))]
    id: String,
    /// The service that it belongs to
    #[bpaf(argument("NAME"))]
    service: String,
    /// Where it stands
    #[bpaf(argument("NAME"), fallback("hall".to_owned()))]
    data_centre: String,
    /// Control addresses of keepers
    #[bpaf(long("keeper"), argument("ADDRESS"), some("at least one --keeper"))]
    keepers: Vec<SocketAddr>,
    /// Milliseconds between two heartbeats
    #[bpaf(fallback(300))]
    heartbeat_ms: u64,
    /// Be an engine
    engine: bool,
    /// Tokens of KV cache of an engine
    #[bpaf(fallback(450_000))]
    memory_tokens: u64,
    /// End the process when a request with this body begins to run at a plain service
    #[bpaf(argument("TEXT"))]
    ends_on: Option<String>,
    /// Name this many requests a second as a limit in all answers
    limit_per_s: Option<f64>,
}

/// Time between the start of the request that terminates the process and the exit.
const EXIT_DELAY: Duration = Duration::from_millis(100);

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), ServeError> {
    let options = options().run();
    let listener = bind(options.listen).await?;
    let model = EngineModel { memory_tokens: options.memory_tokens, ..EngineModel::default() };
    let registration = Registration {
        id: options.id.clone(),
        service: options.service,
        address: options.listen,
        data_centre: options.data_centre,
        slots: if options.engine { model.slots } else { SERVICE_SLOTS },
    };
    let heartbeat_interval = Duration::from_millis(options.heartbeat_ms);
    tokio::spawn(send_heartbeats(registration, options.keepers, heartbeat_interval));
    let signals = SharedSignals::default();
    signals.set_limit(options.limit_per_s);
    if options.engine {
        serve_pass_engine(listener, options.id, model, signals).await;
    } else {
        let (started, crashes) = mpsc::unbounded_channel();
        let crashing = options.ends_on.map(|text| CrashingRequest {
            body: Bytes::from(text),
            prompt_part: String::new(),
            started,
        });
        tokio::select! {
            () = serve_upstream(listener, options.id, SharedRuns::default(), crashing, signals) => {}
            () = wait_for_exit(crashes) => {}
        }
    }
    Ok(())
}

/// Waits until a request that terminates the process has run for [`EXIT_DELAY`]; forever if none can.
async fn wait_for_exit(mut crashes: mpsc::UnboundedReceiver<CrashTrigger>) {
    match crashes.recv().await {
        Some(_) => tokio::time::sleep(EXIT_DELAY).await,
        None => std::future::pending().await,
    }
}
