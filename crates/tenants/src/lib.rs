//! Tenants of the proxy: which keys belong to them and how many operations they may run.
//!
//! This crate decides and keeps state, but does no I/O and has no clock: times are passed in. A
//! [`TenantDirectory`] resolves keys.

mod batches;
mod cache;
mod demand;
mod directory;
mod emergency;
mod holders;
mod key;
mod ledger;
mod name;
mod outstanding;
mod peer;
mod quota;
mod ranking;
mod rate;
mod reach;

pub use cache::Admission;
pub use cache::QuotaCache;
pub use demand::DemandMeter;
pub use directory::DirectoryError;
pub use directory::TenantDirectory;
pub use directory::TenantRule;
pub use holders::HolderChoice;
pub use holders::HolderTable;
pub use key::KeyDigest;
pub use ledger::QuotaLedger;
pub use name::NameError;
pub use name::TenantName;
pub use outstanding::RequesterId;
pub use quota::QuotaGrant;
pub use quota::QuotaRequest;
pub use quota::QuotaSettings;
pub use quota::RequestKind;
pub use rate::OperationRate;
pub use rate::RateError;
pub use rate::TenantQuota;
