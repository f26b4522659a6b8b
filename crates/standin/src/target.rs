//! One target: its state with what time does to it, and its port.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;

use heatherhollow_ports::ConnectionPermit;
use heatherhollow_ports::FenceReply;
use heatherhollow_ports::TargetConnection;
use heatherhollow_ports::TargetError;
use heatherhollow_ports::TargetPort;
use heatherhollow_ports::TargetStatus;
use heatherhollow_types::CandidateId;
use heatherhollow_types::GroupName;
use heatherhollow_types::RequestId;
use heatherhollow_types::TargetName;
use heatherhollow_types::TermNumber;

use crate::connection;
use crate::fault::LostCall;
use crate::fault::ReplyLoss;
use crate::group::GroupCore;
use crate::group::GroupSettings;
use crate::group::TargetSettings;
use crate::network::LinkEnd;
use crate::network::NetworkModel;
use crate::network::NetworkPoint;
use crate::state::StallRecord;
use crate::state::TargetState;
use crate::sync::lock;
use crate::sync::run_detached;

const REQUEST_BYTES: usize = 96;
const REPLY_BYTES: usize = 192;

#[derive(Debug)]
pub(crate) struct TargetCell {
    pub settings: TargetSettings,
    pub connect_time: Duration,
    pub statement_time: Duration,
    pub network: Arc<NetworkModel>,
    pub point: NetworkPoint,
    pub slots: Semaphore,
    pub lag: watch::Sender<Duration>,
    /// Changes with every record that is appended and with every change of role.
    pub log_changed: watch::Sender<u64>,
    state: Mutex<TargetState>,
    stalls: Mutex<StallRecord>,
    epoch: watch::Sender<u64>,
    request_done: Notify,
}

impl TargetCell {
    pub(crate) fn new(
        group: &GroupSettings,
        settings: &TargetSettings,
        network: &Arc<NetworkModel>,
        state: TargetState,
    ) -> Self {
        Self {
            connect_time: group.connect_time,
            statement_time: group.statement_time,
            network: network.clone(),
            point: target_point(&group.name, settings),
            slots: Semaphore::new(settings.slots),
            lag: watch::Sender::new(settings.lag),
            log_changed: watch::Sender::new(0),
            state: Mutex::new(state),
            stalls: Mutex::default(),
            epoch: watch::Sender::new(0),
            request_done: Notify::new(),
            settings: settings.clone(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, TargetState> {
        lock(&self.state)
    }

    /// Locks the state if the target has not been killed since `epoch`.
    pub(crate) fn lock_alive(
        &self,
        epoch: u64,
    ) -> Result<MutexGuard<'_, TargetState>, TargetError> {
        let state = self.lock();
        if state.is_alive && state.epoch == epoch {
            Ok(state)
        } else {
            Err(TargetError::ConnectionLost)
        }
    }

    /// The present run of the target, if it is alive.
    pub(crate) fn alive_epoch(&self) -> Option<u64> {
        let state = self.lock();
        state.is_alive.then_some(state.epoch)
    }

    /// Returns when the target is killed.
    pub(crate) async fn killed(&self, epoch: u64) {
        let mut changes = self.epoch.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = changes.wait_for(|present| *present != epoch).await;
    }

    pub(crate) fn notify_log(&self) {
        self.log_changed.send_modify(|count| *count += 1);
    }

    /// Returns when the target is not stalled.
    pub(crate) async fn awake(&self) {
        loop {
            let until = lock(&self.stalls).until(Instant::now());
            match until {
                Some(until) => tokio::time::sleep_until(until).await,
                None => return,
            }
        }
    }

    /// Works for `span`; time in stalls does not count.
    pub(crate) async fn work(&self, span: Duration) {
        self.awake().await;
        let start = Instant::now();
        let spent_before = lock(&self.stalls).spent(start);
        loop {
            let now = Instant::now();
            let spent = lock(&self.stalls).spent(now) - spent_before;
            let end = start + span + spent;
            if now >= end {
                return;
            }
            tokio::time::sleep_until(end).await;
            self.awake().await;
        }
    }

    /// Waits until no other call runs under the request id, and takes it.
    pub(crate) async fn claim(&self, request: &RequestId, epoch: u64) -> RequestClaim<'_> {
        loop {
            let mut done = std::pin::pin!(self.request_done.notified());
            done.as_mut().enable();
            {
                let mut state = self.lock();
                if !state.running.contains(request) {
                    state.running.push(request.clone());
                    return RequestClaim {
                        target: self,
                        request: request.clone(),
                        epoch,
                    };
                }
            }
            done.await;
        }
    }

    pub(crate) fn stall(&self, span: Duration) {
        lock(&self.stalls).add(span, Instant::now());
    }

    pub(crate) fn kill(&self) {
        let (lines, epoch) = {
            let mut state = self.lock();
            (state.kill(), state.epoch)
        };
        lock(&self.stalls).clear(Instant::now());
        for line in lines {
            line.end_by_target(self);
        }
        self.epoch.send_replace(epoch);
        self.notify_log();
        self.request_done.notify_waiters();
    }
}

/// The right to run a write under a request id; given back when dropped.
#[derive(Debug)]
pub(crate) struct RequestClaim<'a> {
    target: &'a TargetCell,
    request: RequestId,
    epoch: u64,
}

impl Drop for RequestClaim<'_> {
    fn drop(&mut self) {
        let mut state = self.target.lock();
        if state.epoch == self.epoch {
            state.running.retain(|running| *running != self.request);
        }
        drop(state);
        self.target.request_done.notify_waiters();
    }
}

pub(crate) fn target_end(group: &GroupName, target: &TargetName) -> LinkEnd {
    LinkEnd::Target(group.clone(), target.clone())
}

fn target_point(group: &GroupName, settings: &TargetSettings) -> NetworkPoint {
    let end = target_end(group, &settings.name);
    NetworkPoint::named(&settings.data_centre, end)
}

/// A target as it is seen from one place of the network.
#[derive(Debug)]
pub(crate) struct TargetHandle {
    pub group: Arc<GroupCore>,
    pub index: usize,
    pub from: NetworkPoint,
}

impl TargetHandle {
    fn cell(&self) -> &Arc<TargetCell> {
        &self.group.targets[self.index]
    }

    /// Carries a request to the target, applies it to its state and carries the reply back. A
    /// request that has been sent takes effect also if the caller stops waiting for the reply.
    async fn control<T: Send + 'static>(
        &self,
        kind: Option<LostCall>,
        apply: impl FnOnce(&mut TargetState) -> T + Send + 'static,
    ) -> Result<T, TargetError> {
        let exchange = exchange(self.cell().clone(), self.from.clone(), kind, apply);
        match run_detached(exchange).await {
            Some(reply) => reply,
            None => std::future::pending().await,
        }
    }
}

/// The way of one request and its reply; none if either is lost.
async fn exchange<T>(
    cell: Arc<TargetCell>,
    from: NetworkPoint,
    kind: Option<LostCall>,
    apply: impl FnOnce(&mut TargetState) -> T,
) -> Option<Result<T, TargetError>> {
    let network = &cell.network;
    let request = network.transfer(&from, &cell.point, REQUEST_BYTES);
    request.await.ok()?;
    let result = match cell.alive_epoch() {
        None => Err(TargetError::ConnectionRefused),
        Some(epoch) => {
            tokio::select! {
                biased;
                () = cell.killed(epoch) => Err(TargetError::ConnectionLost),
                () = cell.awake() => cell.lock_alive(epoch).map(|mut state| {
                    let value = apply(&mut state);
                    (value, kind.and_then(|kind| state.take_loss(kind)))
                }),
            }
        }
    };
    if let Ok((_, Some(ReplyLoss::Hang))) = result {
        return None;
    }
    let reply = network.transfer(&cell.point, &from, REPLY_BYTES);
    reply.await.ok()?;
    Some(match result {
        Ok((_, Some(_))) => Err(TargetError::ConnectionLost),
        Ok((value, None)) => Ok(value),
        Err(error) => Err(error),
    })
}

#[async_trait]
impl TargetPort for TargetHandle {
    async fn connect(
        &self,
        permit: ConnectionPermit,
    ) -> Result<Box<dyn TargetConnection>, TargetError> {
        connection::open(self.cell(), &self.from, permit).await
    }

    async fn status(&self) -> Result<TargetStatus, TargetError> {
        self.control(None, |state| state.status(Instant::now()))
            .await
    }

    async fn fence(
        &self,
        term: TermNumber,
        candidate: &CandidateId,
    ) -> Result<FenceReply, TargetError> {
        let candidate = candidate.clone();
        self.control(Some(LostCall::Fence), move |state| FenceReply {
            is_accepted: state.fence(term, &candidate),
            status: state.status(Instant::now()),
        })
        .await
    }

    async fn promote(
        &self,
        term: TermNumber,
        candidate: &CandidateId,
    ) -> Result<TargetStatus, TargetError> {
        let (group, index) = (self.group.clone(), self.index);
        let candidate = candidate.clone();
        self.control(Some(LostCall::Promote), move |state| {
            let now = Instant::now();
            let was_primary = state.is_primary();
            state.promote(term, &candidate, now)?;
            if !was_primary {
                group.start_replication(index, term, state.epoch);
            }
            Ok(state.status(now))
        })
        .await?
    }

    async fn follow(&self, term: TermNumber, _primary: &TargetName) -> Result<(), TargetError> {
        self.control(None, move |state| state.follow(term)).await?
    }
}
