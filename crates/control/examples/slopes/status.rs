//! Status messages between an observer and a target, in size like those of the plan.

use prost::Message;

/// Question of an observer to a target.
#[derive(Clone, PartialEq, Message)]
pub struct StatusCall {
    #[prost(uint32, tag = "1")]
    pub sequence: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// Answer of a target.
#[derive(Clone, PartialEq, Message)]
pub struct StatusAnswer {
    #[prost(uint32, tag = "1")]
    pub sequence: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub promised: u64,
    #[prost(uint64, tag = "4")]
    pub position: u64,
    #[prost(bool, tag = "5")]
    pub is_primary: bool,
    #[prost(uint32, tag = "6")]
    pub heard_ms: u32,
}

/// A target that an observer probes.
#[derive(Debug, Clone, Copy)]
pub struct Probed {
    pub is_primary: bool,
    /// In the observer's data centre, where its own statements replace probes under load.
    pub is_near: bool,
}
