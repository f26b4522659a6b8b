//! Suspicion during stalls and after kills of a primary and during pauses of its observer, at
//! random phases of probes and ticks.

mod common;

use std::time::Duration;

use common::assert_caught;
use common::assert_holds;
use heatherhollow_failover::FailureKind;
use heatherhollow_failover::MonitorSettings;
use heatherhollow_failover::PrimaryMonitor;
use heatherhollow_failover::Suspicion;
use heatherhollow_types::MonoTime;

const PROBE_TIMEOUT: u64 = 250;
const TICK_INTERVAL: u64 = 20;

/// Events of a primary and its observer; all times are in milliseconds.
#[derive(Debug, Clone, Default)]
struct Scenario {
    probe_interval: u64,
    probe_phase: u64,
    tick_phase: u64,
    round_trip: u64,
    /// Start and end of stalls; calls that arrive during a stall are answered at its end.
    stalls: Vec<(u64, u64)>,
    /// Time of the kill, and whether the host refuses connections afterwards.
    kill: Option<(u64, bool)>,
    /// Start and end of pauses of the observer.
    pauses: Vec<(u64, u64)>,
    end: u64,
}

impl Scenario {
    /// Returns when the observer receives the answer to a call, and whether the call is refused.
    fn outcome(&self, sent: u64) -> Option<(u64, bool)> {
        let arrival = sent + self.round_trip / 2;
        let stall = self.stalls.iter().find(|s| s.0 <= arrival && arrival < s.1);
        let handled_at = stall.map_or(arrival, |s| s.1);
        let answered_at = handled_at + self.round_trip.div_ceil(2);
        match self.kill {
            Some((at, refuses)) if handled_at >= at => refuses.then_some((answered_at, true)),
            _ => Some((answered_at, false)),
        }
    }

    /// Returns the time of the first suspicion. After a pause, the observer handles its tick first,
    /// then timers, then buffered answers, which is the order most likely to cause a false
    /// suspicion.
    fn first_suspicion(&self, settings: MonitorSettings) -> Option<u64> {
        let mut monitor = PrimaryMonitor::new(settings);
        let mut calls: Vec<(u64, bool)> = Vec::new();
        let (mut next_tick, mut next_probe) = (self.tick_phase, self.probe_phase);
        for millis in 0..self.end {
            if self.pauses.iter().any(|p| p.0 <= millis && millis < p.1) {
                continue;
            }
            let now = MonoTime::from_millis(millis);
            if millis >= next_tick {
                next_tick = millis + TICK_INTERVAL;
                match monitor.tick(now) {
                    Suspicion::Suspected { .. } => return Some(millis),
                    Suspicion::Doubtful {
                        want_fresh_connection: true,
                    } => {
                        monitor.fresh_connection_started(now);
                        calls.push((millis, true));
                    }
                    _ => {}
                }
            }
            calls.retain(|&(sent, is_fresh)| {
                let is_timed_out = millis >= sent + PROBE_TIMEOUT;
                let outcome = self.outcome(sent).filter(|o| millis >= o.0);
                let kind = match outcome {
                    _ if is_timed_out => FailureKind::TimedOut,
                    Some((_, true)) => FailureKind::Refused,
                    Some((_, false)) => {
                        monitor.probe_answered(now);
                        return false;
                    }
                    None => return true,
                };
                if is_fresh {
                    monitor.fresh_connection_failed(MonoTime::from_millis(sent), kind);
                } else {
                    monitor.probe_failed(now, kind);
                }
                false
            });
            if millis >= next_probe {
                next_probe = millis + self.probe_interval;
                monitor.probe_sent(now);
                calls.push((millis, false));
            }
        }
        None
    }
}

type Phases = (u16, u16, u16, bool);

fn scenario_of((probe, tick, trip, is_busy): Phases) -> Scenario {
    let probe_interval = if is_busy { 100 } else { 500 };
    Scenario {
        probe_interval,
        probe_phase: u64::from(probe) % probe_interval,
        tick_phase: u64::from(tick) % TICK_INTERVAL,
        round_trip: 1 + u64::from(trip) % 32,
        end: 6_000,
        ..Scenario::default()
    }
}

fn stall_is_tolerated(phases: Phases, settings: MonitorSettings) -> Result<(), String> {
    let stalls = vec![(2_000, 2_500), (4_000, 4_500)];
    let scenario = Scenario {
        stalls,
        ..scenario_of(phases)
    };
    match scenario.first_suspicion(settings) {
        None => Ok(()),
        Some(at) => Err(format!("suspected at {at} by a stall")),
    }
}

fn kill_is_detected(
    phases: Phases,
    refuses: bool,
    settings: MonitorSettings,
) -> Result<(), String> {
    let scenario = Scenario {
        kill: Some((3_000, refuses)),
        stalls: vec![(1_000, 1_500)],
        ..scenario_of((phases.0, phases.1, phases.2, true))
    };
    let limit = if refuses { 600 } else { 1_300 };
    match scenario.first_suspicion(settings) {
        Some(at) if (3_000..=3_000 + limit).contains(&at) => Ok(()),
        other => Err(format!("kill noticed at {other:?}")),
    }
}

fn pauses_are_harmless(
    (phases, spans): (Phases, Vec<(u16, u16)>),
    settings: MonitorSettings,
) -> Result<(), String> {
    let mut scenario = scenario_of(phases);
    let mut at = 0;
    for (running, paused) in spans {
        let start = at + 1 + u64::from(running % 700);
        at = start + u64::from(paused % 3_000);
        scenario.pauses.push((start, at));
    }
    scenario.end = at + 2_000;
    match scenario.first_suspicion(settings) {
        None => Ok(()),
        Some(at) => Err(format!("suspected at {at} by a pause")),
    }
}

// Guards against a promotion after a stall of a healthy primary, at any phase of the probes.
#[test]
fn stall_of_500_ms_is_not_suspected() {
    assert_holds(100, 1_000, |phases| {
        stall_is_tolerated(phases, MonitorSettings::default())
    });
}

// Guards against a stall property that also holds for thresholds below the length of the stall.
#[test]
fn low_thresholds_are_caught_by_a_stall() {
    assert_caught(100, 200, "by a stall", |phases| {
        stall_is_tolerated(
            phases,
            MonitorSettings::fixed_timeout(Duration::from_millis(450)),
        )
    });
    assert_caught(100, 200, "by a stall", |phases| {
        let settings = MonitorSettings {
            min_threshold: Duration::from_millis(400),
            ..MonitorSettings::default()
        };
        stall_is_tolerated(phases, settings)
    });
}

// Guards against a late suspicion that makes a failover take longer than its objective.
#[test]
fn kill_is_suspected_in_time() {
    assert_holds(100, 1_000, |(phases, refuses): (Phases, bool)| {
        kill_is_detected(phases, refuses, MonitorSettings::default())
    });
}

// Guards against a kill property that also holds if the new connection is requested too late.
#[test]
fn late_check_with_a_new_connection_is_caught() {
    assert_caught(100, 200, "kill noticed", |phases| {
        let settings = MonitorSettings {
            min_threshold: Duration::from_millis(1_050),
            fresh_connection_lead: Duration::ZERO,
            ..MonitorSettings::default()
        };
        kill_is_detected(phases, false, settings)
    });
}

// Guards against an observer that counts its own pause as silence of the primary.
#[test]
fn pauses_of_the_observer_are_not_silence() {
    assert_holds(20, 500, |input| {
        pauses_are_harmless(input, MonitorSettings::default())
    });
}

// Guards against a pause property that also holds if gaps between ticks are ignored.
#[test]
fn ignored_pauses_are_caught() {
    assert_caught(20, 200, "by a pause", |input| {
        let settings = MonitorSettings {
            max_tick_gap: Duration::MAX,
            requires_fresh_connection_failure: false,
            ..MonitorSettings::default()
        };
        pauses_are_harmless(input, settings)
    });
}

// Guards against a connection attempt that began before a pause and counts as a failure after it.
#[test]
fn fresh_failure_from_before_a_pause_does_not_count() {
    let at = MonoTime::from_millis;
    let mut monitor = PrimaryMonitor::new(MonitorSettings::default());
    monitor.probe_sent(at(0));
    monitor.tick(at(400));
    monitor.fresh_connection_started(at(400));
    monitor.tick(at(5_000));
    monitor.probe_sent(at(5_000));
    monitor.fresh_connection_failed(at(400), FailureKind::TimedOut);
    for millis in (5_000..6_000).step_by(100) {
        let suspicion = monitor.tick(at(millis));
        assert_eq!(suspicion.suspected_since(), None);
    }
}

// Guards against a threshold that exceeds its limits or does not adapt between them.
#[test]
fn threshold_adapts_within_limits() {
    let threshold_after = |millis: &[u64]| {
        let mut monitor = PrimaryMonitor::new(MonitorSettings::default());
        let mut now = MonoTime::ZERO;
        monitor.probe_answered(now);
        for &span in millis {
            now = now + Duration::from_millis(span);
            monitor.probe_answered(now);
        }
        monitor.threshold().as_millis()
    };
    assert_eq!(threshold_after(&[100; 20]), 650);
    assert_eq!(threshold_after(&[400, 600].repeat(20)), 900); // 500 + 4 * 100
    assert_eq!(threshold_after(&[100, 5_000].repeat(20)), 1_200);
}
