//! Runs the scenarios on both deployments and prints one JSON line a run.
//!
//! `cargo run --release -p heatherhollow-experiment --example experiment -- --only kills`

use std::cell::Cell;
use std::io::Write;
use std::time::Duration;

use getopts::Options;
use tokio::time::Instant;

use heatherhollow_experiment::ClusterSettings;
use heatherhollow_experiment::Deployment;
use heatherhollow_experiment::Fault;
use heatherhollow_experiment::Scenario;
use heatherhollow_experiment::ScenarioResult;
use heatherhollow_experiment::WorkloadSettings;
use heatherhollow_experiment::run_scenario;
use heatherhollow_failover::MonitorSettings;
use heatherhollow_routing::RouteMode;
use heatherhollow_types::AckMode;

thread_local! {
    static RUN_START: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Sessions of the runs that look for the peak and go three times beyond it.
const LOAD_STEPS: [usize; 5] = [300, 600, 900, 1_200, 2_700];

/// Runs at a time; each uses one core.
const PARALLEL_RUNS: usize = 6;

const BACK: Duration = Duration::from_secs(4);

fn scenarios(deployment: &Deployment, seed: u64) -> Vec<Scenario> {
    let base = Scenario {
        name: "steady".to_string(),
        deployment: deployment.clone(),
        cluster: ClusterSettings {
            seed,
            ..ClusterSettings::default()
        },
        workload: WorkloadSettings {
            seed,
            ..WorkloadSettings::default()
        },
        length: Duration::from_secs(20),
        faults: Vec::new(),
    };
    let make = |name: &str, length: u64, faults: Vec<(u64, Fault)>| Scenario {
        name: name.to_string(),
        length: Duration::from_secs(length),
        faults: faults
            .into_iter()
            .map(|(at, f)| (Duration::from_millis(at), f))
            .collect(),
        ..base.clone()
    };
    let kills = |count: u64| {
        (0..count).map(|i| (2_000 + i * 9_037, Fault::KillPrimary { back_after: BACK }))
    };
    let seconds = Duration::from_secs;
    let mut all = vec![
        make("steady", 20, vec![]),
        make(
            "lag_200ms",
            20,
            vec![(0, Fault::Lag(Duration::from_millis(180)))],
        ),
        make("kills", 190, kills(20).collect()),
        make(
            "kills_store_down",
            190,
            std::iter::once((0, Fault::StoreOutage(seconds(200))))
                .chain(kills(20))
                .collect(),
        ),
        make(
            "cuts",
            100,
            (0..10)
                .map(|i| (2_000 + i * 9_037, Fault::CutPrimary { back_after: BACK }))
                .collect(),
        ),
        make(
            "stalls",
            60,
            (0..10)
                .map(|i| {
                    (
                        2_000 + i * 5_037,
                        Fault::StallPrimary(Duration::from_millis(500)),
                    )
                })
                .collect(),
        ),
        make(
            "replicas_2s_behind",
            30,
            vec![
                (5_000, Fault::Lag(seconds(2))),
                (20_000, Fault::Lag(Duration::from_millis(20))),
            ],
        ),
        make(
            "silent_connections",
            30,
            vec![(5_000, Fault::Silence), (15_000, Fault::Silence)],
        ),
        make(
            "instance_kills",
            80,
            (0..9)
                .map(|i| {
                    (
                        3_000 + i * 8_000,
                        Fault::KillInstance {
                            index: i as usize,
                            back_after: seconds(3),
                        },
                    )
                })
                .collect(),
        ),
        make(
            "store_down_replies_lost",
            40,
            vec![
                (0, Fault::StoreOutage(seconds(60))),
                (4_900, Fault::LoseReplies),
                (5_000, Fault::KillPrimary { back_after: BACK }),
                (20_000, Fault::KillPrimary { back_after: BACK }),
            ],
        ),
        make(
            "region_cut",
            40,
            vec![(
                5_000,
                Fault::CutRegions {
                    back_after: seconds(15),
                },
            )],
        ),
        make(
            "region_cut_and_kill",
            50,
            vec![
                (
                    5_000,
                    Fault::CutRegions {
                        back_after: seconds(20),
                    },
                ),
                (10_000, Fault::KillPrimary { back_after: BACK }),
            ],
        ),
        make(
            "kill_and_lag",
            40,
            vec![
                (5_000, Fault::Lag(Duration::from_millis(500))),
                (10_000, Fault::KillPrimary { back_after: BACK }),
            ],
        ),
        make(
            "kill_and_instance",
            40,
            vec![
                (
                    10_000,
                    Fault::KillInstance {
                        index: 0,
                        back_after: seconds(5),
                    },
                ),
                (10_100, Fault::KillPrimary { back_after: BACK }),
                (
                    20_000,
                    Fault::KillInstance {
                        index: 4,
                        back_after: seconds(5),
                    },
                ),
                (20_000, Fault::KillPrimary { back_after: BACK }),
            ],
        ),
        make(
            "cut_and_silence",
            40,
            vec![
                (10_000, Fault::Silence),
                (10_050, Fault::CutPrimary { back_after: BACK }),
            ],
        ),
    ];
    // Writes that are acknowledged at once, and sessions that read right after them: here the wait for
    // a replica decides.
    let mut scenario = make(
        "quick_reads_lag_200ms",
        20,
        vec![(0, Fault::Lag(Duration::from_millis(180)))],
    );
    for service in &mut scenario.deployment.team.services {
        service.acknowledge = AckMode::Primary;
    }
    scenario.workload.sessions = 15;
    scenario.workload.pause = Duration::from_millis(15);
    all.push(scenario);
    for sessions in LOAD_STEPS {
        let mut scenario = make(&format!("load_{sessions}"), 10, vec![]);
        scenario.workload.sessions = sessions;
        scenario.workload.patience = Duration::from_secs(1);
        all.push(scenario);
    }
    all
}

fn main() {
    // Log lines carry the virtual time of their run.
    env_logger::Builder::from_default_env()
        .format(|out, record| {
            let start = RUN_START.with(Cell::get);
            let time = start.map_or(Duration::ZERO, |start| start.elapsed());
            writeln!(out, "{:.3} {}", time.as_secs_f64(), record.args())
        })
        .init();
    let mut options = Options::new();
    options.optopt(
        "",
        "only",
        "run the scenarios whose name contains this",
        "TEXT",
    );
    options.optopt("", "deployment", "tarai-willow or lidos-authority", "NAME");
    options.optopt("", "seed", "seed of all random numbers [1]", "N");
    options.optopt(
        "",
        "variant",
        "default, primary-after-write, nearest-fresh or fixed-timeout-MS",
        "NAME",
    );
    let matches = options
        .parse(std::env::args().skip(1))
        .expect("valid options");
    let seed = matches
        .opt_str("seed")
        .map_or(1, |text| text.parse().expect("a number"));
    let only = matches.opt_str("only").unwrap_or_default();
    let variant = matches
        .opt_str("variant")
        .unwrap_or_else(|| "default".to_string());
    let wanted = matches.opt_str("deployment").unwrap_or_default();
    let mut broken = 0;
    let mut chosen = Vec::new();
    for deployment in [Deployment::tarai_willow(), Deployment::lidos_authority()] {
        if !deployment.name.contains(&wanted) {
            continue;
        }
        let scenarios = scenarios(&deployment, seed).into_iter();
        let scenarios = scenarios.map(|scenario| with_variant(scenario, &variant));
        chosen.extend(scenarios.filter(|scenario| scenario.name.contains(&only)));
    }
    for batch in chosen.chunks(PARALLEL_RUNS) {
        let threads = batch
            .iter()
            .cloned()
            .map(|scenario| std::thread::spawn(move || run(&scenario)));
        let threads = threads.collect::<Vec<_>>();
        for thread in threads {
            let result = thread.join().expect("a run does not panic");
            println!("{}", result.figures);
            broken += result.broken;
        }
    }
    if broken > 0 {
        eprintln!("{broken} broken promises");
        std::process::exit(1);
    }
}

/// A scenario under one of the baselines.
fn with_variant(mut scenario: Scenario, variant: &str) -> Scenario {
    let engine = &mut scenario.cluster.engine;
    match variant {
        "default" => {}
        "primary-after-write" => engine.policy.mode = RouteMode::PrimaryAfterWrite,
        "nearest-fresh" => engine.policy.mode = RouteMode::NearestFresh,
        other => {
            let millis = other
                .strip_prefix("fixed-timeout-")
                .and_then(|text| text.parse().ok());
            let millis = millis.expect("a known variant");
            engine.group.monitor = MonitorSettings::fixed_timeout(Duration::from_millis(millis));
        }
    }
    scenario.name = format!("{}/{variant}", scenario.name);
    scenario
}

/// Runs one scenario under a virtual clock of its own.
fn run(scenario: &Scenario) -> ScenarioResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        RUN_START.with(|start| start.set(Some(Instant::now())));
        run_scenario(scenario).await
    })
}
