//! Parsing of the command line, with defaults from the environment.

use std::path::PathBuf;

use displaydoc::Display;
use getopts::Options;

use heatherhollow_types::TeamName;

/// URL of the operators' interface if `--server` is not given.
const DEFAULT_SERVER: &str = "http://127.0.0.1:7102";

/// Environment variable that holds the token if `--token` is not given.
const TOKEN_VARIABLE: &str = "HEATHERHOLLOW_TOKEN";

/// The head of the help, above the list of options.
const USAGE: &str = "\
Usage: heatherhollowctl [OPTIONS] COMMAND

Commands:
    check DIR                    check declarations, without an instance
    diff DIR                     show how declarations differ from what is stored
    apply DIR                    store declarations and wait until they are in force
    get TEAM                     print the stored settings of a team as JSON
    history TEAM                 print the recent changes of a team, newest first
    status                       print the status of an instance and what it knows
    drain instance NAME          take the instance at --server out of service
    drain target GROUP TARGET    send no new work to a target; --undo reverts it
    promote GROUP TARGET         make a target the primary of its group
    completions bash             print completions for bash

DIR holds topology.toml and teams/TEAM/services.toml. GROUP is the full name, TEAM.GROUP.

Exit codes:
    0  done
    1  refused or failed
    2  the command line is wrong
    3  another change came first; nothing was changed
    4  the instance could not be reached";

/// A command with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Command {
    Check(PathBuf),
    Diff(PathBuf),
    Apply(PathBuf),
    Get(TeamName),
    History(TeamName),
    Status,
    DrainInstance(String),
    DrainTarget(String, String),
    Promote(String, String),
    Completions,
}

/// A parsed command line: a command and its options.
#[derive(Debug, Clone)]
pub(crate) struct CommandLine {
    pub(crate) command: Command,
    /// URL of the operators' interface, without a slash at the end.
    pub(crate) server: String,
    pub(crate) token: String,
    pub(crate) author: String,
    pub(crate) is_json: bool,
    pub(crate) is_dry_run: bool,
    pub(crate) is_undo: bool,
    /// The only team of a folder to work on; `None` means all of them.
    pub(crate) team: Option<TeamName>,
    /// Revision that a change has to replace; `None` means the stored one.
    pub(crate) expected_revision: Option<u64>,
    /// Longest wait until a change is in force, in seconds.
    pub(crate) wait_seconds: u64,
}

/// What the arguments ask for: a text to print, or a command to run.
pub(crate) enum ParsedArguments {
    Show(String),
    Run(Box<CommandLine>),
}

/// An error in the command line.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum UsageError {
    /// {0}
    InvalidOptions(String),
    /// no command is given
    NoCommand,
    /// there is no command {0:?}
    UnknownCommand(String),
    /// {0} is expected
    WrongArguments(&'static str),
    /// {0:?} is not valid: {1}
    InvalidValue(String, String),
    /// --{0} does not apply to this command
    NotApplicable(&'static str),
}

fn define_options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "",
        "server",
        "operators' interface of an instance [http://127.0.0.1:7102]",
        "URL",
    );
    options.optopt("", "token", "token [HEATHERHOLLOW_TOKEN]", "TOKEN");
    options.optopt(
        "",
        "author",
        "author of the change in the history [USER]",
        "NAME",
    );
    options.optopt("", "team", "check, diff, apply: only this team", "TEAM");
    options.optopt(
        "",
        "expect",
        "apply: revision that has to be replaced [the stored one]",
        "REVISION",
    );
    options.optopt(
        "",
        "wait",
        "apply, drain target: longest wait until the change is in force [30]",
        "SECONDS",
    );
    options.optflag("", "dry-run", "apply: check and compare, change nothing");
    options.optflag("", "undo", "drain target: send work to the target again");
    options.optflag("", "json", "print results as JSON");
    options.optflag("h", "help", "print this help");
    options.optflag("", "version", "print the version");
    options
}

/// Parses the arguments after the program's name.
pub(crate) fn parse(
    arguments: &[String],
    environment: &dyn Fn(&str) -> Option<String>,
) -> Result<ParsedArguments, UsageError> {
    let options = define_options();
    let matches = options
        .parse(arguments)
        .map_err(|error| UsageError::InvalidOptions(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(ParsedArguments::Show(options.usage(USAGE)));
    }
    if matches.opt_present("version") {
        let text = format!("heatherhollowctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(ParsedArguments::Show(text));
    }
    let command = parse_command(&matches.free)?;
    let is_apply = matches!(command, Command::Apply(_));
    let is_target_drain = matches!(command, Command::DrainTarget(..));
    for (name, applies) in [
        ("dry-run", is_apply),
        ("expect", is_apply),
        ("wait", is_apply || is_target_drain),
        ("undo", is_target_drain),
    ] {
        if matches.opt_present(name) && !applies {
            return Err(UsageError::NotApplicable(name));
        }
    }
    let author = matches
        .opt_str("author")
        .or_else(|| environment("USER"))
        .filter(|author| !author.is_empty());
    let token = matches
        .opt_str("token")
        .or_else(|| environment(TOKEN_VARIABLE));
    let server = matches.opt_str("server");
    let server = server.unwrap_or_else(|| DEFAULT_SERVER.to_string());
    let line = CommandLine {
        command,
        server: server.trim_end_matches('/').to_string(),
        token: token.unwrap_or_default(),
        author: author.unwrap_or_else(|| "operator".to_string()),
        is_json: matches.opt_present("json"),
        is_dry_run: matches.opt_present("dry-run"),
        is_undo: matches.opt_present("undo"),
        team: matches.opt_str("team").map(parse_value).transpose()?,
        expected_revision: matches.opt_str("expect").map(parse_value).transpose()?,
        wait_seconds: match matches.opt_str("wait") {
            Some(text) => parse_value(text)?,
            None => 30,
        },
    };
    Ok(ParsedArguments::Run(Box::new(line)))
}

fn parse_command(words: &[String]) -> Result<Command, UsageError> {
    let words = words.iter().map(String::as_str).collect::<Vec<_>>();
    let (&name, rest) = words.split_first().ok_or(UsageError::NoCommand)?;
    match (name, rest) {
        ("check", [folder]) => Ok(Command::Check(folder.into())),
        ("diff", [folder]) => Ok(Command::Diff(folder.into())),
        ("apply", [folder]) => Ok(Command::Apply(folder.into())),
        ("check" | "diff" | "apply", _) => Err(UsageError::WrongArguments("one folder")),
        ("get", [team]) => Ok(Command::Get(parse_value(team)?)),
        ("history", [team]) => Ok(Command::History(parse_value(team)?)),
        ("get" | "history", _) => Err(UsageError::WrongArguments("one team")),
        ("status", []) => Ok(Command::Status),
        ("status", _) => Err(UsageError::WrongArguments("nothing after status")),
        ("drain", ["instance", name]) => Ok(Command::DrainInstance(parse_path_segment(name)?)),
        ("drain", ["target", group, target]) => Ok(Command::DrainTarget(
            parse_path_segment(group)?,
            parse_path_segment(target)?,
        )),
        ("drain", _) => Err(UsageError::WrongArguments(
            "instance NAME or target GROUP TARGET",
        )),
        ("promote", [group, target]) => Ok(Command::Promote(
            parse_path_segment(group)?,
            parse_path_segment(target)?,
        )),
        ("promote", _) => Err(UsageError::WrongArguments("GROUP TARGET")),
        ("completions", ["bash"]) => Ok(Command::Completions),
        ("completions", _) => Err(UsageError::WrongArguments("bash")),
        _ => Err(UsageError::UnknownCommand(name.to_string())),
    }
}

fn parse_value<T>(text: impl AsRef<str>) -> Result<T, UsageError>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let text = text.as_ref();
    let to_invalid_value =
        |error: T::Err| UsageError::InvalidValue(text.to_string(), error.to_string());
    text.parse().map_err(to_invalid_value)
}

/// Parses a name that becomes a path segment of a URL.
///
/// Instances, groups and targets share the character set of [`heatherhollow_types::TargetName`].
fn parse_path_segment(text: &str) -> Result<String, UsageError> {
    parse_value::<heatherhollow_types::TargetName>(text).map(|name| name.to_string())
}
