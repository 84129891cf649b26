//! Splits a stream of bytes into whole events (the HTML standard, section 9.2).

use bytes::{Bytes, BytesMut};

/// An event with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes, unchanged.
    pub bytes: Bytes,
    /// Its id, if it has a number for one.
    pub id: Option<u64>,
}

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    /// Up to here no end of an event was found.
    searched: usize,
}

impl EventSplitter {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let from = self.searched.saturating_sub(3);
        match find_end(&self.held[from..]) {
            Some(end) => {
                self.searched = 0;
                let bytes = self.held.split_to(from + end).freeze();
                let id = scan_id(&bytes);
                Some(StreamEvent { bytes, id })
            }
            None => {
                self.searched = self.held.len();
                None
            }
        }
    }

    /// Bytes that are held of an event that is not whole.
    pub fn held_bytes(&self) -> usize {
        self.held.len()
    }

    /// Whether bytes of an event are held that is not whole.
    pub fn is_mid_event(&self) -> bool {
        !self.held.is_empty()
    }
}

/// Where the first blank line ends.
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

fn scan_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|&byte| byte == b'\n');
    let value = lines.into_iter().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
