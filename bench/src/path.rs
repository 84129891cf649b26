//! Time to the first byte of a response, directly from an engine or through clayplank.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Upper bound of recorded times: one minute.
const MAX_US: u64 = 60_000_000;

/// Reason that the path benchmark failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PathError {
    #[error("no connection to {0}")]
    Connect(SocketAddr, #[source] std::io::Error),
    #[error("the exchange failed")]
    Exchange(#[from] hyper::Error),
    #[error("the request is malformed")]
    Malformed(#[from] http::Error),
    #[error("the answer has status {0}")]
    Status(u16),
    #[error("a task failed")]
    Task,
}

/// Address under test and the load on it; `requests` are divided evenly over `connections`.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) key: Option<String>,
    pub(crate) requests: usize,
    pub(crate) connections: usize,
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, PathError> {
    let stream =
        TcpStream::connect(address).await.map_err(|source| PathError::Connect(address, source))?;
    stream.set_nodelay(true).ok();
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends one streamed completion. Returns the time to the first frame of its body.
async fn time_to_first_byte(
    sender: &mut SendRequest<Full<Bytes>>,
    target: &Target,
) -> Result<Duration, PathError> {
    let mut request = Request::post("/v1/completions")
        .header("host", target.address.to_string())
        .header("x-attempt-id", format!("{:032x}", rand::random::<u128>()));
    if let Some(key) = &target.key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let body = r#"{"prompt": "Runner 41 finished in 3:12:05.", "max_tokens": 1, "stream": true}"#;
    let request = request.body(Full::new(Bytes::from_static(body.as_bytes())))?;
    let started = Instant::now();
    sender.ready().await?;
    let response = sender.send_request(request).await?;
    let status = response.status().as_u16();
    let mut body = response.into_body();
    let first = body.frame().await;
    let first_byte = started.elapsed();
    if status != 200 || first.is_none() {
        return Err(PathError::Status(status));
    }
    while let Some(frame) = body.frame().await {
        frame?;
    }
    Ok(first_byte)
}

/// Sends all requests. Returns times to the first byte in microseconds, and requests per second.
async fn measure(target: &Target) -> Result<(Histogram<u64>, f64), PathError> {
    let started = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..target.connections {
        let target = target.clone();
        tasks.push(tokio::spawn(async move {
            let mut sender = connect(target.address).await?;
            let mut times = Vec::new();
            for _ in 0..target.requests / target.connections {
                times.push(time_to_first_byte(&mut sender, &target).await?);
            }
            Ok::<_, PathError>(times)
        }));
    }
    let mut histogram = Histogram::new_with_max(MAX_US, 3).map_err(|_| PathError::Task)?;
    for task in tasks {
        for time in task.await.map_err(|_| PathError::Task)?? {
            histogram.saturating_record(time.as_micros() as u64);
        }
    }
    Ok((histogram, target.requests as f64 / started.elapsed().as_secs_f64()))
}

/// Measures one target and prints the results.
pub(crate) fn run(name: &str, target: &Target) -> Result<(), PathError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|_| PathError::Task)?;
    let (times, rate) = runtime.block_on(measure(target))?;
    println!(
        "{name}, {} connections: first byte p50 {} us, p99 {} us; {rate:.0} requests a second",
        target.connections,
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
    );
    Ok(())
}
