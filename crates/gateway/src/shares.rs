//! Shares of the connections of targets: how many an instance keeps, and when it may borrow more.
//!
//! A target accepts few connections from all instances together. Half of them are divided into
//! equal shares; the rest is borrowed for short times where the target reports room.

use std::time::Duration;

use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;

use crate::group::GroupState;

/// Connections that a target is assumed to accept until its group is declared.
const DEFAULT_MAX_CONNECTIONS: usize = 16;

/// Divisor for the part of a target's connections that is split into shares; the rest is borrowed
/// for short times. If all instances lose power at once, their connections linger at the targets
/// for seconds, and as many new ones have to fit beside them.
const SHARED_DIVISOR: usize = 2;

/// Divisor for the part of a target's connections that is never borrowed, so that starting
/// instances find room.
const RESERVED_DIVISOR: usize = 4;

/// Connections to each target that an instance needs to serve a group by itself: one for statements
/// and one for transactions that wait for their client.
const MIN_OWN_CONNECTIONS: usize = 2;

/// Connections above the share that are tried without a recent connection count from the target.
const MAX_UNREPORTED_SURPLUS: usize = 2;

/// Greatest age of a status report whose connection count is used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

impl GroupState {
    /// Returns the number of connections that each instance may keep to each target, if this many
    /// `instances` share them.
    pub fn connection_share(&self, instances: usize) -> usize {
        (self.connection_limit() / SHARED_DIVISOR / instances.max(1)).max(1)
    }

    /// Returns whether a target accepts too few connections for each instance to hold its own.
    pub fn has_scarce_connections(&self, instances: usize) -> bool {
        self.connection_limit() / SHARED_DIVISOR < instances * MIN_OWN_CONNECTIONS
    }

    /// Returns whether one more connection than the share may be opened to a target while the
    /// shares of other instances still fit.
    pub fn may_exceed_share(&self, target: TargetIndex, instances: usize, now: MonoTime) -> bool {
        let Some(pool) = self
            .pool(target)
            .filter(|pool| now >= pool.surplus_allowed_at)
        else {
            return false;
        };
        let limit = self.connection_limit();
        match pool.report {
            Some((at, report)) if now.since(at) <= MAX_REPORT_AGE => {
                (report.connections as usize) + pool.opening_count()
                    < limit - limit / RESERVED_DIVISOR
            }
            // Without a recent connection count, a few more are tried; the target refuses those
            // above its limit.
            _ => pool.connections.len() < self.connection_share(instances) + MAX_UNREPORTED_SURPLUS,
        }
    }
    /// Returns the number of connections that a target accepts from all instances together.
    fn connection_limit(&self) -> usize {
        self.rule.as_ref().map_or(DEFAULT_MAX_CONNECTIONS, |rule| {
            rule.max_connections as usize
        })
    }
}
