//! The proxy: an engine that runs the decisions of the pure crates over the ports, and its HTTP
//! interface.
//!
//! A caller's request enters at any instance ([`ProxyEngine::handle`]). The entry checks it and hands
//! it to a coordinator, an instance that observes the group. The coordinator chooses the target and
//! runs the call on a connection of its own or at an instance that holds one, checks the answer
//! against age and session, and confirms writes before they are acknowledged.
//!
//! Callers and operators connect to an [`HttpListener`] each, which limits their connections.

pub mod api;
mod call;
mod caller;
mod contest;
mod engine;
mod entry;
mod execute;
mod group;
mod group_state;
mod holders;
mod http_dispatch;
mod http_guard;
mod http_listener;
mod lane;
mod lent;
mod load;
mod metrics;
mod news;
pub mod operator;
mod operator_promotion;
mod operator_settings;
mod operator_status;
mod peering;
mod promotion;
mod reads;
mod settings;
mod shares;
mod table;
mod timing;
mod transactions;
mod view;
mod writes;

pub use call::CallAction;
pub use call::TransactionStep;
pub use caller::CallerEnd;
pub use caller::CallerPart;
pub use caller::CallerRequest;
pub use caller::CallerStream;
pub use engine::EngineParts;
pub use engine::EngineSettings;
pub use engine::ProxyEngine;
pub use engine::TargetDirectory;
pub use http_listener::HttpListener;
pub use http_listener::ListenerError;
pub use http_listener::ListenerLimits;
pub use http_listener::ListenerRoutes;
pub use http_listener::MIN_HEADER_BYTES;
pub use metrics::ProxyMetrics;
pub use operator::OperatorTokens;
pub use operator::TokenScope;
pub use operator_promotion::PromotionRefusal;
pub use operator_settings::ChangeBase;
pub use operator_settings::ChangeRefusal;
pub use operator_settings::SettingsChange;
pub use table::DeclaredGroup;
pub use table::DeclaredService;
pub use table::ServiceTable;
pub use timing::GroupTiming;
pub use timing::LaneSettings;
pub use view::ClusterView;
pub use view::MemberView;
