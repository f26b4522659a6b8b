//! Settings of the process, from flags and environment variables of the same names.
//!
//! `--peer-listen` and `HEATHERHOLLOW_PEER_LISTEN` are the same setting; the flag takes precedence.
//! All invalid settings are reported together.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display as DisplayDoc;
use getopts::Options;

use heatherhollow_limits::SlotLimits;
use heatherhollow_proxy::ListenerLimits;
use heatherhollow_proxy::MIN_HEADER_BYTES;
use heatherhollow_proxy::OperatorTokens;
use heatherhollow_types::DataCentre;
use heatherhollow_types::InstanceName;
use heatherhollow_types::RegionName;

/// Invalid flag, environment variable or combination of settings.
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub enum OptionError {
    /// {0}
    Usage(String),
    /// --{0} = {1:?}: {2}
    InvalidValue(&'static str, String, String),
    /// {0}
    InvalidSettings(String),
}

/// Action that the command line selects.
pub enum ProgramCommand {
    /// Print a text and exit.
    Print(String),
    /// Run with these settings.
    Run(Box<ProgramSettings>),
    /// Run on the operators' platform, with the settings file that it provides.
    RunOnPlatform {
        /// Log filter in the syntax of `RUST_LOG`.
        log_filter: String,
    },
}

/// Name and address of a peer to dial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Name of the peer.
    pub instance: InstanceName,
    /// Address at which the peer accepts links.
    pub address: SocketAddr,
}

/// Settings of the process, unless it runs on the operators' platform.
#[derive(Debug, Clone)]
pub struct ProgramSettings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: RegionName,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for peers.
    pub peer_listen: SocketAddr,
    /// Listen address for operators.
    pub operator_listen: SocketAddr,
    /// Limits of the listener for callers.
    pub caller_limits: ListenerLimits,
    /// Limits of the listener for operators.
    pub operator_limits: ListenerLimits,
    /// Memory limit of the process in bytes, if one is given.
    pub memory_limit: Option<usize>,
    /// Tokens for operators, each as `TEAM=TOKEN`, or `*=TOKEN` for all teams.
    pub operator_tokens: Vec<String>,
    /// Peers to dial.
    pub peers: Vec<PeerAddress>,
    /// Name of the cluster; links to other clusters are refused.
    pub cluster: String,
    /// Secret that the instances of the cluster share.
    pub peer_secret: String,
    /// Secret from which the key of session tokens is derived.
    pub token_secret: String,
    /// Earlier secrets of session tokens whose tokens are still accepted.
    pub old_token_secrets: Vec<String>,
    /// Whether the process runs its own database groups and key-value store.
    pub is_embedded: bool,
    /// Whether the instance holds no connections to targets and uses those of its peers.
    pub is_entry_only: bool,
    /// Folder of declarations for the embedded store; `None` for the built-in demo.
    pub declarations_folder: Option<PathBuf>,
    /// Replication delay of the embedded replicas.
    pub embedded_lag: Duration,
    /// Longest time that a planned stop waits for open work.
    pub drain_limit: Duration,
    /// Log filter in the syntax of `RUST_LOG`.
    pub log_filter: String,
}

/// Option that takes a value; an empty default means none.
struct OptionSpec {
    name: &'static str,
    value_name: &'static str,
    default: &'static str,
    help: &'static str,
}

const OPTION_SPECS: &[OptionSpec] = &[
    OptionSpec {
        name: "instance",
        value_name: "NAME",
        default: "instance-1",
        help: "name of this instance, unique in the cluster",
    },
    OptionSpec {
        name: "data-centre",
        value_name: "NAME",
        default: "local",
        help: "data centre of this instance",
    },
    OptionSpec {
        name: "region",
        value_name: "NAME",
        default: "local",
        help: "region of the data centre",
    },
    OptionSpec {
        name: "listen",
        value_name: "ADDRESS",
        default: "127.0.0.1:7100",
        help: "address and port for callers; port 0 lets the system choose",
    },
    OptionSpec {
        name: "peer-listen",
        value_name: "ADDRESS",
        default: "127.0.0.1:7101",
        help: "address and port for other instances",
    },
    OptionSpec {
        name: "operator-listen",
        value_name: "ADDRESS",
        default: "127.0.0.1:7102",
        help: "address and port for operators",
    },
    OptionSpec {
        name: "caller-connections",
        value_name: "COUNT",
        default: "4096",
        help: "most open connections of callers",
    },
    OptionSpec {
        name: "operator-connections",
        value_name: "COUNT",
        default: "256",
        help: "most open connections of operators",
    },
    OptionSpec {
        name: "header-timeout-ms",
        value_name: "MS",
        default: "10000",
        help: "longest time from the first byte of a request header to its end, in milliseconds",
    },
    OptionSpec {
        name: "max-header-bytes",
        value_name: "BYTES",
        default: "65536",
        help: "largest request header, in bytes",
    },
    OptionSpec {
        name: "idle-timeout-ms",
        value_name: "MS",
        default: "60000",
        help: "longest time that a connection of a caller or operator is idle, in milliseconds",
    },
    OptionSpec {
        name: "memory-limit-mb",
        value_name: "MIB",
        default: "",
        help: "memory limit of this process, in MiB; frames of peers take at most a quarter of it",
    },
    OptionSpec {
        name: "operator-tokens",
        value_name: "LIST",
        default: "",
        help: "tokens for operators, as TEAM=TOKEN, or *=TOKEN for all teams, separated by commas",
    },
    OptionSpec {
        name: "peers",
        value_name: "LIST",
        default: "",
        help: "instances to link to, as NAME=ADDRESS, separated by commas",
    },
    OptionSpec {
        name: "cluster",
        value_name: "NAME",
        default: "heatherhollow",
        help: "name of the cluster; links to other clusters are refused",
    },
    OptionSpec {
        name: "peer-secret",
        value_name: "TEXT",
        default: "",
        help: "secret that the instances of the cluster share; better given as environment variable",
    },
    OptionSpec {
        name: "token-secret",
        value_name: "TEXT",
        default: "",
        help: "secret of session tokens, the same for all instances",
    },
    OptionSpec {
        name: "old-token-secrets",
        value_name: "LIST",
        default: "",
        help: "earlier secrets of session tokens that are still accepted, separated by commas",
    },
    OptionSpec {
        name: "declarations",
        value_name: "DIR",
        default: "",
        help: "with --embedded: folder with topology.toml and teams/TEAM/services.toml",
    },
    OptionSpec {
        name: "embedded-lag-ms",
        value_name: "MS",
        default: "50",
        help: "with --embedded: replication delay of the replicas, in milliseconds",
    },
    OptionSpec {
        name: "drain-limit-ms",
        value_name: "MS",
        default: "30000",
        help: "longest time that a planned stop waits for open work, in milliseconds",
    },
    OptionSpec {
        name: "log",
        value_name: "FILTER",
        default: "info,rocket=error,_=error",
        help: "log filter, for example debug or heatherhollow_proxy=debug",
    },
];

/// Default secret and operator token of an embedded instance. The value is public, so it suits only
/// listeners on the loopback interface.
const EMBEDDED_SECRET: &str = "embedded";

/// Parses flags and environment variables.
///
/// # Errors
///
/// A usage error is returned alone; invalid settings are returned together.
pub fn parse_command(
    arguments: &[String],
    environment: impl Fn(&str) -> Option<String>,
) -> Result<ProgramCommand, Vec<OptionError>> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("", "version", "print the version");
    options.optflag(
        "",
        "print-settings",
        "print what is in force and where it comes from",
    );
    options.optflag(
        "",
        "embedded",
        "run a group and a key-value store in this process",
    );
    options.optflag(
        "",
        "entry-only",
        "hold no connections to targets; use those of peers",
    );
    options.optflag(
        "",
        "platform",
        "run on the operators' platform, with the settings file that HEATHERHOLLOW_SETTINGS names",
    );
    for spec in OPTION_SPECS {
        let default = if spec.default.is_empty() {
            "none"
        } else {
            spec.default
        };
        let help = format!("{} [{default}]", spec.help);
        options.optopt("", spec.name, &help, spec.value_name);
    }
    let matches = options
        .parse(arguments)
        .map_err(|error| vec![OptionError::Usage(error.to_string())])?;
    if let Some(argument) = matches.free.first() {
        return Err(vec![OptionError::Usage(format!(
            "unexpected argument {argument:?}"
        ))]);
    }
    if matches.opt_present("help") {
        let brief = "Usage: heatherhollow [OPTIONS]\n\nEach option can be given as an environment \
                     variable, for example HEATHERHOLLOW_PEER_LISTEN for --peer-listen.";
        return Ok(ProgramCommand::Print(options.usage(brief)));
    }
    if matches.opt_present("version") {
        let version = format!("heatherhollow {}", env!("CARGO_PKG_VERSION"));
        return Ok(ProgramCommand::Print(version));
    }
    let flags = ["embedded", "entry-only", "platform"];
    let is_set = |name: &str| {
        matches.opt_present(name)
            || environment(&environment_variable(name)).is_some_and(|value| value == "true")
    };
    let mut reader = OptionReader {
        values: Vec::new(),
        errors: Vec::new(),
    };
    for spec in OPTION_SPECS {
        let (value, source) = match (
            matches.opt_str(spec.name),
            environment(&environment_variable(spec.name)),
        ) {
            (Some(value), _) => (value, "flag"),
            (None, Some(value)) => (value, "environment"),
            (None, None) => (spec.default.to_string(), "default"),
        };
        reader.values.push(OptionValue {
            name: spec.name,
            value,
            source,
        });
    }
    if matches.opt_present("print-settings") {
        let mut lines = reader
            .values
            .iter()
            .map(OptionValue::settings_line)
            .collect::<Vec<_>>();
        lines.extend(flags.map(|flag| format!("{flag}={}", is_set(flag))));
        return Ok(ProgramCommand::Print(lines.join("\n")));
    }
    if is_set("platform") {
        if is_set("embedded") || is_set("entry-only") {
            let message =
                "--platform cannot be combined with --embedded or --entry-only".to_string();
            return Err(vec![OptionError::InvalidSettings(message)]);
        }
        let log_filter = reader.text("log");
        return Ok(ProgramCommand::RunOnPlatform { log_filter });
    }
    let settings = reader.build_settings(is_set("embedded"), is_set("entry-only"));
    match settings {
        Some(settings) if reader.errors.is_empty() => Ok(ProgramCommand::Run(Box::new(settings))),
        _ => Err(reader.errors),
    }
}

/// Returns the environment variable of an option.
fn environment_variable(name: &str) -> String {
    format!(
        "HEATHERHOLLOW_{}",
        name.replace('-', "_").to_ascii_uppercase()
    )
}

/// Value of an option and its source: flag, environment or default.
struct OptionValue {
    name: &'static str,
    value: String,
    source: &'static str,
}

impl OptionValue {
    /// Returns the line of `--print-settings`; secrets and operator tokens are hidden.
    fn settings_line(&self) -> String {
        let is_secret_name = self.name.contains("secret") || self.name == "operator-tokens";
        let is_secret = is_secret_name && !self.value.is_empty();
        let value = if is_secret { "(hidden)" } else { &self.value };
        format!("{}={value} source={}", self.name, self.source)
    }
}

/// Parser of option values that collects the errors.
struct OptionReader {
    values: Vec<OptionValue>,
    errors: Vec<OptionError>,
}

impl OptionReader {
    /// Returns the unparsed value of an option.
    fn text(&self, name: &str) -> String {
        let found = self.values.iter().find(|value| value.name == name);
        found.map(|value| value.value.clone()).unwrap_or_default()
    }

    /// Parses a value; records an error and returns `None` if it is invalid.
    fn parse<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(name);
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.errors
                    .push(OptionError::InvalidValue(name, text, error.to_string()));
                None
            }
        }
    }

    /// Parses a duration in milliseconds.
    fn parse_millis(&mut self, name: &'static str) -> Option<Duration> {
        self.parse::<u64>(name).map(Duration::from_millis)
    }

    /// Parses a positive number; records an error if it is below `least`.
    fn parse_at_least(&mut self, name: &'static str, least: usize) -> Option<usize> {
        let value = self.parse::<usize>(name)?;
        if value < least {
            let reason = format!("expected at least {least}");
            self.errors
                .push(OptionError::InvalidValue(name, value.to_string(), reason));
            return None;
        }
        Some(value)
    }

    /// Parses the limits of the listeners for callers and for operators.
    fn parse_listener_limits(&mut self) -> Option<(ListenerLimits, ListenerLimits)> {
        let caller_connections = self.parse_at_least("caller-connections", 1);
        let operator_connections = self.parse_at_least("operator-connections", 1);
        let header_timeout = self.parse_at_least("header-timeout-ms", 1);
        let max_header_bytes = self.parse_at_least("max-header-bytes", MIN_HEADER_BYTES);
        let idle_timeout = self.parse_at_least("idle-timeout-ms", 1);
        let callers = ListenerLimits {
            slots: SlotLimits {
                max_open: caller_connections?,
                header_timeout: Duration::from_millis(header_timeout? as u64),
                idle_timeout: Duration::from_millis(idle_timeout? as u64),
            },
            max_header_bytes: max_header_bytes?,
        };
        let operator_slots = SlotLimits {
            max_open: operator_connections?,
            ..callers.slots
        };
        let operators = ListenerLimits {
            slots: operator_slots,
            ..callers
        };
        Some((callers, operators))
    }

    /// Parses the memory limit, in bytes; `Some(None)` if none is given.
    fn parse_memory_limit(&mut self) -> Option<Option<usize>> {
        if self.text("memory-limit-mb").is_empty() {
            return Some(None);
        }
        let limit = self.parse_at_least("memory-limit-mb", 1)?;
        Some(Some(limit.saturating_mul(1 << 20)))
    }

    /// Splits a value at its commas and leaves out empty items.
    fn split_list(&self, name: &str) -> Vec<String> {
        let text = self.text(name);
        let items = text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        items.map(ToString::to_string).collect()
    }

    /// Parses the list of peers; records an error for each invalid item.
    fn parse_peers(&mut self) -> Vec<PeerAddress> {
        let mut peers = Vec::new();
        for item in self.split_list("peers") {
            let parsed = item.split_once('=').and_then(|(name, address)| {
                let instance = name.parse().ok()?;
                Some(PeerAddress {
                    instance,
                    address: address.parse().ok()?,
                })
            });
            match parsed {
                Some(peer) => peers.push(peer),
                None => {
                    let reason = "expected NAME=IP:PORT".to_string();
                    self.errors
                        .push(OptionError::InvalidValue("peers", item, reason));
                }
            }
        }
        peers
    }

    /// Returns a secret; records an error if it is empty, except on an embedded instance.
    fn secret_or_default(&mut self, name: &'static str, is_embedded: bool) -> String {
        let text = self.text(name);
        if text.is_empty() && is_embedded {
            return EMBEDDED_SECRET.to_string();
        }
        if text.is_empty() {
            self.errors.push(OptionError::InvalidSettings(format!(
                "--{name} is required unless --embedded is given"
            )));
        }
        text
    }

    /// Builds the settings; records all errors. Settings that are returned along with errors must
    /// not be used.
    fn build_settings(
        &mut self,
        is_embedded: bool,
        is_entry_only: bool,
    ) -> Option<ProgramSettings> {
        if is_embedded && is_entry_only {
            let message = "--embedded and --entry-only cannot be combined".to_string();
            self.errors.push(OptionError::InvalidSettings(message));
        }
        if !is_embedded && !is_entry_only {
            let message = "this version connects to targets only with --embedded; an instance \
                        without it needs --entry-only and --peers";
            self.errors
                .push(OptionError::InvalidSettings(message.to_string()));
        }
        let peers = self.parse_peers();
        let mut operator_tokens = self.split_list("operator-tokens");
        if operator_tokens.is_empty() && is_embedded {
            operator_tokens.push(format!("*={EMBEDDED_SECRET}"));
        }
        if let Err(error) = OperatorTokens::parse(&operator_tokens) {
            self.errors
                .push(OptionError::InvalidSettings(error.to_string()));
        }
        let peer_secret = self.secret_or_default("peer-secret", is_embedded);
        let token_secret = self.secret_or_default("token-secret", is_embedded);
        let instance = self.parse("instance");
        let data_centre = self.parse("data-centre");
        let region = self.parse("region");
        let listen = self.parse("listen");
        let peer_listen = self.parse("peer-listen");
        let operator_listen = self.parse("operator-listen");
        let listener_limits = self.parse_listener_limits();
        let memory_limit = self.parse_memory_limit();
        let embedded_lag = self.parse_millis("embedded-lag-ms");
        let drain_limit = self.parse_millis("drain-limit-ms");
        let declarations = self.text("declarations");
        let (caller_limits, operator_limits) = listener_limits?;
        Some(ProgramSettings {
            instance: instance?,
            data_centre: data_centre?,
            region: region?,
            listen: listen?,
            peer_listen: peer_listen?,
            operator_listen: operator_listen?,
            caller_limits,
            operator_limits,
            memory_limit: memory_limit?,
            operator_tokens,
            peers,
            cluster: self.text("cluster"),
            peer_secret,
            token_secret,
            old_token_secrets: self.split_list("old-token-secrets"),
            is_embedded,
            is_entry_only,
            declarations_folder: (!declarations.is_empty()).then(|| PathBuf::from(declarations)),
            embedded_lag: embedded_lag?,
            drain_limit: drain_limit?,
            log_filter: self.text("log"),
        })
    }
}
