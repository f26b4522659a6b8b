//! Copy of the store's entries that a reader of the store sends to followers of its data centre or region.
//!
//! A follower gets a snapshot once, then each change, and in each [`CONFIRM_INTERVAL`] a frame that
//! confirms that the store still answers the reader. While a reader waits for the entries itself,
//! it sends a waiting frame as often, so that its followers don't read the entries from the store.
//! Calls to the store and bytes between regions thus grow with the data centres or regions, not with
//! the instances.

use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use log::warn;

use heatherhollow_ports::StoreChange;
use heatherhollow_ports::StoreEntry;
use heatherhollow_ports::StoreRevision;
use heatherhollow_types::MonoTime;

use crate::frame_queue::FrameSender;
use crate::frames::EntryFrame;
use crate::frames::FrameBody;
use crate::frames::StateFrame;
use crate::frames::StatePart;
use crate::packing::PACKED_PART_BYTES;
use crate::packing::pack_entries;
use crate::proof::proof_frame;

/// Time between two confirmations.
///
/// Several of them fit into the time within which a configuration has to come into force.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);

/// Size of plain entries, in bytes, at which a frame is full; bounds what a slow follower buffers.
const PLAIN_FRAME_BYTES: usize = 32 << 10;

/// Copy of the entries, shared by the task that reads the store and the task that serves links.
#[derive(Default)]
pub struct StoreMirror(Mutex<MirrorState>);

/// Role of an instance in the distribution of entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum MirrorRole {
    /// The role is not known yet; followers wait.
    #[default]
    Starting,
    /// The instance reads the store and serves followers.
    Reader,
    /// The instance serves no followers.
    Follower,
}

#[derive(Default)]
struct MirrorState {
    role: MirrorRole,
    /// Whether the store answered the last list or watch call.
    is_watch_answered: bool,
    /// Whether the store answered the last renewal of the reader place's lease.
    is_renewal_answered: bool,
    /// Revision of the entries; `None` before the first list.
    revision: Option<StoreRevision>,
    /// Entries that exist, sorted by path.
    entries: Vec<EntryFrame>,
    /// Followers that have got a snapshot and get each change.
    followers: Vec<FollowerState>,
    /// Followers without a snapshot, with the revision that the copy must reach before they get
    /// one.
    pending: Vec<(u64, FollowerState)>,
    /// Latest time at which the entries are known to have been the newest; `None` if they were only
    /// copied from another reader.
    proved_at: Option<MonoTime>,
    /// Cached frames of a packed snapshot, valid while the entries have this revision.
    packed: Option<(StoreRevision, Vec<StateFrame>)>,
}

/// A follower and its request for a proof.
struct FollowerState {
    follower: StoreFollower,
    /// Number and arrival of the request that has not been answered.
    request: Option<(u64, MonoTime)>,
    /// Time of the last proof that was sent.
    proved_at: Option<MonoTime>,
}

impl FollowerState {
    fn send(&self, body: FrameBody) -> bool {
        self.follower.send(body)
    }
}

/// Link to a follower.
pub struct StoreFollower {
    /// Queue of frames to the follower.
    pub sender: FrameSender,
    /// Whether the follower accepts packed entries; earlier versions don't.
    pub accepts_packed: bool,
}

impl StoreFollower {
    /// Queues a frame; returns false if the link has ended.
    fn send(&self, body: FrameBody) -> bool {
        self.sender.send(body)
    }
}

impl StoreMirror {
    /// Starts or stops serving followers.
    ///
    /// A reader starts right after a call that the store answered. Followers that connected before
    /// wait for its entries; when the instance stops serving, all followers are detached.
    pub fn set_reader(&self, is_reader: bool) {
        let mut state = self.lock();
        if !is_reader {
            state.detach_followers();
        }
        let pending = std::mem::take(&mut state.pending);
        *state = MirrorState {
            role: match is_reader {
                true => MirrorRole::Reader,
                false => MirrorRole::Follower,
            },
            is_renewal_answered: is_reader,
            pending,
            ..MirrorState::default()
        };
        state.send_waiting();
    }

    /// Adds a follower that knows the entries up to revision `known`, or detaches it at once.
    pub fn follow(&self, known: u64, follower: StoreFollower) {
        let mut state = self.lock();
        let is_detached = state.role == MirrorRole::Follower;
        if is_detached || (state.revision.is_some() && !state.is_current()) {
            // A failed send means that the link has ended already.
            let _is_received = follower.send(FrameBody::Detached(true));
            return;
        }
        let follower = FollowerState {
            follower,
            request: None,
            proved_at: None,
        };
        state.pending.push((known, follower));
        state.send_snapshots();
        if state.role == MirrorRole::Reader {
            state.send_waiting();
        }
    }

    /// Replaces all entries and sends snapshots to the followers.
    pub fn replace(&self, entries: &[StoreEntry], revision: StoreRevision) {
        let mut state = self.lock();
        if state.role != MirrorRole::Reader {
            return;
        }
        state.entries = entries.iter().map(entry_frame).collect();
        state.entries.sort_by(|a, b| a.path.cmp(&b.path));
        state.revision = Some(revision);
        state.proved_at = None;
        state.is_watch_answered = true;
        // Followers may know entries that the list no longer contains.
        let followers = std::mem::take(&mut state.followers);
        let restarted = followers.into_iter().map(|follower| (0, follower));
        state.pending.extend(restarted);
        state.send_snapshots();
    }

    /// Applies changes up to a revision and sends them to the followers.
    pub fn apply_changes(&self, changes: &[StoreChange], revision: StoreRevision) {
        let mut state = self.lock();
        if state.role != MirrorRole::Reader || state.revision.is_none() {
            return;
        }
        let frames = changes.iter().map(change_frame).collect::<Vec<_>>();
        for frame in &frames {
            state.apply_entry(frame.clone());
        }
        state.revision = Some(revision);
        state.is_watch_answered = true;
        if !frames.is_empty() {
            state.send_changes(frames);
        }
        state.send_snapshots();
    }

    /// Records that the entries were the newest at a time, and answers the followers that asked.
    pub fn record_proof(&self, at: MonoTime) {
        let mut state = self.lock();
        if state.role == MirrorRole::Reader && state.revision.is_some() {
            state.proved_at = state.proved_at.max(Some(at));
            state.answer_requests();
        }
    }

    /// Handles a follower's request for a proof, which arrived on the link of this sender.
    ///
    /// It is answered at once if there is a proof that the follower has not got, otherwise with the
    /// next one.
    pub fn request_proof(&self, link: &FrameSender, number: u64, now: MonoTime) {
        let mut state = self.lock();
        let state = &mut *state;
        let pending = state.pending.iter_mut().map(|(_, follower)| follower);
        let mut followers = state.followers.iter_mut().chain(pending);
        let found = followers.find(|known| known.follower.sender.same_channel(link));
        // A follower that was detached leaves by itself.
        if let Some(follower) = found {
            follower.request = Some((number, now));
            state.answer_requests();
        }
    }

    /// Confirms to followers that the store answered a renewal of the place's lease.
    pub fn handle_renewal(&self) {
        let mut state = self.lock();
        state.is_renewal_answered = true;
        state.send_waiting();
        if state.is_current() {
            state.send_changes(Vec::new());
        }
    }

    /// Detaches followers after a failed renewal; another reader may still reach the store.
    pub fn handle_renewal_failure(&self) {
        let mut state = self.lock();
        state.is_renewal_answered = false;
        state.detach_followers();
    }

    /// Detaches followers after a failed list or watch call.
    pub fn handle_watch_failure(&self) {
        let mut state = self.lock();
        state.is_watch_answered = false;
        state.detach_followers();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, MirrorState> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

impl MirrorState {
    fn is_current(&self) -> bool {
        self.is_watch_answered && self.is_renewal_answered
    }

    /// Sends changes to the followers; an empty list is a confirmation.
    fn send_changes(&mut self, entries: Vec<EntryFrame>) {
        let body = FrameBody::State(StateFrame {
            part: StatePart::Changes as i32,
            revision: self.revision.unwrap_or_default().0,
            entries,
            packed: Bytes::new(),
        });
        self.followers
            .retain(|follower| follower.send(body.clone()));
    }

    /// Answers the requests of followers that have all changes which the newest proof covers.
    fn answer_requests(&mut self) {
        let Some(proved_at) = self.proved_at else {
            return;
        };
        self.followers.retain_mut(|follower| {
            if follower.proved_at >= Some(proved_at) {
                return true;
            }
            let Some((number, arrived_at)) = follower.request.take() else {
                return true;
            };
            follower.proved_at = Some(proved_at);
            let answer = proof_frame(number, arrived_at, proved_at);
            follower.send(FrameBody::Proof(answer))
        });
    }

    /// Sends pending followers a frame that says that the entries are still being read.
    fn send_waiting(&mut self) {
        let body = FrameBody::State(StateFrame {
            part: StatePart::Changes as i32,
            ..StateFrame::default()
        });
        self.pending
            .retain(|(_, follower)| follower.send(body.clone()));
    }

    fn detach_followers(&mut self) {
        let count = self.followers.len() + self.pending.len();
        if count > 0 {
            info!("followers_detached count={count}");
        }
        let pending = std::mem::take(&mut self.pending);
        let pending = pending.into_iter().map(|(_, follower)| follower);
        for follower in self.followers.drain(..).chain(pending) {
            let _is_received = follower.send(FrameBody::Detached(true));
        }
    }

    fn apply_entry(&mut self, frame: EntryFrame) {
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

    /// Sends snapshots to pending followers that know no later revision than the copy's.
    fn send_snapshots(&mut self) {
        let Some(revision) = self.revision else {
            return;
        };
        let (ready, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition::<Vec<_>, _>(|(known, _)| *known <= revision.0);
        self.pending = pending;
        if ready.is_empty() {
            return;
        }
        for (_, follower) in ready {
            let frames = match follower.follower.accepts_packed {
                true => self.packed_frames(revision),
                false => snapshot_frames(&self.entries, revision, PLAIN_FRAME_BYTES),
            };
            let mut frames = frames.into_iter().map(FrameBody::State);
            if frames.all(|frame| follower.send(frame)) {
                self.followers.push(follower);
            }
        }
    }

    /// Returns a packed snapshot, which is cached for other followers at the same revision.
    fn packed_frames(&mut self, revision: StoreRevision) -> Vec<StateFrame> {
        match &self.packed {
            Some((known, frames)) if *known == revision => frames.clone(),
            _ => {
                let frames = snapshot_frames(&self.entries, revision, PACKED_PART_BYTES);
                let frames = frames.into_iter().map(packed_frame).collect::<Vec<_>>();
                self.packed = Some((revision, frames.clone()));
                frames
            }
        }
    }
}

/// Splits the entries into frames of bounded size, the last of which is marked as the end.
fn snapshot_frames(
    entries: &[EntryFrame],
    revision: StoreRevision,
    max_bytes: usize,
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
        if size >= max_bytes {
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
            // Followers that accept packed entries accept plain ones as well.
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
