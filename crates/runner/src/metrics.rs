//! Counters, gauges and latency histograms of an instance, in the OpenMetrics text format.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use heatherhollow_gateway::GatewayStatistics;
use heatherhollow_gateway::LatencyKind;
use heatherhollow_gateway::QuotaRefusal;
use heatherhollow_types::FailureReason;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RetryReason;
use heatherhollow_types::UnknownReason;

use crate::peer_guard::PeerGuard;

/// Label set of a metric with one label.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Name of a reason, role, outcome, part or kind of latency; names are stable across versions.
    pub reason: &'static str,
}

/// Label set of a metric of memory.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PartLabel {
    /// What the memory is needed for; names are stable across versions.
    pub part: &'static str,
}

/// Metrics of an instance.
pub struct RunnerMetrics {
    registry: Registry,
    served: Family<ReasonLabel, Counter>,
    refused: Family<ReasonLabel, Counter>,
    failed: Family<ReasonLabel, Counter>,
    unknown: Family<ReasonLabel, Counter>,
    retried: Family<ReasonLabel, Counter>,
    promotions: Family<ReasonLabel, Counter>,
    operations_refused: Family<ReasonLabel, Counter>,
    quota_requests: Counter,
    quota_waits: Counter,
    quota_returns: Counter,
    quota_grants: Counter,
    queue_overtaken: Counter,
    /// Without a value while no tenant has a limit.
    quota_share: Family<Vec<(&'static str, &'static str)>, Gauge<f64, AtomicU64>>,
    connections_opened: Counter,
    placements: Counter,
    latencies: Family<ReasonLabel, Histogram>,
    sessions_revoked: Counter,
    /// Without a value while revocation is not strict.
    proof_age: Family<Vec<(&'static str, &'static str)>, Gauge<f64, AtomicU64>>,
    /// Limits for other instances, targets and probes.
    guard: Arc<PeerGuard>,
    peer_bytes: Family<ReasonLabel, Gauge>,
    client_bytes: Family<PartLabel, Gauge>,
    clients_refused: Family<ReasonLabel, Counter>,
    clients_closed: Family<ReasonLabel, Counter>,
    /// Number of open client sessions.
    pub sessions: Gauge,
}

impl Default for RunnerMetrics {
    fn default() -> Self {
        // Buckets from 1 ms, less than a network round trip, to 4 s, more than the time limit of a
        // statement.
        let histogram = || Histogram::new(exponential_buckets(0.001, 2.0, 13));
        let mut metrics = Self {
            registry: Registry::with_prefix("heatherhollow"),
            served: Family::default(),
            refused: Family::default(),
            failed: Family::default(),
            unknown: Family::default(),
            retried: Family::default(),
            promotions: Family::default(),
            operations_refused: Family::default(),
            quota_requests: Counter::default(),
            quota_waits: Counter::default(),
            quota_returns: Counter::default(),
            quota_grants: Counter::default(),
            queue_overtaken: Counter::default(),
            quota_share: Family::default(),
            connections_opened: Counter::default(),
            placements: Counter::default(),
            latencies: Family::new_with_constructor(histogram),
            sessions_revoked: Counter::default(),
            proof_age: Family::default(),
            guard: PeerGuard::of_process(),
            peer_bytes: Family::default(),
            client_bytes: Family::default(),
            clients_refused: Family::default(),
            clients_closed: Family::default(),
            sessions: Gauge::default(),
        };
        let registry = &mut metrics.registry;
        let counters = [
            (
                "statements_served",
                "Served statements by role",
                &metrics.served,
            ),
            (
                "statements_refused",
                "Statements that did not run",
                &metrics.refused,
            ),
            (
                "statements_failed",
                "Statements without effect",
                &metrics.failed,
            ),
            (
                "statements_unknown",
                "Statements with an unknown outcome",
                &metrics.unknown,
            ),
            (
                "statements_retried",
                "Repeated attempts by reason",
                &metrics.retried,
            ),
            (
                "promotion_runs",
                "Finished promotion runs by outcome",
                &metrics.promotions,
            ),
            (
                "tenant_operations_refused",
                "Operations refused for lack of a token of their tenant",
                &metrics.operations_refused,
            ),
            (
                "clients_refused",
                "Connections of clients that were not served, by reason",
                &metrics.clients_refused,
            ),
            (
                "clients_closed",
                "Connections of clients that a limit closed, by reason",
                &metrics.clients_closed,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "target_connections_opened",
            "Connections opened to targets",
            metrics.connections_opened.clone(),
        );
        registry.register(
            "placements",
            "Attempts to assign a waiting statement to a target",
            metrics.placements.clone(),
        );
        registry.register(
            "quota_requests",
            "Requests for tokens sent to other instances",
            metrics.quota_requests.clone(),
        );
        registry.register(
            "quota_waits",
            "Operations that waited for a token",
            metrics.quota_waits.clone(),
        );
        registry.register(
            "quota_returns",
            "Messages that returned tokens to other instances",
            metrics.quota_returns.clone(),
        );
        registry.register(
            "quota_grants",
            "Requests of other instances that were granted tokens",
            metrics.quota_grants.clone(),
        );
        registry.register(
            "queue_overtaken",
            "Waiting statements that one of another tenant passed",
            metrics.queue_overtaken.clone(),
        );
        registry.register(
            "quota_share",
            "Share of the tenants' rates that this instance grants as a holder",
            metrics.quota_share.clone(),
        );
        registry.register(
            "client_bytes",
            "Memory that clients take, by part, in bytes",
            metrics.client_bytes.clone(),
        );
        registry.register("sessions", "Open client sessions", metrics.sessions.clone());
        registry.register(
            "sessions_revoked",
            "Sessions ended because their keys were revoked",
            metrics.sessions_revoked.clone(),
        );
        registry.register(
            "catalog_proof_age_seconds",
            "Age of the newest proof that the configuration is the newest, in seconds",
            metrics.proof_age.clone(),
        );
        registry.register(
            "latency_seconds",
            "Latency of statements, of the wait for a connection and for evidence, in seconds",
            metrics.latencies.clone(),
        );
        registry.register(
            "peer_limits_exceeded",
            "Connections closed or refused, and forwarded statements refused, for a limit",
            metrics.guard.exceeded.clone(),
        );
        registry.register(
            "peer_bytes",
            "Bytes of incomplete frames and answers and of queued frames",
            metrics.peer_bytes.clone(),
        );
        metrics
    }
}

impl RunnerMetrics {
    /// Sets the age of the newest proof of the catalog.
    pub fn set_proof_age(&self, age: Duration) {
        let gauge = self.proof_age.get_or_create(&Vec::new());
        gauge.set(age.as_secs_f64());
    }

    /// Encodes all metrics as text.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let budgets = [
            ("link_frames", &self.guard.frames),
            ("link_queues", &self.guard.queues),
            ("target_answers", &self.guard.answers),
        ];
        for (reason, budget) in budgets {
            let bytes = i64::try_from(budget.used()).unwrap_or(i64::MAX);
            let label = ReasonLabel { reason };
            self.peer_bytes.get_or_create(&label).set(bytes);
        }
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    /// Counts a connection of a client that is not served.
    pub fn count_refused_client(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.clients_refused.get_or_create(&label).inc();
    }

    /// Counts a connection of a client that a limit closes.
    pub fn count_closed_client(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.clients_closed.get_or_create(&label).inc();
    }

    /// Sets the memory that clients take for a part.
    pub fn set_client_bytes(&self, part: &'static str, bytes: usize) {
        let value = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.client_bytes
            .get_or_create(&PartLabel { part })
            .set(value);
    }
}

/// Records the statistics of a gateway in the metrics.
pub struct MetricsRecorder(pub Arc<RunnerMetrics>);

impl MetricsRecorder {
    fn count(family: &Family<ReasonLabel, Counter>, reason: &'static str) {
        family.get_or_create(&ReasonLabel { reason }).inc();
    }
}

impl GatewayStatistics for MetricsRecorder {
    fn served(&mut self, is_primary: bool) {
        let role = if is_primary { "primary" } else { "replica" };
        Self::count(&self.0.served, role);
    }

    fn refused(&mut self, reason: RefusalReason) {
        Self::count(&self.0.refused, reason.as_str());
    }

    fn failed(&mut self, reason: FailureReason) {
        Self::count(&self.0.failed, reason.as_str());
    }

    fn unknown(&mut self, reason: UnknownReason) {
        Self::count(&self.0.unknown, reason.as_str());
    }

    fn retried(&mut self, reason: RetryReason) {
        Self::count(&self.0.retried, reason.as_str());
    }

    fn promotion_ended(&mut self, is_done: bool) {
        let outcome = if is_done { "done" } else { "given_up" };
        Self::count(&self.0.promotions, outcome);
    }

    fn placed(&mut self) {
        self.0.placements.inc();
    }

    fn connection_opened(&mut self) {
        self.0.connections_opened.inc();
    }

    fn sessions_revoked(&mut self, count: usize) {
        self.0.sessions_revoked.inc_by(count as u64);
    }

    fn operation_refused(&mut self, reason: QuotaRefusal) {
        Self::count(&self.0.operations_refused, reason.as_str());
    }

    fn quota_requested(&mut self) {
        self.0.quota_requests.inc();
    }

    fn quota_awaited(&mut self) {
        self.0.quota_waits.inc();
    }

    fn quota_returned(&mut self) {
        self.0.quota_returns.inc();
    }

    fn quota_granted(&mut self) {
        self.0.quota_grants.inc();
    }

    fn queue_overtaken(&mut self) {
        self.0.queue_overtaken.inc();
    }

    fn quota_share_changed(&mut self, share: f64) {
        self.0.quota_share.get_or_create(&Vec::new()).set(share);
    }

    fn latency(&mut self, kind: LatencyKind, value: Duration) {
        let reason = match kind {
            LatencyKind::Statement => "statement",
            LatencyKind::Queue => "queue",
            LatencyKind::Evidence => "evidence",
        };
        self.0
            .latencies
            .get_or_create(&ReasonLabel { reason })
            .observe(value.as_secs_f64());
    }
}
