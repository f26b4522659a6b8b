//! Copy of the store's entries that an instance passes on to followers of its data centre.
//!
//! A reader of the store keeps the copy. Followers get the whole of it once, each change after that, and
//! in each [`CONFIRM_INTERVAL`] a frame that says that the store still answers the reader. A reader that
//! still waits for the entries says that as often, so that nobody else reads them meanwhile. The store's
//! calls, and the bytes between regions, so grow with data centres instead of instances.

use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use log::warn;
use tokio::sync::mpsc::UnboundedSender;

use heatherhollow_ports::StoreChange;
use heatherhollow_ports::StoreEntry;
use heatherhollow_ports::StoreRevision;

use crate::frames::EntryFrame;
use crate::frames::FrameBody;
use crate::frames::StateFrame;
use crate::frames::StatePart;
use crate::packing::PART_BYTES;
use crate::packing::pack_entries;

/// Time between two confirmations. Several of them fit into the time in which a configuration has to be
/// in force.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);

/// Size from which plain entries go into another frame, in bytes; bounds what a slow follower buffers.
const FRAME_BYTES: usize = 32 << 10;

/// Copy of the entries, shared by the task that reads the store and the one that serves links.
#[derive(Default)]
pub struct StoreMirror(Mutex<MirrorState>);

/// Part of an instance in the spreading of entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum MirrorRole {
    /// Not known yet; followers wait.
    #[default]
    Starting,
    /// It reads the store for others.
    Reader,
    /// It serves nobody.
    Follower,
}

#[derive(Default)]
struct MirrorState {
    role: MirrorRole,
    /// Whether the store answered the last watch.
    is_watched: bool,
    /// Whether the store answered the last renewal of the reader's place.
    is_confirmed: bool,
    /// Revision that the entries are of; none before the first list.
    revision: Option<StoreRevision>,
    /// Sorted by path; those without a value are removed.
    entries: Vec<EntryFrame>,
    followers: Vec<StoreFollower>,
    /// Followers that know a later revision than the copy has, with that revision.
    ahead: Vec<(u64, StoreFollower)>,
    /// All entries in packed frames, with their revision, until they change.
    packed: Option<(StoreRevision, Vec<StateFrame>)>,
}

/// A follower's link.
pub struct StoreFollower {
    /// Takes frames for it.
    pub sender: UnboundedSender<FrameBody>,
    /// Whether it takes packed entries; one of an earlier version does not.
    pub takes_packed: bool,
}

impl StoreFollower {
    /// Whether the link still takes frames.
    fn send(&self, body: FrameBody) -> bool {
        self.sender.send(body).is_ok()
    }
}

impl StoreMirror {
    /// Starts or ends serving followers. The store has just answered one that starts; followers that came
    /// before wait for its entries.
    pub fn set_reader(&self, is_reader: bool) {
        let mut state = self.lock();
        if !is_reader {
            state.detach();
        }
        let ahead = std::mem::take(&mut state.ahead);
        *state = MirrorState {
            role: match is_reader {
                true => MirrorRole::Reader,
                false => MirrorRole::Follower,
            },
            is_confirmed: is_reader,
            ahead,
            ..MirrorState::default()
        };
        state.put_off();
    }

    /// Adds a follower that knows the entries up to a revision.
    pub fn follow(&self, known: u64, follower: StoreFollower) {
        let mut state = self.lock();
        let is_detached = state.role == MirrorRole::Follower;
        if is_detached || (state.revision.is_some() && !state.is_current()) {
            // The link has ended if nobody receives.
            let _is_received = follower.send(FrameBody::Detached(true));
            return;
        }
        state.ahead.push((known, follower));
        state.admit();
        if state.role == MirrorRole::Reader {
            state.put_off();
        }
    }

    /// Takes the whole list of entries.
    pub fn replace(&self, entries: &[StoreEntry], revision: StoreRevision) {
        let mut state = self.lock();
        if state.role != MirrorRole::Reader {
            return;
        }
        state.entries = entries.iter().map(entry_frame).collect();
        state.entries.sort_by(|a, b| a.path.cmp(&b.path));
        state.revision = Some(revision);
        state.is_watched = true;
        // What followers know may not be in the list any more.
        let followers = std::mem::take(&mut state.followers);
        let again = followers.into_iter().map(|follower| (0, follower));
        state.ahead.extend(again);
        state.admit();
    }

    /// Takes changes up to a revision.
    pub fn apply(&self, changes: &[StoreChange], revision: StoreRevision) {
        let mut state = self.lock();
        if state.role != MirrorRole::Reader || state.revision.is_none() {
            return;
        }
        let frames = changes.iter().map(change_frame).collect::<Vec<_>>();
        for frame in &frames {
            state.take(frame.clone());
        }
        state.revision = Some(revision);
        state.is_watched = true;
        if !frames.is_empty() {
            state.send(frames);
        }
        state.admit();
    }

    /// The store answered a renewal of the reader's place.
    pub fn confirm(&self) {
        let mut state = self.lock();
        state.is_confirmed = true;
        state.put_off();
        if state.is_current() {
            state.send(Vec::new());
        }
    }

    /// The store did not answer a renewal: followers may find another reader whom it answers.
    pub fn lose_confirmation(&self) {
        let mut state = self.lock();
        state.is_confirmed = false;
        state.detach();
    }

    /// The store did not answer a watch.
    pub fn lose_watch(&self) {
        let mut state = self.lock();
        state.is_watched = false;
        state.detach();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, MirrorState> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

impl MirrorState {
    fn is_current(&self) -> bool {
        self.is_watched && self.is_confirmed
    }

    fn send(&mut self, entries: Vec<EntryFrame>) {
        let body = FrameBody::State(StateFrame {
            part: StatePart::Changes as i32,
            revision: self.revision.unwrap_or_default().0,
            entries,
            packed: Bytes::new(),
        });
        self.followers
            .retain(|follower| follower.send(body.clone()));
    }

    /// Tells followers that the entries are still being read.
    fn put_off(&mut self) {
        let body = FrameBody::State(StateFrame {
            part: StatePart::Changes as i32,
            ..StateFrame::default()
        });
        self.ahead
            .retain(|(_, follower)| follower.send(body.clone()));
    }

    fn detach(&mut self) {
        let count = self.followers.len() + self.ahead.len();
        if count > 0 {
            info!("followers_detached count={count}");
        }
        let ahead = std::mem::take(&mut self.ahead);
        let ahead = ahead.into_iter().map(|(_, follower)| follower);
        for follower in self.followers.drain(..).chain(ahead) {
            let _is_received = follower.send(FrameBody::Detached(true));
        }
    }

    fn take(&mut self, frame: EntryFrame) {
        let found = self
            .entries
            .binary_search_by(|known| known.path.cmp(&frame.path));
        match (found, frame.value.is_some()) {
            (Ok(i), true) => self.entries[i] = frame,
            (Ok(i), false) => {
                self.entries.remove(i);
            }
            (Err(i), true) => self.entries.insert(i, frame),
            (Err(_), false) => {}
        }
    }

    /// Sends the entries to followers that know no later ones.
    fn admit(&mut self) {
        let Some(revision) = self.revision else {
            return;
        };
        let (ready, ahead) = std::mem::take(&mut self.ahead)
            .into_iter()
            .partition::<Vec<_>, _>(|(known, _)| *known <= revision.0);
        self.ahead = ahead;
        if ready.is_empty() {
            return;
        }
        for (_, follower) in ready {
            let frames = match follower.takes_packed {
                true => self.packed_frames(revision),
                false => snapshot_frames(&self.entries, revision, FRAME_BYTES),
            };
            let mut frames = frames.into_iter().map(FrameBody::State);
            if frames.all(|frame| follower.send(frame)) {
                self.followers.push(follower);
            }
        }
    }

    /// All entries in packed frames; they are packed once for all followers that start together.
    fn packed_frames(&mut self, revision: StoreRevision) -> Vec<StateFrame> {
        match &self.packed {
            Some((known, frames)) if *known == revision => frames.clone(),
            _ => {
                let frames = snapshot_frames(&self.entries, revision, PART_BYTES);
                let frames = frames.into_iter().map(packed_frame).collect::<Vec<_>>();
                self.packed = Some((revision, frames.clone()));
                frames
            }
        }
    }
}

/// The entries in frames of bounded size, the last of which says that it is the last.
fn snapshot_frames(
    entries: &[EntryFrame],
    revision: StoreRevision,
    most_bytes: usize,
) -> Vec<StateFrame> {
    let frame = |part: StatePart, entries| StateFrame {
        part: part as i32,
        revision: revision.0,
        entries,
        packed: Bytes::new(),
    };
    let mut frames = Vec::new();
    let mut part = Vec::new();
    let mut size = 0;
    for entry in entries {
        size += entry.path.len() + entry.value.as_ref().map_or(0, Bytes::len);
        part.push(entry.clone());
        if size >= most_bytes {
            frames.push(frame(StatePart::Snapshot, std::mem::take(&mut part)));
            size = 0;
        }
    }
    frames.push(frame(StatePart::SnapshotEnd, part));
    frames
}

fn packed_frame(frame: StateFrame) -> StateFrame {
    match pack_entries(frame.entries.clone()) {
        Ok(packed) => StateFrame {
            entries: Vec::new(),
            packed,
            ..frame
        },
        Err(error) => {
            // Followers that take packed entries take plain ones as well.
            warn!("entries_not_packed error={error}");
            frame
        }
    }
}

fn entry_frame(entry: &StoreEntry) -> EntryFrame {
    EntryFrame {
        path: entry.path.clone(),
        value: Some(Bytes::from(entry.value.clone())),
        revision: entry.revision.0,
    }
}

fn change_frame(change: &StoreChange) -> EntryFrame {
    EntryFrame {
        path: change.path.clone(),
        value: change.value.clone().map(Bytes::from),
        revision: change.revision.0,
    }
}
