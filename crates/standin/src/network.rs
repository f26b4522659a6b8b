//! The network: delays, bandwidth between regions, and cuts.
//!
//! A message is lost if its link is cut when it departs or when it arrives. Loss is silent, as in a
//! real partition: callers that wait for an answer hang until their own timeout.

use std::fmt;
use std::str::FromStr;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use heatherhollow_types::DataCentre;
use heatherhollow_types::GroupName;
use heatherhollow_types::IdError;
use heatherhollow_types::InstanceName;
use heatherhollow_types::RegionName;
use heatherhollow_types::TargetName;

use crate::sync::lock;

/// Rate of a link in bytes a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkRate(pub u64);

impl LinkRate {
    fn time_for(self, bytes: usize) -> Duration {
        let nanos = bytes as u128 * 1_000_000_000 / u128::from(self.0.max(1));
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for LinkRate {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        text.parse()
            .map(Self)
            .map_err(|_| IdError::NotANumber(text.to_string()))
    }
}

/// Layout and timing of a [`NetworkModel`].
#[derive(Debug, Clone)]
pub struct NetworkSettings {
    /// Data centres with their regions.
    pub data_centres: Vec<(DataCentre, RegionName)>,
    /// One-way delay inside a data centre.
    pub delay_inside: Duration,
    /// One-way delay between data centres of a region.
    pub delay_between_data_centres: Duration,
    /// One-way delay between regions.
    pub delay_between_regions: Duration,
    /// One-way delays of single pairs of data centres, for both directions, instead of those above.
    pub delays: Vec<(DataCentre, DataCentre, Duration)>,
    /// Rate of each link between two regions, each way.
    pub link_rate: LinkRate,
    /// Rates of single links, from one region to another, instead of `link_rate`.
    pub link_rates: Vec<(RegionName, RegionName, LinkRate)>,
}

impl Default for NetworkSettings {
    fn default() -> Self {
        Self {
            data_centres: Vec::new(),
            delay_inside: Duration::from_micros(200),
            delay_between_data_centres: Duration::from_millis(1),
            delay_between_regions: Duration::from_millis(8),
            delays: Vec::new(),
            link_rate: LinkRate(3_750_000), // 30 Mbit/s
            link_rates: Vec::new(),
        }
    }
}

/// What a cut can be named by: everything in a data centre, one target or one instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LinkEnd {
    /// Everything in a data centre.
    DataCentre(DataCentre),
    /// One target of a group.
    Target(GroupName, TargetName),
    /// One instance.
    Instance(InstanceName),
}

impl From<&DataCentre> for LinkEnd {
    fn from(data_centre: &DataCentre) -> Self {
        Self::DataCentre(data_centre.clone())
    }
}

/// Sender or receiver of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NetworkPoint {
    data_centre: DataCentre,
    ends: Vec<LinkEnd>,
}

impl NetworkPoint {
    /// Some process of a data centre.
    pub fn of_data_centre(data_centre: &DataCentre) -> Self {
        Self {
            data_centre: data_centre.clone(),
            ends: vec![LinkEnd::from(data_centre)],
        }
    }

    /// A process that cuts can name by `end`.
    pub fn named(data_centre: &DataCentre, end: LinkEnd) -> Self {
        Self {
            data_centre: data_centre.clone(),
            ends: vec![LinkEnd::from(data_centre), end],
        }
    }

    /// The data centre of the process.
    pub fn data_centre(&self) -> &DataCentre {
        &self.data_centre
    }
}

/// Directions of a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutDirection {
    /// Only messages from the first end to the second one.
    OneWay,
    /// Messages in both directions.
    Both,
}

/// The message did not arrive because its link is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkCut;

impl fmt::Display for LinkCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the link is cut")
    }
}

impl std::error::Error for LinkCut {}

/// Bytes that were sent from one region to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionTraffic {
    /// Region of the senders.
    pub from: RegionName,
    /// Region of the receivers.
    pub to: RegionName,
    /// Bytes so far.
    pub bytes: u64,
}

#[derive(Debug)]
struct RegionLink {
    rate: LinkRate,
    free_at: Option<Instant>,
    traffic: RegionTraffic,
}

#[derive(Debug, Default)]
struct NetworkState {
    /// Directed cuts, sorted.
    cuts: Vec<(LinkEnd, LinkEnd)>,
    /// Links between regions that have been used, sorted by their ends.
    links: Vec<RegionLink>,
}

/// The network between data centres.
///
/// ```
/// use std::time::Duration;
/// use heatherhollow_standin::{CutDirection, LinkEnd, NetworkModel, NetworkPoint, NetworkSettings};
/// # tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap()
/// # .block_on(async {
/// let (south, north) = ("aqaba-a".parse().unwrap(), "amman-a".parse().unwrap());
/// let network = NetworkModel::new(NetworkSettings {
///     data_centres: vec![
///         (south, "south".parse().unwrap()),
///         (north, "north".parse().unwrap()),
///     ],
///     ..NetworkSettings::default()
/// });
/// let [from, to] = ["aqaba-a", "amman-a"].map(|name| NetworkPoint::of_data_centre(&name.parse().unwrap()));
/// assert!(network.transfer(&from, &to, 1_000).await.is_ok());
/// let (near, far) = (LinkEnd::from(from.data_centre()), LinkEnd::from(to.data_centre()));
/// network.cut(&near, &far, CutDirection::Both);
/// assert!(network.transfer(&from, &to, 1_000).await.is_err());
/// # });
/// ```
#[derive(Debug)]
pub struct NetworkModel {
    settings: NetworkSettings,
    state: Mutex<NetworkState>,
}

impl NetworkModel {
    /// A network without cuts.
    pub fn new(mut settings: NetworkSettings) -> Self {
        settings.data_centres.sort();
        Self {
            settings,
            state: Mutex::default(),
        }
    }

    /// The region of a data centre.
    ///
    /// # Panics
    ///
    /// If the data centre is not part of the network.
    pub fn region(&self, data_centre: &DataCentre) -> &RegionName {
        let all = &self.settings.data_centres;
        match all.binary_search_by(|(name, _)| name.cmp(data_centre)) {
            Ok(i) => &all[i].1,
            Err(_) => panic!("data centre {data_centre} is not part of the network"),
        }
    }

    /// One-way delay between two data centres, without queueing.
    pub fn delay(&self, from: &DataCentre, to: &DataCentre) -> Duration {
        let settings = &self.settings;
        let own = settings
            .delays
            .iter()
            .find(|(a, b, _)| (a, b) == (from, to) || (a, b) == (to, from));
        if let Some((_, _, delay)) = own {
            *delay
        } else if from == to {
            settings.delay_inside
        } else if self.region(from) == self.region(to) {
            settings.delay_between_data_centres
        } else {
            settings.delay_between_regions
        }
    }

    /// Cuts the link between two ends; what is sent over it is lost until [`Self::heal`].
    pub fn cut(&self, from: &LinkEnd, to: &LinkEnd, direction: CutDirection) {
        let mut state = lock(&self.state);
        for pair in directed_pairs(from, to, direction) {
            if let Err(i) = state.cuts.binary_search(&pair) {
                state.cuts.insert(i, pair);
            }
        }
    }

    /// Undoes a cut between the same two ends.
    pub fn heal(&self, from: &LinkEnd, to: &LinkEnd, direction: CutDirection) {
        let pairs = directed_pairs(from, to, direction);
        lock(&self.state).cuts.retain(|cut| !pairs.contains(cut));
    }

    /// Undoes all cuts.
    pub fn heal_all(&self) {
        lock(&self.state).cuts.clear();
    }

    /// Whether a message would be lost now.
    pub fn is_cut(&self, from: &NetworkPoint, to: &NetworkPoint) -> bool {
        lock(&self.state).is_cut(from, to)
    }

    /// Bytes that departed between regions so far, by direction.
    pub fn traffic(&self) -> Vec<RegionTraffic> {
        let state = lock(&self.state);
        state
            .links
            .iter()
            .map(|link| link.traffic.clone())
            .collect()
    }

    /// Bytes that departed between regions so far, in total.
    pub fn bytes_across_regions(&self) -> u64 {
        let state = lock(&self.state);
        state.links.iter().map(|link| link.traffic.bytes).sum()
    }

    /// Sends a message and returns when it has arrived, or at once if it is lost on departure.
    pub async fn transfer(
        &self,
        from: &NetworkPoint,
        to: &NetworkPoint,
        bytes: usize,
    ) -> Result<(), LinkCut> {
        let arrival = self.depart(from, to, bytes)?;
        tokio::time::sleep_until(arrival).await;
        if self.is_cut(from, to) {
            return Err(LinkCut);
        }
        Ok(())
    }

    /// Sends a message and returns when it has arrived; never returns if it is lost.
    pub(crate) async fn carry(&self, from: &NetworkPoint, to: &NetworkPoint, bytes: usize) {
        if self.transfer(from, to, bytes).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Sends a message and returns the time at which it will arrive.
    pub(crate) fn depart(
        &self,
        from: &NetworkPoint,
        to: &NetworkPoint,
        bytes: usize,
    ) -> Result<Instant, LinkCut> {
        let now = Instant::now();
        let delay = self.delay(&from.data_centre, &to.data_centre);
        let mut state = lock(&self.state);
        if state.is_cut(from, to) {
            return Err(LinkCut);
        }
        let from_region = self.region(&from.data_centre);
        let to_region = self.region(&to.data_centre);
        if from_region == to_region {
            return Ok(now + delay);
        }
        let link = state.link(from_region, to_region, &self.settings);
        let start = link.free_at.map_or(now, |free_at| free_at.max(now));
        let sent = start + link.rate.time_for(bytes);
        link.free_at = Some(sent);
        link.traffic.bytes += bytes as u64;
        Ok(sent + delay)
    }
}

impl NetworkState {
    fn is_cut(&self, from: &NetworkPoint, to: &NetworkPoint) -> bool {
        !self.cuts.is_empty()
            && self
                .cuts
                .iter()
                .any(|(a, b)| from.ends.contains(a) && to.ends.contains(b))
    }

    fn link(
        &mut self,
        from: &RegionName,
        to: &RegionName,
        settings: &NetworkSettings,
    ) -> &mut RegionLink {
        let found = self
            .links
            .binary_search_by(|link| (&link.traffic.from, &link.traffic.to).cmp(&(from, to)));
        let i = match found {
            Ok(i) => i,
            Err(i) => {
                let own = settings
                    .link_rates
                    .iter()
                    .find(|(a, b, _)| (a, b) == (from, to));
                let link = RegionLink {
                    rate: own.map_or(settings.link_rate, |(_, _, rate)| *rate),
                    free_at: None,
                    traffic: RegionTraffic {
                        from: from.clone(),
                        to: to.clone(),
                        bytes: 0,
                    },
                };
                self.links.insert(i, link);
                i
            }
        };
        &mut self.links[i]
    }
}

fn directed_pairs(
    from: &LinkEnd,
    to: &LinkEnd,
    direction: CutDirection,
) -> Vec<(LinkEnd, LinkEnd)> {
    let mut pairs = vec![(from.clone(), to.clone())];
    if direction == CutDirection::Both {
        pairs.push((to.clone(), from.clone()));
    }
    pairs
}
