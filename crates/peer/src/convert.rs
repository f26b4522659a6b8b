//! Conversion between messages and the types of `ports`.
//!
//! What a peer sends is not trusted: sizes are bounded, the order of parts is checked, and an
//! outcome that is not understood is read as unknown, never as *not run*.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use displaydoc::Display;
use prost::Message;

use heatherhollow_ports::AnswerEnd;
use heatherhollow_ports::AnswerPart;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::UnknownReason;

use crate::generated as wire;
use crate::settings::MAX_FRAME_BYTES;

/// Longest detail text of an end in bytes; longer ones are cut.
pub const MAX_DETAIL_BYTES: usize = 1024;

/// Longest addition to an end in bytes. A session token has at most 2 KB.
pub const MAX_EXTRA_BYTES: usize = 8 * 1024;

/// Bytes of rows in one part. At 30 Mbit/s a frame of this size delays others by 4 ms.
pub const MAX_PART_BYTES: usize = 16 * 1024;

/// Most rows in one part. An empty row takes 2 bytes on the wire but 32 in memory.
pub const MAX_PART_ROWS: usize = 1024;

/// Longest duration in a message; longer ones are cut.
pub const MAX_DURATION: Duration = Duration::from_secs(3600);

/// Length prefix of a row in a message, at most.
const ROW_PREFIX_BYTES: usize = 5;

/// What a part costs in credits besides its bytes, so that many small parts are bounded too.
const PART_COST: u64 = 64;

/// A message that breaks the protocol, or an answer that cannot be sent.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ConvertError {
    /// a frame has {0} bytes, more than the limit
    FrameTooLarge(usize),
    /// a frame cannot be decoded
    BadFrame,
    /// a part has no content
    EmptyPart,
    /// a head follows other parts of its answer
    MisplacedHead,
    /// a part follows the end of its answer
    AfterEnd,
    /// a part has {0} rows, more than the limit
    TooManyRows(usize),
    /// a row has more than {0} bytes
    RowTooLarge(usize),
    /// a row was not completed
    RowCutOff,
    /// the addition to an end has {0} bytes, more than the limit
    ExtraTooLarge(usize),
}

impl std::error::Error for ConvertError {}

/// Decodes a frame.
pub fn decode_frame(bytes: Bytes) -> Result<wire::Frame, ConvertError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(ConvertError::FrameTooLarge(bytes.len()));
    }
    wire::Frame::decode(bytes).map_err(|_| ConvertError::BadFrame)
}

/// Encodes the body of a frame.
pub fn encode_frame(body: wire::frame::Body) -> Bytes {
    let frame = wire::Frame { body: Some(body) };
    Bytes::from(frame.encode_to_vec())
}

/// Credits that a part takes, given the length of its frame.
///
/// A part that has only an end is free, so that an answer can be ended whatever its credit is; there
/// is one for each stream at most.
pub fn part_cost(part: &wire::Part, frame_bytes: usize) -> u64 {
    if part.head.is_none() && part.rows.is_empty() {
        return 0;
    }
    u64::try_from(frame_bytes)
        .unwrap_or(u64::MAX)
        .saturating_add(PART_COST)
}

/// A duration in microseconds, as messages have it.
pub fn encode_duration(span: Duration) -> u64 {
    u64::try_from(span.min(MAX_DURATION).as_micros()).unwrap_or(u64::MAX)
}

/// A duration from a message.
pub fn decode_duration(micros: u64) -> Duration {
    Duration::from_micros(micros).min(MAX_DURATION)
}

/// Message of a position.
pub fn encode_position(position: GroupPosition) -> wire::Position {
    wire::Position {
        term: position.term.0,
        position: position.position.0,
    }
}

/// Position of a message.
pub fn decode_position(message: wire::Position) -> GroupPosition {
    GroupPosition::new(message.term, message.position)
}

fn cut_text(mut text: String, limit: usize) -> String {
    text.truncate(text.floor_char_boundary(limit));
    text
}

/// Message of an end.
pub fn encode_end(end: AnswerEnd) -> Result<wire::End, ConvertError> {
    if end.extra.len() > MAX_EXTRA_BYTES {
        return Err(ConvertError::ExtraTooLarge(end.extra.len()));
    }
    let (outcome, retry_after) = match end.outcome {
        RequestOutcome::Done => (wire::Outcome::Done, Duration::ZERO),
        RequestOutcome::Failed(_) => (wire::Outcome::Failed, Duration::ZERO),
        RequestOutcome::NotRun { retry_after, .. } => (wire::Outcome::NotRun, retry_after),
        RequestOutcome::Unknown(_) => (wire::Outcome::Unknown, Duration::ZERO),
    };
    Ok(wire::End {
        outcome: outcome.into(),
        reason: end.outcome.reason().unwrap_or_default().to_string(),
        retry_after_us: encode_duration(retry_after),
        detail: cut_text(end.detail, MAX_DETAIL_BYTES),
        rows: end.rows,
        position: end.position.map(encode_position),
        is_recorded: end.is_recorded,
        extra: end.extra.into(),
    })
}

fn decode_outcome(message: &wire::End) -> Option<RequestOutcome> {
    let reason = message.reason.as_str();
    match message.outcome() {
        wire::Outcome::Unspecified => None,
        wire::Outcome::Done => reason.is_empty().then_some(RequestOutcome::Done),
        wire::Outcome::Failed => reason.parse().ok().map(RequestOutcome::Failed),
        wire::Outcome::NotRun => reason
            .parse()
            .ok()
            .map(|reason| RequestOutcome::not_run(reason, decode_duration(message.retry_after_us))),
        wire::Outcome::Unknown => reason.parse().ok().map(RequestOutcome::Unknown),
    }
}

/// End of a message.
///
/// An outcome or reason that is not understood becomes unknown, `connection_lost`. So does one that
/// says *not run* after `rows_seen` rows, because some of it did run.
pub fn decode_end(message: wire::End, rows_seen: u64) -> Result<AnswerEnd, ConvertError> {
    if message.extra.len() > MAX_EXTRA_BYTES {
        return Err(ConvertError::ExtraTooLarge(message.extra.len()));
    }
    let stated = decode_outcome(&message);
    let is_contradiction = rows_seen > 0 && matches!(stated, Some(RequestOutcome::NotRun { .. }));
    let (outcome, detail) = match stated {
        Some(outcome) if !is_contradiction => (outcome, message.detail),
        _ => {
            let detail = format!(
                "the peer stated outcome {} with reason {:?}: {}",
                message.outcome, message.reason, message.detail,
            );
            (unknown_outcome(), detail)
        }
    };
    Ok(AnswerEnd {
        outcome,
        detail: cut_text(detail, MAX_DETAIL_BYTES),
        rows: message.rows,
        position: message.position.map(decode_position),
        is_recorded: message.is_recorded,
        extra: message.extra.into(),
    })
}

/// Outcome of a call whose real outcome was not learned.
pub const fn unknown_outcome() -> RequestOutcome {
    RequestOutcome::Unknown(UnknownReason::ConnectionLost)
}

/// End of a call whose real outcome was not learned.
pub fn unknown_end(detail: impl Into<String>) -> AnswerEnd {
    AnswerEnd {
        detail: detail.into(),
        ..AnswerEnd::of(unknown_outcome())
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PartStage {
    Head,
    Rows,
    Ended,
}

/// Packs the parts of one answer into messages.
///
/// After each `push`, `take_full` is called until it returns none; `take_rest` gives what would
/// otherwise wait for more rows.
#[derive(Debug)]
pub struct PartEncoder {
    stream: u64,
    max_row_bytes: usize,
    stage: PartStage,
    head: Option<wire::Position>,
    rows: Vec<Bytes>,
    bytes: usize,
    waiting: VecDeque<Bytes>,
    end: Option<wire::End>,
}

impl PartEncoder {
    /// An encoder for a stream.
    pub fn new(stream: u64, max_row_bytes: usize) -> Self {
        Self {
            stream,
            max_row_bytes,
            stage: PartStage::Head,
            head: None,
            rows: Vec::new(),
            bytes: 0,
            waiting: VecDeque::new(),
            end: None,
        }
    }

    /// Adds a part of the answer.
    pub fn push(&mut self, part: AnswerPart) -> Result<(), ConvertError> {
        if self.stage == PartStage::Ended {
            return Err(ConvertError::AfterEnd);
        }
        match part {
            AnswerPart::Head(position) => {
                if self.stage != PartStage::Head {
                    return Err(ConvertError::MisplacedHead);
                }
                self.stage = PartStage::Rows;
                self.head = Some(encode_position(position));
            }
            AnswerPart::Row(row) => {
                if row.len() > self.max_row_bytes {
                    return Err(ConvertError::RowTooLarge(self.max_row_bytes));
                }
                self.stage = PartStage::Rows;
                self.waiting.push_back(row);
            }
            AnswerPart::End(end) => {
                self.end = Some(encode_end(end)?);
                self.stage = PartStage::Ended;
            }
        }
        Ok(())
    }

    /// A message that has reached its size or has the end.
    pub fn take_full(&mut self) -> Option<wire::Part> {
        while let Some(row) = self.waiting.front_mut() {
            let row_bytes = row.len() + ROW_PREFIX_BYTES;
            let fits = self.bytes + row_bytes <= MAX_PART_BYTES && self.rows.len() < MAX_PART_ROWS;
            if fits {
                self.bytes += row_bytes;
                self.rows.extend(self.waiting.pop_front());
                continue;
            }
            if !self.rows.is_empty() {
                return Some(self.flush(false));
            }
            let piece = row.split_to(MAX_PART_BYTES - ROW_PREFIX_BYTES);
            self.rows.push(piece);
            return Some(self.flush(true));
        }
        if self.end.is_some() {
            return Some(self.flush(false));
        }
        None
    }

    /// A message with everything that was added so far, if there is anything.
    pub fn take_rest(&mut self) -> Option<wire::Part> {
        self.take_full().or_else(|| {
            let has_content = self.head.is_some() || !self.rows.is_empty();
            has_content.then(|| self.flush(false))
        })
    }

    fn flush(&mut self, more: bool) -> wire::Part {
        self.bytes = 0;
        let is_last = self.waiting.is_empty();
        wire::Part {
            stream: self.stream,
            head: self.head.take(),
            rows: std::mem::take(&mut self.rows),
            more,
            end: if is_last { self.end.take() } else { None },
        }
    }
}

/// Puts the parts of one answer together again.
#[derive(Debug)]
pub struct PartDecoder {
    max_row_bytes: usize,
    stage: PartStage,
    partial: Option<BytesMut>,
    rows: u64,
}

impl PartDecoder {
    /// A decoder for one answer.
    pub fn new(max_row_bytes: usize) -> Self {
        Self {
            max_row_bytes,
            stage: PartStage::Head,
            partial: None,
            rows: 0,
        }
    }

    /// Takes a message and appends the parts that it completes to `parts`.
    pub fn push(
        &mut self,
        message: wire::Part,
        parts: &mut VecDeque<AnswerPart>,
    ) -> Result<(), ConvertError> {
        check_part(&message)?;
        if self.stage == PartStage::Ended {
            return Err(ConvertError::AfterEnd);
        }
        if let Some(position) = message.head {
            if self.stage != PartStage::Head {
                return Err(ConvertError::MisplacedHead);
            }
            parts.push_back(AnswerPart::Head(decode_position(position)));
        }
        self.stage = PartStage::Rows;
        let count = message.rows.len();
        for (i, piece) in message.rows.into_iter().enumerate() {
            let is_partial = message.more && i + 1 == count;
            if let Some(row) = self.join(piece, is_partial)? {
                self.rows += 1;
                parts.push_back(AnswerPart::Row(row));
            }
        }
        if let Some(end) = message.end {
            if self.partial.is_some() {
                return Err(ConvertError::RowCutOff);
            }
            let end = decode_end(end, self.rows)?;
            self.stage = PartStage::Ended;
            parts.push_back(AnswerPart::End(end));
        }
        Ok(())
    }

    fn join(&mut self, piece: Bytes, is_partial: bool) -> Result<Option<Bytes>, ConvertError> {
        let present = self.partial.as_ref().map_or(0, BytesMut::len);
        if present + piece.len() > self.max_row_bytes {
            return Err(ConvertError::RowTooLarge(self.max_row_bytes));
        }
        if self.partial.is_none() && !is_partial {
            return Ok(Some(piece));
        }
        let mut row = self.partial.take().unwrap_or_default();
        row.extend_from_slice(&piece);
        if is_partial {
            self.partial = Some(row);
            return Ok(None);
        }
        Ok(Some(row.freeze()))
    }
}

/// Checks what can be checked of a part without those before it.
pub fn check_part(message: &wire::Part) -> Result<(), ConvertError> {
    if message.rows.len() > MAX_PART_ROWS {
        return Err(ConvertError::TooManyRows(message.rows.len()));
    }
    if message.more && (message.rows.is_empty() || message.end.is_some()) {
        return Err(ConvertError::RowCutOff);
    }
    if message.head.is_none() && message.rows.is_empty() && message.end.is_none() {
        return Err(ConvertError::EmptyPart);
    }
    Ok(())
}
