//! Properties of the connection pool under random events.

use std::time::Duration;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::TestResult;
use quickcheck::quickcheck;

use heatherhollow_limits::ConnectionPool;
use heatherhollow_limits::PoolChoice;
use heatherhollow_limits::PoolSettings;
use heatherhollow_types::MonoTime;
use heatherhollow_types::PermitNumber;

#[derive(Debug, Clone, Copy)]
enum PoolEvent {
    Take { is_unrepeatable: bool },
    Open { waiting: u8 },
    Opened { pick: u8, is_open: bool },
    Checked { pick: u8, is_good: bool },
    GiveBack { pick: u8, is_clean: bool },
    Pass { millis: u16 },
    SetPermits { first: u8, count: u8 },
}

impl Arbitrary for PoolEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 | 1 => Self::Take {
                is_unrepeatable: bool::arbitrary(g),
            },
            2 => Self::Open {
                waiting: u8::arbitrary(g) % 8,
            },
            3 => Self::Opened {
                pick: u8::arbitrary(g),
                is_open: u8::arbitrary(g) > 60,
            },
            4 => Self::Checked {
                pick: u8::arbitrary(g),
                is_good: bool::arbitrary(g),
            },
            5 => Self::GiveBack {
                pick: u8::arbitrary(g),
                is_clean: bool::arbitrary(g),
            },
            6 => Self::Pass {
                millis: u16::arbitrary(g) % 3_000,
            },
            _ => Self::SetPermits {
                first: u8::arbitrary(g) % 6,
                count: u8::arbitrary(g) % 6,
            },
        }
    }
}

/// Model of the caller of the pool: the connections that exist, by state.
#[derive(Default)]
struct EngineModel {
    opening: Vec<PermitNumber>,
    idle: Vec<(PermitNumber, MonoTime)>,
    checking: Vec<PermitNumber>,
    lent: Vec<PermitNumber>,
}

fn pick<T>(items: &mut Vec<T>, index: u8) -> Option<T> {
    (!items.is_empty()).then(|| items.swap_remove(usize::from(index) % items.len()))
}

/// Applies the events to a pool and the model, and compares them. `reuses_unclean` breaks the rule
/// that a connection with an unread answer is closed.
fn run(events: &[PoolEvent], reuses_unclean: bool) -> Result<(), String> {
    let settings = PoolSettings::default();
    let mut pool = ConnectionPool::new(settings.clone());
    let mut model = EngineModel::default();
    let mut now = MonoTime::from_millis(10);
    let mut unclean: Vec<PermitNumber> = Vec::new();
    for &event in events {
        match event {
            PoolEvent::Take { is_unrepeatable } => match pool.take(is_unrepeatable, now) {
                PoolChoice::Lend(permit) => {
                    let found = model.idle.iter().position(|(idle, _)| *idle == permit);
                    let i = found.ok_or(format!("lent {permit}, which is not idle"))?;
                    let (_, since) = model.idle.swap_remove(i);
                    if is_unrepeatable && now.since(since) > settings.check_after {
                        return Err(format!("lent {permit} unchecked after long idleness"));
                    }
                    if unclean.contains(&permit) {
                        return Err(format!("lent {permit} with an unread answer"));
                    }
                    model.lent.push(permit);
                }
                PoolChoice::Check(permit) => {
                    model.idle.retain(|(idle, _)| *idle != permit);
                    model.checking.push(permit);
                }
                PoolChoice::Wait => {}
            },
            PoolEvent::Open { waiting } => {
                model
                    .opening
                    .extend(pool.start_opening(usize::from(waiting), now));
                if model.opening.len() > settings.max_opening {
                    return Err(format!(
                        "{} connections opening at once",
                        model.opening.len()
                    ));
                }
            }
            PoolEvent::Opened {
                pick: index,
                is_open,
            } => {
                if let Some(permit) = pick(&mut model.opening, index)
                    && pool.opened(permit, is_open, now)
                {
                    unclean.retain(|other| *other != permit);
                    model.idle.push((permit, now));
                }
            }
            PoolEvent::Checked {
                pick: index,
                is_good,
            } => {
                if let Some(permit) = pick(&mut model.checking, index) {
                    pool.record_check(permit, is_good, now);
                    if is_good {
                        model.lent.push(permit);
                    }
                }
            }
            PoolEvent::GiveBack {
                pick: index,
                is_clean,
            } => {
                if let Some(permit) = pick(&mut model.lent, index) {
                    if !is_clean {
                        unclean.push(permit);
                    }
                    if pool.return_connection(permit, is_clean || reuses_unclean, now) {
                        model.idle.push((permit, now));
                    }
                }
            }
            PoolEvent::Pass { millis } => now = now + Duration::from_millis(u64::from(millis)),
            PoolEvent::SetPermits { first, count } => {
                let permits = (first..first + count).map(|n| PermitNumber(n.into()));
                let permits = permits.collect::<Vec<_>>();
                let closed = pool.set_permits(&permits);
                model.idle.retain(|(permit, _)| !closed.contains(permit));
                if model
                    .idle
                    .iter()
                    .any(|(permit, _)| !permits.contains(permit))
                {
                    return Err(
                        "an idle connection was kept after its permit was revoked".to_string()
                    );
                }
            }
        }
        let mut used = model
            .idle
            .iter()
            .map(|(permit, _)| *permit)
            .collect::<Vec<_>>();
        used.extend(
            model
                .opening
                .iter()
                .chain(&model.checking)
                .chain(&model.lent),
        );
        used.sort_unstable();
        if used.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err("two connections for one permit".to_string());
        }
    }
    Ok(())
}

quickcheck! {
    // Guards against a connection that is lent twice, two connections for one permit, and a
    // connection that is lent while the answer to an earlier request may still arrive on it.
    fn connections_are_never_shared_or_reused_unclean(events: Vec<PoolEvent>) -> TestResult {
        match run(&events, false) {
            Ok(()) => TestResult::passed(),
            Err(text) => TestResult::error(text),
        }
    }
}

// Guards against a property that misses a pool which lends connections with unread answers.
#[test]
fn permit_property_fails_if_unclean_connections_are_reused() {
    let events = [
        PoolEvent::SetPermits { first: 0, count: 1 },
        PoolEvent::Open { waiting: 1 },
        PoolEvent::Opened {
            pick: 0,
            is_open: true,
        },
        PoolEvent::Take {
            is_unrepeatable: false,
        },
        PoolEvent::GiveBack {
            pick: 0,
            is_clean: false,
        },
        PoolEvent::Take {
            is_unrepeatable: false,
        },
    ];
    assert!(run(&events, true).is_err());
    assert!(run(&events, false).is_ok());
}
