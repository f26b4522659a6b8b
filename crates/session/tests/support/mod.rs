//! Runs properties, and builds tokens from random operations.
#![allow(dead_code)] // each test binary uses only some items

use quickcheck::Testable;

use heatherhollow_session::SessionToken;
use heatherhollow_session::TokenCodec;
use heatherhollow_session::TokenKey;
use heatherhollow_types::GroupName;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::TermNumber;

/// Operations on a token: (group, operation, term, position), taken modulo small numbers.
pub type TokenOps = Vec<(u8, u8, u8, u8)>;

pub const SECRET: &[u8] = b"secret of at least 16 bytes";

/// Size of the generated cases.
const SIZE: usize = 100;

/// Panics with the seed if the property does not hold.
pub fn assert_holds(property: impl Testable) {
    heatherhollow_properties::assert_holds(SIZE, property);
}

/// Panics if the property holds although it tests a broken variant.
pub fn assert_caught(property: impl Testable) {
    heatherhollow_properties::assert_caught(SIZE, property);
}

pub fn group(number: u8) -> GroupName {
    format!("group-{:02}", number % 24).parse().unwrap()
}

pub fn token_of(ops: &TokenOps) -> SessionToken {
    let mut token = SessionToken::default();
    for &(number, op, term, position) in ops {
        let name = group(number);
        let position = GroupPosition::new(u64::from(term % 5), u64::from(position % 50));
        match op % 16 {
            0..=9 => token.record_write(&name, position),
            10..=12 => token.record_unknown(&name, position.term),
            13 => token.clear_unknown(&name, position),
            14 => {
                let entry = token.entries().iter().find(|entry| entry.group == name);
                if let Some(lost) = entry.map(|entry| entry.position) {
                    token.record_lost_position(&name, lost);
                }
            }
            _ => token.retain_groups(|other| *other != name),
        }
    }
    token
}

/// Builds a token with the given entries that never dropped any.
pub fn rebuild<'a>(
    entries: impl IntoIterator<Item = (&'a GroupName, GroupPosition, Option<TermNumber>)>,
) -> SessionToken {
    let mut token = SessionToken::default();
    for (name, position, uncertain) in entries {
        token.record_write(name, position);
        if let Some(term) = uncertain {
            token.record_unknown(name, term);
        }
    }
    token
}

pub fn codec() -> TokenCodec {
    TokenCodec::new(vec![TokenKey::new(7, SECRET).unwrap()])
}
