//! Tests of the program as a process, with commands that need no instance.

use std::process::Command;
use std::process::Output;

fn run_program(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_heatherhollowctl"))
        .args(arguments)
        .env_remove("HEATHERHOLLOW_TOKEN")
        .output()
        .expect("the program starts")
}

fn utf8_text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("UTF-8 text")
}

/// Guards against exit codes that differ from those in the help, which scripts rely on.
#[test]
fn exit_codes_match_the_help() {
    let help = run_program(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    let help = utf8_text(&help.stdout);
    for line in [
        "0  done",
        "1  refused",
        "2  the command",
        "3  another",
        "4  the instance",
    ] {
        assert!(help.contains(line), "{help}");
    }
    let no_command: &[&str] = &[];
    for invalid in [
        no_command,
        &["fly"],
        &["get"],
        &["get", "No Team"],
        &["status", "--dry-run"],
        &["promote", "demo.bookings", "../x"],
        &["apply", "x", "--expect", "two"],
        &["status", "--unknown"],
    ] {
        let output = run_program(invalid);
        assert_eq!(output.status.code(), Some(2), "{invalid:?}");
        assert!(
            utf8_text(&output.stderr).starts_with("heatherhollowctl: "),
            "{invalid:?}"
        );
    }
    // Nothing listens on port 1 of the loopback address, so the connection is refused.
    let unreachable = run_program(&["--server", "http://127.0.0.1:1", "status"]);
    assert_eq!(unreachable.status.code(), Some(4), "{unreachable:?}");
    let no_folder = run_program(&["check", "no-such-folder"]);
    assert_eq!(no_folder.status.code(), Some(1), "{no_folder:?}");
}

/// Guards against a change of the declaration format that leaves the examples invalid.
#[test]
fn examples_are_valid() {
    for example in ["embedded", "tarai-willow", "lidos-authority"] {
        let folder = format!("{}/../../examples/{example}", env!("CARGO_MANIFEST_DIR"));
        let output = run_program(&["check", &folder]);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        assert!(
            utf8_text(&output.stdout).contains(": valid; "),
            "{output:?}"
        );
    }
}

/// Guards against a command that the help lists but the completions lack.
#[test]
fn completions_name_every_command() {
    let output = utf8_text(&run_program(&["completions", "bash"]).stdout);
    let help = utf8_text(&run_program(&["--help"]).stdout);
    let commands = help.split("Commands:").nth(1).expect("a list of commands");
    let commands = commands
        .split("\n\n")
        .next()
        .expect("an end of the list of commands");
    for line in commands.lines().filter(|line| !line.trim().is_empty()) {
        let command = line.split_whitespace().next().expect("a command");
        assert!(output.contains(command), "{command}");
    }
}
