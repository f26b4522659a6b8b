//! Wires the engine, the peer link and the HTTP interface, and runs them until a stop is asked for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use displaydoc::Display;
use rocket::Config;
use rocket::config::Shutdown as ShutdownConfig;
use rocket::fairing::AdHoc;
use sha2::Digest;
use sha2::Sha256;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use heatherhollow_peer::LinkSecret;
use heatherhollow_peer::PeerNetwork;
use heatherhollow_peer::PeerSettings;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::TokioClock;
use heatherhollow_proxy::EngineParts;
use heatherhollow_proxy::EngineSettings;
use heatherhollow_proxy::OperatorTokens;
use heatherhollow_proxy::ProxyEngine;
use heatherhollow_proxy::ProxyMetrics;
use heatherhollow_proxy::TargetDirectory;
use heatherhollow_proxy::api;
use heatherhollow_proxy::operator;
use heatherhollow_session::TokenCodec;
use heatherhollow_session::TokenKey;
use heatherhollow_types::Incarnation;

use crate::embedded::EmbeddedPlatform;
use crate::embedded::NoTargets;
use crate::options::ProgramSettings;

/// Interval at which a stop looks at the work that is still open.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// Time that callers and peers have to notice that the instance is leaving.
const LEAVE_NOTICE: Duration = Duration::from_millis(500);

/// Why the program ended early.
#[derive(Debug, Display)]
pub enum ServeError {
    /// the embedded platform cannot start: {0}
    Embedded(String),
    /// {0}
    Peers(String),
    /// a token secret is not usable: {0}
    TokenKey(String),
    /// the interface for callers cannot start: {0}
    Callers(String),
    /// the interface for operators cannot start: {0}
    Operators(String),
    /// signals cannot be handled: {0}
    Signals(std::io::Error),
}

/// Runs the proxy until it is told to stop.
pub async fn run(settings: ProgramSettings) -> Result<(), ServeError> {
    let incarnation = Incarnation(unix_micros());
    let tokens = OperatorTokens::parse(&settings.operator_tokens)
        .map_err(|error| ServeError::Operators(error.to_string()))?;
    let (targets, store) = start_platform(&settings).await?;
    let engine = ProxyEngine::new(EngineParts {
        settings: EngineSettings {
            instance: settings.instance.clone(),
            incarnation,
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
            can_hold: !settings.is_entry_only,
            ..EngineSettings::default()
        },
        clock: Arc::new(TokioClock::default()),
        targets,
        codec: token_codec(&settings)?,
        metrics: Arc::new(ProxyMetrics::default()),
        store,
    });
    let peers = start_peers(&settings, incarnation, &engine).await?;
    engine.start();
    let rocket = rocket::custom(http_config(settings.listen))
        .manage(engine.clone())
        .mount("/", api::routes())
        .register("/", api::catchers())
        .attach(AdHoc::on_liftoff("started", |rocket| {
            Box::pin(async move {
                let config = rocket.config();
                log::info!("callers_listen address={}:{}", config.address, config.port);
            })
        }));
    let rocket = rocket
        .ignite()
        .await
        .map_err(|error| ServeError::Callers(error.to_string()))?;
    let shutdown = rocket.shutdown();
    let operators = ignite_operators(settings.operator_listen, &engine, tokens).await?;
    let operators_shutdown = operators.shutdown();
    let mut terminate = signal(SignalKind::terminate()).map_err(ServeError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(ServeError::Signals)?;
    let server = tokio::spawn(rocket.launch());
    let mut server = std::pin::pin!(server);
    let operators = tokio::spawn(operators.launch());
    let mut operators = std::pin::pin!(operators);
    tokio::select! {
        ended = &mut server => return server_end(ended, ServeError::Callers),
        ended = &mut operators => return server_end(ended, ServeError::Operators),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    engine.begin_drain();
    tokio::select! {
        () = drain(&engine, settings.drain_limit) => {}
        _ = terminate.recv() => log_cut(&engine),
        _ = interrupt.recv() => log_cut(&engine),
    }
    operators_shutdown.notify();
    shutdown.notify();
    let ended = server.await;
    let _ = operators.await;
    peers.shutdown().await;
    log::info!("stopped instance={}", settings.instance);
    server_end(ended, ServeError::Callers)
}

async fn ignite_operators(
    listen: SocketAddr,
    engine: &Arc<ProxyEngine>,
    tokens: OperatorTokens,
) -> Result<rocket::Rocket<rocket::Ignite>, ServeError> {
    let rocket = rocket::custom(http_config(listen))
        .manage(engine.clone())
        .manage(tokens)
        .mount("/", operator::routes())
        .register("/", operator::catchers())
        .attach(AdHoc::on_liftoff("operators started", |rocket| {
            Box::pin(async move {
                let config = rocket.config();
                log::info!(
                    "operators_listen address={}:{}",
                    config.address,
                    config.port
                );
            })
        }));
    let ignited = rocket.ignite().await;
    ignited.map_err(|error| ServeError::Operators(error.to_string()))
}

type Platform = (Arc<dyn TargetDirectory>, Option<Arc<dyn StorePort>>);

async fn start_platform(settings: &ProgramSettings) -> Result<Platform, ServeError> {
    if !settings.is_embedded {
        return Ok((Arc::new(NoTargets), None));
    }
    let platform = EmbeddedPlatform::start(settings)
        .await
        .map_err(ServeError::Embedded)?;
    let store = platform.store();
    Ok((Arc::new(platform), Some(store)))
}

async fn start_peers(
    settings: &ProgramSettings,
    incarnation: Incarnation,
    engine: &Arc<ProxyEngine>,
) -> Result<Arc<PeerNetwork>, ServeError> {
    let peer_settings = PeerSettings {
        instance: settings.instance.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        cluster: settings.cluster.clone(),
        secret: LinkSecret::new(settings.peer_secret.as_bytes()),
        listen: settings.peer_listen,
        ..PeerSettings::default()
    };
    let started = PeerNetwork::start(peer_settings, engine.clone()).await;
    let (peers, address) = started.map_err(|error| ServeError::Peers(error.to_string()))?;
    log::info!("peers_listen address={address}");
    engine.connect_peers(peers.clone());
    let dialled = settings.peers.iter();
    peers.set_peers(
        dialled
            .map(|peer| (peer.instance.clone(), peer.address))
            .collect(),
    );
    Ok(peers)
}

fn token_codec(settings: &ProgramSettings) -> Result<TokenCodec, ServeError> {
    let secrets = std::iter::once(&settings.token_secret).chain(&settings.old_token_secrets);
    let keys = secrets.map(|secret| {
        let digest = Sha256::digest(secret.as_bytes());
        // The id has to follow from the secret, since instances rotate keys at different times.
        let id = u16::from_be_bytes([digest[0], digest[1]]);
        let key = Sha256::new()
            .chain_update(b"session-token")
            .chain_update(digest)
            .finalize();
        TokenKey::new(id, &key).map_err(|error| ServeError::TokenKey(error.to_string()))
    });
    Ok(TokenCodec::new(keys.collect::<Result<Vec<_>, _>>()?))
}

fn http_config(listen: SocketAddr) -> Config {
    Config {
        address: listen.ip(),
        port: listen.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: Default::default(),
            grace: 2,
            mercy: 2,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    }
}

async fn drain(engine: &ProxyEngine, limit: Duration) {
    tokio::time::sleep(LEAVE_NOTICE).await;
    let waited = tokio::time::timeout(limit, async {
        while engine.open_work() != (0, 0) {
            tokio::time::sleep(DRAIN_INTERVAL).await;
        }
    });
    if waited.await.is_err() {
        log_cut(engine);
    }
}

fn log_cut(engine: &ProxyEngine) {
    let (streams, transactions) = engine.open_work();
    log::warn!("drain_cut answers={streams} transactions={transactions}");
    engine.cut_transactions();
}

fn server_end<T>(
    ended: Result<Result<T, rocket::Error>, tokio::task::JoinError>,
    error: fn(String) -> ServeError,
) -> Result<(), ServeError> {
    match ended {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(cause)) => Err(error(cause.to_string())),
        Err(cause) => Err(error(cause.to_string())),
    }
}

/// Microseconds since 1970; an instance that starts again gets a higher incarnation.
fn unix_micros() -> u64 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    since.as_micros() as u64
}
