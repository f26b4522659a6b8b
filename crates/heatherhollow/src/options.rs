//! Settings of the process, from flags and environment variables of the same names.
//!
//! `--peer-listen` and `HEATHERHOLLOW_PEER_LISTEN` are the same setting; the flag wins. All faults are
//! reported at once.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display as DisplayDoc;
use getopts::Options;

use heatherhollow_proxy::OperatorTokens;
use heatherhollow_types::DataCentre;
use heatherhollow_types::InstanceName;
use heatherhollow_types::RegionName;

/// A fault of the program's settings.
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub enum OptionError {
    /// {0}
    Usage(String),
    /// --{0} = {1:?}: {2}
    BadValue(&'static str, String, String),
    /// {0}
    Conflict(String),
}

/// What the command line asks for.
pub enum ProgramCommand {
    /// Print this text and end.
    Show(String),
    /// Run with these settings.
    Run(Box<ProgramSettings>),
    /// Run on the operators' platform, with the settings file that it provides.
    RunOnPlatform {
        /// Log filter.
        log: String,
    },
}

/// A peer to be dialled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Its name.
    pub instance: InstanceName,
    /// Address of its peer listener.
    pub address: SocketAddr,
}

/// Settings of the process.
#[derive(Debug, Clone)]
pub struct ProgramSettings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: RegionName,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for peers.
    pub peer_listen: SocketAddr,
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// Tokens for operators, each as TEAM=TOKEN or *=TOKEN.
    pub operator_tokens: Vec<String>,
    /// Peers to dial.
    pub peers: Vec<PeerAddress>,
    /// Name of the cluster.
    pub cluster: String,
    /// Secret that the instances share.
    pub peer_secret: String,
    /// Secret from which the key of session tokens is made.
    pub token_secret: String,
    /// Earlier secrets whose tokens are still accepted.
    pub old_token_secrets: Vec<String>,
    /// Whether the process runs its own group and store.
    pub is_embedded: bool,
    /// Whether the instance holds no connections to targets.
    pub is_entry_only: bool,
    /// Declarations for the embedded store.
    pub declarations: Option<PathBuf>,
    /// Replication delay of the embedded replicas.
    pub embedded_lag: Duration,
    /// Longest time of a planned stop.
    pub drain_limit: Duration,
    /// Log filter.
    pub log: String,
}

struct OptionSpec {
    name: &'static str,
    hint: &'static str,
    default: &'static str,
    help: &'static str,
}

const SPECS: &[OptionSpec] = &[
    OptionSpec {
        name: "instance",
        hint: "NAME",
        default: "instance-1",
        help: "name of this instance, unique in the cluster",
    },
    OptionSpec {
        name: "data-centre",
        hint: "NAME",
        default: "local",
        help: "data centre of this instance",
    },
    OptionSpec {
        name: "region",
        hint: "NAME",
        default: "local",
        help: "region of the data centre",
    },
    OptionSpec {
        name: "listen",
        hint: "ADDRESS",
        default: "127.0.0.1:7100",
        help: "address and port for callers; port 0 lets the system choose",
    },
    OptionSpec {
        name: "peer-listen",
        hint: "ADDRESS",
        default: "127.0.0.1:7101",
        help: "address and port for other instances",
    },
    OptionSpec {
        name: "operator-listen",
        hint: "ADDRESS",
        default: "127.0.0.1:7102",
        help: "address and port for operators",
    },
    OptionSpec {
        name: "operator-tokens",
        hint: "LIST",
        default: "",
        help: "tokens for operators, as TEAM=TOKEN, or *=TOKEN for all teams, separated by commas",
    },
    OptionSpec {
        name: "peers",
        hint: "LIST",
        default: "",
        help: "instances to link to, as NAME=ADDRESS, separated by commas",
    },
    OptionSpec {
        name: "cluster",
        hint: "NAME",
        default: "heatherhollow",
        help: "name of the cluster; links to other clusters are refused",
    },
    OptionSpec {
        name: "peer-secret",
        hint: "TEXT",
        default: "",
        help: "secret that the instances of the cluster share; better given as environment variable",
    },
    OptionSpec {
        name: "token-secret",
        hint: "TEXT",
        default: "",
        help: "secret of session tokens, the same for all instances",
    },
    OptionSpec {
        name: "old-token-secrets",
        hint: "LIST",
        default: "",
        help: "earlier secrets of session tokens that are still accepted, separated by commas",
    },
    OptionSpec {
        name: "declarations",
        hint: "DIR",
        default: "",
        help: "with --embedded: folder with topology.toml and teams/TEAM/services.toml",
    },
    OptionSpec {
        name: "embedded-lag-ms",
        hint: "MS",
        default: "50",
        help: "with --embedded: replication delay of the replicas, in milliseconds",
    },
    OptionSpec {
        name: "drain-limit-ms",
        hint: "MS",
        default: "30000",
        help: "longest time that a planned stop waits for open work, in milliseconds",
    },
    OptionSpec {
        name: "log",
        hint: "FILTER",
        default: "info,rocket=error,_=error",
        help: "log filter, for example debug or heatherhollow_proxy=debug",
    },
];

/// Secrets of an embedded instance that names none; they guard nothing but the machine's loopback.
const EMBEDDED_SECRET: &str = "embedded";

/// Reads flags and environment variables.
pub fn read_command(
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
    for spec in SPECS {
        let default = if spec.default.is_empty() {
            "none"
        } else {
            spec.default
        };
        let help = format!("{} [{default}]", spec.help);
        options.optopt("", spec.name, &help, spec.hint);
    }
    let matches = options
        .parse(arguments)
        .map_err(|error| vec![OptionError::Usage(error.to_string())])?;
    if let Some(extra) = matches.free.first() {
        return Err(vec![OptionError::Usage(format!(
            "unexpected argument {extra:?}"
        ))]);
    }
    if matches.opt_present("help") {
        let brief = "Usage: heatherhollow [OPTIONS]\n\nEach option can be given as an environment \
                     variable, for example HEATHERHOLLOW_PEER_LISTEN for --peer-listen.";
        return Ok(ProgramCommand::Show(options.usage(brief)));
    }
    if matches.opt_present("version") {
        let text = format!("heatherhollow {}", env!("CARGO_PKG_VERSION"));
        return Ok(ProgramCommand::Show(text));
    }
    let flags = ["embedded", "entry-only", "platform"];
    let is_set = |name: &str| {
        matches.opt_present(name) || environment(&variable_of(name)).is_some_and(|v| v == "true")
    };
    let mut reader = OptionReader {
        values: Vec::new(),
        errors: Vec::new(),
    };
    for spec in SPECS {
        let (value, source) = match (
            matches.opt_str(spec.name),
            environment(&variable_of(spec.name)),
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
            .map(OptionValue::line)
            .collect::<Vec<_>>();
        lines.extend(flags.map(|flag| format!("{flag}={}", is_set(flag))));
        return Ok(ProgramCommand::Show(lines.join("\n")));
    }
    if is_set("platform") {
        if is_set("embedded") || is_set("entry-only") {
            let text = "--platform excludes --embedded and --entry-only".to_string();
            return Err(vec![OptionError::Conflict(text)]);
        }
        let log = reader.text("log");
        return Ok(ProgramCommand::RunOnPlatform { log });
    }
    let settings = reader.settings(is_set("embedded"), is_set("entry-only"));
    match settings {
        Some(settings) if reader.errors.is_empty() => Ok(ProgramCommand::Run(Box::new(settings))),
        _ => Err(reader.errors),
    }
}

/// Environment variable of an option.
fn variable_of(name: &str) -> String {
    format!(
        "HEATHERHOLLOW_{}",
        name.replace('-', "_").to_ascii_uppercase()
    )
}

struct OptionValue {
    name: &'static str,
    value: String,
    source: &'static str,
}

impl OptionValue {
    fn line(&self) -> String {
        let is_secret_name = self.name.contains("secret") || self.name == "operator-tokens";
        let is_secret = is_secret_name && !self.value.is_empty();
        let value = if is_secret { "(hidden)" } else { &self.value };
        format!("{}={value} source={}", self.name, self.source)
    }
}

struct OptionReader {
    values: Vec<OptionValue>,
    errors: Vec<OptionError>,
}

impl OptionReader {
    fn text(&self, name: &str) -> String {
        let found = self.values.iter().find(|value| value.name == name);
        found.map(|value| value.value.clone()).unwrap_or_default()
    }

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
                    .push(OptionError::BadValue(name, text, error.to_string()));
                None
            }
        }
    }

    fn millis(&mut self, name: &'static str) -> Option<Duration> {
        self.parse::<u64>(name).map(Duration::from_millis)
    }

    fn list(&self, name: &str) -> Vec<String> {
        let text = self.text(name);
        let items = text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        items.map(ToString::to_string).collect()
    }

    fn peers(&mut self) -> Vec<PeerAddress> {
        let mut peers = Vec::new();
        for item in self.list("peers") {
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
                    let rule = "NAME=IP:PORT is expected".to_string();
                    self.errors.push(OptionError::BadValue("peers", item, rule));
                }
            }
        }
        peers
    }

    fn secret(&mut self, name: &'static str, is_embedded: bool) -> String {
        let text = self.text(name);
        if text.is_empty() && is_embedded {
            return EMBEDDED_SECRET.to_string();
        }
        if text.is_empty() {
            self.errors.push(OptionError::Conflict(format!(
                "--{name} is needed, unless --embedded is given"
            )));
        }
        text
    }

    fn settings(&mut self, is_embedded: bool, is_entry_only: bool) -> Option<ProgramSettings> {
        if is_embedded && is_entry_only {
            let text = "--embedded and --entry-only exclude each other".to_string();
            self.errors.push(OptionError::Conflict(text));
        }
        if !is_embedded && !is_entry_only {
            let text = "this version reaches targets only with --embedded; an instance without it \
                        needs --entry-only and --peers";
            self.errors.push(OptionError::Conflict(text.to_string()));
        }
        let peers = self.peers();
        let mut operator_tokens = self.list("operator-tokens");
        if operator_tokens.is_empty() && is_embedded {
            operator_tokens.push(format!("*={EMBEDDED_SECRET}"));
        }
        if let Err(error) = OperatorTokens::parse(&operator_tokens) {
            self.errors.push(OptionError::Conflict(error.to_string()));
        }
        let peer_secret = self.secret("peer-secret", is_embedded);
        let token_secret = self.secret("token-secret", is_embedded);
        let instance = self.parse("instance");
        let data_centre = self.parse("data-centre");
        let region = self.parse("region");
        let listen = self.parse("listen");
        let peer_listen = self.parse("peer-listen");
        let operator_listen = self.parse("operator-listen");
        let embedded_lag = self.millis("embedded-lag-ms");
        let drain_limit = self.millis("drain-limit-ms");
        let declarations = self.text("declarations");
        Some(ProgramSettings {
            instance: instance?,
            data_centre: data_centre?,
            region: region?,
            listen: listen?,
            peer_listen: peer_listen?,
            operator_listen: operator_listen?,
            operator_tokens,
            peers,
            cluster: self.text("cluster"),
            peer_secret,
            token_secret,
            old_token_secrets: self.list("old-token-secrets"),
            is_embedded,
            is_entry_only,
            declarations: (!declarations.is_empty()).then(|| PathBuf::from(declarations)),
            embedded_lag: embedded_lag?,
            drain_limit: drain_limit?,
            log: self.text("log"),
        })
    }
}
