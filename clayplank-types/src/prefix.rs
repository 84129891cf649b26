//! Hashes of prompt prefixes, by which engines that have a prefix in their cache are found.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Number of tokens in one block of a prefix.
pub const PREFIX_BLOCK_TOKENS: u64 = 1_024;

/// Maximum number of prefixes of a prompt that are hashed.
pub const MAX_PREFIX_BLOCKS: usize = 32;

/// Hashes each prefix of `prompt` that ends at a block boundary, the shortest first.
///
/// A hash covers all bytes before the boundary, so equal hashes mean equal prefixes.
pub fn prefix_hashes(prompt: &[u8], block_bytes: usize) -> Vec<u64> {
    let mut hasher = SipHasher13::new();
    let mut hashes = Vec::new();
    for block in prompt.chunks_exact(block_bytes.max(1)).take(MAX_PREFIX_BLOCKS) {
        hasher.write(block);
        hashes.push(hasher.finish());
    }
    hashes
}
