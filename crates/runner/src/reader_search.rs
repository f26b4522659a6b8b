//! Search for a reader of the store that answers, among several that may not.
//!
//! With strict revocation, an instance has to find another reader, or read the store itself, before
//! its newest proof is too old. A reader that is frozen or unreachable must not take up that time,
//! so the next one is asked soon after it, and the first one that answers is followed.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::info;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use heatherhollow_ports::StoreRevision;

use crate::follow::ReaderLink;

/// Time after which the next reader is asked as well; several round trips between the data centres of
/// a region. All readers of a region are asked within the time for which they are searched.
const NEXT_READER_PAUSE: Duration = Duration::from_millis(50);

/// Returns a link to the first reader that answers within `limit`, asked in this order.
pub async fn first_to_answer(
    readers: Vec<SocketAddr>,
    known: StoreRevision,
    revocation_limit: Option<Duration>,
    limit: Duration,
) -> Option<(SocketAddr, ReaderLink)> {
    let ask = |reader: SocketAddr| async move {
        let answered = async {
            let mut link = ReaderLink::open(reader, known, revocation_limit).await?;
            link.wait_for_answer().await?;
            Ok::<_, String>(link)
        };
        (reader, answered.await)
    };
    let deadline = Instant::now() + limit;
    let mut next_readers = readers.into_iter();
    let mut asked = FuturesUnordered::new();
    while Instant::now() < deadline {
        let next = next_readers.next();
        let is_last = next.is_none();
        asked.extend(next.map(|reader| Box::pin(ask(reader))));
        let answer = match is_last {
            false => timeout(NEXT_READER_PAUSE, asked.next()).await,
            true => timeout_at(deadline, asked.next()).await,
        };
        match answer {
            Ok(Some((reader, Ok(link)))) => return Some((reader, link)),
            Ok(Some((reader, Err(error)))) => {
                info!("reader_lost reader={reader} was_followed=false error={error:?}");
            }
            // All readers have failed.
            Ok(None) if is_last => return None,
            Ok(None) | Err(_) => {}
        }
    }
    None
}
