//! Keeps the gateway's view of the store up to date: declarations, targets and live instances.
//!
//! A few instances of a data centre or region, the readers, read the store; the others follow a
//! reader. A follower that loses its reader tries the next one, and reads the store itself if it
//! reaches none. An instance whose own calls to the store fail follows a reader that still reaches
//! the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::info;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::TargetRole;
use heatherhollow_gateway::TargetState;
use heatherhollow_ports::StoreChange;
use heatherhollow_ports::StoreEntry;
use heatherhollow_ports::StoreError;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::StoreRevision;
use heatherhollow_types::MonoTime;

use crate::clients::RunnerEvent;
use crate::clock;
use crate::follow::ReaderUpdate;
use crate::formats::CatalogFormat;
use crate::formats::StoreValue;
use crate::group_sizes::decode_size;
use crate::known_readers::KnownReaders;
use crate::membership::MEMBERS_PREFIX;
use crate::membership::MemberList;
use crate::mirror::StoreMirror;
use crate::proof::next_watch_wait;
use crate::proof::watch_proof;
use crate::reader_copy::copy_entries_from;
use crate::readers::ReaderChoice;
use crate::readers::ReaderPlace;
use crate::readers::ReaderPlaces;

mod following;

/// Base of the exponential backoff, with jitter and up to [`MAX_PAUSE`], after failed calls.
///
/// Each call to the store is paid for, also during an outage.
const BASE_PAUSE: Duration = Duration::from_millis(100);

/// Upper bound of the backoff after failed calls.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Consecutive failed calls after which a reader tries to follow another reader.
const MAX_READ_FAILURES: u32 = 2;

/// Time for which an instance without a reader place reads the store before it looks for a reader
/// again.
const UNPLACED_READ_TIME: Duration = Duration::from_secs(10);

/// Longest time for which a watch call of an instance without a reader place waits for changes.
///
/// Such an instance renews no lease, so only the time limit of the call shows that the store lost it.
/// The limit has to be below the time in which a configuration comes into force.
const UNPLACED_WATCH_WAIT: Duration = Duration::from_secs(1);

/// Pause before the next watch call after changes that are not urgent.
///
/// Changes in quick succession, such as starts of several instances or successive configurations,
/// then cost one call instead of one each. A configuration has seconds to come into force.
const BATCH_PAUSE: Duration = Duration::from_millis(400);

/// Dependencies of a [`StoreWatch`].
pub struct WatchParts {
    /// The store.
    pub store: Arc<dyn StorePort>,
    /// Format of the stored values.
    pub format: Arc<dyn CatalogFormat>,
    /// Channel on which changes are reported.
    pub events: UnboundedSender<RunnerEvent>,
    /// Reader places.
    pub places: ReaderPlaces,
    /// The known readers.
    pub known: Arc<KnownReaders>,
    /// Copy of the entries for followers.
    pub mirror: Arc<StoreMirror>,
    /// Longest time for which a watch call waits for changes.
    pub wait: Duration,
    /// Time after which the removal of a key must be in force; `None` if no proofs are needed.
    pub revocation_limit: Option<Duration>,
}

/// Watches the store, or follows a reader, and reports what changes.
pub struct StoreWatch {
    parts: WatchParts,
    members: MemberList,
    /// Whether a list of all entries contained targets; before that, targets appear one by one.
    has_listed_targets: bool,
    /// Revision up to which changes are applied.
    revision: Option<StoreRevision>,
    /// Number of consecutive failed calls.
    failures: u32,
    /// Newest proof, of the own calls or of a reader; only with strict revocation.
    newest_proof: Option<MonoTime>,
    /// Time at which a search among the known readers found none that answers.
    search_failed_at: Option<Instant>,
    /// Start of the current period in which no reader could be followed.
    no_reader_since: Option<Instant>,
    /// Newest proof of the entries since the store is read; `None` while they were only copied.
    proved_at: Option<MonoTime>,
    /// How long the last list, or watch without changes, took beside its wait.
    call_time: Duration,
}

impl StoreWatch {
    /// Creates a watch that knows no entries.
    pub fn new(parts: WatchParts) -> Self {
        Self {
            parts,
            members: MemberList::default(),
            has_listed_targets: false,
            revision: None,
            failures: 0,
            newest_proof: None,
            search_failed_at: None,
            no_reader_since: None,
            proved_at: None,
            call_time: Duration::ZERO,
        }
    }

    /// Reads the store or follows a reader, in turn, until the main loop ends.
    pub async fn run(mut self) {
        let mut is_first_choice = true;
        while !self.parts.events.is_closed() {
            let choice = self.parts.places.choose(is_first_choice).await;
            is_first_choice = false;
            match choice {
                Ok(ReaderChoice::Read(place, earlier_holders)) => {
                    self.record_success();
                    self.parts.mirror.set_reader(true);
                    let known_revision = self.copy_entries(&earlier_holders).await;
                    self.read(Some(place), known_revision).await;
                }
                Ok(ReaderChoice::Follow(readers)) => {
                    self.record_success();
                    self.parts.mirror.set_reader(false);
                    self.follow_or_read(readers).await;
                }
                Err(error) => {
                    self.record_failure(&error);
                    self.parts.mirror.set_reader(false);
                    if !self.follow_others().await && self.pause().await {
                        self.follow_others().await;
                    }
                }
            }
        }
    }

    fn record_success(&mut self) {
        if self.failures > 0 {
            info!("store_regained failures={}", self.failures);
        }
        self.failures = 0;
    }

    fn record_failure(&mut self, error: &StoreError) {
        if self.failures == 0 {
            info!("store_lost error={:?}", error.to_string());
        }
        self.failures += 1;
    }

    /// Pauses after a failed call; returns true if the pause ended as a reader became known.
    async fn pause(&self) -> bool {
        let pause = BASE_PAUSE
            .saturating_mul(1 << self.failures.min(5))
            .min(MAX_PAUSE);
        let pause = pause.mul_f64(rand::random_range(0.5..1.0));
        let learned = timeout(pause, self.parts.known.wait_until_learned());
        learned.await.is_ok()
    }

    /// Copies all entries from a reader that holds an earlier place.
    ///
    /// The list of all entries then crosses between regions once and not once for each place.
    /// Returns `None` if none of `holders` provides the entries in time.
    async fn copy_entries(&mut self, holders: &[SocketAddr]) -> Option<StoreRevision> {
        let least_revision = self.least_revision();
        // Some holders may wait for entries of other holders, so all are asked in parallel.
        let mut copies = holders
            .iter()
            .map(|reader| Box::pin(copy_entries_from(*reader, least_revision)))
            .collect::<FuturesUnordered<_>>();
        let copied = loop {
            if let Some(copied) = copies.next().await? {
                break copied;
            }
        };
        let (reader, entries, revision) = copied;
        info!("entries_copied reader={reader}");
        self.parts.mirror.replace(&entries, revision);
        self.replace_entries(entries);
        self.revision = Some(revision);
        self.revision
    }

    /// Returns the revision that the entries of a reader must have reached.
    ///
    /// Once the store has come back from a copy, entries of an earlier era are out of date.
    fn least_revision(&self) -> StoreRevision {
        let start_of_era = StoreRevision::new(self.parts.store.era(), 0);
        self.revision.unwrap_or_default().max(start_of_era)
    }

    fn handle_update(&mut self, update: ReaderUpdate) {
        match update {
            ReaderUpdate::Snapshot(entries, revision) => {
                self.replace_entries(entries);
                self.revision = Some(revision);
            }
            ReaderUpdate::Changes(changes, revision) => {
                self.apply_changes(changes);
                self.revision = self.revision.max(Some(revision));
            }
            ReaderUpdate::Proof(at) => self.report_proof(at),
            ReaderUpdate::Wait => {}
        }
    }

    /// Reports that the entries were the newest at a time, to followers as well.
    fn prove(&mut self, at: MonoTime) {
        self.proved_at = self.proved_at.max(Some(at));
        if self.parts.revocation_limit.is_some() {
            self.parts.mirror.record_proof(at);
            self.report_proof(at);
        }
    }

    fn report_proof(&mut self, at: MonoTime) {
        self.newest_proof = self.newest_proof.max(Some(at));
        self.report(GatewayEvent::CatalogProved(at));
    }

    /// Reads the store as long as `place` is held, or for [`UNPLACED_READ_TIME`] without a place.
    ///
    /// Reads the list of all entries first if `known_revision` is `None`.
    async fn read(&mut self, place: Option<ReaderPlace>, known_revision: Option<StoreRevision>) {
        let deadline = Instant::now() + UNPLACED_READ_TIME;
        let mut after = known_revision;
        let mut is_announced = place.is_none();
        self.proved_at = None;
        let may_continue = || match &place {
            Some(place) => place.is_held(),
            None => Instant::now() < deadline,
        };
        while may_continue() && !self.parts.events.is_closed() {
            match self.fetch(place.as_ref(), after).await {
                Ok(None) => info!("store_watch_repeated"),
                Ok(Some(next)) => {
                    self.record_success();
                    after = Some(next);
                    self.revision = Some(next);
                    if !std::mem::replace(&mut is_announced, true) {
                        self.announce();
                    }
                }
                Err(StoreError::HistoryGone) => {
                    info!("store_history_gone");
                    after = None;
                }
                Err(error) => {
                    self.record_failure(&error);
                    self.parts.mirror.handle_watch_failure();
                    // A second failure would take longer than the newest proof is valid.
                    let max_failures = match self.parts.revocation_limit {
                        Some(_) => 1,
                        None => MAX_READ_FAILURES,
                    };
                    let mut has_followed =
                        self.failures >= max_failures && self.follow_others().await;
                    if !has_followed && self.pause().await {
                        has_followed = self.follow_others().await;
                    }
                    if has_followed {
                        // The mirror missed the changes that came while following.
                        after = None;
                    }
                }
            }
        }
        self.parts.mirror.set_reader(false);
    }

    /// Reads the list of all entries, or waits for changes after a revision.
    ///
    /// Returns the revision up to which changes are applied then. Returns `None` if the call may
    /// have been lost in an outage of the store that is over, or if `place` has ended.
    async fn fetch(
        &mut self,
        place: Option<&ReaderPlace>,
        after: Option<StoreRevision>,
    ) -> Result<Option<StoreRevision>, StoreError> {
        let prefix = self.parts.format.watched_prefix();
        let Some(after) = after else {
            let sent_at = clock::now();
            let (entries, revision) = self.parts.store.list(prefix).await?;
            self.parts.mirror.replace(&entries, revision);
            self.replace_entries(entries);
            self.prove(sent_at);
            self.call_time = clock::now().since(sent_at);
            return Ok(Some(revision));
        };
        let interruption = async {
            match place {
                Some(place) => place.wait_until_regained().await,
                None => std::future::pending().await,
            }
        };
        let wait = match place {
            Some(_) => self.parts.wait,
            None => self.parts.wait.min(UNPLACED_WATCH_WAIT),
        };
        let sent_at = clock::now();
        let wait = match self.parts.revocation_limit {
            Some(limit) => {
                let age = self.proved_at.map(|at| sent_at.since(at));
                next_watch_wait(wait, limit, age, self.call_time)
            }
            None => wait,
        };
        let changes = tokio::select! {
            changes = self.parts.store.watch(prefix, after, wait) => changes?,
            () = interruption => return Ok(None),
        };
        let received_at = clock::now();
        let has_events = !changes.is_empty();
        if !has_events {
            self.call_time = received_at.since(sent_at + wait);
        }
        let proved_at = watch_proof(sent_at, received_at, wait, has_events);
        let last = changes.iter().map(|change| change.revision).max();
        let next = last.map_or(after, |last| last.max(after));
        self.parts.mirror.apply_changes(&changes, next);
        let is_urgent = self.apply_changes(changes);
        self.prove(proved_at);
        if last.is_some() && !is_urgent {
            sleep(BATCH_PAUSE).await;
        }
        Ok(Some(next))
    }

    fn replace_entries(&mut self, entries: Vec<StoreEntry>) {
        let mut targets = Vec::new();
        self.members.clear();
        let mut catalog = None;
        let mut sizes = Vec::new();
        for entry in entries {
            let known = &self.parts.known;
            known.record(&entry.path, entry.revision, &entry.value);
            sizes.extend(decode_size(&entry.path, &entry.value));
            if entry.path.starts_with(MEMBERS_PREFIX) {
                self.members.record(&entry.path, Some(&entry.value));
                continue;
            }
            match self.parts.format.decode(&entry.path, Some(&entry.value)) {
                StoreValue::Catalog(read) => catalog = Some(read),
                StoreValue::Target(target) => targets.push(target),
                StoreValue::TargetRemoved(_) | StoreValue::Other => {}
            }
        }
        info!(
            "store_listed targets={} instances={} sizes={} has_catalog={}",
            targets.len(),
            self.members.members().len(),
            sizes.len(),
            catalog.is_some()
        );
        self.has_listed_targets = !targets.is_empty();
        self.report_members();
        if let Some(catalog) = catalog {
            self.report(GatewayEvent::CatalogRead(catalog));
        }
        // Before the targets, so that no decision counts them without the sizes.
        self.report(GatewayEvent::GroupSizesRead(sizes));
        self.report(GatewayEvent::TargetsRead(targets));
    }

    /// Reports changes; returns true if one of them is urgent.
    fn apply_changes(&mut self, changes: Vec<StoreChange>) -> bool {
        let is_member = |change: &StoreChange| change.path.starts_with(MEMBERS_PREFIX);
        let (members, others) = changes.into_iter().partition::<Vec<_>, _>(is_member);
        for change in &members {
            self.members.record(&change.path, change.value.as_deref());
        }
        if !members.is_empty() {
            self.report_members();
        }
        let mut is_urgent = false;
        for change in others {
            is_urgent |= self.apply_change(change);
        }
        is_urgent
    }

    /// Reports a change; returns true if it is urgent: a new primary or a draining target.
    fn apply_change(&mut self, change: StoreChange) -> bool {
        let value = change.value.as_deref();
        if let Some(value) = value {
            let known = &self.parts.known;
            known.record(&change.path, change.revision, value);
        }
        if let Some((group, size)) = value.and_then(|value| decode_size(&change.path, value)) {
            self.report(GatewayEvent::GroupSizeRead(group, size));
        }
        match self
            .parts
            .format
            .decode(&change.path, change.value.as_deref())
        {
            StoreValue::Catalog(catalog) => self.report(GatewayEvent::CatalogRead(catalog)),
            StoreValue::Target(target) => {
                let is_urgent = self.has_listed_targets
                    && (target.role == Some(TargetRole::Primary)
                        || target.state == TargetState::Draining);
                self.report(GatewayEvent::TargetListed(target));
                return is_urgent;
            }
            StoreValue::TargetRemoved(target) => {
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
        // `run` ends when the channel is closed.
        let _is_received = self.parts.events.send(RunnerEvent::Gateway(event)).is_ok();
    }
}
