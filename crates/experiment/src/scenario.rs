//! Fault scripts and the runs that use them.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use heatherhollow_ports::TargetRole;
use heatherhollow_standin::CutDirection;
use heatherhollow_standin::LinkEnd;
use heatherhollow_standin::LostCall;
use heatherhollow_standin::ReplyLoss;
use heatherhollow_standin::ServiceOutage;
use heatherhollow_types::DataCentre;
use heatherhollow_types::TargetName;

use crate::cluster::Cluster;
use crate::cluster::ClusterSettings;
use crate::deployment::Deployment;
use crate::history::FinalRows;
use crate::history::History;
use crate::workload::Balancer;
use crate::workload::CallerTarget;
use crate::workload::SessionCaller;
use crate::workload::WorkloadSettings;

/// A fault, injected at its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Kills the primary, and restarts it as it was after a while.
    KillPrimary {
        /// Time until it comes back.
        back_after: Duration,
    },
    /// Cuts the primary off from the other targets and from all data centres but its own.
    CutPrimary {
        /// Time until the link is back.
        back_after: Duration,
    },
    /// All work of the primary stops for this time.
    StallPrimary(Duration),
    /// Sets the lag of all replicas.
    Lag(Duration),
    /// All open connections to all targets go silent.
    Silence,
    /// Kills an instance, and starts it again after a while.
    KillInstance {
        /// Which one.
        index: usize,
        /// Time until it comes back.
        back_after: Duration,
    },
    /// The key-value service is down for this time.
    StoreOutage(Duration),
    /// The next replies to fence and promote calls are lost at every target.
    LoseReplies,
    /// Cuts the regions off from each other.
    CutRegions {
        /// Time until the link is back.
        back_after: Duration,
    },
}

/// A run: what is deployed, how it is loaded, and which faults come when.
#[derive(Clone)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The deployment.
    pub deployment: Deployment,
    /// The cluster.
    pub cluster: ClusterSettings,
    /// The callers.
    pub workload: WorkloadSettings,
    /// Length of the load.
    pub length: Duration,
    /// Faults with the time after the start of the load.
    pub faults: Vec<(Duration, Fault)>,
}

/// Result of a run.
#[derive(Debug, Clone)]
pub struct ScenarioResult {
    /// Broken promises.
    pub broken: u64,
    /// Examples of them.
    pub examples: Vec<String>,
    /// Share of all reads that replicas served.
    pub replica_share: f64,
    /// The same of the reads that accept an age of 1 s or more.
    pub replica_share_aged: f64,
    /// For each kill or cut of a primary, the longest time without an acknowledged write.
    pub gaps: Vec<Duration>,
    /// Highest term at the end; the first one is 1.
    pub term: u64,
    /// Everything in figures.
    pub figures: Value,
}

/// Time around a fault in which its gap is looked for.
const GAP_SPAN: Duration = Duration::from_secs(6);

/// Time at the end for the targets to catch up.
const SETTLE_SPAN: Duration = Duration::from_secs(8);

struct RunState {
    cluster: Cluster,
    kills: Vec<watch::Sender<bool>>,
    balancer: Balancer,
}

/// Runs a scenario; under a paused clock it takes the time of its computations only.
pub async fn run_scenario(scenario: &Scenario) -> ScenarioResult {
    let cluster = Cluster::start(scenario.deployment.clone(), scenario.cluster.clone()).await;
    let history = Arc::new(History::default());
    let kills = cluster
        .nodes
        .iter()
        .map(|_| watch::Sender::new(false))
        .collect::<Vec<_>>();
    let balancer = Arc::new(Mutex::new(balancer_targets(&cluster, &kills)));
    let start = Instant::now();
    let end = start + scenario.length;
    let crossing_before = cluster.network.bytes_across_regions();
    let deployment = Arc::new(scenario.deployment.clone());
    let mut tasks = Vec::new();
    for id in 0..=scenario.workload.sessions {
        let caller = SessionCaller::new(
            id,
            deployment.clone(),
            scenario.workload.clone(),
            balancer.clone(),
            history.clone(),
        );
        let is_ticker = id == scenario.workload.sessions;
        tasks.push(tokio::spawn(async move {
            if is_ticker {
                caller.run_ticker(end).await
            } else {
                caller.run(end).await
            }
        }));
    }
    let state = Arc::new(Mutex::new(RunState {
        cluster,
        kills,
        balancer,
    }));
    let mut gap_starts = Vec::new();
    for (after, fault) in &scenario.faults {
        sleep_until(start + *after).await;
        if matches!(fault, Fault::KillPrimary { .. } | Fault::CutPrimary { .. }) {
            gap_starts.push(Instant::now());
        }
        inject(&state, *fault);
    }
    for task in tasks {
        task.await.expect("a caller does not panic");
    }
    let crossing = lock(&state).cluster.network.bytes_across_regions() - crossing_before;
    lock(&state).cluster.network.heal_all();
    sleep(SETTLE_SPAN).await;
    let state = lock(&state);
    history.check_writes(&final_rows(&state.cluster));
    check_connections(&state.cluster, &history);
    let statuses = state.cluster.group.faults().statuses();
    let targets = statuses.iter().map(|(name, status)| {
        format!(
            "{name} {:?} promised={} end={}",
            status.role, status.promised, status.end
        )
    });
    let targets = targets.collect::<Vec<_>>();
    let gaps = gap_starts
        .iter()
        .map(|at| history.longest_gap(*at, GAP_SPAN))
        .collect::<Vec<_>>();
    let (replica_share, replica_share_aged) = history.replica_shares();
    let term = highest_term(&state.cluster);
    let millis = gaps
        .iter()
        .map(|gap| gap.as_millis() as u64)
        .collect::<Vec<_>>();
    let store = state.cluster.store.counters();
    let figures = json!({
        "scenario": scenario.name,
        "deployment": scenario.deployment.name,
        "seed": scenario.workload.seed,
        "seconds": scenario.length.as_secs(),
        "gaps_ms": millis,
        "term": term,
        "targets": targets,
        "bytes_across_regions": crossing,
        "store_reads": store.reads,
        "store_writes": store.writes,
        "examples": history.examples(),
        "callers": history.summary(),
    });
    ScenarioResult {
        broken: history.broken_count(),
        examples: history.examples(),
        replica_share,
        replica_share_aged,
        gaps,
        term,
        figures,
    }
}

fn lock(state: &Mutex<RunState>) -> std::sync::MutexGuard<'_, RunState> {
    state.lock().expect("no holder of the run state panics")
}

fn balancer_targets(cluster: &Cluster, kills: &[watch::Sender<bool>]) -> Vec<CallerTarget> {
    let nodes = cluster
        .nodes
        .iter()
        .zip(kills)
        .filter(|(node, _)| node.is_alive);
    nodes
        .map(|(node, kill)| CallerTarget {
            engine: node.engine.clone(),
            is_killed: kill.subscribe(),
        })
        .collect()
}

/// The primary of the highest term, and its data centre.
fn current_primary(cluster: &Cluster) -> Option<(TargetName, DataCentre)> {
    let statuses = cluster.group.faults().statuses();
    let primaries = statuses
        .into_iter()
        .filter(|(_, status)| status.role == TargetRole::Primary);
    let (name, _) = primaries.max_by_key(|(_, status)| status.promised)?;
    let targets = cluster.group.targets();
    targets.into_iter().find(|(other, _)| *other == name)
}

fn highest_term(cluster: &Cluster) -> u64 {
    let statuses = cluster.group.faults().statuses();
    statuses
        .iter()
        .map(|(_, status)| status.promised.0)
        .max()
        .unwrap_or(0)
}

fn inject(state: &Arc<Mutex<RunState>>, fault: Fault) {
    let mut run = lock(state);
    let faults = run.cluster.group.faults();
    match fault {
        Fault::KillPrimary { back_after } => {
            let Some((name, _)) = current_primary(&run.cluster) else {
                return;
            };
            faults.kill(&name);
            later(back_after, move || faults.restart(&name));
        }
        Fault::CutPrimary { back_after } => {
            let Some((name, centre)) = current_primary(&run.cluster) else {
                return;
            };
            let network = run.cluster.network.clone();
            let end = faults.link_end(&name);
            let others = run.cluster.group.targets();
            let mut cuts = others
                .iter()
                .filter(|(other, _)| *other != name)
                .map(|(other, _)| faults.link_end(other))
                .collect::<Vec<_>>();
            let centres = run.cluster.deployment.topology.data_centres();
            cuts.extend(
                centres
                    .filter(|(_, c)| **c != centre)
                    .map(|(_, c)| LinkEnd::from(c)),
            );
            for other in &cuts {
                network.cut(&end, other, CutDirection::Both);
            }
            later(back_after, move || {
                for other in &cuts {
                    network.heal(&end, other, CutDirection::Both);
                }
            });
        }
        Fault::StallPrimary(span) => {
            if let Some((name, _)) = current_primary(&run.cluster) {
                faults.stall(&name, span);
            }
        }
        Fault::Lag(lag) => {
            for (name, _) in run.cluster.group.targets() {
                faults.set_lag(&name, lag);
            }
        }
        Fault::Silence => {
            for (name, _) in run.cluster.group.targets() {
                faults.silence(&name, None);
            }
        }
        Fault::KillInstance { index, back_after } => {
            run.kills[index].send_replace(true);
            run.cluster.kill_node(index);
            update_balancer(&run);
            let state = state.clone();
            tokio::spawn(async move {
                sleep(back_after).await;
                let engine = {
                    let mut run = lock(&state);
                    run.cluster.restart_node(index);
                    run.kills[index].send_replace(false);
                    run.cluster.nodes[index].engine.clone()
                };
                // The balancer looks at the instance's readiness.
                while engine.readiness().is_err() {
                    sleep(Duration::from_millis(100)).await;
                }
                update_balancer(&lock(&state));
            });
        }
        Fault::StoreOutage(span) => {
            let store = run.cluster.store.clone();
            store.set_outage(Some(ServiceOutage::Silent));
            later(span, move || store.set_outage(None));
        }
        Fault::LoseReplies => {
            for (name, _) in run.cluster.group.targets() {
                faults.lose_replies(&name, LostCall::Fence, ReplyLoss::Hang, 1);
                faults.lose_replies(&name, LostCall::Promote, ReplyLoss::Hang, 1);
            }
        }
        Fault::CutRegions { back_after } => {
            let network = run.cluster.network.clone();
            let pairs = region_pairs(&run.cluster.deployment);
            for (a, b) in &pairs {
                network.cut(a, b, CutDirection::Both);
            }
            later(back_after, move || {
                for (a, b) in &pairs {
                    network.heal(a, b, CutDirection::Both);
                }
            });
        }
    }
}

fn update_balancer(run: &RunState) {
    let targets = balancer_targets(&run.cluster, &run.kills);
    *run.balancer
        .lock()
        .expect("no holder of the balancer panics") = targets;
}

fn later(after: Duration, action: impl FnOnce() + Send + 'static) {
    tokio::spawn(async move {
        sleep(after).await;
        action();
    });
}

fn region_pairs(deployment: &Deployment) -> Vec<(LinkEnd, LinkEnd)> {
    let topology = &deployment.topology;
    let centres = topology
        .data_centres()
        .map(|(_, centre)| centre)
        .collect::<Vec<_>>();
    let mut pairs = Vec::new();
    for (i, a) in centres.iter().enumerate() {
        for b in &centres[i + 1..] {
            if !topology.same_region(a, b) {
                pairs.push((LinkEnd::from(*a), LinkEnd::from(*b)));
            }
        }
    }
    pairs
}

fn final_rows(cluster: &Cluster) -> FinalRows {
    let Some((name, _)) = current_primary(cluster) else {
        return FinalRows::new();
    };
    cluster.group.faults().rows(&name).into_iter().collect()
}

/// The sum of all connections to a target must have stayed within its share of the limits.
fn check_connections(cluster: &Cluster, history: &History) {
    let services = &cluster.deployment.team.services;
    let targets = cluster.group.targets();
    let limit = services
        .iter()
        .map(|s| usize::from(s.connections) / targets.len())
        .sum::<usize>();
    for (name, _) in targets {
        let most = cluster.group.faults().most_connections(&name);
        if most > limit {
            history.broken("connection limit", format!("{name} had {most} of {limit}"));
        }
    }
}
