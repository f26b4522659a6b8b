//! Links between instances.
//!
//! A [`PeerNetwork`] holds one TCP connection to each peer. It carries calls in both directions as
//! streams, and control messages. The messages are in `proto/peer.proto`.
//!
//! * Flow control counts the bytes of part frames, with a fixed cost for each frame. Rows have from a
//!   few bytes to several megabytes, so a number of parts would not bound memory. A stream that is not
//!   read holds at most its window on the reading side and two parts on the serving side.
//! * A call says whether it can have run. It is *not sent* only if the writer never took its `Open`
//!   message; from then on the loss of the link leaves its outcome unknown.
//! * The time left of a call travels with it, but the link does not end a call whose time is up. The
//!   caller drops the answer, which cancels the call at the other side, and the handler's future or
//!   stream is dropped there at its next point of suspension.
//! * The shared secret is sent as it is. Without a [`LinkTransport`] that encrypts and authenticates
//!   the other end, whoever can read or answer a connection learns it.

mod accept;
mod answer;
mod budget;
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
