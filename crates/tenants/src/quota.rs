//! Settings and messages of quotas.

use std::time::Duration;

use crate::name::TenantName;

/// Bounds and times of quotas.
///
/// ```
/// use heatherhollow_tenants::QuotaSettings;
///
/// let settings = QuotaSettings {
///     slack: 40.0,
///     ..QuotaSettings::default()
/// };
/// assert_eq!(settings.overage, 0.1);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaSettings {
    /// Window of the bound on the operations of a tenant.
    pub window: Duration,
    /// Share by which the operations in a window may exceed the rate and the burst.
    pub overage: f64,
    /// Operations in a window beyond that share.
    pub slack: f64,
    /// Time for which a token may be used after the request for it was sent.
    pub token_lifetime: Duration,
    /// Time for which a token of a reserve may be used after the request for it was sent.
    pub reserve_lifetime: Duration,
    /// Time of recent demand for which a reserve has tokens.
    pub reserve_span: Duration,
    /// Time since the last but one operation within which an instance requests a reserve. Tenants
    /// with fewer operations would return most reserves unused.
    pub reserve_interval: Duration,
    /// Time since the last operation after which an instance returns all tokens.
    pub return_delay: Duration,
    /// Time for which an expired token waits for a request that can return it.
    pub expired_return_delay: Duration,
    /// Time by which the holder keeps granted tokens as outstanding for longer than they live after
    /// the grant, so that they can be returned after they have expired.
    pub outstanding_margin: Duration,
    /// Time whose expected need a request asks for.
    pub request_horizon: Duration,
    /// Time of recent demand that the tokens left have to cover; with fewer, a request is due.
    pub reserve_horizon: Duration,
    /// Time from now within which a holder grants tokens in advance. It is short against the latency
    /// objectives of operations, and spares those that exceed a rate for a moment a refusal.
    pub grant_delay: Duration,
    /// Time constant with which recent demand is smoothed.
    pub demand_smoothing: Duration,
    /// Time within which a holder has to answer a request.
    pub answer_limit: Duration,
    /// Time after which a cache forgets a tenant that is not used.
    pub cache_retention: Duration,
    /// Time after which a ledger forgets a full bucket that is not used.
    pub bucket_retention: Duration,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overage: 0.1,
            slack: 20.0,
            token_lifetime: Duration::from_millis(500),
            reserve_lifetime: Duration::from_secs(5),
            reserve_span: Duration::from_millis(500),
            reserve_interval: Duration::from_secs(5),
            return_delay: Duration::from_secs(2),
            expired_return_delay: Duration::from_millis(300),
            outstanding_margin: Duration::from_secs(1),
            request_horizon: Duration::from_millis(250),
            reserve_horizon: Duration::from_millis(100),
            grant_delay: Duration::from_millis(30),
            // Long enough that single operations do not look like a rate, short enough for a surge
            // of 6 s.
            demand_smoothing: Duration::from_secs(1),
            answer_limit: Duration::from_millis(300),
            cache_retention: Duration::from_secs(60),
            // A forgotten bucket starts below its burst, so tenants with pauses are kept for long.
            bucket_retention: Duration::from_secs(600),
        }
    }
}

/// What a [`QuotaRequest`] is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Requests tokens.
    Tokens,
    /// Only returns tokens; it is not answered.
    Return,
    /// Asks whether an instance answers.
    Question,
}

/// Request for tokens, sent to the holder of a tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaRequest {
    /// Tenant whose tokens are requested.
    pub tenant: TenantName,
    /// Number of tokens that are expected to be needed.
    pub wanted: u32,
    /// Number of the wanted tokens for which operations wait.
    pub waiting: u32,
    /// Number of the request; the answer repeats it.
    pub number: u64,
    /// Number of tokens of this holder that the requester can still use.
    pub held: u32,
    /// Number of tokens that the requester gives up.
    pub returned: u32,
    /// Number of tokens to keep in reserve, in addition to `wanted`.
    pub reserve: u32,
}

impl QuotaRequest {
    /// Creates the question whether an instance answers, with the number that it carries.
    pub fn question(tenant: TenantName, number: u64) -> Self {
        Self {
            tenant,
            wanted: 0,
            waiting: 0,
            number,
            held: 0,
            returned: 0,
            reserve: 0,
        }
    }

    /// Returns what the request is for.
    pub fn kind(&self) -> RequestKind {
        match (self.wanted, self.reserve, self.returned) {
            (0, 0, 0) => RequestKind::Question,
            (0, 0, _) => RequestKind::Return,
            _ => RequestKind::Tokens,
        }
    }
}

/// Answer of the holder to a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QuotaGrant {
    /// Number of tokens that may be used, with those for a reserve.
    pub granted: u32,
    /// Number of the granted tokens that are for a reserve and live longer.
    pub reserved: u32,
    /// Time until a token is there, if none is granted; otherwise the time from which the granted
    /// ones may be used, `None` for at once.
    pub retry_after: Option<Duration>,
}
