//! The proxy program: reads its settings, wires the engine to its ports and serves callers.

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
    let settings = match options::read_command(&arguments, |name| std::env::var(name).ok()) {
        Ok(ProgramCommand::Show(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Ok(ProgramCommand::Run(settings)) => *settings,
        Ok(ProgramCommand::RunOnPlatform { log }) => return platform::run(&log),
        Err(errors) => {
            for error in errors {
                eprintln!("heatherhollow: {error}");
            }
            return ExitCode::from(2);
        }
    };
    logs::start(&settings.log, LogOutput::Stderr);
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("heatherhollow: the worker threads cannot be started: {error}");
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
