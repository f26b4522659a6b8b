//! Observation of groups: who leads, how far replicas are, and evidence of leadership.
//!
//! Every promotion first pauses all targets of the group that can be reached, except a primary that has
//! stepped down. A replica that reports the primary's term and no pause, when asked at some time, shows
//! that no promotion had been ordered by then; so a read of the primary that began before that time saw
//! every acknowledged commit. One answer serves all reads that began before it was asked for. A target that
//! has just been listed is not asked: the instance that ordered a promotion may not know it yet.

use log::info;

use heatherhollow_failover::Suspicion;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;

use crate::catalog::TargetRole;
use crate::core::ConnectionLocation;
use crate::core::SessionGateway;
use crate::group::GroupIndex;
use crate::group::is_established;
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

impl SessionGateway {
    /// Takes the answer to a control call.
    pub(crate) fn take_control_answer(
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
                self.take_report(location.group, location.target, sent.sent_at, report, now);
                if purpose == ControlPurpose::Promotion {
                    let call = sent.control.as_ref();
                    self.promotion_report(location.group, location.target, call, report, now);
                }
            }
            None => {
                let is_busy = answer.error() == Some(&TargetCode::Busy);
                if let (true, ControlPurpose::Promotion, Some(call)) =
                    (is_busy, purpose, sent.control)
                {
                    // The step of the promotion ends by its time limit.
                    self.groups[location.group.0].control(location.target, purpose, call, now);
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
                self.fail_control(location.group, location.target, purpose, now);
            }
        }
    }

    /// A control call was not answered, or with an error.
    pub(crate) fn fail_control(
        &mut self,
        group: GroupIndex,
        target: TargetIndex,
        purpose: ControlPurpose,
        now: MonoTime,
    ) {
        let state = &mut self.groups[group.0];
        if state.check.is_some_and(|(checked, _)| checked == target) {
            state.check = None;
        }
        if purpose == ControlPurpose::Promotion {
            self.promotion_failure(group, target, now);
        }
    }

    /// Records what a target reports of itself.
    fn take_report(
        &mut self,
        group: GroupIndex,
        target: TargetIndex,
        sent_at: MonoTime,
        report: StatusReport,
        now: MonoTime,
    ) {
        let monitor = self.settings.monitor.clone();
        let state = &mut self.groups[group.0];
        state.learn_term(report.term, Some(target), now);
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
                state.term_base.get_or_insert(position);
                state.sampled_at = state.sampled_at.max(sent_at);
                if state.targets().count() == 1 {
                    state.check = None;
                    state.observe_lead(sent_at);
                }
            }
            TargetRole::Primary => self.demote(group, target, now),
            TargetRole::Replica => {
                if state.primary == Some(target) {
                    info!(
                        "primary_demoted group={} target={}",
                        state.name,
                        target_name(state.pool(target))
                    );
                    state.clear_primary(now);
                }
                let is_witness = state
                    .pool(target)
                    .is_some_and(|pool| is_established(pool, now));
                let is_unpaused = report.paused_for.is_none();
                if is_current && is_unpaused && is_witness && state.primary.is_some() {
                    state.observe_lead(sent_at);
                    // A report without evidence leaves the check under way, so that the next one waits
                    // and goes to another replica.
                    if state.check.is_some_and(|(checked, _)| checked == target) {
                        state.check = None;
                    }
                }
            }
        }
        let state = &mut self.groups[group.0];
        if let Some(pool) = state.pool_mut(target) {
            pool.must_confirm_role = false;
            pool.report = Some((sent_at, report));
            match report.paused_for {
                Some(_) => {
                    pool.paused_since.get_or_insert(now);
                }
                None => pool.paused_since = None,
            }
        }
        self.groups[group.0].observe_quorum(now);
        self.groups[group.0].compare_logs(now);
        self.release_held(group, now);
    }

    /// Tells a primary of an old term to step down.
    fn demote(&mut self, group: GroupIndex, target: TargetIndex, now: MonoTime) {
        let interval = self.settings.observe_interval;
        let state = &mut self.groups[group.0];
        let term = state.term;
        let Some(pool) = state.pool_mut(target) else {
            return;
        };
        let is_asked = pool
            .step_down_sent
            .is_some_and(|(at, asked)| asked == term && now.since(at) < interval);
        if is_asked {
            return;
        }
        pool.step_down_sent = Some((now, term));
        info!(
            "old_primary_demoted target={} term={term}",
            pool.entry.target
        );
        state.control(
            target,
            ControlPurpose::Observe,
            TargetCall::StepDown(term),
            now,
        );
    }

    /// Asks a replica for evidence of leadership if some is wanted and none is under way.
    pub(crate) fn want_evidence(&mut self, group: GroupIndex, now: MonoTime) {
        let timeout = self.settings.status_timeout / 2;
        let state = &mut self.groups[group.0];
        let Some(wanted) = state.check_wanted else {
            return;
        };
        if state.led_at.is_some_and(|led_at| led_at >= wanted) {
            state.check_wanted = None;
            state.unproved_since = None;
            return;
        }
        let primary = state.primary;
        let is_alone = state.targets().count() == 1;
        let witnesses = state
            .targets()
            .filter(|(i, pool)| {
                (is_alone || Some(*i) != primary)
                    && !pool.is_unreachable()
                    && pool.paused_since.is_none()
            })
            .collect::<Vec<_>>();
        // The wait for targets that have just been listed is no sign of being cut off from the group.
        let is_new = |(_, pool): &(TargetIndex, &TargetPool)| !is_established(pool, now);
        let waits_for_new = !witnesses.is_empty() && witnesses.iter().all(is_new);
        let asked = state.check.map(|(target, _)| target);
        let best = witnesses
            .into_iter()
            .filter(|witness| !is_new(witness))
            .min_by_key(|(i, pool)| {
                (
                    Some(*i) == asked,
                    now < pool.backoff_until,
                    pool.any_idle_connection().is_none(),
                    self.identity.is_remote(&pool.entry.data_centre),
                    pool.control.len(),
                )
            })
            .map(|(i, _)| i);
        if !waits_for_new {
            state.unproved_since.get_or_insert(now);
        }
        let is_under_way = state
            .check
            .is_some_and(|(_, asked_at)| now.since(asked_at) < timeout);
        if primary.is_none() || is_under_way {
            return;
        }
        if let Some(target) = best {
            state.check = Some((target, now));
            state.control(target, ControlPurpose::Observe, TargetCall::Status, now);
            self.send_control(group, now);
        }
    }

    /// Periodic work of a group.
    pub(crate) fn observe_group(&mut self, group: GroupIndex, now: MonoTime) {
        self.remove_missing_targets(group, now);
        self.fail_silent(group, now);
        self.close_surplus(group, now);
        self.ask_for_copies(group, now);
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
            state.control(target, ControlPurpose::Observe, TargetCall::Status, now);
        }
        // What a statement needs after a pause in the use is asked for when it comes.
        let longest = self.settings.idle_observe_interval;
        let pause = (now.since(state.used_at) / 2).clamp(interval, longest);
        let Some(primary) = state.primary else {
            self.find_primary(group, now);
            return;
        };
        if state.ahead_since.is_some() {
            self.confirm_ahead(group, now);
        }
        let state = &mut self.groups[group.0];
        let report_age = state
            .pool(primary)
            .and_then(|pool| pool.report)
            .map(|(at, _)| now.since(at));
        let needs_sample = now.since(state.sampled_at) >= pause;
        let must_confirm_role = state
            .pool(primary)
            .is_some_and(|pool| pool.must_confirm_role);
        if needs_sample || must_confirm_role || report_age.is_none_or(|age| age >= pause * 4) {
            state.control(primary, ControlPurpose::Observe, TargetCall::Status, now);
        }
        if state.led_at.is_none_or(|led_at| now.since(led_at) >= pause) {
            state.want_check(now);
        }
        state.suspicion = state.monitor.tick(now);
        let suspicion = state.suspicion;
        if let Suspicion::Doubtful {
            want_fresh_connection: true,
        } = suspicion
        {
            state.monitor.fresh_started(now);
            self.open_connection(group, primary, true, now);
        }
    }

    /// Asks the replicas again whether they have received what the primary has.
    fn confirm_ahead(&mut self, group: GroupIndex, now: MonoTime) {
        let interval = self.settings.probe_interval;
        let state = &mut self.groups[group.0];
        let primary = state.primary;
        let due = state
            .targets()
            .filter(|(i, pool)| {
                let is_old = pool.report.is_none_or(|(at, _)| now.since(at) >= interval);
                Some(*i) != primary && is_old
            })
            .map(|(i, _)| i)
            .collect::<Vec<_>>();
        for target in due {
            state.control(target, ControlPurpose::Observe, TargetCall::Status, now);
        }
    }

    /// Asks all targets for their status until one is known to lead.
    fn find_primary(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &mut self.groups[group.0];
        let due = state
            .targets()
            .filter(|(_, pool)| {
                pool.report
                    .is_none_or(|(at, _)| now.since(at) >= PROBE_INTERVAL)
            })
            .map(|(i, _)| i)
            .collect::<Vec<_>>();
        for target in due {
            state.control(target, ControlPurpose::Observe, TargetCall::Status, now);
        }
    }

    /// Gives up control calls that are not answered in time; their connections may be silent.
    fn fail_silent(&mut self, group: GroupIndex, now: MonoTime) {
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
                let is_late = front.is_some_and(|call| {
                    let is_control = matches!(
                        call.purpose,
                        CallPurpose::Control(_) | CallPurpose::Rollback
                    );
                    is_control && now.since(call.sent_at) >= timeout
                });
                let is_stuck = is_starting && now.since(connection.created_at) >= connect_timeout;
                if is_late || is_stuck {
                    silent.push(connection.id);
                }
            }
            pool.control.retain(|job| {
                let is_late = now.since(job.queued_at) >= timeout;
                if is_late {
                    unsent.push((crate::group::index_of(i), job.purpose));
                }
                !is_late
            });
        }
        for id in silent {
            self.actions
                .push(crate::action::GatewayAction::CloseTarget(id));
            self.handle_connection_loss(id, crate::action::ConnectError::TimedOut, now);
        }
        for (target, purpose) in unsent {
            self.fail_control(group, target, purpose, now);
        }
    }

    /// Periodic work of a group that is used through its home: its connections here are closed.
    pub(crate) fn rest_group(&mut self, group: GroupIndex, now: MonoTime) {
        self.remove_missing_targets(group, now);
        self.fail_silent(group, now);
        // Nothing is known of the group while it is not asked; that does not count as isolation later.
        let state = &mut self.groups[group.0];
        state.clear_primary(now);
        state.leaderless_since = Some(now);
        state.unproved_since = None;
        let idle = self.settings.surplus_idle_limit;
        let unused = self.groups[group.0]
            .targets()
            .filter_map(|(_, pool)| pool.idle_surplus(0, idle, now))
            .collect::<Vec<_>>();
        for id in unused {
            self.close_connection(id);
        }
    }

    /// Closes a connection beyond the share that has not been used for a while.
    fn close_surplus(&mut self, group: GroupIndex, now: MonoTime) {
        let idle = self.settings.surplus_idle_limit;
        let share = self.groups[group.0].share(self.holders(&self.groups[group.0]));
        let idle_surplus = self.groups[group.0]
            .targets()
            .filter_map(|(_, pool)| pool.idle_surplus(share, idle, now))
            .collect::<Vec<_>>();
        for id in idle_surplus {
            self.close_connection(id);
        }
    }
}

/// Time between two questions to a target while no primary is known.
const PROBE_INTERVAL: std::time::Duration = std::time::Duration::from_millis(60);

fn target_name(pool: Option<&TargetPool>) -> &str {
    pool.map_or("unknown", |pool| pool.entry.target.as_str())
}
