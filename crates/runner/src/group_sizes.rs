//! The sizes of the database groups, which the instances keep in the store.
//!
//! An instance that starts cannot tell from the list of targets how large a group is, since entries
//! of targets that serve may be missing.

use std::sync::Arc;

use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;

use heatherhollow_ports::StoreError;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::SwapReply;

/// Prefix of the paths of the sizes; the name of the group follows.
pub const SIZES_PREFIX: &str = "heatherhollow/groups/";

/// Value of a group's size in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct SizeValue {
    /// Number of targets that may hold commits of the group.
    members: u8,
}

/// Decodes a stored size; `None` if the path is not one of a size, or the value cannot be decoded.
pub fn decode_size(path: &str, value: &[u8]) -> Option<(String, u8)> {
    let group = path.strip_prefix(SIZES_PREFIX)?;
    match serde_json::from_slice::<SizeValue>(value) {
        Ok(value) => Some((group.to_string(), value.members)),
        Err(error) => {
            warn!(
                "group_size_unusable group={group:?} error={:?}",
                error.to_string()
            );
            None
        }
    }
}

/// Stores the size of a group, unless another instance has changed it from `previous` meanwhile.
pub async fn store_size(
    store: Arc<dyn StorePort>,
    group: String,
    previous: Option<u8>,
    members: u8,
) {
    let outcome = match swap_size(&*store, &group, previous, members).await {
        Ok(true) => "stored".to_string(),
        Ok(false) => "changed_meanwhile".to_string(),
        Err(error) => error.to_string(),
    };
    info!("group_size_stored group={group} members={members} outcome={outcome:?}");
}

/// Returns false if the stored size was not `previous`.
async fn swap_size(
    store: &dyn StorePort,
    group: &str,
    previous: Option<u8>,
    members: u8,
) -> Result<bool, StoreError> {
    let path = format!("{SIZES_PREFIX}{group}");
    let value = serde_json::to_vec(&SizeValue { members })
        .map_err(|error| StoreError::Rejected(error.to_string()))?;
    let mut expected = None;
    if previous.is_some() {
        let stored = store.get(&path).await?;
        let found = stored
            .as_ref()
            .and_then(|entry| decode_size(&path, &entry.value));
        if found.map(|(_, members)| members) != previous {
            return Ok(false);
        }
        expected = stored.map(|entry| entry.revision);
    }
    let reply = store.compare_and_swap(&path, expected, value, None).await?;
    Ok(matches!(reply, SwapReply::Swapped(_)))
}
