//! Control decisions: declared settings, membership and connection shares.
//!
//! Nothing here does I/O or reads a clock. Events come in with a [`MonoTime`], random numbers come from
//! the caller, and what is to be done goes out as values.
//!
//! * Settings: [`read_team`] and [`read_topology`] read and check declarations; a [`SettingsDocument`]
//!   is what the store keeps; [`SwapResolver`] changes one; [`SettingsSpread`] carries new revisions to
//!   every instance and holds the [`SettingsTable`].
//! * Members: [`MemberProber`] detects failures and spreads changes of the [`MemberTable`]; its
//!   [`LiveView`] decides who has which role.
//! * Connections: [`ServicePermits`] has the arithmetic, [`permit_holder`] the assignment, and
//!   [`PermitTable`] the permits of one instance.
//!
//! [`MonoTime`]: heatherhollow_types::MonoTime

mod check;
mod declare;
mod document;
mod holder;
mod member;
mod message;
mod permits;
mod probe;
mod rank;
mod relay;
mod settings;
mod spread;
mod swap;

pub use check::SettingsError;
pub use check::SettingsSource;
pub use check::check_owner;
pub use check::check_team;
pub use check::check_topology;
pub use declare::MAX_SETTINGS_BYTES;
pub use declare::read_team;
pub use declare::read_topology;
pub use document::DocumentError;
pub use document::MAX_RECENT_CHANGES;
pub use document::SettingsDocument;
pub use document::StoredSettings;
pub use document::TopologyDocument;
pub use document::diff_settings;
pub use holder::PERMIT_HOLD_OFF;
pub use holder::PermitAction;
pub use holder::PermitKey;
pub use holder::PermitTable;
pub use holder::permit_holder;
pub use member::MemberEntry;
pub use member::MemberRecord;
pub use member::MemberState;
pub use member::MemberTable;
pub use member::MergeEffect;
pub use message::CentreBeat;
pub use message::CentreDigest;
pub use message::ControlBody;
pub use message::ControlError;
pub use message::ControlMessage;
pub use message::ControlSend;
pub use message::GroupObservation;
pub use message::MAX_CONTROL_BYTES;
pub use message::MemberDigests;
pub use message::MemberRecords;
pub use message::ObservationList;
pub use message::PermitList;
pub use message::PrimarySuspicion;
pub use message::ProbeMessage;
pub use message::ProbeRequest;
pub use message::RecordForm;
pub use message::SettingsPush;
pub use message::SettingsRevision;
pub use message::SettingsRevisions;
pub use message::SettingsWant;
pub use permits::PERMIT_BLOCK;
pub use permits::PermitCount;
pub use permits::PermitUse;
pub use permits::ServicePermits;
pub use probe::MemberProber;
pub use probe::ProbeTiming;
pub use rank::LiveMember;
pub use rank::LiveView;
pub use rank::best_member;
pub use rank::centre_relays;
pub use rank::group_observer;
pub use rank::link_ends;
pub use rank::ranked_members;
pub use rank::relays_by_uptime;
pub use rank::store_watchers;
pub use settings::DelaySettings;
pub use settings::GroupSettings;
pub use settings::ReadSettings;
pub use settings::RegionSettings;
pub use settings::ServiceSettings;
pub use settings::TEAMS_PATH;
pub use settings::TOPOLOGY_PATH;
pub use settings::TargetSettings;
pub use settings::TeamSettings;
pub use settings::TopologySettings;
pub use settings::team_path;
pub use spread::ApplyError;
pub use spread::ApplyOutcome;
pub use spread::NOTICE_FANOUT;
pub use spread::SettingsSpread;
pub use spread::SettingsTable;
pub use spread::SpreadAction;
pub use swap::MAX_SWAP_ATTEMPTS;
pub use swap::StoredDocument;
pub use swap::SwapConflict;
pub use swap::SwapOutcome;
pub use swap::SwapResolver;
pub use swap::SwapStep;
