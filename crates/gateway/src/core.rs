//! The gateway state machine: handles events, keeps the state and returns actions.
//!
//! This module holds the state of [`SessionGateway`], dispatches events to their handlers, and
//! keeps the catalog, the list of targets and the table of connections.

use std::sync::Arc;
use std::time::Duration;

use log::info;

use heatherhollow_tenants::TenantName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;

use crate::action::DutyToken;
use crate::action::GatewayAction;
use crate::action::GatewayEvent;
use crate::catalog::Catalog;
use crate::catalog::TargetEntry;
use crate::catalog::TargetRole;
use crate::catalog::TargetState;
use crate::group::GroupIndex;
use crate::group::GroupState;
use crate::homes::HomeArea;
use crate::homes::HomeTable;
use crate::log_budget::LineKind;
use crate::log_budget::LogBudget;
use crate::members::RemovedTarget;
use crate::members::StoredSize;
use crate::message::ClientId;
use crate::message::StatusFormat;
use crate::message::TargetCall;
use crate::pool::ConnectionId;
use crate::pool::ControlPurpose;
use crate::pool::TargetConnection;
use crate::quota_state::QuotaState;
use crate::session::ClientSession;
use crate::settings::GatewaySettings;
use crate::settings::InstanceIdentity;
use crate::statistics::GatewayStatistics;

/// Group and target that a connection belongs to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectionLocation {
    pub connection: ConnectionId,
    pub group: GroupIndex,
    pub target: TargetIndex,
}

/// Whether this instance holds the duty, the exclusive right to order promotions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DutyState {
    None,
    Requested,
    Held(DutyToken),
}

/// Serves client sessions with statements that run at the targets of database groups.
///
/// The gateway does no I/O: [`SessionGateway::handle`] takes an event with the present time and
/// returns the actions that the caller has to carry out.
pub struct SessionGateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) identity: InstanceIdentity,
    pub(crate) format: Arc<dyn StatusFormat>,
    pub(crate) statistics: Box<dyn GatewayStatistics>,
    pub(crate) catalog: Option<Catalog>,
    /// Latest time at which the catalog is known to have been the newest.
    pub(crate) catalog_proved_at: Option<MonoTime>,
    /// Whether the present spell without a proof of the catalog has been logged.
    pub(crate) is_proof_missing: bool,
    /// Sessions, sorted by client.
    pub(crate) clients: Vec<ClientSession>,
    pub(crate) groups: Vec<GroupState>,
    /// Index of each group, sorted by name.
    group_indexes: Vec<(String, GroupIndex)>,
    /// Location of each connection, sorted by connection.
    pub(crate) locations: Vec<ConnectionLocation>,
    pub(crate) next_connection: u64,
    /// Serial number of the last forwarded statement.
    pub(crate) last_serial: u64,
    /// Number of live instances, this one included.
    pub(crate) instances: usize,
    /// Number of areas with live instances that have homes of their own.
    pub(crate) area_count: usize,
    /// Data centres with which this instance shares homes.
    pub(crate) home_area: HomeArea,
    pub(crate) homes: HomeTable,
    pub(crate) quota: QuotaState,
    pub(crate) duty: DutyState,
    /// Whether the present list of targets has been requested and not been read.
    pub(crate) is_listing: bool,
    /// When the duty could last not be acquired because the store did not answer.
    pub(crate) duty_unavailable_at: Option<MonoTime>,
    /// When the complete list of targets was first read; `None` before that.
    pub(crate) list_complete_since: Option<MonoTime>,
    pub(crate) is_stopping: bool,
    pub(crate) actions: Vec<GatewayAction>,
    pub(crate) log_budget: LogBudget,
}

impl SessionGateway {
    /// Creates a gateway without a catalog, groups or clients.
    pub fn new(
        settings: GatewaySettings,
        identity: InstanceIdentity,
        format: Arc<dyn StatusFormat>,
        statistics: Box<dyn GatewayStatistics>,
    ) -> Self {
        let home_area = HomeArea::new(vec![identity.data_centre.clone()]);
        let quota = QuotaState::new(&settings.quota, &identity.name);
        Self {
            settings,
            identity,
            format,
            statistics,
            catalog: None,
            catalog_proved_at: None,
            is_proof_missing: false,
            clients: Vec::new(),
            groups: Vec::new(),
            group_indexes: Vec::new(),
            locations: Vec::new(),
            next_connection: 0,
            last_serial: 0,
            instances: 1,
            area_count: 1,
            home_area,
            homes: HomeTable::default(),
            quota,
            duty: DutyState::None,
            is_listing: false,
            duty_unavailable_at: None,
            list_complete_since: None,
            is_stopping: false,
            actions: Vec::new(),
            log_budget: LogBudget::default(),
        }
    }

    /// Returns whether the instance can serve: it is not stopping, has a catalog, with a first proof
    /// of it if revocation is strict, and knows a target that takes new work.
    pub fn is_ready(&self) -> bool {
        let has_target = self
            .groups
            .iter()
            .flat_map(GroupState::targets)
            .any(|(_, pool)| !pool.is_leaving());
        let is_proved = !self.is_strict() || self.catalog_proved_at.is_some();
        !self.is_stopping && self.catalog.is_some() && is_proved && has_target
    }

    /// Returns whether no client is connected to this instance and no forwarded session has a
    /// statement or transaction in progress.
    pub fn is_quiescent(&self) -> bool {
        self.clients.iter().all(|session| {
            let is_idle = session.is_idle() && session.open_transaction().is_none();
            session.is_forwarded && is_idle
        })
    }

    /// Returns the bytes of the values and prepared statements of a client's session.
    pub fn session_bytes(&self, client: ClientId) -> usize {
        self.client(client).map_or(0, |session| session.state_bytes)
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: GatewayEvent, now: MonoTime) -> Vec<GatewayAction> {
        match event {
            GatewayEvent::ClientOpened(client) => self.add_client(client, now),
            GatewayEvent::ClientStart {
                client,
                database,
                key,
            } => {
                if let Some(session) = self.client_mut(client) {
                    session.key = key;
                }
                self.start_session(client, database, now);
            }
            GatewayEvent::ClientQuery { client, query } => self.handle_query(client, query, now),
            GatewayEvent::ClientMalformed { client, code } => {
                self.reject_malformed(client, code, now);
            }
            GatewayEvent::ClientClosed(client) => self.remove_client(client, now),
            GatewayEvent::TargetOpened(connection) => self.start_connection(connection, now),
            GatewayEvent::TargetAnswered { connection, answer } => {
                self.handle_answer(connection, answer, now);
            }
            GatewayEvent::TargetClosed { connection, error } => {
                self.handle_connection_loss(connection, error, now);
            }
            GatewayEvent::CatalogRead(catalog) => self.apply_catalog(catalog, now),
            GatewayEvent::CatalogProved(at) => self.record_catalog_proof(at, now),
            GatewayEvent::TargetListed(entry) => self.apply_target_entry(entry, now),
            GatewayEvent::TargetUnlisted(target) => self.mark_target_missing(&target, now),
            GatewayEvent::TargetsRead(entries) => self.replace_targets(entries, now),
            GatewayEvent::GroupSizeRead(group, size) => {
                let group = self.group_index(&group, now);
                self.groups[group.0].stored_size = Some(StoredSize::new(size, now));
            }
            GatewayEvent::GroupSizesRead(sizes) => self.replace_sizes(sizes, now),
            GatewayEvent::InstancesCounted(count) => {
                self.update_instance_count(count, now);
            }
            GatewayEvent::TargetsListed { asked_at, entries } => {
                self.handle_target_list(asked_at, entries, now);
            }
            GatewayEvent::DutyAnswered(answer) => self.handle_duty_answer(answer, now),
            GatewayEvent::PromotionOrdered { group, reply } => {
                self.handle_order_reply(&group, reply, now);
            }
            GatewayEvent::PeersRead(peers) => self.replace_peers(peers, now),
            GatewayEvent::HomeAnswered {
                client,
                serial,
                answer,
            } => self.handle_home_answer(client, serial, answer, now),
            GatewayEvent::HomeLost {
                home,
                was_open,
                was_refused,
            } => {
                self.fail_home(&home, was_open, now);
                self.handle_holder_loss(&home, was_open, was_refused, now);
            }
            GatewayEvent::HomeLeaving(home) => {
                self.handle_home_leaving(&home, now);
                self.handle_holder_leaving(&home, now);
            }
            GatewayEvent::HomeReached(home) => self.handle_home_reached(&home, now),
            GatewayEvent::QuotaRequested { link, request } => {
                self.answer_quota_request(link, request, now);
            }
            GatewayEvent::QuotaGranted {
                instance,
                tenant,
                number,
                grant,
            } => self.handle_quota_grant(&instance, tenant, number, grant, now),
            GatewayEvent::Forwarded { client, query } => {
                self.handle_forwarded_query(client, *query, now);
            }
            GatewayEvent::ForwardedRollback(client) => self.end_transaction(client, now),
            GatewayEvent::StopRequested => {
                info!("stop_requested sessions={}", self.clients.len());
                self.is_stopping = true;
                // The others are told, and use the next holder in rank from now on.
                let own = self.identity.name.clone();
                self.handle_holder_leaving(&own, now);
            }
            GatewayEvent::Tick => self.tick(now),
        }
        self.settle_quotas(now);
        self.dispatch_all(now);
        // Statements that were refused here gave back their tokens.
        if self.settle_quotas(now) {
            self.dispatch_all(now);
        }
        std::mem::take(&mut self.actions)
    }

    fn dispatch_all(&mut self, now: MonoTime) {
        for i in 0..self.groups.len() {
            self.dispatch(GroupIndex(i), now);
        }
    }

    /// Returns the time at which the next [`GatewayEvent::Tick`] is due.
    pub fn next_tick(&self, now: MonoTime) -> MonoTime {
        let is_busy = self.quota.is_waiting() || self.groups.iter().any(|group| group.is_busy(now));
        now + if is_busy {
            BUSY_TICK_INTERVAL
        } else {
            IDLE_TICK_INTERVAL
        }
    }

    /// Closes client sessions without a statement in progress, for a planned stop after the last
    /// new session was accepted.
    ///
    /// Sessions with an open transaction are closed only if `includes_transactions` is set.
    pub fn close_idle_sessions(&mut self, includes_transactions: bool) -> Vec<GatewayAction> {
        let idle = self
            .clients
            .iter()
            .filter(|session| !session.is_forwarded)
            .filter(|session| session.is_idle() && session.pending_queries.is_empty())
            .filter(|session| includes_transactions || session.open_transaction().is_none())
            .map(|session| session.id)
            .collect::<Vec<_>>();
        for client in idle {
            self.actions.push(GatewayAction::CloseClient(client));
        }
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now: MonoTime) {
        self.log_budget.flush(now);
        self.log_catalog_proof(now);
        self.expire_pending_starts(now);
        self.expire_requests(now);
        self.expire_quotas(now);
        self.choose_homes(now, false);
        self.probe_lost_homes(now);
        for i in 0..self.groups.len() {
            if !self.is_observer(GroupIndex(i), now) {
                if now.since(self.groups[i].unobserved_maintained_at) >= UNOBSERVED_INTERVAL {
                    self.groups[i].unobserved_maintained_at = now;
                    self.maintain_unobserved_group(GroupIndex(i), now);
                }
                continue;
            }
            self.observe_group(GroupIndex(i), now);
            self.update_stored_size(GroupIndex(i), now);
            self.tick_promotion(GroupIndex(i), now);
        }
    }

    fn apply_catalog(&mut self, catalog: Catalog, now: MonoTime) {
        let current = self.catalog.as_ref().map(|catalog| catalog.version);
        // A store that came back from a copy may give a version out again, with other keys.
        let is_reissued = self.is_strict()
            && current == Some(catalog.version)
            && self.catalog.as_ref() != Some(&catalog);
        if !is_reissued && current.is_some_and(|current| current >= catalog.version) {
            return;
        }
        info!(
            "catalog_applied version={} previous={} routes={} groups={}",
            catalog.version,
            current.unwrap_or(0),
            catalog.routes.len(),
            catalog.groups.len()
        );
        for rule in &catalog.groups {
            let group = self.group_index(&rule.group, now);
            self.groups[group.0].rule = Some(rule.clone());
            self.choose_home(group, now);
        }
        self.catalog = Some(catalog);
        self.update_home_area(now);
        self.end_revoked_sessions(now);
        let pending = self
            .clients
            .iter_mut()
            .filter_map(|session| Some((session.id, session.pending_start.take()?.0)))
            .collect::<Vec<_>>();
        for (client, database) in pending {
            self.start_session(client, database, now);
        }
        self.answer_deferred_requests(now);
    }

    /// Returns the index of a group and adds the group if it is not known.
    pub(crate) fn group_index(&mut self, name: &str, now: MonoTime) -> GroupIndex {
        let found = self
            .group_indexes
            .binary_search_by(|(known, _)| known.as_str().cmp(name));
        let insertion = match found {
            Ok(i) => return self.group_indexes[i].1,
            Err(insertion) => insertion,
        };
        let monitor = self.settings.monitor.clone();
        let group = GroupState::new(name.to_string(), monitor, now);
        self.groups.push(group);
        let index = GroupIndex(self.groups.len() - 1);
        self.group_indexes
            .insert(insertion, (name.to_string(), index));
        self.choose_home(index, now);
        index
    }

    pub(crate) fn apply_target_entry(&mut self, entry: TargetEntry, now: MonoTime) {
        let group = self.group_index(&entry.group, now);
        let state = &mut self.groups[group.0];
        let Some(target) = state.target_index(&entry.target) else {
            let is_relisted = state.readmit(&entry.target, entry.incarnation, now);
            // Thousands of targets may be listed at once, so these lines are limited; other log
            // lines give the number of targets.
            if self.may_log(now) {
                info!(
                    "target_listed group={} target={} address={} state={:?} role={:?}",
                    entry.group, entry.target, entry.address, entry.state, entry.role
                );
            }
            let state = &mut self.groups[group.0];
            let is_leaving = entry.state == TargetState::Draining;
            let target = state.add_target(entry);
            if let Some(pool) = state.pool_mut(target) {
                pool.surplus_allowed_at = now + self.settings.surplus_pause;
                pool.leaving_since = is_leaving.then_some(now);
                if self.list_complete_since.is_some() && !is_relisted {
                    pool.listed_at = now;
                }
            }
            state.update_nominal_size();
            return;
        };
        let pool = state.pool_mut(target).expect("a found target has a pool");
        pool.missing_since = None;
        let is_restarted =
            pool.entry.incarnation != entry.incarnation || pool.entry.address != entry.address;
        if entry.incarnation < pool.entry.incarnation {
            return;
        }
        if pool.entry.state != entry.state || pool.entry.role != entry.role || is_restarted {
            info!(
                "target_changed group={} target={} state={:?} role={:?} reborn={is_restarted}",
                entry.group, entry.target, entry.state, entry.role
            );
        }
        let former_run = is_restarted.then(|| RemovedTarget::new(pool, Some(now), now));
        pool.entry = entry;
        if !pool.is_leaving() {
            pool.leaving_since = None;
        } else {
            pool.leaving_since.get_or_insert(now);
        }
        // The target must confirm in a status report that it leads before it is used as the
        // primary.
        let claims_primary = pool.entry.role == Some(TargetRole::Primary);
        if claims_primary && state.primary != Some(target) {
            state.queue_control(target, ControlPurpose::Observe, TargetCall::Status, now);
        }
        let pool = state.pool_mut(target).expect("a found target has a pool");
        if is_restarted {
            pool.must_confirm_role = true;
            // The restart ended a pause that a promotion in progress may rely on, so the target
            // counts as newly listed.
            if self.list_complete_since.is_some() {
                pool.listed_at = now;
            }
            pool.report = None;
            pool.first_position = None;
            pool.max_seen = None;
            pool.run = None;
            pool.open_backoff_until = now;
            state.tracker.remove_replica(target);
            state.removed_targets.extend(former_run);
            self.close_pool(group, target, now);
        }
    }

    fn mark_target_missing(&mut self, target: &str, now: MonoTime) {
        for group in &mut self.groups {
            if let Some(i) = group.target_index(target)
                && let Some(pool) = group.pool_mut(i)
                && pool.missing_since.is_none()
            {
                info!("target_unlisted group={} target={target}", pool.entry.group);
                pool.missing_since = Some(now);
            }
        }
    }

    fn replace_targets(&mut self, entries: Vec<TargetEntry>, now: MonoTime) {
        let mut listed = entries
            .iter()
            .map(|entry| entry.target.clone())
            .collect::<Vec<_>>();
        listed.sort();
        let missing = self
            .groups
            .iter()
            .flat_map(GroupState::targets)
            .map(|(_, pool)| pool.entry.target.clone())
            .filter(|target| listed.binary_search(target).is_err())
            .collect::<Vec<_>>();
        for entry in entries {
            self.apply_target_entry(entry, now);
        }
        for target in missing {
            self.mark_target_missing(&target, now);
        }
        self.list_complete_since.get_or_insert(now);
        for group in &mut self.groups {
            group.update_nominal_size();
        }
    }

    /// Removes targets that have been missing from the list for longer than the grace time.
    pub(crate) fn remove_missing_targets(&mut self, group: GroupIndex, now: MonoTime) {
        let grace = self.settings.missing_grace;
        let expired = self.groups[group.0]
            .targets()
            .filter(|(_, pool)| pool.missing_since.is_some_and(|at| now.since(at) > grace))
            .map(|(i, _)| i)
            .collect::<Vec<_>>();
        for target in expired {
            // The entry of a leaving target also lapses if it is cut off from the store, while it
            // goes on confirming commits.
            let pool = self.groups[group.0].pool(target);
            let ended_by = pool
                .filter(|pool| pool.is_leaving() && !pool.has_ready_connection())
                .and_then(|pool| pool.missing_since);
            self.close_pool(group, target, now);
            let state = &mut self.groups[group.0];
            if let Some(pool) = state.pools[target.as_usize()].take() {
                let removed = RemovedTarget::new(&pool, ended_by, now);
                state.removed_targets.push(removed);
                info!(
                    "target_removed group={} target={}",
                    state.name, pool.entry.target
                );
            }
            state.tracker.remove_replica(target);
            if state.primary == Some(target) {
                state.clear_primary(now);
            }
            if state.last_primary == Some(target) {
                state.last_primary = None;
            }
        }
    }

    /// Opens a connection to a target; returns `None` if the target is not known.
    pub(crate) fn open_connection(
        &mut self,
        group: GroupIndex,
        target: TargetIndex,
        tenant: Option<TenantName>,
        is_connect_probe: bool,
        now: MonoTime,
    ) -> Option<ConnectionId> {
        let timeout = self.settings.connect_timeout;
        let id = ConnectionId(self.next_connection);
        let pool = self.groups[group.0].pool_mut(target)?;
        self.next_connection += 1;
        let mut connection = TargetConnection::new(id, tenant, now);
        connection.is_connect_probe = is_connect_probe;
        pool.connections.push(connection);
        let address = pool.entry.address;
        self.locations.push(ConnectionLocation {
            connection: id,
            group,
            target,
        });
        self.statistics.connection_opened();
        self.actions.push(GatewayAction::OpenTarget {
            connection: id,
            address,
            timeout,
        });
        if self.groups[group.0].primary == Some(target) {
            self.groups[group.0].monitor.probe_sent(now);
        }
        Some(id)
    }

    pub(crate) fn location(&self, connection: ConnectionId) -> Option<ConnectionLocation> {
        let found = self
            .locations
            .binary_search_by_key(&connection, |location| location.connection);
        found.ok().map(|i| self.locations[i])
    }

    /// Removes a connection from its pool and returns it.
    pub(crate) fn remove_connection(&mut self, id: ConnectionId) -> Option<TargetConnection> {
        let found = self
            .locations
            .binary_search_by_key(&id, |location| location.connection);
        let location = self.locations.remove(found.ok()?);
        let pool = self.groups[location.group.0].pool_mut(location.target)?;
        let i = pool.connections.iter().position(|c| c.id == id)?;
        Some(pool.connections.remove(i))
    }

    pub(crate) fn connection_mut(&mut self, id: ConnectionId) -> Option<&mut TargetConnection> {
        let location = self.location(id)?;
        self.groups[location.group.0]
            .pool_mut(location.target)?
            .connection_mut(id)
    }

    pub(crate) fn client(&self, id: ClientId) -> Option<&ClientSession> {
        let found = self.clients.binary_search_by_key(&id, |session| session.id);
        found.ok().map(|i| &self.clients[i])
    }

    pub(crate) fn client_mut(&mut self, id: ClientId) -> Option<&mut ClientSession> {
        let found = self.clients.binary_search_by_key(&id, |session| session.id);
        found.ok().map(|i| &mut self.clients[i])
    }

    /// Returns whether the log budget of the present second allows another line, and counts that
    /// line.
    pub(crate) fn may_log(&mut self, now: MonoTime) -> bool {
        self.log_budget.allows(self.settings.max_log_lines, now)
    }

    /// Returns whether a log line about a client's request may be written now. If not, the line is
    /// counted in the summary of the present second.
    pub(crate) fn may_log_request(
        &mut self,
        event: &'static str,
        reason: &str,
        client: ClientId,
        now: MonoTime,
    ) -> bool {
        if self.may_log(now) {
            return true;
        }
        if let Some(request) = self.client(client).and_then(|s| s.request.as_ref()) {
            let took = now.since(request.received_at);
            let kind = LineKind {
                event,
                reason: reason.to_string(),
                group: request.route.group.clone(),
                target: request.sent_to.clone(),
            };
            self.log_budget.summarize(kind, took);
        }
        false
    }
}

/// Time between ticks while a group has work in progress; well below the time limits of calls and
/// of the steps of a promotion.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of the periodic work on a group that this instance does not observe, since it forwards
/// the group's statements to a home. The work only maintains connections left from earlier use.
const UNOBSERVED_INTERVAL: Duration = Duration::from_millis(200);

/// Time between ticks while no group has work in progress. It stays below the gap between ticks at
/// which the monitor of a primary resets itself.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
