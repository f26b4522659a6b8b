//! Figures of one run.

use serde_json::Value;
use serde_json::json;

/// Mean and highest of a figure over the nodes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Spread {
    pub mean: f64,
    pub highest: f64,
}

impl Spread {
    pub fn of(values: impl Iterator<Item = f64> + Clone) -> Self {
        let count = values.clone().count().max(1) as f64;
        Self {
            mean: values.clone().sum::<f64>() / count,
            highest: values.fold(0.0, f64::max),
        }
    }
}

/// Figures of one run.
#[derive(Debug, Clone)]
pub struct RunResult {
    pub nodes: usize,
    pub groups: usize,
    pub seconds: u64,
    pub messages: f64,
    pub sent: Spread,
    pub received: Spread,
    pub member_bytes: f64,
    pub settings_bytes: f64,
    pub status_bytes: f64,
    /// Sent bytes if ordinary answers replace the probes of near targets.
    pub sent_busy: Spread,
    pub relay_sent: f64,
    pub cpu: Spread,
    pub memory_mb: f64,
    pub store_reads: f64,
    pub start_reads: f64,
    pub store_writes: f64,
    pub settings_seconds: f64,
    pub gone_seconds: f64,
    /// Bytes a second between regions, all pairs and directions.
    pub far_bytes: f64,
    pub most_observed: usize,
    pub false_suspicions: u64,
}

impl RunResult {
    pub fn as_json(&self) -> Value {
        json!({
            "measure": "run", "nodes": self.nodes, "groups": self.groups,
            "virtual_seconds": self.seconds, "messages_sent_a_second": self.messages,
            "sent_bytes_mean": self.sent.mean, "sent_bytes_highest": self.sent.highest,
            "received_bytes_mean": self.received.mean,
            "received_bytes_highest": self.received.highest,
            "member_bytes_sent": self.member_bytes, "settings_bytes_sent": self.settings_bytes,
            "status_bytes_sent": self.status_bytes, "sent_bytes_mean_busy": self.sent_busy.mean,
            "sent_bytes_highest_busy": self.sent_busy.highest,
            "relay_sent_bytes_highest": self.relay_sent,
            "core_mean": self.cpu.mean, "core_highest": self.cpu.highest,
            "memory_mb_a_node": self.memory_mb, "store_reads_a_second": self.store_reads,
            "store_reads_a_second_at_start": self.start_reads,
            "store_writes_a_second": self.store_writes,
            "settings_seconds_highest": self.settings_seconds,
            "gone_everywhere_seconds": self.gone_seconds,
            "bytes_between_regions": self.far_bytes, "most_observed_groups": self.most_observed,
            "members_held_gone_wrongly": self.false_suspicions,
        })
    }
}
