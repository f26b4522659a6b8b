//! Asynchronous replication from a primary to one replica.
//!
//! The primary sends every record at once and a heartbeat when there is none. A record reaches the
//! replica's log after the network delay and the replica's lag; lag does not delay the news that the
//! primary lives. A stream needs both directions of its link. After a loss the stream starts again
//! from the part that both logs have in common; how the primary learns that part is not modelled.

use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;

use heatherhollow_types::LogPosition;
use heatherhollow_types::TermNumber;

use crate::group::GroupCore;
use crate::random::RandomSource;
use crate::state::ReplicationBatch;
use crate::storage::common_prefix;
use crate::target::TargetCell;

const MAX_BATCH_RECORDS: usize = 256;
const BATCH_OVERHEAD_BYTES: usize = 64;

/// A primary in one of its terms and runs, with one of its replicas.
#[derive(Debug)]
pub(crate) struct ReplicationPair {
    pub group: Weak<GroupCore>,
    pub primary: Arc<TargetCell>,
    pub replica: Arc<TargetCell>,
    pub term: TermNumber,
    pub epoch: u64,
    pub heartbeat: Duration,
    pub seed: u64,
}

type TimedBatch = (Instant, ReplicationBatch);

/// Runs until the primary is replaced or killed, or until the group is dropped.
pub(crate) async fn run(pair: ReplicationPair) {
    let (sent, arriving) = mpsc::unbounded_channel();
    let (arrived, waiting) = mpsc::unbounded_channel();
    let is_broken = AtomicBool::new(true);
    tokio::select! {
        biased;
        () = pair.primary.killed(pair.epoch) => {}
        () = pair.send(&sent, &is_broken) => {}
        () = pair.arrive(arriving, &arrived, &is_broken) => {}
        () = pair.apply(waiting, &is_broken) => {}
    }
}

impl ReplicationPair {
    /// Sends batches and heartbeats from the primary.
    async fn send(&self, sent: &mpsc::UnboundedSender<TimedBatch>, is_broken: &AtomicBool) {
        let Self {
            primary, replica, ..
        } = self;
        let network = &primary.network;
        let mut log_changed = primary.log_changed.subscribe();
        let mut next = LogPosition(1);
        while self.group.strong_count() > 0 {
            primary.awake().await;
            log_changed.mark_unchanged();
            let is_linked = !network.is_cut(&primary.point, &replica.point)
                && !network.is_cut(&replica.point, &primary.point);
            if is_linked && is_broken.swap(false, Ordering::SeqCst) {
                next = LogPosition(self.common_end().0 + 1);
            }
            let Some(batch) = self.batch(next) else {
                return;
            };
            let count = batch.records.len();
            let bytes = batch.records.iter().map(|record| record.bytes());
            let bytes = BATCH_OVERHEAD_BYTES + bytes.sum::<usize>();
            if is_linked && let Ok(arrival) = network.depart(&primary.point, &replica.point, bytes)
            {
                next = LogPosition(next.0 + count as u64);
                // The receiver lives as long as this future.
                drop(sent.send((arrival, batch)));
                if count == MAX_BATCH_RECORDS {
                    continue;
                }
            } else {
                is_broken.store(true, Ordering::SeqCst);
            }
            tokio::select! {
                _ = log_changed.changed() => {}
                () = tokio::time::sleep(self.heartbeat) => {}
            }
        }
    }

    fn common_end(&self) -> LogPosition {
        let (history, end) = {
            let state = self.replica.lock();
            (state.storage.history().clone(), state.storage.end())
        };
        let state = self.primary.lock();
        let own = (state.storage.history(), state.storage.end().position);
        common_prefix(own, (&history, end.position))
    }

    /// The next records; none if the primary has been replaced.
    fn batch(&self, first: LogPosition) -> Option<ReplicationBatch> {
        let state = self.primary.lock_alive(self.epoch).ok()?;
        if state.primary_term() != Some(self.term) {
            return None;
        }
        Some(ReplicationBatch {
            term: self.term,
            history: state.storage.history().clone(),
            first,
            records: state.storage.records_from(first, MAX_BATCH_RECORDS),
        })
    }

    /// Takes batches off the network.
    async fn arrive(
        &self,
        mut arriving: mpsc::UnboundedReceiver<TimedBatch>,
        arrived: &mpsc::UnboundedSender<TimedBatch>,
        is_broken: &AtomicBool,
    ) {
        let Self {
            primary, replica, ..
        } = self;
        while let Some((arrival, batch)) = arriving.recv().await {
            sleep_until(arrival).await;
            let is_lost = primary.network.is_cut(&primary.point, &replica.point)
                || replica.alive_epoch().is_none();
            if is_lost {
                is_broken.store(true, Ordering::SeqCst);
                continue;
            }
            replica.awake().await;
            replica.lock().hear(self.term, Instant::now());
            // The receiver lives as long as this future.
            drop(arrived.send((Instant::now(), batch)));
        }
    }

    /// Puts batches into the replica's log after its lag.
    async fn apply(
        &self,
        mut waiting: mpsc::UnboundedReceiver<TimedBatch>,
        is_broken: &AtomicBool,
    ) {
        let replica = &self.replica;
        let mut random = RandomSource::new(self.seed);
        let mut lag = replica.lag.subscribe();
        while let Some((arrival, batch)) = waiting.recv().await {
            let jitter = random.span_up_to(replica.settings.lag_jitter);
            loop {
                let due = arrival + *lag.borrow_and_update() + jitter;
                tokio::select! {
                    biased;
                    () = sleep_until(due) => break,
                    _ = lag.changed() => {}
                }
            }
            replica.awake().await;
            let mut state = replica.lock();
            if !state.is_alive {
                is_broken.store(true, Ordering::SeqCst);
                continue;
            }
            let visible_at = Instant::now() + replica.settings.apply_delay;
            if state.receive(&batch, visible_at).is_err() {
                is_broken.store(true, Ordering::SeqCst);
            }
        }
    }
}
