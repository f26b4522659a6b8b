//! The process of the operators' command line: arguments, standard streams and exit code.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    let environment = |name: &str| std::env::var(name).ok();
    let (mut output, mut diagnostics) = (io::stdout(), io::stderr());
    let status = heatherhollowctl::run(&arguments, &environment, &mut output, &mut diagnostics);
    ExitCode::from(status.code())
}
