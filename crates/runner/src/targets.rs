//! Connections to targets.
//!
//! Each connection has one task. It writes the calls that it receives over a channel, collects the
//! lines of each answer and sends complete answers to the main loop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use log::warn;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio_util::codec::Decoder;
use tokio_util::codec::FramedRead;

use heatherhollow_gateway::AnswerEnd;
use heatherhollow_gateway::ConnectError;
use heatherhollow_gateway::ConnectionId;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::SessionState;
use heatherhollow_gateway::TargetAnswer;

use crate::clients::MAX_LINE_BYTES;
use crate::clients::READ_BUFFER_BYTES;
use crate::clients::RunnerEvent;
use crate::clients::write_queued;
use crate::formats::TargetLine;
use crate::formats::WireFormat;
use crate::line_decoder::LineDecoder;
use crate::line_decoder::LineError;
use crate::peer_guard::BudgetShare;
use crate::peer_guard::LARGE_BYTES;
use crate::peer_guard::LimitReason;
use crate::peer_guard::PeerGuard;
use crate::socket::reset_on_close;
use crate::socket::set_socket_options;

/// Maximum size of an answer, in bytes of rows.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Bytes that a row takes beside its text, so that empty rows count as well.
const ROW_OVERHEAD: usize = 32;

/// Error of an answer that is too large.
const TOO_LARGE: &str = "the answer is too large";

/// The lines received so far of an answer that is not complete.
#[derive(Default)]
struct PartialAnswer {
    rows: Vec<String>,
    bytes: usize,
    end: Option<AnswerEnd>,
    /// Whether the connection's session has started. Before that, an error completes the answer
    /// without a [`TargetLine::Ready`].
    is_started: bool,
}

impl PartialAnswer {
    /// Adds a line; returns the answer if it is now complete.
    ///
    /// Returns an error if the answer is too large or ends without a result.
    fn add_line(&mut self, line: TargetLine) -> Result<Option<TargetAnswer>, &'static str> {
        match line {
            TargetLine::Row(row) => {
                self.bytes += row.len() + ROW_OVERHEAD;
                if self.bytes > MAX_ANSWER_BYTES {
                    return Err(TOO_LARGE);
                }
                self.rows.push(row);
            }
            TargetLine::Complete(signature) => self.end = Some(AnswerEnd::Complete { signature }),
            TargetLine::Error(code, text) => {
                self.end = Some(AnswerEnd::Error { code, text });
                if !self.is_started {
                    return Ok(self.finish(SessionState::Idle, None));
                }
            }
            TargetLine::Ready(state, position) => {
                if !self.is_started {
                    self.is_started = true;
                    let signature = String::new();
                    self.end = Some(AnswerEnd::Complete { signature });
                }
                return match self.finish(state, position) {
                    Some(answer) => Ok(Some(answer)),
                    None => Err("the answer ended without a result"),
                };
            }
        }
        Ok(None)
    }

    fn finish(
        &mut self,
        state: SessionState,
        position: Option<heatherhollow_types::GroupPosition>,
    ) -> Option<TargetAnswer> {
        let end = self.end.take()?;
        self.bytes = 0;
        Some(TargetAnswer {
            rows: std::mem::take(&mut self.rows),
            end,
            state,
            position,
        })
    }
}

/// Decodes the lines of a target. What it has buffered counts towards the total of incomplete
/// answers, together with the rows of the answer.
struct AnswerLines {
    lines: LineDecoder,
    share: BudgetShare,
    /// Bytes of the rows of an answer that is not complete.
    row_bytes: usize,
    shared_bytes: usize,
}

impl AnswerLines {
    fn new(guard: &PeerGuard) -> Self {
        Self {
            lines: LineDecoder::new(MAX_LINE_BYTES),
            share: guard.answers.share(),
            row_bytes: 0,
            shared_bytes: 0,
        }
    }

    fn update_share(&mut self, buffered: usize) {
        let bytes = self.row_bytes + buffered;
        let bytes = if bytes > LARGE_BYTES { bytes } else { 0 };
        if bytes != self.shared_bytes {
            self.shared_bytes = bytes;
            self.share.set_bytes(bytes, true);
        }
    }
}

impl Decoder for AnswerLines {
    type Item = String;
    type Error = LineError;

    fn decode(&mut self, input: &mut BytesMut) -> Result<Option<String>, LineError> {
        let line = self.lines.decode(input)?;
        self.update_share(input.len());
        if input.is_empty() && input.capacity() > LARGE_BYTES {
            // An idle connection keeps no memory of the size of its longest line.
            *input = BytesMut::new();
        }
        Ok(line)
    }

    fn decode_eof(&mut self, input: &mut BytesMut) -> Result<Option<String>, LineError> {
        self.lines.decode_eof(input)
    }
}

/// Opens a connection and serves it until it closes or the sender of its calls is dropped.
pub async fn run_connection(
    connection: ConnectionId,
    address: SocketAddr,
    timeout: Duration,
    format: Arc<dyn WireFormat>,
    mut calls: UnboundedReceiver<Bytes>,
    events: UnboundedSender<RunnerEvent>,
) {
    let send = |event| {
        // Sending fails if the main loop has ended; the task then ends as well.
        events.send(RunnerEvent::Gateway(event)).is_ok()
    };
    let opening = tokio::time::timeout(timeout, TcpStream::connect(address));
    let opened = tokio::select! {
        opened = opening => opened,
        // Calls are sent only after the connection is open, so the sender has been dropped here.
        _ = calls.recv() => return,
    };
    let stream = match opened {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            let error = match error.kind() {
                std::io::ErrorKind::ConnectionRefused => ConnectError::Refused,
                std::io::ErrorKind::TimedOut => ConnectError::TimedOut,
                _ => ConnectError::Closed,
            };
            send(GatewayEvent::TargetClosed { connection, error });
            return;
        }
        Err(_) => {
            let error = ConnectError::TimedOut;
            send(GatewayEvent::TargetClosed { connection, error });
            return;
        }
    };
    set_socket_options(&stream);
    reset_on_close(&stream);
    let (reader, mut writer) = stream.into_split();
    let guard = PeerGuard::of_process();
    let decoder = AnswerLines::new(&guard);
    let closing = decoder.share.closing.clone();
    let mut lines = FramedRead::with_capacity(reader, decoder, READ_BUFFER_BYTES);
    let mut partial = PartialAnswer::default();
    if !send(GatewayEvent::TargetOpened(connection)) {
        return;
    }
    loop {
        tokio::select! {
            biased;
            call = calls.recv() => match call {
                Some(call) => {
                    if write_queued(&mut writer, call, &mut calls).await.is_err() {
                        break;
                    }
                }
                None => return,
            },
            () = closing.cancelled() => {
                guard.record(LimitReason::AnswerBytes);
                break;
            }
            line = lines.next() => {
                let Some(Ok(line)) = line else { break };
                let added = match format.decode_target(&line) {
                    Some(line) => partial.add_line(line),
                    None => Err("the line is malformed"),
                };
                match added {
                    Ok(Some(answer)) => {
                        if !send(GatewayEvent::TargetAnswered { connection, answer }) {
                            return;
                        }
                    }
                    Ok(None) => {}
                    Err(TOO_LARGE) => {
                        guard.record(LimitReason::AnswerSize);
                        break;
                    }
                    Err(error) => {
                        warn!("target_answer_unusable connection={connection} error={error:?}");
                        break;
                    }
                }
                lines.decoder_mut().row_bytes = partial.bytes;
                let buffered = lines.read_buffer().len();
                lines.decoder_mut().update_share(buffered);
            }
        }
    }
    let error = ConnectError::Closed;
    send(GatewayEvent::TargetClosed { connection, error });
}
