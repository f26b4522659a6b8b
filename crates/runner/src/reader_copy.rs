//! Copies of all entries from another reader of the store.

use std::net::SocketAddr;
use std::time::Duration;

use log::debug;
use log::info;
use tokio::time::sleep;
use tokio::time::timeout;

use heatherhollow_ports::StoreEntry;
use heatherhollow_ports::StoreRevision;

use crate::follow::ReaderLink;
use crate::follow::ReaderUpdate;

/// Time within which another reader must send a first frame to a reader that asks for its entries.
///
/// The other reader may still be starting. After this time the list is read from the store.
const COPY_START_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for a reader to receive all entries from another reader.
///
/// A link of 30 Mbit/s carries 15 MB in this time, several times the entries of a large deployment.
const COPY_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause before a reader that sent nothing is asked again; a few tries fit into
/// [`COPY_START_TIMEOUT`].
const COPY_RETRY_PAUSE: Duration = Duration::from_millis(75);

/// Address of a reader, its entries and their revision.
pub type CopiedEntries = (SocketAddr, Vec<StoreEntry>, StoreRevision);

/// Copies all entries from a reader.
///
/// Returns `None` if the reader does not answer within [`COPY_START_TIMEOUT`], or does not send all
/// entries within [`COPY_TIMEOUT`].
pub async fn copy_entries_from(
    reader: SocketAddr,
    least_revision: StoreRevision,
) -> Option<CopiedEntries> {
    let (mut link, mut update) = timeout(COPY_START_TIMEOUT, first_update(reader, least_revision))
        .await
        .ok()?;
    let copy = async {
        loop {
            match update {
                ReaderUpdate::Snapshot(entries, revision) => {
                    return Ok::<_, String>((reader, entries, revision));
                }
                ReaderUpdate::Changes(..) | ReaderUpdate::Proof(_) | ReaderUpdate::Wait => {
                    update = link.next().await?;
                }
            }
        }
    };
    match timeout(COPY_TIMEOUT, copy).await {
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

/// Connects to a reader, again and again, until it sends a first update.
async fn first_update(
    reader: SocketAddr,
    least_revision: StoreRevision,
) -> (ReaderLink, ReaderUpdate) {
    loop {
        let attempt = async {
            // A copy is no proof, as the other reader may have read it some time ago.
            let mut link = ReaderLink::open(reader, least_revision, None).await?;
            let update = link.next().await?;
            Ok::<_, String>((link, update))
        };
        match attempt.await {
            Ok(answered) => return answered,
            Err(error) => debug!("reader_not_answered reader={reader} error={error:?}"),
        }
        sleep(COPY_RETRY_PAUSE).await;
    }
}
