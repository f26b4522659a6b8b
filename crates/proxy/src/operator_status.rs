//! State of one instance and what it knows of the cluster, for operators.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use heatherhollow_control::TOPOLOGY_PATH;
use heatherhollow_control::team_path;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TeamName;

use crate::engine::ProxyEngine;
use crate::group::GroupRunner;
use crate::table::DeclaredGroup;
use crate::view::MemberView;

/// A target whose last answer is older than this counts as not reachable.
const REACHABLE_SPAN: Duration = Duration::from_secs(2);

impl ProxyEngine {
    /// State of the instance; groups, lanes and settings only of the teams that `is_shown` names.
    pub fn operator_status(&self, is_shown: impl Fn(&TeamName) -> bool) -> Value {
        let (answers, transactions) = self.open_work();
        let view = self.view();
        let members = view.members().iter();
        let instances = members.map(|member| self.member_status(member));
        let instances = instances.collect::<Vec<_>>();
        let table = self.table();
        let groups = table.iter().flat_map(|table| table.groups());
        let groups = groups.filter(|group| is_shown(&group.team));
        let groups = groups.map(|group| self.group_status(group));
        json!({
            "instance": self.own.instance.as_str(),
            "readiness": self.readiness().map_or_else(|reason| reason.as_str(), |()| "ready"),
            "open": { "answers": answers, "transactions": transactions },
            "instances": instances,
            "groups": groups.collect::<Vec<_>>(),
            "lanes": self.lane_status(&is_shown),
            "settings": self.revision_status(&is_shown),
        })
    }

    /// How many of the known instances have a revision of a team's document in force.
    ///
    /// A peer counts once its digest is the same as this instance's, which has the revision. While
    /// other documents change, it may count later than it should, but never too early.
    pub fn force_status(&self, team: &TeamName, revision: u64) -> Value {
        let path = team_path(team);
        let keeper = self.keeper();
        let (own_revision, own_digest) =
            keeper.with_table(|table| (table.revision(&path), table.digest()));
        let has_own = own_revision >= revision;
        let view = self.view();
        let (mut in_force, mut missing, mut unreachable) = (0, Vec::new(), Vec::new());
        for member in view.members() {
            let name = member.instance.as_str();
            let has_it = if member.instance == self.own.instance {
                has_own
            } else if member.is_connected {
                let digest = keeper.peer_digest(&member.instance);
                has_own && digest.is_some_and(|digest| digest.0 == own_digest)
            } else {
                unreachable.push(name);
                continue;
            };
            match has_it {
                true => in_force += 1,
                false => missing.push(name),
            }
        }
        json!({
            "team": team.as_str(),
            "revision": revision,
            "in_force": in_force,
            "known": view.members().len(),
            "missing": missing,
            "unreachable": unreachable,
        })
    }

    fn member_status(&self, member: &MemberView) -> Value {
        let is_own = member.instance == self.own.instance;
        let digest = match is_own {
            true => Some(self.keeper().digest()),
            false => self.keeper().peer_digest(&member.instance),
        };
        let liveness = match (member.is_connected, member.is_leaving) {
            (false, _) => "unreachable",
            (true, true) => "leaving",
            (true, false) => "live",
        };
        json!({
            "name": member.instance.as_str(),
            "data_centre": member.data_centre.as_str(),
            "region": member.region.as_str(),
            "liveness": liveness,
            "holds_connections": member.can_hold,
            "settings_digest": digest.map(|digest| format!("{:016x}", digest.0)),
        })
    }

    fn group_status(&self, group: &DeclaredGroup) -> Value {
        let centres = group.settings.data_centres();
        let view = self.view();
        let observers = view.observers(&group.team, &group.settings.name, &centres);
        let observers = observers.iter().map(|observer| observer.as_str());
        let mut status = json!({
            "name": group.full_name.as_str(),
            "observers": observers.collect::<Vec<_>>(),
            "is_observed_here": false,
        });
        if let Some(runner) = self.known_runner(&group.full_name) {
            runner_status(&runner, self.clock().now(), &mut status);
        }
        status
    }

    fn lane_status(&self, is_shown: &impl Fn(&TeamName) -> bool) -> Vec<Value> {
        let lanes = self.lock_lanes();
        let lanes = lanes.iter().filter(|entry| is_shown(&entry.team));
        let table = self.table();
        let lanes = lanes.map(|entry| {
            let service = table
                .as_ref()
                .and_then(|table| table.service(&entry.team, &entry.service));
            let target = service.and_then(|service| service.group.settings.target(entry.target));
            let (counts, waiting) = entry.lane.counts();
            json!({
                "team": entry.team.as_str(),
                "service": entry.service.as_str(),
                "target": target.map(|target| target.name.as_str()),
                "permits": counts.permits,
                "opening": counts.opening,
                "idle": counts.idle,
                "in_use": counts.in_use,
                "waiting": waiting,
            })
        });
        lanes.collect()
    }

    fn revision_status(&self, is_shown: &impl Fn(&TeamName) -> bool) -> Value {
        let is_path_shown = |path: &str| {
            let team = path.strip_prefix(heatherhollow_control::TEAMS_PATH);
            let team = team.and_then(|team| team.parse::<TeamName>().ok());
            path == TOPOLOGY_PATH || team.is_some_and(|team| is_shown(&team))
        };
        self.keeper().with_table(|table| {
            let revisions = table.revisions().filter(|(path, _)| is_path_shown(path));
            let revisions =
                revisions.map(|(path, revision)| json!({ "path": path, "revision": revision }));
            json!({
                "digest": format!("{:016x}", table.digest()),
                "documents": revisions.collect::<Vec<_>>(),
            })
        })
    }
}

fn runner_status(runner: &GroupRunner, now: MonoTime, status: &mut Value) {
    let settings = runner.settings();
    let state = runner.lock();
    let primary = state.primary;
    let target_status = |i: usize| {
        let target = TargetIndex(i as u16);
        let declared = &settings.targets[i];
        let mut status = json!({
            "name": declared.name.as_str(),
            "data_centre": declared.data_centre.as_str(),
            "role": Value::Null,
            "is_leaving": state.is_leaving(target),
            "is_reachable": false,
        });
        let Some(seen) = &state.reports[i] else {
            return status;
        };
        let report = &seen.report;
        let age = state.tracker.age_bound(report.applied, now);
        let lag = state.tracker.lag(target, now).map(|lag| lag.mean);
        status["role"] = json!(if report.is_primary {
            "primary"
        } else {
            "replica"
        });
        status["term"] = json!(report.promised.0);
        status["position"] = json!(report.applied.to_string());
        status["is_reachable"] = json!(now.since(seen.answered_at) <= REACHABLE_SPAN);
        status["age_ms"] = json!(age.map(|age| age.as_millis() as u64));
        if !report.is_primary {
            status["lag_ms"] = json!(lag.map(|lag| lag.as_millis() as u64));
        }
        status
    };
    status["is_observed_here"] = json!(true);
    status["primary"] = json!(primary.map(|p| settings.targets[p.target.as_usize()].name.as_str()));
    status["term"] = json!(primary.map(|p| p.term.0));
    status["is_suspected"] = json!(state.suspicion.suspected_since().is_some());
    let targets = (0..settings.targets.len()).map(target_status);
    status["targets"] = json!(targets.collect::<Vec<_>>());
}
