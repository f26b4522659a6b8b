//! Digests of API keys.
//!
//! Only the digest of a key is kept, so that no log line, message or memory dump contains a key.

use std::fmt;

use sha2::Digest;
use sha2::Sha256;

/// SHA-256 digest of an API key.
///
/// The time of a comparison depends on how many bytes of two digests are equal. This reveals
/// nothing about the key, as a caller cannot choose a key by its digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; Self::BYTES]);

impl KeyDigest {
    /// Size of a digest.
    pub const BYTES: usize = 32;

    /// Returns the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Creates a digest from its bytes; `None` if their number is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; Self::BYTES] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(redacted)")
    }
}
