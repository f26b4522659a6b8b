//! The two deployments that experiments run on, read from the declarations under `examples/`.

use heatherhollow_control::TeamSettings;
use heatherhollow_control::TopologySettings;
use heatherhollow_control::read_team;
use heatherhollow_control::read_topology;
use heatherhollow_types::DataCentre;

const TARAI_TOPOLOGY: &str = include_str!("../../../examples/tarai-willow/topology.toml");
const TARAI_TEAM: &str = include_str!("../../../examples/tarai-willow/teams/willow/services.toml");
const LIDOS_TOPOLOGY: &str = include_str!("../../../examples/lidos-authority/topology.toml");
const LIDOS_TEAM: &str =
    include_str!("../../../examples/lidos-authority/teams/lidos/services.toml");

/// A deployment with its declarations.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Regions and delays.
    pub topology: TopologySettings,
    /// The team's services.
    pub team: TeamSettings,
    /// Data centre of the key-value service.
    pub store_centre: DataCentre,
    /// Instances in each data centre.
    pub instances_per_centre: usize,
    /// Permille of the requests by service and kind; an empty kind is a write.
    pub mix: &'static [(&'static str, &'static str, u32)],
}

impl Deployment {
    /// Tarai Willow Holdings: most requests are lookups that accept an age.
    pub fn tarai_willow() -> Self {
        let topology = read_topology("topology.toml", TARAI_TOPOLOGY).expect("a valid topology");
        let team = read_team("services.toml", TARAI_TEAM, None, &topology);
        Self {
            name: "tarai-willow",
            team: team.expect("a valid declaration"),
            topology,
            store_centre: "nepalgunj".parse().expect("a valid name"),
            instances_per_centre: 3,
            mix: &[
                ("cleft-intake", "", 150),
                ("cleft-intake", "balance", 30),
                ("cleft-intake", "entries", 170),
                ("sorted-stock", "lookup", 400),
                ("seasoning", "check", 250),
            ],
        }
    }

    /// Aqaba Municipal Lidos Authority: more bookings, and lanes that are read as they stand.
    pub fn lidos_authority() -> Self {
        let topology = read_topology("topology.toml", LIDOS_TOPOLOGY).expect("a valid topology");
        let team = read_team("services.toml", LIDOS_TEAM, None, &topology);
        Self {
            name: "lidos-authority",
            team: team.expect("a valid declaration"),
            topology,
            store_centre: "aqaba-a".parse().expect("a valid name"),
            instances_per_centre: 3,
            mix: &[
                ("lanes", "", 200),
                ("lanes", "lane", 60),
                ("lanes", "own", 140),
                ("free-slots", "overview", 400),
                ("gate", "arrivals", 200),
            ],
        }
    }
}
