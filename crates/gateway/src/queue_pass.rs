//! Passes over the queue of statements that wait for a connection.
//!
//! Statements wait here and not at the targets as long as they can still be refused without an
//! effect. Those that can meet their objective go first. If each event considered every statement,
//! the cost would grow with the square of the load until the instance is slower than its targets. A
//! long queue is therefore considered from its head once in an interval. In between, only new
//! statements are considered and those for targets with room.

use std::time::Duration;

use heatherhollow_tenants::OperationRate;
use heatherhollow_tenants::TenantDirectory;
use heatherhollow_tenants::TenantName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::TargetIndex;

use crate::core::SessionGateway;
use crate::fair_order::FairOrder;
use crate::fair_order::TenantLoad;
use crate::group::GroupIndex;
use crate::group::to_target_index;
use crate::message::ClientId;
use crate::placement::Placement;
use crate::pool::TargetPool;
use crate::session::ClientRequest;
use crate::session::PlacementState;
use crate::session::RequestStage;

/// Length up to which a queue is considered as a whole at each event.
const SHORT_QUEUE_LENGTH: usize = 8;

/// Interval between passes over a long queue; equal to the tick of a busy gateway.
const PASS_INTERVAL: Duration = Duration::from_millis(20);

/// Statements of a long queue that one pass considers, apart from new ones.
const MAX_CONSIDERED_STATEMENTS: usize = 64;

/// Statements that are considered between two passes for each target with room. More than one is
/// considered, as the first may no longer be fit for the target.
const MAX_CANDIDATES: usize = 4;

/// Result of offering a statement to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TargetOffer {
    /// The statement got a connection.
    Assigned,
    /// The statement waits for a connection that has to be opened.
    Open,
    /// The statement waits for room at the target.
    Wait,
    /// The statement cannot start in time.
    TooLate,
}

impl SessionGateway {
    /// Assigns idle connections to queued statements and opens connections that are missing.
    pub(crate) fn dispatch(&mut self, group: GroupIndex, now: MonoTime) {
        // An instance may know hundreds of groups, and most events concern only one of them.
        if self.groups[group.0].has_queued_control {
            self.send_control_calls(group, now);
        }
        self.send_evidence_call(group, now);
        self.resend_delayed(group, now);
        let state = &self.groups[group.0];
        if state.queue.is_empty() {
            return;
        }
        let is_due = now.since(state.last_full_pass_at) >= PASS_INTERVAL;
        if is_due || state.queue.len() <= SHORT_QUEUE_LENGTH {
            self.run_full_pass(group, now);
        } else {
            self.run_ready_pass(group, now);
        }
    }

    /// Considers the head of the queue in the order of urgency, and all new statements.
    fn run_full_pass(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &mut self.groups[group.0];
        state.last_full_pass_at = now;
        let queue = std::mem::take(&mut state.queue);
        let (order, overtaken) = self.queue_order(group, queue, now);
        let mut queued_per_target = vec![0; self.groups[group.0].pools.len()];
        let mut considered = Vec::new();
        let mut unconsidered = Vec::new();
        for client in order {
            let placement = self.placement_state(client);
            if considered.len() < MAX_CONSIDERED_STATEMENTS
                || placement == Some(PlacementState::Unevaluated)
            {
                considered.push(client);
                continue;
            }
            if let Some(PlacementState::Target(target)) = placement {
                queued_per_target[target.as_usize()] += 1;
            }
            unconsidered.push(client);
        }
        self.groups[group.0].queued_per_target = queued_per_target;
        let mut waiting = self.place_requests(group, considered, now);
        waiting.append(&mut unconsidered);
        // A refusal may have queued the next query of the client.
        waiting.append(&mut self.groups[group.0].queue);
        self.groups[group.0].queue = waiting;
        self.count_overtaken(overtaken);
        self.poll_replicas_for_reads(group, now);
    }

    /// Returns queued clients in the order of a full pass, and those whose statements others have
    /// passed.
    fn queue_order(
        &self,
        group: GroupIndex,
        mut queue: Vec<ClientId>,
        now: MonoTime,
    ) -> (Vec<ClientId>, Vec<ClientId>) {
        if let Some(directory) = self.directory() {
            return self.fair_queue_order(group, queue, directory, now);
        }
        queue.sort_by_cached_key(|client| {
            let request = self.client(*client)?.request.as_ref()?;
            Some(request.urgency(self.expected_time(request, now), now))
        });
        (queue, Vec::new())
    }

    /// As [`Self::queue_order`], where tenants are declared.
    ///
    /// A tenant without a limit, and the sessions without a tenant together, have the highest rate
    /// of all tenants, as no limit keeps them below it.
    fn fair_queue_order(
        &self,
        group: GroupIndex,
        queue: Vec<ClientId>,
        directory: &TenantDirectory,
        now: MonoTime,
    ) -> (Vec<ClientId>, Vec<ClientId>) {
        let queued = queue.into_iter().filter_map(|client| {
            let session = self.client(client)?;
            let request = session.request.as_ref()?;
            let expected_time = self.expected_time(request, now);
            Some((
                client,
                request.queued_for(session.tenant.as_ref(), expected_time, now),
            ))
        });
        let (clients, queued) = queued.unzip::<_, _, Vec<_>, Vec<_>>();
        let state = &self.groups[group.0];
        let highest_rate = directory
            .highest_rate()
            .map_or(1.0, OperationRate::per_second);
        let load = |tenant: Option<&TenantName>| {
            let pools = state.targets().map(|(_, pool)| pool);
            let in_progress = pools.map(|pool| pool.statements_of(tenant)).sum::<usize>();
            let quota = tenant.and_then(|tenant| directory.quota_of(tenant));
            TenantLoad {
                used: in_progress as f64 + state.recent_starts.count(tenant, now),
                rate: quota.map_or(highest_rate, |quota| quota.rate.per_second()),
            }
        };
        let fair = FairOrder::new(&queued, load);
        let client_at = |i: usize| clients[i];
        (
            fair.order.into_iter().map(client_at).collect(),
            fair.overtaken.into_iter().map(client_at).collect(),
        )
    }

    /// Returns the usual time of a statement at the target that a request waits for; zero if it
    /// waits for none.
    fn expected_time(&self, request: &ClientRequest, now: MonoTime) -> Duration {
        let pool = match request.placement_state {
            PlacementState::Target(target) => self.groups[request.group.0].pool(target),
            _ => None,
        };
        pool.map_or(Duration::ZERO, |pool| pool.statement_time.value(now))
    }

    /// Counts statements that were passed and still wait after the pass, each of them once.
    fn count_overtaken(&mut self, overtaken: Vec<ClientId>) {
        for client in overtaken {
            let request = self.client_mut(client).and_then(|s| s.request.as_mut());
            if let Some(request) = request
                && request.stage == RequestStage::Queued
                && !request.is_overtaken
            {
                request.is_overtaken = true;
                self.statistics.queue_overtaken();
            }
        }
    }

    /// Considers new statements, and the first queued statements for targets that have room.
    fn run_ready_pass(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &self.groups[group.0];
        let has_free_connection =
            |pool: &Option<TargetPool>| pool.as_ref().is_some_and(TargetPool::has_free_connection);
        let mut remaining_candidates = state
            .pools
            .iter()
            .map(|pool| usize::from(has_free_connection(pool)) * MAX_CANDIDATES)
            .collect::<Vec<_>>();
        let mut ready = Vec::new();
        let mut unplaced = Vec::new();
        for client in &state.queue {
            match self.placement_state(*client) {
                Some(PlacementState::Unevaluated) => unplaced.push(*client),
                Some(PlacementState::Target(target)) => {
                    let i = target.as_usize();
                    if remaining_candidates
                        .get(i)
                        .is_some_and(|remaining| *remaining > 0)
                    {
                        remaining_candidates[i] -= 1;
                        ready.push((*client, i));
                    }
                }
                _ => {}
            }
        }
        if ready.is_empty() && unplaced.is_empty() {
            return;
        }
        let state = &mut self.groups[group.0];
        for (_, i) in &ready {
            if let Some(queued) = state.queued_per_target.get_mut(*i) {
                *queued = queued.saturating_sub(1);
            }
        }
        let ready = ready.into_iter().map(|(client, _)| client);
        let ready = ready.collect::<Vec<_>>();
        state
            .queue
            .retain(|client| !ready.contains(client) && !unplaced.contains(client));
        let mut waiting = self.place_requests(group, ready, now);
        let mut waiting_new = self.place_requests(group, unplaced, now);
        waiting.append(&mut self.groups[group.0].queue);
        waiting.append(&mut waiting_new);
        self.groups[group.0].queue = waiting;
    }

    /// Offers statements to targets and returns those that go on waiting.
    fn place_requests(
        &mut self,
        group: GroupIndex,
        clients: Vec<ClientId>,
        now: MonoTime,
    ) -> Vec<ClientId> {
        let pools = self.groups[group.0].pools.len();
        let mut queued_per_target = std::mem::take(&mut self.groups[group.0].queued_per_target);
        queued_per_target.resize(pools, 0);
        let mut wanted_connections = vec![Vec::new(); pools];
        let mut waiting = Vec::new();
        for client in clients {
            self.statistics.placed();
            let Some(session) = self.client(client) else {
                continue;
            };
            let tenant = session.tenant.clone();
            let placement = match self.place_request(group, session, &queued_per_target, now) {
                Placement::Target(target) => {
                    let i = target.as_usize();
                    match self.offer_connection(group, target, client, queued_per_target[i], now) {
                        TargetOffer::Assigned => continue,
                        TargetOffer::TooLate => {
                            self.refuse_queued(client, RefusalReason::DeadlinePassed, now);
                            continue;
                        }
                        offer => {
                            queued_per_target[i] += 1;
                            if offer == TargetOffer::Open {
                                wanted_connections[i].push(tenant);
                                self.replace_idle_connection(
                                    group,
                                    target,
                                    &wanted_connections[i],
                                    now,
                                );
                            }
                            PlacementState::Target(target)
                        }
                    }
                }
                Placement::Wait => PlacementState::NoTarget,
                Placement::Refuse(reason) => {
                    self.refuse_queued(client, reason, now);
                    continue;
                }
            };
            if let Some(request) = self.client_mut(client).and_then(|s| s.request.as_mut()) {
                request.placement_state = placement;
            }
            waiting.push(client);
        }
        self.groups[group.0].queued_per_target = queued_per_target;
        for (i, wanted_connections) in wanted_connections.into_iter().enumerate() {
            self.open_needed_connections(group, to_target_index(i), &wanted_connections, now);
        }
        waiting
    }

    /// Opens a connection for the last of the statements that want one, if a connection of another
    /// tenant is idle that would otherwise be lent to a statement behind it.
    ///
    /// If the shares of all connections are used, a tenant that has none would wait as long as the
    /// tenants that have some keep them busy.
    fn replace_idle_connection(
        &mut self,
        group: GroupIndex,
        target: TargetIndex,
        wanted: &[Option<TenantName>],
        now: MonoTime,
    ) {
        if !self.has_tenants() {
            return;
        }
        let pool = self.groups[group.0].pool(target);
        // Openings take slots at the target, so one at a time replaces a connection.
        let may_replace = pool
            .is_some_and(|pool| pool.opening_count() == 0 && pool.any_idle_connection().is_some());
        if may_replace {
            self.open_needed_connections(group, target, wanted, now);
        }
    }

    /// Returns what the last pass found for a client's request, or `None` if there is no request.
    fn placement_state(&self, client: ClientId) -> Option<PlacementState> {
        let request = self.client(client)?.request.as_ref()?;
        Some(request.placement_state)
    }

    /// Assigns a connection of the target to a statement, if one is idle and the target has room.
    /// `ahead` is the number of statements that already wait for the target.
    fn offer_connection(
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
            self.assign_connection(group, connection, client, now);
            return TargetOffer::Assigned;
        }
        let request = session.request.as_ref();
        if request.is_some_and(|request| self.starts_too_late(group, target, request, ahead, now)) {
            TargetOffer::TooLate
        } else if accepts_statement {
            TargetOffer::Open
        } else {
            TargetOffer::Wait
        }
    }
}
