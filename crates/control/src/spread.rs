//! Settings of one instance: the table of documents, and how new revisions reach every instance.
//!
//! Two instances of each data centre watch the store. A new revision is announced along a tree over
//! the members of the data centre, which differs for each revision; who lacks it asks for it. Digests
//! on probes find what was missed. Only the store's revision decides, so the way does not matter.

use std::time::Duration;

use heatherhollow_types::DataCentre;
use heatherhollow_types::InstanceName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TeamName;
use heatherhollow_types::mix_bits;
use heatherhollow_types::stable_hash;

use crate::declare::MAX_SETTINGS_BYTES;
use crate::document::DocumentError;
use crate::document::SettingsDocument;
use crate::document::TopologyDocument;
use crate::message::ControlBody;
use crate::message::ControlSend;
use crate::message::MAX_ENTRIES;
use crate::message::MAX_PART_BYTES;
use crate::message::SettingsPush;
use crate::message::SettingsRevision;
use crate::message::SettingsRevisions;
use crate::message::SettingsWant;
use crate::rank::LiveView;
use crate::rank::ranked_members;
use crate::rank::store_watchers;
use crate::settings::TEAMS_PATH;
use crate::settings::TOPOLOGY_PATH;
use crate::settings::TeamSettings;
use crate::settings::TopologySettings;
use crate::settings::team_path;

/// Members that each member announces a revision to.
pub const NOTICE_FANOUT: usize = 4;

/// Differing digests are acted on only when the own documents have not changed for this long, as a
/// revision that is spreading reaches the others by itself.
pub const QUIET_WAIT: Duration = Duration::from_secs(1);

/// Longest time between two exchanges while they change nothing, for example because one side cannot
/// read a document that the other has in force.
const EXCHANGE_WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Most bytes of documents that one request is answered with; the rest is asked for again. All
/// documents of the plan have 2.4 MB.
const MAX_ANSWER_BYTES: usize = 4_000_000;

/// Most documents that are put together from parts at a time.
const MAX_ASSEMBLIES: usize = 4;

/// A document in force.
#[derive(Debug, Clone, PartialEq, Eq)]
enum DocumentBody {
    Team(Box<SettingsDocument>),
    Topology(Box<TopologyDocument>),
    /// The document was removed at this revision.
    Removed,
}

#[derive(Debug, Clone)]
struct TableEntry {
    path: String,
    revision: u64,
    bytes: Vec<u8>,
    body: DocumentBody,
}

/// What `SettingsTable::apply` did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The revision is in force.
    Applied,
    /// The same or a higher revision was in force already.
    Older,
    /// The bytes are not a document of the path; what was in force still is.
    Invalid(ApplyError),
}

/// Why a revision was not applied.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ApplyError {
    /// the path is not one of a settings document
    UnknownPath,
    /// the document belongs to another path, {0}
    OtherPath(String),
    /// {0}
    Document(DocumentError),
    /// the table has reached its limit of {0} documents
    TooMany(usize),
}

impl std::error::Error for ApplyError {}

/// Documents in force, one a team and the topology, each with its revision in the store.
#[derive(Debug, Clone, Default)]
pub struct SettingsTable {
    entries: Vec<TableEntry>,
    digest: u64,
    is_ready: bool,
}

impl SettingsTable {
    /// Applies a revision if it is higher than the one in force; no bytes: the document was removed.
    pub fn apply(&mut self, path: &str, revision: u64, bytes: Option<&[u8]>) -> ApplyOutcome {
        let found = self.entries.binary_search_by(|e| e.path.as_str().cmp(path));
        if found.is_ok_and(|at| self.entries[at].revision >= revision) {
            return ApplyOutcome::Older;
        }
        if found.is_err() && self.entries.len() >= MAX_ENTRIES {
            return ApplyOutcome::Invalid(ApplyError::TooMany(MAX_ENTRIES));
        }
        let body = match parse_body(path, bytes) {
            Ok(body) => body,
            Err(error) => return ApplyOutcome::Invalid(error),
        };
        let entry = TableEntry {
            path: path.to_string(),
            revision,
            bytes: bytes.unwrap_or_default().to_vec(),
            body,
        };
        self.digest ^= entry_digest(path, revision);
        match found {
            Ok(at) => {
                self.digest ^= entry_digest(path, self.entries[at].revision);
                self.entries[at] = entry;
            }
            Err(at) => self.entries.insert(at, entry),
        }
        ApplyOutcome::Applied
    }

    /// Notes that all documents of the store, or of a peer that is ready, have been applied.
    pub fn set_ready(&mut self) {
        self.is_ready = true;
    }

    /// Whether the instance may serve: it has had a complete set of documents.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Digest of all paths and revisions.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Revision in force of a path; 0 if there is none.
    pub fn revision(&self, path: &str) -> u64 {
        self.find(path).map_or(0, |entry| entry.revision)
    }

    /// Highest revision of all documents; watches start after it.
    pub fn highest_revision(&self) -> u64 {
        let revisions = self.entries.iter().map(|entry| entry.revision);
        revisions.max().unwrap_or(0)
    }

    /// Document in force of a team.
    pub fn team(&self, team: &TeamName) -> Option<&SettingsDocument> {
        match &self.find(&team_path(team))?.body {
            DocumentBody::Team(document) => Some(document),
            DocumentBody::Topology(_) | DocumentBody::Removed => None,
        }
    }

    /// Settings in force of all teams.
    pub fn teams(&self) -> impl Iterator<Item = &TeamSettings> {
        self.entries.iter().filter_map(|entry| match &entry.body {
            DocumentBody::Team(document) => Some(&document.settings),
            DocumentBody::Topology(_) | DocumentBody::Removed => None,
        })
    }

    /// Topology in force.
    pub fn topology(&self) -> Option<&TopologySettings> {
        match &self.find(TOPOLOGY_PATH)?.body {
            DocumentBody::Topology(document) => Some(&document.settings),
            DocumentBody::Team(_) | DocumentBody::Removed => None,
        }
    }

    /// Paths and revisions of all documents.
    pub fn revisions(&self) -> impl Iterator<Item = (&str, u64)> {
        self.entries.iter().map(|e| (e.path.as_str(), e.revision))
    }

    /// Paths of which a peer with these revisions has a higher one.
    pub fn missing(&self, peer: &[SettingsRevision]) -> Vec<String> {
        let newer = peer.iter().filter(|r| r.revision > self.revision(&r.path));
        newer.map(|r| r.path.clone()).collect()
    }

    fn find(&self, path: &str) -> Option<&TableEntry> {
        let found = self.entries.binary_search_by(|e| e.path.as_str().cmp(path));
        found.ok().map(|at| &self.entries[at])
    }
}

fn parse_body(path: &str, bytes: Option<&[u8]>) -> Result<DocumentBody, ApplyError> {
    let team = path.strip_prefix(TEAMS_PATH).map(str::parse::<TeamName>);
    let is_team = match team {
        Some(Ok(_)) => true,
        None if path == TOPOLOGY_PATH => false,
        _ => return Err(ApplyError::UnknownPath),
    };
    let Some(bytes) = bytes else {
        return Ok(DocumentBody::Removed);
    };
    if !is_team {
        let document = TopologyDocument::decode(bytes).map_err(ApplyError::Document)?;
        return Ok(DocumentBody::Topology(Box::new(document)));
    }
    let document = SettingsDocument::<TeamSettings>::decode(bytes).map_err(ApplyError::Document)?;
    let own_path = team_path(&document.settings.team);
    if own_path != path {
        return Err(ApplyError::OtherPath(own_path));
    }
    Ok(DocumentBody::Team(Box::new(document)))
}

fn entry_digest(path: &str, revision: u64) -> u64 {
    mix_bits(stable_hash(&[path]) ^ mix_bits(revision))
}

/// What the instance has to do about settings.
#[derive(Debug, Clone, PartialEq)]
pub enum SpreadAction {
    /// Send a message.
    Send(ControlSend),
    /// A document has a new revision in force.
    Changed {
        /// Its path.
        path: String,
        /// The revision.
        revision: u64,
    },
    /// A received document was not applied.
    Rejected {
        /// Its path.
        path: String,
        /// Why.
        error: ApplyError,
    },
}

/// A document of which some parts have arrived.
#[derive(Debug, Clone)]
struct PartAssembly {
    path: String,
    revision: u64,
    parts: Vec<Option<Vec<u8>>>,
}

/// Settings of one instance and their exchange with others.
#[derive(Debug, Clone)]
pub struct SettingsSpread {
    own: InstanceName,
    centre: DataCentre,
    table: SettingsTable,
    assemblies: Vec<PartAssembly>,
    quiet_digest: u64,
    quiet_since: MonoTime,
    next_exchange: MonoTime,
    exchange_wait: Duration,
    /// Documents that a ready peer had and this instance, not ready yet, is waiting for.
    awaited: Option<Vec<SettingsRevision>>,
}

impl SettingsSpread {
    /// Settings of an instance that has none yet.
    pub fn new(own: InstanceName, centre: DataCentre) -> Self {
        Self {
            own,
            centre,
            table: SettingsTable::default(),
            assemblies: Vec::new(),
            quiet_digest: 0,
            quiet_since: MonoTime::ZERO,
            next_exchange: MonoTime::ZERO,
            exchange_wait: QUIET_WAIT,
            awaited: None,
        }
    }

    /// The documents.
    pub fn table(&self) -> &SettingsTable {
        &self.table
    }

    /// Whether this instance is one of those that watch the store.
    pub fn is_watcher(&self, view: &LiveView) -> bool {
        let watchers = store_watchers(view, &self.centre);
        watchers.iter().any(|member| member.name == self.own)
    }

    /// The complete answer of the store to a list of all documents.
    pub fn on_store_list<'d>(
        &mut self,
        documents: impl IntoIterator<Item = (&'d str, u64, &'d [u8])>,
        view: &LiveView,
    ) -> Vec<SpreadAction> {
        let mut actions = Vec::new();
        for (path, revision, bytes) in documents {
            actions.extend(self.apply(path, revision, Some(bytes), view));
        }
        self.table.set_ready();
        actions
    }

    /// Removes documents in force that a complete list of the store does not have.
    ///
    /// A watch that was interrupted may have missed their removal. `store_revision` is that of the
    /// list; documents with a higher revision are kept.
    pub fn remove_unlisted(
        &mut self,
        listed: &[&str],
        store_revision: u64,
        view: &LiveView,
    ) -> Vec<SpreadAction> {
        let entries = self.table.entries.iter();
        let present = entries.filter(|entry| entry.body != DocumentBody::Removed);
        let missing = present.filter(|entry| !listed.contains(&entry.path.as_str()));
        let removed: Vec<_> = missing.map(|entry| entry.path.clone()).collect();
        let removals = removed.iter();
        removals
            .flat_map(|path| self.apply(path, store_revision, None, view))
            .collect()
    }

    /// A change that a watch of the store reports.
    pub fn on_store_change(
        &mut self,
        path: &str,
        revision: u64,
        bytes: Option<&[u8]>,
        view: &LiveView,
    ) -> Vec<SpreadAction> {
        let mut actions = self.apply(path, revision, bytes, view);
        // A watcher starts the tree even if it is not at its top, as the other one may be cut off.
        if !actions.is_empty() {
            let roots = self.children(path, revision, 0, view);
            actions.extend(roots.iter().map(|to| notice(to, path, revision)));
        }
        actions
    }

    /// Asks a peer for everything; used at the start when the store does not answer.
    pub fn ask_peer(&self, peer: &InstanceName) -> ControlSend {
        self.revisions_message(peer, true)
    }

    /// Takes the settings digest that came with a probe.
    pub fn on_peer_digest(
        &mut self,
        from: &InstanceName,
        digest: u64,
        now: MonoTime,
    ) -> Vec<SpreadAction> {
        let own = self.table.digest();
        if own != self.quiet_digest {
            self.quiet_digest = own;
            self.quiet_since = now;
            self.exchange_wait = QUIET_WAIT;
        }
        if digest == own {
            self.exchange_wait = QUIET_WAIT;
            return Vec::new();
        }
        if now < self.next_exchange || now.since(self.quiet_since) < QUIET_WAIT {
            return Vec::new();
        }
        self.next_exchange = now + self.exchange_wait;
        self.exchange_wait = (self.exchange_wait * 2).min(EXCHANGE_WAIT_LIMIT);
        vec![SpreadAction::Send(self.revisions_message(from, true))]
    }

    /// Takes a message about settings; others are ignored.
    pub fn handle(
        &mut self,
        from: &InstanceName,
        body: &ControlBody,
        view: &LiveView,
    ) -> Vec<SpreadAction> {
        match body {
            ControlBody::SettingsNotice(notice) => {
                let missing = self.table.missing(std::slice::from_ref(notice));
                want(from, missing)
            }
            ControlBody::SettingsWant(want) => self.on_want(from, want),
            ControlBody::SettingsPush(push) => self.on_push(push, view),
            ControlBody::SettingsRevisions(list) => self.on_revisions(from, list),
            _ => Vec::new(),
        }
    }

    fn on_want(&self, from: &InstanceName, want: &SettingsWant) -> Vec<SpreadAction> {
        let mut paths: Vec<_> = want.paths.iter().collect();
        paths.sort();
        paths.dedup();
        let mut actions = Vec::new();
        let mut bytes = 0;
        for path in paths {
            bytes += self.table.find(path).map_or(0, |entry| entry.bytes.len());
            if bytes > MAX_ANSWER_BYTES && !actions.is_empty() {
                break;
            }
            actions.extend(self.push_messages(from, path));
        }
        actions
    }

    fn on_revisions(&mut self, from: &InstanceName, list: &SettingsRevisions) -> Vec<SpreadAction> {
        let missing = self.table.missing(&list.entries);
        if list.is_ready && !self.table.is_ready() {
            self.awaited = Some(list.entries.clone());
            self.check_awaited();
        }
        let mut actions = want(from, missing);
        if list.wants_reply {
            actions.push(SpreadAction::Send(self.revisions_message(from, false)));
        }
        actions
    }

    fn on_push(&mut self, push: &SettingsPush, view: &LiveView) -> Vec<SpreadAction> {
        if push.revision <= self.table.revision(&push.path) {
            return Vec::new();
        }
        let bytes = match (push.is_removed, push.parts) {
            (true, _) => None,
            (false, 0 | 1) => Some(push.bytes.clone()),
            (false, _) => match self.assemble(push) {
                Some(bytes) => Some(bytes),
                None => return Vec::new(),
            },
        };
        let actions = self.apply(&push.path, push.revision, bytes.as_deref(), view);
        self.check_awaited();
        actions
    }

    fn assemble(&mut self, push: &SettingsPush) -> Option<Vec<u8>> {
        let parts = usize::try_from(push.parts).ok()?;
        let part = usize::try_from(push.part).ok()?;
        if part >= parts || parts > MAX_SETTINGS_BYTES.div_ceil(MAX_PART_BYTES) {
            return None;
        }
        let is_same = |a: &PartAssembly| a.path == push.path && a.revision == push.revision;
        let at = match self.assemblies.iter().position(is_same) {
            Some(at) => at,
            None => {
                self.assemblies
                    .retain(|a| a.path != push.path || a.revision > push.revision);
                if self.assemblies.len() >= MAX_ASSEMBLIES {
                    self.assemblies.remove(0);
                }
                self.assemblies.push(PartAssembly {
                    path: push.path.clone(),
                    revision: push.revision,
                    parts: vec![None; parts],
                });
                self.assemblies.len() - 1
            }
        };
        let slot = self.assemblies[at].parts.get_mut(part)?;
        *slot = Some(push.bytes.clone());
        if self.assemblies[at].parts.iter().any(Option::is_none) {
            return None;
        }
        let assembly = self.assemblies.remove(at);
        Some(assembly.parts.into_iter().flatten().flatten().collect())
    }

    /// Becomes ready when all documents of a ready peer are here.
    fn check_awaited(&mut self) {
        if let Some(awaited) = &self.awaited
            && self.table.missing(awaited).is_empty()
        {
            self.table.set_ready();
            self.awaited = None;
        }
    }

    fn apply(
        &mut self,
        path: &str,
        revision: u64,
        bytes: Option<&[u8]>,
        view: &LiveView,
    ) -> Vec<SpreadAction> {
        match self.table.apply(path, revision, bytes) {
            ApplyOutcome::Older => Vec::new(),
            ApplyOutcome::Invalid(error) => vec![SpreadAction::Rejected {
                path: path.to_string(),
                error,
            }],
            ApplyOutcome::Applied => {
                let mut actions = vec![SpreadAction::Changed {
                    path: path.to_string(),
                    revision,
                }];
                let members = self.tree(path, revision, view);
                let own = members.iter().position(|name| *name == &self.own);
                if let Some(at) = own {
                    let first = (at + 1) * NOTICE_FANOUT;
                    let children = members.iter().skip(first).take(NOTICE_FANOUT);
                    actions.extend(children.map(|to| notice(to, path, revision)));
                }
                actions
            }
        }
    }

    /// The members of the data centre in the order of the tree of a revision.
    fn tree<'v>(&self, path: &str, revision: u64, view: &'v LiveView) -> Vec<&'v InstanceName> {
        let members = view.members(&self.centre);
        let key = mix_bits(entry_digest(path, revision));
        let ranked = ranked_members(members, key, members.len());
        ranked.into_iter().map(|member| &member.name).collect()
    }

    fn children(
        &self,
        path: &str,
        revision: u64,
        first: usize,
        view: &LiveView,
    ) -> Vec<InstanceName> {
        let members = self.tree(path, revision, view).into_iter();
        let chosen = members.skip(first).take(NOTICE_FANOUT);
        chosen.filter(|name| **name != self.own).cloned().collect()
    }

    fn revisions_message(&self, to: &InstanceName, wants_reply: bool) -> ControlSend {
        let form = |(path, revision): (&str, u64)| SettingsRevision {
            path: path.to_string(),
            revision,
        };
        let list = SettingsRevisions {
            entries: self.table.revisions().map(form).collect(),
            is_ready: self.table.is_ready(),
            wants_reply,
        };
        ControlSend::new(to, ControlBody::SettingsRevisions(list))
    }

    fn push_messages(&self, to: &InstanceName, path: &str) -> Vec<SpreadAction> {
        let Some(entry) = self.table.find(path) else {
            return Vec::new();
        };
        let parts = entry.bytes.len().div_ceil(MAX_PART_BYTES).max(1);
        let push = |part: usize| {
            let start = part * MAX_PART_BYTES;
            let end = (start + MAX_PART_BYTES).min(entry.bytes.len());
            let push = SettingsPush {
                path: path.to_string(),
                revision: entry.revision,
                is_removed: entry.body == DocumentBody::Removed,
                part: u32::try_from(part).unwrap_or(u32::MAX),
                parts: u32::try_from(parts).unwrap_or(u32::MAX),
                bytes: entry.bytes[start..end].to_vec(),
            };
            SpreadAction::Send(ControlSend::new(to, ControlBody::SettingsPush(push)))
        };
        (0..parts).map(push).collect()
    }
}

fn notice(to: &InstanceName, path: &str, revision: u64) -> SpreadAction {
    let revision = SettingsRevision {
        path: path.to_string(),
        revision,
    };
    SpreadAction::Send(ControlSend::new(to, ControlBody::SettingsNotice(revision)))
}

fn want(to: &InstanceName, paths: Vec<String>) -> Vec<SpreadAction> {
    if paths.is_empty() {
        return Vec::new();
    }
    let body = ControlBody::SettingsWant(SettingsWant { paths });
    vec![SpreadAction::Send(ControlSend::new(to, body))]
}
