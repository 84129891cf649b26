//! Encoding of records in a file: magic bytes, payload length, CRC-32 and payload.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Magic bytes at the start of each record. They make it possible to find a record after damaged
/// bytes.
const MAGIC: [u8; 4] = *b"cpk1";

/// Size of a record's header: magic bytes, length and checksum, four bytes each.
const HEADER_BYTES: usize = 12;

/// A value could not be encoded as a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a record is larger than four gigabytes or cannot be encoded")]
pub struct UnencodableRecord;

/// Result of decoding the record at an offset.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decoded<T> {
    /// The record's value, and the offset after it.
    Record(T, usize),
    /// The offset is the end of the file.
    End,
    /// The bytes at the offset are not a complete, valid record.
    Damaged,
}

/// Encodes a value as a record and appends it to the buffer.
pub(crate) fn encode_record<T: Serialize>(
    buffer: &mut Vec<u8>,
    value: &T,
) -> Result<(), UnencodableRecord> {
    let payload = postcard::to_stdvec(value).map_err(|_| UnencodableRecord)?;
    let length = u32::try_from(payload.len()).map_err(|_| UnencodableRecord)?;
    buffer.extend_from_slice(&MAGIC);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    buffer.extend_from_slice(&payload);
    Ok(())
}

/// Decodes the record at an offset.
pub(crate) fn decode_record<T: DeserializeOwned>(bytes: &[u8], offset: usize) -> Decoded<T> {
    if offset == bytes.len() {
        return Decoded::End;
    }
    let Some((payload, next)) = payload_at(bytes, offset) else {
        return Decoded::Damaged;
    };
    match postcard::from_bytes(payload) {
        Ok(value) => Decoded::Record(value, next),
        Err(_) => Decoded::Damaged,
    }
}

fn payload_at(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[8..12].try_into().ok()?);
    let start = offset + HEADER_BYTES;
    let payload = bytes.get(start..start.checked_add(length)?)?;
    (crc32fast::hash(payload) == checksum).then_some((payload, start + length))
}

/// Whether a complete record starts anywhere after an offset.
pub(crate) fn has_record_after(bytes: &[u8], offset: usize) -> bool {
    let offsets = offset + 1..bytes.len().saturating_sub(HEADER_BYTES) + 1;
    offsets
        .into_iter()
        .any(|offset| bytes[offset..].starts_with(&MAGIC) && payload_at(bytes, offset).is_some())
}
