//! Session tokens, which give a session read-your-writes consistency across instances.
//!
//! A [`SessionToken`] has one entry for each database group that the session has written to. The
//! caller receives the token as text, encoded by a [`TokenCodec`], and sends it with its next
//! request to any instance. [`SessionToken::requirement`] returns the state that a read requires,
//! and [`check_position`] compares this requirement with the state of a target.

mod check;
mod codec;
mod key;
mod token;

pub use check::PositionCheck;
pub use check::check_position;
pub use codec::MAX_TOKEN_BYTES;
pub use codec::TokenCodec;
pub use codec::TokenError;
pub use key::KeyError;
pub use key::MIN_SECRET_BYTES;
pub use key::TokenKey;
pub use token::MAX_TOKEN_GROUPS;
pub use token::ReadRequirement;
pub use token::SessionToken;
pub use token::TokenEntry;
