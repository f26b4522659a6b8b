//! Link of a follower to a reader of the store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use tokio::time::timeout;

use heatherhollow_ports::StoreChange;
use heatherhollow_ports::StoreEntry;
use heatherhollow_ports::StoreRevision;
use heatherhollow_types::MonoTime;

use crate::clock;
use crate::frames::EntryFrame;
use crate::frames::FrameBody;
use crate::frames::StateFrame;
use crate::frames::StatePart;
use crate::links::FrameStream;
use crate::links::decode_frame;
use crate::links::encode_frame;
use crate::links::framed;
use crate::links::open_link;
use crate::mirror::CONFIRM_INTERVAL;
use crate::packing::unpack_entries;
use crate::proof::ProofRequest;

/// Time without a frame after which a reader counts as lost.
///
/// It allows for one missing confirmation, or one that a slow store delays, and leaves time to
/// follow another reader before a configuration has to be in force.
const SILENCE_LIMIT: Duration = CONFIRM_INTERVAL.saturating_mul(2);

/// Largest snapshot, in bytes of paths and values; several times the entries of a large store.
const MAX_SNAPSHOT_BYTES: usize = 32 << 20;

/// Bytes that an entry takes beside its path and its value.
const ENTRY_OVERHEAD: usize = 64;

/// Error of a link whose reader serves no followers.
const DETACHED: &str = "the reader lost the store";

/// Error of a link whose reader is about to stop.
const LEAVING: &str = "leaving";

/// Update that a reader sends to a follower.
pub enum ReaderUpdate {
    /// All entries.
    Snapshot(Vec<StoreEntry>, StoreRevision),
    /// Changes since the last update; an empty list confirms that nothing has changed.
    Changes(Vec<StoreChange>, StoreRevision),
    /// The store had no newer entries at this time than those received so far.
    Proof(MonoTime),
    /// The reader has no entries yet; the follower waits for them.
    Wait,
}

/// Link to a reader.
pub struct ReaderLink {
    frames: FrameStream,
    /// First frame, if it was waited for.
    answer: Option<FrameBody>,
    /// Entries of a snapshot whose last frame has not arrived.
    partial: Vec<StoreEntry>,
    /// Request for a proof in progress; `None` if the follower asks for none.
    proof: Option<ProofRequest>,
    /// Size of these entries, in bytes.
    partial_bytes: usize,
}

impl ReaderLink {
    /// Connects to a reader and asks for its entries, which must not be older than revision
    /// `known`. With a revocation limit, also asks for proofs that the entries are the newest, which
    /// a reader of an earlier version answers by closing the link.
    pub async fn open(
        address: SocketAddr,
        known: StoreRevision,
        revocation_limit: Option<Duration>,
    ) -> Result<Self, String> {
        let stream = open_link(address)
            .await
            .map_err(|error| error.to_string())?;
        let mut frames = framed(stream);
        frames
            .send(encode_frame(FrameBody::FollowPacked(known.0)))
            .await
            .map_err(|error| error.to_string())?;
        let mut link = Self {
            frames,
            answer: None,
            partial: Vec::new(),
            partial_bytes: 0,
            proof: revocation_limit.map(|limit| ProofRequest::new(limit, clock::now())),
        };
        link.request_proof().await?;
        Ok(link)
    }

    async fn request_proof(&mut self) -> Result<(), String> {
        let Some(request) = &self.proof else {
            return Ok(());
        };
        let frame = encode_frame(request.frame());
        let sent = self.frames.send(frame).await;
        sent.map_err(|error| error.to_string())
    }

    /// Waits until the reader sends the first of its entries; returns an error if it serves no
    /// followers.
    pub async fn wait_for_answer(&mut self) -> Result<(), String> {
        loop {
            match self.receive(SILENCE_LIMIT).await? {
                FrameBody::State(state) if is_wait(&state) => {}
                FrameBody::Detached(_) => return Err(DETACHED.to_string()),
                FrameBody::Leaving(_) => return Err(LEAVING.to_string()),
                other => {
                    self.answer = Some(other);
                    return Ok(());
                }
            }
        }
    }

    /// Returns the next frame, or an error if none arrives within `limit`.
    async fn receive(&mut self, limit: Duration) -> Result<FrameBody, String> {
        if let Some(answer) = self.answer.take() {
            return Ok(answer);
        }
        let frame = timeout(limit, self.frames.next())
            .await
            .map_err(|_| match limit < SILENCE_LIMIT {
                true => "no proof".to_string(),
                false => "silent".to_string(),
            })?
            .ok_or_else(|| "closed".to_string())?;
        decode_frame(frame.map_err(|error| error.to_string())?)
    }

    /// Returns the next update, or an error if the reader is lost, leaves or has lost the store.
    pub async fn next(&mut self) -> Result<ReaderUpdate, String> {
        loop {
            let now = clock::now();
            let proof_limit = self.proof.as_ref().and_then(|proof| proof.time_left(now));
            let limit = proof_limit.map_or(SILENCE_LIMIT, |limit| limit.min(SILENCE_LIMIT));
            match self.receive(limit).await? {
                FrameBody::State(state) => {
                    if let Some(update) = self.handle_state(state)? {
                        if let (Some(request), false) =
                            (&mut self.proof, matches!(update, ReaderUpdate::Wait))
                        {
                            request.expect_answer(clock::now());
                        }
                        return Ok(update);
                    }
                }
                FrameBody::Proof(answer) if self.proof.is_some() => {
                    let now = clock::now();
                    let request = self.proof.as_mut();
                    if let Some(at) = request.and_then(|r| r.handle_answer(&answer, now)) {
                        self.request_proof().await?;
                        return Ok(ReaderUpdate::Proof(at));
                    }
                }
                // The other side asks all that opened links to it; it is about to detach this follower.
                FrameBody::ReadersRequest(_) => {}
                FrameBody::Detached(_) => return Err(DETACHED.to_string()),
                FrameBody::Leaving(_) => return Err(LEAVING.to_string()),
                other => return Err(format!("unexpected frame {}", other.kind())),
            }
        }
    }

    /// Returns the update of a frame; `None` for a snapshot that continues in another frame.
    fn handle_state(&mut self, state: StateFrame) -> Result<Option<ReaderUpdate>, String> {
        let revision = StoreRevision(state.revision);
        let part = state.part();
        Ok(match part {
            StatePart::Changes if is_wait(&state) => Some(ReaderUpdate::Wait),
            StatePart::Changes => {
                let changes = state.entries.into_iter().map(decode_change).collect();
                Some(ReaderUpdate::Changes(changes, revision))
            }
            StatePart::Snapshot | StatePart::SnapshotEnd => {
                let packed = match state.packed.is_empty() {
                    true => Vec::new(),
                    false => unpack_entries(&state.packed)?,
                };
                for frame in state.entries.into_iter().chain(packed) {
                    let entry = decode_entry(frame)?;
                    self.partial_bytes += entry.path.len() + entry.value.len() + ENTRY_OVERHEAD;
                    if self.partial_bytes > MAX_SNAPSHOT_BYTES {
                        return Err("the snapshot is too large".to_string());
                    }
                    self.partial.push(entry);
                }
                let is_end = part == StatePart::SnapshotEnd;
                if is_end {
                    self.partial_bytes = 0;
                }
                is_end.then(|| ReaderUpdate::Snapshot(std::mem::take(&mut self.partial), revision))
            }
        })
    }
}

/// Returns whether a frame says that the reader still waits for the entries itself.
fn is_wait(state: &StateFrame) -> bool {
    state.part() == StatePart::Changes && StoreRevision(state.revision) == StoreRevision::default()
}

fn decode_entry(frame: EntryFrame) -> Result<StoreEntry, String> {
    let value = frame.value.ok_or("an entry of a snapshot has no value")?;
    Ok(StoreEntry {
        path: frame.path,
        value: Vec::from(value),
        revision: StoreRevision(frame.revision),
    })
}

fn decode_change(frame: EntryFrame) -> StoreChange {
    StoreChange {
        path: frame.path,
        value: frame.value.map(|value: Bytes| Vec::from(value)),
        revision: StoreRevision(frame.revision),
    }
}
