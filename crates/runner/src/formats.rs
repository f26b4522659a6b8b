//! Interfaces that a platform implements: its line protocol, the format of its values in the store
//! and its call for promotions.

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
use heatherhollow_tenants::KeyDigest;
use heatherhollow_types::GroupPosition;

/// A decoded line of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientInput {
    /// Starts a session.
    Start {
        /// Name of the database.
        database: String,
        /// Digest of the key that the client sent, if it sent one.
        key: Option<KeyDigest>,
    },
    /// A query.
    Query(ClientQuery),
    /// Ends the session.
    Terminate,
    /// A line that is none of these.
    Malformed,
}

/// A decoded line of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetLine {
    /// A row of an answer.
    Row(String),
    /// The statement succeeded, with the target's signature.
    Complete(String),
    /// The statement failed, with an error code and a message.
    Error(TargetCode, String),
    /// The answer is complete, with the state of the connection's session and the position in the
    /// target's log if it is known.
    Ready(SessionState, Option<GroupPosition>),
}

/// Line protocol of clients and targets.
pub trait WireFormat: Send + Sync {
    /// Decodes a line of a client.
    fn decode_client(&self, line: &str) -> ClientInput;

    /// Decodes the text of a query, which gets the given id.
    fn decode_query(&self, id: String, text: String) -> ClientInput;

    /// Decodes a line of a target; `None` if it is malformed.
    fn decode_target(&self, line: &str) -> Option<TargetLine>;

    /// Appends the answer to a client's query.
    fn encode_answer(&self, answer: &ClientAnswer, out: &mut String);

    /// Appends the message that a client's session has started.
    fn encode_ready(&self, out: &mut String);

    /// Appends the message that a client's session is refused.
    fn encode_rejection(&self, error: &ClientError, out: &mut String);

    /// Appends a call to a target.
    fn encode_call(&self, call: &TargetCall, out: &mut String);
}

/// A decoded value of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreValue {
    /// The operators' declarations.
    Catalog(Catalog),
    /// The entry of a target.
    Target(TargetEntry),
    /// A target's entry was removed or cannot be decoded; contains the id of the target.
    TargetRemoved(String),
    /// A value that the gateway does not use.
    Other,
}

/// Format of the values that operators and targets write to the store.
pub trait CatalogFormat: Send + Sync {
    /// Returns the prefix of all watched paths: those of operators, targets and instances.
    fn watched_prefix(&self) -> &'static str;

    /// Returns the prefix of the paths of the targets' entries.
    fn targets_prefix(&self) -> &'static str;

    /// Decodes the value at a path; `None` means that the value was removed.
    fn decode(&self, path: &str, value: Option<&[u8]>) -> StoreValue;
}

/// The platform's call that promotes a target to primary.
#[async_trait]
pub trait PromotionPort: Send + Sync {
    /// Orders the promotion of a target, fenced by the token of the promotion duty.
    async fn promote(&self, group: &str, target: &str, token: u64) -> OrderReply;
}
