//! A session gateway in front of groups of replicated databases, without I/O.
//!
//! Clients hold long sessions with values, prepared statements and transactions; targets (the
//! database servers) accept few connections. [`SessionGateway`] handles events with the present
//! time and returns actions: what to send to which client or target, which connections to open, and
//! which steps of a promotion to run. It uses no sockets, clock or randomness of its own, so that
//! tests can run every interleaving of answers, lost connections and pauses under virtual time.
//!
//! The proofs of the guarantees are in `docs/platform.md`.

mod action;
mod catalog;
mod clients;
mod core;
mod delayed;
mod dispatch;
mod expiry;
mod fair_order;
mod forward;
mod group;
mod handover;
mod held;
mod homes;
mod log_budget;
mod losses;
mod members;
mod message;
mod observe;
mod placement;
mod pool;
mod promotion;
mod promotion_steps;
mod queue_pass;
mod quota;
mod quota_state;
mod relay;
mod restarts;
mod revocation;
mod session;
mod settings;
mod shares;
mod statement;
mod statistics;
mod tenants;
mod waiting;

pub use action::ConnectError;
pub use action::DutyRefusal;
pub use action::DutyToken;
pub use action::GatewayAction;
pub use action::GatewayEvent;
pub use action::OrderReply;
pub use catalog::Catalog;
pub use catalog::GroupRule;
pub use catalog::RouteFreshness;
pub use catalog::SessionRoute;
pub use catalog::TargetEntry;
pub use catalog::TargetRole;
pub use catalog::TargetState;
pub use core::SessionGateway;
pub use fair_order::FairOrder;
pub use fair_order::QueuedStatement;
pub use fair_order::RecentStarts;
pub use fair_order::TenantLoad;
pub use forward::ForwardedQuery;
pub use forward::ForwardedTenant;
pub use forward::HomeMessage;
pub use forward::TransactionPart;
pub use homes::PeerEntry;
pub use message::AnswerEnd;
pub use message::ClientAnswer;
pub use message::ClientCode;
pub use message::ClientError;
pub use message::ClientId;
pub use message::ClientQuery;
pub use message::SessionState;
pub use message::StatusFormat;
pub use message::StatusReport;
pub use message::TargetAnswer;
pub use message::TargetCall;
pub use message::TargetCode;
pub use pool::ConnectionId;
pub use revocation::REVOCATION_MARGIN;
pub use session::RequestUrgency;
pub use settings::GatewaySettings;
pub use settings::InstanceIdentity;
pub use statement::PreparedShape;
pub use statement::Statement;
pub use statistics::GatewayStatistics;
pub use statistics::LatencyKind;
pub use statistics::QuotaRefusal;
