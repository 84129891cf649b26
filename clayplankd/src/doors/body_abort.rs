//! A response body that flushes its data to the caller before it aborts the connection.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame};

use crate::doors::replies::{Body, BodyAborted};

/// Forwards a body, and delays its error by one poll. hyper flushes buffered data when a body is
/// pending, but drops it when the body fails.
pub(crate) struct FlushBeforeAbort {
    inner: Body,
    deferred_error: Option<BodyAborted>,
}

impl FlushBeforeAbort {
    pub(crate) fn new(inner: Body) -> Self {
        Self { inner, deferred_error: None }
    }
}

impl HttpBody for FlushBeforeAbort {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        if let Some(error) = self.deferred_error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Ready(Some(Err(error))) => {
                self.deferred_error = Some(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            other => other,
        }
    }
}
