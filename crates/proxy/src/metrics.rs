//! Counters of the proxy, in the OpenMetrics text format.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use heatherhollow_types::FailureReason;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::RetryReason;
use heatherhollow_types::UnknownReason;

/// Label of a counter by reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// The reason's stable text.
    pub reason: &'static str,
}

/// Label of a counter of requests by outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// The outcome's stable text.
    pub outcome: &'static str,
}

/// Labels of the counter of connections of the HTTP listeners.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ListenerLabel {
    /// The listener: `callers` or `operators`.
    pub listener: &'static str,
    /// Why the connection was closed or refused.
    pub reason: &'static str,
}

/// Labels of the counter of reads.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReadLabel {
    /// Kind of read.
    pub kind: String,
    /// Role of the target that answered: `primary` or `replica`.
    pub role: &'static str,
}

/// Label of a counter of promotion runs by result.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PhaseLabel {
    /// Phase that was reached.
    pub phase: &'static str,
}

/// All counters of one instance.
pub struct ProxyMetrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Requests that did not run, by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Failed requests by reason.
    pub failures: Family<ReasonLabel, Counter>,
    /// Requests with unknown effect by reason.
    pub unknowns: Family<ReasonLabel, Counter>,
    /// Repeated tries by reason.
    pub retries: Family<ReasonLabel, Counter>,
    /// Retries that the budget did not allow.
    pub retries_denied: Counter,
    /// Reads by kind and role of the target.
    pub reads: Family<ReadLabel, Counter>,
    /// Connections of the HTTP listeners that were closed or refused for a limit.
    pub http_connections_closed: Family<ListenerLabel, Counter>,
    /// Promotion runs by phase.
    pub promotions: Family<PhaseLabel, Counter>,
    /// Time from arrival to the end of the answer, in seconds.
    pub duration: Histogram,
    /// Open transactions whose connection this instance owns.
    pub transactions: Gauge,
    /// Answers that are on their way to callers.
    pub streams: Gauge,
    /// Revision of the newest settings in force.
    pub settings_revision: Gauge,
}

impl Default for ProxyMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("heatherhollow");
        let requests = Family::default();
        registry.register("requests", "Requests by outcome", requests.clone());
        let refusals = Family::default();
        registry.register(
            "refusals",
            "Requests that did not run, by reason",
            refusals.clone(),
        );
        let failures = Family::default();
        registry.register("failures", "Failed requests by reason", failures.clone());
        let unknowns = Family::default();
        registry.register("unknowns", "Requests with unknown effect", unknowns.clone());
        let retries = Family::default();
        registry.register("retries", "Repeated tries by reason", retries.clone());
        let retries_denied = Counter::default();
        registry.register(
            "retries_denied",
            "Retries that the retry budget did not allow",
            retries_denied.clone(),
        );
        let reads = Family::default();
        registry.register(
            "reads",
            "Reads by kind and role of the target",
            reads.clone(),
        );
        let http_connections_closed = Family::default();
        registry.register(
            "http_connections_closed",
            "Connections of HTTP listeners that were closed or refused for a limit, by reason",
            http_connections_closed.clone(),
        );
        let promotions = Family::default();
        registry.register("promotions", "Promotion runs by phase", promotions.clone());
        let duration = Histogram::new(exponential_buckets(0.000_5, 2.0, 16));
        registry.register(
            "request_duration_seconds",
            "Time from arrival to the end of the answer",
            duration.clone(),
        );
        let transactions = Gauge::default();
        registry.register(
            "transactions_open",
            "Open transactions",
            transactions.clone(),
        );
        let streams = Gauge::default();
        registry.register("streams_open", "Answers on their way", streams.clone());
        let settings_revision = Gauge::default();
        registry.register(
            "settings_revision",
            "Store revision of the newest settings in force",
            settings_revision.clone(),
        );
        for reason in RefusalReason::ALL {
            let _ = refusals.get_or_create(&ReasonLabel {
                reason: reason.as_str(),
            });
        }
        for reason in RetryReason::ALL {
            let _ = retries.get_or_create(&ReasonLabel {
                reason: reason.as_str(),
            });
        }
        for reason in FailureReason::ALL {
            let _ = failures.get_or_create(&ReasonLabel {
                reason: reason.as_str(),
            });
        }
        for reason in UnknownReason::ALL {
            let _ = unknowns.get_or_create(&ReasonLabel {
                reason: reason.as_str(),
            });
        }
        Self {
            registry,
            requests,
            refusals,
            failures,
            unknowns,
            retries,
            retries_denied,
            reads,
            http_connections_closed,
            promotions,
            duration,
            transactions,
            streams,
            settings_revision,
        }
    }
}

impl ProxyMetrics {
    /// Counts the end of a caller's request.
    pub fn record_outcome(&self, outcome: RequestOutcome) {
        self.requests
            .get_or_create(&OutcomeLabel {
                outcome: outcome.name(),
            })
            .inc();
        let family = match outcome {
            RequestOutcome::Done => return,
            RequestOutcome::Failed(_) => &self.failures,
            RequestOutcome::NotRun { .. } => &self.refusals,
            RequestOutcome::Unknown(_) => &self.unknowns,
        };
        if let Some(reason) = outcome.reason() {
            family.get_or_create(&ReasonLabel { reason }).inc();
        }
    }

    /// Counts a repeated try.
    pub fn record_retry(&self, reason: RetryReason) {
        self.retries
            .get_or_create(&ReasonLabel {
                reason: reason.as_str(),
            })
            .inc();
    }

    /// Counts a phase of a promotion run.
    pub fn record_promotion(&self, phase: &'static str) {
        self.promotions.get_or_create(&PhaseLabel { phase }).inc();
    }

    /// Counts a read that was answered.
    pub fn record_read(&self, kind: &str, is_replica: bool) {
        let role = if is_replica { "replica" } else { "primary" };
        self.reads
            .get_or_create(&ReadLabel {
                kind: kind.to_string(),
                role,
            })
            .inc();
    }

    /// All counters as text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}
