//! Statements forwarded to the home of their group, on both sides.
//!
//! The client's instance keeps the session: its values, prepared names, position and the state of
//! its transaction. A forwarded statement carries the part of them that the home needs. A lost home
//! is handled like a lost connection to a target: a statement that may have run is in doubt, and a
//! statement that cannot have had an effect is routed again or refused as not run.

use std::time::Duration;

use log::debug;
use log::info;

use heatherhollow_tenants::KeyDigest;
use heatherhollow_tenants::TenantName;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;

use crate::action::GatewayAction;
use crate::catalog::SessionRoute;
use crate::core::SessionGateway;
use crate::group::GroupIndex;
use crate::group::GroupState;
use crate::group::RECENT_USE_WINDOW;
use crate::homes::HomeArea;
use crate::homes::ISOLATED_EXCLUSION_TIME;
use crate::homes::LOST_RETRY_TIME;
use crate::homes::PeerEntry;
use crate::homes::UNOPENED_RETRY_TIME;
use crate::message::ClientAnswer;
use crate::message::ClientCode;
use crate::message::ClientId;
use crate::message::ClientQuery;
use crate::message::SessionState;
use crate::session::ClientSession;
use crate::session::OpenTransaction;
use crate::session::PlacementState;
use crate::session::RequestKind;
use crate::session::RequestStage;
use crate::session::SessionTransaction;
use crate::statement::PreparedShape;
use crate::tenants::Unauthorized;

/// How a statement belongs to a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionPart {
    /// The statement is not part of a transaction.
    Single,
    /// The statement is the first of a transaction.
    First {
        /// Whether the transaction only reads.
        is_read_only: bool,
    },
    /// The statement is a later one of a transaction at the same home.
    Later,
}

/// A statement that is sent to the home of its group.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardedQuery {
    /// Serial number of the forwarded statement, unique at the client's instance; the answer
    /// carries it too.
    pub serial: u64,
    /// The statement.
    pub query: ClientQuery,
    /// Route that the client's instance found for it.
    pub route: SessionRoute,
    /// How the statement belongs to a transaction of the session.
    pub part: TransactionPart,
    /// Values of the session, sorted by name.
    pub values: Vec<(String, String)>,
    /// What the prepared statement does, if the statement executes one.
    pub shape: Option<PreparedShape>,
    /// Position of the session's last commit in the route's group.
    pub position: Option<GroupPosition>,
    /// Whether a commit of the session is in doubt.
    pub has_doubt: bool,
    /// Tenant of the session, if the route needs a key.
    pub tenant: Option<ForwardedTenant>,
}

/// The tenant of a forwarded session, as the client's instance resolved it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedTenant {
    /// Name of the tenant.
    pub name: TenantName,
    /// Digest of the session's key.
    pub key: KeyDigest,
    /// Version of the catalog that resolved the key.
    pub catalog_version: u64,
}

/// A message to the home of a group.
#[derive(Debug, Clone, PartialEq)]
pub enum HomeMessage {
    /// A statement.
    Query(Box<ForwardedQuery>),
    /// A request to roll back the session's transaction.
    Rollback,
    /// A notice that the session has ended or uses another home.
    End,
}

/// Interval after which the home of a group is chosen again while isolated instances are excluded,
/// as their exclusion may have ended.
const HOME_CHOICE_LIFETIME: Duration = Duration::from_millis(500);

/// Greatest number of homes of a group that are excluded at the same time because they are cut off
/// from it.
const MAX_ISOLATED_HOMES: usize = 2;

impl SessionGateway {
    /// Replaces the list of instances and chooses the homes again if it changed.
    pub(crate) fn replace_peers(&mut self, peers: Vec<PeerEntry>, now: MonoTime) {
        self.replace_holders(&peers, now);
        let is_changed = self.homes.replace_peers(peers, &self.home_area, now);
        self.choose_homes(now, is_changed);
    }

    /// Chooses the home of a group. This instance serves the group itself if it is the home or its
    /// targets accept enough connections for all instances.
    pub(crate) fn choose_home(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &self.groups[group.0];
        let home = if state.has_scarce_connections(self.instances) {
            self.homes
                .home(&state.name, &self.home_area, &state.isolated_homes, now)
                .map(|home| home.instance.clone())
                .filter(|home| *home != self.identity.name)
        } else {
            None
        };
        let state = &mut self.groups[group.0];
        if state.remote_home != home {
            debug!(
                "home_chosen group={} home={}",
                state.name,
                home.as_deref().unwrap_or("self")
            );
        }
        state.remote_home = home;
        state.home_chosen_at = now;
    }

    /// Chooses the homes of all groups after a change, and otherwise of the groups whose isolated
    /// homes are due for another choice.
    pub(crate) fn choose_homes(&mut self, now: MonoTime, is_changed: bool) {
        let is_changed = self.homes.expire_unlisted(now) || is_changed;
        self.count_areas();
        for i in 0..self.groups.len() {
            let state = &mut self.groups[i];
            let is_due = !state.isolated_homes.is_empty()
                && now.since(state.home_chosen_at) >= HOME_CHOICE_LIFETIME;
            if is_due {
                state.isolated_homes.retain(|(_, until)| now < *until);
            }
            if is_due || is_changed {
                self.choose_home(GroupIndex(i), now);
            }
        }
    }

    /// Chooses the homes again if the declarations have changed which data centres share them.
    pub(crate) fn update_home_area(&mut self, now: MonoTime) {
        let is_regional = self.has_tenants();
        let area = HomeArea::new(match is_regional {
            true => self.identity.region_data_centres(),
            false => vec![self.identity.data_centre.clone()],
        });
        if area != self.home_area {
            self.home_area = area;
            self.homes.clear_candidates();
            self.choose_homes(now, true);
        }
    }

    /// Counts the areas with known instances. Data centres of unknown regions are areas of their
    /// own.
    fn count_areas(&mut self) {
        let data_centres = self.homes.data_centres();
        let count = match self.has_tenants() {
            true => {
                let mut first = data_centres
                    .iter()
                    .map(|data_centre| self.identity.first_of_region(data_centre))
                    .collect::<Vec<_>>();
                first.sort();
                first.dedup();
                first.len()
            }
            false => data_centres.len(),
        };
        self.area_count = count.max(1);
    }

    /// Updates the number of live instances, and chooses the homes of groups that become scarce of
    /// connections or cease to be.
    pub(crate) fn update_instance_count(&mut self, count: usize, now: MonoTime) {
        let old = self.instances;
        self.instances = count.max(1);
        for i in 0..self.groups.len() {
            let state = &self.groups[i];
            if state.has_scarce_connections(old) != state.has_scarce_connections(self.instances) {
                self.choose_home(GroupIndex(i), now);
            }
        }
    }

    /// Returns the number of instances that hold connections to the targets of a group.
    pub(crate) fn connection_holders(&self, state: &GroupState) -> usize {
        if state.has_scarce_connections(self.instances) {
            self.area_count.min(self.instances)
        } else {
            self.instances
        }
    }

    /// Returns whether this instance observes a group: its clients use the group here, or it is the
    /// group's home by rank and not only because other instances are excluded.
    pub(crate) fn is_observer(&mut self, group: GroupIndex, now: MonoTime) -> bool {
        let state = &self.groups[group.0];
        if now.since(state.last_used_at) < RECENT_USE_WINDOW {
            return true;
        }
        // An entry of another writer may name a group that is not declared.
        if state.remote_home.is_some() || state.rule.is_none() {
            return false;
        }
        let has_remote_homes = state.has_scarce_connections(self.instances);
        let (name, area) = (&self.identity.name, &self.home_area);
        !has_remote_homes || self.homes.is_home_candidate(name, &state.name, area)
    }

    /// Routes a client's current request to the home of its group or into the local queue.
    pub(crate) fn route_request(&mut self, client: ClientId, now: MonoTime) {
        let Some(session) = self.client(client) else {
            return;
        };
        let Some(request) = &session.request else {
            return;
        };
        let group = request.group;
        // Statements that another instance forwarded are never forwarded again.
        let home = match session.is_forwarded {
            true => None,
            false => self.groups[group.0].remote_home.clone(),
        };
        match home {
            Some(home) => self.forward_statement(client, home, now),
            None => {
                // The session may have committed through an instance that knew a later term.
                let position = session.position_in(group);
                let state = &mut self.groups[group.0];
                if let Some(position) = position {
                    state.observe_term(position.term, None, now);
                }
                state.last_used_at = now;
                if let Some(request) = self.client_mut(client).and_then(|s| s.request.as_mut()) {
                    request.stage = RequestStage::Queued;
                    request.placement_state = PlacementState::Unevaluated;
                }
                let queue = &mut self.groups[group.0].queue;
                if !queue.contains(&client) {
                    queue.push(client);
                }
            }
        }
    }

    /// Sends a client's current request to a home.
    pub(crate) fn forward_statement(&mut self, client: ClientId, home: String, now: MonoTime) {
        if !self.check_sending(client, now) {
            return;
        }
        let Some(address) = self.homes.address(&home) else {
            self.end_unanswered_request(client, false, now);
            return;
        };
        self.last_serial += 1;
        let serial = self.last_serial;
        let catalog_version = self.catalog_version();
        let Some(session) = self.client_mut(client) else {
            return;
        };
        let shape = session.requested_shape().cloned();
        let key = session.key.filter(|_| session.tenant.is_some());
        let tenant = key.zip(session.tenant.clone());
        let tenant = tenant.map(|(key, name)| ForwardedTenant {
            name,
            key,
            catalog_version,
        });
        let part = match &mut session.transaction {
            SessionTransaction::Open(open) => match open.home.replace(home.clone()) {
                Some(_) => TransactionPart::Later,
                None => TransactionPart::First {
                    is_read_only: open.is_read_only,
                },
            },
            _ => TransactionPart::Single,
        };
        let group = session.request.as_ref().map(|request| request.group);
        let position = group.and_then(|group| session.position_in(group));
        let Some(request) = &mut session.request else {
            return;
        };
        request.stage = RequestStage::Forwarded {
            home: home.clone(),
            serial,
        };
        request.sent_at = now;
        request.sent_to.clone_from(&home);
        request.attempts += 1;
        let previous = session.last_home.replace(home.clone());
        let query = ForwardedQuery {
            serial,
            query: request.query.clone(),
            route: request.route.clone(),
            part,
            shape,
            values: session.values.clone(),
            position,
            has_doubt: session.has_doubt,
            tenant,
        };
        if let Some(previous) = previous.filter(|previous| *previous != home) {
            self.send_to_home(client, &previous, HomeMessage::End);
        }
        self.actions.push(GatewayAction::SendHome {
            home,
            address,
            client,
            message: HomeMessage::Query(Box::new(query)),
        });
    }

    /// Sends a message about a client's session to a home, unless the home is no longer known.
    pub(crate) fn send_to_home(&mut self, client: ClientId, home: &str, message: HomeMessage) {
        if let Some(address) = self.homes.address(home) {
            self.actions.push(GatewayAction::SendHome {
                home: home.to_string(),
                address,
                client,
                message,
            });
        }
    }

    /// Handles a home's answer to a forwarded statement.
    pub(crate) fn handle_home_answer(
        &mut self,
        client: ClientId,
        serial: u64,
        answer: ClientAnswer,
        now: MonoTime,
    ) {
        let Some(session) = self.client_mut(client) else {
            return;
        };
        let Some(request) = &session.request else {
            return;
        };
        // The answer is dropped if the statement has been given up meanwhile.
        let home = match &request.stage {
            RequestStage::Forwarded {
                serial: known,
                home,
            } if *known == serial => home.clone(),
            _ => return,
        };
        let has_run = session.open_transaction().is_some_and(|open| open.has_run);
        let group = request.group;
        if !answer.is_unsent {
            self.quota.spend(client);
        }
        if answer.is_isolated && !has_run && self.may_try_next_home(group, &home, now) {
            self.try_next_home(client, home, now);
            return;
        }
        let Some(session) = self.client_mut(client) else {
            return;
        };
        let Some(request) = &session.request else {
            return;
        };
        let kind = request.kind;
        let mut is_committed_write = kind == RequestKind::Write;
        match &mut session.transaction {
            SessionTransaction::Open(open) => {
                open.idle_since = now;
                open.has_run |= answer.end.is_ok();
                open.has_written |= answer.end.is_ok() && kind == RequestKind::Write;
                is_committed_write = kind == RequestKind::Commit && open.has_written;
                match answer.state {
                    SessionState::Transaction => {}
                    SessionState::Failed => {
                        session.transaction = SessionTransaction::Failed { is_reported: true };
                    }
                    SessionState::Idle => session.transaction = SessionTransaction::None,
                }
            }
            _ => debug_assert!(answer.state == SessionState::Idle),
        }
        session.request = None;
        match &answer.end {
            Ok(_) if is_committed_write => {
                session.record_position(group, answer.position);
                session.has_doubt = false;
            }
            Err(error) if error.code == ClientCode::InDoubt => session.has_doubt = true,
            _ => {}
        }
        if matches!(&answer.end, Err(error) if error.code == ClientCode::Unauthorized) {
            // The home has a newer catalog, which lacks the key.
            self.reject_unauthorized(client, now);
            return;
        }
        self.send_answer(client, answer.end, answer.position, answer.rows);
        self.process_queries(client, now);
    }

    /// Returns whether another home of a group may be tried. If several homes are cut off from the
    /// group, the cause is not in them, and each further home would open connections to the group's
    /// targets in vain.
    fn may_try_next_home(&self, group: GroupIndex, home: &str, now: MonoTime) -> bool {
        let other_isolated = self.groups[group.0].isolated_homes.iter();
        let other_isolated = other_isolated.filter(|(known, until)| known != home && now < *until);
        other_isolated.count() < MAX_ISOLATED_HOMES
    }

    /// Routes a statement again that its home could not run because the home is cut off from the
    /// group: another instance of the data centre may reach the group.
    fn try_next_home(&mut self, client: ClientId, home: String, now: MonoTime) {
        let Some(request) = self.client_mut(client).and_then(|s| s.request.as_mut()) else {
            return;
        };
        request.failures += 1;
        let group = request.group;
        let isolated = &mut self.groups[group.0].isolated_homes;
        isolated.retain(|(known, until)| *known != home && now < *until);
        isolated.push((home, now + ISOLATED_EXCLUSION_TIME));
        self.choose_home(group, now);
        self.requeue(client, now);
    }

    /// Handles a home that can no longer be reached, or that is leaving.
    ///
    /// Statements that were sent over a link that had not been opened have not run and are routed
    /// again.
    pub(crate) fn fail_home(&mut self, home: &str, was_open: bool, now: MonoTime) {
        let retry_after = if was_open {
            LOST_RETRY_TIME
        } else {
            UNOPENED_RETRY_TIME
        };
        if self.homes.exclude(home, retry_after, now) {
            info!("home_lost instance={home} was_open={was_open}");
            self.choose_homes(now, true);
        }
        let affected_clients = self
            .clients
            .iter()
            .filter(|session| {
                let stage = session.request.as_ref().map(|request| &request.stage);
                let is_waiting = matches!(
                    stage,
                    Some(RequestStage::Forwarded { home: at, .. }) if at == home
                );
                let open = session.open_transaction();
                is_waiting || open.is_some_and(|open| open.home.as_deref() == Some(home))
            })
            .map(|session| session.id)
            .collect::<Vec<_>>();
        for client in affected_clients {
            let has_run = self
                .client(client)
                .and_then(ClientSession::open_transaction)
                .is_some_and(|open| open.has_run);
            if was_open || has_run {
                self.end_unanswered_request(client, false, now);
            } else {
                self.requeue(client, now);
            }
        }
    }

    /// Handles a home that is leaving: new statements and transactions go elsewhere, those in
    /// progress end at the leaving home.
    pub(crate) fn handle_home_leaving(&mut self, home: &str, now: MonoTime) {
        info!("home_leaving instance={home}");
        self.homes.exclude(home, LOST_RETRY_TIME, now);
        self.choose_homes(now, true);
    }

    /// Handles an answer of a home that was asked whether it can be reached.
    pub(crate) fn handle_home_reached(&mut self, home: &str, now: MonoTime) {
        if self.homes.readmit(home) {
            info!("home_regained instance={home}");
            self.choose_homes(now, true);
        }
    }

    /// Asks homes that were lost whether they answer again.
    pub(crate) fn probe_lost_homes(&mut self, now: MonoTime) {
        for (home, address) in self.homes.due_retries(now) {
            self.actions
                .push(GatewayAction::ProbeHome { home, address });
        }
    }

    /// Handles a statement that another instance forwarded.
    pub(crate) fn handle_forwarded_query(
        &mut self,
        client: ClientId,
        forwarded: ForwardedQuery,
        now: MonoTime,
    ) {
        self.add_client(client, now);
        let group = self.group_index(&forwarded.route.group, now);
        let resolved = match &forwarded.tenant {
            Some(sent) => self.resolve_forwarded(sent),
            None => Ok(None),
        };
        let Some(session) = self.client_mut(client) else {
            return;
        };
        session.is_forwarded = true;
        session.key = forwarded.tenant.as_ref().map(|tenant| tenant.key);
        session.database = Some(forwarded.route.database.clone());
        session.values = forwarded.values;
        session.record_position(group, forwarded.position);
        session.has_doubt = forwarded.has_doubt;
        if let (Some(shape), crate::statement::Statement::Execute { name, .. }) =
            (forwarded.shape, &forwarded.query.statement)
        {
            session.prepare(name.clone(), shape);
        }
        let is_later = forwarded.part == TransactionPart::Later;
        match resolved {
            Ok(tenant) => {
                let version = forwarded.tenant.as_ref().map(|sent| sent.catalog_version);
                let is_moved = is_later && session.tenant != tenant;
                session.record_tenant(tenant, version.unwrap_or(0));
                if is_moved {
                    // Statements of the key's new tenant must not run on the connection.
                    let statement = &forwarded.query.statement;
                    self.abort_at_arrival(client, statement, Duration::ZERO, now);
                    return;
                }
            }
            Err(Unauthorized) => {
                self.reject_unauthorized(client, now);
                return;
            }
        }
        if !is_later {
            // The other instance may have ended a failed transaction without a message.
            self.end_transaction(client, now);
        }
        let Some(session) = self.client_mut(client) else {
            return;
        };
        if let TransactionPart::First { is_read_only } = forwarded.part {
            let route = forwarded.route.clone();
            let open = OpenTransaction::new(is_read_only, route, group, now);
            session.transaction = SessionTransaction::Open(open);
        }
        session.forwarded_route = Some(forwarded.route);
        self.handle_query(client, forwarded.query, now);
    }
}
