//! Tokens that an instance was granted and has not used yet.
//!
//! Tokens that are requested and not used are not there for the other instances until they are
//! returned. Expected needs are therefore rounded down.
//!
//! For tenants in use an instance keeps a reserve, so that most operations need not wait for an
//! answer of the holder. It is refilled in the background and returned when the tenant is not used.

use std::collections::VecDeque;
use std::time::Duration;

use heatherhollow_types::MonoTime;

use crate::batches::TokenBatch;
use crate::batches::TokenBatches;
use crate::demand::DemandMeter;
use crate::emergency::EmergencyShare;
use crate::holders::HolderChoice;
use crate::name::TenantName;
use crate::quota::QuotaGrant;
use crate::quota::QuotaRequest;
use crate::quota::QuotaSettings;
use crate::rate::TenantQuota;

/// Decision on an operation of a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// A token was taken; the operation may run.
    Admitted,
    /// No token is there; the operation waits for the answer to a request.
    Wait,
    /// The tenant is over its limit.
    Refused {
        /// Time after which the operation may be tried again.
        retry_after: Duration,
    },
}

/// Request in progress.
#[derive(Debug, Clone, Copy)]
struct SentRequest {
    number: u64,
    sent: MonoTime,
    wanted: u32,
    /// Number of the wanted tokens for which operations wait.
    waiting: u32,
    reserve: u32,
}

/// Answer that granted nothing.
#[derive(Debug, Clone, Copy)]
struct RequestPause {
    /// Time at which the holder has a token.
    retry_at: MonoTime,
    /// Time of the next request; earlier than that if the rate is low, as the quota may be raised.
    ask_at: MonoTime,
}

/// State of a tenant.
#[derive(Debug)]
struct CachedTenant {
    /// Holder in the view of this instance; `None` until it is told.
    holder: Option<HolderChoice>,
    /// Quota that was told last.
    quota: Option<TenantQuota>,
    batches: TokenBatches,
    demand: DemandMeter,
    /// Times of the newest operation and of the one before it.
    operations: [Option<MonoTime>; 2],
    /// Time of the newest request for which an operation waited; the operation is not recorded yet.
    awaited: Option<MonoTime>,
    request: Option<SentRequest>,
    pause: Option<RequestPause>,
    /// Tokens that were spare after the holder granted less of a reserve than was requested.
    reserve_limit: Option<u32>,
    emergency: Option<EmergencyShare>,
    used: MonoTime,
}

impl CachedTenant {
    fn new(now: MonoTime) -> Self {
        Self {
            holder: None,
            quota: None,
            batches: TokenBatches::default(),
            demand: DemandMeter::default(),
            operations: [None; 2],
            awaited: None,
            request: None,
            pause: None,
            reserve_limit: None,
            emergency: None,
            used: now,
        }
    }

    /// Drops expired tokens.
    fn drop_expired(&mut self, now: MonoTime) {
        self.batches.expire(now);
        self.pause = self.pause.filter(|pause| now < pause.ask_at);
    }

    fn record_operation(&mut self, smoothing: Duration, now: MonoTime) {
        self.demand.record(smoothing, now);
        self.operations = [Some(now), self.operations[0]];
    }

    /// Returns the number of tokens that the reserve should have. An operation that waits is not
    /// recorded yet.
    fn reserve_size(&self, settings: &QuotaSettings, waiting: u32, now: MonoTime) -> u32 {
        if self.holder == Some(HolderChoice::Own) {
            return 0;
        }
        let operations = match waiting {
            0 => self.operations,
            1 => [Some(now), self.operations[0]],
            _ => [Some(now); 2],
        };
        let is_within = |time: Option<MonoTime>, span| time.is_some_and(|at| now.since(at) < span);
        let is_used = is_within(operations[0], settings.return_delay)
            && is_within(operations[1], settings.reserve_interval);
        let demand = self.demand.per_second(settings.demand_smoothing, now);
        match is_used {
            true => expected(demand, settings.reserve_span).max(1),
            false => 0,
        }
    }

    /// Returns the tokens to request, as those that are wanted and those for the reserve, if a
    /// request is due.
    fn due_tokens(
        &self,
        settings: &QuotaSettings,
        waiting: u32,
        now: MonoTime,
    ) -> Option<(u32, u32)> {
        let demand = self.demand.per_second(settings.demand_smoothing, now);
        let left = self.batches.left();
        let reserve = self.reserve_size(settings, waiting, now);
        let is_wanted = waiting > left || left < expected(demand, settings.reserve_horizon);
        if is_wanted {
            let needed = waiting.saturating_add(expected(demand, settings.request_horizon));
            let wanted = needed.saturating_sub(left).max(1);
            let spare = left.saturating_add(wanted).saturating_sub(waiting);
            return Some((wanted, reserve.saturating_sub(spare)));
        }
        let full = reserve.min(self.reserve_limit.unwrap_or(u32::MAX));
        let is_low = left.saturating_mul(2) < full;
        // A request now would report tokens as held that are about to be used, and the holder would
        // learn of their use only from the next one.
        let missing = reserve.saturating_sub(left);
        (is_low && missing > self.batches.taken()).then_some((0, missing))
    }

    /// Returns whether all tokens are to be returned, or `None` if no return is due. A return sent
    /// while a request is in progress could overtake its answer.
    fn return_due(&self, settings: &QuotaSettings, now: MonoTime) -> Option<bool> {
        if self.request.is_some() {
            return None;
        }
        let newest = self.operations[0].max(self.awaited);
        let is_idle = newest.is_none_or(|at| now.since(at) >= settings.return_delay);
        let expired_since = self.batches.expired_since();
        let is_expired =
            expired_since.is_some_and(|since| now.since(since) >= settings.expired_return_delay);
        match is_idle && (self.batches.left() > 0 || expired_since.is_some()) {
            true => Some(true),
            false => is_expired.then_some(false),
        }
    }

    /// Drops all tokens and the request in progress.
    fn drop_tokens(&mut self) {
        self.batches.drop_all();
        self.request = None;
        self.pause = None;
        self.reserve_limit = None;
    }
}

/// Returns the number of operations of a time, rounded down.
fn expected(demand: f64, span: Duration) -> u32 {
    (demand * span.as_secs_f64()).floor() as u32
}

/// Granted tokens by tenant.
#[derive(Debug, Default)]
pub struct QuotaCache {
    settings: QuotaSettings,
    /// Sorted by tenant; boxed so that an insertion moves little.
    tenants: Vec<(TenantName, Box<CachedTenant>)>,
    /// Requests of the last [`QuotaSettings::answer_limit`], the oldest first.
    sent: VecDeque<(TenantName, SentRequest)>,
    last_number: u64,
}

impl QuotaCache {
    /// Creates a cache without tokens.
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Notes the holder of a tenant in the view of this instance, and its quota. To be called before
    /// tokens are taken, requested or returned.
    ///
    /// If there is another holder or none, or the quota was lowered, the tokens are dropped and the
    /// request in progress ends. Returns whether that is so.
    pub fn refresh(
        &mut self,
        tenant: &TenantName,
        holder: &HolderChoice,
        quota: TenantQuota,
        now: MonoTime,
    ) -> bool {
        let cached = self.tenant(tenant, now);
        let is_same = cached.holder.as_ref().is_none_or(|known| known == holder);
        let is_lowered = cached
            .quota
            .is_some_and(|known| quota.rate < known.rate || quota.burst() < known.burst());
        if cached.holder.as_ref() != Some(holder) {
            cached.holder = Some(holder.clone());
        }
        cached.quota = Some(quota);
        let is_dropped = !is_same || is_lowered;
        if is_dropped {
            cached.drop_tokens();
        }
        is_dropped
    }

    /// Takes a token for an operation. `waiting` is the number of operations that already wait for
    /// a token of this tenant.
    ///
    /// An operation that waited is admitted by a further call. It counts as demand once, when it is
    /// admitted or refused; until then `waiting` stands for it.
    pub fn admit(&mut self, tenant: &TenantName, _waiting: usize, now: MonoTime) -> Admission {
        let smoothing = self.settings.demand_smoothing;
        let cached = self.tenant(tenant, now);
        cached.drop_expired(now);
        if cached.batches.take(now) {
            cached.record_operation(smoothing, now);
            return Admission::Admitted;
        }
        match cached.pause {
            Some(pause) => {
                cached.record_operation(smoothing, now);
                let retry_after = pause.retry_at.since(now);
                Admission::Refused { retry_after }
            }
            None => Admission::Wait,
        }
    }

    /// Marks the token of an admitted operation as used. To be called once the operation may have
    /// reached a target; until then, its token may be given back.
    pub fn spend(&mut self, tenant: &TenantName) {
        if let Ok(i) = self.find(tenant) {
            self.tenants[i].1.batches.spend();
        }
    }

    /// Returns the token of an operation that was refused before anything was sent. The token is
    /// lost if it has expired, or may be one of an earlier holder.
    pub fn give_back(&mut self, tenant: &TenantName, now: MonoTime) {
        let cached = self.tenant(tenant, now);
        cached.drop_expired(now);
        cached.batches.give_back();
    }

    /// Returns the request to send now, if one is due for this tenant, and records it as in
    /// progress. `waiting` includes the operation whose admission led to this call, if it waits.
    pub fn next_request(
        &mut self,
        tenant: &TenantName,
        waiting: usize,
        now: MonoTime,
    ) -> Option<QuotaRequest> {
        let number = self.last_number + 1;
        let i = self.find_or_add(tenant, now);
        let cached = &mut self.tenants[i].1;
        cached.drop_expired(now);
        if cached.request.is_some() || cached.pause.is_some() {
            return None;
        }
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let (wanted, reserve) = cached.due_tokens(&self.settings, waiting, now)?;
        let waiting = waiting.saturating_sub(cached.batches.left());
        let request = SentRequest {
            number,
            sent: now,
            wanted,
            waiting,
            reserve,
        };
        cached.request = Some(request);
        if waiting > 0 {
            cached.awaited = Some(now);
        }
        let returned = cached.batches.give_up(false);
        let held = cached.batches.held();
        self.last_number = number;
        self.sent.push_back((tenant.clone(), request));
        Some(QuotaRequest {
            tenant: tenant.clone(),
            wanted,
            waiting,
            number,
            held,
            returned,
            reserve,
        })
    }

    /// Returns the tenants whose tokens are to be returned now.
    pub fn due_returns(&mut self, now: MonoTime) -> Vec<TenantName> {
        let settings = &self.settings;
        let tenants = self.tenants.iter_mut();
        let due = tenants.filter_map(|(tenant, cached)| {
            cached.drop_expired(now);
            cached
                .return_due(settings, now)
                .is_some()
                .then(|| tenant.clone())
        });
        due.collect()
    }

    /// Returns the request that returns tokens of this tenant, if one is due. It has no answer.
    pub fn next_return(&mut self, tenant: &TenantName, now: MonoTime) -> Option<QuotaRequest> {
        let i = self.find(tenant).ok()?;
        let cached = &mut self.tenants[i].1;
        cached.drop_expired(now);
        let is_all = cached.return_due(&self.settings, now)?;
        let returned = cached.batches.give_up(is_all);
        self.last_number += 1;
        Some(QuotaRequest {
            tenant: tenant.clone(),
            wanted: 0,
            waiting: 0,
            number: self.last_number,
            held: cached.batches.held(),
            returned,
            reserve: 0,
        })
    }

    /// Takes in the answer to a request. Returns whether it belongs to the request in progress.
    ///
    /// An answer to a request for wanted tokens that neither grants any nor tells when there are
    /// some comes from a holder that cannot decide. It is ignored, so that the request counts as
    /// unanswered.
    pub fn handle_grant(
        &mut self,
        tenant: &TenantName,
        number: u64,
        grant: QuotaGrant,
        now: MonoTime,
    ) -> bool {
        let settings = &self.settings;
        let Ok(i) = self.tenants.binary_search_by(|(name, _)| name.cmp(tenant)) else {
            return false;
        };
        let cached = &mut self.tenants[i].1;
        let Some(request) = cached.request.filter(|request| request.number == number) else {
            return false;
        };
        let reserved = grant.reserved.min(grant.granted);
        if grant.granted > 0 {
            cached.pause = None;
            let usable_from = now + grant.retry_after.unwrap_or_default();
            for (count, lifetime) in [
                (grant.granted - reserved, settings.token_lifetime),
                (reserved, settings.reserve_lifetime),
            ] {
                cached.batches.add(TokenBatch {
                    usable_from,
                    expires: request.sent + lifetime,
                    left: count,
                    taken: 0,
                });
            }
        } else if request.wanted > 0 {
            let Some(retry_after) = grant.retry_after else {
                return false;
            };
            cached.pause = Some(RequestPause {
                retry_at: now + retry_after,
                ask_at: now + retry_after.min(settings.window),
            });
        }
        // The holder has no more to spare; the same request again would only cost a message.
        let is_refused = reserved < request.reserve;
        let left = cached.batches.left().saturating_sub(request.waiting);
        cached.reserve_limit = is_refused.then_some(left);
        cached.request = None;
        true
    }

    /// Ends the request in progress of a tenant whose holder has ended or is leaving, so that the
    /// next one can be sent at once. Returns whether there was one.
    pub fn cancel_request(&mut self, tenant: &TenantName) -> bool {
        let found = self.find(tenant);
        found.is_ok_and(|i| self.tenants[i].1.request.take().is_some())
    }

    /// Takes a token of the emergency share, for an operation whose holder does not answer.
    pub fn admit_emergency(
        &mut self,
        tenant: &TenantName,
        quota: TenantQuota,
        instances: usize,
        now: MonoTime,
    ) -> bool {
        let share = self.settings.overage / instances.max(1) as f64;
        let lifetime = self.settings.token_lifetime;
        let cached = self.tenant(tenant, now);
        let emergency = cached.emergency;
        let mut emergency = emergency.unwrap_or_else(|| EmergencyShare::new(tenant, now));
        let is_taken = emergency.take(quota.rate.per_second() * share, lifetime, now);
        cached.emergency = Some(emergency);
        if is_taken {
            cached.batches.add_detached();
        }
        is_taken
    }

    /// Returns the tenants whose request has had no answer within the limit. Their requests are no
    /// longer in progress.
    pub fn unanswered(&mut self, now: MonoTime) -> Vec<TenantName> {
        let mut unanswered = Vec::new();
        let limit = self.settings.answer_limit;
        while let Some((tenant, request)) = self
            .sent
            .pop_front_if(|(_, request)| now.since(request.sent) >= limit)
        {
            let Ok(i) = self.find(&tenant) else {
                continue;
            };
            let in_progress = &mut self.tenants[i].1.request;
            if in_progress.is_some_and(|other| other.number == request.number) {
                *in_progress = None;
                unanswered.push(tenant);
            }
        }
        unanswered
    }

    /// Forgets tenants that were not used for a while.
    pub fn expire(&mut self, now: MonoTime) {
        let retention = self.settings.cache_retention;
        self.tenants
            .retain(|(_, cached)| cached.request.is_some() || now.since(cached.used) < retention);
    }

    /// Returns the number of tenants with state.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns whether no tenant has state.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    fn find(&self, tenant: &TenantName) -> Result<usize, usize> {
        self.tenants.binary_search_by(|(name, _)| name.cmp(tenant))
    }

    /// Returns the state of a tenant, and notes that it is used.
    fn tenant(&mut self, tenant: &TenantName, now: MonoTime) -> &mut CachedTenant {
        let i = self.find_or_add(tenant, now);
        &mut self.tenants[i].1
    }

    fn find_or_add(&mut self, tenant: &TenantName, now: MonoTime) -> usize {
        let i = self.find(tenant).unwrap_or_else(|i| {
            let cached = Box::new(CachedTenant::new(now));
            self.tenants.insert(i, (tenant.clone(), cached));
            i
        });
        let cached = &mut self.tenants[i].1;
        cached.used = cached.used.max(now);
        i
    }
}
