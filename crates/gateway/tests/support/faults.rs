//! Faults of the simulation.

use std::time::Duration;

use rand::RngExt;

use super::ClusterSimulation;
use super::SimEvent;

impl ClusterSimulation {
    /// Schedules a random fault and its end.
    pub(super) fn add_fault(&mut self) {
        let at = self.random.random_range(3_000..7_500);
        let length = self.random.random_range(300..4_000);
        let instances = self.options.instances;
        let target = self.random.random_range(0..3);
        match self.random.random_range(0..7) {
            5 => {
                // The store loses the entry of a target that keeps running.
                self.schedule(at, SimEvent::Unlist(target, true));
                self.schedule(at + length * 2, SimEvent::Unlist(target, false));
            }
            0 => {
                self.schedule(at, SimEvent::Crash(target, true));
                self.schedule(at + length, SimEvent::Crash(target, false));
            }
            1 => {
                // A target is cut off from the other targets.
                let node = instances + target;
                for other in (0..3).filter(|other| *other != target) {
                    self.schedule(at, SimEvent::Cut(node, instances + other, true));
                    self.schedule(at + length, SimEvent::Cut(node, instances + other, false));
                }
            }
            2 => {
                // A target is cut off from some instances.
                let node = instances + target;
                for instance in 0..instances {
                    if self.random.random_bool(0.6) {
                        self.schedule(at, SimEvent::Cut(instance, node, true));
                        self.schedule(at + length, SimEvent::Cut(instance, node, false));
                    }
                }
            }
            3 => {
                let instance = self.random.random_range(0..instances);
                let until = self.now + Duration::from_millis(at + length);
                self.schedule(at, SimEvent::Freeze(instance, until));
            }
            4 => {
                let lag = Duration::from_millis(self.random.random_range(200..3_000));
                self.schedule(at, SimEvent::SetLag(target, lag));
                let usual = Duration::from_millis(15);
                self.schedule(at + length, SimEvent::SetLag(target, usual));
            }
            _ => {
                // The network is split into two sides.
                let side = (0..instances + 3)
                    .map(|_| self.random.random_bool(0.5))
                    .collect::<Vec<_>>();
                for a in 0..side.len() {
                    for b in a + 1..side.len() {
                        if side[a] != side[b] {
                            self.schedule(at, SimEvent::Cut(a, b, true));
                            self.schedule(at + length, SimEvent::Cut(a, b, false));
                        }
                    }
                }
            }
        }
    }

    /// Holds back two targets, mostly the replicas of the first primary, for some seconds. The
    /// primary has led for long enough then that another target may be made the primary.
    pub(super) fn add_late_records(&mut self) {
        let at = self.random.random_range(5_000..7_000);
        let until = at + self.random.random_range(3_500..6_500);
        let spared = match self.random.random_bool(0.8) {
            true => 0,
            false => self.random.random_range(1..3),
        };
        let until = self.now + Duration::from_millis(until);
        for target in (0..3).filter(|target| *target != spared) {
            self.schedule(at, SimEvent::HoldBack(target, until));
        }
    }

    /// Adds a split in two stages: first a target, and later an instance with it, is separated from
    /// the other instances and targets. The instance rejoins before or after the target. It misses
    /// a promotion in the meantime and still finds the old primary running.
    pub(super) fn add_staged_split(&mut self) {
        let at = self.random.random_range(3_000..7_500);
        let target = self.random.random_range(0..3);
        let instances = self.options.instances;
        let isolated = self.random.random_range(0..instances);
        let instance_cut_at = at + self.random.random_range(600..1_600);
        let end = instance_cut_at + self.random.random_range(300..2_500);
        let instance_cut_end = instance_cut_at + self.random.random_range(300..1_200);
        let others = (0..instances + 3)
            .filter(|node| *node != isolated && *node != instances + target)
            .collect::<Vec<_>>();
        for other in others {
            let node = instances + target;
            self.schedule(at, SimEvent::Cut(node, other, true));
            self.schedule(end, SimEvent::Cut(node, other, false));
            self.schedule(instance_cut_at, SimEvent::Cut(isolated, other, true));
            self.schedule(instance_cut_end, SimEvent::Cut(isolated, other, false));
        }
    }
}
