//! Changes of a team's settings that operators ask for.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use serde::Deserialize;
use tokio::time::timeout;

use heatherhollow_control::SettingsDocument;
use heatherhollow_control::SettingsError;
use heatherhollow_control::SettingsSource;
use heatherhollow_control::StoredDocument;
use heatherhollow_control::SwapConflict;
use heatherhollow_control::SwapOutcome;
use heatherhollow_control::SwapResolver;
use heatherhollow_control::SwapStep;
use heatherhollow_control::TeamSettings;
use heatherhollow_control::check_owner;
use heatherhollow_control::check_team;
use heatherhollow_control::diff_settings;
use heatherhollow_control::team_path;
use heatherhollow_ports::StoreEntry;
use heatherhollow_ports::StoreError;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::StoreRevision;
use heatherhollow_ports::SwapReply;
use heatherhollow_types::GroupName;
use heatherhollow_types::RequestId;
use heatherhollow_types::TargetName;
use heatherhollow_types::TeamName;

use crate::engine::ProxyEngine;

/// Longest call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before a document is read after a lost reply.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Times that a change of one target is made again on a newer version of the document.
const MAX_REBASES: usize = 4;

/// A change of a team's settings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsChange {
    /// The new settings.
    pub settings: TeamSettings,
    /// Id of the change, the same whenever it is sent again.
    pub change_id: RequestId,
    /// Who makes it.
    pub author: String,
    /// Revision that it replaces; none if there is no document yet.
    pub expected: Option<u64>,
    /// The version that it replaces, for the report of a lost race.
    #[serde(default)]
    pub base: Option<ChangeBase>,
    /// Whether the change was sent before, with an answer that was lost.
    #[serde(default)]
    pub is_repeat: bool,
}

/// The version of a document on which a change is based.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBase {
    /// Id of the change that made it.
    pub change_id: RequestId,
    /// Its settings.
    pub settings: TeamSettings,
}

/// Why a change was not tried.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ChangeRefusal {
    /// the settings break {0:?}
    Invalid(Vec<SettingsError>),
    /// this instance has no access to the key-value service
    NoStore,
    /// this instance has no topology in force yet
    NoTopology,
    /// the document could not be read: {0}
    Store(StoreError),
    /// the stored document of {0} is not valid: {1}
    BadDocument(TeamName, String),
    /// group {0} is not declared
    UnknownGroup(GroupName),
    /// group {0} has no target {1}
    UnknownTarget(GroupName, TargetName),
    /// target {1} is the primary of group {0}; promote another target first
    IsPrimary(GroupName, TargetName),
}

impl std::error::Error for ChangeRefusal {}

/// Result of marking a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MarkOutcome {
    /// The target was marked so already, at this revision.
    Unchanged(u64),
    /// The change ended like this.
    Changed(SwapOutcome),
}

impl ProxyEngine {
    /// The document of a team, as the store has it.
    pub async fn stored_settings(
        &self,
        team: &TeamName,
    ) -> Result<Option<StoredDocument>, ChangeRefusal> {
        let store = self.keeper().store().ok_or(ChangeRefusal::NoStore)?;
        let entry = within(store.get(&team_path(team))).await;
        let entry = entry.map_err(ChangeRefusal::Store)?;
        let document = entry.map(decode_entry).transpose();
        document.map_err(|error| ChangeRefusal::BadDocument(team.clone(), error))
    }

    /// Checks a change of a team's settings and stores it, if the document has not changed since.
    pub async fn change_settings(
        &self,
        team: &TeamName,
        change: SettingsChange,
    ) -> Result<SwapOutcome, ChangeRefusal> {
        let store = self.keeper().store().ok_or(ChangeRefusal::NoStore)?;
        let mut settings = change.settings;
        settings.sort();
        self.check_settings(team, &settings)?;
        let current = self.stored_settings(team).await?;
        let revision = current.as_ref().map(|stored| stored.revision);
        if let Some(stored) = &current
            && stored.document.includes(&change.change_id)
        {
            let revision = stored.revision;
            return Ok(SwapOutcome::Effective { revision });
        }
        let is_current = revision == change.expected;
        let base = match (change.expected, change.base) {
            _ if is_current => current.clone(),
            (None, _) => None,
            (Some(revision), Some(base)) => Some(past_version(revision, base)),
            // Without the base, nothing shows whether the list of recent changes reaches back to it.
            (Some(_), None) if change.is_repeat => {
                let change_id = change.change_id;
                return Ok(SwapOutcome::Unresolved { change_id });
            }
            (Some(_), None) => return Ok(lost_without_base(current, &settings)),
        };
        let mut resolver = SwapResolver::new(base, settings, change.change_id, &change.author);
        let step = if is_current {
            resolver.start()
        } else if change.is_repeat {
            // The earlier sending counts as a swap whose reply was lost.
            resolver.on_reply_lost();
            resolver.on_read(current)
        } else {
            resolver.on_conflict(current)
        };
        let outcome = self.run_swap(store, resolver, step).await;
        log::info!(
            "settings_change team={team} author={:?} outcome={}",
            change.author,
            { outcome_name(&outcome) }
        );
        Ok(outcome)
    }

    /// Marks a target as leaving, or not leaving, in the settings.
    pub async fn mark_target(
        &self,
        group: &GroupName,
        target: &TargetName,
        is_leaving: bool,
        change_id: &RequestId,
        author: &str,
    ) -> Result<MarkOutcome, ChangeRefusal> {
        let unknown_group = || ChangeRefusal::UnknownGroup(group.clone());
        let table = self.table().ok_or(ChangeRefusal::NoTopology)?;
        let declared = table.group(group).ok_or_else(unknown_group)?;
        if is_leaving && self.is_known_primary(group, target) {
            return Err(ChangeRefusal::IsPrimary(group.clone(), target.clone()));
        }
        let mut rebases = 0;
        loop {
            let current = self.stored_settings(&declared.team).await?;
            let current = current.ok_or_else(unknown_group)?;
            let mut settings = current.document.settings.clone();
            let marked = settings
                .groups
                .iter_mut()
                .find(|other| other.name == declared.settings.name)
                .ok_or_else(unknown_group)?
                .targets
                .iter_mut()
                .find(|other| other.name == *target)
                .ok_or_else(|| ChangeRefusal::UnknownTarget(group.clone(), target.clone()))?;
            if marked.leaving == is_leaving {
                return Ok(MarkOutcome::Unchanged(current.revision));
            }
            marked.leaving = is_leaving;
            let change = SettingsChange {
                settings,
                change_id: change_id.clone(),
                author: author.to_string(),
                expected: Some(current.revision),
                base: None,
                is_repeat: false,
            };
            let outcome = self.change_settings(&declared.team, change).await?;
            // A lost race has changed nothing, and the mark is independent of other changes.
            if matches!(outcome, SwapOutcome::Lost(_)) && rebases < MAX_REBASES {
                rebases += 1;
                continue;
            }
            return Ok(MarkOutcome::Changed(outcome));
        }
    }

    fn check_settings(
        &self,
        team: &TeamName,
        settings: &TeamSettings,
    ) -> Result<(), ChangeRefusal> {
        let topology = self.keeper().with_table(|table| table.topology().cloned());
        let topology = topology.ok_or(ChangeRefusal::NoTopology)?;
        let mut source = SettingsSource::new(&team_path(team));
        check_owner(settings, team, &mut source);
        check_team(settings, &topology, &mut source);
        source.into_result(()).map_err(ChangeRefusal::Invalid)
    }

    async fn run_swap(
        &self,
        store: &Arc<dyn StorePort>,
        mut resolver: SwapResolver,
        mut step: SwapStep,
    ) -> SwapOutcome {
        loop {
            step = match step {
                SwapStep::Done(outcome) => return outcome,
                SwapStep::Swap {
                    path,
                    expected,
                    value,
                } => {
                    let expected = expected.map(StoreRevision);
                    let call = store.compare_and_swap(&path, expected, value, None);
                    match within(call).await {
                        Ok(SwapReply::Swapped(revision)) => resolver.on_swapped(revision.0),
                        Ok(SwapReply::Conflict(entry)) => match entry.map(decode_entry).transpose()
                        {
                            Ok(current) => resolver.on_conflict(current),
                            Err(error) => resolver.on_not_made(&error),
                        },
                        Err(StoreError::ReplyLost(_)) => resolver.on_reply_lost(),
                        Err(error) => resolver.on_not_made(&error.to_string()),
                    }
                }
                SwapStep::Read { path } => {
                    self.clock().sleep(READ_PAUSE).await;
                    let entry = within(store.get(&path)).await;
                    let current = entry.map(|entry| entry.map(decode_entry).transpose());
                    match current {
                        Ok(Ok(current)) => resolver.on_read(current),
                        Ok(Err(_)) | Err(_) => resolver.on_read_failed(),
                    }
                }
            };
        }
    }
}

/// Stands for a version that the store does not have any more; no swap is ever made from it.
fn past_version(revision: u64, base: ChangeBase) -> StoredDocument {
    let mut settings = base.settings;
    settings.sort();
    let document = SettingsDocument::first(settings, base.change_id, "");
    StoredDocument { document, revision }
}

/// A lost race of a change whose base is not known: names the paths in which the stored settings differ
/// from those of the change.
fn lost_without_base(winner: Option<StoredDocument>, settings: &TeamSettings) -> SwapOutcome {
    let path = team_path(&settings.team);
    let Some(stored) = &winner else {
        return SwapOutcome::Lost(SwapConflict {
            winner: None,
            message: format!("{path} does not exist; your change was not made"),
            changed_paths: vec![path],
        });
    };
    let changed_paths = diff_settings(Some(settings), &stored.document.settings);
    let difference = match changed_paths.as_slice() {
        [] => "has the same settings as yours".to_string(),
        paths => format!("differs from yours in {}", paths.join(", ")),
    };
    let message = format!(
        "{path} was changed to revision {} by {} and {difference}; your change was not made: read \
         the document again and repeat it",
        stored.revision, stored.document.author,
    );
    SwapOutcome::Lost(SwapConflict {
        changed_paths,
        message,
        winner,
    })
}

fn decode_entry(entry: StoreEntry) -> Result<StoredDocument, String> {
    let document = SettingsDocument::decode(&entry.value).map_err(|error| error.to_string())?;
    let revision = entry.revision.0;
    Ok(StoredDocument { document, revision })
}

async fn within<T>(call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
    let reply = timeout(STORE_TIMEOUT, call).await;
    reply.unwrap_or(Err(StoreError::ReplyLost("timeout".to_string())))
}

pub(crate) fn outcome_name(outcome: &SwapOutcome) -> &'static str {
    match outcome {
        SwapOutcome::Effective { .. } => "effective",
        SwapOutcome::Lost(_) => "lost",
        SwapOutcome::NotMade { .. } => "not_made",
        SwapOutcome::Unresolved { .. } => "unresolved",
    }
}
