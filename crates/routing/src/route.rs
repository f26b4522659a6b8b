//! Choice of the target of a read.
//!
//! The cost of a target is the expected time of the read there (round trip, queue, statement, wait
//! for the session's position) plus the cost of another region and the surcharge of the primary, in
//! the same unit. Targets that are expected to be too old, too far behind or too slow for the
//! deadline are excluded. A replica that is expected to have the position when the call arrives
//! counts as ready; the check of the answer detects a wrong expectation.

use std::time::Duration;

use heatherhollow_session::ReadRequirement;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::TargetIndex;

use crate::policy::RouteMode;
use crate::policy::RoutePolicy;
use crate::tracker::FreshnessTracker;

/// A read that needs a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteQuery {
    /// Position or target that the session requires.
    pub requirement: ReadRequirement,
    /// Maximum age of an answer; zero requires the current state.
    pub max_age: Duration,
    /// Longest wait for a replica to catch up.
    pub max_wait: Duration,
    /// Time by which the answer must be complete.
    pub deadline: MonoTime,
}

/// State of a target that routing decisions use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetView {
    /// Index of the target in the group.
    pub target: TargetIndex,
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Whether it is leaving and accepts no new calls.
    pub is_leaving: bool,
    /// Whether it is suspected to have failed or is unreachable.
    pub is_suspected: bool,
    /// Whether it is in another region.
    pub is_remote: bool,
    /// Round trip to it, including the instance that holds the connection if calls are relayed.
    pub round_trip: Duration,
    /// Number of calls that run or are queued there.
    pub in_flight: u32,
    /// Number of reads among the calls in `in_flight`.
    pub reads_in_flight: u32,
    /// Number of calls that can run there concurrently.
    pub slots: u32,
    /// Smoothed execution time of a statement.
    pub statement_time: Duration,
}

impl TargetView {
    fn is_usable(&self) -> bool {
        !self.is_leaving && !self.is_suspected && self.slots > 0
    }

    /// Returns the expected time until a slot is free.
    fn queue_time(&self) -> Duration {
        let ahead = self.in_flight.saturating_add(1).saturating_sub(self.slots);
        self.statement_time.saturating_mul(ahead) / self.slots.max(1)
    }

    /// Returns the expected time until the answer arrives, without a wait for a position.
    fn answer_time(&self) -> Duration {
        self.round_trip + self.queue_time() + self.statement_time
    }

    /// Returns the expected time until the statement starts.
    fn start_time(&self) -> Duration {
        self.round_trip / 2 + self.queue_time()
    }
}

/// Routing decision for a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteChoice {
    /// The read is sent to this target now.
    SendTo(TargetIndex),
    /// The read is sent to this target as soon as the target has the position.
    WaitFor {
        /// Target to wait for.
        target: TargetIndex,
        /// When to stop waiting and call [`choose_after_wait`].
        until: MonoTime,
        /// Target that is expected to serve the read if the wait fails; `None` if it will be
        /// refused.
        fallback: Option<TargetIndex>,
    },
    /// The read is refused.
    Refuse {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Target that may serve a read, with its cost.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    target: TargetIndex,
    cost: Duration,
    wait: Duration,
    max_wait: Duration,
}

/// Best replicas for a read, and the reasons for which others were excluded.
#[derive(Debug, Default)]
struct ReplicaOptions {
    best: Option<Candidate>,
    best_ready: Option<Candidate>,
    has_usable: bool,
    has_too_old: bool,
    shortest_wait: Option<Duration>,
    shortest_answer: Option<Duration>,
}

/// Chooses the target of a read.
///
/// While no replica is ready, the primary accepts reads only up to its share of slots. The limit
/// does not apply to reads that need the primary (`max_age` zero or [`ReadRequirement::Primary`]),
/// while no replica is usable, or to the baselines of [`RouteMode`].
///
/// ```
/// use std::time::Duration;
/// use heatherhollow_routing::*;
/// use heatherhollow_session::ReadRequirement;
/// use heatherhollow_types::{MonoTime, TargetIndex};
/// let now = MonoTime::from_millis(1_000);
/// let query = RouteQuery {
///     requirement: ReadRequirement::None,
///     max_age: Duration::ZERO,
///     max_wait: Duration::from_millis(250),
///     deadline: now + Duration::from_secs(1),
/// };
/// let primary = TargetView {
///     target: TargetIndex(0),
///     is_primary: true,
///     is_leaving: false,
///     is_suspected: false,
///     is_remote: false,
///     round_trip: Duration::from_millis(1),
///     in_flight: 0,
///     reads_in_flight: 0,
///     slots: 3,
///     statement_time: Duration::from_millis(2),
/// };
/// let tracker = FreshnessTracker::default();
/// let choice = choose_route(&query, &[primary], &tracker, &RoutePolicy::default(), now);
/// assert_eq!(choice, RouteChoice::SendTo(TargetIndex(0)));
/// ```
pub fn choose_route(
    query: &RouteQuery,
    targets: &[TargetView],
    tracker: &FreshnessTracker,
    policy: &RoutePolicy,
    now: MonoTime,
) -> RouteChoice {
    if query.deadline <= now {
        return refuse(RefusalReason::DeadlinePassed, Duration::ZERO, policy);
    }
    let primary = targets
        .iter()
        .find(|view| view.is_primary && view.is_usable());
    if query.max_age.is_zero() || query.requirement == ReadRequirement::Primary {
        return route_to_primary(query, primary, policy, now);
    }
    if let ReadRequirement::AtLeast(need) = query.requirement
        && tracker.is_lost(need)
    {
        // No replica will reach a lost position; the check of the primary's answer reports the
        // loss.
        return route_to_primary(query, primary, policy, now);
    }
    let options = evaluate_replicas(query, targets, tracker, policy, now);
    match policy.mode {
        RouteMode::LowestCost => choose_lowest_cost(query, primary, &options, policy, now),
        RouteMode::PrimaryAfterWrite if query.requirement != ReadRequirement::None => {
            route_to_primary(query, primary, policy, now)
        }
        RouteMode::PrimaryAfterWrite | RouteMode::NearestFresh => match options.best_ready {
            Some(replica) => RouteChoice::SendTo(replica.target),
            None => route_to_primary(query, primary, policy, now),
        },
    }
}

/// Chooses the target of a read after its wait for a replica has timed out.
///
/// The result is never [`RouteChoice::WaitFor`]. The primary's share is checked against its current
/// load.
pub fn choose_after_wait(
    query: &RouteQuery,
    targets: &[TargetView],
    tracker: &FreshnessTracker,
    policy: &RoutePolicy,
    now: MonoTime,
) -> RouteChoice {
    let query = RouteQuery {
        max_wait: Duration::ZERO,
        ..*query
    };
    choose_route(&query, targets, tracker, policy, now)
}

fn route_to_primary(
    query: &RouteQuery,
    primary: Option<&TargetView>,
    policy: &RoutePolicy,
    now: MonoTime,
) -> RouteChoice {
    match primary {
        None => refuse(RefusalReason::NoPrimary, policy.max_retry_after, policy),
        Some(view) if view.answer_time() > query.deadline - now => {
            refuse(RefusalReason::Overloaded, view.queue_time(), policy)
        }
        Some(view) => RouteChoice::SendTo(view.target),
    }
}

fn evaluate_replicas(
    query: &RouteQuery,
    targets: &[TargetView],
    tracker: &FreshnessTracker,
    policy: &RoutePolicy,
    now: MonoTime,
) -> ReplicaOptions {
    let mut options = ReplicaOptions::default();
    let replicas = targets
        .iter()
        .filter(|view| !view.is_primary && view.is_usable());
    for view in replicas {
        options.has_usable = true;
        let is_fresh_enough = tracker
            .expected_age(view.target, now)
            .is_some_and(|age| age + view.round_trip <= query.max_age);
        if !is_fresh_enough {
            options.has_too_old = true;
            continue;
        }
        let wait = match query.requirement {
            ReadRequirement::AtLeast(need) => tracker.expected_wait(view.target, need, now),
            _ => Some(Duration::ZERO),
        };
        let Some(wait) = wait else { continue };
        let time_left = query.deadline - now;
        if view.answer_time() > time_left {
            options.shortest_answer = shorter(options.shortest_answer, view.answer_time());
            continue;
        }
        // The replica continues to apply records while the call is in transit.
        let wait = match policy.mode {
            RouteMode::LowestCost => wait.saturating_sub(view.start_time()),
            _ => wait,
        };
        options.shortest_wait = shorter(options.shortest_wait, wait);
        let max_wait = query.max_wait.min(time_left - view.answer_time());
        if wait > max_wait {
            continue;
        }
        let candidate = Candidate {
            target: view.target,
            cost: replica_cost(view, wait, policy),
            wait,
            max_wait,
        };
        if wait.is_zero() {
            options.best_ready = cheaper(options.best_ready, candidate);
        }
        options.best = cheaper(options.best, candidate);
    }
    options
}

fn replica_cost(view: &TargetView, wait: Duration, policy: &RoutePolicy) -> Duration {
    if policy.mode != RouteMode::LowestCost {
        return view.round_trip;
    }
    let region_cost = if view.is_remote {
        policy.cross_region_cost
    } else {
        Duration::ZERO
    };
    view.answer_time() + wait + region_cost
}

fn choose_lowest_cost(
    query: &RouteQuery,
    primary: Option<&TargetView>,
    options: &ReplicaOptions,
    policy: &RoutePolicy,
    now: MonoTime,
) -> RouteChoice {
    let is_share_limited = options.has_usable && options.best_ready.is_none();
    let is_in_share =
        |view: &TargetView| view.reads_in_flight < policy.max_primary_reads(view.slots);
    let primary_candidate = primary
        .filter(|view| view.answer_time() <= query.deadline - now)
        .filter(|view| !is_share_limited || is_in_share(view))
        .map(|view| Candidate {
            target: view.target,
            cost: replica_cost(view, Duration::ZERO, policy) + policy.surcharge(query.max_age),
            wait: Duration::ZERO,
            max_wait: Duration::ZERO,
        });
    let best = match (options.best, primary_candidate) {
        (Some(replica), Some(primary)) if primary.cost < replica.cost => Some(primary),
        (replica, primary) => replica.or(primary),
    };
    match best {
        Some(best) if best.wait.is_zero() => RouteChoice::SendTo(best.target),
        Some(best) => RouteChoice::WaitFor {
            target: best.target,
            until: now + best.max_wait,
            fallback: [options.best_ready, primary_candidate]
                .into_iter()
                .flatten()
                .min_by_key(|candidate| candidate.cost)
                .map(|candidate| candidate.target),
        },
        None => refuse_unroutable(primary, options, policy),
    }
}

fn refuse_unroutable(
    primary: Option<&TargetView>,
    options: &ReplicaOptions,
    policy: &RoutePolicy,
) -> RouteChoice {
    let (reason, retry_after) = match (primary, options.shortest_wait, options.shortest_answer) {
        (None, None, None) if !options.has_usable => {
            (RefusalReason::Unreachable, policy.max_retry_after)
        }
        // A replica has the data but cannot answer in time.
        (_, None, Some(_)) => (RefusalReason::Overloaded, policy.min_retry_after),
        (Some(view), None, None) if !options.has_usable => {
            (RefusalReason::Overloaded, view.queue_time())
        }
        (None, None, None) if options.has_too_old => {
            (RefusalReason::TooOld, policy.max_retry_after)
        }
        (_, wait, _) => (
            RefusalReason::ReplicasLagging,
            wait.unwrap_or(policy.max_retry_after),
        ),
    };
    refuse(reason, retry_after, policy)
}

fn refuse(reason: RefusalReason, retry_after: Duration, policy: &RoutePolicy) -> RouteChoice {
    // `clamp` would panic if the configured minimum exceeded the maximum.
    let retry_after = retry_after
        .max(policy.min_retry_after)
        .min(policy.max_retry_after);
    RouteChoice::Refuse {
        reason,
        retry_after,
    }
}

fn shorter(known: Option<Duration>, other: Duration) -> Option<Duration> {
    Some(known.map_or(other, |known| known.min(other)))
}

fn cheaper(known: Option<Candidate>, other: Candidate) -> Option<Candidate> {
    match known {
        Some(known) if known.cost <= other.cost => Some(known),
        _ => Some(other),
    }
}
