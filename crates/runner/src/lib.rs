//! Runs a session gateway on sockets: serves clients, connects to targets, watches the store, holds
//! the promotion duty and serves the status page.
//!
//! The gateway makes all decisions and does no I/O; this crate passes events to it and performs its
//! actions. A main loop owns the gateway, and tasks for connections send it events, all on one
//! thread. A platform supplies its protocol, its store and its calls through [`WireFormat`],
//! [`CatalogFormat`], [`PromotionPort`] and `StorePort`.

mod client_budget;
mod client_limiter;
mod client_output;
mod clients;
mod clock;
mod duty;
mod event_queue;
mod follow;
mod formats;
mod frames;
mod group_sizes;
mod line_buffer;
mod line_decoder;
mod link_table;
mod links;
mod membership;
mod metrics;
mod mirror;
mod packing;
mod readers;
mod run;
mod settings;
mod socket;
mod status;
mod targets;
mod watch;

pub use client_budget::Admission;
pub use client_budget::ClientBudget;
pub use client_budget::ClientLimits;
pub use client_budget::PartBytes;
pub use client_budget::Reservation;
pub use formats::CatalogFormat;
pub use formats::ClientInput;
pub use formats::PromotionPort;
pub use formats::StoreValue;
pub use formats::TargetLine;
pub use formats::WireFormat;
pub use frames::AnswerFrame;
pub use frames::EntryFrame;
pub use frames::FrameBody;
pub use frames::QueryFrame;
pub use frames::StateFrame;
pub use frames::client_answer;
pub use frames::forwarded_query;
pub use line_buffer::LineBuffer;
pub use line_decoder::LineDecoder;
pub use line_decoder::LineError;
pub use links::decode_frame;
pub use links::encode_frame;
pub use mirror::StoreFollower;
pub use mirror::StoreMirror;
pub use packing::pack_entries;
pub use packing::unpack_entries;
pub use run::RunError;
pub use run::RunnerParts;
pub use run::run;
pub use settings::ClientTimeouts;
pub use settings::InstanceSettings;
pub use socket::set_socket_options;
