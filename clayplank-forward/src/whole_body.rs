//! Reads whole bodies of responses within the buffer quota of the host.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::buffer_quota::{BufferPermit, BufferQuota, UNCOUNTED_BYTES};

/// Maximum size of an answer, in bytes; callers' requests are no larger either.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Reads a whole body; `None` if it broke off or is too large. Stops reading from the upstream while
/// the buffer quota of this host is used up.
///
/// The quota for the whole body is taken at once: bodies that each held a part of it would wait for
/// each other's rest.
pub(crate) async fn read_whole_body(
    mut body: Incoming,
    buffer_quota: &BufferQuota,
) -> Option<(Bytes, BufferPermit)> {
    let mut read = BytesMut::new();
    let mut buffer_permit = BufferPermit::default();
    let declared_bytes = body.size_hint().exact();
    let max_bytes = declared_bytes.map_or(MAX_ANSWER_BYTES, |bytes| bytes as usize);
    if max_bytes > MAX_ANSWER_BYTES {
        log_too_large();
        return None;
    }
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                log::info!(target: "forward", "A response from an upstream broke off: {error}.");
                return None;
            }
        };
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        if read.len() + bytes.len() > max_bytes {
            log_too_large();
            return None;
        }
        let is_counted = read.len() > UNCOUNTED_BYTES;
        if !is_counted && read.len() + bytes.len() > UNCOUNTED_BYTES {
            buffer_quota.acquire(&mut buffer_permit, max_bytes).await;
        }
        read.extend_from_slice(bytes);
    }
    buffer_permit.shrink_to(read.len());
    Some((read.freeze(), buffer_permit))
}

fn log_too_large() {
    log::info!(target: "forward", "A response from an upstream exceeds {MAX_ANSWER_BYTES} bytes.");
}
