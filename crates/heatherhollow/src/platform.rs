//! Runs an instance on the operators' platform, on one thread.
//!
//! The settings come from the file that the platform provides, and log lines go to standard output.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use log::error;
use log::info;
use log::warn;

use heatherhollow_gateway::GatewaySettings;
use heatherhollow_gateway::OrderReply;
use heatherhollow_platform::EntryDecoder;
use heatherhollow_platform::LineProtocol;
use heatherhollow_platform::PlatformSettings;
use heatherhollow_platform::PromotionClient;
use heatherhollow_platform::StatusRowDecoder;
use heatherhollow_platform::StoreClient;
use heatherhollow_runner::PromotionPort;
use heatherhollow_runner::RunnerParts;
use heatherhollow_runner::set_peer_limits;

use crate::logs;
use crate::logs::LogOutput;

/// Fraction of the platform's time limit for draining during which a leaving primary still gets
/// work. The rest is for instances that learn late that the target is leaving.
const LEAVING_PRIMARY_FRACTION: f64 = 0.6;

/// Runs an instance until the platform stops the process; `log_filter` has the syntax of
/// `RUST_LOG`.
///
/// Returns exit code 2 if the settings cannot be used, and 1 if the instance fails.
pub fn run(log_filter: &str) -> ExitCode {
    logs::init(log_filter, LogOutput::Stdout);
    let settings = match PlatformSettings::path().and_then(|path| PlatformSettings::read(&path)) {
        Ok(settings) => settings,
        Err(error) => {
            error!("settings_unusable error={:?}", error.to_string());
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            error!("runtime_not_started error={error}");
            return ExitCode::FAILURE;
        }
    };
    if !set_peer_limits(settings.peer_limits.clone()) {
        warn!("peer_limits_not_set");
    }
    match runtime.block_on(heatherhollow_runner::run(runner_parts(settings))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("instance_failed error={:?}", error.to_string());
            ExitCode::FAILURE
        }
    }
}

/// Connects the ports of the runner to the platform's protocols.
///
/// Leases are at least as long as the shortest lease that the store grants.
fn runner_parts(settings: PlatformSettings) -> RunnerParts {
    let instance_name = settings.instance.identity.name.clone();
    let drain_limit: Duration = settings.instance.drain_limit;
    let mut instance = settings.instance;
    instance.duty_lease = instance.duty_lease.max(settings.min_lease);
    instance.member_lease = instance.member_lease.max(settings.min_lease);
    RunnerParts {
        gateway: GatewaySettings {
            leaving_limit: drain_limit.mul_f64(LEAVING_PRIMARY_FRACTION),
            revocation_limit: instance.revocation_limit,
            quota: settings.quota,
            ..GatewaySettings::default()
        },
        settings: instance,
        wire: Arc::new(LineProtocol {
            instance: instance_name.clone(),
        }),
        catalog: Arc::new(EntryDecoder),
        status: Arc::new(StatusRowDecoder),
        store: Arc::new(StoreClient::new(settings.store)),
        promotions: promotion_port(settings.promotions, instance_name),
        on_reload: Box::new(check_settings_file),
    }
}

/// Returns a client for the platform's promotion service, or a port that sends no orders if the
/// platform names no address.
fn promotion_port(address: Option<SocketAddr>, instance: String) -> Arc<dyn PromotionPort> {
    match address {
        Some(address) => Arc::new(PromotionClient::new(address, instance)),
        None => Arc::new(DisabledPromotions),
    }
}

/// Promotion port for platforms without a promotion service; every order is answered as not sent.
struct DisabledPromotions;

#[async_trait]
impl PromotionPort for DisabledPromotions {
    async fn promote(&self, _group: &str, _target: &str, _token: u64) -> OrderReply {
        OrderReply::NotSent
    }
}

/// Reads the settings file again and logs whether the next start could use it.
///
/// The running process keeps its settings, since its addresses and names cannot change.
fn check_settings_file() {
    match PlatformSettings::path().and_then(|path| PlatformSettings::read(&path)) {
        Ok(settings) => info!("settings_read store={}", settings.store),
        Err(error) => warn!("settings_unusable error={:?}", error.to_string()),
    }
}
