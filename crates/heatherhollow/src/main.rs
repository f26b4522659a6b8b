//! The proxy program: reads its settings and runs one instance until it is stopped.
//!
//! The exit code is 0 on success, 2 for settings that cannot be used and 1 for other errors.

mod embedded;
mod logs;
mod options;
mod platform;
mod serve;

use std::process::ExitCode;

use crate::logs::LogOutput;
use crate::options::ProgramCommand;

fn main() -> ExitCode {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    let settings = match options::parse_command(&arguments, |name| std::env::var(name).ok()) {
        Ok(ProgramCommand::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Ok(ProgramCommand::Run(settings)) => *settings,
        Ok(ProgramCommand::RunOnPlatform { log_filter }) => return platform::run(&log_filter),
        Err(errors) => {
            for error in errors {
                eprintln!("heatherhollow: {error}");
            }
            return ExitCode::from(2);
        }
    };
    logs::init(&settings.log_filter, LogOutput::Stderr);
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("heatherhollow: the Tokio runtime cannot be started: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(serve::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heatherhollow: {error}");
            ExitCode::FAILURE
        }
    }
}
