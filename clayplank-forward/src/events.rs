//! Splits a byte stream into complete server-sent events (HTML standard, section 9.2).

use bytes::{Bytes, BytesMut};

/// An event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's bytes, unchanged.
    pub bytes: Bytes,
    /// The event's id, if it is a number.
    pub id: Option<u64>,
}

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let from = self.searched.saturating_sub(3);
        match find_end(&self.buffer[from..]) {
            Some(end) => {
                self.searched = 0;
                let bytes = self.buffer.split_to(from + end).freeze();
                let id = parse_id(&bytes);
                Some(StreamEvent { bytes, id })
            }
            None => {
                self.searched = self.buffer.len();
                None
            }
        }
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether bytes of an incomplete event are buffered.
    pub fn is_mid_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the position after the first blank line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|at| {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\r\n\r\n") {
            Some(at + 4)
        } else {
            None
        }
    })
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|&byte| byte == b'\n');
    let value = lines.into_iter().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
