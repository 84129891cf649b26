//! A body that lets its data reach the caller before it breaks the connection.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame};

use crate::doors::replies::{Body, CutOff};

/// Passes a body through. hyper flushes what it has when a body has nothing
/// ready, and drops it when a body fails; so a failure is held for one poll.
pub(crate) struct FlushBeforeCutOff {
    inner: Body,
    held: Option<CutOff>,
}

impl FlushBeforeCutOff {
    pub(crate) fn new(inner: Body) -> Self {
        Self { inner, held: None }
    }
}

impl HttpBody for FlushBeforeCutOff {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        if let Some(error) = self.held.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Ready(Some(Err(error))) => {
                self.held = Some(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            other => other,
        }
    }
}
