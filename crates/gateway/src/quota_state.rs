//! State of the quotas of tenants at an instance, as a holder and as a requester.

use std::time::Duration;

use heatherhollow_tenants::HolderChoice;
use heatherhollow_tenants::HolderTable;
use heatherhollow_tenants::QuotaCache;
use heatherhollow_tenants::QuotaGrant;
use heatherhollow_tenants::QuotaLedger;
use heatherhollow_tenants::QuotaRequest;
use heatherhollow_tenants::QuotaSettings;
use heatherhollow_tenants::RequesterId;
use heatherhollow_tenants::TenantName;
use heatherhollow_tenants::TenantQuota;
use heatherhollow_types::MonoTime;

use crate::message::ClientId;

/// Interval at which buckets of tenants with another holder are looked for.
const BUCKET_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time between reports of a changed share. At the begin of a partition the share changes
/// with each instance that is found silent.
const SHARE_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Most requests that are kept until the first catalog; an instance has one for each tenant.
const MAX_DEFERRED: usize = 1_024;

/// A client whose next operation waits for a token.
#[derive(Debug)]
pub(crate) struct WaitingClient {
    pub client: ClientId,
    pub tenant: TenantName,
    /// Time at which the operation is refused.
    pub deadline: MonoTime,
}

/// A request for tokens that another instance has not answered.
#[derive(Debug)]
pub(crate) struct SentRequest {
    pub tenant: TenantName,
    pub number: u64,
    pub holder: String,
    /// Whether the holder was probed after a link to it ended.
    pub is_probed: bool,
}

/// Quotas of the tenants, as a holder and as a requester.
#[derive(Debug)]
pub(crate) struct QuotaState {
    pub ledger: QuotaLedger,
    pub cache: QuotaCache,
    pub holders: HolderTable,
    /// In the order of arrival.
    pub waiting: Vec<WaitingClient>,
    /// Clients with an operation of which nothing was sent, and the tenant of its token; sorted by
    /// client.
    unspent: Vec<(ClientId, TenantName)>,
    pub sent: Vec<SentRequest>,
    /// Tenants whose holder left the last request unanswered.
    pub silent: Vec<TenantName>,
    /// Tenants whose tokens have changed since the waiting clients were last served.
    pub changed: Vec<TenantName>,
    /// Requests of other instances that arrived before the first catalog, with their link and time.
    deferred: Vec<(u64, QuotaRequest, MonoTime)>,
    /// Time for which other instances wait for an answer.
    answer_limit: Duration,
    buckets_checked_at: MonoTime,
    /// Share of the rates that was last reported; `None` before the first report.
    share: Option<f64>,
    share_reported_at: MonoTime,
    /// Whether a list of instances has been read.
    pub is_listed: bool,
}

impl QuotaState {
    /// Creates the state of an instance that knows no others.
    pub fn new(settings: &QuotaSettings, own: &str) -> Self {
        Self {
            ledger: QuotaLedger::new(settings.clone()),
            cache: QuotaCache::new(settings.clone()),
            holders: HolderTable::new(own.to_string()),
            waiting: Vec::new(),
            unspent: Vec::new(),
            sent: Vec::new(),
            silent: Vec::new(),
            changed: Vec::new(),
            deferred: Vec::new(),
            answer_limit: settings.answer_limit,
            buckets_checked_at: MonoTime::ZERO,
            share: None,
            share_reported_at: MonoTime::ZERO,
            is_listed: false,
        }
    }

    /// Returns whether an operation waits for a token.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns whether there are operations of which nothing was sent.
    pub fn has_unspent(&self) -> bool {
        !self.unspent.is_empty()
    }

    /// Marks the token of a client's operation as used: the operation may have reached a target.
    pub fn spend(&mut self, client: ClientId) {
        if let Ok(i) = self.unspent.binary_search_by_key(&client, |(id, _)| *id) {
            let (_, tenant) = self.unspent.remove(i);
            self.cache.spend(&tenant);
            // The holder may now be told that the token was used.
            self.mark_changed(tenant);
        }
    }

    pub fn hold_unspent(&mut self, client: ClientId, tenant: TenantName) {
        if let Err(i) = self.unspent.binary_search_by_key(&client, |(id, _)| *id) {
            self.unspent.insert(i, (client, tenant));
        }
    }

    /// Gives back the token of a client's operation if nothing of the operation was sent.
    pub fn give_back(&mut self, client: ClientId, now: MonoTime) {
        if let Ok(i) = self.unspent.binary_search_by_key(&client, |(id, _)| *id) {
            let (_, tenant) = self.unspent.remove(i);
            self.cache.give_back(&tenant, now);
            self.mark_changed(tenant);
        }
    }

    /// Forgets a client that disconnected.
    pub fn remove_client(&mut self, client: ClientId, now: MonoTime) {
        self.waiting.retain(|waiting| waiting.client != client);
        self.give_back(client, now);
    }

    pub fn waiting_count(&self, tenant: &TenantName) -> usize {
        let waiting = self.waiting.iter();
        waiting.filter(|waiting| waiting.tenant == *tenant).count()
    }

    pub fn first_waiting(&self, tenant: &TenantName) -> Option<ClientId> {
        let mut waiting = self.waiting.iter();
        let first = waiting.find(|waiting| waiting.tenant == *tenant);
        first.map(|waiting| waiting.client)
    }

    pub fn mark_changed(&mut self, tenant: TenantName) {
        if !self.changed.contains(&tenant) {
            self.changed.push(tenant);
        }
    }

    /// Ends the requests whose tenant has another holder by now, so that they are sent there at
    /// once.
    pub fn cancel_moved_requests(&mut self, now: MonoTime) {
        for request in std::mem::take(&mut self.sent) {
            let is_kept = match self.holders.holder(&request.tenant, now) {
                HolderChoice::Peer(holder) => holder == request.holder,
                HolderChoice::Own => false,
                // There is nobody else to ask.
                HolderChoice::Unavailable => true,
            };
            if is_kept {
                self.sent.push(request);
            } else {
                self.cache.cancel_request(&request.tenant);
                self.mark_changed(request.tenant);
            }
        }
    }

    /// Returns where the tokens of a tenant are requested. Before the first list of instances there
    /// is no holder, as this instance cannot know that it is alone.
    pub fn holder(&mut self, tenant: &TenantName, now: MonoTime) -> HolderChoice {
        match self.is_listed {
            true => self.holders.holder(tenant, now),
            false => HolderChoice::Unavailable,
        }
    }

    /// Returns where the tokens of a tenant are requested. If that has changed, or the quota was
    /// lowered, the tokens are dropped. To be called before tokens are taken, requested or returned.
    pub fn refresh(
        &mut self,
        tenant: &TenantName,
        quota: TenantQuota,
        now: MonoTime,
    ) -> HolderChoice {
        let holder = self.holder(tenant, now);
        if self.cache.refresh(tenant, &holder, quota, now) {
            self.sent.retain(|request| request.tenant != *tenant);
        }
        holder
    }

    /// Takes tokens from the bucket of a tenant for a request. In a partition, the bucket has only
    /// the share of the quota that belongs to the part of this instance.
    pub fn grant(
        &mut self,
        requester: RequesterId,
        request: &QuotaRequest,
        quota: TenantQuota,
        now: MonoTime,
    ) -> QuotaGrant {
        let quota = quota.scaled(self.holders.rate_share(now));
        self.ledger.grant(requester, request, quota, now)
    }

    /// Returns the share of the rates that this instance grants and the one that was reported
    /// before, if it has not been reported yet and the last report was some time ago.
    pub fn changed_share(&mut self, now: MonoTime) -> Option<(f64, Option<f64>)> {
        let share = self.holders.rate_share(now);
        let is_due = now.since(self.share_reported_at) >= SHARE_REPORT_INTERVAL;
        if self.share == Some(share) || (self.share.is_some() && !is_due) {
            return None;
        }
        self.share_reported_at = now;
        Some((share, self.share.replace(share)))
    }

    /// Keeps a request until the first catalog. Beyond [`MAX_DEFERRED`], requests count as unanswered.
    pub fn defer(&mut self, link: u64, request: QuotaRequest, now: MonoTime) {
        let limit = self.answer_limit;
        self.deferred.retain(|(_, _, at)| now.since(*at) < limit);
        if self.deferred.len() < MAX_DEFERRED {
            self.deferred.push((link, request, now));
        }
    }

    /// Returns the kept requests for whose answer the other instances still wait.
    pub fn take_deferred(&mut self, now: MonoTime) -> Vec<(u64, QuotaRequest)> {
        let limit = self.answer_limit;
        let deferred = std::mem::take(&mut self.deferred).into_iter();
        let deferred = deferred.filter(|(_, _, at)| now.since(*at) < limit);
        deferred.map(|(link, request, _)| (link, request)).collect()
    }

    /// Forgets the buckets of tenants whose holder is another instance in the view of this one.
    pub fn drop_foreign_buckets(&mut self, now: MonoTime) {
        let is_due = now.since(self.buckets_checked_at) >= BUCKET_CHECK_INTERVAL;
        if is_due && self.is_listed {
            self.buckets_checked_at = now;
            let holders = &mut self.holders;
            let is_held = |tenant: &TenantName| holders.holder(tenant, now) == HolderChoice::Own;
            self.ledger.retain(is_held, now);
        }
    }
}
