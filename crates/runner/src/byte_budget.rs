//! A budget of bytes that several connections share.
//!
//! When the bytes of all holders exceed the limit, the holder whose bytes times time without progress
//! are the highest has to be closed. A connection that moves is thus preferred to one that has
//! stopped, and a small one to a large one.

use heatherhollow_types::MonoTime;

/// Identifies a holder of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(pub u64);

#[derive(Debug)]
struct BudgetHolder {
    id: HolderId,
    bytes: usize,
    progress_at: MonoTime,
    /// Whether it was told to close. Its bytes count until it has done so.
    is_closing: bool,
}

/// The bytes of the holders of a budget.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: usize,
    /// Part of `used` of holders that are closing.
    closing: usize,
    /// Sorted by id.
    holders: Vec<BudgetHolder>,
    next_id: u64,
}

impl ByteBudget {
    /// Creates a budget without holders.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            closing: 0,
            holders: Vec::new(),
            next_id: 0,
        }
    }

    /// Returns the bytes of all holders.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns whether the bytes of all holders, also of those that are closing, are within the limit.
    pub fn has_room(&self) -> bool {
        self.used <= self.limit
    }

    /// Adds a holder without bytes.
    pub fn add_holder(&mut self, now: MonoTime) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        self.holders.push(BudgetHolder {
            id,
            bytes: 0,
            progress_at: now,
            is_closing: false,
        });
        id
    }

    /// Sets the bytes of a holder. Returns the holders that have to be closed; the changed holder may be
    /// among them.
    pub fn set_bytes(
        &mut self,
        id: HolderId,
        bytes: usize,
        is_progress: bool,
        now: MonoTime,
    ) -> Vec<HolderId> {
        let Ok(i) = self.find(id) else {
            return Vec::new();
        };
        let holder = &mut self.holders[i];
        if is_progress || holder.bytes == 0 {
            holder.progress_at = now;
        }
        self.used = self.used - holder.bytes + bytes;
        if holder.is_closing {
            self.closing = self.closing - holder.bytes + bytes;
        }
        holder.bytes = bytes;
        let mut closed = Vec::new();
        while self.used - self.closing > self.limit {
            let Some(worst) = self.worst_holder(now) else {
                break;
            };
            worst.is_closing = true;
            let bytes = worst.bytes;
            closed.push(worst.id);
            self.closing += bytes;
        }
        closed
    }

    /// Removes a holder with its bytes.
    pub fn remove_holder(&mut self, id: HolderId) {
        if let Ok(i) = self.find(id) {
            let holder = self.holders.remove(i);
            self.used -= holder.bytes;
            if holder.is_closing {
                self.closing -= holder.bytes;
            }
        }
    }

    fn find(&self, id: HolderId) -> Result<usize, usize> {
        self.holders.binary_search_by_key(&id, |holder| holder.id)
    }

    fn worst_holder(&mut self, now: MonoTime) -> Option<&mut BudgetHolder> {
        let weight = |holder: &&mut BudgetHolder| {
            // At least 1, so that size decides among holders that have just moved.
            let stalled = now.since(holder.progress_at).as_micros() + 1;
            stalled.saturating_mul(holder.bytes as u128)
        };
        let holders = self.holders.iter_mut().filter(|holder| !holder.is_closing);
        holders.max_by_key(weight)
    }
}
