//! Runs a session gateway on sockets: clients, targets, the store's watch, the promotion duty and the
//! status interface.
//!
//! One thread runs everything. The gateway decides; this crate moves bytes and events. Formats and
//! calls of a platform come in through [`WireFormat`], [`CatalogFormat`], [`PromotionPort`] and the
//! store port.

mod clients;
mod clock;
mod duty;
mod follow;
mod formats;
mod frames;
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
pub use links::decode_frame;
pub use links::encode_frame;
pub use mirror::StoreFollower;
pub use mirror::StoreMirror;
pub use packing::pack_entries;
pub use packing::unpack_entries;
pub use run::RunError;
pub use run::RunnerParts;
pub use run::run;
pub use settings::InstanceSettings;
pub use socket::set_socket_options;
