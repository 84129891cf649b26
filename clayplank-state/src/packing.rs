//! Compressed encoding for values with repetitive content: postcard, then DEFLATE (RFC 1951).

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::command::{CodecError, decode, encode};

/// Maximum number of bytes that are decompressed from one value: a few times the size of the
/// largest plan that keepers accept.
const MAX_UNPACKED_BYTES: u64 = 32 << 20;

/// Error of [`pack`] or [`unpack`].
#[derive(Debug, thiserror::Error)]
pub enum PackError {
    /// The bytes are not valid DEFLATE data.
    #[error("the value cannot be unpacked: {0}")]
    Packed(#[from] std::io::Error),
    /// The value cannot be encoded, or the decompressed bytes do not decode to the requested type.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Encodes and compresses a value.
///
/// # Errors
/// The value cannot be encoded. Compression itself writes to memory and has no known error.
pub fn pack<T: Serialize>(value: &T) -> Result<Vec<u8>, PackError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&encode(value)?)?;
    Ok(encoder.finish()?)
}

/// Decompresses and decodes bytes written by [`pack`].
///
/// # Errors
/// The bytes are damaged, or decompress to more than 32 MiB.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PackError> {
    let mut encoded = Vec::new();
    DeflateDecoder::new(bytes).take(MAX_UNPACKED_BYTES).read_to_end(&mut encoded)?;
    Ok(decode(&encoded)?)
}
