//! The real program `heatherhollow --embedded`, and the operators' program as a function.

#![allow(dead_code, reason = "each test program uses a part of this module")]

mod process;

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use heatherhollowctl::ExitStatus;

use self::process::StartedProgram;

/// Attempts to see a state that the program reaches by itself.
const MAX_LOOKS: usize = 400;

const LOOK_PAUSE: Duration = Duration::from_millis(25);

/// What a run of the operators' program gave.
#[derive(Debug)]
pub struct ToolRun {
    pub status: ExitStatus,
    pub output: String,
    pub notes: String,
}

impl ToolRun {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.output).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// A running proxy; killed by its process id when dropped.
pub struct ProxyProcess {
    child: Child,
    /// The token for everything.
    token: &'static str,
    pub callers: String,
    pub operators: String,
    /// Address of the peer listener.
    pub peers: String,
}

impl ProxyProcess {
    pub fn start() -> Self {
        Self::start_with("embedded", &[])
    }

    /// Starts the program with more options, which make `token` the one for everything.
    pub fn start_with(token: &'static str, extra: &[&str]) -> Self {
        let proxy = Self::spawn(token, &[&["--embedded"], extra].concat());
        proxy.wait_for_status("a primary", |status| {
            let groups = status["groups"].as_array();
            groups.is_some_and(|groups| groups.iter().all(|g| g["primary"].is_string()))
                && status["readiness"] == "ready"
        });
        proxy
    }

    /// Starts a peer of this instance that holds no connections and reaches no store.
    pub fn start_entry(&self, name: &str) -> Self {
        let peers = format!("instance-1={}", self.peers);
        let options = ["--entry-only", "--instance", name, "--peers", &peers];
        let secrets = ["--peer-secret", "embedded", "--token-secret", "embedded"];
        let tokens = ["--operator-tokens", "*=embedded"];
        let proxy = Self::spawn("embedded", &[&options[..], &secrets, &tokens].concat());
        proxy.wait_for_status("its settings", |status| status["readiness"] == "ready");
        proxy
    }

    fn spawn(token: &'static str, options: &[&str]) -> Self {
        let program = StartedProgram::start(options);
        Self {
            token,
            callers: format!("http://{}", program.address("callers_listen")),
            operators: format!("http://{}", program.address("operators_listen")),
            peers: program.address("peers_listen"),
            child: program.child,
        }
    }

    /// Runs the operators' program with the token for everything.
    pub fn tool(&self, arguments: &[&str]) -> ToolRun {
        self.tool_with_token(self.token, arguments)
    }

    pub fn tool_with_token(&self, token: &str, arguments: &[&str]) -> ToolRun {
        run_tool(&[&["--server", &self.operators, "--token", token], arguments].concat())
    }

    pub fn wait_for_status(&self, what: &str, is_seen: impl Fn(&Value) -> bool) {
        for _ in 0..MAX_LOOKS {
            let run = self.tool(&["status", "--json"]);
            if is_seen(&run.json()) {
                return;
            }
            thread::sleep(LOOK_PAUSE);
        }
        panic!("{what} was not seen in the status");
    }

    /// Sends a caller's request; the status code and the end of the answer.
    pub fn call(&self, path: &str, statement: &str) -> (u16, Value) {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        let url = format!("{}/v1/demo/lanes/{path}", self.callers);
        let mut reply = agent.post(url).send(statement).expect("an answer");
        let text = reply.body_mut().read_to_string().expect("a whole answer");
        let last = text.lines().last().expect("an end");
        let last: Value = serde_json::from_str(last).expect("JSON");
        (reply.status().as_u16(), last["end"].clone())
    }

    pub fn stored(&self) -> Value {
        let run = self.tool(&["get", "demo", "--json"]);
        assert_eq!(run.status, ExitStatus::Done, "{run:?}");
        run.json()
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs the operators' program without an environment.
pub fn run_tool(arguments: &[&str]) -> ToolRun {
    let arguments = arguments.iter().map(|a| a.to_string()).collect::<Vec<_>>();
    let (mut output, mut notes) = (Vec::new(), Vec::new());
    let status = heatherhollowctl::run(&arguments, &|_| None, &mut output, &mut notes);
    ToolRun {
        status,
        output: String::from_utf8(output).expect("text"),
        notes: String::from_utf8(notes).expect("text"),
    }
}

/// A copy of the embedded declarations; removed when dropped.
pub struct DeclarationFolder(PathBuf);

impl DeclarationFolder {
    pub fn new() -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("heatherhollow-test-{}-{count}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/embedded");
        fs::create_dir_all(folder.join("teams/demo")).expect("a folder");
        for file in ["topology.toml", "teams/demo/services.toml"] {
            fs::copy(examples.join(file), folder.join(file)).expect("a copy");
        }
        Self(folder)
    }

    pub fn path(&self) -> &str {
        self.0.to_str().expect("a text")
    }

    /// Changes the declaration of the team.
    pub fn edit(&self, change: impl Fn(&str) -> String) {
        let file = self.0.join("teams/demo/services.toml");
        let old = fs::read_to_string(&file).expect("a declaration");
        let new = change(&old);
        assert_ne!(old, new, "the edit changes something");
        fs::write(&file, new).expect("a writable file");
    }

    pub fn add_kind(&self, name: &str) {
        let kind = format!("\n[[services.kinds]]\nname = \"{name}\"\nmax_age_ms = 1000\n");
        self.edit(|text| format!("{text}{kind}max_wait_ms = 50\n"));
    }
}

impl Drop for DeclarationFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
