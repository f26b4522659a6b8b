//! The real program, as far as it needs no instance.

use std::process::Command;
use std::process::Output;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_heatherhollowctl"))
        .args(arguments)
        .env_remove("HEATHERHOLLOW_TOKEN")
        .output()
        .expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

/// Guards against exit codes that differ from those in the help.
#[test]
fn exit_codes_are_those_of_the_help() {
    let help = run(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    let help = text(&help.stdout);
    for line in [
        "0  done",
        "1  refused",
        "2  the command",
        "3  another",
        "4  the instance",
    ] {
        assert!(help.contains(line), "{help}");
    }
    let missing_command: &[&str] = &[];
    for wrong in [
        missing_command,
        &["fly"],
        &["get"],
        &["get", "No Team"],
        &["status", "--dry-run"],
        &["promote", "demo.bookings", "../x"],
        &["apply", "x", "--expect", "two"],
        &["status", "--unknown"],
    ] {
        let output = run(wrong);
        assert_eq!(output.status.code(), Some(2), "{wrong:?}");
        assert!(
            text(&output.stderr).starts_with("heatherhollowctl: "),
            "{wrong:?}"
        );
    }
    // Nothing listens on port 1 of the loopback.
    let unreachable = run(&["--server", "http://127.0.0.1:1", "status"]);
    assert_eq!(unreachable.status.code(), Some(4), "{unreachable:?}");
    let no_folder = run(&["check", "no-such-folder"]);
    assert_eq!(no_folder.status.code(), Some(1), "{no_folder:?}");
}

/// Guards against examples that do not pass their own check.
#[test]
fn examples_are_valid() {
    for example in ["embedded", "tarai-willow", "lidos-authority"] {
        let folder = format!("{}/../../examples/{example}", env!("CARGO_MANIFEST_DIR"));
        let output = run(&["check", &folder]);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        assert!(text(&output.stdout).contains(": valid; "), "{output:?}");
    }
}

/// Guards against completions that bash cannot read.
#[test]
fn completions_name_every_command() {
    let output = text(&run(&["completions", "bash"]).stdout);
    let help = text(&run(&["--help"]).stdout);
    let commands = help.split("Commands:").nth(1).expect("a list of commands");
    let commands = commands.split("\n\n").next().expect("its end");
    for line in commands.lines().filter(|line| !line.trim().is_empty()) {
        let command = line.split_whitespace().next().expect("a command");
        assert!(output.contains(command), "{command}");
    }
}
