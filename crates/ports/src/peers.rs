//! Calls and control messages between instances of the proxy.

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
    /// Time until the deadline of the request.
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

/// Sends calls and control messages to other instances.
#[async_trait]
pub trait PeerPort: Send + Sync {
    /// Sends a call and returns the stream of answer parts.
    async fn call(
        &self,
        peer: &InstanceName,
        call: PeerCall,
    ) -> Result<Box<dyn AnswerStream>, PeerError>;

    /// Sends a control message, without a guarantee of delivery.
    fn send_control(&self, peer: &InstanceName, message: Bytes);

    /// Returns the instances to which a link is up.
    fn connected(&self) -> Vec<InstanceName>;
}

/// Handles the calls, control messages and link changes of peers.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Runs a call. The returned stream is polled for a part only when the caller can accept one.
    async fn handle_call(&self, from: &InstanceName, call: PeerCall) -> Box<dyn AnswerStream>;

    /// Handles a control message.
    fn handle_control(&self, from: &InstanceName, message: Bytes);

    /// Handles a link to `peer` that came up or went down.
    fn handle_link_change(&self, peer: &InstanceName, is_up: bool);
}

impl AnswerPart {
    /// Returns whether this is the last part of an answer.
    pub fn is_end(&self) -> bool {
        matches!(self, Self::End(_))
    }
}
