//! Arithmetic of connection permits.
//!
//! The connections of a service are split evenly over the targets of its group; a remainder is left
//! unused. Permits of a target are numbered from zero. The lowest ones, one for each observer of the
//! group, are reserved for status; the others are work permits, handed out in blocks.

use std::ops::Range;

use heatherhollow_types::DataCentre;
use heatherhollow_types::GroupName;
use heatherhollow_types::PermitNumber;
use heatherhollow_types::ServiceName;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TargetName;
use heatherhollow_types::TeamName;

use crate::settings::ServiceSettings;
use crate::settings::TeamSettings;

/// Work permits that are assigned to a holder together.
pub const PERMIT_BLOCK: u16 = 4;

/// Share of a target in the connections of a service.
///
/// ```
/// use heatherhollow_control::PermitCount;
/// let count = PermitCount::of(20, 3, 3);
/// assert_eq!((count.status, count.work), (3, 3));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitCount {
    /// Permits for status, one for each observer.
    pub status: u16,
    /// Permits for statements.
    pub work: u16,
}

impl PermitCount {
    /// Share of one of `targets` targets in `connections`, of which `observers` are for status.
    pub fn of(connections: u16, targets: usize, observers: usize) -> Self {
        let targets = u16::try_from(targets).unwrap_or(u16::MAX);
        let share = connections.checked_div(targets).unwrap_or(0);
        let status = u16::try_from(observers).unwrap_or(u16::MAX).min(share);
        Self {
            status,
            work: share - status,
        }
    }

    /// Number of permits.
    pub const fn total(self) -> u16 {
        self.status + self.work
    }

    /// Numbers of the work permits.
    pub const fn work_range(self) -> Range<u16> {
        self.status..self.status + self.work
    }

    /// Number of blocks of work permits; the last one may be smaller.
    pub const fn blocks(self) -> u16 {
        self.work.div_ceil(PERMIT_BLOCK)
    }

    /// What a permit is for; none if the target has no such permit.
    pub fn use_of(self, permit: PermitNumber) -> Option<PermitUse> {
        if permit.0 < self.status {
            return Some(PermitUse::Status { observer: permit.0 });
        }
        (permit.0 < self.total()).then(|| PermitUse::Work {
            block: (permit.0 - self.status) / PERMIT_BLOCK,
        })
    }

    /// Numbers of the permits of a block.
    pub fn block_range(self, block: u16) -> Range<u16> {
        let first = self
            .status
            .saturating_add(block.saturating_mul(PERMIT_BLOCK));
        let end = first.saturating_add(PERMIT_BLOCK).min(self.total());
        first.min(end)..end
    }
}

/// What a permit is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitUse {
    /// Status, for the observer in the data centre with this index among those of the group.
    Status {
        /// Index into [`ServicePermits::observer_centres`].
        observer: u16,
    },
    /// Statements, as part of this block.
    Work {
        /// Number of the block.
        block: u16,
    },
}

/// Permits of a service at each target of its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePermits {
    /// Team of the service.
    pub team: TeamName,
    /// The service.
    pub service: ServiceName,
    /// Its group.
    pub group: GroupName,
    /// Whether the service is the first of its group; the observer of a data centre then holds block 0
    /// of the first target there, so that ordinary answers replace its probes.
    pub leads_group: bool,
    /// Share of each target; all targets have the same.
    pub count: PermitCount,
    /// Name and data centre of each target, by [`TargetIndex`].
    pub targets: Vec<(TargetName, DataCentre)>,
    /// Data centres that have an observer, sorted.
    pub observer_centres: Vec<DataCentre>,
}

impl ServicePermits {
    /// Permits of a service of `settings`; none if its group is not declared.
    pub fn new(settings: &TeamSettings, service: &ServiceSettings) -> Option<Self> {
        let group = settings.group(&service.group)?;
        let first = settings.services.iter().find(|s| s.group == service.group);
        let observer_centres = group.data_centres();
        let targets = group.targets.len();
        let pairs = group.targets.iter();
        Some(Self {
            team: settings.team.clone(),
            service: service.name.clone(),
            group: group.name.clone(),
            leads_group: first.is_some_and(|first| first.name == service.name),
            count: PermitCount::of(service.connections, targets, observer_centres.len()),
            targets: pairs
                .map(|t| (t.name.clone(), t.data_centre.clone()))
                .collect(),
            observer_centres,
        })
    }

    /// Every permit of every target.
    pub fn all(&self) -> impl Iterator<Item = (TargetIndex, PermitNumber)> {
        let total = self.count.total();
        let targets = u16::try_from(self.targets.len()).unwrap_or(u16::MAX);
        (0..targets).flat_map(move |t| (0..total).map(move |p| (TargetIndex(t), PermitNumber(p))))
    }
}
