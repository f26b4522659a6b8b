//! Text form of session tokens.
//!
//! The text is the unpadded base64url encoding of: version byte, key
//! id (2 bytes, big-endian), a byte with the number of entries and the overflow bit, the entries,
//! and the first 16 bytes of the HMAC-SHA-256 of all preceding bytes. An entry is a byte with the
//! length of the group name and the uncertain bit, the name, term and position as numbers, and for
//! an uncertain entry the difference between the uncertain term and the position's term. A number
//! is a length byte followed by that many bytes, big-endian, without leading zeros. Each token has
//! exactly one encoding per key, and the decoder rejects all other texts.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use displaydoc::Display;
use subtle::ConstantTimeEq;

use heatherhollow_types::GroupName;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::LogPosition;
use heatherhollow_types::TermNumber;

use crate::key::TokenKey;
use crate::token::MAX_TOKEN_GROUPS;
use crate::token::SessionToken;
use crate::token::TokenEntry;

/// Maximum length of the text of a token, in bytes.
pub const MAX_TOKEN_BYTES: usize = 2048;

const VERSION: u8 = 1;
const HEADER_BYTES: usize = 4;
const TAG_BYTES: usize = 16;
const OVERFLOW_BIT: u8 = 0x80;
const UNCERTAIN_BIT: u8 = 0x80;

/// Maximum length of an encoded entry: length byte, name of 64 bytes, three numbers of 9 bytes.
const MAX_ENTRY_BYTES: usize = 1 + 64 + 3 * 9;
const MAX_RAW_BYTES: usize = HEADER_BYTES + MAX_TOKEN_GROUPS * MAX_ENTRY_BYTES + TAG_BYTES;
const _: () = assert!((MAX_RAW_BYTES * 4).div_ceil(3) <= MAX_TOKEN_BYTES);

/// Why a text is not a valid session token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum TokenError {
    /// the session token has {0} bytes, more than the limit of 2048
    TooLong(usize),
    /// the session token is malformed
    Malformed,
    /// the session token names the unknown key {0}
    UnknownKey(u16),
    /// the session token is not authentic
    Forged,
}

impl std::error::Error for TokenError {}

/// Encodes and decodes tokens; signs with the first key and accepts all keys.
///
/// ```
/// use heatherhollow_session::{SessionToken, TokenCodec, TokenError, TokenKey};
/// let key = |id| TokenKey::new(id, b"0123456789abcdef").unwrap();
/// let old = TokenCodec::new(vec![key(1)]);
/// let rotated = TokenCodec::new(vec![key(2), key(1)]);
/// let token = SessionToken::default();
/// assert_eq!(rotated.decode(&old.encode(&token)), Ok(token.clone()));
/// assert_eq!(old.decode(&rotated.encode(&token)), Err(TokenError::UnknownKey(2)));
/// ```
#[derive(Debug, Clone)]
pub struct TokenCodec {
    keys: Vec<TokenKey>,
}

impl TokenCodec {
    /// Creates a codec from its keys, newest first.
    ///
    /// # Panics
    ///
    /// If there is no key.
    pub fn new(keys: Vec<TokenKey>) -> Self {
        assert!(!keys.is_empty(), "a token codec needs at least one key");
        Self { keys }
    }

    /// Returns the text of a token, signed with the newest key; at most [`MAX_TOKEN_BYTES`] long.
    pub fn encode(&self, token: &SessionToken) -> String {
        let key = &self.keys[0];
        let mut raw = Vec::with_capacity(128);
        raw.push(VERSION);
        raw.extend(key.id().to_be_bytes());
        let count = token.entries().len() as u8; // at most MAX_TOKEN_GROUPS
        raw.push(if token.is_overflowed() {
            count | OVERFLOW_BIT
        } else {
            count
        });
        for entry in token.entries() {
            push_entry(&mut raw, entry);
        }
        let tag = key.sign(&raw);
        raw.extend(&tag[..TAG_BYTES]);
        URL_SAFE_NO_PAD.encode(raw)
    }

    /// Verifies and parses the text of a token.
    pub fn decode(&self, text: &str) -> Result<SessionToken, TokenError> {
        if text.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::TooLong(text.len()));
        }
        let raw = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TokenError::Malformed)?;
        let (signed, tag) = raw
            .split_last_chunk::<TAG_BYTES>()
            .ok_or(TokenError::Malformed)?;
        let (header, body) = signed
            .split_first_chunk::<HEADER_BYTES>()
            .ok_or(TokenError::Malformed)?;
        let [version, id_high, id_low, count] = *header;
        if version != VERSION {
            return Err(TokenError::Malformed);
        }
        let id = u16::from_be_bytes([id_high, id_low]);
        self.verify(id, signed, tag)?;
        parse_body(count, body).ok_or(TokenError::Malformed)
    }

    fn verify(&self, id: u16, signed: &[u8], tag: &[u8; TAG_BYTES]) -> Result<(), TokenError> {
        let mut is_known = false;
        for key in self.keys.iter().filter(|key| key.id() == id) {
            is_known = true;
            if bool::from(key.sign(signed)[..TAG_BYTES].ct_eq(tag)) {
                return Ok(());
            }
        }
        Err(if is_known {
            TokenError::Forged
        } else {
            TokenError::UnknownKey(id)
        })
    }
}

fn push_entry(raw: &mut Vec<u8>, entry: &TokenEntry) {
    let name = entry.group.as_str().as_bytes();
    let length = name.len() as u8; // at most 64
    raw.push(match entry.uncertain {
        Some(_) => length | UNCERTAIN_BIT,
        None => length,
    });
    raw.extend(name);
    push_number(raw, entry.position.term.0);
    push_number(raw, entry.position.position.0);
    if let Some(term) = entry.uncertain {
        push_number(raw, term.0 - entry.position.term.0);
    }
}

fn push_number(raw: &mut Vec<u8>, number: u64) {
    let bytes = number.to_be_bytes();
    let zeros = (number.leading_zeros() / 8) as usize;
    raw.push((bytes.len() - zeros) as u8);
    raw.extend(&bytes[zeros..]);
}

fn parse_body(count: u8, body: &[u8]) -> Option<SessionToken> {
    let is_overflowed = count & OVERFLOW_BIT != 0;
    let count = usize::from(count & !OVERFLOW_BIT);
    if count > MAX_TOKEN_GROUPS {
        return None;
    }
    let mut rest = body;
    let mut entries = Vec::with_capacity(count);
    for _ in 0..count {
        entries.push(parse_entry(&mut rest)?);
    }
    if !rest.is_empty() {
        return None;
    }
    SessionToken::from_parts(entries, is_overflowed)
}

fn parse_entry(rest: &mut &[u8]) -> Option<TokenEntry> {
    let head = *rest.split_off_first()?;
    let name = rest.split_off(..usize::from(head & !UNCERTAIN_BIT))?;
    let group: GroupName = str::from_utf8(name).ok()?.parse().ok()?;
    let position = GroupPosition {
        term: TermNumber(parse_number(rest)?),
        position: LogPosition(parse_number(rest)?),
    };
    let uncertain = if head & UNCERTAIN_BIT != 0 {
        let term = position.term.0.checked_add(parse_number(rest)?)?;
        Some(TermNumber(term))
    } else {
        None
    };
    Some(TokenEntry {
        group,
        position,
        uncertain,
    })
}

fn parse_number(rest: &mut &[u8]) -> Option<u64> {
    let length = usize::from(*rest.split_off_first()?);
    if length > size_of::<u64>() {
        return None;
    }
    let bytes = rest.split_off(..length)?;
    if bytes.first() == Some(&0) {
        return None;
    }
    Some(
        bytes
            .iter()
            .fold(0, |number, &b| number << 8 | u64::from(b)),
    )
}
