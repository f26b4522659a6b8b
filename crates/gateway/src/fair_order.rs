//! Fair order of the statements of several tenants that wait for one group.
//!
//! In the order by deadline alone, a tenant with many clients takes nearly all starts of a group
//! whose targets are too slow for all statements. Here, the tenant that has used less of the group
//! in proportion to its rate goes first. Four rules limit how far a statement can be pushed back:
//!
//! * The places that the order by deadline gives to the statements of a priority stay with that
//!   priority; tenants take turns within them. Otherwise statements with much time, of a tenant that
//!   has used little, would make urgent ones of other tenants late.
//! * A statement that has waited for half of its objective and is not late is passed by none of its
//!   priority.
//! * A pressed statement, one that has to start soon, is not passed by one with more time left, if
//!   its tenant has used at most its share. If the rule applied to all tenants, nearly all starts of
//!   an overloaded group would go to pressed statements, and these are in the order by deadline.
//! * Late statements stay last, in their present order.

use std::cmp::Ordering;
use std::time::Duration;

use heatherhollow_tenants::DemandMeter;
use heatherhollow_tenants::TenantName;
use heatherhollow_types::MonoTime;

use crate::session::RequestUrgency;

/// Time over which the starts of statements are smoothed.
const START_SMOOTHING: Duration = Duration::from_secs(1);

/// Smoothed starts below which the use of a tenant is forgotten; 5 s after a single start.
const FORGOTTEN_STARTS: f64 = 0.01;

/// Use that a started statement adds: it counts as in progress and as recently started.
const USE_OF_START: f64 = 2.0;

/// Statements of each tenant that were started recently; those without a tenant count as of one.
#[derive(Debug, Clone, Default)]
pub struct RecentStarts {
    /// Sorted by tenant.
    meters: Vec<(Option<TenantName>, DemandMeter)>,
}

impl RecentStarts {
    /// Counts a statement that is sent to a target.
    pub fn record(&mut self, tenant: Option<&TenantName>, now: MonoTime) {
        let found = self.find(tenant);
        let i = found.unwrap_or_else(|_| {
            self.meters.retain(|(_, meter)| {
                meter.per_second(START_SMOOTHING, now) * START_SMOOTHING.as_secs_f64()
                    >= FORGOTTEN_STARTS
            });
            let i = self.find(tenant).unwrap_or_else(|insertion| insertion);
            self.meters
                .insert(i, (tenant.cloned(), DemandMeter::default()));
            i
        });
        self.meters[i].1.record(START_SMOOTHING, now);
    }

    /// Returns the smoothed number of statements that were started in the last second.
    pub fn count(&self, tenant: Option<&TenantName>, now: MonoTime) -> f64 {
        let found = self.find(tenant);
        found.map_or(0.0, |i| {
            self.meters[i].1.per_second(START_SMOOTHING, now) * START_SMOOTHING.as_secs_f64()
        })
    }

    fn find(&self, tenant: Option<&TenantName>) -> Result<usize, usize> {
        self.meters
            .binary_search_by(|(known, _)| known.as_ref().cmp(&tenant))
    }
}

/// What a tenant has used of a group, and the rate that it may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantLoad {
    /// Statements in progress and statements that were started recently.
    pub used: f64,
    /// Rate of the tenant in operations a second; above 0.
    pub rate: f64,
}

/// A statement that waits for a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedStatement<'a> {
    /// Tenant of the statement; `None` if it has none.
    pub tenant: Option<&'a TenantName>,
    /// Place in the order without tenants.
    pub urgency: RequestUrgency,
    /// Whether the statement has waited for half of its objective.
    pub has_waited_half: bool,
    /// Whether less than twice the usual time of a statement is left until its latest start.
    pub is_pressed: bool,
}

/// Order in which waiting statements are considered.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FairOrder {
    /// Indexes of the statements, the first one to consider first.
    pub order: Vec<usize>,
    /// Indexes of the statements that are behind a statement of another tenant which is less urgent.
    pub overtaken: Vec<usize>,
}

/// Rank of a statement before its place in the order without tenants counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum OrderClass {
    /// The statement is passed by none.
    WaitedHalf,
    /// The statement is passed by none with more time left.
    Pressed,
    /// The use of the tenants decides.
    Shared,
    Late,
}

/// What decides the place of a statement.
struct OrderKey {
    /// Priority of the route; `None` for a late statement.
    priority: Option<u32>,
    class: OrderClass,
    level: f64,
    /// Place in the order without tenants.
    place: usize,
}

impl OrderKey {
    fn compare(&self, other: &Self) -> Ordering {
        let by_priority = self.priority.cmp(&other.priority);
        let by_class = by_priority.then(self.class.cmp(&other.class));
        let by_level = by_class.then(self.level.total_cmp(&other.level));
        by_level.then(self.place.cmp(&other.place))
    }
}

/// Tenant of waiting statements.
struct WaitingTenant<'a> {
    tenant: Option<&'a TenantName>,
    load: TenantLoad,
    /// Statements in time that are ahead of the next one in the order without tenants.
    ahead: f64,
}

impl FairOrder {
    /// Orders waiting statements; `load` is called once for each tenant that has one.
    ///
    /// A statement counts the earlier ones of its tenant as started, so that tenants take turns
    /// within one order. Statements that are equally urgent keep the order of `queued`.
    pub fn new(
        queued: &[QueuedStatement<'_>],
        mut load: impl FnMut(Option<&TenantName>) -> TenantLoad,
    ) -> Self {
        let mut order = (0..queued.len()).collect::<Vec<_>>();
        order.sort_by_key(|i| queued[*i].urgency);
        let mut tenants = Vec::<WaitingTenant>::new();
        for statement in queued.iter().filter(|statement| statement.is_in_time()) {
            if let Err(i) = tenants.binary_search_by_key(&statement.tenant, |known| known.tenant) {
                let tenant = WaitingTenant {
                    tenant: statement.tenant,
                    load: load(statement.tenant),
                    ahead: 0.0,
                };
                tenants.insert(i, tenant);
            }
        }
        if tenants.len() < 2 {
            let overtaken = Vec::new();
            return Self { order, overtaken };
        }
        let used = tenants.iter().map(|tenant| tenant.load.used).sum::<f64>();
        let rate = tenants.iter().map(|tenant| tenant.load.rate).sum::<f64>();
        let mut keyed = Vec::with_capacity(order.len());
        for (place, i) in order.into_iter().enumerate() {
            let statement = &queued[i];
            let found = tenants.binary_search_by_key(&statement.tenant, |known| known.tenant);
            let (class, level) = match found {
                Ok(t) if statement.is_in_time() => {
                    let WaitingTenant { load, ahead, .. } = &mut tenants[t];
                    let level = (load.used + USE_OF_START * *ahead) / load.rate;
                    *ahead += 1.0;
                    let is_within_share = load.used * rate <= used * load.rate;
                    match statement {
                        _ if statement.has_waited_half => (OrderClass::WaitedHalf, 0.0),
                        _ if statement.is_pressed && is_within_share => (OrderClass::Pressed, 0.0),
                        _ => (OrderClass::Shared, level),
                    }
                }
                _ => (OrderClass::Late, 0.0),
            };
            let key = OrderKey {
                priority: statement.priority(),
                class,
                level,
                place,
            };
            keyed.push((key, i));
        }
        let places = keyed.iter().map(|(key, _)| (key.priority, key.place));
        let mut places_by_priority = places.collect::<Vec<_>>();
        places_by_priority.sort();
        keyed.sort_by(|(key, _), (other, _)| key.compare(other));
        let keyed = places_by_priority.iter().zip(keyed);
        let mut moved = keyed
            .map(|((_, place), (key, i))| (*place, key.place, i))
            .collect::<Vec<_>>();
        moved.sort();
        let places = moved.iter().map(|(_, place, i)| (*place, *i));
        Self {
            overtaken: overtaken(queued, places),
            order: moved.iter().map(|(_, _, i)| *i).collect(),
        }
    }
}

impl QueuedStatement<'_> {
    fn is_in_time(&self) -> bool {
        self.priority().is_some()
    }

    /// Returns the priority of the route; `None` if the statement is late.
    fn priority(&self) -> Option<u32> {
        match self.urgency {
            RequestUrgency::InTime(_, priority) => Some(priority),
            RequestUrgency::Late(_) => None,
        }
    }
}

/// Returns the statements that have one of another tenant before them whose place without tenants is
/// behind theirs. `places` has these places and the indexes, in the fair order.
fn overtaken(
    queued: &[QueuedStatement<'_>],
    places: impl Iterator<Item = (usize, usize)>,
) -> Vec<usize> {
    // The last place so far, and the last one among the statements of the other tenants.
    let mut last = None::<(usize, Option<&TenantName>)>;
    let mut last_other = None::<usize>;
    let mut overtaken = Vec::new();
    for (place, i) in places {
        let tenant = queued[i].tenant;
        let passed_by = match last {
            Some((last, of)) if of != tenant => Some(last),
            _ => last_other,
        };
        if passed_by > Some(place) {
            overtaken.push(i);
        }
        match last {
            Some((last_place, of)) if of == tenant => {
                last = Some((last_place.max(place), of));
            }
            Some((last_place, _)) if last_place > place => {
                last_other = last_other.max(Some(place));
            }
            _ => {
                last_other = last.map(|(place, _)| place);
                last = Some((place, tenant));
            }
        }
    }
    overtaken
}
