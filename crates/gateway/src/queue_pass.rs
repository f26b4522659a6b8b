//! Passes over the statements that wait for a connection.
//!
//! Load that this answers: long queues before targets that are overloaded or lag. Statements wait here,
//! not at the targets, as long as a refusal can still be true; those that can meet their objective go
//! first. Considering each of them at each event would cost time that grows with the square of the load,
//! until the instance is slower than its targets. So a long queue is considered from its head once an
//! interval, and in between only what is new or what a target has room for.

use std::time::Duration;

use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::TargetIndex;

use crate::core::SessionGateway;
use crate::group::GroupIndex;
use crate::group::index_of;
use crate::message::ClientId;
use crate::placement::Placement;
use crate::pool::TargetPool;
use crate::session::PlacementState;

/// Statements up to which a queue is considered whole at each event.
const SHORT_QUEUE: usize = 8;

/// Time between two passes over a long queue; that of the tick of a busy gateway.
const PASS_INTERVAL: Duration = Duration::from_millis(20);

/// Statements of a long queue that one pass considers.
const MAX_CONSIDERED: usize = 64;

/// Statements that are considered between two passes when a target has room: the first may have become
/// unfit for it.
const MAX_CANDIDATES: usize = 4;

/// What became of a statement that was offered to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TargetOffer {
    /// It got a connection.
    Lent,
    /// It waits for a connection that has to be opened.
    Open,
    /// It waits for room at the target.
    Wait,
    /// It cannot start in time.
    TooLate,
}

impl SessionGateway {
    /// Lends idle connections to waiting statements and opens connections that are missing.
    pub(crate) fn dispatch(&mut self, group: GroupIndex, now: MonoTime) {
        // Most groups have nothing to do at most events; an instance may know hundreds of them.
        if self.groups[group.0].has_control {
            self.send_control(group, now);
        }
        self.want_evidence(group, now);
        let state = &self.groups[group.0];
        if state.queue.is_empty() {
            return;
        }
        let is_due = now.since(state.passed_at) >= PASS_INTERVAL;
        if is_due || state.queue.len() <= SHORT_QUEUE {
            self.pass_whole(group, now);
        } else {
            self.pass_ready(group, now);
        }
    }

    /// Considers the head of the queue in the order of urgency, and all that is new.
    fn pass_whole(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &mut self.groups[group.0];
        state.passed_at = now;
        let mut order = std::mem::take(&mut state.queue);
        let state = &self.groups[group.0];
        let usual = |target| {
            let pool = state.pool(target);
            pool.map_or(Duration::ZERO, |pool| pool.statement_time.value(now))
        };
        order.sort_by_cached_key(|client| {
            let request = self.client(*client)?.request.as_ref()?;
            let usual = match request.placement_state {
                PlacementState::Target(target) => usual(target),
                _ => Duration::ZERO,
            };
            Some(request.urgency(usual, now))
        });
        let mut demand = vec![0; self.groups[group.0].pools.len()];
        let mut considered = Vec::new();
        let mut rest = Vec::new();
        for client in order {
            let place = self.placement_state(client);
            if considered.len() < MAX_CONSIDERED || place == Some(PlacementState::Unevaluated) {
                considered.push(client);
                continue;
            }
            if let Some(PlacementState::Target(target)) = place {
                demand[target.as_usize()] += 1;
            }
            rest.push(client);
        }
        self.groups[group.0].demand = demand;
        let mut waiting = self.place_each(group, considered, now);
        waiting.append(&mut rest);
        // Refusals may have let later queries of a client into the queue.
        waiting.append(&mut self.groups[group.0].queue);
        self.groups[group.0].queue = waiting;
        self.probe_for_reads(group, now);
    }

    /// Considers what is new in the queue, and the first statements for targets that have room.
    fn pass_ready(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &self.groups[group.0];
        let has_free_connection =
            |pool: &Option<TargetPool>| pool.as_ref().is_some_and(TargetPool::has_free_connection);
        let mut room = state
            .pools
            .iter()
            .map(|pool| usize::from(has_free_connection(pool)) * MAX_CANDIDATES)
            .collect::<Vec<_>>();
        let mut first = Vec::new();
        let mut last = Vec::new();
        for client in &state.queue {
            match self.placement_state(*client) {
                Some(PlacementState::Unevaluated) => last.push(*client),
                Some(PlacementState::Target(target)) => {
                    let i = target.as_usize();
                    if room.get(i).is_some_and(|room| *room > 0) {
                        room[i] -= 1;
                        first.push((*client, i));
                    }
                }
                _ => {}
            }
        }
        if first.is_empty() && last.is_empty() {
            return;
        }
        let state = &mut self.groups[group.0];
        for (_, i) in &first {
            if let Some(demand) = state.demand.get_mut(*i) {
                *demand = demand.saturating_sub(1);
            }
        }
        let first = first.into_iter().map(|(client, _)| client);
        let first = first.collect::<Vec<_>>();
        state
            .queue
            .retain(|client| !first.contains(client) && !last.contains(client));
        let mut waiting = self.place_each(group, first, now);
        let mut fresh = self.place_each(group, last, now);
        waiting.append(&mut self.groups[group.0].queue);
        waiting.append(&mut fresh);
        self.groups[group.0].queue = waiting;
    }

    /// Offers statements to targets, and returns those that go on waiting.
    fn place_each(
        &mut self,
        group: GroupIndex,
        clients: Vec<ClientId>,
        now: MonoTime,
    ) -> Vec<ClientId> {
        let pools = self.groups[group.0].pools.len();
        let mut demand = std::mem::take(&mut self.groups[group.0].demand);
        demand.resize(pools, 0);
        let mut wanted = vec![0; pools];
        let mut waiting = Vec::new();
        for client in clients {
            self.statistics.placed();
            let Some(session) = self.client(client) else {
                continue;
            };
            let place = match self.place_request(group, session, &demand, now) {
                Placement::Target(target) => {
                    let i = target.as_usize();
                    match self.offer(group, target, client, demand[i], now) {
                        TargetOffer::Lent => continue,
                        TargetOffer::TooLate => {
                            self.refuse_late(client, RefusalReason::DeadlinePassed, now);
                            continue;
                        }
                        offer => {
                            demand[i] += 1;
                            wanted[i] += usize::from(offer == TargetOffer::Open);
                            PlacementState::Target(target)
                        }
                    }
                }
                Placement::Wait => PlacementState::NoTarget,
                Placement::Refuse(reason) => {
                    self.refuse_late(client, reason, now);
                    continue;
                }
            };
            if let Some(request) = self.client_mut(client).and_then(|s| s.request.as_mut()) {
                request.placement_state = place;
            }
            waiting.push(client);
        }
        self.groups[group.0].demand = demand;
        for (i, wanted) in wanted.into_iter().enumerate() {
            self.open_wanted(group, index_of(i), wanted, now);
        }
        waiting
    }

    fn placement_state(&self, client: ClientId) -> Option<PlacementState> {
        let request = self.client(client)?.request.as_ref()?;
        Some(request.placement_state)
    }

    /// Lends a connection to a target to a statement, if one is idle and the target has room.
    fn offer(
        &mut self,
        group: GroupIndex,
        target: TargetIndex,
        client: ClientId,
        ahead: usize,
        now: MonoTime,
    ) -> TargetOffer {
        let (Some(session), Some(pool)) = (self.client(client), self.groups[group.0].pool(target))
        else {
            return TargetOffer::Wait;
        };
        let accepts_statement = pool.accepts_statement();
        if accepts_statement && let Some(connection) = pool.idle_connection_for(session) {
            self.lend(group, connection, client, now);
            return TargetOffer::Lent;
        }
        let request = session.request.as_ref();
        if request.is_some_and(|request| self.is_too_late(group, target, request, ahead, now)) {
            TargetOffer::TooLate
        } else if accepts_statement {
            TargetOffer::Open
        } else {
            TargetOffer::Wait
        }
    }
}
