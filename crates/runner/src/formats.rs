//! What a platform brings: its line format, its catalog format and its promotion call.

use async_trait::async_trait;

use heatherhollow_gateway::Catalog;
use heatherhollow_gateway::ClientAnswer;
use heatherhollow_gateway::ClientError;
use heatherhollow_gateway::ClientQuery;
use heatherhollow_gateway::OrderReply;
use heatherhollow_gateway::SessionState;
use heatherhollow_gateway::TargetCall;
use heatherhollow_gateway::TargetCode;
use heatherhollow_gateway::TargetEntry;
use heatherhollow_types::GroupPosition;

/// A line of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientInput {
    /// Asks for a session with a database.
    Start(String),
    /// A query.
    Query(ClientQuery),
    /// The end of the session.
    Terminate,
    /// Anything else.
    Malformed,
}

/// A line of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetLine {
    /// A row.
    Row(String),
    /// Success with a signature.
    Complete(String),
    /// An error with its text.
    Error(TargetCode, String),
    /// End of an answer with the connection's state and the target's position.
    Ready(SessionState, Option<GroupPosition>),
}

/// Format of the lines of clients and targets.
pub trait WireFormat: Send + Sync {
    /// Decodes a line of a client.
    fn decode_client(&self, line: &str) -> ClientInput;

    /// Decodes the text of a query with this id.
    fn decode_query(&self, id: String, text: String) -> ClientInput;

    /// Decodes a line of a target; `None` if it is malformed.
    fn decode_target(&self, line: &str) -> Option<TargetLine>;

    /// Appends an answer to a query of a client.
    fn encode_answer(&self, answer: &ClientAnswer, out: &mut String);

    /// Appends the answer to a client whose session starts.
    fn encode_ready(&self, out: &mut String);

    /// Appends the refusal of a client's session.
    fn encode_rejection(&self, error: &ClientError, out: &mut String);

    /// Appends a call to a target.
    fn encode_call(&self, call: &TargetCall, out: &mut String);
}

/// A value of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreValue {
    /// The operators' declarations.
    Catalog(Catalog),
    /// A target's entry.
    Target(TargetEntry),
    /// The id of a target that has no usable entry any more.
    TargetGone(String),
    /// Anything else.
    Other,
}

/// Format of the values that operators and targets write to the store.
pub trait CatalogFormat: Send + Sync {
    /// Prefix below which they, and the values of the instances, lie.
    fn watched_prefix(&self) -> &'static str;

    /// Decodes a value; `None` means that it was removed.
    fn decode(&self, path: &str, value: Option<&[u8]>) -> StoreValue;
}

/// The platform's call that makes a target the primary.
#[async_trait]
pub trait PromotionPort: Send + Sync {
    /// Orders the promotion of a target under a duty token.
    async fn promote(&self, group: &str, target: &str, token: u64) -> OrderReply;
}
