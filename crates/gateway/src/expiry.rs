//! Time limits of statements, for targets and homes that do not answer and queues that do not
//! drain.
//!
//! A statement is refused only if it has certainly not run. One that may have run is answered as in
//! doubt.

use log::info;

use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;

use crate::core::SessionGateway;
use crate::forward::HomeMessage;
use crate::message::ClientCode;
use crate::message::ClientId;
use crate::pool::ConnectionId;
use crate::session::ClientSession;
use crate::session::RequestKind;
use crate::session::RequestStage;

/// Fraction of the time limit after which a queued statement is refused while its group has no
/// primary. The rest is for the answer to reach the client.
const LEADERLESS_FRACTION: f64 = 0.95;

/// Multiple of the time limit after which the answer of a home counts as lost.
const FORWARD_FRACTION: f64 = 1.25;

impl SessionGateway {
    /// Refuses queued requests whose wait is over, and ends requests that were not answered in
    /// time.
    pub(crate) fn expire_requests(&mut self, now: MonoTime) {
        self.expire_transactions(now);
        let due = self
            .clients
            .iter()
            .filter(|session| self.is_overdue(session, now))
            .map(|session| session.id)
            .collect::<Vec<_>>();
        for client in due {
            self.expire_request(client, now);
        }
        self.expire_answers(now);
    }

    /// Abandons and retries statements whose answers were probably lost.
    ///
    /// The target takes several times as long as its statements usually take, and the statement can
    /// safely run again, as it only reads or its transaction is rolled back.
    pub(crate) fn expire_answers(&mut self, now: MonoTime) {
        let overdue = self
            .clients
            .iter()
            .filter_map(|session| Some((session.id, self.overdue_connection(session, now)?)))
            .collect::<Vec<_>>();
        for (client, connection) in overdue {
            if self.may_log(now) {
                info!("answer_given_up client={client} connection={connection}");
            }
            let Some(location) = self.location(connection) else {
                continue;
            };
            let backoff = self.settings.status_timeout;
            let sent_at = self
                .client(client)
                .and_then(|s| Some(s.request.as_ref()?.sent_at));
            if let Some(pool) = self.groups[location.group.0].pool_mut(location.target) {
                pool.failure_rate.record(true, now);
                if let Some(sent_at) = sent_at {
                    pool.record_statement(now.since(sent_at), now);
                }
                if pool.answered_at < sent_at {
                    // The target has answered no call since the statement was sent, so others are
                    // preferred.
                    pool.backoff_until = now + backoff;
                }
            }
            let avoided_until = now + self.settings.failed_backoff;
            if let Some(request) = self.client_mut(client).and_then(|s| s.request.as_mut()) {
                request.avoided.push((location.target, avoided_until));
            }
            self.close_connection(connection);
            self.end_unanswered_request(client, false, now);
        }
    }

    /// Returns the connection on which the answer to a repeatable statement is overdue; `None` if
    /// there is none.
    pub(crate) fn overdue_connection(
        &self,
        session: &ClientSession,
        now: MonoTime,
    ) -> Option<ConnectionId> {
        let request = session.request.as_ref()?;
        let RequestStage::Sent(connection) = request.stage else {
            return None;
        };
        let is_repeatable = match request.kind {
            RequestKind::Read => true,
            RequestKind::Write => session.open_transaction().is_some(),
            RequestKind::Commit => false,
        };
        let location = self.location(connection).filter(|_| is_repeatable)?;
        let pool = self.groups[location.group.0].pool(location.target)?;
        let mean_time = pool.statement_time.value(now) * self.settings.answer_wait_factor;
        let limit = mean_time.max(self.settings.min_answer_wait);
        (now.since(request.sent_at) >= limit).then_some(connection)
    }

    /// Returns whether the time limit of the session's request has passed at its present stage.
    pub(crate) fn is_overdue(&self, session: &ClientSession, now: MonoTime) -> bool {
        let Some(request) = &session.request else {
            return false;
        };
        let timeout = request.route.timeout;
        let limit = match request.stage {
            RequestStage::Queued if self.groups[request.group.0].primary.is_none() => {
                timeout.mul_f64(LEADERLESS_FRACTION)
            }
            RequestStage::Queued => request.queue_time_limit(&self.settings),
            // The home enforces the time limit; this longer limit is for an answer that does not
            // arrive.
            RequestStage::Forwarded { .. } => timeout.mul_f64(FORWARD_FRACTION),
            _ => timeout,
        };
        now >= request.received_at + limit
    }

    /// Ends the request of a client whose time limit has passed.
    pub(crate) fn expire_request(&mut self, client: ClientId, now: MonoTime) {
        let Some(request) = self.client(client).and_then(|s| s.request.as_ref()) else {
            return;
        };
        let has_primary = self.groups[request.group.0].primary.is_some();
        match request.stage.clone() {
            RequestStage::Queued => {
                let reason = if has_primary {
                    RefusalReason::QueueTimeout
                } else {
                    RefusalReason::NoPrimary
                };
                let text = "no connection became free in time";
                self.refuse_request(client, ClientCode::Busy, reason, text, now);
            }
            RequestStage::Preparing(connection) | RequestStage::Sent(connection) => {
                self.close_connection(connection);
                self.end_unanswered_request(client, true, now);
            }
            RequestStage::Forwarded { home, .. } => {
                self.send_to_home(client, &home, HomeMessage::End);
                self.end_unanswered_request(client, true, now);
            }
            RequestStage::Held { .. } => {
                self.end_unproved_request(client, now);
            }
        }
    }
}
