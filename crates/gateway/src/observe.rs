//! Observation of groups: who leads, how far the replicas are, and evidence of leadership.
//!
//! Every promotion first pauses all targets of the group that can be reached, except a primary that
//! has stepped down. A replica that reports the primary's term and no pause, when asked at some
//! time, proves that no promotion had been ordered by then. A read of the primary that began before
//! that time therefore saw every acknowledged commit, and one answer is evidence for all reads that
//! began before it was asked for. A target that has just been listed is not asked, since the
//! instance that ordered a promotion may not know the target yet. The report of a target that may
//! have restarted, and so lost its pause, is evidence only together with others (`restarts`).

use log::info;

use heatherhollow_failover::Suspicion;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;

use crate::catalog::TargetRole;
use crate::core::ConnectionLocation;
use crate::core::SessionGateway;
use crate::group::GroupIndex;
use crate::message::StatusReport;
use crate::message::TargetAnswer;
use crate::message::TargetCall;
use crate::message::TargetCode;
use crate::pool::CallPurpose;
use crate::pool::ConnectionId;
use crate::pool::ConnectionPhase;
use crate::pool::ControlPurpose;
use crate::pool::PendingCall;
use crate::pool::TargetPool;
use crate::restarts::is_known_everywhere;

impl SessionGateway {
    /// Handles the answer to a control call.
    pub(crate) fn handle_control_answer(
        &mut self,
        location: ConnectionLocation,
        purpose: ControlPurpose,
        sent: PendingCall,
        answer: &TargetAnswer,
        now: MonoTime,
    ) {
        let report = answer
            .rows
            .first()
            .and_then(|row| self.format.decode(row))
            .filter(|_| answer.is_success());
        match report {
            Some(report) => {
                self.handle_report(location.group, location.target, sent.sent_at, report, now);
                if purpose == ControlPurpose::Promotion {
                    let call = sent.control_call.as_ref();
                    self.handle_promotion_report(
                        location.group,
                        location.target,
                        call,
                        report,
                        now,
                    );
                }
            }
            None => {
                let is_busy = answer.error() == Some(&TargetCode::Busy);
                if let (true, ControlPurpose::Promotion, Some(call)) =
                    (is_busy, purpose, sent.control_call)
                {
                    // The time limit of the promotion's step bounds how often the call is repeated.
                    self.groups[location.group.0].queue_control(
                        location.target,
                        purpose,
                        call,
                        now,
                    );
                    return;
                }
                if !is_busy {
                    info!(
                        "status_unreadable connection={} code={:?} rows={}",
                        location.connection,
                        answer.error(),
                        answer.rows.len()
                    );
                }
                self.handle_control_failure(location.group, location.target, purpose, now);
            }
        }
    }

    /// Handles a control call that was not answered, or was answered with an error.
    pub(crate) fn handle_control_failure(
        &mut self,
        group: GroupIndex,
        target: TargetIndex,
        purpose: ControlPurpose,
        now: MonoTime,
    ) {
        let state = &mut self.groups[group.0];
        if state
            .evidence_call
            .is_some_and(|(checked, _)| checked == target)
        {
            state.evidence_call = None;
        }
        if purpose == ControlPurpose::Promotion {
            self.handle_promotion_failure(group, target, now);
        }
    }

    /// Records a target's status report and what follows from it for the group.
    fn handle_report(
        &mut self,
        group: GroupIndex,
        target: TargetIndex,
        sent_at: MonoTime,
        report: StatusReport,
        now: MonoTime,
    ) {
        let monitor = self.settings.monitor.clone();
        let state = &mut self.groups[group.0];
        state.observe_term(report.term, Some(target), now);
        let is_current = report.term == state.term;
        match report.role {
            TargetRole::Primary if is_current => {
                if state.set_primary(target, report.term, &monitor, now) {
                    info!(
                        "primary_known group={} target={} term={}",
                        state.name,
                        target_name(state.pool(target)),
                        report.term
                    );
                }
                let term = report.term;
                let position = report.received;
                state.tracker.observe_primary(sent_at, term, position);
                state.term_start.get_or_insert(position);
                state.primary_polled_at = state.primary_polled_at.max(sent_at);
                if state.is_alone(now) {
                    state.evidence_call = None;
                    state.record_leadership(sent_at);
                }
            }
            TargetRole::Primary => self.demote_primary(group, target, now),
            TargetRole::Replica => {
                if state.primary == Some(target) {
                    info!(
                        "primary_demoted group={} target={}",
                        state.name,
                        target_name(state.pool(target))
                    );
                    state.clear_primary(now);
                }
            }
        }
        let state = &mut self.groups[group.0];
        if let Some(pool) = state.pool_mut(target) {
            pool.must_confirm_role = false;
            pool.report = Some((sent_at, report));
            pool.first_position.get_or_insert(report.received);
            match report.paused_for {
                Some(_) => {
                    pool.paused_since.get_or_insert(now);
                }
                None => pool.paused_since = None,
            }
        }
        self.observe_leadership(group, target, sent_at, now);
        self.update_removed(group, now);
        self.groups[group.0].observe_quorum(now);
        self.groups[group.0].compare_log_ends(now);
        self.release_held_answers(group, now);
    }

    /// Records evidence of leadership that a target's report has completed.
    fn observe_leadership(
        &mut self,
        group: GroupIndex,
        target: TargetIndex,
        sent_at: MonoTime,
        now: MonoTime,
    ) {
        let state = &mut self.groups[group.0];
        if let Some(shown_at) = state.shown_leadership()
            && state.leadership_proved_at < Some(shown_at)
        {
            state.record_leadership(shown_at);
        }
        // A report without evidence leaves the evidence call pending, so that the next evidence
        // call is delayed and goes to another replica.
        let is_evidence = state.leadership_proved_at >= Some(sent_at);
        let is_checked = state.evidence_call.map(|(checked, _)| checked) == Some(target);
        if is_checked && is_evidence {
            state.evidence_call = None;
        }
        for witness in state.unasked_witnesses(target) {
            state.queue_control(witness, ControlPurpose::Observe, TargetCall::Status, now);
        }
    }

    /// Asks a primary of an old term to step down.
    fn demote_primary(&mut self, group: GroupIndex, target: TargetIndex, now: MonoTime) {
        let interval = self.settings.observe_interval;
        let state = &mut self.groups[group.0];
        let term = state.term;
        let Some(pool) = state.pool_mut(target) else {
            return;
        };
        let is_asked = pool
            .step_down_sent
            .is_some_and(|(at, asked_term)| asked_term == term && now.since(at) < interval);
        if is_asked {
            return;
        }
        pool.step_down_sent = Some((now, term));
        info!(
            "old_primary_demoted target={} term={term}",
            pool.entry.target
        );
        state.queue_control(
            target,
            ControlPurpose::Observe,
            TargetCall::StepDown(term),
            now,
        );
    }

    /// Asks a replica for evidence of leadership, if evidence is wanted and no evidence call is
    /// pending.
    pub(crate) fn send_evidence_call(&mut self, group: GroupIndex, now: MonoTime) {
        let timeout = self.settings.status_timeout / 2;
        let state = &mut self.groups[group.0];
        let Some(wanted) = state.evidence_wanted_for else {
            return;
        };
        if state
            .leadership_proved_at
            .is_some_and(|proved_at| proved_at >= wanted)
        {
            state.evidence_wanted_for = None;
            state.evidence_missing_since = None;
            return;
        }
        let primary = state.primary;
        let is_alone = state.is_alone(now);
        let witnesses = state
            .targets()
            .filter(|(i, pool)| {
                (is_alone || Some(*i) != primary)
                    && !pool.is_unreachable()
                    && pool.paused_since.is_none()
            })
            .collect::<Vec<_>>();
        // Having only targets that were just listed is no sign of being cut off from the group.
        let is_new = |(_, pool): &(TargetIndex, &TargetPool)| !is_known_everywhere(pool, now);
        let waits_for_new = !witnesses.is_empty() && witnesses.iter().all(is_new);
        let last_asked = state.evidence_call.map(|(target, _)| target);
        let witness = witnesses
            .into_iter()
            .filter(|witness| !is_new(witness))
            .min_by_key(|(i, pool)| {
                (
                    Some(*i) == last_asked,
                    !state.has_kept_pauses(*i, now),
                    now < pool.backoff_until,
                    pool.any_idle_connection().is_none(),
                    self.identity.is_remote(&pool.entry.data_centre),
                    pool.control_requests.len(),
                )
            })
            .map(|(i, _)| i);
        // Without evidence, statements are refused at once, and none opens connections to replicas
        // that were out of reach. So one of them is asked once it may be reached again.
        let unreachable = || {
            let may_be_reached = state.targets().filter(|(i, pool)| {
                let is_witness = is_alone || Some(*i) != primary;
                let may_open = now >= pool.open_backoff_until;
                is_witness && pool.is_unreachable() && pool.paused_since.is_none() && may_open
            });
            may_be_reached
                .min_by_key(|(i, pool)| (Some(*i) == last_asked, pool.open_failures))
                .map(|(i, _)| i)
        };
        let witness = witness.or_else(unreachable);
        if !waits_for_new {
            state.evidence_missing_since.get_or_insert(now);
        }
        let is_under_way = state
            .evidence_call
            .is_some_and(|(_, asked_at)| now.since(asked_at) < timeout);
        if primary.is_none() || is_under_way {
            return;
        }
        if let Some(target) = witness {
            state.evidence_call = Some((target, now));
            state.queue_control(target, ControlPurpose::Observe, TargetCall::Status, now);
            self.send_control_calls(group, now);
        }
    }

    /// Does the periodic work of a group that this instance observes.
    pub(crate) fn observe_group(&mut self, group: GroupIndex, now: MonoTime) {
        self.remove_missing_targets(group, now);
        self.update_removed(group, now);
        self.groups[group.0].log_member_count(now);
        self.expire_control_calls(group, now);
        self.close_surplus_connections(group, now);
        self.query_replication(group, now);
        let interval = self.settings.observe_interval;
        let state = &mut self.groups[group.0];
        let paused = state
            .targets()
            .filter(|(_, pool)| {
                let is_old = |(at, _): (MonoTime, StatusReport)| now.since(at) >= interval;
                pool.paused_since.is_some() && pool.report.is_none_or(is_old)
            })
            .map(|(i, _)| i)
            .collect::<Vec<_>>();
        for target in paused {
            state.queue_control(target, ControlPurpose::Observe, TargetCall::Status, now);
        }
        // The longer the group is unused, the rarer are the samples; a statement that comes after a
        // pause requests what it needs.
        let max_interval = if state.has_changing_members() {
            interval
        } else {
            self.settings.idle_observe_interval
        };
        let sample_interval = (now.since(state.last_used_at) / 2).clamp(interval, max_interval);
        let Some(primary) = state.primary else {
            self.poll_for_primary(group, now);
            return;
        };
        if state.primary_ahead_since.is_some() {
            self.poll_replicas(group, now);
        }
        let state = &mut self.groups[group.0];
        let report_age = state
            .pool(primary)
            .and_then(|pool| pool.report)
            .map(|(at, _)| now.since(at));
        let is_sample_due = now.since(state.primary_polled_at) >= sample_interval;
        let must_confirm_role = state
            .pool(primary)
            .is_some_and(|pool| pool.must_confirm_role);
        if is_sample_due
            || must_confirm_role
            || report_age.is_none_or(|age| age >= sample_interval * 4)
        {
            state.queue_control(primary, ControlPurpose::Observe, TargetCall::Status, now);
        }
        if state
            .leadership_proved_at
            .is_none_or(|proved_at| now.since(proved_at) >= sample_interval)
        {
            state.request_evidence(now);
        }
        state.suspicion = state.monitor.tick(now);
        self.observe_shortage(group, now);
        let state = &mut self.groups[group.0];
        let suspicion = state.suspicion;
        if let Suspicion::Doubtful {
            want_fresh_connection: true,
        } = suspicion
        {
            state.monitor.fresh_connection_started(now);
            self.open_connection(group, primary, None, true, now);
        }
    }

    /// Asks the replicas for their status, to learn whether they have received what the primary
    /// has.
    fn poll_replicas(&mut self, group: GroupIndex, now: MonoTime) {
        let interval = self.settings.probe_interval;
        let state = &mut self.groups[group.0];
        let primary = state.primary;
        let due_targets = state
            .targets()
            .filter(|(i, pool)| {
                let is_old = pool.report.is_none_or(|(at, _)| now.since(at) >= interval);
                Some(*i) != primary && is_old
            })
            .map(|(i, _)| i)
            .collect::<Vec<_>>();
        for target in due_targets {
            state.queue_control(target, ControlPurpose::Observe, TargetCall::Status, now);
        }
    }

    /// Asks all targets for their status, to find the primary.
    fn poll_for_primary(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &mut self.groups[group.0];
        let due_targets = state
            .targets()
            .filter(|(_, pool)| {
                pool.report
                    .is_none_or(|(at, _)| now.since(at) >= PRIMARY_SEARCH_INTERVAL)
            })
            .map(|(i, _)| i)
            .collect::<Vec<_>>();
        for target in due_targets {
            state.queue_control(target, ControlPurpose::Observe, TargetCall::Status, now);
        }
    }

    /// Fails control calls that were not sent or answered in time. A connection with an unanswered
    /// control call or rollback is closed, as it may be silent, and so is one that does not open in
    /// time.
    fn expire_control_calls(&mut self, group: GroupIndex, now: MonoTime) {
        let timeout = self.settings.status_timeout;
        let connect_timeout = self.settings.connect_timeout;
        let mut silent: Vec<ConnectionId> = Vec::new();
        let mut unsent = Vec::new();
        let state = &mut self.groups[group.0];
        for (i, pool) in state.pools.iter_mut().enumerate() {
            let Some(pool) = pool else { continue };
            for connection in &pool.connections {
                let is_starting = connection.phase != ConnectionPhase::Ready;
                let front = connection.calls.front();
                let is_timed_out = front.is_some_and(|call| {
                    let is_control = matches!(
                        call.purpose,
                        CallPurpose::Control(_) | CallPurpose::Rollback
                    );
                    is_control && now.since(call.sent_at) >= timeout
                });
                let is_stuck = is_starting && now.since(connection.created_at) >= connect_timeout;
                if is_timed_out || is_stuck {
                    silent.push(connection.id);
                }
            }
            pool.control_requests.retain(|request| {
                let is_timed_out = now.since(request.queued_at) >= timeout;
                if is_timed_out {
                    unsent.push((crate::group::to_target_index(i), request.purpose));
                }
                !is_timed_out
            });
        }
        for id in silent {
            self.actions
                .push(crate::action::GatewayAction::CloseTarget(id));
            self.handle_connection_loss(id, crate::action::ConnectError::TimedOut, now);
        }
        for (target, purpose) in unsent {
            self.handle_control_failure(group, target, purpose, now);
        }
    }

    /// Does the periodic work of a group that is used only through its remote home: closes its
    /// unused connections here.
    pub(crate) fn maintain_unobserved_group(&mut self, group: GroupIndex, now: MonoTime) {
        self.remove_missing_targets(group, now);
        self.update_removed(group, now);
        self.expire_control_calls(group, now);
        // Nothing is known of the group while its targets are not asked; that time must not count
        // as isolation later.
        let state = &mut self.groups[group.0];
        state.clear_primary(now);
        state.leaderless_since = Some(now);
        state.evidence_missing_since = None;
        let idle = self.settings.surplus_idle_limit;
        let unused = self.groups[group.0]
            .targets()
            .filter_map(|(_, pool)| pool.idle_surplus(0, idle, now))
            .collect::<Vec<_>>();
        for id in unused {
            self.close_connection(id);
        }
    }

    /// Closes connections above the share that have not been used for a while, at most one for each
    /// target.
    fn close_surplus_connections(&mut self, group: GroupIndex, now: MonoTime) {
        let idle = self.settings.surplus_idle_limit;
        let share =
            self.groups[group.0].connection_share(self.connection_holders(&self.groups[group.0]));
        let idle_surplus = self.groups[group.0]
            .targets()
            .filter_map(|(_, pool)| pool.idle_surplus(share, idle, now))
            .collect::<Vec<_>>();
        for id in idle_surplus {
            self.close_connection(id);
        }
    }
}

/// Interval between status calls to a target while no primary is known.
const PRIMARY_SEARCH_INTERVAL: std::time::Duration = std::time::Duration::from_millis(60);

/// Returns the name of a target for log lines, or `unknown` if it is gone.
fn target_name(pool: Option<&TargetPool>) -> &str {
    pool.map_or("unknown", |pool| pool.entry.target.as_str())
}
