//! The links of one instance.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use bytes::BytesMut;
use displaydoc::Display;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;

use heatherhollow_ports::AnswerStream;
use heatherhollow_ports::PeerCall;
use heatherhollow_ports::PeerError;
use heatherhollow_ports::PeerHandler;
use heatherhollow_ports::PeerPort;
use heatherhollow_types::DataCentre;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;

use crate::accept::accept_connections;
use crate::answer::call_over;
use crate::budget::FrameBudget;
use crate::counters::HelloRefusal;
use crate::counters::PeerCounters;
use crate::dial::dial_peer;
use crate::down::DownReason;
use crate::hello::FramedLink;
use crate::hello::PeerIdentity;
use crate::link::LinkContext;
use crate::link::PeerLink;
use crate::registry::LinkRegistry;
use crate::run::run_link;
use crate::settings::PeerSettings;
use crate::settings::SettingsError;

/// Connections that wait in the listener's backlog.
const LISTEN_BACKLOG: u32 = 1024;

/// Time for closed links to leave the registry at the end of a shutdown.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);

/// Why a network could not be started.
#[derive(Debug, Display)]
pub enum StartError {
    /// invalid peer settings: {0}
    Settings(SettingsError),
    /// the peer listener cannot use {0}: {1}
    Listen(SocketAddr, io::Error),
}

impl std::error::Error for StartError {}

/// A link that is up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkInfo {
    /// The peer.
    pub peer: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address of the other end of the connection.
    pub address: SocketAddr,
    /// Protocol version of the link.
    pub version: u32,
}

/// What the tasks of a network share.
///
/// Lock order: the registry, then the state of a link. The jitter and the dial tasks are locked
/// alone.
pub(crate) struct NetworkShared {
    pub(crate) context: Arc<LinkContext>,
    registry: Mutex<LinkRegistry>,
    /// Counts changes of the registry.
    changes: watch::Sender<u64>,
    /// Ends the listener, the dial tasks and exchanges of hellos.
    pub(crate) stop: CancellationToken,
    pub(crate) hello_slots: Arc<Semaphore>,
    pub(crate) dial_slots: Semaphore,
    pub(crate) jitter: Mutex<SmallRng>,
}

impl NetworkShared {
    pub(crate) fn settings(&self) -> &PeerSettings {
        &self.context.settings
    }

    pub(crate) fn counters(&self) -> &PeerCounters {
        &self.context.counters
    }

    pub(crate) fn registry(&self) -> MutexGuard<'_, LinkRegistry> {
        self.registry.lock().expect("no step under the lock panics")
    }

    /// The link to a peer, if one is up.
    pub(crate) fn find(&self, peer: &InstanceName) -> Option<Arc<PeerLink>> {
        self.registry().find(peer).cloned()
    }

    fn note_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Registers a link and starts its task.
    pub(crate) fn bring_up(
        self: &Arc<Self>,
        identity: PeerIdentity,
        address: SocketAddr,
        framed: FramedLink,
        first: Option<BytesMut>,
        origin: &str,
    ) -> Result<(), HelloRefusal> {
        let link = PeerLink::new(self.context.clone(), identity, address);
        let serial = self.registry().add(link.clone())?;
        self.note_change();
        self.counters().links_up.add(1);
        log::info!(
            "peer_link_up peer={} incarnation={} address={address} {origin}",
            link.peer.instance,
            link.peer.incarnation,
        );
        let guard = LinkGuard {
            shared: self.clone(),
            link,
            serial,
        };
        tokio::spawn(async move { run_link(&guard.link, framed, first).await });
        Ok(())
    }
}

/// Takes a link out of the registry when its task ends, also when the handler panicked in it.
struct LinkGuard {
    shared: Arc<NetworkShared>,
    link: Arc<PeerLink>,
    serial: u64,
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        let link = &self.link;
        // The link has its reason already, unless its task was broken off.
        link.close(DownReason::TaskEnded);
        let peer = &link.peer.instance;
        self.shared.registry().remove(peer, self.serial);
        self.shared.note_change();
        if let Some(reason) = link.down_reason() {
            let address = link.address;
            log::info!("peer_link_down peer={peer} address={address} reason={reason}");
        }
    }
}

struct DialTask {
    peer: InstanceName,
    address: SocketAddr,
    stop: CancellationToken,
}

/// The links of one instance.
///
/// Dropping the network closes its links without waiting for their streams; [`Self::shutdown`]
/// lets them finish.
pub struct PeerNetwork {
    shared: Arc<NetworkShared>,
    /// Sorted by peer.
    dials: Mutex<Vec<DialTask>>,
    /// Ends the task that reports changes of links, after its last report.
    reports_end: CancellationToken,
    reporter: Mutex<Option<JoinHandle<()>>>,
}

impl PeerNetwork {
    /// Starts the listener and returns the network with the address that it listens on.
    ///
    /// `handle_control` and `handle_link_change` of the handler are called from the tasks of the
    /// links and must return quickly. Messages and calls of a peer may arrive shortly before
    /// `handle_link_change` reports its link. If a link goes down and comes up again at once, both
    /// changes are reported.
    pub async fn start(
        settings: PeerSettings,
        handler: Arc<dyn PeerHandler>,
    ) -> Result<(Arc<Self>, SocketAddr), StartError> {
        settings.check().map_err(StartError::Settings)?;
        let failed = |error| StartError::Listen(settings.listen, error);
        let listener = listen(&settings).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let registry = LinkRegistry::new(settings.instance.clone(), settings.max_links);
        let seed = settings.jitter_seed.unwrap_or_else(rand::random);
        let shared = Arc::new(NetworkShared {
            registry: Mutex::new(registry),
            changes: watch::Sender::new(0),
            stop: CancellationToken::new(),
            hello_slots: Arc::new(Semaphore::new(settings.max_pending_hellos)),
            dial_slots: Semaphore::new(settings.max_dials),
            jitter: Mutex::new(SmallRng::seed_from_u64(seed)),
            context: Arc::new(LinkContext {
                frames: FrameBudget::new(settings.max_incoming_bytes),
                settings,
                handler,
                counters: PeerCounters::default(),
                last_stream: AtomicU64::new(0),
                is_draining: AtomicBool::new(false),
            }),
        });
        tokio::spawn(accept_connections(shared.clone(), listener));
        let reports_end = CancellationToken::new();
        let reporter = tokio::spawn(report_links(shared.clone(), reports_end.clone()));
        let network = Self {
            shared,
            dials: Mutex::default(),
            reports_end,
            reporter: Mutex::new(Some(reporter)),
        };
        Ok((Arc::new(network), address))
    }

    /// Sets the peers to be dialled. Links that are up stay, also those to peers that are not in
    /// the list any more. The own name is ignored.
    pub fn set_peers(&self, mut peers: Vec<(InstanceName, SocketAddr)>) {
        let shared = &self.shared;
        peers.retain(|(peer, _)| *peer != shared.settings().instance);
        peers.sort();
        peers.dedup_by(|later, earlier| later.0 == earlier.0);
        let mut dials = self.dials.lock().expect("no step under the lock panics");
        dials.retain(|dial| {
            let is_kept = peers
                .binary_search_by(|(peer, _)| peer.cmp(&dial.peer))
                .is_ok_and(|i| peers[i].1 == dial.address);
            if !is_kept {
                dial.stop.cancel();
            }
            is_kept
        });
        if shared.stop.is_cancelled() {
            return;
        }
        for (peer, address) in peers {
            if let Err(i) = dials.binary_search_by(|dial| dial.peer.cmp(&peer)) {
                let stop = shared.stop.child_token();
                let task = dial_peer(shared.clone(), peer.clone(), address);
                tokio::spawn(stop.clone().run_until_cancelled_owned(task));
                let dial = DialTask {
                    peer,
                    address,
                    stop,
                };
                dials.insert(i, dial);
            }
        }
    }

    /// The links that are up, by peer.
    pub fn links(&self) -> Vec<LinkInfo> {
        let registry = self.shared.registry();
        registry
            .up()
            .map(|record| LinkInfo {
                peer: record.link.peer.instance.clone(),
                incarnation: record.link.peer.incarnation,
                data_centre: record.link.peer.data_centre.clone(),
                address: record.link.address,
                version: record.link.peer.version,
            })
            .collect()
    }

    /// The counters of all links.
    pub fn counters(&self) -> &PeerCounters {
        self.shared.counters()
    }

    /// Stops the network.
    ///
    /// New calls are refused in both directions; open streams have `drain_limit` to finish, then
    /// all links are closed.
    pub async fn shutdown(&self) {
        let shared = &self.shared;
        shared.context.is_draining.store(true, Ordering::Relaxed);
        shared.registry().stop();
        shared.stop.cancel();
        let links: Vec<_> = shared
            .registry()
            .up()
            .map(|record| record.link.clone())
            .collect();
        let deadline = Instant::now() + shared.settings().drain_limit;
        let drained = timeout_at(deadline, async {
            for link in &links {
                while !link.is_idle() && !link.is_closed() {
                    link.became_idle.notified().await;
                }
            }
        })
        .await;
        if drained.is_err() {
            let open = links.iter().filter(|link| !link.is_idle()).count();
            log::warn!("peer_shutdown_cut links={open}");
        }
        for link in &links {
            link.close(DownReason::Stopping);
        }
        let mut changes = shared.changes.subscribe();
        let all_closed = async {
            while !shared.registry().is_empty() {
                if changes.changed().await.is_err() {
                    break;
                }
            }
        };
        if timeout(CLOSE_LIMIT, all_closed).await.is_err() {
            log::warn!("peer_shutdown_incomplete");
        }
        self.reports_end.cancel();
        let reporter = self.reporter.lock().expect("no panic").take();
        if let Some(reporter) = reporter
            && let Err(error) = reporter.await
        {
            log::warn!("peer_reporter_failed error={:?}", error.to_string());
        }
    }
}

impl Drop for PeerNetwork {
    fn drop(&mut self) {
        let shared = &self.shared;
        shared.context.is_draining.store(true, Ordering::Relaxed);
        shared.stop.cancel();
        self.reports_end.cancel();
        let mut registry = shared.registry();
        registry.stop();
        for record in registry.up() {
            record.link.close(DownReason::Stopping);
        }
    }
}

#[async_trait]
impl PeerPort for PeerNetwork {
    async fn call(
        &self,
        peer: &InstanceName,
        call: PeerCall,
    ) -> Result<Box<dyn AnswerStream>, PeerError> {
        if self.shared.context.is_draining.load(Ordering::Relaxed) {
            return Err(PeerError::NotSent);
        }
        match self.shared.find(peer) {
            Some(link) => call_over(&link, call).await,
            None => Err(PeerError::NotSent),
        }
    }

    fn send_control(&self, peer: &InstanceName, message: Bytes) {
        match self.shared.find(peer) {
            Some(link) => link.send_control(message),
            None => self.counters().control_dropped.add(1),
        }
    }

    fn connected(&self) -> Vec<InstanceName> {
        let registry = self.shared.registry();
        registry
            .up()
            .map(|record| record.link.peer.instance.clone())
            .collect()
    }
}

fn listen(settings: &PeerSettings) -> io::Result<TcpListener> {
    let socket = open_socket(settings.listen, settings)?;
    socket.set_reuseaddr(true)?;
    socket.bind(settings.listen)?;
    socket.listen(LISTEN_BACKLOG)
}

/// A socket for an address, with the send buffer of the settings. Connections that a listener
/// accepts have the buffer size of the listener.
pub(crate) fn open_socket(address: SocketAddr, settings: &PeerSettings) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_send_buffer_size(settings.send_buffer_bytes)?;
    Ok(socket)
}

/// Tells the handler which links came up and went down.
///
/// One task compares the registry with what it reported last, so that reports of a peer are in
/// order and nothing piles up while the handler is slow.
async fn report_links(shared: Arc<NetworkShared>, end: CancellationToken) {
    let mut changes = shared.changes.subscribe();
    let mut reported: Vec<(InstanceName, u64)> = Vec::new();
    loop {
        let is_last = end.is_cancelled();
        changes.mark_unchanged();
        let present: Vec<_> = shared
            .registry()
            .up()
            .map(|record| (record.link.peer.instance.clone(), record.serial))
            .collect();
        let handler = &shared.context.handler;
        for entry in &reported {
            if present.binary_search(entry).is_err() {
                handler.handle_link_change(&entry.0, false);
            }
        }
        for entry in &present {
            if reported.binary_search(entry).is_err() {
                handler.handle_link_change(&entry.0, true);
            }
        }
        reported = present;
        if is_last {
            return;
        }
        tokio::select! {
            _ = changes.changed() => {}
            () = end.cancelled() => {}
        }
    }
}
