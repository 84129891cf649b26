//! Reorders and deduplicates the chunks of one answer.

use std::collections::BTreeMap;

/// Maximum number of buffered chunks that wait for a missing earlier one.
const MAX_EARLY_CHUNKS: usize = 64;

/// One event's share of an answer's text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Position in the answer, counted in chunks from 0.
    pub offset: u64,
    /// Text of the chunk; empty on the final chunk.
    pub text: String,
    /// Set on the final chunk, which follows the last one with text.
    pub finish: Option<Finish>,
}

/// Finish reason and token counts of a complete answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Finish {
    /// Finish reason, as reported by the engine.
    pub reason: String,
    /// Number of prompt tokens, as counted by the engine.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that were in the engine's cache.
    pub cached_tokens: u64,
    /// Number of tokens of the answer.
    pub completion_tokens: u64,
}

/// Error for chunks whose offsets are not those of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkOrderError {
    /// A chunk lies after the final one.
    #[error("chunk {offset} lies after the end at {end}")]
    AfterEnd {
        /// Offset of the chunk.
        offset: u64,
        /// Offset of the final chunk.
        end: u64,
    },
    /// Too many chunks were buffered while an earlier one was missing.
    #[error("chunk {missing} is missing")]
    Missing {
        /// Offset of the missing chunk.
        missing: u64,
    },
}

/// Reorder buffer for the chunks of one answer.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    next_offset: u64,
    early: BTreeMap<u64, Chunk>,
    end: Option<u64>,
}

impl Assembler {
    /// Returns the offset of the first chunk that was not yet returned by [`Self::apply`].
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Whether all chunks, including the final one, were returned by [`Self::apply`].
    pub fn is_complete(&self) -> bool {
        self.end.is_some_and(|end| self.next_offset > end)
    }

    /// Adds a chunk and returns those that are next in order. Chunks already returned are dropped.
    ///
    /// # Errors
    /// The offsets are not those of one answer.
    pub fn apply(&mut self, chunk: Chunk) -> Result<Vec<Chunk>, ChunkOrderError> {
        let offset = chunk.offset;
        if offset < self.next_offset {
            return Ok(Vec::new());
        }
        if let Some(end) = self.end.filter(|&end| offset > end) {
            return Err(ChunkOrderError::AfterEnd { offset, end });
        }
        if chunk.finish.is_some() {
            self.end = Some(offset);
        }
        self.early.insert(offset, chunk);
        if self.early.len() > MAX_EARLY_CHUNKS {
            return Err(ChunkOrderError::Missing { missing: self.next_offset });
        }
        Ok(self.take_ready())
    }

    /// Drops the buffered chunks. Called before a resumed stream delivers them again.
    pub fn discard_buffered(&mut self) {
        self.early.clear();
        self.end = None;
    }

    fn take_ready(&mut self) -> Vec<Chunk> {
        let mut ready = Vec::new();
        while let Some(chunk) = self.early.remove(&self.next_offset) {
            self.next_offset += 1;
            ready.push(chunk);
        }
        ready
    }
}
