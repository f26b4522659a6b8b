//! Messages between instances, as they are encoded on a link.

use std::time::Duration;

use heatherhollow_gateway::ClientAnswer;
use heatherhollow_gateway::ClientCode;
use heatherhollow_gateway::ClientError;
use heatherhollow_gateway::ClientQuery;
use heatherhollow_gateway::ForwardedQuery;
use heatherhollow_gateway::PreparedShape;
use heatherhollow_gateway::RouteFreshness;
use heatherhollow_gateway::SessionRoute;
use heatherhollow_gateway::SessionState;
use heatherhollow_gateway::TransactionPart;
use heatherhollow_types::GroupPosition;

use crate::formats::ClientInput;
use crate::formats::WireFormat;

/// A frame of a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LinkFrame {
    /// What it is.
    #[prost(oneof = "FrameBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<FrameBody>,
}

/// Body of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum FrameBody {
    /// A statement for the home.
    #[prost(message, tag = "1")]
    Query(QueryFrame),
    /// The transaction of this session is rolled back.
    #[prost(uint64, tag = "2")]
    Rollback(u64),
    /// This session has ended.
    #[prost(uint64, tag = "3")]
    End(u64),
    /// An answer of the home.
    #[prost(message, tag = "4")]
    Answer(AnswerFrame),
    /// Asks whether the other side runs.
    #[prost(bool, tag = "5")]
    Ping(bool),
    /// Answers a ping.
    #[prost(bool, tag = "6")]
    Pong(bool),
    /// The sender is about to stop.
    #[prost(bool, tag = "7")]
    Leaving(bool),
    /// Asks a reader of the store for what comes after this revision.
    #[prost(uint64, tag = "8")]
    Follow(u64),
    /// Entries of the store.
    #[prost(message, tag = "9")]
    State(StateFrame),
    /// The sender does not read the store, or the store does not answer it.
    #[prost(bool, tag = "10")]
    Detached(bool),
    /// Like [`FrameBody::Follow`], from a follower that takes packed entries.
    #[prost(uint64, tag = "11")]
    FollowPacked(u64),
}

/// How entries are meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum StatePart {
    /// Changes since the last frame.
    Changes = 0,
    /// Part of all entries; more follow.
    Snapshot = 1,
    /// The last part of all entries.
    SnapshotEnd = 2,
}

/// Entries of the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateFrame {
    /// How the entries are meant.
    #[prost(enumeration = "StatePart", tag = "1")]
    pub part: i32,
    /// Revision of the store that the sender knows.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Plain entries.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<EntryFrame>,
    /// Packed entries, in place of `entries`.
    #[prost(bytes = "bytes", tag = "4")]
    pub packed: bytes::Bytes,
}

/// Entries that are packed together.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryList {
    /// Entries of one frame.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<EntryFrame>,
}

/// An entry of the store; without a value it was removed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryFrame {
    /// Path in the store.
    #[prost(string, tag = "1")]
    pub path: String,
    /// Its value.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub value: Option<bytes::Bytes>,
    /// Revision of its last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// A name with a text.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NamedText {
    /// Name of a session value.
    #[prost(string, tag = "1")]
    pub name: String,
    /// What it is set to.
    #[prost(string, tag = "2")]
    pub text: String,
}

/// A log position.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PositionField {
    /// Term of the primary.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Number in the log.
    #[prost(uint64, tag = "2")]
    pub position: u64,
}

/// A forwarded statement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QueryFrame {
    /// Number of the session on the link.
    #[prost(uint64, tag = "1")]
    pub session: u64,
    /// The statement's id.
    #[prost(string, tag = "2")]
    pub id: String,
    /// Text of the statement, as the client sent it.
    #[prost(string, tag = "3")]
    pub text: String,
    /// Database that the client asked for.
    #[prost(string, tag = "4")]
    pub database: String,
    /// The route's database group.
    #[prost(string, tag = "5")]
    pub group: String,
    /// 0 present state, 1 bounded, 2 read your writes.
    #[prost(uint32, tag = "6")]
    pub freshness: u32,
    /// Greatest age of an answer, in microseconds.
    #[prost(uint64, tag = "7")]
    pub max_age_micros: u64,
    /// Time limit of the statement, in microseconds.
    #[prost(uint64, tag = "8")]
    pub timeout_micros: u64,
    /// Time in which the operation should be over, in microseconds.
    #[prost(uint64, tag = "9")]
    pub objective_micros: u64,
    /// Priority of the route; 0 is the highest.
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// 0 single, 1 first of a transaction, 2 first of one that only reads, 3 a later one.
    #[prost(uint32, tag = "11")]
    pub part: u32,
    /// Values of the session.
    #[prost(message, repeated, tag = "12")]
    pub values: Vec<NamedText>,
    /// Whether the prepared statement writes; none if it executes none.
    #[prost(bool, optional, tag = "13")]
    pub shape_writes: Option<bool>,
    /// What the prepared statement runs.
    #[prost(string, tag = "14")]
    pub shape_text: String,
    /// Position of the session's last commit.
    #[prost(message, optional, tag = "15")]
    pub position: Option<PositionField>,
    /// Whether a commit of the session may have taken effect unseen.
    #[prost(bool, tag = "16")]
    pub has_doubt: bool,
    /// Number of the forwarding.
    #[prost(uint64, tag = "17")]
    pub serial: u64,
}

/// An answer to a forwarded statement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AnswerFrame {
    /// Number of the session on the link.
    #[prost(uint64, tag = "1")]
    pub session: u64,
    /// Rows of the answer.
    #[prost(string, repeated, tag = "2")]
    pub rows: Vec<String>,
    /// The target's signature.
    #[prost(string, optional, tag = "3")]
    pub signature: Option<String>,
    /// Number of the code, from 1; 0 for success.
    #[prost(uint32, tag = "4")]
    pub code: u32,
    /// Text of an error.
    #[prost(string, tag = "5")]
    pub text: String,
    /// 0 idle, 1 transaction, 2 failed.
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// Position of the target's log.
    #[prost(message, optional, tag = "7")]
    pub position: Option<PositionField>,
    /// Number of the forwarding.
    #[prost(uint64, tag = "8")]
    pub serial: u64,
    /// Whether the home is cut off from the group.
    #[prost(bool, tag = "9")]
    pub is_isolated: bool,
    /// When a refused statement may come back, in microseconds.
    #[prost(uint64, optional, tag = "10")]
    pub retry_after_micros: Option<u64>,
}

/// Codes by their number on the link.
const CODES: [ClientCode; 11] = [
    ClientCode::Busy,
    ClientCode::Aborted,
    ClientCode::Lagging,
    ClientCode::ReadOnly,
    ClientCode::Failed,
    ClientCode::NoStatement,
    ClientCode::Timeout,
    ClientCode::UnknownDatabase,
    ClientCode::TooLarge,
    ClientCode::Malformed,
    ClientCode::InDoubt,
];

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn position_field(position: GroupPosition) -> PositionField {
    PositionField {
        term: position.term.0,
        position: position.position.0,
    }
}

fn position_of(field: PositionField) -> GroupPosition {
    GroupPosition::new(field.term, field.position)
}

/// Encodes a forwarded statement.
pub fn query_frame(session: u64, forwarded: ForwardedQuery) -> QueryFrame {
    let (freshness, max_age) = match forwarded.route.freshness {
        RouteFreshness::Primary => (0, Duration::ZERO),
        RouteFreshness::Bounded { max_age } => (1, max_age),
        RouteFreshness::ReadYourWrites { max_age } => (2, max_age),
    };
    let shape = forwarded.shape;
    QueryFrame {
        session,
        id: forwarded.query.id,
        text: forwarded.query.text,
        database: forwarded.route.database,
        group: forwarded.route.group,
        freshness,
        max_age_micros: micros(max_age),
        timeout_micros: micros(forwarded.route.timeout),
        objective_micros: micros(forwarded.route.objective),
        priority: forwarded.route.priority,
        part: match forwarded.part {
            TransactionPart::Single => 0,
            TransactionPart::First {
                is_read_only: false,
            } => 1,
            TransactionPart::First { is_read_only: true } => 2,
            TransactionPart::Later => 3,
        },
        values: forwarded
            .values
            .into_iter()
            .map(|(name, text)| NamedText { name, text })
            .collect(),
        shape_writes: shape.as_ref().map(|shape| shape.is_write),
        shape_text: shape.map(|shape| shape.text).unwrap_or_default(),
        position: forwarded.position.map(position_field),
        has_doubt: forwarded.has_doubt,
        serial: forwarded.serial,
    }
}

/// Decodes a forwarded statement; `None` if it makes no sense.
pub fn forwarded_query(frame: QueryFrame, wire: &dyn WireFormat) -> Option<ForwardedQuery> {
    let max_age = Duration::from_micros(frame.max_age_micros);
    let freshness = match frame.freshness {
        0 => RouteFreshness::Primary,
        1 => RouteFreshness::Bounded { max_age },
        2 => RouteFreshness::ReadYourWrites { max_age },
        _ => return None,
    };
    let query: ClientQuery = match wire.decode_query(frame.id, frame.text) {
        ClientInput::Query(query) => query,
        _ => return None,
    };
    let mut values = frame
        .values
        .into_iter()
        .map(|value| (value.name, value.text))
        .collect::<Vec<_>>();
    values.sort();
    Some(ForwardedQuery {
        serial: frame.serial,
        query,
        route: SessionRoute {
            database: frame.database,
            group: frame.group,
            freshness,
            timeout: Duration::from_micros(frame.timeout_micros),
            objective: Duration::from_micros(frame.objective_micros),
            priority: frame.priority,
        },
        part: match frame.part {
            0 => TransactionPart::Single,
            1 => TransactionPart::First {
                is_read_only: false,
            },
            2 => TransactionPart::First { is_read_only: true },
            3 => TransactionPart::Later,
            _ => return None,
        },
        values,
        shape: frame.shape_writes.map(|is_write| PreparedShape {
            is_write,
            text: frame.shape_text,
        }),
        position: frame.position.map(position_of),
        has_doubt: frame.has_doubt,
    })
}

/// Encodes an answer.
pub fn answer_frame(session: u64, serial: u64, answer: ClientAnswer) -> AnswerFrame {
    let (signature, code, text, retry_after) = match answer.end {
        Ok(signature) => (signature, 0, String::new(), None),
        Err(error) => {
            let index = CODES.iter().position(|known| *known == error.code);
            let index = index.expect("every code has a number");
            (None, index as u32 + 1, error.text, error.retry_after)
        }
    };
    AnswerFrame {
        session,
        serial,
        is_isolated: answer.is_isolated,
        rows: answer.rows,
        signature,
        code,
        text,
        retry_after_micros: retry_after.map(micros),
        state: match answer.state {
            SessionState::Idle => 0,
            SessionState::Transaction => 1,
            SessionState::Failed => 2,
        },
        position: answer.position.map(position_field),
    }
}

/// Decodes an answer; `None` if it makes no sense.
pub fn client_answer(frame: AnswerFrame) -> Option<ClientAnswer> {
    let end = match frame.code {
        0 => Ok(frame.signature),
        code => Err(ClientError {
            code: *CODES.get(code as usize - 1)?,
            text: frame.text,
            retry_after: frame.retry_after_micros.map(Duration::from_micros),
        }),
    };
    Some(ClientAnswer {
        rows: frame.rows,
        end,
        state: match frame.state {
            0 => SessionState::Idle,
            1 => SessionState::Transaction,
            2 => SessionState::Failed,
            _ => return None,
        },
        position: frame.position.map(position_of),
        is_isolated: frame.is_isolated,
    })
}
