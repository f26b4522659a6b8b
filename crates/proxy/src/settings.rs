//! Keeps the settings of this instance up to date, from the key-value service and from peers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::time::Duration;

use heatherhollow_control::ControlBody;
use heatherhollow_control::SettingsSpread;
use heatherhollow_control::SettingsTable;
use heatherhollow_control::SpreadAction;
use heatherhollow_ports::StoreEntry;
use heatherhollow_ports::StoreError;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::StoreRevision;
use heatherhollow_types::DataCentre;
use heatherhollow_types::InstanceName;

use crate::engine::ProxyEngine;
use crate::news::NodeNews;
use crate::news::SettingsDigest;
use crate::table::ServiceTable;

/// Path below which all settings documents are.
const SETTINGS_PREFIX: &str = "/";

/// Longest wait of one watch call.
const WATCH_SPAN: Duration = Duration::from_secs(30);

/// Time after which a call to the store counts as failed.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Greatest pause between two calls to a store that does not answer; a random part of it is used, so
/// that the instances do not come back all at once.
const STORE_RETRY: Duration = Duration::from_secs(1);

/// Interval at which an instance looks at whether it has to watch the store.
const WATCHER_INTERVAL: Duration = Duration::from_secs(1);

/// The settings of one instance.
pub(crate) struct SettingsKeeper {
    /// Taken alone.
    spread: Mutex<SettingsSpread>,
    store: Option<Arc<dyn StorePort>>,
    /// Latest digest of each peer, sorted by name. Taken alone.
    peer_digests: Mutex<Vec<(InstanceName, SettingsDigest)>>,
}

impl SettingsKeeper {
    pub(crate) fn new(
        own: &InstanceName,
        data_centre: &DataCentre,
        store: Option<Arc<dyn StorePort>>,
    ) -> Self {
        let spread = SettingsSpread::new(own.clone(), data_centre.clone());
        Self {
            spread: Mutex::new(spread),
            store,
            peer_digests: Mutex::new(Vec::new()),
        }
    }

    /// The key-value service, if this instance reaches it.
    pub(crate) fn store(&self) -> Option<&Arc<dyn StorePort>> {
        self.store.as_ref()
    }

    /// Reads the documents in force.
    pub(crate) fn with_table<T>(&self, read: impl FnOnce(&SettingsTable) -> T) -> T {
        read(self.lock().table())
    }

    /// Digest that a peer announced last.
    pub(crate) fn peer_digest(&self, peer: &InstanceName) -> Option<SettingsDigest> {
        let digests = self.lock_digests();
        let found = digests.binary_search_by(|(name, _)| name.cmp(peer));
        found.ok().map(|at| digests[at].1)
    }

    fn lock_digests(&self) -> MutexGuard<'_, Vec<(InstanceName, SettingsDigest)>> {
        self.peer_digests
            .lock()
            .expect("no holder of the digest lock panics")
    }

    fn lock(&self) -> MutexGuard<'_, SettingsSpread> {
        self.spread
            .lock()
            .expect("no holder of the settings lock panics")
    }

    pub(crate) fn digest(&self) -> SettingsDigest {
        SettingsDigest(self.lock().table().digest())
    }

    /// Starts to read the store.
    pub(crate) fn start(&self, engine: &Arc<ProxyEngine>) {
        if let Some(store) = self.store.clone() {
            tokio::spawn(read_store(store, Arc::downgrade(engine)));
        }
    }

    /// Asks a new peer, as long as nothing is known.
    pub(crate) fn link_up(&self, engine: &Arc<ProxyEngine>, peer: &InstanceName) {
        let ask = {
            let spread = self.lock();
            (!spread.table().is_ready()).then(|| spread.ask_peer(peer))
        };
        if let Some(ask) = ask {
            engine.send(&ask.to, &NodeNews::Control(Box::new(ask.body)));
        }
    }

    pub(crate) fn take_digest(
        &self,
        engine: &Arc<ProxyEngine>,
        from: &InstanceName,
        digest: SettingsDigest,
    ) {
        {
            let mut digests = self.lock_digests();
            match digests.binary_search_by(|(name, _)| name.cmp(from)) {
                Ok(at) => digests[at].1 = digest,
                Err(at) => digests.insert(at, (from.clone(), digest)),
            }
        }
        let now = engine.clock().now();
        let actions = self.lock().on_peer_digest(from, digest.0, now);
        self.perform(engine, actions);
    }

    pub(crate) fn take_message(
        &self,
        engine: &Arc<ProxyEngine>,
        from: &InstanceName,
        body: &ControlBody,
    ) {
        let live = engine.view().live();
        let actions = self.lock().handle(from, body, &live);
        self.perform(engine, actions);
    }

    fn take_list(
        &self,
        engine: &Arc<ProxyEngine>,
        entries: &[StoreEntry],
        revision: StoreRevision,
    ) {
        let live = engine.view().live();
        let documents = entries.iter().map(|entry| {
            (
                entry.path.as_str(),
                entry.revision.0,
                entry.value.as_slice(),
            )
        });
        let (actions, was_ready) = {
            let mut spread = self.lock();
            let was_ready = spread.table().is_ready();
            let mut actions = spread.on_store_list(documents, &live);
            let listed = entries
                .iter()
                .map(|entry| entry.path.as_str())
                .collect::<Vec<_>>();
            actions.extend(spread.remove_unlisted(&listed, revision.0, &live));
            (actions, was_ready)
        };
        let is_first = !was_ready && actions.is_empty();
        self.perform(engine, actions);
        if is_first {
            self.put_in_force(engine);
        }
    }

    fn perform(&self, engine: &Arc<ProxyEngine>, actions: Vec<SpreadAction>) {
        let mut is_changed = false;
        for action in actions {
            match action {
                SpreadAction::Send(send) => {
                    engine.send(&send.to, &NodeNews::Control(Box::new(send.body)));
                }
                SpreadAction::Changed { path, revision } => {
                    log::info!("settings_applied path={path} revision={revision}");
                    is_changed = true;
                }
                SpreadAction::Rejected { path, error } => {
                    log::error!("settings_rejected path={path} error=\"{error}\"");
                }
            }
        }
        if is_changed {
            self.put_in_force(engine);
        }
    }

    fn put_in_force(&self, engine: &Arc<ProxyEngine>) {
        let table = {
            let spread = self.lock();
            let table = spread.table();
            if !table.is_ready() {
                return;
            }
            engine
                .metrics()
                .settings_revision
                .set(table.highest_revision() as i64);
            let topology = table.topology().cloned().unwrap_or_default();
            let teams = table.teams().cloned().collect::<Vec<_>>();
            ServiceTable::new(topology, &teams)
        };
        engine.set_table(table);
    }
}

/// Reads the settings from the store and watches it while this instance has to.
async fn read_store(store: Arc<dyn StorePort>, engine: Weak<ProxyEngine>) {
    let mut revision = None;
    loop {
        let Some(engine) = engine.upgrade() else {
            return;
        };
        let keeper = engine.keeper();
        let is_ready = keeper.lock().table().is_ready();
        let is_watcher = keeper.lock().is_watcher(&engine.view().live());
        let clock = engine.clock().clone();
        let random = engine.random() as f64 / u64::MAX as f64;
        if is_ready && !is_watcher {
            revision = None;
            drop(engine);
            clock.sleep(WATCHER_INTERVAL).await;
            continue;
        }
        let result = match revision {
            None => read_all(&*store, &engine).await,
            Some(after) => {
                // The engine must not live on only because a watch waits.
                let weak = Arc::downgrade(&engine);
                drop(engine);
                read_changes(&*store, &weak, after).await
            }
        };
        match result {
            Ok(next) => revision = Some(next),
            Err(error) => {
                log::warn!("store_call_failed error=\"{error}\"");
                revision = None;
                let pause = STORE_RETRY.mul_f64(random);
                clock.sleep(pause.max(Duration::from_millis(50))).await;
            }
        }
    }
}

async fn read_all(
    store: &dyn StorePort,
    engine: &Arc<ProxyEngine>,
) -> Result<StoreRevision, StoreError> {
    let list = tokio::time::timeout(STORE_TIMEOUT, store.list(SETTINGS_PREFIX)).await;
    let (entries, revision) = list.unwrap_or(Err(StoreError::ReplyLost("timeout".to_string())))?;
    engine.keeper().take_list(engine, &entries, revision);
    Ok(revision)
}

async fn read_changes(
    store: &dyn StorePort,
    engine: &Weak<ProxyEngine>,
    after: StoreRevision,
) -> Result<StoreRevision, StoreError> {
    let watch = store.watch(SETTINGS_PREFIX, after, WATCH_SPAN);
    let changes = tokio::time::timeout(WATCH_SPAN + STORE_TIMEOUT, watch).await;
    let changes = changes.unwrap_or(Err(StoreError::ReplyLost("timeout".to_string())))?;
    let Some(engine) = engine.upgrade() else {
        return Ok(after);
    };
    let mut latest = after;
    for change in changes {
        latest = latest.max(change.revision);
        let live = engine.view().live();
        let actions = engine.keeper().lock().on_store_change(
            &change.path,
            change.revision.0,
            change.value.as_deref(),
            &live,
        );
        engine.keeper().perform(&engine, actions);
    }
    Ok(latest)
}
