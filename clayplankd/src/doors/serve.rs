//! Accepts HTTP connections and reads bodies, both up to a limit.

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

/// Limits of the connections of a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListenerLimits {
    pub(crate) max_connections: usize,
    pub(crate) max_head_bytes: usize,
    pub(crate) read_timeout: Duration,
}

/// Smallest buffer for request heads that hyper accepts.
const MIN_HEAD_BYTES: usize = 8_192;

/// Serves connections until the task is dropped. Connections above the limit wait in the
/// listener's backlog.
pub(crate) async fn serve<F, R>(listener: TcpListener, limits: ListenerLimits, answer: F)
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
            // An error ends the connection for its peer too: nobody is left to report it to.
            builder.serve_connection(TokioIo::new(stream), service).await.ok();
        });
    }
}

fn connection_builder(limits: ListenerLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    let max_buffer_bytes = limits.max_head_bytes.max(MIN_HEAD_BYTES);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .max_buf_size(max_buffer_bytes);
    builder.http2().timer(TokioTimer::new()).max_header_list_size(max_buffer_bytes as u32);
    builder
}

/// Reads a complete body of at most `limit_bytes` within `timeout`.
pub(crate) async fn read_body(
    body: Incoming,
    limit_bytes: u64,
    timeout: Duration,
) -> Result<Bytes, Problem> {
    let limited = Limited::new(body, limit_bytes as usize);
    match clayplank_clock::timeout(timeout, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Problem::TooLarge { limit_bytes }),
        Ok(Err(_)) => Err(Problem::Malformed("the body broke off".to_owned())),
        Err(_) => Err(Problem::TooSlow),
    }
}

/// Bearer key of a request (RFC 6750, section 2.1).
pub(crate) fn bearer_key<T>(request: &Request<T>) -> Option<&str> {
    let value = request.headers().get(http::header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}
