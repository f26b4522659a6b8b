//! The logic of `heatherhollowctl`, the operators' command line.
//!
//! Some commands check declarations offline. The others send requests to the operators' interface
//! of an instance to show or change settings, targets and groups.
//!
//! [`run`] takes its arguments, environment and outputs as parameters, so that tests can call it
//! without starting a process.

mod apply;
mod client;
mod completions;
mod declarations;
mod force;
mod options;
mod requests;
mod status;

use std::io::Write;

use displaydoc::Display;

use crate::options::CommandLine;
use crate::options::ParsedArguments;

/// The result of a command; each has its own exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done,
    /// The command was refused or failed.
    Failed,
    /// The command line is not valid.
    Usage,
    /// Another change was stored first; nothing was changed.
    Conflict,
    /// The instance could not be reached.
    NotReachable,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::NotReachable => 4,
        }
    }
}

/// An error of a command, with the message for the operator.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum CommandError {
    /// {0}
    Failed(String),
    /// {0}
    Conflict(String),
    /// {0}
    NotReachable(String),
}

impl CommandError {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Failed(_) => ExitStatus::Failed,
            Self::Conflict(_) => ExitStatus::Conflict,
            Self::NotReachable(_) => ExitStatus::NotReachable,
        }
    }
}

/// The outputs of a command: results go to `output`, progress and errors to `diagnostics`.
pub(crate) struct Console<'w> {
    output: &'w mut dyn Write,
    diagnostics: &'w mut dyn Write,
}

impl Console<'_> {
    /// Prints a line of the result.
    ///
    /// Write errors are ignored: a closed pipe must not stop a change half-way.
    pub(crate) fn print(&mut self, text: impl std::fmt::Display) {
        let _ = writeln!(self.output, "{text}");
    }

    /// Prints a line about progress or an error; write errors are ignored.
    pub(crate) fn report(&mut self, text: impl std::fmt::Display) {
        let _ = writeln!(self.diagnostics, "{text}");
    }
}

/// Runs a command line and returns its result.
///
/// `arguments` are those after the program's name; `environment` looks up a variable.
pub fn run(
    arguments: &[String],
    environment: &dyn Fn(&str) -> Option<String>,
    output: &mut dyn Write,
    diagnostics: &mut dyn Write,
) -> ExitStatus {
    let mut console = Console {
        output,
        diagnostics,
    };
    let line = match options::parse(arguments, environment) {
        Ok(ParsedArguments::Show(text)) => {
            console.print(text);
            return ExitStatus::Done;
        }
        Ok(ParsedArguments::Run(line)) => *line,
        Err(error) => {
            console.report(format!("heatherhollowctl: {error}"));
            console.report("heatherhollowctl --help lists the commands");
            return ExitStatus::Usage;
        }
    };
    match execute(&line, &mut console) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            console.report(format!("heatherhollowctl: {error}"));
            error.exit_status()
        }
    }
}

fn execute(line: &CommandLine, console: &mut Console<'_>) -> Result<(), CommandError> {
    use options::Command;
    match &line.command {
        Command::Check(folder) => apply::check(folder, line, console),
        Command::Diff(folder) => apply::diff(folder, line, console),
        Command::Apply(folder) => apply::apply(folder, line, console),
        Command::Get(team) => requests::get(team, line, console),
        Command::History(team) => requests::history(team, line, console),
        Command::Status => status::status(line, console),
        Command::DrainInstance(name) => requests::drain_instance(name, line, console),
        Command::DrainTarget(group, target) => requests::drain_target(group, target, line, console),
        Command::Promote(group, target) => requests::promote(group, target, line, console),
        Command::Completions => {
            console.print(completions::BASH);
            Ok(())
        }
    }
}
