//! Choice of the target of a read.
//!
//! The cost of a target is the time that the read is expected to take there, plus prices in the same
//! unit: round trip, queue, wait for the session's position, price of another region, surcharge of
//! the primary. Targets that are expected to be too old, too far behind or too slow for the deadline
//! are left out. A replica that is expected to have the position by the time the call arrives counts
//! as ready; if that is wrong, the check of the answer finds it.

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
    /// What the session needs.
    pub requirement: ReadRequirement,
    /// Greatest age of an answer; zero asks for the present state.
    pub max_age: Duration,
    /// Longest wait for a replica to catch up.
    pub max_wait: Duration,
    /// When the answer has to be there.
    pub deadline: MonoTime,
}

/// State of a target as the router sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetView {
    /// Its index in the group.
    pub target: TargetIndex,
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Whether it is suspected to have failed or cannot be reached.
    pub is_suspected: bool,
    /// Whether it is in another region.
    pub is_remote: bool,
    /// Round trip to it, over a holder if there is one between.
    pub round_trip: Duration,
    /// Calls that run or wait there.
    pub in_flight: u32,
    /// Reads among them.
    pub reads_in_flight: u32,
    /// Calls that run there at the same time.
    pub slots: u32,
    /// Smoothed time of a statement.
    pub statement_time: Duration,
}

impl TargetView {
    fn is_usable(&self) -> bool {
        !self.is_leaving && !self.is_suspected && self.slots > 0
    }

    /// Expected time until a slot is free.
    fn queue_time(&self) -> Duration {
        let ahead = self.in_flight.saturating_add(1).saturating_sub(self.slots);
        self.statement_time.saturating_mul(ahead) / self.slots.max(1)
    }

    /// Expected time until the answer is there, without a wait for a position.
    fn answer_time(&self) -> Duration {
        self.round_trip + self.queue_time() + self.statement_time
    }

    /// Expected time until the statement starts.
    fn start_time(&self) -> Duration {
        self.round_trip / 2 + self.queue_time()
    }
}

/// Where a read goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteChoice {
    /// To this target now.
    SendTo(TargetIndex),
    /// To this target as soon as it has the position.
    WaitFor {
        /// The target.
        target: TargetIndex,
        /// When to stop waiting and call [`choose_after_wait`].
        until: MonoTime,
        /// Target that is expected to serve the read if the wait fails; `None` if it will be refused.
        fallback: Option<TargetIndex>,
    },
    /// Nowhere.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// A target with its cost.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    target: TargetIndex,
    cost: Duration,
    wait: Duration,
    max_wait: Duration,
}

/// What keeps replicas from serving a read.
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
/// While no replica is ready, the primary takes reads only up to its share, except for reads that
/// need it (`max_age` zero or [`ReadRequirement::Primary`]) and while no replica is usable. The
/// baselines of [`RouteMode`] have no such limit.
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
/// assert_eq!(choice, RouteChoice::Go(TargetIndex(0)));
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
        // No replica will ever be ready; the check of the primary's answer reports the loss.
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

/// Chooses again for a read that has waited for a replica in vain.
///
/// It does not wait again, and the share of the primary is checked as it is now.
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
        // The replica goes on catching up while the call is under way.
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
    // The limits are settings; an inverted pair must not panic.
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
