//! What this instance knows about one database group: its targets, who leads it, how fresh their
//! logs are, and the requests that wait for it.

use std::time::Duration;

use log::info;

use heatherhollow_failover::MonitorSettings;
use heatherhollow_failover::PrimaryMonitor;
use heatherhollow_failover::Suspicion;
use heatherhollow_routing::FreshnessTracker;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

use crate::catalog::GroupRule;
use crate::catalog::TargetEntry;
use crate::fair_order::RecentStarts;
use crate::members::RemovedTarget;
use crate::members::StoredSize;
use crate::message::ClientId;
use crate::message::TargetCall;
use crate::pool::ControlPurpose;
use crate::pool::ControlRequest;
use crate::pool::TargetPool;
use crate::promotion::PromotionRun;

/// Index of a group in the gateway. It stays valid, as groups are never removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupIndex(pub usize);

/// State of a database group, as this instance sees it.
#[derive(Debug)]
pub(crate) struct GroupState {
    pub name: String,
    pub rule: Option<GroupRule>,
    /// Connection pools by target index. An index is reused once its target is gone and has no
    /// connections.
    pub pools: Vec<Option<TargetPool>>,
    pub tracker: FreshnessTracker,
    /// Highest term seen from any target or session.
    pub term: TermNumber,
    /// First position that the primary of `term` reported; all commits of earlier terms that were
    /// acknowledged are at or before it.
    pub term_start: Option<GroupPosition>,
    /// Target that leads `term`; `None` if none is known to lead.
    pub primary: Option<TargetIndex>,
    /// Time at which `primary` became known as the primary.
    pub primary_since: MonoTime,
    /// Target that was known to lead before `last_primary`.
    pub previous_primary: Option<TargetIndex>,
    /// Last target that was known to lead; it stays set while there is no primary.
    pub last_primary: Option<TargetIndex>,
    /// Whether some target was known to lead `term`.
    pub has_known_leader: bool,
    /// Time since which no primary is known.
    pub leaderless_since: Option<MonoTime>,
    /// Time without a primary for which a position that a quorum dates was logged.
    pub quorum_logged_for: Option<MonoTime>,
    /// Time at which a position that a read asked a replica for was last logged.
    pub position_logged_at: MonoTime,
    /// Number of members that was last logged.
    pub logged_member_count: usize,
    /// Duration of the last failover: the time from losing a primary to knowing the next one.
    pub last_failover_duration: Option<Duration>,
    pub monitor: PrimaryMonitor,
    pub suspicion: Suspicion,
    /// Whether a control call may be queued for some target.
    pub has_queued_control: bool,
    /// Clients whose requests wait for a connection to one of the targets.
    pub queue: Vec<ClientId>,
    /// Clients whose statements in open transactions wait until their target takes them.
    pub delayed_clients: Vec<ClientId>,
    /// Time of the last pass that considered the queue from its head.
    pub last_full_pass_at: MonoTime,
    /// Statements of each tenant that were sent to targets recently; unused without tenants.
    pub recent_starts: RecentStarts,
    /// Number of queued statements that wait for each target, by target index, as of the last pass.
    pub queued_per_target: Vec<usize>,
    /// Clients whose answers are held until there is evidence of leadership or a replica's copy.
    pub held_clients: Vec<ClientId>,
    /// Replica that the pending evidence call was sent to, and when.
    pub evidence_call: Option<(TargetIndex, MonoTime)>,
    /// Replica that was last asked whether it has a commit whose answer is held, and when.
    pub last_replication_query: Option<(TargetIndex, MonoTime)>,
    /// Latest time for which evidence of leadership is wanted.
    pub evidence_wanted_for: Option<MonoTime>,
    /// Time since which evidence has been wanted without any arriving.
    pub evidence_missing_since: Option<MonoTime>,
    /// Position of the primary when its log was first seen ahead of all replicas, and the time of
    /// that.
    pub primary_ahead_since: Option<(GroupPosition, MonoTime)>,
    /// Time since which all replicas have been held back while statements wait.
    pub shortage_since: Option<MonoTime>,
    /// Time at which the primary was last asked for its status.
    pub primary_polled_at: MonoTime,
    /// Time at which a client of this instance last used the group.
    pub last_used_at: MonoTime,
    /// Latest time at which the known primary is proved to have led.
    pub leadership_proved_at: Option<MonoTime>,
    /// Largest number of staying targets that were listed at once.
    pub nominal_size: usize,
    /// Size of the group that the instances keep in the store, as it was read.
    pub stored_size: Option<StoredSize>,
    /// Size that differs from the stored one, and since when it has been the same.
    pub unstored_size: Option<(usize, MonoTime)>,
    /// Targets that are not listed any more, and may hold commits that the listed ones lack.
    pub removed_targets: Vec<RemovedTarget>,
    /// Instance that statements of this group are forwarded to; `None` if this instance serves
    /// them.
    pub remote_home: Option<String>,
    /// Homes that reach too few targets of the group, each with the time until which it is
    /// excluded.
    pub isolated_homes: Vec<(String, MonoTime)>,
    /// Time at which the home was last chosen.
    pub home_chosen_at: MonoTime,
    /// Time of the last periodic work while the group was used only through its remote home.
    pub unobserved_maintained_at: MonoTime,
    pub promotion: Option<PromotionRun>,
    /// Earliest time at which another promotion may be started.
    pub next_promotion_at: MonoTime,
}

impl GroupState {
    /// Creates the state of a group of which no target is known.
    pub fn new(name: String, monitor: MonitorSettings, now: MonoTime) -> Self {
        Self {
            name,
            rule: None,
            pools: Vec::new(),
            tracker: FreshnessTracker::default(),
            term: TermNumber(0),
            term_start: None,
            primary: None,
            primary_since: now,
            previous_primary: None,
            last_primary: None,
            has_known_leader: false,
            leaderless_since: Some(now),
            quorum_logged_for: None,
            position_logged_at: MonoTime::ZERO,
            logged_member_count: 0,
            last_failover_duration: None,
            monitor: PrimaryMonitor::new(monitor),
            suspicion: Suspicion::Healthy,
            has_queued_control: false,
            queue: Vec::new(),
            delayed_clients: Vec::new(),
            last_full_pass_at: MonoTime::ZERO,
            recent_starts: RecentStarts::default(),
            queued_per_target: Vec::new(),
            held_clients: Vec::new(),
            evidence_call: None,
            last_replication_query: None,
            evidence_wanted_for: None,
            evidence_missing_since: None,
            primary_ahead_since: None,
            shortage_since: None,
            primary_polled_at: MonoTime::ZERO,
            last_used_at: MonoTime::ZERO,
            leadership_proved_at: None,
            nominal_size: 0,
            stored_size: None,
            unstored_size: None,
            removed_targets: Vec::new(),
            remote_home: None,
            isolated_homes: Vec::new(),
            home_chosen_at: now,
            unobserved_maintained_at: MonoTime::ZERO,
            promotion: None,
            next_promotion_at: MonoTime::ZERO,
        }
    }

    /// Returns the pool of a target, or `None` if the index is not in use.
    pub fn pool(&self, target: TargetIndex) -> Option<&TargetPool> {
        self.pools.get(target.as_usize())?.as_ref()
    }

    /// Returns the pool of a target for changes, or `None` if the index is not in use.
    pub fn pool_mut(&mut self, target: TargetIndex) -> Option<&mut TargetPool> {
        self.pools.get_mut(target.as_usize())?.as_mut()
    }

    /// Iterates over the targets with their indices.
    pub fn targets(&self) -> impl Iterator<Item = (TargetIndex, &TargetPool)> {
        let numbered = self.pools.iter().enumerate();
        numbered.filter_map(|(i, pool)| Some((to_target_index(i), pool.as_ref()?)))
    }

    /// Returns the index of a target by its name.
    pub fn target_index(&self, target: &str) -> Option<TargetIndex> {
        self.targets()
            .find(|(_, pool)| pool.entry.target == target)
            .map(|(i, _)| i)
    }

    /// Adds a target and returns its index.
    pub fn add_target(&mut self, entry: TargetEntry) -> TargetIndex {
        let pool = TargetPool::new(entry);
        match self.pools.iter().position(Option::is_none) {
            Some(i) => {
                self.pools[i] = Some(pool);
                to_target_index(i)
            }
            None => {
                self.pools.push(Some(pool));
                to_target_index(self.pools.len() - 1)
            }
        }
    }

    /// Returns whether a commit is acknowledged only after a replica has a copy.
    pub fn is_synchronous(&self) -> bool {
        self.rule
            .as_ref()
            .is_some_and(|rule| rule.sync_replicas > 0)
    }

    /// Makes a target the known primary of a term. Returns whether that is a change.
    pub fn set_primary(
        &mut self,
        target: TargetIndex,
        term: TermNumber,
        monitor: &MonitorSettings,
        now: MonoTime,
    ) -> bool {
        if self.primary == Some(target) && self.term == term {
            return false;
        }
        if term > self.term {
            self.start_term(term);
        }
        if let Some(since) = self.leaderless_since.take()
            && self.last_primary.is_some()
        {
            self.last_failover_duration = Some(now.since(since));
        }
        if self.last_primary != Some(target) {
            self.previous_primary = self.last_primary;
        }
        self.primary = Some(target);
        self.has_known_leader = true;
        self.primary_since = now;
        self.last_primary = Some(target);
        // The zero time makes the next pass consider all requests that wait for a primary.
        self.last_full_pass_at = MonoTime::ZERO;
        self.monitor = PrimaryMonitor::new(monitor.clone());
        self.suspicion = Suspicion::Healthy;
        true
    }

    /// Forgets the primary, because it no longer leads or a higher term was seen.
    pub fn clear_primary(&mut self, now: MonoTime) {
        if self.primary.take().is_some() {
            self.leaderless_since = Some(now);
        }
        self.leaderless_since.get_or_insert(now);
    }

    /// Starts a higher term and drops all samples, since positions of lower terms may not exist in
    /// it.
    pub fn start_term(&mut self, term: TermNumber) {
        self.term = term;
        self.has_known_leader = false;
        self.term_start = None;
        self.tracker = FreshnessTracker::default();
        self.leadership_proved_at = None;
        self.evidence_call = None;
        self.primary_ahead_since = None;
        self.evidence_missing_since = None;
    }

    /// Records a term that a target reported, or a session if `from` is `None`. Returns whether it
    /// is higher than the known term; the primary of that one no longer leads then.
    pub fn observe_term(
        &mut self,
        term: TermNumber,
        from: Option<TargetIndex>,
        now: MonoTime,
    ) -> bool {
        if term <= self.term {
            return false;
        }
        let pool = from.and_then(|target| self.pool(target));
        info!(
            "term_seen group={} term={term} previous={} from={}",
            self.name,
            self.term,
            pool.map_or("session", |pool| pool.entry.target.as_str())
        );
        self.clear_primary(now);
        self.start_term(term);
        true
    }

    /// Returns whether this instance has reached too few targets for at least `limit` to serve from
    /// the primary. It is then more likely cut off than waiting for a promotion, and another
    /// instance may reach more.
    pub fn is_isolated(&self, limit: Duration, now: MonoTime) -> bool {
        if self.primary.is_some() {
            return self
                .evidence_missing_since
                .is_some_and(|since| now.since(since) >= limit);
        }
        let is_long_isolated = self
            .leaderless_since
            .is_some_and(|since| now.since(since) >= limit);
        let answering = self
            .targets()
            .filter(|(_, pool)| pool.answered_at.is_some_and(|at| now.since(at) < limit))
            .count();
        is_long_isolated && answering < self.promotion_quorum(now)
    }

    /// Records whether the primary's log is ahead of all replicas. A commit that no replica
    /// receives is a sign that the primary is cut off from them.
    pub fn compare_log_ends(&mut self, now: MonoTime) {
        let primary = self.primary;
        let report = |index: TargetIndex| self.pool(index).and_then(|pool| pool.report);
        let Some((_, leading)) = primary.and_then(report) else {
            self.primary_ahead_since = None;
            return;
        };
        let replicas = self
            .targets()
            .filter(|(i, _)| Some(*i) != primary)
            .filter_map(|(_, pool)| pool.report)
            .map(|(_, report)| report.received)
            .max();
        self.primary_ahead_since = match (self.primary_ahead_since, replicas) {
            (_, None) => None,
            (Some((end, since)), Some(received)) if received < end => Some((end, since)),
            (_, Some(received)) if received < leading.received => Some((leading.received, now)),
            _ => None,
        };
    }

    /// Requests evidence that the primary led at `time` or later.
    pub fn request_evidence(&mut self, time: MonoTime) {
        self.evidence_wanted_for = Some(
            self.evidence_wanted_for
                .map_or(time, |wanted| wanted.max(time)),
        );
    }

    /// Records that the known primary still led at `asked_at`, when the target that proved it was
    /// asked.
    pub fn record_leadership(&mut self, asked_at: MonoTime) {
        self.leadership_proved_at = self.leadership_proved_at.max(Some(asked_at));
        self.evidence_missing_since = None;
        self.tracker.observe_term_check(asked_at, self.term);
    }

    /// Returns the position that a log must contain to serve a read: all commits up to the time
    /// `complete_until`, and the session's own last commit at `own_position`. Returns `None` if the
    /// position is not known; then only the primary can serve the read.
    pub fn required_position(
        &self,
        complete_until: MonoTime,
        own_position: Option<GroupPosition>,
    ) -> Option<GroupPosition> {
        let fresh_position = self.tracker.position_complete_until(complete_until)?;
        let own_position = match own_position {
            Some(position) if position.term < self.term => Some(self.term_start?),
            own => own,
        };
        Some(own_position.map_or(fresh_position, |own| own.max(fresh_position)))
    }

    /// Logs which position a read asks a replica for and what proves it, once in
    /// [`POSITION_LOG_INTERVAL`].
    pub fn log_position(
        &mut self,
        target: &str,
        position: Option<GroupPosition>,
        complete_until: MonoTime,
        now: MonoTime,
    ) {
        if now.since(self.position_logged_at) < POSITION_LOG_INTERVAL {
            return;
        }
        self.position_logged_at = now;
        let position = position.map_or("none".to_string(), |position| position.to_string());
        let proof = self.tracker.describe_proof(complete_until, now);
        info!(
            "position_requested group={} target={target} position={position} {} max_age_ms={} \
             term={} members={} has_primary={}",
            self.name,
            proof.unwrap_or_default(),
            now.since(complete_until).as_millis(),
            self.term,
            self.member_count(now),
            self.primary.is_some()
        );
    }

    /// Queues a control call for a target, unless the same call is queued already.
    pub fn queue_control(
        &mut self,
        target: TargetIndex,
        purpose: ControlPurpose,
        call: TargetCall,
        now: MonoTime,
    ) {
        let Some(pool) = self.pool_mut(target) else {
            return;
        };
        let is_queued = pool
            .control_requests
            .iter()
            .any(|request| request.purpose == purpose && request.call == call);
        if !is_queued {
            pool.control_requests.push_back(ControlRequest {
                purpose,
                call,
                queued_at: now,
            });
            self.has_queued_control = true;
        }
    }

    /// Returns whether the group has work with time limits shorter than the idle tick.
    pub fn is_busy(&self, now: MonoTime) -> bool {
        let has_work =
            !self.queue.is_empty() || !self.held_clients.is_empty() || self.promotion.is_some();
        let is_used = now.since(self.last_used_at) < RECENT_USE_WINDOW;
        // A group that is not declared, or is used only through its remote home, runs nothing at its
        // targets here.
        let is_elsewhere = self.remote_home.is_some() || self.rule.is_none();
        if has_work || (is_elsewhere && !is_used) {
            return has_work;
        }
        let is_leaderless = self.primary.is_none() && self.remote_home.is_none();
        is_leaderless || self.targets().any(|(_, pool)| pool.in_use_count() > 0)
    }
}

/// Time between log lines about the positions that reads ask the replicas of a group for.
const POSITION_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the last statement at this instance during which a group counts as used.
pub(crate) const RECENT_USE_WINDOW: Duration = Duration::from_secs(5);

/// Converts a position in the list of pools to a target index.
pub(crate) fn to_target_index(i: usize) -> TargetIndex {
    TargetIndex(u16::try_from(i).expect("a group has fewer than 65,536 targets"))
}
