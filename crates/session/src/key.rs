//! Keys that authenticate session tokens.

use std::fmt;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use displaydoc::Display;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

/// Minimum length of a key's secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Why a text or secret is not a valid key.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum KeyError {
    /// the key does not have the form ID:SECRET with a secret in base64url
    BadForm,
    /// the secret of the key has {0} bytes, fewer than 16
    TooShort(usize),
}

impl std::error::Error for KeyError {}

/// Secret that signs and verifies tokens, with the key id that tokens contain.
///
/// ```
/// use heatherhollow_session::TokenKey;
/// let key: TokenKey = "7:MDEyMzQ1Njc4OWFiY2RlZg".parse().unwrap();
/// assert_eq!(key.id(), 7);
/// assert!("7:c2hvcnQ".parse::<TokenKey>().is_err());
/// ```
#[derive(Clone)]
pub struct TokenKey {
    id: u16,
    mac: Hmac<Sha256>,
}

impl TokenKey {
    /// Creates a key from its id and secret.
    ///
    /// # Errors
    ///
    /// If the secret is shorter than [`MIN_SECRET_BYTES`].
    pub fn new(id: u16, secret: &[u8]) -> Result<Self, KeyError> {
        if secret.len() < MIN_SECRET_BYTES {
            return Err(KeyError::TooShort(secret.len()));
        }
        let mac = Hmac::new_from_slice(secret).map_err(|_| KeyError::TooShort(secret.len()))?;
        Ok(Self { id, mac })
    }

    /// Returns the id of the key.
    pub fn id(&self) -> u16 {
        self.id
    }

    /// Returns the HMAC-SHA-256 of the bytes.
    pub(crate) fn sign(&self, bytes: &[u8]) -> [u8; 32] {
        let mut mac = self.mac.clone();
        mac.update(bytes);
        mac.finalize().into_bytes().into()
    }
}

impl fmt::Debug for TokenKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TokenKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl FromStr for TokenKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let (id, secret) = text.split_once(':').ok_or(KeyError::BadForm)?;
        let id = id.parse().map_err(|_| KeyError::BadForm)?;
        let secret = URL_SAFE_NO_PAD
            .decode(secret)
            .map_err(|_| KeyError::BadForm)?;
        Self::new(id, &secret)
    }
}
