//! Changes of settings through a store that loses answers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherhollow_control::GroupSettings;
use heatherhollow_control::RegionSettings;
use heatherhollow_control::SettingsDocument;
use heatherhollow_control::SwapOutcome;
use heatherhollow_control::TOPOLOGY_PATH;
use heatherhollow_control::TargetSettings;
use heatherhollow_control::TeamSettings;
use heatherhollow_control::TopologyDocument;
use heatherhollow_control::TopologySettings;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::StoreRevision;
use heatherhollow_ports::TargetPort;
use heatherhollow_ports::TokioClock;
use heatherhollow_proxy::ChangeBase;
use heatherhollow_proxy::ChangeRefusal;
use heatherhollow_proxy::EngineParts;
use heatherhollow_proxy::EngineSettings;
use heatherhollow_proxy::ProxyEngine;
use heatherhollow_proxy::ProxyMetrics;
use heatherhollow_proxy::SettingsChange;
use heatherhollow_proxy::TargetDirectory;
use heatherhollow_session::TokenCodec;
use heatherhollow_session::TokenKey;
use heatherhollow_standin::KeyValueStore;
use heatherhollow_standin::NetworkModel;
use heatherhollow_standin::NetworkSettings;
use heatherhollow_standin::ServiceOutage;
use heatherhollow_standin::StoreSettings;
use heatherhollow_types::DataCentre;
use heatherhollow_types::TeamName;

/// Time after which a wait fails.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

struct NoTargets;

impl TargetDirectory for NoTargets {
    fn target(&self, _: &GroupSettings, _: &TargetSettings) -> Option<Arc<dyn TargetPort>> {
        None
    }
}

/// An engine over a store that has the topology and nothing else.
async fn start_engine() -> (Arc<ProxyEngine>, KeyValueStore) {
    let centre: DataCentre = "local".parse().unwrap();
    let network = Arc::new(NetworkModel::new(NetworkSettings {
        data_centres: vec![(centre.clone(), "local".parse().unwrap())],
        ..NetworkSettings::default()
    }));
    let store = KeyValueStore::new(StoreSettings::new(centre.clone()), network);
    let port: Arc<dyn StorePort> = store.port(&centre);
    let topology = TopologySettings {
        regions: vec![RegionSettings {
            name: "local".parse().unwrap(),
            data_centres: vec![centre],
        }],
        ..TopologySettings::default()
    };
    let document = TopologyDocument::first(topology, "c-0".parse().unwrap(), "test");
    let put = port.compare_and_swap(TOPOLOGY_PATH, None, document.encode(), None);
    put.await.unwrap();
    let engine = ProxyEngine::new(EngineParts {
        settings: EngineSettings::default(),
        clock: Arc::new(TokioClock::default()),
        targets: Arc::new(NoTargets),
        codec: TokenCodec::new(vec![TokenKey::new(1, &[7; 32]).unwrap()]),
        metrics: Arc::new(ProxyMetrics::default()),
        store: Some(port),
    });
    engine.start();
    while engine.readiness().is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (engine, store)
}

fn team() -> TeamName {
    "demo".parse().unwrap()
}

/// Settings that differ for each group name.
fn settings(group: &str) -> TeamSettings {
    let targets = ["a", "b", "c"].map(|name| TargetSettings {
        name: name.parse().unwrap(),
        data_centre: "local".parse().unwrap(),
        address: None,
        leaving: false,
    });
    let mut settings = TeamSettings::empty(team());
    settings.groups.push(GroupSettings {
        name: group.parse().unwrap(),
        targets: targets.into(),
    });
    settings
}

fn change(id: &str, group: &str, expected: Option<u64>) -> SettingsChange {
    SettingsChange {
        settings: settings(group),
        change_id: id.parse().unwrap(),
        author: "asha".to_string(),
        expected,
        base: None,
        is_repeat: false,
    }
}

fn stored(store: &KeyValueStore) -> (u64, SettingsDocument) {
    let entries = store.entries();
    let entry = entries.iter().find(|e| e.path == "/teams/demo").unwrap();
    let document = SettingsDocument::decode(&entry.value).unwrap();
    (entry.revision.0, document)
}

fn ids(document: &SettingsDocument) -> Vec<&str> {
    document
        .recent_changes
        .iter()
        .map(|id| id.as_str())
        .collect()
}

/// Guards against a change that is reported as failed, or made twice, because the store's answer was
/// lost after the change took effect.
#[tokio::test]
async fn lost_reply_of_the_store_is_resolved() {
    let (engine, store) = start_engine().await;
    store.lose_replies(1);
    let outcome = engine
        .change_settings(&team(), change("c-1", "first", None))
        .await;
    assert_eq!(outcome, Ok(SwapOutcome::Effective { revision: 2 }));
    let (revision, document) = stored(&store);
    assert_eq!((revision, ids(&document)), (2, vec!["c-1"]));
}

/// Guards against a change that takes effect again when an operator's program repeats it, also after
/// another change.
#[tokio::test]
async fn repeated_change_is_made_once() {
    let (engine, store) = start_engine().await;
    let first = engine
        .change_settings(&team(), change("c-1", "first", None))
        .await;
    assert_eq!(first, Ok(SwapOutcome::Effective { revision: 2 }));
    let second = engine
        .change_settings(&team(), change("c-2", "second", Some(2)))
        .await;
    assert_eq!(second, Ok(SwapOutcome::Effective { revision: 3 }));
    for is_repeat in [false, true] {
        let repeat = SettingsChange {
            is_repeat,
            ..change("c-1", "first", None)
        };
        let outcome = engine.change_settings(&team(), repeat).await;
        assert_eq!(outcome, Ok(SwapOutcome::Effective { revision: 3 }));
    }
    let (revision, document) = stored(&store);
    assert_eq!((revision, ids(&document)), (3, vec!["c-1", "c-2"]));
    assert_eq!(document.settings, settings("second"));
}

/// Guards against settings that stay out of force because the store came back from a copy and gave
/// them a revision that an instance knows already.
#[tokio::test]
async fn change_after_a_restore_takes_effect() {
    let (engine, store) = start_engine().await;
    let in_force = || {
        let status = engine.operator_status(|_| true);
        let documents = status["settings"]["documents"].as_array().cloned();
        let mut documents = documents.into_iter().flatten();
        let found = documents.find(|document| document["path"] == "/teams/demo");
        found.and_then(|document| document["revision"].as_u64())
    };
    let copy = store.copy();
    for (id, group, expected) in [("c-1", "first", None), ("c-2", "second", Some(2))] {
        let outcome = engine
            .change_settings(&team(), change(id, group, expected))
            .await;
        assert!(matches!(outcome, Ok(SwapOutcome::Effective { .. })));
    }
    let wait_for = async |revision: u64| {
        let started_at = Instant::now();
        while in_force() != Some(revision) {
            assert!(
                started_at.elapsed() < WAIT_LIMIT,
                "{revision} is not in force"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    wait_for(3).await;
    store.restore(copy);
    let outcome = engine
        .change_settings(&team(), change("c-3", "third", None))
        .await;
    let Ok(SwapOutcome::Effective { revision }) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(StoreRevision(revision).number(), 2);
    wait_for(revision).await;
    assert_eq!(stored(&store).1.settings, settings("third"));
}

/// Guards against a repeated change that is called lost although the list of changes does not reach
/// back to its base, so that it may have taken effect.
#[tokio::test]
async fn repeat_that_nothing_decides_is_unresolved() {
    let (engine, _store) = start_engine().await;
    for i in 1..=40_u64 {
        let expected = (i > 1).then_some(i);
        let step = change(&format!("c-{i}"), &format!("g-{i}"), expected);
        let outcome = engine.change_settings(&team(), step).await;
        assert_eq!(outcome, Ok(SwapOutcome::Effective { revision: i + 1 }));
    }
    let base = ChangeBase {
        change_id: "c-1".parse().unwrap(),
        settings: settings("g-1"),
    };
    for base in [None, Some(base)] {
        let repeat = SettingsChange {
            base,
            is_repeat: true,
            ..change("c-old", "old", Some(2))
        };
        let outcome = engine.change_settings(&team(), repeat).await;
        let change_id = "c-old".parse().unwrap();
        assert_eq!(outcome, Ok(SwapOutcome::Unresolved { change_id }));
    }
}

/// Guards against a loser that does not hear who changed what.
#[tokio::test]
async fn loser_hears_revision_author_and_paths() {
    let (engine, store) = start_engine().await;
    let first = engine
        .change_settings(&team(), change("c-1", "first", None))
        .await;
    assert_eq!(first, Ok(SwapOutcome::Effective { revision: 2 }));
    let second = engine
        .change_settings(&team(), change("c-2", "second", Some(2)))
        .await;
    assert_eq!(second, Ok(SwapOutcome::Effective { revision: 3 }));
    let base = ChangeBase {
        change_id: "c-1".parse().unwrap(),
        settings: settings("first"),
    };
    let late = SettingsChange {
        base: Some(base),
        ..change("c-3", "third", Some(2))
    };
    let outcome = engine.change_settings(&team(), late).await;
    let Ok(SwapOutcome::Lost(conflict)) = outcome else {
        panic!("{outcome:?}");
    };
    let winner = conflict.winner.expect("the winner");
    assert_eq!(
        (winner.revision, winner.document.author.as_str()),
        (3, "asha")
    );
    // Neither the loser's own group nor anything else that the winner did not change is named.
    let changed = ["/teams/demo/groups/first", "/teams/demo/groups/second"];
    assert_eq!(conflict.changed_paths, changed);
    assert_eq!(ids(&stored(&store).1), ["c-1", "c-2"]);
}

/// Guards against a change that is accepted while the store is down.
#[tokio::test]
async fn outage_of_the_store_refuses_changes() {
    let (engine, store) = start_engine().await;
    store.set_outage(Some(ServiceOutage::Refusing));
    let outcome = engine
        .change_settings(&team(), change("c-1", "first", None))
        .await;
    assert!(
        matches!(outcome, Err(ChangeRefusal::Store(_))),
        "{outcome:?}"
    );
    store.set_outage(None);
    assert_eq!(store.entries().len(), 1);
}
