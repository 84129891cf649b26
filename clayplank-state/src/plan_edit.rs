//! Edit scripts between two versions of the serving plan. Most changes touch a few lines of a plan
//! of hundreds of kilobytes, and each change is sent to hundreds of hosts.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::command::PlanDocument;
use crate::packing::{PackError, pack, unpack};

/// Plans are compared in pieces that each start at this byte, with which every JSON object of a
/// plan begins. The first piece is what precedes the first such byte.
const PIECE_START: u8 = b'{';

/// Reason for which an edit cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EditError {
    /// The edit applies to another version than the given one.
    #[error("the plan edit applies to version {base}, but the current version is {current}")]
    BaseMismatch {
        /// Version to which the edit applies.
        base: u64,
        /// Version of the given plan.
        current: u64,
    },
    /// The result is not the text for which the edit was made: a copied range lies outside the
    /// given text, the checksum differs, or the result is not UTF-8.
    #[error("the plan edit did not produce the text of version {version}")]
    ResultMismatch {
        /// Version of the new plan.
        version: u64,
    },
}

/// One step of an edit; the steps produce the new text from start to end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Step {
    /// Appends a range of the base text.
    Copy { start: u32, length: u32 },
    /// Appends new bytes.
    Insert(Vec<u8>),
}

/// An edit script that turns one version of the plan into another, or contains a complete plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanEdit {
    /// Version to which the edit applies; 0 if it contains the complete text and applies to any.
    base_version: u64,
    version: u64,
    /// CRC-32 of the new text.
    checksum: u32,
    steps: Vec<Step>,
}

impl PlanEdit {
    /// An edit that contains all of `next` and applies to any plan.
    pub fn full(next: &PlanDocument) -> Self {
        Self::between(&PlanDocument::default(), next)
    }

    /// An edit that turns `base` into `next`.
    pub fn between(base: &PlanDocument, next: &PlanDocument) -> Self {
        let (old, new) = (base.text.as_bytes(), next.text.as_bytes());
        let mut offset_by_piece: HashMap<&[u8], usize> = HashMap::new();
        let mut start = 0;
        for piece in pieces(old) {
            offset_by_piece.entry(piece).or_insert(start);
            start += piece.len();
        }
        let mut steps = Vec::new();
        let mut expected_offset = 0;
        for piece in pieces(new) {
            // Equal pieces may occur many times in the base text. The one right after the previous
            // match is preferred, because it extends the previous `Copy` step.
            let continues = old.get(expected_offset..expected_offset + piece.len()) == Some(piece);
            let found =
                if continues { Some(expected_offset) } else { offset_by_piece.get(piece).copied() };
            push_piece(&mut steps, piece, found);
            expected_offset = found.map_or(expected_offset, |start| start + piece.len());
        }
        let checksum = crc32fast::hash(new);
        Self { base_version: base.version, version: next.version, checksum, steps }
    }

    /// Encodes and compresses the edit for sending. Plans repeat their field names in each route,
    /// so that hundreds of new routes, sent to all hosts at once, shrink to a fraction of their
    /// text.
    ///
    /// # Errors
    /// The edit cannot be encoded. Compression itself writes to memory and has no known error.
    pub fn pack(&self) -> Result<Vec<u8>, PackError> {
        pack(self)
    }

    /// Decodes an edit written by [`PlanEdit::pack`].
    ///
    /// # Errors
    /// The bytes are damaged, or decompress to more than 32 MiB.
    pub fn unpack(bytes: &[u8]) -> Result<Self, PackError> {
        unpack(bytes)
    }

    /// Applies the edit to the current plan and returns the new one.
    ///
    /// # Errors
    /// The edit was made for another version or another text than that of `current`.
    pub fn apply(&self, current: &PlanDocument) -> Result<PlanDocument, EditError> {
        if self.base_version != 0 && current.version != self.base_version {
            return Err(EditError::BaseMismatch {
                base: self.base_version,
                current: current.version,
            });
        }
        let result_mismatch = EditError::ResultMismatch { version: self.version };
        let mut bytes = Vec::with_capacity(current.text.len());
        for step in &self.steps {
            match step {
                Step::Copy { start, length } => {
                    let range = *start as usize..*start as usize + *length as usize;
                    bytes.extend_from_slice(
                        current.text.as_bytes().get(range).ok_or(result_mismatch)?,
                    );
                }
                Step::Insert(new) => bytes.extend_from_slice(new),
            }
        }
        if crc32fast::hash(&bytes) != self.checksum {
            return Err(result_mismatch);
        }
        let text = String::from_utf8(bytes).map_err(|_| result_mismatch)?;
        Ok(PlanDocument { version: self.version, text: text.into() })
    }
}

/// Appends a piece found at byte `found` of the base text, or a new piece if that is `None`.
/// Extends the last step if the piece continues it.
fn push_piece(steps: &mut Vec<Step>, piece: &[u8], found: Option<usize>) {
    match (steps.last_mut(), found) {
        (Some(Step::Copy { start, length }), Some(offset))
            if (*start + *length) as usize == offset =>
        {
            *length += piece.len() as u32;
        }
        (_, Some(offset)) => {
            steps.push(Step::Copy { start: offset as u32, length: piece.len() as u32 })
        }
        (Some(Step::Insert(bytes)), None) => bytes.extend_from_slice(piece),
        (_, None) => steps.push(Step::Insert(piece.to_vec())),
    }
}

/// Splits a text into pieces that start at [`PIECE_START`], in order.
fn pieces(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.chunk_by(|_, next| *next != PIECE_START)
}
