//! Connections of clients.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures::StreamExt;
use log::debug;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LinesCodec;
use tokio_util::codec::LinesCodecError;

use heatherhollow_gateway::ClientCode;
use heatherhollow_gateway::ClientId;
use heatherhollow_gateway::GatewayEvent;

use crate::formats::ClientInput;
use crate::formats::WireFormat;
use crate::links::LinkEvent;
use crate::socket::set_socket_options;

/// Longest line of a client or target, in bytes.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// Buffer of a connection before it has read anything, in bytes; sessions are mostly idle.
pub const READ_BUFFER_BYTES: usize = 256;

/// Something for the main loop.
pub enum RunnerEvent {
    /// An event of the gateway.
    Gateway(GatewayEvent),
    /// A client connected; its answers go to the sender.
    ClientConnected(ClientId, UnboundedSender<Bytes>),
    /// Something happened on a link between instances.
    Link(LinkEvent),
}

/// Source of client ids, shared by clients of this instance and sessions that others forward.
#[derive(Debug, Clone, Default)]
pub struct ClientIds(Arc<AtomicU64>);

impl ClientIds {
    /// An id that has not been used.
    pub fn next(&self) -> ClientId {
        ClientId(self.0.fetch_add(1, Ordering::Relaxed))
    }
}

/// Accepts clients until the listener fails.
pub async fn accept_clients(
    listener: TcpListener,
    format: Arc<dyn WireFormat>,
    ids: ClientIds,
    events: UnboundedSender<RunnerEvent>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let client = ids.next();
                let (answers, outgoing) = unbounded_channel();
                let connected = RunnerEvent::ClientConnected(client, answers);
                if events.send(connected).is_err() {
                    return;
                }
                let task = serve_client(client, stream, format.clone(), outgoing, events.clone());
                tokio::spawn(task);
            }
            Err(error) => {
                // Out of descriptors or a connection that ended at once: others may still come.
                log::warn!("accept_failed error={error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Pause after a failed accept.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

async fn serve_client(
    client: ClientId,
    stream: TcpStream,
    format: Arc<dyn WireFormat>,
    mut outgoing: UnboundedReceiver<Bytes>,
    events: UnboundedSender<RunnerEvent>,
) {
    set_socket_options(&stream);
    let (reader, mut writer) = stream.into_split();
    let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
    let mut lines = FramedRead::with_capacity(reader, codec, READ_BUFFER_BYTES);
    let error = loop {
        tokio::select! {
            biased;
            answer = outgoing.recv() => match answer {
                Some(answer) => {
                    if let Err(error) = write_all(&mut writer, answer, &mut outgoing).await {
                        break Some(error);
                    }
                }
                // The gateway closed the session; all answers have been written.
                None => break writer.shutdown().await.err(),
            },
            line = lines.next() => match line {
                Some(Ok(line)) => match format.decode_client(&line) {
                    ClientInput::Terminate => break None,
                    input => {
                        if events.send(RunnerEvent::Gateway(event_of(client, input))).is_err() {
                            return;
                        }
                    }
                },
                Some(Err(error)) => {
                    let code = match &error {
                        LinesCodecError::MaxLineLengthExceeded => ClientCode::TooLarge,
                        LinesCodecError::Io(error) if error.kind() != io::ErrorKind::InvalidData => {
                            break None;
                        }
                        LinesCodecError::Io(_) => ClientCode::Malformed,
                    };
                    let event = GatewayEvent::ClientMalformed { client, code };
                    if events.send(RunnerEvent::Gateway(event)).is_err() {
                        return;
                    }
                    // The rest of the input cannot be trusted: only the refusal is written.
                    while let Some(answer) = outgoing.recv().await {
                        if writer.write_all(&answer).await.is_err() {
                            break;
                        }
                    }
                    break None;
                }
                None => break None,
            },
        }
    };
    if let Some(error) = error {
        debug!("client_write_failed client={client} error={error}");
    }
    let closed = GatewayEvent::ClientClosed(client);
    if events.send(RunnerEvent::Gateway(closed)).is_err() {
        debug!("client_closed_after_stop client={client}");
    }
}

fn event_of(client: ClientId, input: ClientInput) -> GatewayEvent {
    match input {
        ClientInput::Start(database) => GatewayEvent::ClientStart { client, database },
        ClientInput::Query(query) => GatewayEvent::ClientQuery { client, query },
        ClientInput::Malformed | ClientInput::Terminate => GatewayEvent::ClientMalformed {
            client,
            code: ClientCode::Malformed,
        },
    }
}

/// Writes a message and those that wait behind it in one piece.
pub(crate) async fn write_all(
    writer: &mut (impl AsyncWriteExt + Unpin),
    first: Bytes,
    outgoing: &mut UnboundedReceiver<Bytes>,
) -> io::Result<()> {
    let Ok(second) = outgoing.try_recv() else {
        return writer.write_all(&first).await;
    };
    let mut joined = first.to_vec();
    joined.extend_from_slice(&second);
    while let Ok(next) = outgoing.try_recv() {
        joined.extend_from_slice(&next);
    }
    writer.write_all(&joined).await
}
