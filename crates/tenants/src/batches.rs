//! Tokens of a tenant that were granted to an instance, in batches that expire together.
//!
//! All of them come from one holder. Once they are dropped, an operation that took one of them has
//! none to give back, so that no token of an earlier holder can be used again.

use heatherhollow_types::MonoTime;

/// Largest number of batches. Beyond it, the two that expire closest to each other are joined.
const MAX_BATCHES: usize = 8;

/// Tokens of a grant.
#[derive(Debug)]
pub(crate) struct TokenBatch {
    pub usable_from: MonoTime,
    pub expires: MonoTime,
    pub left: u32,
    /// Number of tokens that were taken for operations of which nothing was sent so far.
    pub taken: u32,
}

/// Granted tokens of a tenant.
#[derive(Debug, Default)]
pub(crate) struct TokenBatches {
    /// Sorted by time of expiry.
    batches: Vec<TokenBatch>,
    /// Number of operations of which nothing was sent so far and whose token is in no batch.
    detached: u32,
    /// Number of expired tokens that were not used.
    expired: u32,
    /// Time at which the first of the expired tokens was found.
    expired_since: MonoTime,
}

impl TokenBatches {
    /// Drops expired tokens; they can only be returned.
    pub fn expire(&mut self, now: MonoTime) {
        let ended = self.batches.partition_point(|batch| batch.expires <= now);
        for batch in self.batches.drain(..ended) {
            self.detached = self.detached.saturating_add(batch.taken);
            if batch.left > 0 && self.expired == 0 {
                self.expired_since = now;
            }
            self.expired = self.expired.saturating_add(batch.left);
        }
    }

    /// Drops all tokens. They can be neither used nor returned.
    pub fn drop_all(&mut self) {
        for batch in self.batches.drain(..) {
            self.detached = self.detached.saturating_add(batch.taken);
        }
        self.expired = 0;
    }

    /// Returns the number of tokens that are left.
    pub fn left(&self) -> u32 {
        let left = self.batches.iter().map(|batch| batch.left);
        left.fold(0, u32::saturating_add)
    }

    /// Returns the number of taken tokens that may be given back.
    pub fn taken(&self) -> u32 {
        let taken = self.batches.iter().map(|batch| batch.taken);
        taken.fold(0, u32::saturating_add)
    }

    /// Returns the number of tokens that may still be used: those that are left, and those that
    /// may be given back.
    pub fn held(&self) -> u32 {
        self.left().saturating_add(self.taken())
    }

    /// Returns the time since which expired tokens wait to be returned.
    pub fn expired_since(&self) -> Option<MonoTime> {
        (self.expired > 0).then_some(self.expired_since)
    }

    /// Gives up the expired tokens, and with `is_all` those that are left. Returns their number.
    pub fn give_up(&mut self, is_all: bool) -> u32 {
        let mut count = std::mem::take(&mut self.expired);
        if is_all {
            for batch in &mut self.batches {
                count = count.saturating_add(std::mem::take(&mut batch.left));
            }
            self.batches.retain(|batch| batch.taken > 0);
        }
        count
    }

    /// Takes the usable token that expires first. Returns whether there was one.
    pub fn take(&mut self, now: MonoTime) -> bool {
        let mut usable = self.batches.iter_mut();
        let batch = usable.find(|batch| batch.left > 0 && now >= batch.usable_from);
        batch.is_some_and(|batch| {
            batch.left -= 1;
            batch.taken += 1;
            true
        })
    }

    /// Notes an operation that was admitted without a token of these batches.
    pub fn add_detached(&mut self) {
        self.detached = self.detached.saturating_add(1);
    }

    /// Marks a taken token as used. It is not known of which batch it is; those that remain to be
    /// given back are of the first ones to expire, which extends no token's life.
    pub fn spend(&mut self) {
        let batch = self.batches.iter_mut().rfind(|batch| batch.taken > 0);
        match batch {
            Some(batch) => batch.taken -= 1,
            None => self.detached = self.detached.saturating_sub(1),
        }
        self.remove_used();
    }

    /// Gives back a taken token. It is lost if it may be one whose batch was dropped.
    pub fn give_back(&mut self) {
        if self.detached > 0 {
            self.detached -= 1;
            return;
        }
        let batch = self.batches.iter_mut().find(|batch| batch.taken > 0);
        if let Some(batch) = batch {
            batch.taken -= 1;
            batch.left += 1;
        }
    }

    /// Adds the tokens of a grant.
    pub fn add(&mut self, batch: TokenBatch) {
        if batch.left == 0 {
            return;
        }
        self.remove_used();
        let i = self
            .batches
            .partition_point(|other| other.expires <= batch.expires);
        self.batches.insert(i, batch);
        if self.batches.len() > MAX_BATCHES {
            self.join_closest();
        }
    }

    fn remove_used(&mut self) {
        self.batches
            .retain(|batch| batch.left > 0 || batch.taken > 0);
    }

    fn join_closest(&mut self) {
        let gaps = self.batches.windows(2);
        let gaps = gaps.map(|pair| pair[1].expires.since(pair[0].expires));
        let Some((i, _)) = gaps.enumerate().min_by_key(|(_, gap)| *gap) else {
            return;
        };
        let first = self.batches.remove(i);
        let joined = &mut self.batches[i];
        joined.usable_from = joined.usable_from.max(first.usable_from);
        joined.expires = first.expires;
        joined.left = joined.left.saturating_add(first.left);
        joined.taken = joined.taken.saturating_add(first.taken);
    }
}
