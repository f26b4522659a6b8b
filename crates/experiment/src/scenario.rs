//! Runs of a cluster under load and a fault script.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::change::watch_revisions;
use crate::cluster::Cluster;
use crate::cluster::ClusterSettings;
use crate::deployment::Deployment;
use crate::fault::Fault;
use crate::fault::RunState;
use crate::fault::balancer_targets;
use crate::fault::current_primary;
use crate::fault::inject;
use crate::fault::lock;
use crate::history::FinalRows;
use crate::history::History;
use crate::workload::InstancePhase;
use crate::workload::SessionCaller;
use crate::workload::WorkloadSettings;

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
    /// For each change of settings, the time until every living instance had it in force.
    pub force_times: Vec<Duration>,
    /// Answers by class and outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Everything in figures.
    pub figures: Value,
}

/// Time around a fault in which its gap is looked for.
const GAP_SPAN: Duration = Duration::from_secs(6);

/// Time at the end for the targets to catch up.
const SETTLE_SPAN: Duration = Duration::from_secs(8);

/// Runs a scenario; under a paused clock it takes the time of its computations only.
pub async fn run_scenario(scenario: &Scenario) -> ScenarioResult {
    let cluster = Cluster::start(scenario.deployment.clone(), scenario.cluster.clone()).await;
    let history = Arc::new(History::default());
    let phases = cluster
        .nodes
        .iter()
        .map(|_| watch::Sender::new(InstancePhase::Running))
        .collect::<Vec<_>>();
    let balancer = Arc::new(Mutex::new(balancer_targets(&cluster, &phases)));
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
        phases,
        balancer,
        history: history.clone(),
        changes: 0,
    }));
    let changes_settings = scenario
        .faults
        .iter()
        .any(|(_, fault)| *fault == Fault::ChangeSettings);
    if changes_settings {
        tokio::spawn(watch_revisions(Arc::downgrade(&state)));
    }
    let mut gap_starts = Vec::new();
    for (after, fault) in &scenario.faults {
        sleep_until(start + *after).await;
        let is_cut = matches!(
            fault,
            Fault::KillPrimary { .. } | Fault::CutPrimary { .. } | Fault::KillInstance { .. }
        );
        if is_cut {
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
    let force_times = history.force_times();
    let force_millis = force_times
        .iter()
        .map(|time| time.as_millis() as u64)
        .collect::<Vec<_>>();
    let store = state.cluster.store.counters();
    let figures = json!({
        "scenario": scenario.name,
        "deployment": scenario.deployment.name,
        "seed": scenario.workload.seed,
        "seconds": scenario.length.as_secs(),
        "gaps_ms": millis,
        "term": term,
        "force_ms": force_millis,
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
        force_times,
        outcomes: history.outcomes(),
        figures,
    }
}

fn highest_term(cluster: &Cluster) -> u64 {
    let statuses = cluster.group.faults().statuses();
    statuses
        .iter()
        .map(|(_, status)| status.promised.0)
        .max()
        .unwrap_or(0)
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
        history.check_connections(&name, most, limit);
    }
}
