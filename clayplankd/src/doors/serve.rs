//! Accepts HTTP connections, up to a limit, and reads bodies, up to a limit.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::doors::replies::{Body, Problem};

/// Limits of one door.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DoorLimits {
    pub(crate) max_connections: usize,
    pub(crate) max_head_bytes: usize,
    pub(crate) read_timeout: Duration,
}

/// hyper reads heads into a buffer that is at least this large.
const MIN_HEAD_BYTES: usize = 8_192;

/// Serves connections until the task is dropped. A connection above the limit
/// waits in the listener's queue.
pub(crate) async fn serve<F, R>(listener: TcpListener, limits: DoorLimits, answer: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let connections = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let Ok(permit) = Arc::clone(&connections).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        stream.set_nodelay(true).ok();
        let answer = answer.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let service = service_fn(move |request| {
                let answer = answer(request);
                async move { Ok::<_, std::convert::Infallible>(answer.await) }
            });
            let builder = connection_builder(limits);
            // A connection that ends with an error ends for its peer too; there is nobody to tell.
            builder.serve_connection(TokioIo::new(stream), service).await.ok();
        });
    }
}

fn connection_builder(limits: DoorLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    let max_buffer = limits.max_head_bytes.max(MIN_HEAD_BYTES);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .max_buf_size(max_buffer);
    builder.http2().timer(TokioTimer::new()).max_header_list_size(max_buffer as u32);
    builder
}

/// Reads a whole body, in time and up to a limit.
pub(crate) async fn read_body(
    body: Incoming,
    limit_bytes: u64,
    patience: Duration,
) -> Result<Bytes, Problem> {
    let limited = Limited::new(body, limit_bytes as usize);
    match clayplank_clock::timeout(patience, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Problem::TooLarge { limit_bytes }),
        Ok(Err(_)) => Err(Problem::Malformed("the body broke off".to_owned())),
        Err(_) => Err(Problem::TooSlow),
    }
}

/// The bearer key of a request (RFC 6750, section 2.1).
pub(crate) fn bearer_key<T>(request: &Request<T>) -> Option<&str> {
    let value = request.headers().get(http::header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}
