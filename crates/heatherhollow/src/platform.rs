//! Runs an instance on the operators' platform, on one thread.

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

use crate::logs;
use crate::logs::LogOutput;

/// Part of the bound on work for leaving targets that a leaving primary is still used; the rest is for
/// instances that learn of it late.
const LEAVING_FRACTION: f64 = 0.6;

/// Runs until the platform stops the process; `log` is the log filter.
pub fn run(log: &str) -> ExitCode {
    logs::start(log, LogOutput::Stdout);
    let settings = match PlatformSettings::path().and_then(|path| PlatformSettings::read(&path)) {
        Ok(settings) => settings,
        Err(fault) => {
            error!("settings_unusable error={:?}", fault.to_string());
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(fault) => {
            error!("runtime_not_started error={fault}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(heatherhollow_runner::run(parts(settings))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            error!("instance_failed error={:?}", fault.to_string());
            ExitCode::FAILURE
        }
    }
}

fn parts(settings: PlatformSettings) -> RunnerParts {
    let name = settings.instance.identity.name.clone();
    let drain_limit: Duration = settings.instance.drain_limit;
    let mut instance = settings.instance;
    instance.duty_lease = instance.duty_lease.max(settings.min_lease);
    instance.member_lease = instance.member_lease.max(settings.min_lease);
    RunnerParts {
        gateway: GatewaySettings {
            leaving_limit: drain_limit.mul_f64(LEAVING_FRACTION),
            ..GatewaySettings::default()
        },
        settings: instance,
        wire: Arc::new(LineProtocol {
            instance: name.clone(),
        }),
        catalog: Arc::new(EntryDecoder),
        status: Arc::new(StatusRowDecoder),
        store: Arc::new(StoreClient::new(settings.store)),
        promotions: promotion_port(settings.promotions, name),
        on_reload: Box::new(check_settings),
    }
}

fn promotion_port(address: Option<SocketAddr>, instance: String) -> Arc<dyn PromotionPort> {
    match address {
        Some(address) => Arc::new(PromotionClient::new(address, instance)),
        None => Arc::new(NoPromotions),
    }
}

/// The platform takes no orders.
struct NoPromotions;

#[async_trait]
impl PromotionPort for NoPromotions {
    async fn promote(&self, _group: &str, _target: &str, _token: u64) -> OrderReply {
        OrderReply::NotSent
    }
}

/// Reads the settings file again and says whether it could be used at the next start. Addresses and
/// names of a process do not change while it runs.
fn check_settings() {
    match PlatformSettings::path().and_then(|path| PlatformSettings::read(&path)) {
        Ok(settings) => info!("settings_read store={}", settings.store),
        Err(fault) => warn!("settings_unusable error={:?}", fault.to_string()),
    }
}
