//! The logic of `heatherhollowctl`: checks declarations, and asks the operators' interface of an
//! instance to show or change something.
//!
//! [`run`] is the whole program but for the process, so that tests can call it.

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
use crate::options::ParsedLine;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// It was done.
    Done,
    /// It was refused or failed.
    Failed,
    /// The command line is wrong.
    Usage,
    /// Another change came first.
    LostRace,
    /// The instance could not be reached.
    NotReachable,
}

impl ExitStatus {
    /// The exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::LostRace => 3,
            Self::NotReachable => 4,
        }
    }
}

/// Why a command was not done.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum CommandError {
    /// {0}
    Failed(String),
    /// {0}
    LostRace(String),
    /// {0}
    NotReachable(String),
}

impl CommandError {
    fn status(&self) -> ExitStatus {
        match self {
            Self::Failed(_) => ExitStatus::Failed,
            Self::LostRace(_) => ExitStatus::LostRace,
            Self::NotReachable(_) => ExitStatus::NotReachable,
        }
    }
}

/// Where a command writes: results to `output`, progress and errors to `notes`.
pub(crate) struct Console<'w> {
    output: &'w mut dyn Write,
    notes: &'w mut dyn Write,
}

impl Console<'_> {
    /// A line of the result. A reader that has gone away is no reason to stop a change half-way.
    pub(crate) fn line(&mut self, text: impl std::fmt::Display) {
        let _ = writeln!(self.output, "{text}");
    }

    /// A line about progress or a fault.
    pub(crate) fn note(&mut self, text: impl std::fmt::Display) {
        let _ = writeln!(self.notes, "{text}");
    }
}

/// Runs a command line, without the name of the program.
pub fn run(
    arguments: &[String],
    environment: &dyn Fn(&str) -> Option<String>,
    output: &mut dyn Write,
    notes: &mut dyn Write,
) -> ExitStatus {
    let mut console = Console { output, notes };
    let line = match options::parse(arguments, environment) {
        Ok(ParsedLine::Show(text)) => {
            console.line(text);
            return ExitStatus::Done;
        }
        Ok(ParsedLine::Run(line)) => *line,
        Err(error) => {
            console.note(format!("heatherhollowctl: {error}"));
            console.note("heatherhollowctl --help lists the commands");
            return ExitStatus::Usage;
        }
    };
    match perform(&line, &mut console) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            console.note(format!("heatherhollowctl: {error}"));
            error.status()
        }
    }
}

fn perform(line: &CommandLine, console: &mut Console<'_>) -> Result<(), CommandError> {
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
            console.line(completions::BASH);
            Ok(())
        }
    }
}
