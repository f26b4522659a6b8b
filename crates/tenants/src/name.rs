//! Names of tenants.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use displaydoc::Display;

/// Largest size of a name, in bytes; that of the other fields of a line to a target.
const MAX_NAME_BYTES: usize = 200;

/// Name of a tenant, as targets are told it.
///
/// Connections and sessions share the text, as an instance has thousands of them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantName(Arc<str>);

/// Reasons why a text is not the name of a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NameError {
    /// the name is empty
    Empty,
    /// the name is longer than 200 bytes
    TooLong,
    /// the name contains a blank or a control character
    NotAWord,
}

impl std::error::Error for NameError {}

impl TenantName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for TenantName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        if text.is_empty() {
            return Err(NameError::Empty);
        }
        if text.len() > MAX_NAME_BYTES {
            return Err(NameError::TooLong);
        }
        // The name is a field of a line that does not extend to the end of the line.
        if text.chars().any(|c| c.is_whitespace() || c.is_control()) {
            return Err(NameError::NotAWord);
        }
        Ok(Self(text.into()))
    }
}

impl fmt::Display for TenantName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
