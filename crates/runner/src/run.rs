//! The main loop of an instance.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use log::info;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio::time::sleep;

use heatherhollow_gateway::ClientId;
use heatherhollow_gateway::ConnectionId;
use heatherhollow_gateway::GatewayAction;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::GatewaySettings;
use heatherhollow_gateway::SessionGateway;
use heatherhollow_gateway::StatusFormat;
use heatherhollow_ports::StorePort;
use heatherhollow_types::MonoTime;

use crate::clients::ClientIds;
use crate::clients::RunnerEvent;
use crate::clients::accept_clients;
use crate::clock;
use crate::duty::PromotionDuty;
use crate::formats::CatalogFormat;
use crate::formats::PromotionPort;
use crate::formats::WireFormat;
use crate::link_table::LinkTable;
use crate::links::accept_links;
use crate::membership::MemberValue;
use crate::membership::maintain_entry;
use crate::metrics::MetricsStatistics;
use crate::metrics::RunnerMetrics;
use crate::mirror::StoreMirror;
use crate::readers::ReaderPlaces;
use crate::readers::ReaderValue;
use crate::settings::InstanceSettings;
use crate::status::StatusPage;
use crate::status::serve_status;
use crate::targets::run_connection;
use crate::watch::StoreWatch;
use crate::watch::WatchParts;

/// What an instance runs on.
pub struct RunnerParts {
    /// Settings of the instance.
    pub settings: InstanceSettings,
    /// Settings of the gateway.
    pub gateway: GatewaySettings,
    /// Format of the lines of clients and targets.
    pub wire: Arc<dyn WireFormat>,
    /// Format of the store's values.
    pub catalog: Arc<dyn CatalogFormat>,
    /// Format of status rows.
    pub status: Arc<dyn StatusFormat>,
    /// The store.
    pub store: Arc<dyn StorePort>,
    /// Where promotions are ordered.
    pub promotions: Arc<dyn PromotionPort>,
    /// Called when the settings file may have changed.
    pub on_reload: Box<dyn Fn()>,
}

/// Why an instance cannot run.
#[derive(Debug, Display)]
pub enum RunError {
    /// the address {0} cannot be listened on: {1}
    Listen(SocketAddr, io::Error),
    /// signals cannot be handled: {0}
    Signals(io::Error),
}

impl std::error::Error for RunError {}

/// Interval at which a stop closes sessions that have become idle.
const STOP_INTERVAL: Duration = Duration::from_millis(50);

/// Time before the end of the grace at which the process ends in any case, so that what was written
/// still leaves.
const STOP_RESERVE: Duration = Duration::from_millis(600);

/// Events that are taken from the channel at once.
const EVENT_BATCH: usize = 64;

struct ClientLink {
    id: ClientId,
    answers: UnboundedSender<Bytes>,
    /// Whether the answer to the start of the session has been sent.
    is_started: bool,
}

struct TargetLink {
    id: ConnectionId,
    calls: UnboundedSender<Bytes>,
}

struct MainLoop {
    parts: RunnerParts,
    gateway: SessionGateway,
    events: UnboundedSender<RunnerEvent>,
    /// Sorted by id.
    clients: Vec<ClientLink>,
    /// Sorted by id.
    targets: Vec<TargetLink>,
    links: LinkTable,
    /// Tells the task that keeps the instance's entry that it leaves.
    leaving: watch::Sender<bool>,
    duty: Arc<PromotionDuty>,
    page: Arc<StatusPage>,
    stop_began: Option<MonoTime>,
}

/// Runs an instance until it is told to stop.
pub async fn run(parts: RunnerParts) -> Result<(), RunError> {
    let mut signals = SignalSet::new().map_err(RunError::Signals)?;
    let clients = listen(parts.settings.client_listen).await?;
    let status = listen(parts.settings.status_listen).await?;
    let metrics = Arc::new(RunnerMetrics::default());
    let page = Arc::new(StatusPage {
        is_ready: AtomicBool::new(false),
        metrics: metrics.clone(),
        ready_path: parts.settings.ready_path.clone(),
        metrics_path: parts.settings.metrics_path.clone(),
    });
    let (events, mut incoming) = unbounded_channel();
    let settings = &parts.settings;
    info!(
        "instance_started instance={} data_centre={} clients={} status={}",
        settings.identity.name,
        settings.identity.data_centre,
        settings.client_listen,
        settings.status_listen
    );
    tokio::spawn(serve_status(status, page.clone()));
    let ids = ClientIds::default();
    tokio::spawn(accept_clients(
        clients,
        parts.wire.clone(),
        ids.clone(),
        events.clone(),
    ));
    let links = listen(parts.settings.link_listen).await?;
    let link_address = links
        .local_addr()
        .map_err(|error| RunError::Listen(settings.link_listen, error))?;
    tokio::spawn(accept_links(links, events.clone()));
    let name = settings.identity.name.clone();
    let (leaving, is_leaving) = watch::channel(false);
    let mirror = Arc::new(StoreMirror::default());
    let watch = StoreWatch::new(WatchParts {
        store: parts.store.clone(),
        format: parts.catalog.clone(),
        events: events.clone(),
        places: ReaderPlaces {
            store: parts.store.clone(),
            data_centre: settings.identity.data_centre.clone(),
            own: ReaderValue {
                instance: name.clone(),
                address: link_address,
            },
            lease: settings.reader_lease,
            is_leaving: is_leaving.clone(),
            mirror: mirror.clone(),
        },
        mirror: mirror.clone(),
        wait: settings.watch_wait,
    });
    tokio::spawn(watch.run());
    let member = MemberValue {
        address: link_address,
        data_centre: settings.identity.data_centre.clone(),
        capacity: settings.capacity,
    };
    tokio::spawn(maintain_entry(
        parts.store.clone(),
        name.clone(),
        member,
        settings.member_lease,
        is_leaving,
    ));
    let holder = format!("{name} run {:016x}", rand::random::<u64>());
    let duty = PromotionDuty::new(parts.store.clone(), holder, settings.duty_lease);
    let gateway = SessionGateway::new(
        parts.gateway.clone(),
        settings.identity.clone(),
        parts.status.clone(),
        Box::new(MetricsStatistics(metrics)),
    );
    let mut main = MainLoop {
        gateway,
        events,
        clients: Vec::new(),
        targets: Vec::new(),
        links: LinkTable::new(ids, mirror),
        leaving,
        duty: Arc::new(duty),
        page,
        stop_began: None,
        parts,
    };
    main.run(&mut incoming, &mut signals).await;
    info!("instance_stopped sessions={}", main.clients.len());
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| RunError::Listen(address, error))
}

struct SignalSet {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl SignalSet {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

impl MainLoop {
    async fn run(
        &mut self,
        incoming: &mut UnboundedReceiver<RunnerEvent>,
        signals: &mut SignalSet,
    ) {
        let mut batch = Vec::with_capacity(EVENT_BATCH);
        let mut next_tick = clock::now();
        loop {
            let now = clock::now();
            if now >= next_tick {
                self.take(GatewayEvent::Tick, now);
                self.update_status();
                next_tick = self.gateway.next_tick(now);
                if self.stop_began.is_some() {
                    next_tick = next_tick.min(now + STOP_INTERVAL);
                    // A session with a query that has been read but not taken yet is not idle.
                    while let Ok(event) = incoming.try_recv() {
                        self.take_runner_event(event, now);
                    }
                    if self.continue_stop(now) {
                        return;
                    }
                }
            }
            // A wait may become shorter with an event that makes work for the next tick.
            let wait = next_tick
                .min(self.gateway.next_tick(now))
                .since(clock::now());
            tokio::select! {
                biased;
                _ = signals.terminate.recv() => self.begin_stop(),
                _ = signals.interrupt.recv() => self.begin_stop(),
                _ = signals.hangup.recv() => {
                    info!("reload_requested");
                    (self.parts.on_reload)();
                }
                _ = sleep(wait) => next_tick = next_tick.min(clock::now()),
                count = incoming.recv_many(&mut batch, EVENT_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    let now = clock::now();
                    for event in batch.drain(..) {
                        self.take_runner_event(event, now);
                    }
                    if self.is_closing(now) {
                        // A session that sends one query after the other is idle only between an answer
                        // and the next query; the end of the grace would cut it.
                        next_tick = now;
                    }
                }
            }
        }
    }

    fn take_runner_event(&mut self, event: RunnerEvent, now: MonoTime) {
        match event {
            RunnerEvent::ClientConnected(id, answers) => {
                self.clients.push(ClientLink {
                    id,
                    answers,
                    is_started: false,
                });
                self.take(GatewayEvent::ClientOpened(id), now);
            }
            RunnerEvent::Link(event) => {
                let wire = self.parts.wire.clone();
                for event in self.links.take(event, &*wire) {
                    self.take(event, now);
                }
            }
            RunnerEvent::Gateway(event) => {
                match &event {
                    GatewayEvent::ClientClosed(id) => self.remove_client(*id),
                    GatewayEvent::TargetClosed { connection, .. } => {
                        self.remove_target(*connection);
                    }
                    _ => {}
                }
                self.take(event, now);
            }
        }
    }

    fn take(&mut self, event: GatewayEvent, now: MonoTime) {
        let actions = self.gateway.handle(event, now);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: GatewayAction) {
        match action {
            GatewayAction::AnswerClient { client, answer } if self.links.has(client) => {
                self.links.answer(client, answer);
            }
            GatewayAction::SendHome {
                home,
                address,
                client,
                message,
            } => {
                let events = &self.events;
                self.links.send_home(home, address, client, message, events);
            }
            GatewayAction::ProbeHome { home, address } => {
                self.links.ask_home(home, address, &self.events);
            }
            GatewayAction::AnswerClient { client, answer } => {
                let wire = self.parts.wire.clone();
                let Some(link) = self.client(client) else {
                    return;
                };
                let mut out = String::new();
                if link.is_started {
                    wire.encode_answer(&answer, &mut out);
                } else {
                    link.is_started = true;
                    wire.encode_ready(&mut out);
                }
                send(&link.answers, out);
            }
            GatewayAction::RejectClient { client, error } => {
                let mut out = String::new();
                self.parts.wire.encode_rejection(&error, &mut out);
                if let Some(link) = self.client(client) {
                    send(&link.answers, out);
                }
                self.remove_client(client);
            }
            GatewayAction::CloseClient(client) => self.remove_client(client),
            GatewayAction::OpenTarget {
                connection,
                address,
                timeout,
            } => {
                let (calls, outgoing) = unbounded_channel();
                self.targets.push(TargetLink {
                    id: connection,
                    calls,
                });
                tokio::spawn(run_connection(
                    connection,
                    address,
                    timeout,
                    self.parts.wire.clone(),
                    outgoing,
                    self.events.clone(),
                ));
            }
            GatewayAction::CallTarget { connection, call } => {
                let mut out = String::new();
                self.parts.wire.encode_call(&call, &mut out);
                let found = self.targets.binary_search_by_key(&connection, |t| t.id);
                if let Ok(i) = found {
                    send(&self.targets[i].calls, out);
                }
            }
            GatewayAction::CloseTarget(connection) => self.remove_target(connection),
            GatewayAction::AcquireDuty => {
                let duty = self.duty.clone();
                let events = self.events.clone();
                tokio::spawn(async move {
                    let answer = duty.acquire().await;
                    report(&events, GatewayEvent::DutyAnswered(answer));
                });
            }
            GatewayAction::ReleaseDuty => {
                let duty = self.duty.clone();
                tokio::spawn(async move { duty.release().await });
            }
            GatewayAction::OrderPromotion {
                group,
                target,
                token,
            } => {
                let duty = self.duty.clone();
                let promotions = self.parts.promotions.clone();
                let events = self.events.clone();
                tokio::spawn(async move {
                    let reply = duty.order(&*promotions, &group, &target, token).await;
                    report(&events, GatewayEvent::PromotionOrdered { group, reply });
                });
            }
        }
    }

    fn client(&mut self, id: ClientId) -> Option<&mut ClientLink> {
        let found = self.clients.binary_search_by_key(&id, |link| link.id);
        found.ok().map(|i| &mut self.clients[i])
    }

    /// Drops the sender of a client; its connection closes after what was sent.
    fn remove_client(&mut self, id: ClientId) {
        if let Ok(i) = self.clients.binary_search_by_key(&id, |link| link.id) {
            self.clients.remove(i);
        }
    }

    fn remove_target(&mut self, id: ConnectionId) {
        if let Ok(i) = self.targets.binary_search_by_key(&id, |link| link.id) {
            self.targets.remove(i);
        }
    }

    fn update_status(&mut self) {
        let is_ready = self.gateway.is_ready();
        if self.page.is_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
            info!("readiness_changed is_ready={is_ready}");
        }
        let sessions = i64::try_from(self.clients.len()).unwrap_or(i64::MAX);
        self.page.metrics.sessions.set(sessions);
    }

    fn begin_stop(&mut self) {
        if self.stop_began.is_none() {
            let now = clock::now();
            self.stop_began = Some(now);
            self.take(GatewayEvent::StopRequested, now);
            self.update_status();
            self.links.announce_leaving();
            // The task that keeps the entry has ended if nobody receives.
            let _is_received = self.leaving.send(true).is_ok();
        }
    }

    /// Whether a stop has begun and clients and other instances have had time to notice.
    fn is_closing(&self, now: MonoTime) -> bool {
        let grace = self.parts.settings.stop_grace;
        let notice = self.parts.settings.leave_notice.min(grace.mul_f64(0.4));
        self.stop_began
            .is_some_and(|began| now.since(began) >= notice)
    }

    /// Closes what can be closed; true once the process may end.
    fn continue_stop(&mut self, now: MonoTime) -> bool {
        let Some(began) = self.stop_began.filter(|_| self.is_closing(now)) else {
            return false;
        };
        let grace = self.parts.settings.stop_grace;
        let spent = now.since(began);
        let actions = self.gateway.close_idle_sessions(spent >= grace / 2);
        for action in actions {
            self.perform(action);
        }
        let is_over = spent + STOP_RESERVE >= grace;
        (self.gateway.is_quiescent() && self.clients.is_empty()) || is_over
    }
}

fn send(sender: &UnboundedSender<Bytes>, text: String) {
    // The connection has ended if nobody receives; its task reports that.
    let _is_received = sender.send(Bytes::from(text)).is_ok();
}

fn report(events: &UnboundedSender<RunnerEvent>, event: GatewayEvent) {
    let _is_received = events.send(RunnerEvent::Gateway(event)).is_ok();
}
