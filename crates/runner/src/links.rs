//! Links between instances: one TCP connection from each instance to each home that it uses, and
//! one to the reader of the store that it follows.
//!
//! A link carries length-delimited frames. On a link to a home, the side that opened it sends pings
//! while it waits for a frame, and closes the link if none arrives within a limit, so that a frozen
//! or unreachable home is detected without a reset of the connection.
//!
//! [`PeerGuard`] bounds what the other side can make this one hold. A link that is closed for a limit
//! ends like a lost link.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::SinkExt;
use log::debug;
use log::info;
use log::warn;
use prost::Message;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

use crate::clients::RunnerEvent;
use crate::frame_queue::FrameReceiver;
use crate::frame_queue::FrameSender;
use crate::frame_queue::frame_queue;
use crate::frame_reader::FrameDecoder;
use crate::frame_reader::FrameReader;
use crate::frames::FrameBody;
use crate::frames::LinkFrame;
use crate::peer_guard::LARGE_BYTES;
use crate::peer_guard::LimitReason;
use crate::peer_guard::PeerGuard;
use crate::peer_guard::SlotShare;
use crate::socket::set_socket_options;

/// Largest frame, in bytes. A statement or answer contains at most one message of the line protocol
/// and the values of its session.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// Timeout for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without any frame after which a waiting side sends a ping.
const PING_INTERVAL: Duration = Duration::from_millis(250);

/// Time without any frame, while one is expected, after which the other side counts as lost. Two
/// pings have then stayed unanswered: the other side is frozen, unreachable or too slow to serve. A
/// read that has waited this long can still meet an objective of 0.8 s elsewhere.
const SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// Identifies a link that another instance opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// An event of a link.
pub enum LinkEvent {
    /// Another instance opened a link; the sender takes frames for it.
    Accepted(LinkId, FrameSender),
    /// A frame arrived on a link that another instance opened.
    Received(LinkId, FrameBody, FramePermit),
    /// A link that another instance opened ended.
    Ended(LinkId),
    /// A frame arrived from a home.
    HomeFrame(String, FrameBody, FramePermit),
    /// The link to a home ended.
    HomeEnded {
        /// The home.
        home: String,
        /// Whether the link had been opened; otherwise no frame was sent.
        was_open: bool,
        /// Whether the address refused the connection, so that no process listens there.
        was_refused: bool,
    },
}

/// Room that a frame takes while it waits for the main loop; dropped once it has been handled.
pub struct FramePermit(
    #[expect(dead_code, reason = "held until the frame has been handled")]
    Option<OwnedSemaphorePermit>,
);

/// Accepts links until the main loop ends; retries after a failed accept.
pub async fn accept_links(listener: TcpListener, events: UnboundedSender<RunnerEvent>) {
    let guard = PeerGuard::of_process();
    let mut next = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(slot) = guard.links.admit().await else {
                    guard.record(LimitReason::LinkCount);
                    continue;
                };
                let link = LinkId(next);
                next += 1;
                let (sender, outgoing) = frame_queue(&guard);
                let accepted = LinkEvent::Accepted(link, sender);
                if events.send(RunnerEvent::Link(accepted)).is_err() {
                    return;
                }
                let accepted = AcceptedLink {
                    link,
                    slot,
                    guard: guard.clone(),
                    events: events.clone(),
                };
                tokio::spawn(accepted.serve(stream, outgoing));
            }
            Err(error) => {
                warn!("link_accept_failed error={error}");
                tokio::time::sleep(PING_INTERVAL).await;
            }
        }
    }
}

/// Why a link ended.
#[derive(Debug)]
enum LinkEnd {
    /// A limit was exceeded.
    Limit(LimitReason),
    /// It failed or the other side closed it.
    Failed(String),
    /// It is no longer needed here.
    Dropped,
}

/// A link that another instance opened.
struct AcceptedLink {
    link: LinkId,
    slot: SlotShare,
    guard: Arc<PeerGuard>,
    events: UnboundedSender<RunnerEvent>,
}

impl AcceptedLink {
    async fn serve(self, stream: TcpStream, mut outgoing: FrameReceiver) {
        set_socket_options(&stream);
        let (frames, writer) = split_link(stream, &self.guard, true);
        let closing = outgoing.closing();
        let fault = frames.decoder().fault(self.guard.limits.clone());
        let end = tokio::select! {
            biased;
            reason = closing => LinkEnd::Limit(reason),
            () = self.slot.closing.cancelled() => LinkEnd::Limit(LimitReason::LinkCount),
            reason = fault => LinkEnd::Limit(reason),
            end = self.exchange(frames, writer, &mut outgoing) => end,
        };
        match &end {
            LinkEnd::Limit(reason) => self.guard.record(*reason),
            LinkEnd::Failed(error) => info!("link_failed error={error:?}"),
            LinkEnd::Dropped => {}
        }
        // The queue is emptied before the main loop can see the end.
        drop(outgoing);
        let ended = RunnerEvent::Link(LinkEvent::Ended(self.link));
        if self.events.send(ended).is_err() {
            debug!("link_ended_after_stop");
        }
    }

    async fn exchange(
        &self,
        mut frames: FrameReader,
        mut writer: FrameWriter,
        outgoing: &mut FrameReceiver,
    ) -> LinkEnd {
        let limit = self.guard.limits.write_timeout;
        loop {
            tokio::select! {
                biased;
                body = outgoing.recv() => match body {
                    Some(body) => {
                        if let Err(end) = send_queued(&mut writer, body, outgoing, limit).await {
                            return end;
                        }
                    }
                    None => return LinkEnd::Dropped,
                },
                received = receive_frame(&mut frames, &self.guard.waiting) => match received {
                    Ok(Some((FrameBody::Ping(_), _))) => {
                        self.slot.record_use();
                        let pong = encode_frame(FrameBody::Pong(true));
                        if let Err(end) = send_one(&mut writer, pong, limit).await {
                            return end;
                        }
                    }
                    Ok(Some((body, permit))) => {
                        self.slot.record_use();
                        let event = LinkEvent::Received(self.link, body, permit);
                        if self.events.send(RunnerEvent::Link(event)).is_err() {
                            return LinkEnd::Dropped;
                        }
                    }
                    Ok(None) => return LinkEnd::Dropped,
                    Err(error) => return LinkEnd::Failed(error),
                },
            }
        }
    }
}

/// Opens a link to a home and serves it until it ends or its sender is dropped.
pub async fn run_home_link(
    home: String,
    address: SocketAddr,
    mut outgoing: FrameReceiver,
    events: UnboundedSender<RunnerEvent>,
) {
    let opened = open_link(address).await;
    let was_open = opened.is_ok();
    let was_refused = opened
        .as_ref()
        .is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused);
    let result = match opened {
        Ok(stream) => serve_home_link(&home, stream, &mut outgoing, &events).await,
        Err(error) => LinkEnd::Failed(error.to_string()),
    };
    match result {
        LinkEnd::Limit(reason) => PeerGuard::of_process().record(reason),
        LinkEnd::Failed(error) if was_open => {
            info!("home_link_ended home={home} address={address} error={error:?}");
        }
        // Logged at debug level only: a lost home is retried many times, and the gateway logs the
        // loss once.
        LinkEnd::Failed(error) => {
            debug!("home_link_unopened home={home} address={address} error={error:?}");
        }
        LinkEnd::Dropped => {}
    }
    drop(outgoing);
    let ended = LinkEvent::HomeEnded {
        home,
        was_open,
        was_refused,
    };
    if events.send(RunnerEvent::Link(ended)).is_err() {
        debug!("home_link_ended_after_stop");
    }
}

/// Connects to another instance.
pub(crate) async fn open_link(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connecting timed out"))??;
    set_socket_options(&stream);
    Ok(stream)
}

async fn serve_home_link(
    home: &str,
    stream: TcpStream,
    outgoing: &mut FrameReceiver,
    events: &UnboundedSender<RunnerEvent>,
) -> LinkEnd {
    let guard = PeerGuard::of_process();
    let (frames, writer) = split_link(stream, &guard, false);
    let closing = outgoing.closing();
    let fault = frames.decoder().fault(guard.limits.clone());
    tokio::select! {
        biased;
        reason = closing => LinkEnd::Limit(reason),
        reason = fault => LinkEnd::Limit(reason),
        end = exchange_with_home(home, frames, writer, outgoing, events, &guard) => end,
    }
}

async fn exchange_with_home(
    home: &str,
    mut frames: FrameReader,
    mut writer: FrameWriter,
    outgoing: &mut FrameReceiver,
    events: &UnboundedSender<RunnerEvent>,
    guard: &PeerGuard,
) -> LinkEnd {
    let limit = guard.limits.write_timeout;
    // Time of the first frame sent since the last received one.
    let mut unanswered_since: Option<Instant> = None;
    loop {
        let silence = async {
            match unanswered_since {
                Some(since) => tokio::time::sleep_until(since + SILENCE_LIMIT).await,
                None => std::future::pending().await,
            }
        };
        let ping = async {
            match unanswered_since {
                Some(_) => tokio::time::sleep(PING_INTERVAL).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            body = outgoing.recv() => match body {
                Some(body) => {
                    unanswered_since.get_or_insert_with(Instant::now);
                    if let Err(end) = send_queued(&mut writer, body, outgoing, limit).await {
                        return end;
                    }
                }
                None => return LinkEnd::Dropped,
            },
            received = receive_frame(&mut frames, &guard.waiting) => match received {
                Ok(Some((body, permit))) => {
                    unanswered_since = None;
                    let event = LinkEvent::HomeFrame(home.to_string(), body, permit);
                    if events.send(RunnerEvent::Link(event)).is_err() {
                        return LinkEnd::Dropped;
                    }
                }
                Ok(None) => return LinkEnd::Failed("closed".to_string()),
                Err(error) => return LinkEnd::Failed(error),
            },
            () = silence => return LinkEnd::Failed("silent".to_string()),
            () = ping => {
                let ping = encode_frame(FrameBody::Ping(true));
                if let Err(end) = send_one(&mut writer, ping, limit).await {
                    return end;
                }
            }
        }
    }
}

/// A connection that carries length-delimited frames.
pub(crate) type FrameStream = Framed<TcpStream, LengthDelimitedCodec>;

pub(crate) fn framed(stream: TcpStream) -> FrameStream {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream)
}

type FrameWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

fn split_link(
    stream: TcpStream,
    guard: &PeerGuard,
    needs_first: bool,
) -> (FrameReader, FrameWriter) {
    let (reader, writer) = stream.into_split();
    let decoder = FrameDecoder::new(guard, MAX_FRAME_BYTES, needs_first);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    (
        FrameReader::new(reader, decoder),
        FramedWrite::new(writer, codec),
    )
}

/// Reads a frame and takes a permit for it; `None` if the other side has closed the link.
///
/// The link is read only if the frame may then wait for the main loop. Nothing is lost if this is
/// cancelled, as a frame is returned as soon as it is read.
async fn receive_frame(
    frames: &mut FrameReader,
    waiting: &Arc<Semaphore>,
) -> Result<Option<(FrameBody, FramePermit)>, String> {
    // Without room, one unit is waited for and given back: a silent link must not keep any.
    if waiting.available_permits() == 0 {
        drop(waiting.acquire().await);
    }
    let next = frames.next().await.map_err(|error| error.to_string())?;
    let Some(frame) = next else {
        return Ok(None);
    };
    let units = u32::try_from(1 + frame.len() / LARGE_BYTES).unwrap_or(u32::MAX);
    // The last frame may take what is left; further ones then wait.
    let units = units.min(u32::try_from(waiting.available_permits()).unwrap_or(u32::MAX));
    let permit = waiting.clone().try_acquire_many_owned(units).ok();
    Ok(Some((decode_frame(frame)?, FramePermit(permit))))
}

/// Sends a frame together with those queued behind it, with one flush.
async fn send_queued(
    writer: &mut FrameWriter,
    first: FrameBody,
    outgoing: &mut FrameReceiver,
    limit: Duration,
) -> Result<(), LinkEnd> {
    write_in_time(limit, writer.feed(encode_frame(first))).await?;
    while let Ok(next) = outgoing.try_recv() {
        write_in_time(limit, writer.feed(encode_frame(next))).await?;
    }
    flush_link(writer, limit).await
}

async fn send_one(writer: &mut FrameWriter, frame: Bytes, limit: Duration) -> Result<(), LinkEnd> {
    write_in_time(limit, writer.feed(frame)).await?;
    flush_link(writer, limit).await
}

async fn flush_link(writer: &mut FrameWriter, limit: Duration) -> Result<(), LinkEnd> {
    write_in_time(limit, SinkExt::<Bytes>::flush(writer)).await?;
    let buffer = writer.write_buffer_mut();
    if buffer.capacity() > LARGE_BYTES {
        // An idle link keeps no memory of the size of its largest frame.
        *buffer = BytesMut::new();
    }
    Ok(())
}

async fn write_in_time(
    limit: Duration,
    write: impl Future<Output = io::Result<()>>,
) -> Result<(), LinkEnd> {
    match timeout(limit, write).await {
        Err(_) => Err(LinkEnd::Limit(LimitReason::WriteTimeout)),
        Ok(written) => written.map_err(|error| LinkEnd::Failed(error.to_string())),
    }
}

/// Encodes a frame, without its length.
pub fn encode_frame(body: FrameBody) -> Bytes {
    Bytes::from(LinkFrame { body: Some(body) }.encode_to_vec())
}

/// Decodes a frame, without its length. Returns an error if it is malformed or has no body.
pub fn decode_frame(frame: BytesMut) -> Result<FrameBody, String> {
    let frame = LinkFrame::decode(frame).map_err(|error| error.to_string())?;
    frame.body.ok_or_else(|| "a frame has no body".to_string())
}
