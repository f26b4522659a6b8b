//! Tokens that a holder has granted and that may still be used.
//!
//! A holder learns of a token's use only from the next request of the instance that used it. Until
//! then the token counts as outstanding, and a bucket does not refill in its place.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use heatherhollow_types::MonoTime;

use crate::quota::QuotaRequest;

/// Process of an instance that requests tokens, as its holder tells them apart. A process that was
/// restarted or has opened a new link has another id, as its numbers of requests start anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequesterId(pub u64);

impl RequesterId {
    /// The holder itself.
    pub const OWN: Self = Self(u64::MAX);
}

impl fmt::Display for RequesterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RequesterId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Tokens of one grant.
#[derive(Debug, Clone, Copy)]
struct OutstandingGrant {
    requester: RequesterId,
    /// Number of the request.
    number: u64,
    /// Time from which the tokens cannot be used any more.
    ends: MonoTime,
    left: u32,
}

/// Outstanding tokens of a tenant.
#[derive(Debug, Default)]
pub(crate) struct OutstandingTokens {
    /// Sorted by their end, in which order tokens are used too; each has at least one token.
    grants: Vec<OutstandingGrant>,
}

impl OutstandingTokens {
    /// Returns the number of outstanding tokens of all requesters.
    pub fn count(&self) -> u32 {
        let left = self.grants.iter().map(|grant| grant.left);
        left.fold(0, u32::saturating_add)
    }

    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Adds the tokens of a grant, which end at a time.
    pub fn add(&mut self, requester: RequesterId, number: u64, count: u32, ends: MonoTime) {
        if count == 0 {
            return;
        }
        let grant = OutstandingGrant {
            requester,
            number,
            ends,
            left: count,
        };
        let i = self.grants.partition_point(|other| other.ends <= ends);
        self.grants.insert(i, grant);
    }

    /// Counts the outstanding tokens that the requester neither holds nor returns as used. Returns
    /// the number of returned tokens that were outstanding.
    ///
    /// Messages may arrive in another order than they were sent in. Tokens granted for a later
    /// request are therefore not meant by this one.
    pub fn settle(&mut self, requester: RequesterId, request: &QuotaRequest) -> u32 {
        let is_meant = |grant: &&mut OutstandingGrant| {
            grant.requester == requester && grant.number < request.number
        };
        let meant = self.grants.iter_mut().filter(is_meant);
        let meant = meant.map(|grant| grant.left);
        let known = meant.fold(0, u32::saturating_add);
        let held = request.held.min(known);
        let mut ended = known - held;
        for grant in self.grants.iter_mut().filter(is_meant) {
            let removed = grant.left.min(ended);
            grant.left -= removed;
            ended -= removed;
        }
        self.grants.retain(|grant| grant.left > 0);
        request.returned.min(known - held)
    }

    /// Returns the time at which the first tokens end.
    pub fn first_end(&self) -> Option<MonoTime> {
        self.grants.first().map(|grant| grant.ends)
    }

    /// Forgets the tokens that end first.
    pub fn forget_first(&mut self) {
        if !self.grants.is_empty() {
            self.grants.remove(0);
        }
    }
}
