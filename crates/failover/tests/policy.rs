//! Rules for starting a promotion run, and the number of runs that a failure causes.

mod common;

use std::time::Duration;

use common::ModelTarget;
use common::assert_caught;
use common::assert_holds;
use common::candidate;
use common::new_group;
use heatherhollow_failover::FenceAnswer;
use heatherhollow_failover::HighestTerm;
use heatherhollow_failover::HoldReason;
use heatherhollow_failover::PeerSuspicion;
use heatherhollow_failover::PolicyDecision;
use heatherhollow_failover::PolicyInput;
use heatherhollow_failover::PolicySettings;
use heatherhollow_failover::PromoteAnswer;
use heatherhollow_failover::PromotionAction;
use heatherhollow_failover::PromotionPolicy;
use heatherhollow_failover::PromotionRun;
use heatherhollow_failover::PromotionTrigger;
use heatherhollow_failover::RunSettings;
use heatherhollow_failover::RunTarget;
use heatherhollow_failover::SilenceReport;
use heatherhollow_failover::Suspicion;
use heatherhollow_failover::TargetReport;
use heatherhollow_failover::rank_of;
use heatherhollow_types::DataCentre;
use heatherhollow_types::InstanceName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn input<'a>(
    data_centre: &'a DataCentre,
    replicas: &'a [SilenceReport],
    peers: &'a [PeerSuspicion],
) -> PolicyInput<'a> {
    PolicyInput {
        trigger: PromotionTrigger::Suspicion(Suspicion::Suspected { since: at(1_000) }),
        threshold: millis(650),
        replicas,
        peers,
        data_centre,
        rank: Some(0),
        active_runs: 0,
    }
}

// Guards against a promotion that an observer starts because its own network has failed.
#[test]
fn suspicion_needs_a_second_source() {
    let policy = PromotionPolicy::new(PolicySettings::default());
    let (here, there): (DataCentre, DataCentre) =
        ("aqaba-a".parse().unwrap(), "amman-a".parse().unwrap());
    let hold = PolicyDecision::Hold(HoldReason::Unconfirmed);
    for (asked_at, silent_for, wanted) in [
        (900, Some(649), hold),
        (900, Some(650), PolicyDecision::Start),
        (400, Some(650), hold),
        (900, None, hold),
    ] {
        let silent_for = silent_for.map(millis);
        let asked_at = at(asked_at);
        let reports = [SilenceReport {
            asked_at,
            silent_for,
        }];
        assert_eq!(
            policy.decide(&input(&here, &reports, &[]), at(1_000)),
            wanted
        );
    }
    for (data_centre, age, wanted) in [
        (&here, 100, hold),
        (&there, 100, PolicyDecision::Start),
        (&there, 1_001, hold),
    ] {
        let peers = [PeerSuspicion {
            data_centre: data_centre.clone(),
            age: millis(age),
        }];
        assert_eq!(policy.decide(&input(&here, &[], &peers), at(1_000)), wanted);
    }
}

// Guards against observers that start runs at the same time, against more than 8 concurrent runs of
// an instance, and against a planned promotion that waits for a suspicion.
#[test]
fn rank_failures_and_active_runs_delay_a_run() {
    let mut policy = PromotionPolicy::new(PolicySettings::default());
    let here = "aqaba-a".parse().unwrap();
    let reports = [SilenceReport {
        asked_at: at(1_000),
        silent_for: Some(millis(700)),
    }];
    let base = input(&here, &reports, &[]);
    let ranked = |rank| PolicyInput {
        rank,
        ..base.clone()
    };
    let now = at(1_000);
    let wait = |millis| PolicyDecision::WaitUntil(at(millis));
    let hold = PolicyDecision::Hold;
    assert_eq!(policy.decide(&ranked(Some(2)), now), wait(1_300));
    assert_eq!(
        policy.decide(&ranked(None), now),
        hold(HoldReason::NotObserver)
    );
    let busy = |active_runs| PolicyInput {
        active_runs,
        ..base.clone()
    };
    assert_eq!(policy.decide(&busy(7), now), PolicyDecision::Start);
    assert_eq!(policy.decide(&busy(8), now), hold(HoldReason::TooManyRuns));
    let planned = PolicyInput {
        trigger: PromotionTrigger::Planned { since: now },
        replicas: &[],
        ..base.clone()
    };
    assert_eq!(policy.decide(&planned, now), PolicyDecision::Start);
    policy.run_started();
    assert_eq!(policy.decide(&base, now), hold(HoldReason::RunActive));
    policy.run_failed(now, 0);
    assert_eq!(policy.decide(&base, now), wait(1_200));
    policy.run_failed(now, u64::MAX);
    assert_eq!(policy.decide(&base, now), wait(1_800));
    policy.run_finished();
    policy.competing_run_seen(at(1_700));
    assert_eq!(policy.decide(&base, now), wait(2_100));
}

// Guards against replicas that permanently refuse the records of a healthy primary after a run
// ended between its promises and its promotion.
#[test]
fn unfinished_promotion_starts_a_run() {
    let mut policy = PromotionPolicy::new(PolicySettings::default());
    let (old, new, newer) = (TermNumber(1), TermNumber(2), TermNumber(3));
    assert_eq!(policy.unfinished_since(old, old, at(0)), None);
    assert_eq!(policy.unfinished_since(old, new, at(100)), None);
    assert_eq!(policy.unfinished_since(old, new, at(1_599)), None);
    let since = policy.unfinished_since(old, new, at(1_600)).unwrap();
    let here = "aqaba-a".parse().unwrap();
    let unfinished = PolicyInput {
        trigger: PromotionTrigger::Unfinished { since },
        ..input(&here, &[], &[])
    };
    assert_eq!(policy.decide(&unfinished, at(1_600)), PolicyDecision::Start);
    assert_eq!(policy.unfinished_since(old, newer, at(1_700)), None);
    assert_eq!(policy.unfinished_since(newer, newer, at(9_000)), None);
}

// Guards against a rank order that depends on the build, on the order of the list, or on the
// presence of other observers.
#[test]
fn rank_order_is_independent_of_the_observer_list() {
    let group = "bookings-db".parse().unwrap();
    let names = (0..6).map(|i| format!("instance-{i}").parse().unwrap());
    let observers = names.collect::<Vec<InstanceName>>();
    let order_of = |observers: &[InstanceName]| {
        let mut order = observers.to_vec();
        order.sort_by_key(|name| rank_of(&group, name, observers).unwrap());
        order
    };
    let order = order_of(&observers);
    let ranks = observers
        .iter()
        .map(|name| rank_of(&group, name, &observers).unwrap());
    assert_eq!(ranks.collect::<Vec<_>>(), [5, 4, 0, 3, 2, 1]);
    let reversed = observers.iter().rev().cloned().collect::<Vec<_>>();
    assert_eq!(order_of(&reversed), order);
    for gone in &observers {
        let left = |names: &[InstanceName]| {
            let kept = names.iter().filter(|&name| name != gone);
            kept.cloned().collect::<Vec<_>>()
        };
        assert_eq!(order_of(&left(&observers)), left(&order));
        assert_eq!(rank_of(&group, gone, &left(&observers)), None);
    }
    let firsts = (0..600).filter(|i| {
        let group = format!("group-{i}").parse().unwrap();
        rank_of(&group, &observers[0], &observers) == Some(0)
    });
    let count = firsts.count();
    assert!(
        (60..=140).contains(&count),
        "{count} of 600 groups have one first"
    );
}

/// Time in milliseconds after which no call is lost and no observer is paused.
const FAULTS_END: u64 = 10_000;

/// Answer in transit to an observer.
enum Reply {
    Fence(FenceAnswer),
    Promote(PromoteAnswer),
    Status(TargetReport),
}

struct Observer {
    policy: PromotionPolicy,
    run: Option<PromotionRun>,
    highest: HighestTerm,
    paused_until: u64,
}

/// Model of three observers of a group whose primary fails at time 0. A second target is down until
/// `majority_at`. Counts the runs and records the time of the first promotion.
struct FailoverModel {
    targets: Vec<ModelTarget>,
    observers: Vec<Observer>,
    replies: Vec<(u64, usize, usize, Reply)>,
    random: u64,
    loss_rate: u8,
    runs: usize,
    promoted_at: Option<u64>,
}

impl FailoverModel {
    fn new(settings: &PolicySettings, random: u64, loss_rate: u8) -> Self {
        let mut targets = new_group(3);
        targets[0].is_down = true;
        let observer = || Observer {
            policy: PromotionPolicy::new(settings.clone()),
            run: None,
            highest: HighestTerm::default(),
            paused_until: 0,
        };
        Self {
            targets,
            observers: vec![observer(), observer(), observer()],
            replies: Vec::new(),
            random,
            loss_rate,
            runs: 0,
            promoted_at: None,
        }
    }

    fn next_byte(&mut self) -> u8 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.random >> 56) as u8
    }

    fn call(&mut self, now: u64, o: usize, t: usize, step: impl FnOnce(&mut ModelTarget) -> Reply) {
        let loss_rate = if now < FAULTS_END { self.loss_rate } else { 0 };
        if self.targets[t].is_down || self.next_byte() < loss_rate {
            return;
        }
        let reply = step(&mut self.targets[t]);
        let arrives_at = now + 2 + u64::from(self.next_byte() % 20);
        if self.next_byte() >= loss_rate {
            self.replies.push((arrives_at, o, t, reply));
        }
    }

    fn execute(&mut self, now: u64, o: usize, actions: Vec<PromotionAction>) {
        let id = candidate(o);
        for action in actions {
            match action {
                PromotionAction::Fence { target, term } => {
                    let step = |t: &mut ModelTarget| Reply::Fence(t.fence(term, &id));
                    self.call(now, o, target.as_usize(), step);
                }
                PromotionAction::Promote { target, term } => {
                    let step = |t: &mut ModelTarget| Reply::Promote(t.promote(term, &id));
                    self.call(now, o, target.as_usize(), step);
                    if self.targets[target.as_usize()].primary_term == Some(term) {
                        self.promoted_at.get_or_insert(now);
                    }
                }
                PromotionAction::Finished { term, .. } => {
                    self.observers[o].highest.observe_established(term);
                    self.observers[o].policy.run_finished();
                }
                PromotionAction::Abandoned {
                    highest_promised, ..
                } => {
                    let random = u64::from(self.next_byte()) << 56;
                    self.observers[o].highest.observe_promised(highest_promised);
                    self.observers[o].policy.run_failed(at(now), random);
                }
                PromotionAction::Follow { .. } | PromotionAction::Inspect { .. } => {}
            }
        }
    }

    fn run_until(&mut self, end: u64, majority_at: u64) {
        for now in 0..end {
            self.targets[1].is_down = now < majority_at;
            for o in 0..self.observers.len() {
                if now < self.observers[o].paused_until {
                    continue;
                }
                self.handle_replies(now, o);
                if now % 10 == o as u64 {
                    self.tick(now, o);
                }
            }
        }
    }

    fn handle_replies(&mut self, now: u64, o: usize) {
        while let Some(i) = self.replies.iter().position(|r| r.1 == o && r.0 <= now) {
            let (_, _, t, reply) = self.replies.swap_remove(i);
            let index = TargetIndex(t as u16);
            let observer = &mut self.observers[o];
            let actions = match (reply, &mut observer.run) {
                (Reply::Fence(answer), Some(run)) => run.handle_fence_reply(at(now), index, answer),
                (Reply::Promote(answer), Some(run)) => {
                    run.handle_promote_reply(at(now), index, answer)
                }
                (Reply::Status(report), _) => {
                    observer.highest.observe_established(report.end.term);
                    if report.is_primary {
                        observer.highest.observe_established(report.promised);
                    }
                    if observer.highest.observe_promised(report.promised) {
                        observer.policy.competing_run_seen(at(now));
                    }
                    Vec::new()
                }
                _ => Vec::new(),
            };
            self.execute(now, o, actions);
        }
    }

    fn tick(&mut self, now: u64, o: usize) {
        if self.next_byte() == 0 && now < FAULTS_END {
            self.observers[o].paused_until = now + 10 * u64::from(self.next_byte());
        }
        if now % 100 == o as u64 {
            for t in 0..3 {
                self.call(now, o, t, |target| Reply::Status(target.report()));
            }
        }
        let observer = &mut self.observers[o];
        if let Some(run) = &mut observer.run {
            let actions = run.tick(at(now));
            self.execute(now, o, actions);
        }
        let observer = &mut self.observers[o];
        let since = at(700 + 20 * o as u64);
        if observer.highest.is_replaced(TermNumber(1)) || at(now) < since {
            return;
        }
        let here = "aqaba-a".parse().unwrap();
        let reports = [SilenceReport {
            asked_at: at(now),
            silent_for: Some(millis(now)),
        }];
        let input = PolicyInput {
            trigger: PromotionTrigger::Suspicion(Suspicion::Suspected { since }),
            rank: Some(o),
            ..input(&here, &reports, &[])
        };
        if observer.policy.decide(&input, at(now)) != PolicyDecision::Start {
            return;
        }
        observer.policy.run_started();
        self.runs += 1;
        let term = observer.highest.allocate_term();
        let targets = [0, 1, 2].map(|i| RunTarget {
            index: TargetIndex(i),
            is_leaving: false,
        });
        let (run, actions) = PromotionRun::start(
            RunSettings::default(),
            at(now),
            term,
            candidate(o),
            &targets,
        );
        observer.run = Some(run);
        self.execute(now, o, actions);
    }
}

fn runs_are_bounded(
    (random, loss_rate, majority_at): (u64, u8, u16),
    settings: &PolicySettings,
) -> Result<(), String> {
    let majority_at = u64::from(majority_at % 8_000);
    let mut model = FailoverModel::new(settings, random, loss_rate % 40);
    model.run_until(20_000, majority_at);
    // Without a majority, a run takes 1 s and the delays are 0.2, 0.4, 0.8 and 1.6 s, so each
    // observer starts at most 5 runs in 8 s. With a majority, lost calls may cause one more run.
    if model.runs > 3 * 6 {
        return Err(format!("{} runs", model.runs));
    }
    match model.promoted_at {
        Some(_) => Ok(()),
        None => Err("no primary".to_string()),
    }
}

// Guards against observers that repeatedly replace each other's terms, and against a failover that
// ends without a primary.
#[test]
fn failures_cause_a_bounded_number_of_runs() {
    assert_holds(100, 200, |input| {
        runs_are_bounded(input, &PolicySettings::default())
    });
}

// Guards against a bound on the number of runs that also holds without delays.
#[test]
fn missing_delays_are_caught() {
    assert_caught(100, 50, "runs", |input| {
        let settings = PolicySettings {
            rank_delay: Duration::ZERO,
            retry_delay: Duration::ZERO,
            competing_run_delay: Duration::ZERO,
            ..PolicySettings::default()
        };
        runs_are_bounded(input, &settings)
    });
}
