//! Keeps the gateway's view of the store: declarations, targets and the count of instances.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::sync::mpsc::UnboundedSender;

use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::TargetRole;
use heatherhollow_gateway::TargetState;
use heatherhollow_ports::StoreChange;
use heatherhollow_ports::StoreEntry;
use heatherhollow_ports::StoreError;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::StoreRevision;

use crate::clients::RunnerEvent;
use crate::clock;
use crate::formats::CatalogFormat;
use crate::formats::StoreValue;
use crate::membership::MEMBERS_PREFIX;
use crate::membership::MemberList;

/// Pause after the first failed call; it doubles with each failure up to [`MAX_PAUSE`], with jitter, so
/// that an outage is not filled with calls, each of which is paid for.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Pause before the next call after changes that are not urgent. Instances that start together and
/// configurations that follow one another then cost one call instead of one each; a configuration has
/// seconds to come into force.
const GATHER_PAUSE: Duration = Duration::from_millis(400);

/// Watches the store and reports what changes.
pub struct StoreWatch {
    store: Arc<dyn StorePort>,
    format: Arc<dyn CatalogFormat>,
    events: UnboundedSender<RunnerEvent>,
    members: MemberList,
    /// Whether targets were found in the list; before that they come one by one.
    is_listed: bool,
    wait: Duration,
}

impl StoreWatch {
    /// A watch that has seen nothing.
    pub fn new(
        store: Arc<dyn StorePort>,
        format: Arc<dyn CatalogFormat>,
        events: UnboundedSender<RunnerEvent>,
        wait: Duration,
    ) -> Self {
        Self {
            store,
            format,
            events,
            members: MemberList::default(),
            is_listed: false,
            wait,
        }
    }

    /// Runs until the main loop ends.
    pub async fn run(mut self) {
        let mut revision = None;
        let mut failures = 0;
        while !self.events.is_closed() {
            match self.step(revision).await {
                Ok(next) => {
                    if failures > 0 {
                        info!("store_regained failures={failures}");
                    }
                    failures = 0;
                    revision = Some(next);
                }
                Err(StoreError::HistoryGone) => {
                    info!("store_history_gone");
                    revision = None;
                }
                Err(error) => {
                    if failures == 0 {
                        info!("store_lost error={:?}", error.to_string());
                    }
                    failures += 1;
                    let pause = FIRST_PAUSE
                        .saturating_mul(1 << failures.min(5))
                        .min(MAX_PAUSE);
                    let jitter = rand::random_range(0.5..1.0);
                    tokio::time::sleep(pause.mul_f64(jitter)).await;
                }
            }
        }
    }

    /// Reads the list, or waits for changes after a revision.
    async fn step(&mut self, after: Option<StoreRevision>) -> Result<StoreRevision, StoreError> {
        let prefix = self.format.watched_prefix();
        match after {
            None => {
                let (entries, revision) = self.store.list(prefix).await?;
                self.replace_all(entries);
                Ok(revision)
            }
            Some(after) => {
                let changes = self.store.watch(prefix, after, self.wait).await?;
                let last = changes.iter().map(|change| change.revision).max();
                let is_urgent = changes
                    .into_iter()
                    .map(|change| self.apply(change))
                    .fold(last.is_none(), |is_urgent, is_change| {
                        is_urgent || is_change
                    });
                if !is_urgent {
                    tokio::time::sleep(GATHER_PAUSE).await;
                }
                Ok(last.map_or(after, |last| last.max(after)))
            }
        }
    }

    fn replace_all(&mut self, entries: Vec<StoreEntry>) {
        let mut targets = Vec::new();
        self.members.clear();
        let mut catalog = None;
        for entry in entries {
            if entry.path.starts_with(MEMBERS_PREFIX) {
                self.members.record(&entry.path, Some(&entry.value));
                continue;
            }
            match self.format.decode(&entry.path, Some(&entry.value)) {
                StoreValue::Catalog(read) => catalog = Some(read),
                StoreValue::Target(target) => targets.push(target),
                StoreValue::TargetGone(_) | StoreValue::Other => {}
            }
        }
        info!(
            "store_listed targets={} instances={} has_catalog={}",
            targets.len(),
            self.members.members().len(),
            catalog.is_some()
        );
        self.is_listed = !targets.is_empty();
        self.report_members();
        if let Some(catalog) = catalog {
            self.report(GatewayEvent::CatalogRead(catalog));
        }
        self.report(GatewayEvent::TargetsRead(targets));
    }

    /// Reports a change; true if it is about who leads or leaves.
    fn apply(&mut self, change: StoreChange) -> bool {
        if change.path.starts_with(MEMBERS_PREFIX) {
            self.members.record(&change.path, change.value.as_deref());
            self.report_members();
            return false;
        }
        match self.format.decode(&change.path, change.value.as_deref()) {
            StoreValue::Catalog(catalog) => self.report(GatewayEvent::CatalogRead(catalog)),
            StoreValue::Target(target) => {
                let is_change = self.is_listed
                    && (target.role == Some(TargetRole::Primary)
                        || target.state == TargetState::Draining);
                self.report(GatewayEvent::TargetListed(target));
                return is_change;
            }
            StoreValue::TargetGone(target) => {
                self.report(GatewayEvent::TargetUnlisted(target));
            }
            StoreValue::Other => {}
        }
        false
    }

    fn report_members(&mut self) {
        let count = self.members.count(clock::now());
        self.report(GatewayEvent::InstancesCounted(count));
        let members = self.members.members().to_vec();
        self.report(GatewayEvent::PeersRead(members));
    }

    fn report(&self, event: GatewayEvent) {
        // A closed channel ends the loop of `run`.
        let _is_received = self.events.send(RunnerEvent::Gateway(event)).is_ok();
    }
}
