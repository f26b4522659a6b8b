//! Properties of the text form of session tokens.

mod support;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use heatherhollow_session::MAX_TOKEN_BYTES;
use heatherhollow_session::SessionToken;
use heatherhollow_session::TokenError;
use heatherhollow_session::TokenKey;
use heatherhollow_types::GroupName;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::TermNumber;

use support::SECRET;
use support::TokenOps;
use support::assert_caught;
use support::assert_holds;
use support::codec;
use support::rebuild;
use support::token_of;

const TAG_BYTES: usize = 16;

type Decoded = Result<SessionToken, TokenError>;

/// Encodes a body with a valid tag.
fn sign(mut raw: Vec<u8>) -> String {
    let mut mac = Hmac::<Sha256>::new_from_slice(SECRET).unwrap();
    mac.update(&raw);
    raw.extend(&mac.finalize().into_bytes()[..TAG_BYTES]);
    URL_SAFE_NO_PAD.encode(raw)
}

fn body_of(text: &str) -> Vec<u8> {
    let mut raw = URL_SAFE_NO_PAD.decode(text).unwrap_or_default();
    raw.truncate(raw.len().saturating_sub(TAG_BYTES));
    raw
}

trait TokenReader {
    fn decode(text: &str) -> Decoded;
}

struct RealReader;

impl TokenReader for RealReader {
    fn decode(text: &str) -> Decoded {
        codec().decode(text)
    }
}

/// Broken: does not compare the tag.
struct NoTagCheck;

impl TokenReader for NoTagCheck {
    fn decode(text: &str) -> Decoded {
        codec().decode(&sign(body_of(text)))
    }
}

/// Broken: ignores bytes after the last entry.
struct IgnoresTrailing;

impl TokenReader for IgnoresTrailing {
    fn decode(text: &str) -> Decoded {
        let mut raw = body_of(text);
        codec().decode(text).or_else(|_| {
            raw.pop();
            codec().decode(&sign(raw))
        })
    }
}

/// Broken: reads the header without checking the length.
struct UncheckedLength;

impl TokenReader for UncheckedLength {
    fn decode(text: &str) -> Decoded {
        let raw = URL_SAFE_NO_PAD.decode(text).unwrap_or_default();
        assert!(raw[0] < u8::MAX || raw.len() > TAG_BYTES);
        codec().decode(text)
    }
}

fn is_identity<const IS_BROKEN: bool>(ops: TokenOps) -> bool {
    let token = token_of(&ops);
    let text = if IS_BROKEN {
        // Broken: the encoding leaves out uncertain marks.
        let entries = token.entries().iter();
        codec().encode(&rebuild(
            entries.map(|entry| (&entry.group, entry.position, None)),
        ))
    } else {
        codec().encode(&token)
    };
    text.len() <= MAX_TOKEN_BYTES && codec().decode(&text) == Ok(token)
}

fn flipped_bit_is_rejected<R: TokenReader>(ops: TokenOps, at: usize, bit: u8) -> bool {
    let mut bytes = codec().encode(&token_of(&ops)).into_bytes();
    let at = at % bytes.len();
    bytes[at] ^= 1 << (bit % 8);
    match String::from_utf8(bytes) {
        Ok(text) => R::decode(&text).is_err(),
        Err(_) => true,
    }
}

fn arbitrary_text_is_handled<R: TokenReader>(raw: Vec<u8>, is_encoded: bool) -> bool {
    let text = if is_encoded {
        URL_SAFE_NO_PAD.encode(raw)
    } else {
        String::from_utf8_lossy(&raw).into_owned()
    };
    R::decode(&text).is_err()
}

/// Changes to a body that has a valid tag, as an older or faulty program might produce it.
fn accepted_text_is_canonical<R: TokenReader>(ops: TokenOps, edits: Vec<(u8, u16, u8)>) -> bool {
    let mut raw = body_of(&codec().encode(&token_of(&ops)));
    for (kind, at, byte) in edits.into_iter().take(3) {
        let at = usize::from(at) % (raw.len() + 1);
        match kind % 4 {
            0 => raw.insert(at, byte),
            1 => raw.push(byte),
            2 if at < raw.len() => raw[at] = byte,
            _ if at < raw.len() => drop(raw.remove(at)),
            _ => {}
        }
    }
    let text = sign(raw);
    R::decode(&text).is_err_and(|error| error != TokenError::Forged)
        || R::decode(&text).is_ok_and(|token| codec().encode(&token) == text)
}

/// Guards against an encoding that loses information of the token.
#[test]
fn decode_reverses_encode() {
    assert_holds(is_identity::<false> as fn(_) -> _);
    assert_caught(is_identity::<true> as fn(_) -> _);
}

/// Guards against a token that a caller can modify.
#[test]
fn any_flipped_bit_is_rejected() {
    assert_holds(flipped_bit_is_rejected::<RealReader> as fn(_, _, _) -> _);
    assert_caught(flipped_bit_is_rejected::<NoTagCheck> as fn(_, _, _) -> _);
}

/// Guards against a panic on malicious input.
#[test]
fn arbitrary_text_never_panics() {
    assert_holds(arbitrary_text_is_handled::<RealReader> as fn(_, _) -> _);
    assert_caught(arbitrary_text_is_handled::<UncheckedLength> as fn(_, _) -> _);
}

/// Guards against two texts for one token, and against a panic on a signed but malformed body.
#[test]
fn only_the_canonical_text_is_accepted() {
    assert_holds(accepted_text_is_canonical::<RealReader> as fn(_, _) -> _);
    assert_caught(accepted_text_is_canonical::<IgnoresTrailing> as fn(_, _) -> _);
}

/// Guards against a token with the maximum number of groups that exceeds the limit of a header.
#[test]
fn largest_token_fits() {
    let names = (0..16)
        .map(|i| format!("{i:064}").parse().unwrap())
        .collect::<Vec<GroupName>>();
    let position = GroupPosition::new(1, u64::MAX);
    let mark = Some(TermNumber(u64::MAX));
    let token = rebuild(names.iter().map(|name| (name, position, mark)));
    let text = codec().encode(&token);
    assert!(text.len() <= MAX_TOKEN_BYTES);
    assert_eq!(codec().decode(&text), Ok(token));
    let too_long = "A".repeat(MAX_TOKEN_BYTES + 1);
    assert_eq!(
        codec().decode(&too_long),
        Err(TokenError::TooLong(MAX_TOKEN_BYTES + 1))
    );
}

/// Guards against a secret that is written to a log through `Debug`.
#[test]
fn secrets_are_not_printed() {
    let key = TokenKey::new(7, SECRET).unwrap();
    assert_eq!(format!("{key:?}"), "TokenKey { id: 7, .. }");
}
