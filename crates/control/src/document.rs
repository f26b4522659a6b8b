//! Settings as they are stored: with the change that made them, and differences between two versions.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use heatherhollow_types::RequestId;

use crate::declare::MAX_SETTINGS_BYTES;
use crate::settings::TOPOLOGY_PATH;
use crate::settings::TeamSettings;
use crate::settings::TopologySettings;
use crate::settings::team_path;

/// Ids of changes that a document remembers, its own included.
pub const MAX_RECENT_CHANGES: usize = 32;

/// Longest name of an author in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// Settings in the form of their stored document.
///
/// ```
/// use heatherhollow_control::{SettingsDocument, TeamSettings};
/// let settings = TeamSettings::empty("lidos".parse().unwrap());
/// let first = SettingsDocument::first(settings, "c-1".parse().unwrap(), "rana");
/// let bytes = first.encode();
/// assert_eq!(SettingsDocument::decode(&bytes).unwrap(), first);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsDocument<S = TeamSettings> {
    /// The settings.
    pub settings: S,
    /// Id of the change that made this version.
    pub change_id: RequestId,
    /// Who made it.
    pub author: String,
    /// Ids of the last changes, newest last; the last one is `change_id`.
    pub recent_changes: Vec<RequestId>,
}

/// Document of the topology.
pub type TopologyDocument = SettingsDocument<TopologySettings>;

/// Settings that can be stored as a document.
pub trait StoredSettings: Serialize + for<'de> Deserialize<'de> + Clone + PartialEq {
    /// Path of the document.
    fn path(&self) -> String;

    /// Sorts the lists, as lookups need it.
    fn sort(&mut self);
}

impl StoredSettings for TeamSettings {
    fn path(&self) -> String {
        team_path(&self.team)
    }

    fn sort(&mut self) {
        Self::sort(self);
    }
}

impl StoredSettings for TopologySettings {
    fn path(&self) -> String {
        TOPOLOGY_PATH.to_string()
    }

    fn sort(&mut self) {
        Self::sort(self);
    }
}

impl<S: StoredSettings> SettingsDocument<S> {
    /// The first version of a document.
    pub fn first(settings: S, change_id: RequestId, author: &str) -> Self {
        Self {
            settings,
            recent_changes: vec![change_id.clone()],
            change_id,
            author: limit_author(author),
        }
    }

    /// The version after this one.
    pub fn next(&self, settings: S, change_id: RequestId, author: &str) -> Self {
        let mut recent_changes = self.recent_changes.clone();
        recent_changes.push(change_id.clone());
        let extra = recent_changes.len().saturating_sub(MAX_RECENT_CHANGES);
        recent_changes.drain(..extra);
        Self {
            settings,
            change_id,
            author: limit_author(author),
            recent_changes,
        }
    }

    /// Whether the change is part of this version's recent past.
    pub fn includes(&self, change_id: &RequestId) -> bool {
        self.recent_changes.contains(change_id)
    }

    /// The stored bytes.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("settings have only text keys")
    }

    /// Reads stored bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, DocumentError> {
        if bytes.len() > MAX_SETTINGS_BYTES {
            return Err(DocumentError::TooLong(bytes.len(), MAX_SETTINGS_BYTES));
        }
        let parsed = serde_json::from_slice(bytes);
        let mut document: Self = parsed.map_err(|e| DocumentError::Malformed(e.to_string()))?;
        let count = document.recent_changes.len();
        let is_last = document.recent_changes.last() == Some(&document.change_id);
        if !is_last || count > MAX_RECENT_CHANGES || document.author.len() > MAX_AUTHOR_BYTES {
            return Err(DocumentError::BadHistory);
        }
        document.settings.sort();
        Ok(document)
    }
}

fn limit_author(author: &str) -> String {
    let mut end = author.len().min(MAX_AUTHOR_BYTES);
    while !author.is_char_boundary(end) {
        end -= 1;
    }
    author[..end].to_string()
}

/// Why stored bytes are not a document.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum DocumentError {
    /// the document has {0} bytes, more than the limit of {1}
    TooLong(usize, usize),
    /// the document is malformed: {0}
    Malformed(String),
    /// the document's author or list of recent changes breaks its rules
    BadHistory,
}

impl std::error::Error for DocumentError {}

/// Paths whose values differ between two versions, sorted; all of `new` if there is no old one.
pub fn diff_settings<S: StoredSettings>(old: Option<&S>, new: &S) -> Vec<String> {
    let as_value = |settings: &S| serde_json::to_value(settings).unwrap_or(Value::Null);
    let left = old.map_or(Value::Null, as_value);
    let mut paths = Vec::new();
    diff_values(&new.path(), &left, &as_value(new), &mut paths);
    paths.sort();
    paths.dedup();
    paths
}

fn diff_values(path: &str, left: &Value, right: &Value, paths: &mut Vec<String>) {
    if left == right {
        return;
    }
    let items = match (left, right) {
        (Value::Object(a), Value::Object(b)) => {
            let keys = a.keys().chain(b.keys().filter(|key| !a.contains_key(*key)));
            keys.map(|key| (key.clone(), a.get(key), b.get(key)))
                .collect()
        }
        (Value::Array(a), Value::Array(b)) => named_pairs(a, b),
        _ => {
            paths.push(path.to_string());
            return;
        }
    };
    for (key, a, b) in items {
        let [a, b] = [a, b].map(|value| value.unwrap_or(&Value::Null));
        diff_values(&format!("{path}/{key}"), a, b, paths);
    }
}

/// Entries of two lists, paired by name or, where they have none, by index.
fn named_pairs<'v>(
    left: &'v [Value],
    right: &'v [Value],
) -> Vec<(String, Option<&'v Value>, Option<&'v Value>)> {
    let name_of = |(i, item): (usize, &'v Value)| {
        let name = item.get("name").and_then(Value::as_str);
        (name.map_or_else(|| i.to_string(), str::to_string), item)
    };
    let mut left: Vec<_> = left.iter().enumerate().map(name_of).collect();
    let right = right.iter().enumerate().map(name_of);
    let mut pairs = Vec::new();
    for (name, item) in right {
        let found = left.iter().position(|(other, _)| *other == name);
        let other = found.map(|at| left.swap_remove(at).1);
        pairs.push((name, other, Some(item)));
    }
    pairs.extend(
        left.into_iter()
            .map(|(name, item)| (name, Some(item), None)),
    );
    pairs
}
