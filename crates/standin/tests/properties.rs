//! Properties of a group under random faults; they guard what the engine builds on
//! ("Requirements on a target" of the design page).

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use heatherhollow_ports::CallStep;
use heatherhollow_ports::TargetError;
use heatherhollow_ports::TargetRole;
use heatherhollow_standin::LostCall;
use heatherhollow_standin::ReplyLoss;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::TermNumber;

use support::MS;
use support::TestGroup;
use support::call;
use support::candidate;
use support::run_paused;
use support::single;
use support::step;
use support::target;
use support::test_group;
use support::with_request;

/// One thing that happens to the group; writes and promotions go on while the next ones happen.
#[derive(Debug, Clone)]
enum Event {
    /// To one of the targets that take themselves for a primary.
    Write {
        place: usize,
        request: u8,
    },
    Promote {
        terms_up: u64,
        candidate: u8,
    },
    Kill(usize),
    Restart(usize),
    CutOff(usize),
    Heal(usize),
    Stall(usize, u8),
    Lag(usize, u8),
    LoseReply(usize, u8),
    Wait(u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let target = usize::arbitrary(g) % 3;
        let number = u8::arbitrary(g);
        // Most kills and cuts end soon, because without a majority nothing is confirmed.
        match u8::arbitrary(g) % 32 {
            0..=11 => Self::Write {
                place: target,
                request: number % 24,
            },
            12..=15 => Self::Promote {
                terms_up: 1 + u64::from(number % 2),
                candidate: number % 3,
            },
            16 => Self::Kill(target),
            17..=19 => Self::Restart(target),
            20 => Self::CutOff(target),
            21..=23 => Self::Heal(target),
            24 => Self::Stall(target, number),
            25 => Self::Lag(target, number),
            26 => Self::LoseReply(target, number),
            _ => Self::Wait(number),
        }
    }
}

/// What the tasks of one run saw.
#[derive(Debug, Default)]
struct RunNotes {
    confirmed: Vec<(GroupPosition, u8)>,
    /// Positions of the log of each promoted target, by term.
    promoted: Vec<(TermNumber, Vec<GroupPosition>)>,
    /// Positions that each request id was answered with.
    answered: BTreeMap<u8, Vec<GroupPosition>>,
}

fn request_key(request: u8) -> String {
    format!("effect:{request}")
}

async fn write(group: Arc<TestGroup>, index: usize, request: u8, notes: Arc<Mutex<RunNotes>>) {
    let statement = format!("add {} 1", request_key(request));
    let wanted = with_request(&statement, &format!("r{request}"));
    let number = u16::from(request);
    let answer = timeout(500 * MS, async {
        let mut connection = group.connect(index, number).await?;
        call(&mut connection, wanted).await
    });
    let Ok(Ok(answer)) = answer.await else { return };
    let position = answer.end.position.unwrap();
    {
        let mut noted = notes.lock().unwrap();
        noted.answered.entry(request).or_default().push(position);
    }
    for _ in 0..8 {
        let mut reports = 0;
        for other in 0..3 {
            let status = timeout(100 * MS, group.port(other).status()).await;
            if let Ok(Ok(status)) = status {
                let is_held = status.end.position >= position.position
                    && status.history.contains(position)
                    && status.promised <= position.term;
                reports += usize::from(is_held);
            }
        }
        if reports >= 2 {
            notes.lock().unwrap().confirmed.push((position, request));
            return;
        }
        sleep(10 * MS).await;
    }
}

async fn promote(group: Arc<TestGroup>, term: u64, name: u8, notes: Arc<Mutex<RunNotes>>) {
    let chosen = group.promote(term, &candidate(&format!("i{name}"))).await;
    if let Some(chosen) = chosen {
        let log = group.faults.log(&target(chosen));
        let positions = log.into_iter().map(|(position, _)| position);
        let promotion = (TermNumber(term), positions.collect());
        notes.lock().unwrap().promoted.push(promotion);
    }
}

async fn run_events(events: Vec<Event>) -> (Arc<TestGroup>, RunNotes) {
    let group = Arc::new(test_group(|settings| {
        for target in &mut settings.targets {
            target.lag_jitter = 5 * MS;
        }
    }));
    let notes = Arc::new(Mutex::new(RunNotes::default()));
    let mut tasks = JoinSet::new();
    // A candidate uses a term once; another candidate may try the same one.
    let mut used = Vec::new();
    let mut promised = highest_promises(&group);
    for event in events {
        let span = |number: u8| u32::from(number) * MS;
        match event {
            Event::Write { place, request } => {
                let primaries = primaries(&group);
                if !primaries.is_empty() {
                    let index = primaries[place % primaries.len()];
                    tasks.spawn(write(group.clone(), index, request, notes.clone()));
                }
            }
            Event::Promote {
                terms_up,
                candidate,
            } => {
                let highest = promised.iter().max().copied().unwrap_or_default();
                let term = highest.0 + terms_up;
                if !used.contains(&(term, candidate)) {
                    used.push((term, candidate));
                    tasks.spawn(promote(group.clone(), term, candidate, notes.clone()));
                }
            }
            Event::Kill(i) => group.faults.kill(&target(i)),
            Event::Restart(i) => group.faults.restart(&target(i)),
            Event::CutOff(i) => group.cut_off(i, true),
            Event::Heal(i) => group.cut_off(i, false),
            Event::Stall(i, number) => group.faults.stall(&target(i), span(number)),
            Event::Lag(i, number) => group.faults.set_lag(&target(i), span(number)),
            Event::LoseReply(i, number) => {
                let calls = [LostCall::Fence, LostCall::Promote, LostCall::Write];
                let losses = [ReplyLoss::Hang, ReplyLoss::Reset];
                let (call, loss) = (
                    calls[usize::from(number) % 3],
                    losses[usize::from(number) % 2],
                );
                group.faults.lose_replies(&target(i), call, loss, 1);
            }
            Event::Wait(number) => sleep(span(number)).await,
        }
        sleep(3 * MS).await;
        let present = highest_promises(&group);
        let is_monotonic = present.iter().zip(&promised).all(|(new, old)| new >= old);
        assert!(is_monotonic, "a promised term fell");
        promised = present;
    }
    while let Some(result) = tasks.join_next().await {
        result.unwrap();
    }
    let notes = std::mem::take(&mut *notes.lock().unwrap());
    (group, notes)
}

fn primaries(group: &TestGroup) -> Vec<usize> {
    let statuses = group.faults.statuses().into_iter().enumerate();
    statuses
        .filter(|(_, (_, status))| status.role == TargetRole::Primary)
        .map(|(index, _)| index)
        .collect()
}

fn highest_promises(group: &TestGroup) -> Vec<TermNumber> {
    let statuses = group.faults.statuses().into_iter();
    statuses.map(|(_, status)| status.promised).collect()
}

/// Cases come from a seed that the environment can change; it is printed when a property fails.
fn quick_check() -> QuickCheck {
    let seed = std::env::var("STANDIN_SEED").map_or(7, |seed| seed.parse().unwrap());
    let tests = std::env::var("STANDIN_TESTS").map_or(300, |tests| tests.parse().unwrap());
    println!("STANDIN_SEED={seed} STANDIN_TESTS={tests}");
    QuickCheck::new()
        .tests(tests)
        .rng(Gen::from_size_and_seed(60, seed))
}

/// Guards against a promotion that loses a confirmed write (requirements 1 to 3).
#[test]
fn a_confirmed_write_is_in_every_later_primary() {
    fn holds(events: Vec<Event>) -> bool {
        let (_, notes) = run_paused(run_events(events));
        notes.confirmed.iter().all(|(position, _)| {
            let mut later = notes.promoted.iter();
            later.all(|(term, log)| *term <= position.term || log.contains(position))
        })
    }
    quick_check().quickcheck(holds as fn(Vec<Event>) -> bool);
}

/// Guards against a repeat that runs twice, a record without its write, and a write without its
/// record (requirement 4).
#[test]
fn a_request_id_has_at_most_one_effect() {
    fn holds(events: Vec<Event>) -> bool {
        let (group, notes) = run_paused(run_events(events));
        (0..3).all(|i| {
            let rows = group.faults.rows(&target(i));
            let records = group.faults.records(&target(i));
            let is_single = rows.iter().all(|(_, value)| value == "1");
            let is_matched = rows.len() == records.len();
            // An answer of a term that is still in the log is the one that is recorded.
            let is_repeated = records.iter().all(|record| {
                let request: u8 = record.request.as_str()[1..].parse().unwrap();
                let answers = notes.answered.get(&request).into_iter().flatten();
                let mut same = answers.filter(|p| p.term == record.position.term);
                same.all(|position| *position == record.position)
            });
            is_single && is_matched && is_repeated
        })
    }
    quick_check().quickcheck(holds as fn(Vec<Event>) -> bool);
}

/// Guards against logs that stay apart after a healed partition, and against rows that do not match
/// the log after it was cut back.
#[test]
fn targets_agree_after_all_faults_are_healed() {
    fn holds(events: Vec<Event>) -> bool {
        run_paused(async {
            let (group, _) = run_events(events).await;
            for i in 0..3 {
                group.cut_off(i, false);
                group.faults.restart(&target(i));
                group.faults.set_lag(&target(i), MS);
            }
            sleep(Duration::from_secs(1)).await;
            let highest = highest_promises(&group).into_iter().max().unwrap();
            // Lost replies that were ordered and not used up may spoil some attempts.
            let mut term = highest.0;
            let mut chosen = None;
            while chosen.is_none() {
                term += 1;
                chosen = group.promote(term, &candidate("i9")).await;
            }
            sleep(Duration::from_secs(1)).await;
            let logs: Vec<_> = (0..3).map(|i| group.faults.log(&target(i))).collect();
            let replay = |i: usize| {
                let mut rows = BTreeMap::new();
                for change in logs[i].iter().flat_map(|(_, changes)| changes) {
                    rows.insert(change.key.clone(), change.value.clone().unwrap());
                }
                rows.into_iter().collect::<Vec<_>>()
            };
            logs[0] == logs[1]
                && logs[0] == logs[2]
                && (0..3).all(|i| group.faults.rows(&target(i)) == replay(i))
        })
    }
    quick_check().quickcheck(holds as fn(Vec<Event>) -> bool);
}

/// What callers do with connections to one target: whether the connection is opened, dropped or made
/// silent, or the target is killed and restarted; with which number; and the time until the next.
type ConnectionEvent = (u8, u8, u8);

/// Guards against connections above the limit, with silent connections, kills and permits that are
/// taken over (requirement 5).
#[test]
fn connections_never_exceed_the_limit() {
    const LIMIT: usize = 4;
    fn holds(events: Vec<ConnectionEvent>) -> bool {
        run_paused(async {
            let group = Arc::new(test_group(|s| s.targets[0].connection_limit = LIMIT));
            let open = Arc::new(Mutex::new(Vec::new()));
            let mut tasks = JoinSet::new();
            let mut has_kept_rule = true;
            for (kind, number, wait) in events {
                let number = number % 8;
                match kind % 8 {
                    0..=3 => {
                        let (group, open) = (group.clone(), open.clone());
                        tasks.spawn(async move {
                            match group.connect(0, u16::from(number)).await {
                                Ok(connection) => open.lock().unwrap().push((number, connection)),
                                Err(error) => assert!(matches!(
                                    error,
                                    TargetError::PermitRefused | TargetError::ConnectionRefused
                                )),
                            }
                        });
                    }
                    4 | 5 => open.lock().unwrap().retain(|(other, _)| *other != number),
                    6 => group.faults.silence(&target(0), None),
                    _ => {
                        group.faults.kill(&target(0));
                        group.faults.restart(&target(0));
                    }
                }
                sleep(u32::from(wait % 32) * MS).await;
                has_kept_rule &= group.faults.connections(&target(0)) <= LIMIT;
            }
            while let Some(result) = tasks.join_next().await {
                result.unwrap();
            }
            has_kept_rule && group.faults.most_connections(&target(0)) <= LIMIT
        })
    }
    quick_check().quickcheck(holds as fn(Vec<ConnectionEvent>) -> bool);
}

/// How one transaction goes: its amount, time to think, and end (commit, rollback, or a dropped
/// connection).
type TransactionPlan = (u8, u8, u8);

/// Guards against lost updates, dirty reads, and effects of transactions that were rolled back
/// (requirement 6).
#[test]
fn only_committed_transactions_have_effects() {
    fn holds(plans: Vec<TransactionPlan>) -> bool {
        run_paused(async {
            let group = Arc::new(test_group(|s| s.targets[0].connection_limit = 200));
            let mut tasks = JoinSet::new();
            for (i, (amount, think, ending)) in plans.into_iter().enumerate() {
                let group = group.clone();
                tasks.spawn(async move {
                    sleep(u32::from(think % 7) * 10 * MS).await;
                    let mut connection = group.connect(0, i as u16).await.unwrap();
                    let begin = step(CallStep::Begin, "");
                    call(&mut connection, begin).await.unwrap();
                    // Both keys change together, so that a mix of transactions would show.
                    for key in ["one", "two"] {
                        let statement = step(CallStep::Within, &format!("add {key} {amount}"));
                        let answer = call(&mut connection, statement).await.unwrap();
                        assert!(answer.is_done());
                        sleep(u32::from(think) * MS).await;
                    }
                    let last = match ending % 4 {
                        0 | 1 => step(CallStep::Commit, ""),
                        2 => step(CallStep::Rollback, ""),
                        _ => return 0,
                    };
                    let is_commit = last.step == CallStep::Commit;
                    let answer = call(&mut connection, last).await.unwrap();
                    let has_effect = is_commit && answer.is_done();
                    if has_effect { u64::from(amount) } else { 0 }
                });
            }
            let mut sum = 0;
            while let Some(result) = tasks.join_next().await {
                sum += result.unwrap();
                let rows = group.faults.rows(&target(0));
                let values: Vec<_> = rows.iter().map(|(_, value)| value).collect();
                if values.windows(2).any(|pair| pair[0] != pair[1]) {
                    return false;
                }
            }
            let rows = group.faults.rows(&target(0));
            let found = rows.first().map_or(0, |(_, value)| value.parse().unwrap());
            let answer = group.call(0, single("get one")).await.unwrap();
            found == sum && answer.rows.len() == rows.len() / 2
        })
    }
    quick_check().quickcheck(holds as fn(Vec<TransactionPlan>) -> bool);
}
