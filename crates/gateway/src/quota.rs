//! Quotas of tenants: the token that an operation takes before it may wait for a connection.
//!
//! An operation is a statement outside of a transaction, or a transaction as a whole. A transaction
//! takes its token with its first statement that needs a target; the begin is answered here. If the
//! begin were refused instead, statements that the client sent right after it would run outside of a
//! transaction, while those after a refused first statement fail. Later statements, statements that
//! are placed again and statements of forwarded sessions take none.
//!
//! Without a token, the statement waits here for the answer of the tenant's holder. It is no request
//! yet, so it has no place in a queue, no connection and no slot. A token of which nothing was sent
//! is given back when its operation ends.
//!
//! All of this happens only for tenants whose rate is declared.

use std::net::SocketAddr;
use std::time::Duration;

use log::info;

use heatherhollow_tenants::Admission;
use heatherhollow_tenants::HolderChoice;
use heatherhollow_tenants::QuotaGrant;
use heatherhollow_tenants::QuotaRequest;
use heatherhollow_tenants::RequestKind;
use heatherhollow_tenants::RequesterId;
use heatherhollow_tenants::TenantName;
use heatherhollow_tenants::TenantQuota;
use heatherhollow_types::MonoTime;

use crate::action::GatewayAction;
use crate::core::SessionGateway;
use crate::homes::PeerEntry;
use crate::log_budget::LineKind;
use crate::message::ClientCode;
use crate::message::ClientError;
use crate::message::ClientId;
use crate::message::ClientQuery;
use crate::quota_state::SentRequest;
use crate::quota_state::WaitingClient;
use crate::session::ClientSession;
use crate::session::SessionTransaction;
use crate::session::WaitingQuery;
use crate::statement::Statement;
use crate::statistics::QuotaRefusal;
use crate::waiting::RETRY_ELSEWHERE;

/// Number of the answers to questions whether an instance may be a holder; requests for tokens have
/// numbers from 1.
const QUESTION_NUMBER: u64 = 0;

impl SessionGateway {
    fn quota_of(&self, tenant: &TenantName) -> Option<TenantQuota> {
        let directory = self.catalog.as_ref()?.tenants.as_ref()?;
        directory.quota_of(tenant)
    }

    /// Takes a token for a statement that begins an operation. Returns false if the statement has
    /// to wait or was refused.
    pub(crate) fn take_token(
        &mut self,
        id: ClientId,
        query: &ClientQuery,
        received_at: MonoTime,
        now: MonoTime,
    ) -> bool {
        let Some(session) = self.client(id) else {
            return false;
        };
        if !begins_operation(session, &query.statement) {
            return true;
        }
        let tenant = session.tenant.clone();
        let limited = tenant.and_then(|tenant| Some((self.quota_of(&tenant)?, tenant)));
        let Some((quota, tenant)) = limited else {
            self.admit_transaction(id);
            return true;
        };
        // The token of an operation that was refused unsent just before.
        self.quota.give_back(id, now);
        self.quota.mark_changed(tenant.clone());
        let holder = self.quota.refresh(&tenant, quota, now);
        let ahead = self.quota.waiting_count(&tenant);
        // Those that wait already come first.
        let admission = match ahead {
            0 => self.quota.cache.admit(&tenant, ahead, now),
            _ => Admission::Wait,
        };
        match admission {
            Admission::Admitted => {
                self.quota.hold_unspent(id, tenant);
                self.admit_transaction(id);
                true
            }
            Admission::Wait => {
                // The bucket of this instance answers within this event.
                if holder != HolderChoice::Own {
                    self.statistics.quota_awaited();
                }
                self.wait_for_token(id, tenant, query.clone(), received_at);
                false
            }
            Admission::Refused { retry_after } => {
                self.end_refused_transaction(id, &query.statement);
                self.refuse_operation(id, &tenant, QuotaRefusal::OverLimit, retry_after, now);
                false
            }
        }
    }

    /// Records that the open transaction of a session needs no token any more.
    fn admit_transaction(&mut self, id: ClientId) {
        let session = self.client_mut(id);
        if let Some(open) = session.and_then(ClientSession::open_transaction_mut) {
            open.is_admitted = true;
        }
    }

    /// Ends the open transaction of a session whose first statement is refused, as other refusals
    /// do.
    fn end_refused_transaction(&mut self, id: ClientId, statement: &Statement) {
        if let Some(session) = self.client_mut(id)
            && session.open_transaction().is_some()
        {
            session.transaction = match statement {
                Statement::Commit => SessionTransaction::None,
                _ => SessionTransaction::Failed { is_reported: true },
            };
        }
    }

    fn wait_for_token(
        &mut self,
        id: ClientId,
        tenant: TenantName,
        query: ClientQuery,
        received_at: MonoTime,
    ) {
        let timeout = self.find_route(id).map(|route| route.timeout);
        let limit = self.settings.quota.answer_limit;
        let limit = timeout.map_or(limit, |timeout| timeout.min(limit));
        if let Some(session) = self.client_mut(id) {
            session.waiting_query = Some(WaitingQuery { query, received_at });
            self.quota.waiting.push(WaitingClient {
                client: id,
                tenant,
                deadline: received_at + limit,
            });
        }
    }

    /// Removes a client from those that wait for a token and returns its statement.
    pub(crate) fn end_token_wait(&mut self, id: ClientId) -> Option<WaitingQuery> {
        self.quota.waiting.retain(|waiting| waiting.client != id);
        self.client_mut(id)?.waiting_query.take()
    }

    /// Gives back tokens of operations that ended unsent, requests tokens that are needed, and
    /// serves waiting operations. Returns whether an operation went on.
    pub(crate) fn settle_quotas(&mut self, now: MonoTime) -> bool {
        self.return_unspent(now);
        let mut is_released = false;
        for tenant in std::mem::take(&mut self.quota.changed) {
            is_released |= self.serve_waiting(&tenant, now);
        }
        is_released
    }

    /// Gives back the tokens of operations that ended in this event without having been sent.
    ///
    /// An operation ends with an answer to its client.
    fn return_unspent(&mut self, now: MonoTime) {
        if !self.quota.has_unspent() {
            return;
        }
        let answered = self
            .actions
            .iter()
            .filter_map(|action| match action {
                GatewayAction::AnswerClient { client, .. }
                | GatewayAction::RejectClient { client, .. } => Some(*client),
                _ => None,
            })
            .filter(|id| {
                let session = self.client(*id);
                session.is_none_or(|s| s.request.is_none() && s.open_transaction().is_none())
            })
            .collect::<Vec<_>>();
        for client in answered {
            self.quota.give_back(client, now);
        }
    }

    /// Lets the waiting operations of a tenant go on in the order of arrival, as far as there are
    /// tokens, and requests more if needed. Returns whether one went on.
    fn serve_waiting(&mut self, tenant: &TenantName, now: MonoTime) -> bool {
        let mut is_released = false;
        loop {
            self.request_tokens(tenant, now);
            let Some(client) = self.quota.first_waiting(tenant) else {
                return is_released;
            };
            let admission = match self.quota_of(tenant) {
                Some(_) => self.quota.cache.admit(tenant, 0, now),
                None => Admission::Admitted,
            };
            match admission {
                Admission::Admitted => {
                    self.resume_operation(client, tenant, now);
                    is_released = true;
                }
                Admission::Refused { retry_after } => {
                    let reason = QuotaRefusal::OverLimit;
                    self.refuse_waiting(client, tenant, reason, retry_after, now);
                }
                Admission::Wait => {
                    let holder = self.quota.holder(tenant, now);
                    if holder != HolderChoice::Unavailable {
                        return is_released;
                    }
                    if self.admit_emergency(tenant, now) {
                        self.resume_operation(client, tenant, now);
                        is_released = true;
                    } else {
                        let reason = QuotaRefusal::CutOff;
                        self.refuse_waiting(client, tenant, reason, RETRY_ELSEWHERE, now);
                    }
                }
            }
        }
    }

    /// Sends the request that is due for a tenant. The bucket of this instance answers at once.
    fn request_tokens(&mut self, tenant: &TenantName, now: MonoTime) {
        let Some(quota) = self.quota_of(tenant) else {
            return;
        };
        let holder = self.quota.refresh(tenant, quota, now);
        if holder == HolderChoice::Unavailable {
            return;
        }
        let waiting = self.quota.waiting_count(tenant);
        let Some(request) = self.quota.cache.next_request(tenant, waiting, now) else {
            return;
        };
        match holder {
            HolderChoice::Own => {
                let requester = RequesterId::OWN;
                let grant = self.quota.grant(requester, &request, quota, now);
                let number = request.number;
                self.quota.cache.handle_grant(tenant, number, grant, now);
                self.quota.silent.retain(|silent| silent != tenant);
            }
            HolderChoice::Peer(holder) => self.send_request(holder, request, now),
            HolderChoice::Unavailable => {}
        }
    }

    fn send_request(&mut self, holder: String, request: QuotaRequest, now: MonoTime) {
        self.quota.holders.record_request(&holder, now);
        self.quota.sent.push(SentRequest {
            tenant: request.tenant.clone(),
            number: request.number,
            holder: holder.clone(),
            is_probed: false,
        });
        // An instance whose address is no longer known counts as silent.
        if let Some(address) = self.homes.address(&holder) {
            self.statistics.quota_requested();
            self.actions.push(GatewayAction::RequestQuota {
                instance: holder,
                address,
                request,
            });
        }
    }

    /// Returns tokens that are not needed any more to their holders. No answer is expected.
    fn return_tokens(&mut self, now: MonoTime) {
        for tenant in self.quota.cache.due_returns(now) {
            let quota = self.quota_of(&tenant);
            let holder = quota.map(|quota| self.quota.refresh(&tenant, quota, now));
            // Without a quota, the tokens are of no use to the holder either.
            let Some(request) = self.quota.cache.next_return(&tenant, now) else {
                continue;
            };
            match (holder, quota) {
                (Some(HolderChoice::Own), Some(quota)) => {
                    let ledger = &mut self.quota.ledger;
                    ledger.grant(RequesterId::OWN, &request, quota, now);
                }
                (Some(HolderChoice::Peer(instance)), _) => {
                    // Without an address, the tokens count as used at the holder.
                    if let Some(address) = self.homes.address(&instance) {
                        self.statistics.quota_returned();
                        self.actions.push(GatewayAction::RequestQuota {
                            instance,
                            address,
                            request,
                        });
                    }
                }
                _ => {}
            }
        }
    }

    fn admit_emergency(&mut self, tenant: &TenantName, now: MonoTime) -> bool {
        let Some(quota) = self.quota_of(tenant) else {
            return true;
        };
        let instances = self.instances.max(self.quota.holders.len());
        self.quota
            .cache
            .admit_emergency(tenant, quota, instances, now)
    }

    /// Processes a statement that has waited and has its token now.
    fn resume_operation(&mut self, client: ClientId, tenant: &TenantName, now: MonoTime) {
        let Some(waiting) = self.end_token_wait(client) else {
            return;
        };
        let (query, received_at) = (waiting.query, waiting.received_at);
        self.quota.hold_unspent(client, tenant.clone());
        // The key may have been removed in the meantime, so it is checked again.
        if self.authorize_statement(client, &query.statement, now) {
            let present = self
                .client(client)
                .and_then(|session| session.tenant.as_ref());
            if present == Some(tenant) {
                self.admit_transaction(client);
                self.run_query(client, query, received_at, now);
            } else {
                self.quota.give_back(client, now);
                self.process_query(client, query, received_at, now);
            }
        }
        self.process_queries(client, now);
    }

    fn refuse_waiting(
        &mut self,
        client: ClientId,
        tenant: &TenantName,
        reason: QuotaRefusal,
        retry_after: Duration,
        now: MonoTime,
    ) {
        if let Some(waiting) = self.end_token_wait(client) {
            self.end_refused_transaction(client, &waiting.query.statement);
            self.refuse_operation(client, tenant, reason, retry_after, now);
            self.process_queries(client, now);
        }
    }

    fn refuse_operation(
        &mut self,
        client: ClientId,
        tenant: &TenantName,
        reason: QuotaRefusal,
        retry_after: Duration,
        now: MonoTime,
    ) {
        self.statistics.operation_refused(reason);
        // Clients are told whole milliseconds and would be refused again if they retried earlier.
        let retry_millis = retry_after.as_micros().div_ceil(1_000);
        let retry_after = Duration::from_millis(u64::try_from(retry_millis).unwrap_or(u64::MAX));
        let holder = match self.quota.holder(tenant, now) {
            HolderChoice::Own => self.identity.name.clone(),
            HolderChoice::Peer(instance) => instance,
            HolderChoice::Unavailable => "none".to_string(),
        };
        if self.may_log(now) {
            info!(
                "quota_refused tenant={tenant} holder={holder} reason={} retry_after_ms={}",
                reason.as_str(),
                retry_after.as_millis()
            );
        } else {
            let kind = LineKind {
                event: "quota_refused",
                reason: reason.as_str().to_string(),
                group: self
                    .find_route(client)
                    .map_or_else(String::new, |r| r.group),
                target: holder,
            };
            self.log_budget.summarize(kind, retry_after);
        }
        let text = match reason {
            QuotaRefusal::OverLimit => "the tenant is over its limit",
            QuotaRefusal::HolderSilent | QuotaRefusal::CutOff => {
                "the limit of the tenant cannot be checked here"
            }
        };
        let error = ClientError {
            retry_after: Some(retry_after),
            ..ClientError::new(ClientCode::Busy, text)
        };
        self.send_error(client, error);
    }

    /// Ends requests without an answer and waits that are over, and asks excluded holders whether
    /// they answer again.
    pub(crate) fn expire_quotas(&mut self, now: MonoTime) {
        for tenant in self.quota.cache.unanswered(now) {
            self.quota.sent.retain(|request| request.tenant != tenant);
            if !self.quota.silent.contains(&tenant) {
                self.quota.silent.push(tenant.clone());
            }
            self.quota.mark_changed(tenant);
        }
        for tenant in self.quota.silent.clone() {
            while let Some(client) = self.quota.first_waiting(&tenant)
                && self.admit_emergency(&tenant, now)
            {
                self.resume_operation(client, &tenant, now);
            }
        }
        let due = self.quota.waiting.iter();
        let due = due.filter(|waiting| now >= waiting.deadline);
        let due = due
            .map(|waiting| (waiting.client, waiting.tenant.clone()))
            .collect::<Vec<_>>();
        for (client, tenant) in due {
            if self.admit_emergency(&tenant, now) {
                self.resume_operation(client, &tenant, now);
            } else {
                let reason = QuotaRefusal::HolderSilent;
                self.refuse_waiting(client, &tenant, reason, RETRY_ELSEWHERE, now);
            }
        }
        // Granted tokens may have become usable.
        let waiting = self.quota.waiting.iter();
        let waiting = waiting.map(|waiting| waiting.tenant.clone());
        for tenant in waiting.collect::<Vec<_>>() {
            self.quota.mark_changed(tenant);
        }
        self.return_tokens(now);
        self.quota.cache.expire(now);
        self.quota.ledger.expire(now);
        let directory = self.catalog.as_ref().and_then(|c| c.tenants.as_ref());
        let limited = directory.and_then(|directory| directory.limited_tenants().next());
        if let Some(tenant) = limited.cloned() {
            self.quota.drop_foreign_buckets(now);
            let due = self.quota.holders.due_retries(now);
            let number = match due.is_empty() {
                true => QUESTION_NUMBER,
                false => self.quota.holders.question_number(now),
            };
            for instance in due {
                self.ask_holder(instance, tenant.clone(), number);
            }
            if let Some((share, previous)) = self.quota.changed_share(now) {
                let previous = previous.unwrap_or(1.0);
                if share != previous {
                    info!("quota_share_changed share={share:.3} previous={previous:.3}");
                }
                self.statistics.quota_share_changed(share);
            }
        }
    }

    /// Asks an instance whether it may be a holder. The question names any tenant with a limit, and
    /// its number says for how long this instance has missed others.
    fn ask_holder(&mut self, instance: String, tenant: TenantName, number: u64) {
        if let Some(address) = self.homes.address(&instance) {
            self.actions.push(GatewayAction::RequestQuota {
                instance,
                address,
                request: QuotaRequest::question(tenant, number),
            });
        }
    }

    fn probe_holder(&mut self, instance: String, address: SocketAddr) {
        self.actions.push(GatewayAction::ProbeHome {
            home: instance,
            address,
        });
    }

    /// Answers a request of another instance from the buckets of this one.
    ///
    /// An instance that is cut off from most holders grants nothing, so that the other instance asks
    /// the next one in rank, until it goes on with the part of a partition that it reaches. Returned
    /// tokens are taken back without an answer.
    pub(crate) fn answer_quota_request(&mut self, link: u64, request: QuotaRequest, now: MonoTime) {
        let kind = request.kind();
        if kind == RequestKind::Tokens && !self.quota.holders.may_grant(now) {
            return;
        }
        // An instance that has just started and is asked as the holder answers once it knows the
        // quotas. A refusal would hit operations below the limit.
        if kind == RequestKind::Tokens && self.catalog.is_none() {
            self.quota.defer(link, request, now);
            return;
        }
        let requester = RequesterId(link);
        let mut number = request.number;
        if kind == RequestKind::Question {
            self.quota.holders.record_question(number, now);
            number = QUESTION_NUMBER;
        }
        let grant = match self.quota_of(&request.tenant) {
            _ if kind == RequestKind::Question => QuotaGrant {
                retry_after: Some(self.quota.holders.join_delay(now)),
                ..QuotaGrant::default()
            },
            Some(quota) => {
                if kind == RequestKind::Tokens {
                    self.quota.holders.record_requested(now);
                }
                self.quota.grant(requester, &request, quota, now)
            }
            // The catalogs of the two instances differ, which lasts until both have the newest.
            None => QuotaGrant {
                retry_after: Some(RETRY_ELSEWHERE),
                ..QuotaGrant::default()
            },
        };
        if kind == RequestKind::Return {
            return;
        }
        if grant.granted > 0 {
            self.statistics.quota_granted();
        }
        self.actions.push(GatewayAction::AnswerQuota {
            link,
            number,
            tenant: request.tenant,
            grant,
        });
    }

    /// Answers the requests that arrived before the first catalog.
    pub(crate) fn answer_deferred_requests(&mut self, now: MonoTime) {
        for (link, request) in self.quota.take_deferred(now) {
            self.answer_quota_request(link, request, now);
        }
    }

    /// Handles the answer of a holder.
    pub(crate) fn handle_quota_grant(
        &mut self,
        instance: &str,
        tenant: TenantName,
        number: u64,
        grant: QuotaGrant,
        now: MonoTime,
    ) {
        if number == QUESTION_NUMBER {
            let delay = grant.retry_after.unwrap_or_default();
            self.quota.holders.record_join_delay(instance, delay, now);
            return;
        }
        self.quota.holders.record_answer(instance, now);
        // An answer of an instance that was not asked must not grant tokens.
        let found = self.quota.sent.iter().position(|request| {
            request.tenant == tenant && request.number == number && request.holder == instance
        });
        let Some(i) = found else { return };
        self.quota.sent.remove(i);
        self.quota.silent.retain(|silent| *silent != tenant);
        if self.quota.cache.handle_grant(&tenant, number, grant, now) {
            self.quota.mark_changed(tenant);
        }
    }

    /// Takes over the list of instances.
    pub(crate) fn replace_holders(&mut self, peers: &[PeerEntry], now: MonoTime) {
        let listed = peers
            .iter()
            .map(|peer| (peer.instance.clone(), peer.capacity));
        self.quota.holders.replace_instances(listed.collect(), now);
        self.quota.is_listed |= !peers.is_empty();
        self.quota.cancel_moved_requests(now);
    }

    /// Handles the loss of a link to a holder. A holder whose address refuses connections is
    /// replaced at once.
    pub(crate) fn handle_holder_loss(
        &mut self,
        instance: &str,
        was_open: bool,
        was_refused: bool,
        now: MonoTime,
    ) {
        if was_refused {
            self.quota.holders.record_refused(instance, now);
            self.quota.cancel_moved_requests(now);
            return;
        }
        // The process may have ended with the link. Each request leads to one probe at most, since
        // the holder may accept links and close them again.
        let mut is_unprobed = false;
        for request in &mut self.quota.sent {
            if request.holder == instance {
                is_unprobed |= !request.is_probed;
                request.is_probed = true;
            }
        }
        if was_open
            && is_unprobed
            && let Some(address) = self.homes.address(instance)
        {
            self.probe_holder(instance.to_string(), address);
        }
    }

    /// Handles a holder that is leaving: the next one in rank is asked at once.
    pub(crate) fn handle_holder_leaving(&mut self, instance: &str, now: MonoTime) {
        self.quota.holders.record_leaving(instance, now);
        self.quota.cancel_moved_requests(now);
    }
}

/// Returns whether a statement is the first of an operation that needs a target.
fn begins_operation(session: &ClientSession, statement: &Statement) -> bool {
    let is_first = match &session.transaction {
        SessionTransaction::None => true,
        SessionTransaction::Open(open) => !open.is_admitted,
        SessionTransaction::Failed { .. } => false,
    };
    let needs_target = match statement {
        Statement::Read | Statement::Write => true,
        Statement::Commit => session.open_transaction().is_some(),
        Statement::Execute { name, .. } => session.shape(name).is_some(),
        _ => false,
    };
    is_first && needs_target && !session.is_forwarded
}
