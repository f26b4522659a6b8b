//! Following of readers: which one an instance follows, and when it reads the store itself instead.

use std::net::SocketAddr;
use std::time::Duration;

use log::info;
use rand::seq::SliceRandom;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clients::RunnerEvent;
use crate::clock;
use crate::follow::ReaderLink;
use crate::follow::ReaderUpdate;
use crate::known_readers::announce_readers;
use crate::proof::is_read_due;
use crate::proof::search_time;
use crate::reader_search::first_to_answer;

use super::StoreWatch;

/// Pause before the readers are tried again after none could be followed.
const FOLLOW_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time after which an instance that finds no reader reads the store itself.
///
/// Readers that restart at the same time as the instance have started by then.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which an instance that has no proof yet tries no further reader, as there are more of
/// them in a region than in a data centre. A reader counts as lost after 2 s of silence.
const START_SEARCH_TIME: Duration = Duration::from_millis(3_000);

/// Time after a search for readers without success in which it is not repeated where a proof is due;
/// a list of the reader places from a slow store fits into it.
const SEARCH_REPEAT_TIME: Duration = Duration::from_millis(400);

/// Time to wait for the readers that other instances know; several round trips between regions.
const LEARN_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of listed instances that are asked for readers beside those with a link; some of them may
/// be gone.
const ASKED_INSTANCES: usize = 4;

impl StoreWatch {
    /// Follows one of the readers until all are lost, or reads the store if none can be followed.
    pub(super) async fn follow_or_read(&mut self, readers: Vec<SocketAddr>) {
        let is_due = |watch: &Self| {
            let age = watch.proof_age();
            age.is_some_and(|(limit, age)| is_read_due(limit, age))
        };
        let failed_at = self.search_failed_at;
        let has_searched = failed_at.is_some_and(|at| at.elapsed() < SEARCH_REPEAT_TIME);
        // A second search would take longer than the newest proof is valid.
        if !(has_searched && is_due(self)) && self.follow_first(readers).await {
            return;
        }
        let since = *self.no_reader_since.get_or_insert_with(Instant::now);
        if since.elapsed() < FOLLOW_TIMEOUT && !is_due(self) {
            sleep(FOLLOW_RETRY_PAUSE).await;
        } else {
            info!("store_read_without_place");
            self.read(None, self.revision).await;
        }
    }

    /// Follows another known reader until the link to it is lost.
    ///
    /// With strict revocation, asks other instances for readers if none of the known ones can be
    /// followed. Returns false if no reader sent entries or changes.
    pub(super) async fn follow_others(&mut self) -> bool {
        let readers = self.parts.known.other_addresses();
        if self.follow_first(readers).await {
            return true;
        }
        if self.parts.revocation_limit.is_none() || !self.learn_readers().await {
            return false;
        }
        let readers = self.parts.known.other_addresses();
        self.follow_first(readers).await
    }

    /// Asks other instances for readers; returns whether they told of a new one in time.
    async fn learn_readers(&self) -> bool {
        let mut members = self.members.members().to_vec();
        members.retain(|member| member.address != self.parts.known.own().address);
        members.shuffle(&mut rand::rng());
        members.truncate(ASKED_INSTANCES);
        let members = members.into_iter();
        let members = members.map(|member| (member.instance, member.address));
        let wanted = RunnerEvent::ReadersWanted(members.collect());
        if self.parts.events.send(wanted).is_err() {
            return false;
        }
        let learned = timeout(LEARN_TIMEOUT, self.parts.known.wait_until_learned());
        learned.await.is_ok()
    }

    /// Sends the known readers, of which this instance is one now, to the others.
    ///
    /// Only with strict revocation: a reader that is cut off from the store before it learns of this
    /// one from there then still finds it.
    pub(super) fn announce(&self) {
        let readers = self.parts.known.other_addresses();
        if let (Some(_), Some(list)) = (self.parts.revocation_limit, self.parts.known.list_frame())
        {
            tokio::spawn(announce_readers(readers, list));
        }
    }

    /// Follows the first of `readers` that sends entries or changes, until the link to it is lost.
    ///
    /// With strict revocation, goes on with the next reader then: a call to the store before that
    /// would take longer than the newest proof is valid if this instance is cut off from the store.
    ///
    /// Returns false if none of them sends any.
    pub(super) async fn follow_first(&mut self, readers: Vec<SocketAddr>) -> bool {
        if self.newest_proof.is_some() {
            return self.follow_fastest(readers, Vec::new()).await;
        }
        let is_strict = self.parts.revocation_limit.is_some();
        let started_at = Instant::now();
        let mut tried = Vec::new();
        for reader in &readers {
            if is_strict && started_at.elapsed() >= START_SEARCH_TIME {
                self.no_reader_since.get_or_insert(started_at);
                break;
            }
            tried.push(*reader);
            if self.follow(*reader).await {
                if is_strict {
                    self.follow_fastest(readers, tried).await;
                }
                return true;
            }
        }
        false
    }

    /// Follows whichever of the readers answers first, until the link to it is lost, then another.
    ///
    /// Only with strict revocation, and not before the first proof: followers that start together
    /// would ask all readers for the entries. Leaves out the readers in `tried`. Returns false if no
    /// reader sent any.
    async fn follow_fastest(
        &mut self,
        mut readers: Vec<SocketAddr>,
        mut tried: Vec<SocketAddr>,
    ) -> bool {
        let mut has_followed = false;
        loop {
            // Readers may have changed while one was followed.
            let known = &self.parts.known;
            let known = known
                .other_addresses()
                .into_iter()
                .chain(known.remote_addresses());
            for reader in known {
                if !readers.contains(&reader) {
                    readers.push(reader);
                }
            }
            readers.retain(|reader| !tried.contains(reader));
            let limit = self.parts.revocation_limit;
            let time = self
                .proof_age()
                .and_then(|(limit, age)| search_time(limit, age));
            let time = time.unwrap_or(FOLLOW_TIMEOUT);
            let found = first_to_answer(readers.clone(), self.least_revision(), limit, time).await;
            let Some((reader, link)) = found else {
                self.search_failed_at = Some(Instant::now());
                return has_followed;
            };
            has_followed |= self.follow_link(reader, link).await;
            if self.parts.events.is_closed() {
                return true;
            }
            tried.push(reader);
        }
    }

    /// Follows a reader until the link to it is lost.
    ///
    /// Returns false if the reader sent neither entries nor changes.
    async fn follow(&mut self, reader: SocketAddr) -> bool {
        let limit = self.parts.revocation_limit;
        match ReaderLink::open(reader, self.least_revision(), limit).await {
            Ok(link) => self.follow_link(reader, link).await,
            Err(error) => {
                info!("reader_lost reader={reader} was_followed=false error={error:?}");
                false
            }
        }
    }

    /// Follows a reader over an open link until that is lost.
    ///
    /// Returns false if the reader sent neither entries nor changes.
    async fn follow_link(&mut self, reader: SocketAddr, mut link: ReaderLink) -> bool {
        let mut is_followed = false;
        let error = loop {
            match link.next().await {
                Ok(ReaderUpdate::Wait) => {}
                Ok(update) => {
                    if !is_followed {
                        info!("reader_followed reader={reader}");
                        is_followed = true;
                        self.no_reader_since = None;
                    }
                    self.handle_update(update);
                }
                Err(error) => break error,
            }
            if self.parts.events.is_closed() {
                return true;
            }
        };
        info!("reader_lost reader={reader} was_followed={is_followed} error={error:?}");
        is_followed
    }

    /// Returns the revocation limit and the age of the newest proof, if there is one.
    fn proof_age(&self) -> Option<(Duration, Duration)> {
        let limit = self.parts.revocation_limit?;
        Some((limit, clock::now().since(self.newest_proof?)))
    }
}
