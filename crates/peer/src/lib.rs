//! Links between instances.
//!
//! A [`PeerNetwork`] holds one TCP connection to each peer. It carries calls in both directions as
//! streams, and control messages. The messages are in `proto/peer.proto`.

mod accept;
mod answer;
pub mod convert;
mod counters;
mod dial;
mod down;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod generated;
mod hello;
mod link;
mod network;
mod registry;
mod run;
mod schedule;
mod serve;
mod settings;
mod transport;

pub use counters::HelloRefusal;
pub use counters::PeerCounters;
pub use hello::OLDEST_VERSION;
pub use hello::PROTOCOL_VERSION;
pub use network::LinkInfo;
pub use network::PeerNetwork;
pub use network::StartError;
pub use settings::LinkSecret;
pub use settings::MAX_CALL_BYTES;
pub use settings::MAX_FRAME_BYTES;
pub use settings::MIN_WINDOW_BYTES;
pub use settings::PeerSettings;
pub use settings::SettingsError;
pub use transport::LinkStream;
pub use transport::LinkTransport;
pub use transport::PlainTransport;
