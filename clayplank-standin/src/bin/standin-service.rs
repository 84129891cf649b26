//! Simulated plain service that records what it runs.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use clayplank_standin::{ServeError, bind, serve_service};

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// A stand-in for a plain service
struct Options {
    /// Where to listen
    listen: SocketAddr,
    /// Milliseconds that a request takes
    #[bpaf(fallback(5))]
    work_ms: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), ServeError> {
    let options = options().run();
    serve_service(bind(options.listen).await?, Duration::from_millis(options.work_ms)).await;
    Ok(())
}
