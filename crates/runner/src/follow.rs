//! Connection of a follower to a reader of the store in its data centre.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use tokio::time::timeout;

use heatherhollow_ports::StoreChange;
use heatherhollow_ports::StoreEntry;
use heatherhollow_ports::StoreRevision;

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

/// Time without a frame after which a reader counts as lost: a confirmation is missing, or its answer
/// took as long as the store may be slow. Another reader is then asked, within the time in which a
/// configuration has to be in force.
const SILENCE_LIMIT: Duration = CONFIRM_INTERVAL.saturating_mul(2);

/// What a reader sends.
pub enum ReaderNews {
    /// All entries.
    Snapshot(Vec<StoreEntry>, StoreRevision),
    /// Changes after what was sent before; none of them mean that nothing has changed.
    Changes(Vec<StoreChange>, StoreRevision),
    /// It waits for the entries itself.
    Waiting,
}

/// A link to a reader.
pub struct ReaderLink {
    frames: FrameStream,
    /// Entries of a snapshot of which frames are missing.
    partial: Vec<StoreEntry>,
}

impl ReaderLink {
    /// Asks a reader for what comes after a revision.
    pub async fn open(address: SocketAddr, known: StoreRevision) -> Result<Self, String> {
        let stream = open_link(address).await?;
        let mut frames = framed(stream);
        frames
            .send(encode_frame(FrameBody::FollowPacked(known.0)))
            .await
            .map_err(|error| error.to_string())?;
        Ok(Self {
            frames,
            partial: Vec::new(),
        })
    }

    /// The next news; an error if the reader is lost, leaves or has lost the store.
    pub async fn next(&mut self) -> Result<ReaderNews, String> {
        loop {
            let frame = timeout(SILENCE_LIMIT, self.frames.next())
                .await
                .map_err(|_| "silent".to_string())?
                .ok_or_else(|| "closed".to_string())?;
            match decode_frame(frame.map_err(|error| error.to_string())?)? {
                FrameBody::State(state) => {
                    if let Some(news) = self.take(state)? {
                        return Ok(news);
                    }
                }
                FrameBody::Detached(_) => return Err("the store does not answer it".to_string()),
                FrameBody::Leaving(_) => return Err("leaving".to_string()),
                other => return Err(format!("unexpected frame {other:?}")),
            }
        }
    }

    fn take(&mut self, state: StateFrame) -> Result<Option<ReaderNews>, String> {
        let revision = StoreRevision(state.revision);
        let part = state.part();
        Ok(match part {
            StatePart::Changes if revision == StoreRevision::default() => Some(ReaderNews::Waiting),
            StatePart::Changes => {
                let changes = state.entries.into_iter().map(change_of).collect();
                Some(ReaderNews::Changes(changes, revision))
            }
            StatePart::Snapshot | StatePart::SnapshotEnd => {
                let packed = match state.packed.is_empty() {
                    true => Vec::new(),
                    false => unpack_entries(&state.packed)?,
                };
                for frame in state.entries.into_iter().chain(packed) {
                    self.partial.push(entry_of(frame)?);
                }
                let is_whole = part == StatePart::SnapshotEnd;
                is_whole.then(|| ReaderNews::Snapshot(std::mem::take(&mut self.partial), revision))
            }
        })
    }
}

fn entry_of(frame: EntryFrame) -> Result<StoreEntry, String> {
    let value = frame.value.ok_or("an entry of a snapshot has no value")?;
    Ok(StoreEntry {
        path: frame.path,
        value: Vec::from(value),
        revision: StoreRevision(frame.revision),
    })
}

fn change_of(frame: EntryFrame) -> StoreChange {
    StoreChange {
        path: frame.path,
        value: frame.value.map(|value: Bytes| Vec::from(value)),
        revision: StoreRevision(frame.revision),
    }
}
