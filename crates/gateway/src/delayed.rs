//! Statements of open transactions that wait for room at their targets.
//!
//! Such a statement can run at one target only, over the connection of its transaction, and that
//! connection is held until the transaction ends. It therefore goes before statements that no
//! target has begun. The load that this answers: several instances share the slots of a target that
//! refuses what exceeds them, and refused statements that are sent again without a limit keep the
//! target busy with refusals.

use std::time::Duration;

use heatherhollow_types::MonoTime;

use crate::core::ConnectionLocation;
use crate::core::SessionGateway;
use crate::group::GroupIndex;
use crate::message::ClientId;
use crate::pool::ConnectionId;
use crate::session::RequestStage;

/// Time for which a target counts as crowded after it refused a statement for lack of capacity.
const REFUSAL_MEMORY: Duration = Duration::from_millis(500);

impl SessionGateway {
    /// Sends a statement of an open transaction, or makes it wait if the target takes no more.
    pub(crate) fn send_in_transaction(
        &mut self,
        client: ClientId,
        connection: ConnectionId,
        now: MonoTime,
    ) {
        let Some(location) = self.location(connection) else {
            return;
        };
        // A target that refuses nothing has room in its own queue beyond the limit.
        let pool = self.groups[location.group.0].pool(location.target);
        let is_crowded = pool.is_some_and(|pool| {
            !pool.accepts_statement() && pool.statement_limit.has_refused(REFUSAL_MEMORY, now)
        });
        if is_crowded {
            self.delay_statement(location, client);
        } else {
            self.send_next_call(connection, now);
        }
    }

    /// Makes a statement of an open transaction wait until its target takes it.
    pub(crate) fn delay_statement(&mut self, location: ConnectionLocation, client: ClientId) {
        if let Some(request) = self.client_mut(client).and_then(|s| s.request.as_mut()) {
            request.stage = RequestStage::Preparing(location.connection);
        }
        let state = &mut self.groups[location.group.0];
        state.delayed_clients.push(client);
        if let Some(pool) = state.pool_mut(location.target) {
            pool.delayed_count += 1;
        }
    }

    /// Resends statements of open transactions that their targets did not run, as far as the limits
    /// of statements in progress allow. They go before statements that no target has begun.
    pub(crate) fn resend_delayed(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &mut self.groups[group.0];
        if state.delayed_clients.is_empty() {
            return;
        }
        let delayed = std::mem::take(&mut state.delayed_clients);
        for pool in state.pools.iter_mut().flatten() {
            pool.delayed_count = 0;
        }
        for client in delayed {
            let Some(request) = self.client(client).and_then(|s| s.request.as_ref()) else {
                continue;
            };
            let RequestStage::Preparing(connection) = request.stage else {
                continue;
            };
            let is_due = now >= request.not_before;
            let Some(location) = self.location(connection) else {
                continue;
            };
            let state = &mut self.groups[group.0];
            let Some(pool) = state.pool_mut(location.target) else {
                continue;
            };
            if is_due && pool.accepts_statement() {
                self.send_next_call(connection, now);
            } else {
                pool.delayed_count += 1;
                state.delayed_clients.push(client);
            }
        }
    }
}
