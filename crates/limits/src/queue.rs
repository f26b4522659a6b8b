//! Admission queue of a target.
//!
//! Statements and commits of open transactions are served first, since they hold a connection and
//! locks and their number is bounded. All other requests are scheduled by weighted fair queueing
//! between teams; within a team, writes are served before reads. A priority of writes across teams
//! would let the writes of one team take the share of another team's reads.
//!
//! The queue bounds waiting times: a request that is expected to start after its deadline is
//! refused on arrival, and a request that has waited too long is refused without being started.

use std::collections::VecDeque;
use std::time::Duration;

use heatherhollow_types::CallKind;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::TeamName;

/// Weight of a new sample in the smoothed service time.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;

/// Bounds of the retry delay that a refusal suggests.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_secs(10));

/// Number of a waiting request, unique in its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketNumber(pub u64);

/// Weight of a team in fair queueing; 1 is the default.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamWeight {
    /// The team.
    pub team: TeamName,
    /// Weight relative to other teams; above zero.
    pub weight: f64,
}

/// Settings of an [`AdmissionQueue`].
#[derive(Debug, Clone, PartialEq)]
pub struct QueueSettings {
    /// Maximum number of waiting requests.
    pub max_length: usize,
    /// Maximum wait in a standing queue, that is, one that does not drain.
    pub standing_wait: Duration,
    /// Time without becoming empty after which the queue counts as a standing queue.
    pub standing_after: Duration,
    /// Fraction of the time from arrival to deadline that a request may wait.
    pub wait_fraction: f64,
    /// Number of requests that the target runs concurrently.
    pub parallelism: usize,
    /// Weights of the teams whose weight is not 1, sorted by team.
    pub weights: Vec<TeamWeight>,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_length: 1_024,
            standing_wait: Duration::from_millis(200),
            standing_after: Duration::from_millis(100),
            wait_fraction: 0.5,
            parallelism: 3,
            weights: Vec::new(),
        }
    }
}

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueEntry {
    /// Number of the request in the queue.
    pub ticket: TicketNumber,
    /// Team that sent it.
    pub team: TeamName,
    /// Class of the request.
    pub kind: CallKind,
    /// Time of arrival.
    pub arrived: MonoTime,
    /// Time at which the caller stops waiting.
    pub deadline: MonoTime,
}

/// Refusal of a request, which was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Suggested delay before the caller retries.
    pub retry_after: Duration,
}

/// Waiting requests of one team, and the service that the team has received.
#[derive(Debug, Clone)]
struct TeamQueue {
    team: TeamName,
    /// Service received divided by weight; the team with the lowest value is served next.
    virtual_time: f64,
    writes: VecDeque<QueueEntry>,
    reads: VecDeque<QueueEntry>,
}

impl TeamQueue {
    fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.reads.is_empty()
    }

    fn pop(&mut self) -> Option<QueueEntry> {
        self.writes.pop_front().or_else(|| self.reads.pop_front())
    }
}

/// Queue of the requests that wait for a connection to one target.
///
/// ```
/// use std::time::Duration;
/// use heatherhollow_limits::{AdmissionQueue, QueueEntry, QueueSettings, TicketNumber};
/// use heatherhollow_types::{CallKind, MonoTime};
/// let mut queue = AdmissionQueue::new(QueueSettings::default());
/// let now = MonoTime::ZERO;
/// let entry = QueueEntry {
///     ticket: TicketNumber(1),
///     team: "lidos".parse().unwrap(),
///     kind: CallKind::Write,
///     arrived: now,
///     deadline: now + Duration::from_secs(1),
/// };
/// queue.offer(entry, 0, now).unwrap();
/// assert_eq!(queue.pop_next(now).unwrap().ticket, TicketNumber(1));
/// ```
#[derive(Debug, Clone)]
pub struct AdmissionQueue {
    settings: QueueSettings,
    transactions: VecDeque<QueueEntry>,
    /// Sorted by team. A team without entries is kept while its virtual time is ahead of
    /// `virtual_now`.
    team_queues: Vec<TeamQueue>,
    virtual_now: f64,
    length: usize,
    service_time: Duration,
    nonempty_since: Option<MonoTime>,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            transactions: VecDeque::new(),
            team_queues: Vec::new(),
            virtual_now: 0.0,
            length: 0,
            service_time: Duration::from_millis(2),
            nonempty_since: None,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the smoothed time for which a request occupies its connection.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Records how long a request occupied its connection.
    pub fn record_service_time(&mut self, duration: Duration) {
        let smoothed = self.service_time.mul_f64(1.0 - SERVICE_TIME_SMOOTHING);
        self.service_time = smoothed + duration.mul_f64(SERVICE_TIME_SMOOTHING);
    }

    /// Returns the expected wait of a new request of `kind` and `team` while `in_flight` requests
    /// run.
    pub fn expected_wait(&self, kind: CallKind, team: &TeamName, in_flight: usize) -> Duration {
        let ahead = self.entries_ahead(kind, team);
        let busy = (in_flight + 1).saturating_sub(self.settings.parallelism) as f64;
        let rounds = (ahead + busy) / self.settings.parallelism.max(1) as f64;
        self.service_time.mul_f64(rounds)
    }

    /// Returns the number of entries that are served before a new one, given the team's share.
    fn entries_ahead(&self, kind: CallKind, team: &TeamName) -> f64 {
        let transactions = self.transactions.len() as f64;
        if kind == CallKind::Transaction {
            return transactions;
        }
        let own = match self.find_team(team) {
            Ok(i) if kind == CallKind::Write => self.team_queues[i].writes.len(),
            Ok(i) => self.team_queues[i].writes.len() + self.team_queues[i].reads.len(),
            Err(_) => 0,
        } as f64;
        let own_weight = self.weight_of(team);
        let others = self
            .team_queues
            .iter()
            .filter(|team_queue| team_queue.team != *team)
            .map(|team_queue| {
                let share = (own + 1.0) * self.weight_of(&team_queue.team) / own_weight;
                share.min((team_queue.writes.len() + team_queue.reads.len()) as f64)
            })
            .sum::<f64>();
        transactions + own + others
    }

    /// Adds a request to the queue, or refuses it immediately.
    pub fn offer(
        &mut self,
        entry: QueueEntry,
        in_flight: usize,
        now: MonoTime,
    ) -> Result<(), QueueRefusal> {
        if entry.deadline <= now {
            return Err(self.refuse(RefusalReason::DeadlinePassed));
        }
        if self.length >= self.settings.max_length {
            return Err(self.refuse(RefusalReason::QueueFull));
        }
        let wait = self.expected_wait(entry.kind, &entry.team, in_flight);
        if now + wait >= entry.deadline {
            return Err(self.refuse(RefusalReason::Overloaded));
        }
        if self.length == 0 {
            self.nonempty_since = Some(now);
        }
        self.length += 1;
        self.push(entry);
        Ok(())
    }

    fn push(&mut self, entry: QueueEntry) {
        if entry.kind == CallKind::Transaction {
            self.transactions.push_back(entry);
            return;
        }
        let i = match self.find_team(&entry.team) {
            Ok(i) => i,
            Err(i) => {
                let team_queue = TeamQueue {
                    team: entry.team.clone(),
                    virtual_time: self.virtual_now,
                    writes: VecDeque::new(),
                    reads: VecDeque::new(),
                };
                self.team_queues.insert(i, team_queue);
                i
            }
        };
        let team_queue = &mut self.team_queues[i];
        if team_queue.is_empty() {
            // A team accumulates no credit while it is idle.
            team_queue.virtual_time = team_queue.virtual_time.max(self.virtual_now);
        }
        match entry.kind {
            CallKind::Read => team_queue.reads.push_back(entry),
            CallKind::Write | CallKind::Transaction => team_queue.writes.push_back(entry),
        }
    }

    /// Removes and returns the request to start next.
    ///
    /// Waiting times are not checked here; [`Self::expire`] removes overdue requests.
    pub fn pop_next(&mut self, now: MonoTime) -> Option<QueueEntry> {
        let entry = self.pop()?;
        self.length -= 1;
        if self.length == 0 {
            self.nonempty_since = None;
            self.team_queues
                .retain(|team_queue| team_queue.virtual_time > self.virtual_now);
        }
        debug_assert!(entry.arrived <= now);
        Some(entry)
    }

    fn pop(&mut self) -> Option<QueueEntry> {
        if let Some(entry) = self.transactions.pop_front() {
            return Some(entry);
        }
        let i = (0..self.team_queues.len())
            .filter(|&i| !self.team_queues[i].is_empty())
            .min_by(|&a, &b| {
                self.team_queues[a]
                    .virtual_time
                    .total_cmp(&self.team_queues[b].virtual_time)
            })?;
        let weight = self.weight_of(&self.team_queues[i].team);
        let team_queue = &mut self.team_queues[i];
        self.virtual_now = team_queue.virtual_time;
        team_queue.virtual_time += 1.0 / weight;
        team_queue.pop()
    }

    /// Removes the requests that have passed their deadline or waited too long, with their
    /// refusals.
    pub fn expire(&mut self, now: MonoTime) -> Vec<(TicketNumber, QueueRefusal)> {
        let longest = self.longest_wait(now);
        let wait_fraction = self.settings.wait_fraction;
        let mut expired = Vec::new();
        let mut keep = |entry: &QueueEntry| {
            let reason = expiry_reason(entry, longest, wait_fraction, now);
            expired.extend(reason.map(|reason| (entry.ticket, reason)));
            reason.is_none()
        };
        self.transactions.retain(&mut keep);
        for team_queue in &mut self.team_queues {
            team_queue.writes.retain(&mut keep);
            team_queue.reads.retain(&mut keep);
        }
        self.length -= expired.len();
        if self.length == 0 {
            self.nonempty_since = None;
        }
        expired
            .into_iter()
            .map(|(ticket, reason)| (ticket, self.refuse(reason)))
            .collect()
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: TicketNumber) {
        let mut removed = 0;
        let mut keep = |entry: &QueueEntry| {
            let is_kept = entry.ticket != ticket;
            removed += usize::from(!is_kept);
            is_kept
        };
        self.transactions.retain(&mut keep);
        for team_queue in &mut self.team_queues {
            team_queue.writes.retain(&mut keep);
            team_queue.reads.retain(&mut keep);
        }
        self.length -= removed;
        if self.length == 0 {
            self.nonempty_since = None;
        }
    }

    /// Returns the maximum wait of a standing queue, or `None` while the queue drains.
    fn longest_wait(&self, now: MonoTime) -> Option<Duration> {
        let since = self.nonempty_since?;
        let is_standing = now.since(since) >= self.settings.standing_after;
        is_standing.then_some(self.settings.standing_wait)
    }

    fn refuse(&self, reason: RefusalReason) -> QueueRefusal {
        let rounds = self.length as f64 / self.settings.parallelism.max(1) as f64;
        let (shortest, longest) = RETRY_AFTER_RANGE;
        let retry_after = self.service_time.mul_f64(rounds).clamp(shortest, longest);
        QueueRefusal {
            reason,
            retry_after,
        }
    }

    fn find_team(&self, team: &TeamName) -> Result<usize, usize> {
        self.team_queues
            .binary_search_by(|team_queue| team_queue.team.cmp(team))
    }

    fn weight_of(&self, team: &TeamName) -> f64 {
        let weights = &self.settings.weights;
        match weights.binary_search_by(|weight| weight.team.cmp(team)) {
            Ok(i) => weights[i].weight.max(0.01),
            Err(_) => 1.0,
        }
    }
}

fn expiry_reason(
    entry: &QueueEntry,
    longest: Option<Duration>,
    wait_fraction: f64,
    now: MonoTime,
) -> Option<RefusalReason> {
    if entry.deadline <= now {
        return Some(RefusalReason::DeadlinePassed);
    }
    let own_limit = entry.deadline.since(entry.arrived).mul_f64(wait_fraction);
    let limit = longest.map_or(own_limit, |longest| longest.min(own_limit));
    (now.since(entry.arrived) > limit).then_some(RefusalReason::QueueTimeout)
}
