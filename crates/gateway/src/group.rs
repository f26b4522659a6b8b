//! State of one database group: targets, leadership, freshness and waiting statements.

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
use crate::message::ClientId;
use crate::message::StatusReport;
use crate::message::TargetCall;
use crate::pool::ControlPurpose;
use crate::pool::ControlRequest;
use crate::pool::TargetPool;
use crate::promotion::PromotionRun;

/// Index of a group in the gateway; groups are never removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupIndex(pub usize);

/// A target that was removed without its leaving.
#[derive(Debug)]
pub(crate) struct VanishedTarget {
    pub target: String,
    /// Start of its process.
    pub incarnation: u64,
    pub removed_at: MonoTime,
}

/// A database group.
#[derive(Debug)]
pub(crate) struct DatabaseGroup {
    pub name: String,
    pub rule: Option<GroupRule>,
    /// Targets by index; an index is reused once its target is gone and has no connections.
    pub pools: Vec<Option<TargetPool>>,
    pub tracker: FreshnessTracker,
    /// Highest term seen.
    pub term: TermNumber,
    /// First position that the primary of `term` reported; all acknowledged commits of earlier terms
    /// are at or before it.
    pub term_base: Option<GroupPosition>,
    /// The target that leads `term`, as far as it is known.
    pub primary: Option<TargetIndex>,
    /// When `primary` became known to lead.
    pub primary_since: MonoTime,
    /// The target that led last, while none is known to lead.
    pub last_primary: Option<TargetIndex>,
    pub leaderless_since: Option<MonoTime>,
    /// How long the group was last without a primary after it had one.
    pub failover_time: Option<Duration>,
    pub monitor: PrimaryMonitor,
    pub suspicion: Suspicion,
    /// Whether control calls may wait for a connection.
    pub has_control: bool,
    /// Clients whose requests wait for a connection.
    pub queue: Vec<ClientId>,
    /// When the queue was last considered from its head.
    pub passed_at: MonoTime,
    /// Statements in the queue that wait for each target, by index, as the last passes found them.
    pub demand: Vec<usize>,
    /// Clients whose answers wait for evidence of leadership.
    pub held: Vec<ClientId>,
    /// Replica and time of the evidence call that is under way.
    pub check: Option<(TargetIndex, MonoTime)>,
    /// Replica that was last asked whether it has a commit whose answer waits, and when.
    pub copies_asked: Option<(TargetIndex, MonoTime)>,
    /// Latest time that evidence is wanted for.
    pub check_wanted: Option<MonoTime>,
    /// Since when evidence has been wanted and not come.
    pub unproved_since: Option<MonoTime>,
    /// Primary's position when it was first seen ahead of all replicas, and when that was.
    pub ahead_since: Option<(GroupPosition, MonoTime)>,
    /// When the primary was last asked for its status.
    pub sampled_at: MonoTime,
    /// When a client last used the group.
    pub used_at: MonoTime,
    /// Latest time at which the known primary is known to have led.
    pub led_at: Option<MonoTime>,
    /// Greatest number of targets that were listed at once while none was being replaced.
    pub nominal_size: usize,
    /// Targets that were removed without their leaving.
    pub vanished: Vec<VanishedTarget>,
    /// Instance that statements of this group are forwarded to; none if they are served here.
    pub remote_home: Option<String>,
    /// Homes that see too little of the group, each with the time until which they are left out.
    pub isolated_homes: Vec<(String, MonoTime)>,
    /// When the home was last chosen.
    pub home_chosen_at: MonoTime,
    /// When its periodic work was last done while it was used through its home.
    pub rested_at: MonoTime,
    pub promotion: Option<PromotionRun>,
    pub promotion_after: MonoTime,
}

impl DatabaseGroup {
    pub fn new(name: String, monitor: MonitorSettings, now: MonoTime) -> Self {
        Self {
            name,
            rule: None,
            pools: Vec::new(),
            tracker: FreshnessTracker::default(),
            term: TermNumber(0),
            term_base: None,
            primary: None,
            primary_since: now,
            last_primary: None,
            leaderless_since: Some(now),
            failover_time: None,
            monitor: PrimaryMonitor::new(monitor),
            suspicion: Suspicion::Healthy,
            has_control: false,
            queue: Vec::new(),
            passed_at: MonoTime::ZERO,
            demand: Vec::new(),
            held: Vec::new(),
            check: None,
            copies_asked: None,
            check_wanted: None,
            unproved_since: None,
            ahead_since: None,
            sampled_at: MonoTime::ZERO,
            used_at: MonoTime::ZERO,
            led_at: None,
            nominal_size: 0,
            vanished: Vec::new(),
            remote_home: None,
            isolated_homes: Vec::new(),
            home_chosen_at: now,
            rested_at: MonoTime::ZERO,
            promotion: None,
            promotion_after: MonoTime::ZERO,
        }
    }

    pub fn pool(&self, target: TargetIndex) -> Option<&TargetPool> {
        self.pools.get(target.as_usize())?.as_ref()
    }

    pub fn pool_mut(&mut self, target: TargetIndex) -> Option<&mut TargetPool> {
        self.pools.get_mut(target.as_usize())?.as_mut()
    }

    /// The targets with their indices.
    pub fn targets(&self) -> impl Iterator<Item = (TargetIndex, &TargetPool)> {
        let indexed = self.pools.iter().enumerate();
        indexed.filter_map(|(i, pool)| Some((index_of(i), pool.as_ref()?)))
    }

    /// Index of a target by its id.
    pub fn find(&self, target: &str) -> Option<TargetIndex> {
        self.targets()
            .find(|(_, pool)| pool.entry.target == target)
            .map(|(i, _)| i)
    }

    /// Adds a target and returns its index.
    pub fn add(&mut self, entry: TargetEntry) -> TargetIndex {
        let pool = TargetPool::new(entry);
        match self.pools.iter().position(Option::is_none) {
            Some(i) => {
                self.pools[i] = Some(pool);
                index_of(i)
            }
            None => {
                self.pools.push(Some(pool));
                index_of(self.pools.len() - 1)
            }
        }
    }

    /// Connections that each of so many instances may keep to each target.
    pub fn share(&self, instances: usize) -> usize {
        let limit = self.rule.as_ref().map_or(DEFAULT_MAX_CONNECTIONS, |rule| {
            rule.max_connections as usize
        });
        (limit / SHARED_DIVISOR / instances.max(1)).max(1)
    }

    /// Whether the connections of a target are too few for each instance to hold its own.
    pub fn is_scarce(&self, instances: usize) -> bool {
        let limit = self.rule.as_ref().map_or(DEFAULT_MAX_CONNECTIONS, |rule| {
            rule.max_connections as usize
        });
        limit / SHARED_DIVISOR < instances * MIN_OWN_CONNECTIONS
    }

    /// Whether one more connection to a target beyond the share leaves room for others' shares.
    pub fn has_surplus(&self, target: TargetIndex, instances: usize, now: MonoTime) -> bool {
        let Some(pool) = self
            .pool(target)
            .filter(|pool| now >= pool.surplus_allowed_at)
        else {
            return false;
        };
        let limit = self.rule.as_ref().map_or(DEFAULT_MAX_CONNECTIONS, |rule| {
            rule.max_connections as usize
        });
        match pool.report {
            Some((at, report)) if now.since(at) <= REPORT_LIFETIME => {
                (report.connections as usize) + pool.opening_count()
                    < limit - limit / RESERVED_DIVISOR
            }
            // Without a recent count, a few more are tried; the target refuses those above its limit.
            _ => pool.connections.len() < self.share(instances) + UNCOUNTED_SURPLUS,
        }
    }

    /// Whether a single target without an answer may hold every acknowledged commit alone or add to
    /// them: that many targets may miss in a promotion.
    pub fn tolerated_missing(&self) -> usize {
        let sync = self.rule.as_ref().map_or(1, |rule| rule.sync_replicas);
        (sync as usize).max(1)
    }

    /// Number of targets of which one holds every acknowledged commit: all but those copies that may
    /// be elsewhere. Targets that are leaving hold copies as well.
    pub fn reports_quorum(&self, now: MonoTime) -> usize {
        let leaving = self.targets().filter(|(_, pool)| pool.is_leaving());
        self.copies_quorum(now) + leaving.count()
    }

    /// Number of targets that stay of which one holds every acknowledged commit that is not on those that
    /// are leaving alone.
    pub fn copies_quorum(&self, now: MonoTime) -> usize {
        let sync = self
            .rule
            .as_ref()
            .map_or(0, |rule| rule.sync_replicas as usize);
        self.size(now).saturating_sub(sync).max(1)
    }

    /// Number of targets that may hold commits. A target whose entry vanished without its leaving may
    /// be alive behind a cut and go on confirming commits, so it counts as well.
    pub fn size(&self, now: MonoTime) -> usize {
        let staying = self.staying();
        let is_long_leaderless = self
            .leaderless_since
            .is_some_and(|since| now.since(since) >= LONG_LEADERLESS);
        if is_long_leaderless {
            return staying.max(1);
        }
        let vanished = self
            .vanished
            .iter()
            .filter(|gone| now.since(gone.removed_at) <= VANISHED_MEMORY)
            .count();
        (staying + vanished)
            .min(self.nominal_size)
            .max(staying)
            .max(1)
    }

    /// Whether a replica that every instance knows has what the primary had at a position.
    ///
    /// A target takes records before it is listed, and a promotion knows nothing of it; so the primary's
    /// word that some replica has a commit does not mean that the commit outlives a promotion.
    ///
    /// Positions of an earlier term are not compared: a later log need not contain them.
    pub fn is_copied(&self, position: GroupPosition, now: MonoTime) -> bool {
        let is_of_term = position.term == self.term;
        is_of_term
            && self.copy_holders(now).any(|(_, pool)| {
                let has_it = |(_, report): (MonoTime, StatusReport)| {
                    report.term == self.term && report.received >= position
                };
                let has_shown_it = pool
                    .max_seen
                    .is_some_and(|max_seen| max_seen.term == self.term && max_seen >= position);
                has_shown_it || pool.report.is_some_and(has_it)
            })
    }

    /// Replicas whose copy of a commit shows that it outlives a promotion: every instance knows them, and
    /// they stay; the log of a target that is leaving goes with it. A primary that stepped down is no copy of
    /// its own commits.
    pub fn copy_holders(&self, now: MonoTime) -> impl Iterator<Item = (TargetIndex, &TargetPool)> {
        self.targets().filter(move |(i, pool)| {
            let has_led = Some(*i) == self.primary || Some(*i) == self.last_primary;
            !has_led && is_established(pool, now) && !pool.is_leaving()
        })
    }

    /// Records the number of targets, once the list of targets has been read.
    pub fn note_size(&mut self) {
        let has_leaving = self.targets().any(|(_, pool)| pool.is_leaving());
        if self.nominal_size == 0 || !has_leaving {
            self.nominal_size = self.nominal_size.max(self.staying());
        }
    }

    /// Forgets that a target vanished, as it is listed again; tells whether it had, and has not restarted.
    pub fn forget_vanished(&mut self, target: &str, incarnation: u64) -> bool {
        let found = self.vanished.iter().position(|gone| gone.target == target);
        found.is_some_and(|i| self.vanished.remove(i).incarnation == incarnation)
    }

    fn staying(&self) -> usize {
        let staying = self.targets().filter(|(_, pool)| !pool.is_leaving());
        staying.count()
    }

    /// Dates the position that all acknowledged commits are at or before, from the reports of enough
    /// targets: each of these commits is in the log of one of them.
    pub fn observe_quorum(&mut self, now: MonoTime) {
        let needed = self.reports_quorum(now);
        if !self.is_synchronous() {
            return;
        }
        let mut reports = self
            .targets()
            .filter_map(|(_, pool)| pool.report)
            .filter(|(_, report)| report.term == self.term)
            .collect::<Vec<_>>();
        if reports.len() < needed {
            return;
        }
        reports.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        let asked_at = reports[needed - 1].0;
        let longest = reports[..needed]
            .iter()
            .map(|(_, report)| report.received)
            .max();
        if let Some(position) = longest {
            self.tracker.observe_quorum(asked_at, position);
        }
    }

    /// Whether acknowledged commits are held by a replica.
    pub fn is_synchronous(&self) -> bool {
        self.rule
            .as_ref()
            .is_some_and(|rule| rule.sync_replicas > 0)
    }

    /// Makes a target the known primary of a term.
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
            self.failover_time = Some(now.since(since));
        }
        self.primary = Some(target);
        self.primary_since = now;
        self.last_primary = Some(target);
        // What waits for a primary is considered at once.
        self.passed_at = MonoTime::ZERO;
        self.monitor = PrimaryMonitor::new(monitor.clone());
        self.suspicion = Suspicion::Healthy;
        true
    }

    /// Forgets the primary, since it does not lead any more or a higher term was seen.
    pub fn clear_primary(&mut self, now: MonoTime) {
        if self.primary.take().is_some() {
            self.leaderless_since = Some(now);
        }
        self.leaderless_since.get_or_insert(now);
    }

    /// Starts a higher term. Positions of lower terms may not exist in it, so all samples go.
    pub fn start_term(&mut self, term: TermNumber) {
        self.term = term;
        self.term_base = None;
        self.tracker = FreshnessTracker::default();
        self.led_at = None;
        self.check = None;
        self.ahead_since = None;
        self.unproved_since = None;
    }

    /// Takes a term that a target, or a session without one, has shown; true if it is higher than the known
    /// one, whose primary does not lead any more.
    pub fn learn_term(
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

    /// Whether this instance sees too little of the group to serve from its primary, for so long that
    /// it is more likely cut off than waiting for a promotion. Another instance may see more.
    pub fn is_isolated(&self, limit: Duration, now: MonoTime) -> bool {
        if self.primary.is_some() {
            return self
                .unproved_since
                .is_some_and(|since| now.since(since) >= limit);
        }
        let is_long = self
            .leaderless_since
            .is_some_and(|since| now.since(since) >= limit);
        let answering = self
            .targets()
            .filter(|(_, pool)| pool.answered_at.is_some_and(|at| now.since(at) < limit))
            .count();
        is_long && answering < self.copies_quorum(now)
    }

    /// Records whether the primary's log is ahead of all replicas: a commit in it that none of them
    /// receives is a sign that the primary is cut off from them.
    pub fn compare_logs(&mut self, now: MonoTime) {
        let primary = self.primary;
        let report = |index: TargetIndex| self.pool(index).and_then(|pool| pool.report);
        let Some((_, leading)) = primary.and_then(report) else {
            self.ahead_since = None;
            return;
        };
        let replicas = self
            .targets()
            .filter(|(i, _)| Some(*i) != primary)
            .filter_map(|(_, pool)| pool.report)
            .map(|(_, report)| report.received)
            .max();
        self.ahead_since = match (self.ahead_since, replicas) {
            (_, None) => None,
            (Some((end, since)), Some(received)) if received < end => Some((end, since)),
            (_, Some(received)) if received < leading.received => Some((leading.received, now)),
            _ => None,
        };
    }

    /// Asks for evidence that the primary led at `time` or later.
    pub fn want_check(&mut self, time: MonoTime) {
        self.check_wanted = Some(self.check_wanted.map_or(time, |wanted| wanted.max(time)));
    }

    /// Records that the known primary led when a replica was asked at `asked_at`.
    pub fn observe_lead(&mut self, asked_at: MonoTime) {
        self.led_at = self.led_at.max(Some(asked_at));
        self.unproved_since = None;
        self.tracker.observe_term_check(asked_at, self.term);
    }

    /// Position that a read has to find in a log: all commits up to `complete`, and the session's own.
    /// `None` if it is not known; then only the primary can serve it.
    pub fn required_position(
        &self,
        complete: MonoTime,
        own: Option<GroupPosition>,
    ) -> Option<GroupPosition> {
        let fresh = self.tracker.position_complete_until(complete)?;
        let own = match own {
            Some(position) if position.term < self.term => Some(self.term_base?),
            own => own,
        };
        Some(own.map_or(fresh, |own| own.max(fresh)))
    }

    /// Queues a control call.
    pub fn control(
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
            .control
            .iter()
            .any(|job| job.purpose == purpose && job.call == call);
        if !is_queued {
            pool.control.push_back(ControlRequest {
                purpose,
                call,
                queued_at: now,
            });
            self.has_control = true;
        }
    }

    /// Whether something is under way that has time limits shorter than an idle tick.
    pub fn is_busy(&self, now: MonoTime) -> bool {
        let has_work = !self.queue.is_empty() || !self.held.is_empty() || self.promotion.is_some();
        let is_used = now.since(self.used_at) < RECENT_USE;
        // Nothing runs at the targets of a group that has long been used through its home.
        if has_work || (self.remote_home.is_some() && !is_used) {
            return has_work;
        }
        let is_leaderless = self.primary.is_none() && self.remote_home.is_none();
        is_leaderless || self.targets().any(|(_, pool)| pool.in_use_count() > 0)
    }
}

/// Time after its last statement here during which a group still counts as used.
pub(crate) const RECENT_USE: Duration = Duration::from_secs(5);

/// Connections a target is assumed to accept while its group is not declared.
const DEFAULT_MAX_CONNECTIONS: usize = 16;

/// One part in so many of the connections of a target is divided into shares; the rest is borrowed for
/// short times. If all instances lose power at once, their connections linger at the targets for
/// seconds, and as many again have to fit beside them.
const SHARED_DIVISOR: usize = 2;

/// One part in so many of the connections of a target is not borrowed, so that instances that start
/// find room.
const RESERVED_DIVISOR: usize = 4;

/// Connections to each target that an instance needs to serve a group by itself: one for statements and
/// one for transactions that rest.
const MIN_OWN_CONNECTIONS: usize = 2;

/// Connections beyond the share that are tried without a recent count of the target's connections.
const UNCOUNTED_SURPLUS: usize = 2;

/// Time for which a target that vanished without leaving counts as part of its group; longer than any
/// cut between a target and the store lasts as a rule.
const VANISHED_MEMORY: Duration = Duration::from_secs(120);

/// Time after which a listed target is known to all instances that the store answers.
const ESTABLISHED_AGE: Duration = Duration::from_millis(1_500);

/// Time without a primary after which targets that are gone do not count any more: they will not come
/// back, and the group would stay without a primary for ever.
const LONG_LEADERLESS: Duration = Duration::from_secs(15);

/// Age up to which a target's count of connections is used.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Whether all instances know a target. One whose entry lapses goes on counting, as it does in promotions.
pub(crate) fn is_established(pool: &TargetPool, now: MonoTime) -> bool {
    now.since(pool.listed_at) >= ESTABLISHED_AGE
}

pub(crate) fn index_of(i: usize) -> TargetIndex {
    TargetIndex(u16::try_from(i).expect("a group has fewer than 65,536 targets"))
}
