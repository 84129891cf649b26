//! Simulated host list of the platform, which is out of date by a fixed delay.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use clayplank_standin::{ServeError, bind, serve_platform};

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// A stand-in for the platform's host list
struct Options {
    /// Where to listen
    listen: SocketAddr,
    /// How far the list lags
    #[bpaf(fallback(2_000))]
    lag_ms: u64,
    /// Names of hosts and upstreams that are live at first
    #[bpaf(long("live"), argument("NAME"))]
    live: Vec<String>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), ServeError> {
    let options = options().run();
    serve_platform(
        bind(options.listen).await?,
        options.live,
        Duration::from_millis(options.lag_ms),
    )
    .await;
    Ok(())
}
