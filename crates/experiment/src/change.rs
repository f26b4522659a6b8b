//! Racing changes of the team's settings, and the revisions that instances have in force.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use heatherhollow_control::SettingsDocument;
use heatherhollow_control::StoredDocument;
use heatherhollow_control::SwapOutcome;
use heatherhollow_control::team_path;
use heatherhollow_proxy::ProxyEngine;
use heatherhollow_proxy::SettingsChange;
use heatherhollow_types::RequestId;
use heatherhollow_types::TeamName;

use crate::cluster::Cluster;
use crate::fault::RunState;
use crate::fault::lock;

/// Interval at which revisions are looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a change that is not in force everywhere is given up.
const WATCH_LIMIT: Duration = Duration::from_secs(20);

/// Lets two operators change the document at different instances at the same time. The reply to the
/// swap that takes effect is lost.
pub(crate) async fn race_operators(state: Arc<Mutex<RunState>>, number: u64) {
    let (engines, team, store, history) = {
        let run = lock(&state);
        let alive = run.cluster.nodes.iter().filter(|node| node.is_alive);
        let mut engines = alive.map(|node| node.engine.clone()).collect::<Vec<_>>();
        // Two instances in different data centres.
        let last = engines.pop().expect("an instance is alive");
        let first = engines.first().cloned().unwrap_or_else(|| last.clone());
        let cluster = &run.cluster;
        let team = cluster.deployment.team.team.clone();
        let (store, history) = (cluster.store.clone(), run.history.clone());
        ([first, last], team, store, history)
    };
    let ids = ["a", "b"].map(|operator| {
        let text = format!("change-{number}-{operator}");
        text.parse::<RequestId>().expect("a valid id")
    });
    let started = Instant::now();
    // Both read the same version before either changes it; otherwise both changes may be made.
    let Ok(Some(base)) = engines[0].stored_settings(&team).await else {
        history.broken("racing settings", "the document was not read".to_string());
        return;
    };
    store.lose_replies(1);
    let (first, second) = tokio::join!(
        change(&engines[0], &base, &ids[0], 1),
        change(&engines[1], &base, &ids[1], 2),
    );
    let path = team_path(&team);
    let mut entries = store.entries().into_iter();
    let entry = entries.find(|entry| entry.path == path);
    let entry = entry.expect("a document is stored");
    let document: SettingsDocument =
        SettingsDocument::decode(&entry.value).expect("a valid document");
    let stored = [&ids[0], &ids[1]].map(|id| document.includes(id));
    history.check_race([first, second], stored);
    let revision = entry.revision.0;
    loop {
        let is_in_force = {
            let run = lock(&state);
            let alive = run.cluster.nodes.iter().filter(|node| node.is_alive);
            alive
                .map(|node| revision_of(&node.engine, &team))
                .all(|own| own >= revision)
        };
        if is_in_force || started.elapsed() > WATCH_LIMIT {
            break;
        }
        sleep(SAMPLE_INTERVAL).await;
    }
    history.record_force(started.elapsed());
}

/// Changes a harmless setting; whether the change took effect.
async fn change(
    engine: &Arc<ProxyEngine>,
    base: &StoredDocument,
    id: &RequestId,
    step: u64,
) -> bool {
    let mut settings = base.document.settings.clone();
    for service in &mut settings.services {
        for kind in &mut service.kinds {
            kind.max_wait_ms += step;
        }
    }
    let change = SettingsChange {
        settings,
        change_id: id.clone(),
        author: id.to_string(),
        expected: Some(base.revision),
        base: None,
        is_repeat: false,
    };
    let outcome = engine
        .change_settings(&base.document.settings.team, change)
        .await;
    matches!(outcome, Ok(SwapOutcome::Effective { .. }))
}

/// Samples the revisions of all living instances; none may go back within a run of an instance.
pub(crate) async fn watch_revisions(state: Weak<Mutex<RunState>>) {
    let mut seen = Vec::new();
    loop {
        sleep(SAMPLE_INTERVAL).await;
        let Some(state) = state.upgrade() else {
            return;
        };
        let run = lock(&state);
        let now = sample_revisions(&run.cluster);
        for (before, now) in std::iter::zip(&seen, &now) {
            let ((old_run, before), (new_run, now)) = (before, now);
            if old_run == new_run {
                let text = format!("{}:{}", new_run.0, new_run.1);
                run.history.check_revisions(&text, *before, *now);
            }
        }
        seen = now;
    }
}

/// Index, incarnation and revision of every instance.
fn sample_revisions(cluster: &Cluster) -> Vec<((usize, u64), u64)> {
    let team = &cluster.deployment.team.team;
    let nodes = cluster.nodes.iter().enumerate();
    let samples = nodes.map(|(i, node)| {
        let revision = revision_of(&node.engine, team);
        ((i, node.incarnation), revision)
    });
    samples.collect()
}

/// Revision of the team's document that an instance has in force, 0 for none.
fn revision_of(engine: &ProxyEngine, team: &TeamName) -> u64 {
    let status = engine.operator_status(|shown| shown == team);
    let path = team_path(team);
    let documents = status["settings"]["documents"].as_array();
    let document = documents
        .into_iter()
        .flatten()
        .find(|document| document["path"] == path.as_str());
    document.map_or(0, |document| document["revision"].as_u64().unwrap_or(0))
}
