//! Runs the proxy engine, the peer network and the HTTP servers for callers and operators.
//!
//! The first SIGTERM or SIGINT starts a drain: the instance announces that it is leaving, takes no
//! new sessions and lets open work finish. The drain limit or a second signal ends the drain early.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use displaydoc::Display;
use rocket::Config;
use sha2::Digest;
use sha2::Sha256;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

use heatherhollow_peer::LinkSecret;
use heatherhollow_peer::PeerNetwork;
use heatherhollow_peer::PeerSettings;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::TokioClock;
use heatherhollow_proxy::EngineParts;
use heatherhollow_proxy::EngineSettings;
use heatherhollow_proxy::HttpListener;
use heatherhollow_proxy::ListenerRoutes;
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

/// Interval at which a drain checks for open answers and transactions.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum duration of a drain, so that callers and peers learn that the instance is leaving; the
/// drain limit counts from its end.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(500);

/// Frames of peers that have arrived in part may take one of this many parts of the memory limit.
const PEER_MEMORY_PARTS: usize = 4;

/// Errors that prevent the program from starting or end it early.
#[derive(Debug, Display)]
pub enum ServeError {
    /// the embedded platform cannot start: {0}
    Embedded(String),
    /// {0}
    PeerNetwork(String),
    /// invalid token secret: {0}
    TokenSecret(String),
    /// the HTTP server for callers failed: {0}
    CallerServer(String),
    /// the HTTP server for operators failed: {0}
    OperatorServer(String),
    /// signal handlers cannot be installed: {0}
    Signals(std::io::Error),
}

/// Runs the proxy until a signal stops it or one of its HTTP servers ends.
///
/// Returns an error if a part cannot start or an HTTP server fails.
pub async fn run(settings: ProgramSettings) -> Result<(), ServeError> {
    let incarnation = Incarnation(unix_time_micros());
    let tokens = OperatorTokens::parse(&settings.operator_tokens)
        .map_err(|error| ServeError::OperatorServer(error.to_string()))?;
    let (targets, store) = start_platform(&settings).await?;
    let metrics = Arc::new(ProxyMetrics::default());
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
        metrics: metrics.clone(),
        store,
    });
    let peers = start_peers(&settings, incarnation, &engine).await?;
    engine.start();
    let callers = bind_callers(&settings, &engine, metrics.clone()).await?;
    let operators = bind_operators(&settings, &engine, tokens, metrics).await?;
    let mut terminate = signal(SignalKind::terminate()).map_err(ServeError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(ServeError::Signals)?;
    let stop = CancellationToken::new();
    log::info!("callers_listen address={}", callers.address());
    let mut callers = tokio::spawn(callers.serve(stop.clone()));
    log::info!("operators_listen address={}", operators.address());
    let mut operators = tokio::spawn(operators.serve(stop.clone()));
    tokio::select! {
        result = &mut callers => return server_result(result, ServeError::CallerServer),
        result = &mut operators => return server_result(result, ServeError::OperatorServer),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    engine.begin_drain();
    tokio::select! {
        () = wait_for_drain(&engine, settings.drain_limit) => {}
        _ = terminate.recv() => cut_open_work(&engine),
        _ = interrupt.recv() => cut_open_work(&engine),
    }
    stop.cancel();
    let callers = server_result(callers.await, ServeError::CallerServer);
    let operators = server_result(operators.await, ServeError::OperatorServer);
    peers.shutdown().await;
    log::info!("stopped instance={}", settings.instance);
    callers.and(operators)
}

/// Binds the listener for callers without serving it.
async fn bind_callers(
    settings: &ProgramSettings,
    engine: &Arc<ProxyEngine>,
    metrics: Arc<ProxyMetrics>,
) -> Result<HttpListener, ServeError> {
    let routes = ListenerRoutes {
        name: "callers",
        rocket: rocket::custom(http_config())
            .manage(engine.clone())
            .mount("/", api::routes())
            .register("/", api::catchers()),
        max_body_bytes: api::MAX_BODY_BYTES,
    };
    HttpListener::bind(settings.listen, routes, settings.caller_limits, metrics)
        .await
        .map_err(|error| ServeError::CallerServer(error.to_string()))
}

/// Binds the listener for operators without serving it.
async fn bind_operators(
    settings: &ProgramSettings,
    engine: &Arc<ProxyEngine>,
    tokens: OperatorTokens,
    metrics: Arc<ProxyMetrics>,
) -> Result<HttpListener, ServeError> {
    let routes = ListenerRoutes {
        name: "operators",
        rocket: rocket::custom(http_config())
            .manage(engine.clone())
            .manage(tokens)
            .mount("/", operator::routes())
            .register("/", operator::catchers()),
        max_body_bytes: operator::MAX_BODY_BYTES,
    };
    let (address, limits) = (settings.operator_listen, settings.operator_limits);
    HttpListener::bind(address, routes, limits, metrics)
        .await
        .map_err(|error| ServeError::OperatorServer(error.to_string()))
}

/// Access to the targets and, with `--embedded`, to the key-value store.
type PlatformPorts = (Arc<dyn TargetDirectory>, Option<Arc<dyn StorePort>>);

/// Starts the embedded platform if it is configured.
async fn start_platform(settings: &ProgramSettings) -> Result<PlatformPorts, ServeError> {
    if !settings.is_embedded {
        return Ok((Arc::new(NoTargets), None));
    }
    let platform = EmbeddedPlatform::start(settings)
        .await
        .map_err(ServeError::Embedded)?;
    let store = platform.store();
    Ok((Arc::new(platform), Some(store)))
}

/// Starts the peer network, connects it to the engine and sets the peers to dial.
async fn start_peers(
    settings: &ProgramSettings,
    incarnation: Incarnation,
    engine: &Arc<ProxyEngine>,
) -> Result<Arc<PeerNetwork>, ServeError> {
    let mut peer_settings = PeerSettings {
        instance: settings.instance.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        cluster: settings.cluster.clone(),
        secret: LinkSecret::new(settings.peer_secret.as_bytes()),
        listen: settings.peer_listen,
        ..PeerSettings::default()
    };
    if let Some(limit) = settings.memory_limit {
        peer_settings.max_incoming_bytes = limit / PEER_MEMORY_PARTS;
    }
    let started = PeerNetwork::start(peer_settings, engine.clone()).await;
    let (peers, address) = started.map_err(|error| ServeError::PeerNetwork(error.to_string()))?;
    log::info!("peers_listen address={address}");
    engine.connect_peers(peers.clone());
    let peer_addresses = settings.peers.iter();
    peers.set_peers(
        peer_addresses
            .map(|peer| (peer.instance.clone(), peer.address))
            .collect(),
    );
    Ok(peers)
}

/// Builds the codec of session tokens: new tokens use the current secret, and
/// tokens of earlier secrets are still accepted.
fn token_codec(settings: &ProgramSettings) -> Result<TokenCodec, ServeError> {
    let secrets = std::iter::once(&settings.token_secret).chain(&settings.old_token_secrets);
    let keys = secrets.map(|secret| {
        let digest = Sha256::digest(secret.as_bytes());
        // The key id is derived from the secret because instances rotate keys at different times.
        let id = u16::from_be_bytes([digest[0], digest[1]]);
        let key = Sha256::new()
            .chain_update(b"session-token")
            .chain_update(digest)
            .finalize();
        TokenKey::new(id, &key).map_err(|error| ServeError::TokenSecret(error.to_string()))
    });
    Ok(TokenCodec::new(keys.collect::<Result<Vec<_>, _>>()?))
}

/// Returns the configuration of Rocket, which logs nothing itself.
fn http_config() -> Config {
    Config {
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        ..Config::release_default()
    }
}

/// Waits until no work is open; after `limit`, rolls back the open transactions.
async fn wait_for_drain(engine: &ProxyEngine, limit: Duration) {
    tokio::time::sleep(MIN_DRAIN_TIME).await;
    let waited = tokio::time::timeout(limit, async {
        while engine.open_work() != (0, 0) {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    });
    if waited.await.is_err() {
        cut_open_work(engine);
    }
}

/// Ends a drain early: logs the work that is still open and rolls back open transactions.
fn cut_open_work(engine: &ProxyEngine) {
    let (streams, transactions) = engine.open_work();
    log::warn!("drain_cut answers={streams} transactions={transactions}");
    engine.cut_transactions();
}

/// Converts the result of a server task; `to_error` builds the error of that server.
fn server_result(
    result: Result<(), tokio::task::JoinError>,
    to_error: fn(String) -> ServeError,
) -> Result<(), ServeError> {
    result.map_err(|error| to_error(error.to_string()))
}

/// Returns the Unix time in microseconds, so that a restarted instance gets a higher incarnation.
fn unix_time_micros() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_micros() as u64
}
