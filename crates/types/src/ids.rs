//! Names and numbers that identify things.
//!
//! Names are short lower-case strings that are validated when they are parsed, so that they need no
//! quoting in paths, headers and log lines. Each kind of number has its own newtype.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum length of a request id, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 128;

/// Why a text is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum IdError {
    /// the name is empty
    Empty,
    /// the name has {0} bytes, more than the limit of {1}
    TooLong(usize, usize),
    /// the character {0:?} is not allowed in a name
    BadCharacter(char),
    /// {0:?} is not a number
    NotANumber(String),
    /// {0:?} does not have the form {1}
    BadForm(String, &'static str),
}

impl std::error::Error for IdError {}

fn check_name(text: &str, limit: usize, allowed: fn(char) -> bool) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > limit {
        return Err(IdError::TooLong(text.len(), limit));
    }
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(IdError::BadCharacter(c)),
        None => Ok(()),
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.')
}

/// The name of a team has no dot, since tokens and control messages name a group as `TEAM.GROUP`.
fn is_team_char(c: char) -> bool {
    c != '.' && is_name_char(c)
}

fn is_request_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':')
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $limit:expr, $allowed:expr) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name(text, $limit, $allowed)?;
                Ok(Self(text.to_string()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                check_name(&text, $limit, $allowed)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_type! {
    /// Name of a team.
    ///
    /// ```
    /// use heatherhollow_types::TeamName;
    /// let team: TeamName = "yard-staff".parse().unwrap();
    /// assert_eq!(team.to_string(), "yard-staff");
    /// assert!("Yard Staff".parse::<TeamName>().is_err());
    /// ```
    TeamName, MAX_NAME_BYTES, is_team_char
}
name_type! {
    /// Name of a service, unique within its team.
    ServiceName, MAX_NAME_BYTES, is_name_char
}
name_type! {
    /// Name of a kind of read, unique within its service.
    KindName, MAX_NAME_BYTES, is_name_char
}
name_type! {
    /// Name of a database group.
    GroupName, MAX_NAME_BYTES, is_name_char
}
name_type! {
    /// Name of a target, unique within its group.
    TargetName, MAX_NAME_BYTES, is_name_char
}
name_type! {
    /// Name of an instance of the proxy.
    InstanceName, MAX_NAME_BYTES, is_name_char
}
name_type! {
    /// Name of a data centre.
    DataCentre, MAX_NAME_BYTES, is_name_char
}
name_type! {
    /// Name of a region.
    RegionName, MAX_NAME_BYTES, is_name_char
}
name_type! {
    /// Idempotency key of a request, chosen by the caller.
    RequestId, MAX_REQUEST_ID_BYTES, is_request_char
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse()
                    .map(Self)
                    .map_err(|_| IdError::NotANumber(text.to_string()))
            }
        }
    };
}
pub(crate) use number_type;

number_type! {
    /// Number of a run of an instance; it increases with each restart.
    Incarnation(u64)
}
number_type! {
    /// Number of a connection permit, unique per service and target.
    PermitNumber(u16)
}
number_type! {
    /// Index of a target in its group's sorted list of targets.
    TargetIndex(u16)
}

impl TargetIndex {
    /// Returns the index as a `usize`.
    pub fn as_usize(self) -> usize {
        usize::from(self.0)
    }
}

/// One run of an instance, as the candidate that orders a promotion.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CandidateId {
    /// The instance.
    pub instance: InstanceName,
    /// Run of the instance.
    pub incarnation: Incarnation,
}

impl fmt::Display for CandidateId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.incarnation)
    }
}

/// Id of an open transaction, which names the run of the instance that holds its connection.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransactionId {
    /// Run of the instance that holds the connection.
    pub owner: CandidateId,
    /// Serial number of the transaction within that run.
    pub serial: u64,
}

impl fmt::Display for TransactionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { owner, serial } = self;
        write!(f, "{}:{}:{serial}", owner.instance, owner.incarnation)
    }
}

impl FromStr for TransactionId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let bad_form = || IdError::BadForm(text.to_string(), "INSTANCE:INCARNATION:SERIAL");
        let mut parts = text.splitn(3, ':');
        let instance = parts.next().ok_or_else(bad_form)?.parse()?;
        let incarnation = parts.next().ok_or_else(bad_form)?.parse()?;
        let serial = parts
            .next()
            .and_then(|part| part.parse().ok())
            .ok_or_else(bad_form)?;
        Ok(Self {
            owner: CandidateId {
                instance,
                incarnation,
            },
            serial,
        })
    }
}
