//! Connections of this instance to one target, for one service.
//!
//! A lane drives a [`ConnectionPool`] and an [`AdmissionQueue`]: it opens connections, lends them to
//! requests in the order of the queue and closes those whose state is not certain.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use heatherhollow_limits::AdmissionQueue;
use heatherhollow_limits::ConnectionPool;
use heatherhollow_limits::PoolChoice;
use heatherhollow_limits::PoolCounts;
use heatherhollow_limits::QueueEntry;
use heatherhollow_limits::QueueRefusal;
use heatherhollow_limits::TicketNumber;
use heatherhollow_ports::ClockPort;
use heatherhollow_ports::ConnectionPermit;
use heatherhollow_ports::TargetConnection;
use heatherhollow_ports::TargetError;
use heatherhollow_ports::TargetPort;
use heatherhollow_types::CallKind;
use heatherhollow_types::InstanceName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::PermitNumber;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::ServiceName;
use heatherhollow_types::TeamName;

use crate::contest::PermitContest;
use crate::lent::LentConnection;
use crate::timing::LaneSettings;

/// Time between two looks at the queue of a waiting request, to drop what has expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(25);

/// Shortest time that all connections of a lane are out before they can count as silent. A shorter one
/// would give up slow writes.
const STUCK_SPAN: Duration = Duration::from_millis(1_500);

/// The same for a lane with a single connection, where one slow write is less of a coincidence.
const LONE_STUCK_SPAN: Duration = Duration::from_secs(3);

/// Time to come back that is named when a target cannot be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(500);

/// Learns what a lane finds out about its target.
pub trait LaneWatcher: Send + Sync {
    /// Whether the target has answered a status call so lately that it is known to work.
    fn is_answering(&self) -> bool;
}

/// A request's need for a connection.
#[derive(Debug, Clone)]
pub struct LaneRequest {
    /// Team that sent it.
    pub team: TeamName,
    /// Its class.
    pub kind: CallKind,
    /// When it arrived at this instance.
    pub arrived: MonoTime,
    /// When its caller stops waiting.
    pub deadline: MonoTime,
    /// Whether it may not be repeated, so that the connection has to be known to work.
    pub is_strict: bool,
}

enum LaneGrant {
    Ready(PermitNumber, Box<dyn TargetConnection>),
    NeedsCheck(PermitNumber, Box<dyn TargetConnection>),
    Refused(QueueRefusal),
}

struct LaneWaiter {
    ticket: TicketNumber,
    is_strict: bool,
    sender: oneshot::Sender<LaneGrant>,
}

struct IdleConnection {
    permit: PermitNumber,
    connection: Box<dyn TargetConnection>,
}

struct LaneState {
    pool: ConnectionPool,
    queue: AdmissionQueue,
    /// Sorted by ticket.
    waiters: Vec<LaneWaiter>,
    idle: Vec<IdleConnection>,
    next_ticket: u64,
    has_retry_timer: bool,
    /// When a connection was last found silent.
    silent_at: Option<MonoTime>,
    /// When each lent connection was lent.
    lent_since: Vec<(PermitNumber, MonoTime)>,
    contest: PermitContest,
}

/// The connections of this instance to one target for one service, with their queue.
pub struct TargetLane {
    service: ServiceName,
    holder: InstanceName,
    port: Arc<dyn TargetPort>,
    clock: Arc<dyn ClockPort>,
    watcher: Arc<dyn LaneWatcher>,
    settings: LaneSettings,
    /// Innermost lock: nothing else is locked while it is held.
    state: Mutex<LaneState>,
}

impl TargetLane {
    /// A lane without permits.
    pub fn new(
        service: ServiceName,
        holder: InstanceName,
        port: Arc<dyn TargetPort>,
        clock: Arc<dyn ClockPort>,
        watcher: Arc<dyn LaneWatcher>,
        settings: LaneSettings,
    ) -> Arc<Self> {
        let state = LaneState {
            pool: ConnectionPool::new(settings.pool.clone()),
            queue: AdmissionQueue::new(settings.queue.clone()),
            waiters: Vec::new(),
            idle: Vec::new(),
            next_ticket: 0,
            has_retry_timer: false,
            silent_at: None,
            lent_since: Vec::new(),
            contest: PermitContest::default(),
        };
        Arc::new(Self {
            service,
            holder,
            port,
            clock,
            watcher,
            settings,
            state: Mutex::new(state),
        })
    }

    fn lock(&self) -> MutexGuard<'_, LaneState> {
        self.state
            .lock()
            .expect("no holder of the lane lock panics")
    }

    /// Sets the permits that this instance holds; closes connections beyond them.
    pub fn set_permits(self: &Arc<Self>, permits: &[PermitNumber]) {
        {
            let mut state = self.lock();
            let closed = state.pool.set_permits(permits);
            state.idle.retain(|idle| !closed.contains(&idle.permit));
        }
        self.pump();
    }

    /// Whether this instance holds permits for the target.
    pub fn has_permits(&self) -> bool {
        !self.lock().pool.is_empty()
    }

    /// Whether a connection of this permit is open or being opened.
    pub fn uses_permit(&self, permit: PermitNumber) -> bool {
        self.lock().pool.contains(permit)
    }

    /// Connections by state, and the number of waiting requests.
    pub fn counts(&self) -> (PoolCounts, usize) {
        let state = self.lock();
        (state.pool.counts(), state.queue.len())
    }

    /// Permits whose connections were closed by the other end again and again soon after they were
    /// opened: another instance uses them, too. Each is told once.
    pub fn take_lost_permits(&self) -> Vec<PermitNumber> {
        self.lock().contest.take_lost()
    }

    /// Refuses everything that waits; used when the target cannot serve it any more.
    pub fn refuse_waiting(&self, reason: RefusalReason) {
        let waiters = {
            let mut state = self.lock();
            let waiters = std::mem::take(&mut state.waiters);
            for waiter in &waiters {
                state.queue.cancel(waiter.ticket);
            }
            waiters
        };
        for waiter in waiters {
            let refusal = QueueRefusal {
                reason,
                retry_after: UNREACHABLE_RETRY,
            };
            let _ = waiter.sender.send(LaneGrant::Refused(refusal));
        }
    }

    /// Waits for a connection in the order of the queue.
    pub async fn acquire(
        self: &Arc<Self>,
        request: &LaneRequest,
    ) -> Result<LentConnection, QueueRefusal> {
        loop {
            let (ticket, mut receiver) = self.join_queue(request)?;
            let mut guard = TicketGuard {
                lane: self,
                ticket: Some(ticket),
            };
            self.pump();
            let grant = loop {
                match timeout(EXPIRY_INTERVAL, &mut receiver).await {
                    Ok(Ok(grant)) => break grant,
                    Ok(Err(_)) => {
                        let reason = RefusalReason::Unreachable;
                        return Err(QueueRefusal {
                            reason,
                            retry_after: UNREACHABLE_RETRY,
                        });
                    }
                    Err(_) => self.pump(),
                }
            };
            guard.ticket = None;
            match grant {
                LaneGrant::Ready(permit, connection) => return Ok(self.lend(permit, connection)),
                LaneGrant::Refused(refusal) => return Err(refusal),
                LaneGrant::NeedsCheck(permit, connection) => {
                    if let Some(lent) = self.check(permit, connection).await {
                        return Ok(lent);
                    }
                }
            }
        }
    }

    fn join_queue(
        &self,
        request: &LaneRequest,
    ) -> Result<(TicketNumber, oneshot::Receiver<LaneGrant>), QueueRefusal> {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.pool.is_empty() {
            let reason = RefusalReason::Unreachable;
            return Err(QueueRefusal {
                reason,
                retry_after: UNREACHABLE_RETRY,
            });
        }
        let ticket = TicketNumber(state.next_ticket);
        state.next_ticket += 1;
        let entry = QueueEntry {
            ticket,
            team: request.team.clone(),
            kind: request.kind,
            arrived: request.arrived.min(now),
            deadline: request.deadline,
        };
        let in_flight = state.pool.counts().in_use;
        state.queue.offer(entry, in_flight, now)?;
        let (sender, receiver) = oneshot::channel();
        // Tickets rise, so the list stays sorted.
        state.waiters.push(LaneWaiter {
            ticket,
            is_strict: request.is_strict,
            sender,
        });
        Ok((ticket, receiver))
    }

    async fn check(
        self: &Arc<Self>,
        permit: PermitNumber,
        connection: Box<dyn TargetConnection>,
    ) -> Option<LentConnection> {
        let mut lent = self.lend(permit, connection);
        lent.is_checking = true;
        let connection = lent.connection.as_mut()?;
        let reply = timeout(self.settings.check_timeout, connection.check()).await;
        let is_good = matches!(reply, Ok(Ok(())));
        lent.is_checking = false;
        self.lock()
            .pool
            .record_check(permit, is_good, self.clock.now());
        if is_good {
            return Some(lent);
        }
        self.note_silent(permit);
        lent.connection = None;
        None
    }

    fn note_silent(&self, permit: PermitNumber) {
        log::info!("connection_silent service={} permit={permit}", self.service);
        let now = self.clock.now();
        self.lock().silent_at = Some(now);
    }

    /// Notes that a request got no answer for longer than expected: checks the idle connections now,
    /// and the others before they are lent again.
    pub fn require_checks(self: &Arc<Self>) {
        let now = self.clock.now();
        self.lock().pool.require_checks(now);
        let lane = self.clone();
        tokio::spawn(async move { lane.check_idle().await });
    }

    /// Whether a connection was found silent after `since`.
    ///
    /// If all permits are lent there is no connection to check. They count as silent when none of them has
    /// come back for much longer than usual, although the target answers status calls.
    pub fn was_silent_after(&self, since: MonoTime) -> bool {
        let now = self.clock.now();
        let is_answering = self.watcher.is_answering();
        let mut state = self.lock();
        let counts = state.pool.counts();
        let shortest = if counts.in_use > 1 {
            STUCK_SPAN
        } else {
            LONE_STUCK_SPAN
        };
        let limit = shortest.max(state.queue.service_time() * 20);
        let is_stuck = is_answering
            && counts.in_use == counts.permits
            && state
                .lent_since
                .iter()
                .all(|(_, at)| now.since(*at) > limit);
        if is_stuck {
            log::info!("connections_stuck service={}", self.service);
            state.silent_at = Some(now);
        }
        state.silent_at.is_some_and(|at| at > since)
    }

    fn lend(
        self: &Arc<Self>,
        permit: PermitNumber,
        connection: Box<dyn TargetConnection>,
    ) -> LentConnection {
        let now = self.clock.now();
        self.lock().lent_since.push((permit, now));
        LentConnection {
            lane: self.clone(),
            permit,
            connection: Some(connection),
            lent_at: self.clock.now(),
            is_clean: false,
            is_checking: false,
        }
    }

    /// Moves requests on: drops expired ones, lends idle connections, opens new ones.
    fn pump(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut grants = Vec::new();
        let mut to_open = Vec::new();
        let mut retry_at = None;
        {
            let mut state = self.lock();
            for (ticket, refusal) in state.queue.expire(now) {
                let waiter = state.remove_waiter(ticket);
                grants.extend(waiter.map(|waiter| (waiter, LaneGrant::Refused(refusal))));
            }
            state.drop_closed(now);
            while state.pool.counts().idle > 0 && !state.queue.is_empty() {
                let Some(entry) = state.queue.pop_next(now) else {
                    break;
                };
                let Some(waiter) = state.remove_waiter(entry.ticket) else {
                    continue;
                };
                let grant = state.grant(waiter.is_strict, now);
                grants.push((waiter, grant));
            }
            let waiting = state.queue.len();
            while let Some(permit) = state.pool.start_opening(waiting, now) {
                to_open.push(permit);
            }
            if waiting > 0 && !state.has_retry_timer {
                retry_at = state.pool.next_retry().filter(|&at| at > now);
                state.has_retry_timer = retry_at.is_some();
            }
        }
        for (waiter, grant) in grants {
            if let Err(grant) = waiter.sender.send(grant) {
                self.take_back_grant(grant);
            }
        }
        for permit in to_open {
            tokio::spawn(self.clone().open(permit));
        }
        if let Some(retry_at) = retry_at {
            tokio::spawn(self.clone().pump_at(retry_at));
        }
    }

    async fn pump_at(self: Arc<Self>, at: MonoTime) {
        self.clock.sleep_until(at).await;
        self.lock().has_retry_timer = false;
        self.pump();
    }

    /// Keeps a connection whose receiver left before it was used.
    fn take_back_grant(self: &Arc<Self>, grant: LaneGrant) {
        match grant {
            LaneGrant::Ready(permit, connection) => self.take_back(permit, Some(connection), true),
            LaneGrant::NeedsCheck(permit, connection) => {
                self.take_back(permit, Some(connection), true);
            }
            LaneGrant::Refused(_) => {}
        }
    }

    /// A request left while its connection was being checked.
    pub(crate) fn check_abandoned(self: &Arc<Self>, permit: PermitNumber) {
        let now = self.clock.now();
        {
            let mut state = self.lock();
            state.lent_since.retain(|(lent, _)| *lent != permit);
            state.pool.record_check(permit, false, now);
        }
        self.pump();
    }

    /// A request is done with its connection; none if the connection was closed.
    pub(crate) fn loan_ended(
        self: &Arc<Self>,
        permit: PermitNumber,
        connection: Option<Box<dyn TargetConnection>>,
        lent_at: MonoTime,
        is_clean: bool,
    ) {
        let now = self.clock.now();
        {
            let mut state = self.lock();
            state.lent_since.retain(|(lent, _)| *lent != permit);
            if connection.is_some() {
                state.queue.record_service_time(now.since(lent_at));
            }
        }
        if connection.is_some() {
            self.take_back(permit, connection, is_clean);
        }
        self.pump();
    }

    fn take_back(
        self: &Arc<Self>,
        permit: PermitNumber,
        connection: Option<Box<dyn TargetConnection>>,
        is_clean: bool,
    ) {
        let is_closed = connection
            .as_ref()
            .is_some_and(|connection| connection.is_closed());
        let connection = connection.filter(|_| is_clean && !is_closed);
        let mut state = self.lock();
        if is_closed {
            state.contest.note_end(permit, self.clock.now());
        }
        if state
            .pool
            .return_connection(permit, connection.is_some(), self.clock.now())
        {
            state
                .idle
                .extend(connection.map(|connection| IdleConnection { permit, connection }));
        }
    }

    async fn open(self: Arc<Self>, permit: PermitNumber) {
        let claim = ConnectionPermit {
            service: self.service.clone(),
            number: permit,
            holder: self.holder.clone(),
        };
        let opened = timeout(self.settings.connect_timeout, self.port.connect(claim)).await;
        let opened = opened.unwrap_or(Err(TargetError::ConnectTimeout));
        {
            let mut state = self.lock();
            if state.pool.opened(permit, opened.is_ok(), self.clock.now()) {
                state.contest.note_open(permit, self.clock.now());
                let idle = opened
                    .ok()
                    .map(|connection| IdleConnection { permit, connection });
                state.idle.extend(idle);
            }
        }
        self.pump();
    }

    /// Checks connections that were idle for long; called by a timer.
    pub async fn check_idle(self: &Arc<Self>) {
        let due = {
            let mut state = self.lock();
            let due = state.pool.start_due_checks(self.clock.now());
            due.into_iter()
                .filter_map(|permit| state.remove_idle(permit))
                .collect::<Vec<_>>()
        };
        let checks = due.into_iter().map(|mut idle| async move {
            let reply = timeout(self.settings.check_timeout, idle.connection.check()).await;
            self.take_back(
                idle.permit,
                Some(idle.connection),
                matches!(reply, Ok(Ok(()))),
            );
        });
        futures::future::join_all(checks).await;
        self.pump();
    }
}

impl LaneState {
    fn remove_waiter(&mut self, ticket: TicketNumber) -> Option<LaneWaiter> {
        let found = self
            .waiters
            .binary_search_by_key(&ticket, |waiter| waiter.ticket);
        found.ok().map(|i| self.waiters.remove(i))
    }

    fn remove_idle(&mut self, permit: PermitNumber) -> Option<IdleConnection> {
        let i = self.idle.iter().position(|idle| idle.permit == permit)?;
        Some(self.idle.swap_remove(i))
    }

    /// Forgets idle connections that the other end has closed.
    fn drop_closed(&mut self, now: MonoTime) {
        let closed = self.idle.extract_if(.., |idle| idle.connection.is_closed());
        let closed = closed.map(|idle| idle.permit).collect::<Vec<_>>();
        for permit in closed {
            self.pool.return_connection(permit, false, now);
            self.contest.note_end(permit, now);
        }
    }

    fn grant(&mut self, is_strict: bool, now: MonoTime) -> LaneGrant {
        let choice = self.pool.take(is_strict, now);
        let (PoolChoice::Lend(permit) | PoolChoice::Check(permit)) = choice else {
            unreachable!("the pool has counted an idle connection");
        };
        let idle = self
            .remove_idle(permit)
            .expect("each idle slot has a connection");
        match choice {
            PoolChoice::Check(_) => LaneGrant::NeedsCheck(permit, idle.connection),
            _ => LaneGrant::Ready(permit, idle.connection),
        }
    }
}

/// Removes a request from the queue when its caller leaves.
struct TicketGuard<'a> {
    lane: &'a Arc<TargetLane>,
    ticket: Option<TicketNumber>,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            let mut state = self.lane.lock();
            state.queue.cancel(ticket);
            state.remove_waiter(ticket);
        }
    }
}
