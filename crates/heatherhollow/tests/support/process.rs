//! Starts the program and reads its listening addresses from its log.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;

/// Log events that report a listening address.
const LISTEN_EVENTS: [&str; 3] = ["callers_listen", "operators_listen", "peers_listen"];

/// A running program and the addresses on which it listens.
pub struct StartedProgram {
    pub child: Child,
    addresses: Vec<(&'static str, String)>,
}

impl StartedProgram {
    /// Starts the program on ports that the operating system chooses, and waits until it listens.
    pub fn start(options: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_heatherhollow"))
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--operator-listen", "127.0.0.1:0"])
            .args(options)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let stderr = child.stderr.take().expect("a pipe");
        let mut lines = BufReader::new(stderr).lines();
        let mut addresses = Vec::new();
        while addresses.len() < LISTEN_EVENTS.len() {
            let line = lines.next().expect("the program logs its addresses");
            let line = line.expect("a readable log");
            addresses.extend(LISTEN_EVENTS.iter().filter_map(|event| {
                let (_, address) = line.split_once(&format!("event={event} address="))?;
                Some((*event, address.to_string()))
            }));
        }
        // The program would block on a full pipe, so the rest of its log is read and dropped.
        thread::spawn(move || lines.for_each(drop));
        Self { child, addresses }
    }

    /// Returns the address that a log event reported.
    pub fn address(&self, event: &str) -> String {
        let found = self.addresses.iter().find(|(name, _)| *name == event);
        found.expect("a listen event").1.clone()
    }
}
