//! A database group with terms, pauses and promotions, for cases with several instances.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{entry_text, Record, Store};

/// Time from the order of a promotion to its effect, as on tarai-bat.
const PROMOTE_TIME: Duration = Duration::from_millis(600);

/// Time after which an old primary that reaches the new one gives up its lead.
const OLD_PRIMARY_TIME: Duration = Duration::from_secs(1);

/// Names of the backends.
pub const NAMES: [&str; 3] = ["b0", "b1", "b2"];

#[derive(Clone)]
pub struct Backend {
    pub is_alive: bool,
    is_primary: bool,
    term: u64,
    /// Term and statement id of each commit.
    log: Vec<(u64, String)>,
    /// Term of a pause; 0 without one.
    paused: u64,
    /// Rises with each start; connections of an earlier life end.
    life: u64,
    newer_since: Option<Instant>,
}

pub struct Cluster {
    pub backends: Mutex<Vec<Backend>>,
    changed: Condvar,
    pub record: Arc<Record>,
    /// Name of the instance that does not reach the first backend, while it is cut.
    pub cut_instance: Mutex<Option<String>>,
    /// Ids of commits whose success a client has got.
    pub acknowledged: Mutex<BTreeSet<String>>,
    pub violations: Mutex<Vec<String>>,
    highest_token: Mutex<u64>,
    /// Backend of the first order.
    pub ordered: Mutex<Option<usize>>,
    pub promotions: Mutex<u32>,
}

impl Cluster {
    pub fn start(record: Arc<Record>) -> Arc<Self> {
        let backend = |is_primary| Backend {
            is_alive: true,
            is_primary,
            term: 1,
            log: vec![(1, "start".to_string())],
            paused: 0,
            life: 0,
            newer_since: None,
        };
        let cluster = Arc::new(Self {
            backends: Mutex::new(vec![backend(true), backend(false), backend(false)]),
            changed: Condvar::new(),
            record,
            cut_instance: Mutex::default(),
            acknowledged: Mutex::default(),
            violations: Mutex::default(),
            highest_token: Mutex::new(0),
            ordered: Mutex::default(),
            promotions: Mutex::new(0),
        });
        let ticking = cluster.clone();
        thread::spawn(move || loop {
            ticking.replicate();
            thread::sleep(Duration::from_millis(2));
        });
        cluster
    }

    /// Copies the logs of primaries to the backends that take them.
    fn replicate(&self) {
        let mut backends = self.backends.lock().unwrap();
        let newest = backends.iter().filter(|b| b.is_alive && b.is_primary).map(|b| b.term).max();
        for from in 0..backends.len() {
            if !backends[from].is_alive || !backends[from].is_primary {
                continue;
            }
            if newest > Some(backends[from].term) {
                let since = *backends[from].newer_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= OLD_PRIMARY_TIME {
                    self.record.note(&format!("{} gives up its lead", NAMES[from]));
                    backends[from].is_primary = false;
                    continue;
                }
            }
            let (term, log) = (backends[from].term, backends[from].log.clone());
            for to in 0..backends.len() {
                let other = &mut backends[to];
                let takes = to != from && other.is_alive && !other.is_primary;
                if takes && other.paused <= term && other.term <= term {
                    other.term = term;
                    other.log = log.clone();
                }
            }
        }
        drop(backends);
        self.changed.notify_all();
    }

    /// Stops a backend, or starts it again with its log and without its pause.
    pub fn set_alive(&self, backend: usize, is_alive: bool) {
        let mut backends = self.backends.lock().unwrap();
        backends[backend].is_alive = is_alive;
        backends[backend].life += 1;
        backends[backend].paused = 0;
        self.record.note(&format!("{} {}", NAMES[backend], if is_alive { "starts" } else { "crashes" }));
        drop(backends);
        self.changed.notify_all();
    }

    /// The platform's call; returns the status.
    pub fn promote(self: &Arc<Self>, id: &str, token: u64) -> u16 {
        let Some(backend) = NAMES.iter().position(|name| *name == id) else { return 404 };
        self.record.note(&format!("platform gets POST /promote Id={id} token={token}"));
        let mut highest = self.highest_token.lock().unwrap();
        if token < *highest {
            self.violate(&format!("ONE: token {token} after {highest}"));
        }
        *highest = token.max(*highest);
        if !self.backends.lock().unwrap()[backend].is_alive {
            return 409;
        }
        self.ordered.lock().unwrap().get_or_insert(backend);
        let cluster = self.clone();
        thread::spawn(move || {
            thread::sleep(PROMOTE_TIME);
            cluster.take_effect(backend);
        });
        200
    }

    fn take_effect(&self, backend: usize) {
        let mut backends = self.backends.lock().unwrap();
        if !backends[backend].is_alive || backends[backend].is_primary {
            return;
        }
        let term = backends.iter().map(|b| b.term).max().unwrap_or(0) + 1;
        let state = &mut backends[backend];
        state.term = term;
        state.is_primary = true;
        state.paused = 0;
        self.record.note(&format!("{} leads term {term}", NAMES[backend]));
        *self.promotions.lock().unwrap() += 1;
        for id in self.acknowledged.lock().unwrap().iter() {
            if !state.log.iter().any(|(_, known)| known == id) {
                self.violate(&format!("LOST: the acknowledged commit {id} is not in the log of {}", NAMES[backend]));
            }
        }
        drop(backends);
        self.changed.notify_all();
    }

    fn violate(&self, text: &str) {
        self.record.note(&format!("BROKEN {text}"));
        self.violations.lock().unwrap().push(text.to_string());
    }

    /// Writes the entry of a backend as the backend does.
    pub fn announce(&self, store: &Store, backend: usize, address: std::net::SocketAddr) {
        let (is_primary, life) = {
            let backends = self.backends.lock().unwrap();
            (backends[backend].is_primary, backends[backend].life)
        };
        let role = if is_primary { "primary" } else { "replica" };
        self.record.note(&format!("{} writes its entry, born={}", NAMES[backend], life + 1));
        store.put(&format!("servers/{}", NAMES[backend]), Some(&entry_text(address, role, life + 1)));
    }

    pub fn serve(self: Arc<Self>, backend: usize, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(20)))?;
        let life = {
            let backends = self.backends.lock().unwrap();
            if !backends[backend].is_alive {
                return Ok(());
            }
            backends[backend].life
        };
        let mut who = String::new();
        let mut buffer = Vec::new();
        loop {
            let is_over = self.backends.lock().unwrap()[backend].life != life;
            if is_over {
                return Ok(());
            }
            let mut bytes = [0; 4096];
            match stream.read(&mut bytes) {
                Ok(0) => return Ok(()),
                Ok(count) => buffer.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
                Err(error) => return Err(error),
            }
            while let Some(end) = buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
                buffer.drain(..end + 2);
                if let Some(rest) = line.strip_prefix("START ") {
                    who = rest.split(' ').nth(1).unwrap_or_default().to_string();
                }
                let is_cut = backend == 0 && self.cut_instance.lock().unwrap().as_deref() == Some(&who[..]);
                if is_cut {
                    // Nothing passes in either direction, for good on this connection.
                    while self.backends.lock().unwrap()[backend].life == life {
                        thread::sleep(Duration::from_millis(50));
                    }
                    return Ok(());
                }
                let Some(answer) = self.answer(backend, life, &line) else { return Ok(()) };
                stream.write_all(answer.as_bytes())?;
            }
        }
    }

    /// Returns the answer to a message; `None` if the backend ends before.
    fn answer(&self, backend: usize, life: u64, line: &str) -> Option<String> {
        let mut backends = self.backends.lock().unwrap();
        let position = |state: &Backend| {
            let term = state.log.last().map_or(1, |(term, _)| *term);
            format!("{term}.{}", state.log.len())
        };
        let state = &mut backends[backend];
        if state.life != life {
            return None;
        }
        let Some(query) = line.strip_prefix("QUERY ") else {
            return Some(format!("READY I {}\r\n", position(state)));
        };
        let (id, text) = query.split_once(' ').unwrap_or((query, ""));
        let text = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').map_or("", |(_, text)| text),
            None => text,
        };
        let mut words = text.split(' ');
        let word = words.next().unwrap_or_default();
        let term = words.next().and_then(|word| word.parse::<u64>().ok()).unwrap_or(0);
        match word {
            "PAUSE" if !state.is_primary && term > state.term => {
                state.paused = term;
                self.record.note(&format!("{} is paused for term {term}", NAMES[backend]));
            }
            "RESUME" => state.paused = 0,
            "STEPDOWN" if state.is_primary && term > state.term => {
                self.record.note(&format!("{} steps down", NAMES[backend]));
                state.is_primary = false;
            }
            _ => {}
        }
        match word {
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => {
                let role = if state.is_primary { "primary" } else { "replica" };
                let (term, paused, at) = (state.term, state.paused, position(state));
                Some(format!("DATAROW {role} {term} {at} {paused} 0 0 2\r\nCOMPLETE -\r\nREADY I {at}\r\n"))
            }
            "WRITE" if !state.is_primary => {
                Some(format!("ERROR READONLY {}\r\nREADY I {}\r\n", NAMES[backend], position(state)))
            }
            "WRITE" => {
                let commit = (state.term, id.to_string());
                state.log.push(commit.clone());
                let number = state.log.len();
                self.record.note(&format!("{} runs id={id} as {}.{number}", NAMES[backend], commit.0));
                // Acknowledged once one replica has received it.
                loop {
                    let has_copy = |(i, other): (usize, &Backend)| {
                        i != backend && other.is_alive && other.log.get(number - 1) == Some(&commit)
                    };
                    if backends[backend].life != life {
                        return None;
                    }
                    if let Some((i, _)) = backends.iter().enumerate().find(|(i, b)| has_copy((*i, b))) {
                        self.record.note(&format!("{} has id={id}, {} acknowledges it", NAMES[i], NAMES[backend]));
                        let signature = format!("7.{backend}.{number}");
                        return Some(format!("COMPLETE {signature}\r\nREADY I {}.{number}\r\n", commit.0));
                    }
                    let pause = Duration::from_millis(5);
                    backends = self.changed.wait_timeout(backends, pause).unwrap().0;
                }
            }
            "READ" => Some(format!(
                "DATAROW x\r\nCOMPLETE 7.{backend}.r\r\nREADY I {}\r\n",
                position(state)
            )),
            _ => Some(format!("COMPLETE -\r\nREADY I {}\r\n", position(state))),
        }
    }
}
