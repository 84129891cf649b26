//! Accepts connections of callers, and of small requests such as control calls.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use clayplank_connect::set_socket_timeouts;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use crate::caller_stream::CallerStream;
use crate::entry::Entry;

/// Maximum number of open connections for small requests; each takes a file descriptor and some
/// memory.
const MAX_SIMPLE_CONNECTIONS: usize = 2_000;

/// Maximum size of a request head, in bytes; the plan's limit is lower.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 512;

/// Idle time-out of connections if the plan sets none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause after a failed accept, in which file descriptors may become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Minimum time for receiving a request head, added to the idle time-out.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves callers until `closing` becomes true: then no further connection is accepted, and each
/// open one ends after its current request.
pub async fn serve_callers(
    listener: TcpListener,
    entry: Arc<Entry>,
    mut closing: watch::Receiver<bool>,
) {
    let set_overloaded = |is_overloaded| {
        entry.gate.set_overloaded(is_overloaded);
        log_overload(&entry, is_overloaded);
    };
    tokio::select! {
        () = accept_callers(&listener, &entry, &mut closing) => {}
        () = entry.loop_delay.measure(|| entry.gate.in_progress(), set_overloaded) => {}
    }
}

fn log_overload(entry: &Entry, is_overloaded: bool) {
    let delay_ms = entry.loop_delay.shortest().as_millis() as u64;
    let in_progress = entry.gate.in_progress();
    if is_overloaded {
        log::warn!(target: "forward", delay_ms = delay_ms, in_progress = in_progress;
            "The host is overloaded and closes new connections");
    } else {
        log::info!(target: "forward", delay_ms = delay_ms, in_progress = in_progress;
            "The host is no longer overloaded");
    }
}

/// Accepts callers until `closing` becomes true.
async fn accept_callers(
    listener: &TcpListener,
    entry: &Arc<Entry>,
    closing: &mut watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(entry.max_connections));
    loop {
        entry.gate.set_full(permits.available_permits() == 0);
        let accepted = tokio::select! {
            accepted = accept_when_free(listener, &permits, entry) => accepted,
            () = wait_until_closing(closing) => return,
        };
        let Some((stream, permit)) = accepted else {
            continue;
        };
        if rand::random::<f64>() < entry.loop_delay.shed_share() {
            entry.metrics.count_shed();
            continue;
        }
        let entry = Arc::clone(entry);
        let closing = closing.clone();
        tokio::spawn(async move {
            let _permit = permit;
            serve_caller(stream, entry, closing).await;
        });
    }
}

/// Accepts a connection as soon as another may be open, and marks the gate as not full.
async fn accept_when_free(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
    entry: &Entry,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    entry.gate.set_full(false);
    Some((accept(listener).await?, permit))
}

async fn accept_simple(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    Some((accept(listener).await?, permit))
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => {
            set_socket_timeouts(&stream);
            Some(stream)
        }
        Err(error) => {
            log::warn!(target: "forward", "Could not accept a connection: {error}.");
            clayplank_clock::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

async fn serve_caller(stream: TcpStream, entry: Arc<Entry>, mut closing: watch::Receiver<bool>) {
    let plan = entry.gate.plan();
    let idle_timeout = plan.as_ref().map_or(DEFAULT_IDLE_TIMEOUT, |plan| {
        Duration::from_millis(plan.plan().limits.idle_timeout_ms)
    });
    // A caller that reads nothing is kept as long as one that sends nothing, or waits for an answer.
    let answer_timeout = plan.map_or(Duration::ZERO, |plan| plan.longest_time_limit());
    let stream = CallerStream::new(stream, answer_timeout.max(idle_timeout));
    let use_guard = OnceLock::new();
    let service = service_fn(move |request: Request<Incoming>| {
        use_guard.get_or_init(|| entry.gate.enter_connection());
        let entry = Arc::clone(&entry);
        async move { Ok::<_, Infallible>(entry.answer(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout + MIN_HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = wait_until_closing(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!(target: "forward", "A caller's connection failed: {error}.");
    }
}

/// Waits until the value is true. A dropped sender counts as closing too, as the process is
/// terminating then.
async fn wait_until_closing(closing: &mut watch::Receiver<bool>) {
    closing.wait_for(|is_closing| *is_closing).await.ok();
}

/// Serves small requests: each is answered by `answer` with a complete body.
pub async fn serve_small_requests<F, R>(listener: TcpListener, answer: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_SIMPLE_CONNECTIONS));
    loop {
        let Some((stream, permit)) = accept_simple(&listener, &permits).await else {
            continue;
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let service = service_fn(move |request| {
                let answer = answer(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(DEFAULT_IDLE_TIMEOUT);
            if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
                log::debug!(target: "forward", "A connection failed: {error}.");
            }
        });
    }
}
