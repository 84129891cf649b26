//! Simulated model engine; see `docs/ENGINES.md` for its interface.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use clayplank_standin::{EngineModel, EngineServer, ServeError, bind, serve_engine};

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// A stand-in for a model engine
struct Options {
    /// Where to listen
    listen: SocketAddr,
    /// Tokens of KV cache
    #[bpaf(fallback(400_000))]
    memory_tokens: u64,
    /// Milliseconds for each prompt token
    #[bpaf(fallback(0.05))]
    prefill_ms_per_token: f64,
    /// Milliseconds for a step that does nothing
    #[bpaf(fallback(12.0))]
    step_base_ms: f64,
    /// The most tokens in an answer
    #[bpaf(fallback(24))]
    max_output_tokens: u64,
    /// Names of models
    #[bpaf(long("model"), argument("NAME"), some("at least one --model"))]
    models: Vec<String>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), ServeError> {
    let options = options().run();
    let model = EngineModel {
        memory_tokens: options.memory_tokens,
        prefill_ms_per_token: options.prefill_ms_per_token,
        step_base_ms: options.step_base_ms,
        ..EngineModel::default()
    };
    let server = EngineServer {
        model,
        models: options.models,
        max_output_tokens: options.max_output_tokens,
        report_lag: Duration::from_millis(200),
    };
    serve_engine(bind(options.listen).await?, server).await;
    Ok(())
}
