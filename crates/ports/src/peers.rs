//! Links to other instances.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;

use heatherhollow_types::InstanceName;

use crate::target::AnswerPart;
use crate::target::AnswerStream;

/// A call that is forwarded to another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerCall {
    /// The encoded request.
    pub body: Bytes,
    /// Time left for it.
    pub time_left: Duration,
}

/// Why a call to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum PeerError {
    /// no link to the instance; nothing was sent
    NotSent,
    /// the link was lost; the call may have arrived
    LinkLost,
    /// the deadline passed; the call may have arrived
    Timeout,
}

impl std::error::Error for PeerError {}

/// Calls and control messages to other instances.
#[async_trait]
pub trait PeerPort: Send + Sync {
    /// Sends a call and returns the stream of its answer.
    async fn call(
        &self,
        peer: &InstanceName,
        call: PeerCall,
    ) -> Result<Box<dyn AnswerStream>, PeerError>;

    /// Sends a control message; it may be lost.
    fn send_control(&self, peer: &InstanceName, message: Bytes);

    /// Instances to which a link is up.
    fn connected(&self) -> Vec<InstanceName>;
}

/// What an instance does with calls and messages of its peers.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Runs a call; parts are pulled from the returned stream as the caller has room for them.
    async fn handle_call(&self, from: &InstanceName, call: PeerCall) -> Box<dyn AnswerStream>;

    /// Takes a control message.
    fn handle_control(&self, from: &InstanceName, message: Bytes);

    /// Learns that a link came up or went down.
    fn handle_link(&self, peer: &InstanceName, is_up: bool);
}

/// Whether a part ends its answer.
impl AnswerPart {
    /// Whether this is the last part of an answer.
    pub fn is_end(&self) -> bool {
        matches!(self, Self::End(_))
    }
}
