//! What this instance knows of one database group, and how it keeps that up to date.
//!
//! A runner asks each target for its status, feeds the answers to the decision logic (freshness,
//! suspicion, confirmation of writes) and wakes those that wait for a change. Calls that read or write
//! add their own observations, so that a busy group needs few status calls.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

use heatherhollow_control::GroupSettings;
use heatherhollow_failover::Confirmation;
use heatherhollow_failover::FailureKind;
use heatherhollow_failover::PendingWrite;
use heatherhollow_failover::Suspicion;
use heatherhollow_ports::ClockPort;
use heatherhollow_ports::TargetPort;
use heatherhollow_ports::TargetStatus;
use heatherhollow_types::AckMode;
use heatherhollow_types::CandidateId;
use heatherhollow_types::DataCentre;
use heatherhollow_types::GroupName;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::InstanceName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TargetName;
use heatherhollow_types::TermNumber;

use crate::group_state::GroupState;
use crate::group_state::KnownPrimary;
use crate::group_state::ToldSuspicion;
use crate::group_state::UNCONFIRMABLE_SILENCE;
use crate::group_state::failure_kind;
use crate::group_state::report_of;
use crate::load::TargetLoad;
use crate::metrics::ProxyMetrics;
use crate::timing::GroupTiming;

/// Silence of its primary after which a replica is told again whom to follow.
const ASTRAY_AFTER: Duration = Duration::from_secs(1);

/// News of a group for the other observers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GroupNews {
    /// The sender suspects the primary of this term.
    Suspected(TermNumber),
    /// The target was made primary of this term.
    Promoted(TermNumber, TargetName),
}

/// What a runner needs of the instance that it is part of.
pub trait GroupHost: Send + Sync {
    /// Rank of this instance among the observers of a group.
    fn observer_rank(&self, group: &GroupName, centres: &[DataCentre]) -> Option<usize>;

    /// Tells the other observers.
    fn tell_observers(&self, group: &GroupName, centres: &[DataCentre], news: GroupNews);

    /// Promotion runs of this instance that are going on.
    fn active_runs(&self) -> usize;

    /// Counts a run that has started.
    fn run_started(&self);

    /// Counts a run that has ended.
    fn run_ended(&self);

    /// A random number, for jitter.
    fn random(&self) -> u64;

    /// Refuses what waits for a connection to a target.
    fn target_lost(&self, group: &GroupName, target: TargetIndex);
}

/// Observes one group.
pub struct GroupRunner {
    name: GroupName,
    settings: Arc<GroupSettings>,
    own: CandidateId,
    own_centre: DataCentre,
    ports: Vec<Arc<dyn TargetPort>>,
    is_near: Vec<bool>,
    loads: Vec<TargetLoad>,
    clock: Arc<dyn ClockPort>,
    timing: GroupTiming,
    metrics: Arc<ProxyMetrics>,
    host: Arc<dyn GroupHost>,
    /// Taken before any lane's lock, never after it.
    state: Mutex<GroupState>,
    changed: watch::Sender<u64>,
    kicks: Vec<Notify>,
    waiting: AtomicUsize,
    tasks: Mutex<Vec<tokio::task::AbortHandle>>,
}

/// Parts from which a [`GroupRunner`] is made.
pub struct GroupParts {
    /// The group, as declared.
    pub settings: Arc<GroupSettings>,
    /// This instance in its present run.
    pub own: CandidateId,
    /// Its data centre.
    pub own_centre: DataCentre,
    /// Access to each target.
    pub ports: Vec<Arc<dyn TargetPort>>,
    /// Whether each target is in the instance's region.
    pub is_near: Vec<bool>,
    /// The clock.
    pub clock: Arc<dyn ClockPort>,
    /// Timing.
    pub timing: GroupTiming,
    /// Counters.
    pub metrics: Arc<ProxyMetrics>,
    /// The instance.
    pub host: Arc<dyn GroupHost>,
}

/// Keeps status calls frequent while something waits.
struct WaitGuard<'a>(&'a AtomicUsize);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl GroupRunner {
    /// A runner that has observed nothing; [`Self::start`] starts its tasks.
    pub fn new(parts: GroupParts) -> Arc<Self> {
        let targets = parts.settings.targets.len();
        let state = GroupState::new(&parts.settings, &parts.timing, parts.clock.now());
        Arc::new(Self {
            name: parts.settings.name.clone(),
            settings: parts.settings,
            own: parts.own,
            own_centre: parts.own_centre,
            ports: parts.ports,
            is_near: parts.is_near,
            loads: (0..targets).map(|_| TargetLoad::default()).collect(),
            clock: parts.clock,
            timing: parts.timing,
            metrics: parts.metrics,
            host: parts.host,
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
            kicks: (0..targets).map(|_| Notify::new()).collect(),
            waiting: AtomicUsize::new(0),
            tasks: Mutex::new(Vec::new()),
        })
    }

    /// Starts to observe.
    pub fn start(self: &Arc<Self>) {
        let mut tasks = self
            .tasks
            .lock()
            .expect("no holder of the task list panics");
        for i in 0..self.ports.len() {
            let runner = self.clone();
            tasks.push(tokio::spawn(async move { runner.watch_target(i).await }).abort_handle());
        }
        let runner = self.clone();
        tasks.push(tokio::spawn(async move { runner.watch_primary().await }).abort_handle());
    }

    /// Stops to observe.
    pub fn stop(&self) {
        for task in self
            .tasks
            .lock()
            .expect("no holder of the task list panics")
            .drain(..)
        {
            task.abort();
        }
    }

    /// The group's name.
    pub fn name(&self) -> &GroupName {
        &self.name
    }

    /// The group, as declared.
    pub fn settings(&self) -> &GroupSettings {
        &self.settings
    }

    /// This instance in its present run.
    pub(crate) fn own(&self) -> &CandidateId {
        &self.own
    }

    /// Data centre of this instance.
    pub(crate) fn own_centre(&self) -> &DataCentre {
        &self.own_centre
    }

    pub(crate) fn clock(&self) -> &dyn ClockPort {
        &*self.clock
    }

    pub(crate) fn timing(&self) -> &GroupTiming {
        &self.timing
    }

    pub(crate) fn metrics(&self) -> &ProxyMetrics {
        &self.metrics
    }

    pub(crate) fn host(&self) -> &dyn GroupHost {
        &*self.host
    }

    /// Access to a target.
    pub(crate) fn target_port(&self, target: TargetIndex) -> &Arc<dyn TargetPort> {
        &self.ports[target.as_usize()]
    }

    /// Calls of this instance to a target.
    pub(crate) fn load(&self, target: TargetIndex) -> &TargetLoad {
        &self.loads[target.as_usize()]
    }

    /// Whether a target is in this instance's region.
    pub(crate) fn is_target_near(&self, target: TargetIndex) -> bool {
        self.is_near[target.as_usize()]
    }

    /// The group's state.
    pub fn lock(&self) -> MutexGuard<'_, GroupState> {
        self.state
            .lock()
            .expect("no holder of the group lock panics")
    }

    /// Takes over from a new declaration which targets are leaving.
    pub fn set_leaving(&self, settings: &GroupSettings) {
        let leaving = settings
            .targets
            .iter()
            .map(|target| target.leaving)
            .collect();
        self.lock().declared_leaving = leaving;
    }

    /// Notes that a call uses the group.
    pub fn touch(&self) {
        self.lock().last_used = self.clock.now();
    }

    /// Wakes those that wait for a change.
    pub(crate) fn announce_change(&self) {
        self.changed
            .send_modify(|version| *version = version.wrapping_add(1));
    }

    /// Waits until `probe` gives a value, or until the deadline. Status calls are frequent meanwhile.
    pub async fn wait_for<T>(
        &self,
        deadline: MonoTime,
        mut probe: impl FnMut(&GroupState, MonoTime) -> Option<T>,
    ) -> Option<T> {
        let mut changes = self.changed.subscribe();
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let _guard = WaitGuard(&self.waiting);
        let started = self.clock.now();
        let mut is_far_kicked = false;
        self.kick(|i| self.is_near[i]);
        loop {
            let now = self.clock.now();
            if let Some(value) = probe(&self.lock(), now) {
                return Some(value);
            }
            if now >= deadline {
                return None;
            }
            if !is_far_kicked && now.since(started) >= self.timing.near_only_span {
                is_far_kicked = true;
                self.kick(|_| true);
            }
            // Wakes up now and then, since the mere passing of time may change what `probe` gives.
            let pause = (deadline - now).min(self.timing.tick_interval);
            let _ = timeout(pause, changes.changed()).await;
        }
    }

    fn kick(&self, chosen: impl Fn(usize) -> bool) {
        for (i, kick) in self.kicks.iter().enumerate() {
            if chosen(i) {
                kick.notify_one();
            }
        }
    }

    /// Waits until a write is confirmed or refuted.
    pub async fn confirm(&self, write: &PendingWrite, deadline: MonoTime) -> Confirmation {
        let found = self.wait_for(deadline, |state, _| state.confirmation(write));
        found.await.unwrap_or(Confirmation::Waiting)
    }

    /// Waits until a majority of the targets holds a position that a primary showed; returns whether it
    /// does.
    pub async fn confirm_position(
        &self,
        primary: KnownPrimary,
        position: GroupPosition,
        deadline: MonoTime,
    ) -> bool {
        let write = PendingWrite {
            position,
            term: primary.term,
            primary: primary.target,
            answered_at: MonoTime::ZERO,
            mode: AckMode::Replicated,
        };
        self.confirm(&write, deadline).await == Confirmation::Confirmed
    }

    /// Whether a target has answered a status call so lately that it is known to work.
    pub(crate) fn is_answering(&self, target: TargetIndex) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let seen = state.reports[target.as_usize()].as_ref();
        seen.is_some_and(|seen| now.since(seen.answered_at) <= UNCONFIRMABLE_SILENCE)
    }

    /// Waits for a primary that is not suspected.
    pub async fn wait_primary(&self, deadline: MonoTime) -> Option<KnownPrimary> {
        self.wait_for(deadline, |state, _| state.usable_primary())
            .await
    }

    /// Waits for a primary of which writes can be confirmed.
    pub async fn wait_writable(&self, deadline: MonoTime) -> Option<KnownPrimary> {
        let now = self.clock.now();
        if let Some(primary) = self.lock().writable_primary(now) {
            return Some(primary);
        }
        self.wait_for(deadline, |state, now| state.writable_primary(now))
            .await
    }

    async fn watch_target(&self, i: usize) {
        let target = TargetIndex(i as u16);
        loop {
            if self.ask_status(target, self.timing.status_timeout).await {
                self.correct_target(target).await;
            }
            let (interval, is_waiting) = self.status_interval(i);
            if is_waiting {
                self.clock.sleep(interval).await;
            } else {
                let _ = timeout(interval, self.kicks[i].notified()).await;
            }
        }
    }

    /// Tells a target that came back, or that lost its primary, whom to follow.
    async fn correct_target(&self, target: TargetIndex) {
        let (primary, is_astray) = {
            let state = self.lock();
            let Some(primary) = state.usable_primary() else {
                return;
            };
            let Some(seen) = &state.reports[target.as_usize()] else {
                return;
            };
            let report = &seen.report;
            let is_lost = report
                .primary_silent_for
                .is_some_and(|span| span > ASTRAY_AFTER);
            let is_behind = report.promised < primary.term;
            let is_other = target != primary.target && report.promised <= primary.term;
            (primary, is_other && (is_behind || is_lost))
        };
        if is_astray {
            let name = &self.settings.targets[primary.target.as_usize()].name;
            let call = self.ports[target.as_usize()].follow(primary.term, name);
            let _ = timeout(self.timing.status_timeout, call).await;
        }
    }

    fn status_interval(&self, i: usize) -> (Duration, bool) {
        let is_waiting = self.waiting.load(Ordering::Relaxed) > 0;
        if is_waiting && self.is_near[i] {
            return (self.timing.waiting_interval, true);
        }
        let idle_for = self.clock.now().since(self.lock().last_used);
        if idle_for < self.timing.idle_after {
            (self.timing.active_interval, false)
        } else {
            (self.timing.idle_interval, false)
        }
    }

    /// Asks a target for its status and takes the answer; returns whether there was one.
    pub(crate) async fn ask_status(&self, target: TargetIndex, limit: Duration) -> bool {
        let asked_at = self.clock.now();
        if self.lock().is_primary(target) {
            self.lock().monitor.probe_sent(asked_at);
        }
        let port = &self.ports[target.as_usize()];
        let reply = timeout(limit, port.status()).await;
        let now = self.clock.now();
        match reply {
            Ok(Ok(status)) => {
                self.take_status(target, asked_at, status);
                return true;
            }
            Ok(Err(error)) => self.call_failed(target, now, failure_kind(&error)),
            Err(_) => self.call_failed(target, now, FailureKind::TimedOut),
        }
        false
    }

    /// Takes a target's status.
    pub(crate) fn take_status(
        &self,
        target: TargetIndex,
        asked_at: MonoTime,
        status: TargetStatus,
    ) {
        let report = report_of(status);
        let now = self.clock.now();
        let (before, after) = {
            let mut state = self.lock();
            let before = state.primary;
            state.observe(target, asked_at, now, report);
            (before, state.primary)
        };
        if let Some(primary) = after.filter(|_| before != after) {
            self.log_primary(primary);
        }
        self.announce_change();
    }

    /// Takes the position that the answer to a call showed.
    pub fn observe_answer(
        &self,
        target: TargetIndex,
        asked_at: MonoTime,
        position: GroupPosition,
        primary_term: Option<TermNumber>,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(term) = primary_term {
            state.tracker.observe_primary(asked_at, term, position);
            state.note_primary_answer(term, asked_at);
            state.observe_leadership();
            if state.primary == Some(KnownPrimary { target, term }) {
                state.monitor.probe_answered(now);
            }
        } else {
            state.tracker.observe_replica(target, now, position);
        }
    }

    /// Records a call to a target that failed.
    pub fn call_failed(&self, target: TargetIndex, now: MonoTime, kind: FailureKind) {
        let mut state = self.lock();
        if state.is_primary(target) {
            state.monitor.probe_failed(now, kind);
        }
    }

    /// Takes news from another observer.
    pub fn take_news(&self, peer: &InstanceName, data_centre: &DataCentre, news: &GroupNews) {
        let now = self.clock.now();
        match news {
            GroupNews::Suspected(term) => {
                let mut state = self.lock();
                state.told.retain(|told| told.peer != *peer);
                state.told.push(ToldSuspicion {
                    peer: peer.clone(),
                    data_centre: data_centre.clone(),
                    term: *term,
                    at: now,
                });
            }
            GroupNews::Promoted(term, name) => {
                if let Some(target) = self.settings.target_index(name) {
                    self.set_primary(KnownPrimary {
                        target,
                        term: *term,
                    });
                }
                self.kick(|_| true);
            }
        }
        self.announce_change();
    }

    /// Takes a target for the primary of a term, unless a higher one is known.
    pub(crate) fn set_primary(&self, primary: KnownPrimary) {
        let now = self.clock.now();
        let is_new = self.lock().set_primary(primary, now);
        if is_new {
            self.log_primary(primary);
            self.announce_change();
        }
    }

    fn log_primary(&self, primary: KnownPrimary) {
        let name = &self.settings.targets[primary.target.as_usize()].name;
        log::info!(
            "primary_known group={} target={name} term={}",
            self.name,
            primary.term
        );
    }

    async fn watch_primary(self: &Arc<Self>) {
        loop {
            self.clock.sleep(self.timing.tick_interval).await;
            let now = self.clock.now();
            let (suspicion, primary, was_suspected) = {
                let mut state = self.lock();
                let was_suspected = state.suspicion.suspected_since().is_some();
                state.update_suspicion(now);
                (state.suspicion, state.primary, was_suspected)
            };
            let Some(primary) = primary else {
                self.consider_promotion(now);
                continue;
            };
            match suspicion {
                Suspicion::Healthy => {}
                Suspicion::Doubtful {
                    want_fresh_connection: false,
                } => {}
                Suspicion::Doubtful {
                    want_fresh_connection: true,
                } => {
                    self.lock().monitor.fresh_connection_started(now);
                    tokio::spawn(self.clone().try_fresh(primary.target));
                }
                Suspicion::Suspected { .. } => {
                    if !was_suspected {
                        log::warn!(
                            "primary_suspected group={} target={} term={}",
                            self.name,
                            self.settings.targets[primary.target.as_usize()].name,
                            primary.term
                        );
                        self.host.target_lost(&self.name, primary.target);
                        self.announce_change();
                    }
                    self.tell_suspicion(primary.term, now);
                }
            }
            self.consider_promotion(now);
        }
    }

    fn tell_suspicion(&self, term: TermNumber, now: MonoTime) {
        let is_due = {
            let mut state = self.lock();
            let is_due = now.since(state.last_news) >= self.timing.active_interval;
            if is_due {
                state.last_news = now;
            }
            is_due
        };
        if is_due {
            let centres = self.settings.data_centres();
            self.host
                .tell_observers(&self.name, &centres, GroupNews::Suspected(term));
        }
    }

    async fn try_fresh(self: Arc<Self>, target: TargetIndex) {
        let started_at = self.clock.now();
        let port = &self.ports[target.as_usize()];
        let reply = timeout(self.timing.fresh_timeout, port.status()).await;
        let mut state = self.lock();
        let now = self.clock.now();
        match reply {
            Ok(Ok(status)) => {
                state.monitor.fresh_connection_answered(now);
                state.observe(target, started_at, now, report_of(status));
            }
            Ok(Err(error)) => state
                .monitor
                .fresh_connection_failed(started_at, failure_kind(&error)),
            Err(_) => state
                .monitor
                .fresh_connection_failed(started_at, FailureKind::TimedOut),
        }
    }
}
