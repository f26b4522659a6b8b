//! Token buckets of the tenants whose holder this instance is.
//!
//! A bucket starts at a quarter of the slack, not at its burst. A restarted or new holder thus adds
//! at most that quarter to what the earlier holder granted.
//!
//! A request that finds no token gets one of the next ones, dated, if it is there soon. Instances
//! that ask at the same time are so served in the order of their requests, with one request each.
//!
//! Granted tokens stay outstanding until their use or return is known, and a bucket refills only
//! while its level and its outstanding tokens are below the burst. So the tokens of one holder that
//! are used in a window are at most the burst and the rate x window, however long tokens live.
//! Tokens for operations that wait count as used with the grant, as they are used when it arrives.

use std::time::Duration;

use heatherhollow_types::MonoTime;

use crate::name::TenantName;
use crate::outstanding::OutstandingTokens;
use crate::outstanding::RequesterId;
use crate::quota::QuotaGrant;
use crate::quota::QuotaRequest;
use crate::quota::QuotaSettings;
use crate::quota::RequestKind;
use crate::rate::TenantQuota;

/// Share of the slack at which a bucket starts, as a divisor.
const START_DIVISOR: f64 = 4.0;

/// Share of the level that one request gets at most, as a divisor, so that one instance does not
/// take the tokens of all others.
const GRANT_DIVISOR: f64 = 4.0;

/// Share of the level that one request gets at most as a reserve, as a divisor. Reserves are not
/// needed at once, so this is less than for tokens that are waited for.
const RESERVE_DIVISOR: f64 = 8.0;

/// Share of the burst that grants of reserves leave in the bucket, for instances without one.
const RESERVE_FLOOR: f64 = 0.5;

/// Error of sums of times and rates that still counts as a whole token.
const LEVEL_TOLERANCE: f64 = 1e-6;

/// Time for which a bucket of another holder stays after its last use; longer than instances differ
/// in their view of the holder. A bucket that is forgotten between the requests of such an instance
/// would start anew for each of them.
const RELEASE_TIME: Duration = Duration::from_secs(1);

/// Longest time that is answered; a rate near zero would exceed the range of a [`Duration`].
const MAX_RETRY_SECONDS: f64 = 86_400.0;

/// Tokens of one tenant.
#[derive(Debug)]
struct TokenBucket {
    level: f64,
    /// Time of the last refill.
    refilled: MonoTime,
    /// Time of the last request.
    used: MonoTime,
    quota: TenantQuota,
    outstanding: OutstandingTokens,
}

impl TokenBucket {
    /// Adds the tokens of the time since the last refill, and counts outstanding tokens that have
    /// ended as used.
    fn refill(&mut self, quota: TenantQuota, now: MonoTime) {
        while let Some(ended) = self.outstanding.first_end()
            && ended <= now
        {
            self.refill_until(ended, quota);
            self.outstanding.forget_first();
        }
        self.refill_until(now, quota);
        self.quota = quota;
    }

    /// Adds tokens as far as there is room beside the outstanding ones. Where the quota changed
    /// since the last refill, the lower rate counts.
    fn refill_until(&mut self, now: MonoTime, quota: TenantQuota) {
        let rate = quota.rate.per_second().min(self.quota.rate.per_second());
        let added = rate * now.since(self.refilled).as_secs_f64();
        self.level += added.min(self.room(quota));
        self.level = self.level.min(quota.burst());
        self.refilled = self.refilled.max(now);
    }

    /// Returns the number of tokens that the bucket may have in addition.
    fn room(&self, quota: TenantQuota) -> f64 {
        let outstanding = f64::from(self.outstanding.count());
        (quota.burst() - outstanding - self.level).max(0.0)
    }

    /// Settles the tokens that the requester no longer holds; returned ones go to the bucket.
    fn settle(&mut self, requester: RequesterId, request: &QuotaRequest) {
        let returned = self.outstanding.settle(requester, request);
        self.level += f64::from(returned).min(self.room(self.quota));
    }

    /// Takes tokens for operations that wait or are expected soon.
    fn take(&mut self, wanted: u32, grant_delay: Duration) -> QuotaGrant {
        let rate = self.quota.rate.per_second();
        if self.level < 1.0 - LEVEL_TOLERANCE {
            let next = (1.0 - self.level) / rate;
            let grant_delay = grant_delay.as_secs_f64();
            if next > grant_delay {
                return QuotaGrant {
                    retry_after: Some(retry_time(next)),
                    ..QuotaGrant::default()
                };
            }
            let further = ((grant_delay - next) * rate / GRANT_DIVISOR).floor();
            let granted = wanted.min(1 + further as u32);
            self.level -= f64::from(granted);
            return QuotaGrant {
                granted,
                retry_after: Some(retry_time(-self.level / rate)),
                ..QuotaGrant::default()
            };
        }
        let limit = (self.level / GRANT_DIVISOR).floor().max(1.0);
        let granted = wanted.min(limit as u32);
        self.level = (self.level - f64::from(granted)).max(0.0);
        QuotaGrant {
            granted,
            ..QuotaGrant::default()
        }
    }

    /// Takes tokens for a reserve.
    fn take_reserve(&mut self, reserve: u32) -> u32 {
        let spare = self.level - self.quota.burst() * RESERVE_FLOOR;
        let spare = (spare + LEVEL_TOLERANCE).floor().max(0.0);
        let limit = (self.level / RESERVE_DIVISOR).floor().max(1.0);
        let reserved = reserve.min(spare.min(limit) as u32);
        self.level -= f64::from(reserved);
        reserved
    }

    fn is_full(&self, now: MonoTime) -> bool {
        let added = self.quota.rate.per_second() * now.since(self.refilled).as_secs_f64();
        self.level + added >= self.quota.burst()
    }
}

/// Returns the level at which a bucket starts.
fn start_level(settings: &QuotaSettings, quota: TenantQuota) -> f64 {
    quota.burst().min(settings.slack / START_DIVISOR)
}

/// Returns a time of an answer in whole microseconds.
fn retry_time(seconds: f64) -> Duration {
    let micros = (seconds.clamp(0.0, MAX_RETRY_SECONDS) * 1e6).ceil();
    Duration::from_micros(micros as u64)
}

/// Token buckets by tenant.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    settings: QuotaSettings,
    /// Sorted by tenant; boxed so that an insertion moves little.
    buckets: Vec<(TenantName, Box<TokenBucket>)>,
}

impl QuotaLedger {
    /// Creates a ledger without buckets.
    pub fn new(settings: QuotaSettings) -> Self {
        let buckets = Vec::new();
        Self { settings, buckets }
    }

    /// Settles the tokens that the requester had and takes tokens for its request: at most a
    /// quarter of the level, but 1 if there is 1. Where there is none, tokens that will be there
    /// within [`QuotaSettings::grant_delay`] are granted in advance; the answer has the time from
    /// which they may be used. Tokens for a reserve are taken only as far as half of the burst
    /// stays.
    ///
    /// A question changes nothing. A return is settled, and its answer is not to be sent.
    pub fn grant(
        &mut self,
        requester: RequesterId,
        request: &QuotaRequest,
        quota: TenantQuota,
        now: MonoTime,
    ) -> QuotaGrant {
        let kind = request.kind();
        if kind == RequestKind::Question {
            return QuotaGrant::default();
        }
        if kind == RequestKind::Return && self.find(&request.tenant).is_err() {
            // A bucket that starts now was not there when these tokens were granted.
            return QuotaGrant::default();
        }
        let settings = &self.settings;
        let (grant_delay, margin) = (settings.grant_delay, settings.outstanding_margin);
        let ends = now + settings.token_lifetime + margin;
        let reserve_ends = now + settings.reserve_lifetime + margin;
        let bucket = self.bucket(&request.tenant, quota, now);
        bucket.used = bucket.used.max(now);
        bucket.refill(quota, now);
        bucket.settle(requester, request);
        let mut grant = match request.wanted {
            0 => QuotaGrant::default(),
            wanted => bucket.take(wanted, grant_delay),
        };
        // Operations that wait use their tokens at once, and would report this only much later.
        let kept = grant.granted - grant.granted.min(request.waiting);
        grant.reserved = bucket.take_reserve(request.reserve);
        grant.granted += grant.reserved;
        let outstanding = &mut bucket.outstanding;
        outstanding.add(requester, request.number, kept, ends);
        outstanding.add(requester, request.number, grant.reserved, reserve_ends);
        grant
    }

    fn find(&self, tenant: &TenantName) -> Result<usize, usize> {
        self.buckets.binary_search_by(|(name, _)| name.cmp(tenant))
    }

    fn bucket(
        &mut self,
        tenant: &TenantName,
        quota: TenantQuota,
        now: MonoTime,
    ) -> &mut TokenBucket {
        let i = self.find(tenant).unwrap_or_else(|i| {
            let bucket = TokenBucket {
                level: start_level(&self.settings, quota),
                refilled: now,
                used: now,
                quota,
                outstanding: OutstandingTokens::default(),
            };
            self.buckets.insert(i, (tenant.clone(), Box::new(bucket)));
            i
        });
        &mut self.buckets[i].1
    }

    /// Lowers the buckets of tenants for which `is_held` is false, as this instance is not their
    /// holder in its own view, to the start level, and forgets those that were not used within
    /// a second and have no outstanding tokens.
    ///
    /// While another instance is the holder, a bucket left here would fill up again and grant a
    /// second burst if this instance became the holder again.
    pub fn retain(&mut self, mut is_held: impl FnMut(&TenantName) -> bool, now: MonoTime) {
        let settings = &self.settings;
        self.buckets.retain_mut(|(tenant, bucket)| {
            if is_held(tenant) {
                return true;
            }
            bucket.refill(bucket.quota, now);
            let start_level = start_level(settings, bucket.quota);
            bucket.level = bucket.level.min(start_level);
            now.since(bucket.used) < RELEASE_TIME || !bucket.outstanding.is_empty()
        });
    }

    /// Forgets buckets that are full again and were not used for a while.
    pub fn expire(&mut self, now: MonoTime) {
        let retention = self.settings.bucket_retention;
        self.buckets
            .retain(|(_, bucket)| now.since(bucket.used) < retention || !bucket.is_full(now));
    }

    /// Returns the number of buckets.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether there are no buckets.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}
