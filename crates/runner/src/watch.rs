//! Keeps the gateway's view of the store: declarations, targets and the count of instances.
//!
//! A few instances of a data centre read the store; the others follow one of them. An instance that
//! loses its reader asks the next one; one that reaches none reads the store itself, and one that the
//! store does not answer follows a reader whom it answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::debug;
use log::info;
use rand::seq::SliceRandom;
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

use crate::clients::RunnerEvent;
use crate::clock;
use crate::follow::ReaderLink;
use crate::follow::ReaderNews;
use crate::formats::CatalogFormat;
use crate::formats::StoreValue;
use crate::membership::MEMBERS_PREFIX;
use crate::membership::MemberList;
use crate::mirror::StoreMirror;
use crate::readers::ReaderChoice;
use crate::readers::ReaderPlace;
use crate::readers::ReaderPlaces;

/// Pause after the first failed call; it doubles with each failure up to [`MAX_PAUSE`], with jitter, so
/// that an outage is not filled with calls, each of which is paid for.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Failed calls in a row after which a reader looks for another one whom the store answers.
const FAILED_READS: u32 = 2;

/// Pause before the readers of the data centre are tried again when none could be followed.
const FOLLOW_PAUSE: Duration = Duration::from_millis(150);

/// Time after which an instance that finds no reader reads the store itself. Readers that were stopped
/// together with it have started by then.
const FOLLOW_LIMIT: Duration = Duration::from_millis(1_000);

/// Time for which a reader waits for a sign of another one before it reads the list itself; the other may
/// be starting too.
const COPY_LIMIT: Duration = Duration::from_millis(400);

/// Time for which a reader waits for the entries of another one that reads them. A link of 30 Mbit/s
/// carries 15 MB in it, several times the entries of a large deployment.
const COPY_TIME: Duration = Duration::from_secs(4);

/// Time for which an instance without a place reads the store before it looks for a reader again.
const UNPLACED_READ_TIME: Duration = Duration::from_secs(10);

/// Pause before the next call after changes that are not urgent. Instances that start together and
/// configurations that follow one another then cost one call instead of one each; a configuration has
/// seconds to come into force.
const GATHER_PAUSE: Duration = Duration::from_millis(400);

/// What a [`StoreWatch`] works with.
pub struct WatchParts {
    /// The store.
    pub store: Arc<dyn StorePort>,
    /// Format of its values.
    pub format: Arc<dyn CatalogFormat>,
    /// Where changes are reported.
    pub events: UnboundedSender<RunnerEvent>,
    /// Readers of the data centre.
    pub places: ReaderPlaces,
    /// Copy for followers.
    pub mirror: Arc<StoreMirror>,
    /// Longest wait of a watch.
    pub wait: Duration,
}

/// Watches the store, or follows a reader, and reports what changes.
pub struct StoreWatch {
    parts: WatchParts,
    members: MemberList,
    /// Readers of the data centre that were seen, sorted by place.
    readers: Vec<(String, SocketAddr)>,
    /// Whether targets were found in the list; before that they come one by one.
    is_listed: bool,
    /// Revision up to which changes have been taken.
    revision: Option<StoreRevision>,
    /// Calls that failed in a row.
    failures: u32,
    /// Since when no reader could be followed.
    unfollowed_since: Option<Instant>,
}

impl StoreWatch {
    /// A watch that has seen nothing.
    pub fn new(parts: WatchParts) -> Self {
        Self {
            parts,
            members: MemberList::default(),
            readers: Vec::new(),
            is_listed: false,
            revision: None,
            failures: 0,
            unfollowed_since: None,
        }
    }

    /// Runs until the main loop ends.
    pub async fn run(mut self) {
        let mut is_start = true;
        while !self.parts.events.is_closed() {
            let choice = self.parts.places.choose(is_start).await;
            is_start = false;
            match choice {
                Ok(ReaderChoice::Reads(place, earlier)) => {
                    self.note_answer();
                    self.parts.mirror.set_reader(true);
                    let known = self.copy_entries(&earlier).await;
                    self.read(Some(place), known).await;
                }
                Ok(ReaderChoice::Follows(readers)) => {
                    self.note_answer();
                    self.parts.mirror.set_reader(false);
                    self.follow_or_read(readers).await;
                }
                Err(error) => {
                    self.note_failure(&error);
                    self.parts.mirror.set_reader(false);
                    let readers = self.known_readers();
                    if !self.follow_any(readers).await {
                        self.pause().await;
                    }
                }
            }
        }
    }

    fn note_answer(&mut self) {
        if self.failures > 0 {
            info!("store_regained failures={}", self.failures);
        }
        self.failures = 0;
    }

    fn note_failure(&mut self, error: &StoreError) {
        if self.failures == 0 {
            info!("store_lost error={:?}", error.to_string());
        }
        self.failures += 1;
    }

    async fn pause(&self) {
        let pause = FIRST_PAUSE
            .saturating_mul(1 << self.failures.min(5))
            .min(MAX_PAUSE);
        sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
    }

    async fn follow_or_read(&mut self, readers: Vec<SocketAddr>) {
        if self.follow_any(readers).await {
            return;
        }
        let since = *self.unfollowed_since.get_or_insert_with(Instant::now);
        if since.elapsed() < FOLLOW_LIMIT {
            sleep(FOLLOW_PAUSE).await;
        } else {
            info!("store_read_without_place");
            self.read(None, self.revision).await;
        }
    }

    fn known_readers(&self) -> Vec<SocketAddr> {
        let mut readers = self
            .readers
            .iter()
            .map(|(_, address)| *address)
            .filter(|address| *address != self.parts.places.own.address)
            .collect::<Vec<_>>();
        readers.shuffle(&mut rand::rng());
        readers
    }

    /// Follows the first of some readers that sends anything, until it is lost; false if none does.
    async fn follow_any(&mut self, readers: Vec<SocketAddr>) -> bool {
        for reader in readers {
            if self.follow(reader).await {
                return true;
            }
        }
        false
    }

    async fn follow(&mut self, reader: SocketAddr) -> bool {
        let mut is_followed = false;
        let error = match ReaderLink::open(reader, self.revision.unwrap_or_default()).await {
            Ok(mut link) => loop {
                match link.next().await {
                    Ok(ReaderNews::Waiting) => {}
                    Ok(news) => {
                        if !is_followed {
                            info!("reader_followed reader={reader}");
                            is_followed = true;
                            self.unfollowed_since = None;
                        }
                        self.take_news(news);
                    }
                    Err(error) => break error,
                }
                if self.parts.events.is_closed() {
                    return true;
                }
            },
            Err(error) => error,
        };
        info!("reader_lost reader={reader} was_followed={is_followed} error={error:?}");
        is_followed
    }

    /// Takes the entries from a reader that holds an earlier place, so that the list of all entries
    /// crosses to another region once and not once for each place; none if no such reader has or reads them.
    async fn copy_entries(&mut self, earlier: &[SocketAddr]) -> Option<StoreRevision> {
        let known = self.revision.unwrap_or_default();
        // Some of them may wait for others' entries themselves, so all are asked at once.
        let mut copies = earlier
            .iter()
            .map(|reader| Box::pin(copy_from(*reader, known)))
            .collect::<FuturesUnordered<_>>();
        let copied = loop {
            if let Some(copied) = copies.next().await? {
                break copied;
            }
        };
        let (reader, entries, revision) = copied;
        info!("entries_copied reader={reader}");
        self.parts.mirror.replace(&entries, revision);
        self.replace_all(entries);
        self.revision = Some(revision);
        self.revision
    }

    fn take_news(&mut self, news: ReaderNews) {
        match news {
            ReaderNews::Snapshot(entries, revision) => {
                self.replace_all(entries);
                self.revision = Some(revision);
            }
            ReaderNews::Changes(changes, revision) => {
                self.apply_all(changes);
                self.revision = self.revision.max(Some(revision));
            }
            ReaderNews::Waiting => {}
        }
    }

    /// Reads the store: with a place as long as that is held, without one for a while.
    ///
    /// Reads the list first if no entries are known.
    async fn read(&mut self, place: Option<ReaderPlace>, known: Option<StoreRevision>) {
        let until = Instant::now() + UNPLACED_READ_TIME;
        let mut after = known;
        let goes_on = || match &place {
            Some(place) => place.is_held(),
            None => Instant::now() < until,
        };
        while goes_on() && !self.parts.events.is_closed() {
            match self.step(after).await {
                Ok(next) => {
                    self.note_answer();
                    after = Some(next);
                    self.revision = Some(next);
                }
                Err(StoreError::HistoryGone) => {
                    info!("store_history_gone");
                    after = None;
                }
                Err(error) => {
                    self.note_failure(&error);
                    self.parts.mirror.lose_watch();
                    let readers = self.known_readers();
                    let has_followed =
                        self.failures >= FAILED_READS && self.follow_any(readers).await;
                    if has_followed {
                        // The copy for followers has missed changes.
                        after = None;
                    } else {
                        self.pause().await;
                    }
                }
            }
        }
        self.parts.mirror.set_reader(false);
    }

    /// Reads the list, or waits for changes after a revision.
    async fn step(&mut self, after: Option<StoreRevision>) -> Result<StoreRevision, StoreError> {
        let prefix = self.parts.format.watched_prefix();
        let Some(after) = after else {
            let (entries, revision) = self.parts.store.list(prefix).await?;
            self.parts.mirror.replace(&entries, revision);
            self.replace_all(entries);
            return Ok(revision);
        };
        let changes = self
            .parts
            .store
            .watch(prefix, after, self.parts.wait)
            .await?;
        let last = changes.iter().map(|change| change.revision).max();
        let next = last.map_or(after, |last| last.max(after));
        self.parts.mirror.apply(&changes, next);
        let is_urgent = self.apply_all(changes);
        if last.is_some() && !is_urgent {
            sleep(GATHER_PAUSE).await;
        }
        Ok(next)
    }

    fn replace_all(&mut self, entries: Vec<StoreEntry>) {
        let mut targets = Vec::new();
        self.members.clear();
        let mut catalog = None;
        for entry in entries {
            self.note_reader(&entry.path, Some(&entry.value));
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

    /// Reports changes; true if one of them is about who leads or leaves.
    fn apply_all(&mut self, changes: Vec<StoreChange>) -> bool {
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
            is_urgent |= self.apply(change);
        }
        is_urgent
    }

    /// Remembers who holds a place; a place whose lease ended is tried as well, as its holder may live.
    fn note_reader(&mut self, path: &str, value: Option<&[u8]>) {
        let Some((path, reader)) = self.parts.places.decode_reader(path, value) else {
            return;
        };
        match self.readers.binary_search_by(|(known, _)| known.cmp(&path)) {
            Ok(i) => self.readers[i].1 = reader,
            Err(i) => self.readers.insert(i, (path, reader)),
        }
    }

    /// Reports a change; true if it is about who leads or leaves.
    fn apply(&mut self, change: StoreChange) -> bool {
        self.note_reader(&change.path, change.value.as_deref());
        match self
            .parts
            .format
            .decode(&change.path, change.value.as_deref())
        {
            StoreValue::Catalog(catalog) => self.report(GatewayEvent::CatalogRead(catalog)),
            StoreValue::Target(target) => {
                let is_change = self.is_listed
                    && (target.role == Some(TargetRole::Primary)
                        || target.state == TargetState::Draining);
                self.report(GatewayEvent::TargetListed(target));
                return is_change;
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
        // A closed channel ends the loop of `run`.
        let _is_received = self.parts.events.send(RunnerEvent::Gateway(event)).is_ok();
    }
}

/// Entries of a reader, with its address.
type CopiedEntries = (SocketAddr, Vec<StoreEntry>, StoreRevision);

/// Asks a reader for all its entries; none if it shows no sign soon, or does not get them in time.
async fn copy_from(reader: SocketAddr, known: StoreRevision) -> Option<CopiedEntries> {
    let (mut link, mut news) = timeout(COPY_LIMIT, first_news(reader, known)).await.ok()?;
    let copy = async {
        loop {
            match news {
                ReaderNews::Snapshot(entries, revision) => {
                    return Ok::<_, String>((reader, entries, revision));
                }
                ReaderNews::Changes(..) | ReaderNews::Waiting => news = link.next().await?,
            }
        }
    };
    match timeout(COPY_TIME, copy).await {
        Ok(Ok(copied)) => Some(copied),
        Ok(Err(error)) => {
            info!("entries_not_copied reader={reader} error={error:?}");
            None
        }
        Err(_) => {
            info!("entries_not_copied reader={reader} error=\"late\"");
            None
        }
    }
}

/// Asks a reader until it sends anything.
async fn first_news(reader: SocketAddr, known: StoreRevision) -> (ReaderLink, ReaderNews) {
    loop {
        let asked = async {
            let mut link = ReaderLink::open(reader, known).await?;
            let news = link.next().await?;
            Ok::<_, String>((link, news))
        };
        match asked.await {
            Ok(answered) => return answered,
            Err(error) => debug!("reader_not_answered reader={reader} error={error:?}"),
        }
        sleep(FOLLOW_PAUSE / 2).await;
    }
}
