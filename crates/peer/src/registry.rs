//! The links that are up, and which of two connections between two instances is kept.
//!
//! The instance with the lower name decides. While it has a link to a peer, dials the peer, or
//! exchanges hellos with it, it refuses further connections from that run of the peer. So when both
//! dial at once, its own connection is kept. The instance with the higher name accepts every
//! connection that the lower one dials and drops an earlier link for it, because the lower one
//! dials only when it has no link.

use std::sync::Arc;

use heatherhollow_types::InstanceName;

use crate::counters::HelloRefusal;
use crate::down::DownReason;
use crate::hello::PeerIdentity;
use crate::link::PeerLink;

/// A link with a number that tells it apart from later ones to the same peer.
#[derive(Clone)]
pub(crate) struct LinkRecord {
    pub(crate) serial: u64,
    pub(crate) link: Arc<PeerLink>,
}

impl LinkRecord {
    fn peer(&self) -> &InstanceName {
        &self.link.peer.instance
    }
}

/// Links of an instance, sorted by peer.
pub(crate) struct LinkRegistry {
    own: InstanceName,
    max_links: usize,
    links: Vec<LinkRecord>,
    claims: Vec<InstanceName>,
    last_serial: u64,
    is_stopping: bool,
}

impl LinkRegistry {
    pub(crate) fn new(own: InstanceName, max_links: usize) -> Self {
        Self {
            own,
            max_links,
            links: Vec::new(),
            claims: Vec::new(),
            last_serial: 0,
            is_stopping: false,
        }
    }

    /// The link to a peer, if one is up.
    pub(crate) fn find(&self, peer: &InstanceName) -> Option<&Arc<PeerLink>> {
        let i = self
            .links
            .binary_search_by(|record| record.peer().cmp(peer));
        i.ok()
            .map(|i| &self.links[i].link)
            .filter(|link| !link.is_closed())
    }

    /// All links that are up.
    pub(crate) fn up(&self) -> impl Iterator<Item = &LinkRecord> {
        self.links.iter().filter(|record| !record.link.is_closed())
    }

    fn has_claim(&self, peer: &InstanceName) -> bool {
        self.claims.contains(peer)
    }

    /// Claims the right to dial a peer.
    pub(crate) fn claim_dial(&mut self, peer: &InstanceName) -> bool {
        if self.is_stopping || self.has_claim(peer) || self.find(peer).is_some() {
            return false;
        }
        self.claims.push(peer.clone());
        true
    }

    /// Decides on a connection that a peer dialled; returns whether a claim was made for it.
    pub(crate) fn claim_accept(&mut self, identity: &PeerIdentity) -> Result<bool, HelloRefusal> {
        let peer = &identity.instance;
        if self.is_stopping {
            return Err(HelloRefusal::Stopping);
        }
        let present = self.find(peer).map(|link| link.peer.incarnation);
        if present.is_some_and(|present| present > identity.incarnation) {
            return Err(HelloRefusal::OldIncarnation);
        }
        if present.is_none() && self.links.len() >= self.max_links {
            return Err(HelloRefusal::Busy);
        }
        if self.own > *peer {
            return Ok(false);
        }
        if self.has_claim(peer) || present == Some(identity.incarnation) {
            return Err(HelloRefusal::Duplicate);
        }
        self.claims.push(peer.clone());
        Ok(true)
    }

    /// Gives a claim back.
    pub(crate) fn release(&mut self, peer: &InstanceName) {
        if let Some(i) = self.claims.iter().position(|claim| claim == peer) {
            self.claims.swap_remove(i);
        }
    }

    /// Adds a link and closes the one that it replaces; returns its serial number.
    pub(crate) fn add(&mut self, link: Arc<PeerLink>) -> Result<u64, HelloRefusal> {
        if self.is_stopping {
            return Err(HelloRefusal::Stopping);
        }
        self.last_serial += 1;
        let serial = self.last_serial;
        let peer = link.peer.instance.clone();
        let record = LinkRecord { serial, link };
        match self
            .links
            .binary_search_by(|record| record.peer().cmp(&peer))
        {
            Ok(i) => {
                let old = std::mem::replace(&mut self.links[i], record);
                old.link.close(DownReason::Replaced);
            }
            Err(_) if self.links.len() >= self.max_links => return Err(HelloRefusal::Busy),
            Err(i) => self.links.insert(i, record),
        }
        Ok(serial)
    }

    /// Removes a link unless a later one has taken its place.
    pub(crate) fn remove(&mut self, peer: &InstanceName, serial: u64) {
        if let Ok(i) = self
            .links
            .binary_search_by(|record| record.peer().cmp(peer))
            && self.links[i].serial == serial
        {
            self.links.remove(i);
        }
    }

    /// Whether no link is left, also none that is being closed.
    pub(crate) fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Accepts and dials no further links.
    pub(crate) fn stop(&mut self) {
        self.is_stopping = true;
    }
}
