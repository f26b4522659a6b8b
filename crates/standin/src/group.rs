//! A database group.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use tokio::time::Instant;

use heatherhollow_ports::TargetPort;
use heatherhollow_types::DataCentre;
use heatherhollow_types::GroupName;
use heatherhollow_types::TargetName;
use heatherhollow_types::TermNumber;

use crate::fault::GroupFaults;
use crate::network::NetworkModel;
use crate::network::NetworkPoint;
use crate::replication;
use crate::state::TargetState;
use crate::storage::RowChange;
use crate::target::TargetCell;
use crate::target::TargetHandle;

/// One target of a [`DatabaseGroup`].
#[derive(Debug, Clone)]
pub struct TargetSettings {
    /// Name of the target.
    pub name: TargetName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Statements that run at once; the others queue.
    pub slots: usize,
    /// Most connections that are open at once, those of all services together.
    pub connection_limit: usize,
    /// As a replica: time from the arrival of a record to its place in the log.
    pub lag: Duration,
    /// Greatest random addition to `lag`; records keep their order.
    pub lag_jitter: Duration,
    /// As a replica: time from a record's place in the log to its visibility for reads.
    pub apply_delay: Duration,
}

impl TargetSettings {
    /// A target with 3 slots, 20 connections and a lag of 10 ms.
    pub fn new(name: TargetName, data_centre: DataCentre) -> Self {
        Self {
            name,
            data_centre,
            slots: 3,
            connection_limit: 20,
            lag: Duration::from_millis(10),
            lag_jitter: Duration::ZERO,
            apply_delay: Duration::ZERO,
        }
    }
}

/// Settings of a [`DatabaseGroup`].
#[derive(Debug, Clone)]
pub struct GroupSettings {
    /// Name of the group.
    pub name: GroupName,
    /// Its targets; the first one is the primary of term 1.
    pub targets: Vec<TargetSettings>,
    /// Time that a target takes to accept a connection.
    pub connect_time: Duration,
    /// Time that a statement holds its slot, without its own additions.
    pub statement_time: Duration,
    /// Longest silence of a healthy primary towards its replicas.
    pub heartbeat: Duration,
    /// Rows at the start, by key.
    pub rows: Vec<(String, String)>,
    /// Seed of the replication jitter.
    pub seed: u64,
}

impl GroupSettings {
    /// A group with the targets `t0`, `t1` and so on, one in each of the data centres.
    ///
    /// # Panics
    ///
    /// If `name` is not a valid name.
    pub fn spread(name: &str, data_centres: &[DataCentre]) -> Self {
        let parse_name = |text: String| match TargetName::try_from(text) {
            Ok(name) => name,
            Err(error) => panic!("{error}"),
        };
        let targets = data_centres.iter().enumerate();
        Self {
            name: match name.parse() {
                Ok(name) => name,
                Err(error) => panic!("{name:?} is not a group name: {error}"),
            },
            targets: targets
                .map(|(i, place)| TargetSettings::new(parse_name(format!("t{i}")), place.clone()))
                .collect(),
            ..Self::default()
        }
    }
}

impl Default for GroupSettings {
    fn default() -> Self {
        Self {
            name: match "group".parse() {
                Ok(name) => name,
                Err(error) => panic!("{error}"),
            },
            targets: Vec::new(),
            connect_time: Duration::from_millis(10),
            statement_time: Duration::from_millis(2),
            heartbeat: Duration::from_millis(100),
            rows: Vec::new(),
            seed: 1,
        }
    }
}

#[derive(Debug)]
pub(crate) struct GroupCore {
    pub settings: GroupSettings,
    pub targets: Vec<Arc<TargetCell>>,
    this: Weak<GroupCore>,
}

impl GroupCore {
    pub(crate) fn index(&self, name: &TargetName) -> usize {
        let found = self.targets.iter().position(|t| t.settings.name == *name);
        match found {
            Some(index) => index,
            None => panic!("group {} has no target {name}", self.settings.name),
        }
    }

    pub(crate) fn target(&self, name: &TargetName) -> &Arc<TargetCell> {
        &self.targets[self.index(name)]
    }

    /// Starts to send the log of a primary to all other targets.
    pub(crate) fn start_replication(&self, primary: usize, term: TermNumber, epoch: u64) {
        for (i, replica) in self.targets.iter().enumerate() {
            if i == primary {
                continue;
            }
            let pair = replication::ReplicationPair {
                group: self.this.clone(),
                primary: self.targets[primary].clone(),
                replica: replica.clone(),
                term,
                epoch,
                heartbeat: self.settings.heartbeat,
                seed: self.settings.seed ^ (term.0 << 16) ^ ((i as u64) << 8) ^ epoch,
            };
            tokio::spawn(replication::run(pair));
        }
    }
}

/// A group of targets, of which one is the primary.
///
/// ```
/// use heatherhollow_ports::{AnswerPart, CallStep, ConnectionPermit, TargetCall};
/// use heatherhollow_standin::{DatabaseGroup, GroupSettings, NetworkModel, NetworkSettings};
/// use heatherhollow_types::{DataCentre, PermitNumber};
/// # tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap()
/// # .block_on(async {
/// let here: DataCentre = "nepalgunj".parse().unwrap();
/// let network = NetworkModel::new(NetworkSettings {
///     data_centres: vec![(here.clone(), "tarai".parse().unwrap())],
///     ..NetworkSettings::default()
/// });
/// let settings = GroupSettings::spread("willow-ledger", &vec![here.clone(); 3]);
/// let group = DatabaseGroup::new(settings, network.into());
/// let primary = group.target(&"t0".parse().unwrap(), &here);
/// let permit = ConnectionPermit {
///     service: "ledger".parse().unwrap(),
///     number: PermitNumber(0),
///     holder: "i0".parse().unwrap(),
/// };
/// let mut connection = primary.connect(permit).await.unwrap();
/// let call = TargetCall {
///     statement: "put lane:4 club-a".to_string(),
///     step: CallStep::Single,
///     is_read_only: false,
///     request: None,
///     term: None,
/// };
/// connection.begin_call(call).await.unwrap();
/// assert!(matches!(connection.next_part().await, Ok(AnswerPart::Head(_))));
/// let row = connection.next_part().await.unwrap();
/// let text = r#"{"key":"lane:4","value":"club-a"}"#;
/// assert_eq!(row, AnswerPart::Row(text.into()));
/// assert!(connection.next_part().await.unwrap().is_end());
/// # });
/// ```
#[derive(Debug, Clone)]
pub struct DatabaseGroup {
    core: Arc<GroupCore>,
}

impl DatabaseGroup {
    /// Starts a group; has to be called within a tokio runtime. Its replication ends when the group
    /// and all handles and ports to it are dropped.
    pub fn new(settings: GroupSettings, network: Arc<NetworkModel>) -> Self {
        let now = Instant::now();
        let rows = settings.rows.iter();
        let rows: Vec<_> = rows
            .map(|(key, value)| RowChange {
                key: key.clone(),
                value: Some(value.clone()),
            })
            .collect();
        let targets = settings.targets.iter().enumerate();
        let targets = targets
            .map(|(i, target)| {
                let state = TargetState::new(i == 0, &rows, now);
                Arc::new(TargetCell::new(&settings, target, &network, state))
            })
            .collect();
        let core = Arc::new_cyclic(|this| GroupCore {
            settings,
            targets,
            this: this.clone(),
        });
        core.start_replication(0, TermNumber(1), 0);
        Self { core }
    }

    /// Name of the group.
    pub fn name(&self) -> &GroupName {
        &self.core.settings.name
    }

    /// Names of the targets with their data centres, in the order of the settings.
    pub fn targets(&self) -> Vec<(TargetName, DataCentre)> {
        let targets = self.core.targets.iter();
        targets
            .map(|t| (t.settings.name.clone(), t.settings.data_centre.clone()))
            .collect()
    }

    /// A target as it is seen from a data centre.
    ///
    /// # Panics
    ///
    /// If the group has no such target.
    pub fn target(&self, name: &TargetName, from: &DataCentre) -> Arc<dyn TargetPort> {
        self.target_from(name, NetworkPoint::of_data_centre(from))
    }

    /// A target as it is seen from one process, which cuts can name.
    ///
    /// # Panics
    ///
    /// If the group has no such target.
    pub fn target_from(&self, name: &TargetName, from: NetworkPoint) -> Arc<dyn TargetPort> {
        Arc::new(TargetHandle {
            index: self.core.index(name),
            group: self.core.clone(),
            from,
        })
    }

    /// Handle for faults and for checkers.
    pub fn faults(&self) -> GroupFaults {
        GroupFaults::new(self.core.clone())
    }
}
