//! Stand-ins for the scripts of the review, with the standard library only: the platform's store, a
//! database group of three backends and a client, as `PROTOCOL.md` describes them. Starts one instance
//! with the command of the deploy file and plays a case against it.
//!
//! Usage: standin CASE PROGRAM FOLDER RECORD. `TROUBLE=0` plays the case without its disruption.
//! Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

#[path = "cluster.rs"]
mod cluster;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use cluster::Cluster;

/// Lines of the record, with the time since the start.
pub struct Record(Instant, Mutex<File>);

impl Record {
    pub fn note(&self, text: &str) {
        let at = self.0.elapsed().as_millis();
        let mut file = self.1.lock().unwrap();
        writeln!(file, "{at:>6} ms  {}", text.escape_debug()).unwrap();
    }
}

// ---- The store -------------------------------------------------------------------------------------

#[derive(Default)]
pub struct StoreState {
    revision: u64,
    /// Value (base64 text; `None`: removed), revision and lease of each key.
    items: BTreeMap<String, (Option<String>, u64, u64)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

/// The platform of a case: the store and the call that promotes.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    cluster: Option<Arc<Cluster>>,
}

impl StoreState {
    fn put(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.revision += 1;
        self.items.insert(key.to_string(), (value, self.revision, lease));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, end)| *end > now);
        let ended: Vec<String> = self
            .items
            .iter()
            .filter(|(_, (value, _, lease))| {
                value.is_some() && *lease != 0 && !self.leases.contains_key(lease)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in ended {
            self.put(&key, None, 0);
        }
    }

    fn item(&self, key: &str) -> Option<String> {
        let (value, revision, lease) = self.items.get(key)?;
        let value = value.as_ref()?;
        Some(format!(
            "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{revision},\"Lease\":{lease}}}"
        ))
    }
}

fn base64(bytes: &[u8]) -> String {
    let table = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - part.len()));
        for i in 0..4 {
            out.push(match i <= part.len() {
                true => table[(word >> (18 - 6 * i)) as usize & 63] as char,
                false => '=',
            });
        }
    }
    out
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        match bytes[i] {
            b'%' => {
                out.push(u8::from_str_radix(&text[i + 1..i + 3], 16).unwrap_or(b'?'));
                i += 3;
            }
            byte => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// The text or number after `"name":` in a JSON text without escapes.
fn field(text: &str, name: &str) -> Option<String> {
    let rest = &text[text.find(&format!("\"{name}\":"))? + name.len() + 3..];
    let rest = rest.trim_start();
    Some(match rest.strip_prefix('"') {
        Some(rest) => rest[..rest.find('"')?].to_string(),
        None => rest.chars().take_while(char::is_ascii_digit).collect(),
    })
}

impl Store {
    fn new(cluster: Option<Arc<Cluster>>) -> Arc<Self> {
        let (state, changed) = (Mutex::default(), Condvar::new());
        Arc::new(Self { state, changed, cluster })
    }

    pub fn put(&self, key: &str, value: Option<&str>) {
        let value = value.map(|value| base64(value.as_bytes()));
        self.state.lock().unwrap().put(key, value, 0);
        self.changed.notify_all();
    }

    fn answer(&self, method: &str, target: &str, body: &str, token: u64) -> (u16, String) {
        if let ("POST", "/promote", Some(cluster)) = (method, target, &self.cluster) {
            let id = field(body, "Id").unwrap_or_default();
            return (cluster.promote(&id, token), "{}".to_string());
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, percent_decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        state.expire();
        match (method, path) {
            ("GET", "/api/kv-key") => match state.item(&text("Key")) {
                Some(item) => (200, item),
                None => (404, format!("{{\"AsOf\":{}}}", state.revision)),
            },
            ("GET", "/api/kv-range") => {
                let prefix = text("PathPrefix");
                let items: Vec<String> = state
                    .items
                    .keys()
                    .filter(|key| key.starts_with(&prefix))
                    .filter_map(|key| state.item(key))
                    .collect();
                let (items, as_of) = (items.join(","), state.revision);
                (200, format!("{{\"items\":[{items}],\"HasMore\":false,\"AsOf\":{as_of}}}"))
            }
            ("GET", "/api/kv-watch") => {
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("WaitMs").parse().unwrap_or(0));
                let deadline = Instant::now() + wait;
                loop {
                    state.expire();
                    let prefix = text("PathPrefix");
                    let events: Vec<String> = state
                        .items
                        .iter()
                        .filter(|(key, (_, at, _))| key.starts_with(&prefix) && *at > after)
                        .map(|(key, (_, at, _))| {
                            state.item(key).unwrap_or_else(|| {
                                format!("{{\"Key\":\"{key}\",\"Revision\":{at},\"Deleted\":true}}")
                            })
                        })
                        .collect();
                    if !events.is_empty() || Instant::now() >= deadline {
                        let (events, as_of) = (events.join(","), state.revision);
                        return (200, format!("{{\"events\":[{events}],\"AsOf\":{as_of}}}"));
                    }
                    let pause = Duration::from_millis(100);
                    state = self.changed.wait_timeout(state, pause).unwrap().0;
                }
            }
            ("POST", "/api/kv-txn") => {
                // The instance sends one row of Expect and one of Puts, for the same key.
                let puts = body.find("\"Puts\":").unwrap_or(0);
                let expect = body.find("\"Expect\":").unwrap_or(0);
                let end = |from: usize| body[from..].find(']').map_or(body.len(), |i| from + i);
                let (expected, put) = (&body[expect..end(expect)], &body[puts..end(puts)]);
                let key = field(put, "Key").unwrap_or_default();
                let wanted = field(expected, "Revision").and_then(|text| text.parse::<u64>().ok());
                let found = state.items.get(&key).filter(|item| item.0.is_some());
                if wanted != Some(found.map_or(0, |item| item.1)) {
                    let missing = format!("{{\"Key\":\"{key}\",\"Revision\":0}}");
                    let item = state.item(&key).unwrap_or(missing);
                    return (412, format!("{{\"items\":[{item}]}}"));
                }
                let lease = field(put, "Lease").and_then(|text| text.parse().ok()).unwrap_or(0);
                if lease != 0 && !state.leases.contains_key(&lease) {
                    return (404, "{}".to_string());
                }
                state.put(&key, field(put, "Value"), lease);
                self.changed.notify_all();
                (200, format!("{{\"Revision\":{}}}", state.revision))
            }
            ("POST", "/api/kv-lease") => {
                state.revision += 1;
                let ttl: u64 = field(body, "TtlMs").and_then(|text| text.parse().ok()).unwrap_or(1_000);
                let span = Duration::from_millis(ttl);
                let lease = state.revision;
                state.leases.insert(lease, (span, Instant::now() + span));
                (200, format!("{{\"Lease\":{lease},\"TtlMs\":{ttl}}}"))
            }
            (_, path) => {
                let id: u64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                if method == "DELETE" {
                    let known = state.leases.remove(&id).is_some();
                    state.expire();
                    self.changed.notify_all();
                    return (if known { 200 } else { 404 }, "{}".to_string());
                }
                match state.leases.get_mut(&id) {
                    Some((span, end)) => {
                        *end = Instant::now() + *span;
                        (200, "{}".to_string())
                    }
                    None => (404, "{}".to_string()),
                }
            }
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut words = line.split_whitespace();
            let method = words.next().unwrap_or_default().to_string();
            let target = words.next().unwrap_or_default().to_string();
            let (mut length, mut token) = (0, 0);
            loop {
                let mut header = String::new();
                reader.read_line(&mut header)?;
                let header = header.trim_end().to_ascii_lowercase();
                if header.is_empty() {
                    break;
                }
                if let Some(value) = header.strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap_or(0);
                }
                if let Some(value) = header.strip_prefix("x-fencing-token:") {
                    token = value.trim().parse().unwrap_or(0);
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let (status, body) = self.answer(&method, &target, &String::from_utf8_lossy(&body), token);
            write!(
                writer,
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
        }
    }
}

// ---- The database group ----------------------------------------------------------------------------

const SERVICE: &str = "ledger";
const DATABASE: &str = "notes";
const ZONE: &str = "zone-a";

/// A statement that a backend ran for a client: backend, id and text.
type Run = (usize, String, String);

/// Three backends; the first leads term 1, and the others have each commit at once.
struct Group {
    log_end: Mutex<u64>,
    runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

impl Group {
    /// Reads messages as the page has them: a line ends with CR LF.
    fn serve(self: Arc<Self>, backend: usize, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        let mut in_transaction = false;
        loop {
            let mut bytes = [0; 4096];
            let count = stream.read(&mut bytes)?;
            if count == 0 {
                return Ok(());
            }
            buffer.extend_from_slice(&bytes[..count]);
            while let Some(end) = buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
                buffer.drain(..end + 2);
                let answer = self.answer(backend, &line, &mut in_transaction);
                stream.write_all(answer.as_bytes())?;
            }
        }
    }

    fn answer(&self, backend: usize, line: &str, in_transaction: &mut bool) -> String {
        let ready = |end: u64, open: bool| {
            let state = if open { "T" } else { "I" };
            format!("READY {state} 1.{end}\r\n")
        };
        let mut end = self.log_end.lock().unwrap();
        let Some(query) = line.strip_prefix("QUERY ") else {
            return ready(*end, false);
        };
        let (id, text) = query.split_once(' ').unwrap_or((query, ""));
        let text = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').map_or("", |(_, text)| text),
            None => text,
        };
        let is_primary = backend == 0;
        let word = text.split(' ').next().unwrap_or_default();
        if id != "-" {
            self.record.note(&format!("backend {backend} runs id={id} text={text}"));
            self.runs.lock().unwrap().push((backend, id.to_string(), text.to_string()));
        }
        let signature = format!("7.{backend}.{end}");
        let (row, done) = match word {
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => {
                let role = if is_primary { "primary" } else { "replica" };
                (format!("DATAROW {role} 1 1.{end} 0 0 0 1\r\n"), "-".to_string())
            }
            "BEGIN" => {
                *in_transaction = true;
                (String::new(), "-".to_string())
            }
            "COMMIT" | "ROLLBACK" => {
                *in_transaction = false;
                (String::new(), signature)
            }
            "READ" => ("DATAROW qhzkwmtrbelo\r\n".to_string(), signature),
            "WRITE" if !is_primary => {
                let open = *in_transaction;
                return format!("ERROR READONLY b{backend}\r\n{}", ready(*end, open));
            }
            "WRITE" => {
                *end += 1;
                (String::new(), signature)
            }
            _ => (String::new(), "-".to_string()),
        };
        format!("{row}COMPLETE {done}\r\n{}", ready(*end, *in_transaction))
    }
}

// ---- The case --------------------------------------------------------------------------------------

struct World {
    record: Arc<Record>,
    group: Arc<Group>,
    front: SocketAddr,
    instance: Child,
    /// Whether the platform reads the instance's log lines now.
    reads_logs: Arc<AtomicBool>,
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

/// The entry of a backend.
pub fn entry_text(address: SocketAddr, role: &str, born: u64) -> String {
    format!(
        "{{\"Service\":\"{SERVICE}\",\"Address\":\"{address}\",\"Zone\":\"{ZONE}\",\"Version\":\"v1\",\
         \"Slots\":3,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":1,\"DbRole\":\"{role}\",\"born\":{born}}}"
    )
}

fn config_text() -> String {
    format!(
        "{{\"Version\":1,\"Routes\":[{{\"Name\":\"notes\",\"Database\":\"{DATABASE}\",\"Kind\":\"primary\",\
         \"TimeoutMs\":1000,\"ObjectiveMs\":400,\"Priority\":1,\"Service\":\"{SERVICE}\"}}],\
         \"Services\":[{{\"Name\":\"{SERVICE}\",\"MaxConnections\":22,\"SyncReplicas\":1}}],\
         \"Limits\":{{\"TxIdleMs\":3000}}}}"
    )
}

/// Writes the settings of an instance; returns their path and the address for clients.
fn write_settings(
    folder: &str,
    name: &str,
    zone: &str,
    platform: SocketAddr,
) -> std::io::Result<(String, SocketAddr)> {
    let (front, ready, link) = (free_port(), free_port(), free_port());
    let settings = format!("{folder}/{name}.toml");
    std::fs::write(
        &settings,
        format!(
            "NodeName = \"{name}\"\nRole = \"proxy\"\nMachineClass = \"front\"\nServes = [\"front\"]\n\
             Ip = \"127.0.0.1\"\nZone = \"{zone}\"\nRegion = \"region-a\"\nInternalPorts = [{link},{link}]\n\
             [Zones]\nzone-a = \"region-a\"\nzone-b = \"region-a\"\n[Listen]\nFront = \"127.0.0.1:{front}\"\n\
             Ready = \"127.0.0.1:{ready}\"\n[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\n\
             [Bounds]\nGraceS = 6\nDrainMs = 7000\nConfigApplyMs = 3000\n\
             [platform]\nAddress = \"{platform}\"\nMinTtlMs = 1000\n\
             [Cloud]\nAddress = \"{platform}\"\n"
        ),
    )?;
    Ok((settings, SocketAddr::from(([127, 0, 0, 1], front))))
}

fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

impl World {
    fn start(program: &str, folder: &str, record: Arc<Record>) -> std::io::Result<Self> {
        let store = Store::new(None);
        let serving = store.clone();
        let store_address = listen(move |stream| drop(serving.clone().serve(stream)));
        let group = Arc::new(Group {
            log_end: Mutex::new(1),
            runs: Mutex::default(),
            record: record.clone(),
        });
        for backend in 0..3 {
            let serving = group.clone();
            let address = listen(move |stream| drop(serving.clone().serve(backend, stream)));
            let role = if backend == 0 { "primary" } else { "replica" };
            store.put(&format!("servers/b{backend}"), Some(&entry_text(address, role, 1)));
        }
        store.put("op/config", Some(&config_text()));
        let (settings, front) = write_settings(folder, "front-1", ZONE, store_address)?;
        // The platform reads what the instance writes, through a pipe.
        let mut instance = Command::new(program)
            .arg("--platform")
            .env("HEATHERHOLLOW_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let reads_logs = Arc::new(AtomicBool::new(true));
        let mut output = instance.stdout.take().expect("the output is a pipe");
        let is_reading = reads_logs.clone();
        thread::spawn(move || {
            let mut bytes = [0; 4096];
            loop {
                if !is_reading.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(20));
                } else if output.read(&mut bytes).map_or(true, |count| count == 0) {
                    return;
                }
            }
        });
        Ok(Self { record, group, front, instance, reads_logs })
    }

    /// Opens a session; an attempt that fails is repeated for ten seconds.
    fn session(&self) -> Option<TcpStream> {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if let Ok(mut stream) = TcpStream::connect(self.front) {
                stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
                let is_sent = stream.write_all(format!("START {DATABASE} client\r\n").as_bytes());
                if is_sent.is_ok() && answer(&mut stream).starts_with("READY I") {
                    return Some(stream);
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Sends a message and returns what comes back.
    fn ask(&self, stream: &mut TcpStream, message: &str) -> String {
        self.record.note(&format!("client sends {message}\r\n"));
        let is_sent = stream.write_all(format!("{message}\r\n").as_bytes());
        let text = if is_sent.is_ok() { answer(stream) } else { String::new() };
        self.record.note(&format!("client gets {text}"));
        text
    }

    /// What backends ran under an id.
    fn runs(&self, id: &str) -> Vec<String> {
        let runs = self.group.runs.lock().unwrap();
        runs.iter().filter(|run| run.1 == id).map(|run| run.2.clone()).collect()
    }
}

/// Reads until a line READY or ERROR with a close, or for two seconds.
fn answer(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut bytes = [0; 4096];
    loop {
        let is_ready = text.lines().any(|line| line.starts_with("READY")) && text.ends_with("\r\n");
        if is_ready {
            return text;
        }
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return text,
            Ok(count) => text.push_str(&String::from_utf8_lossy(&bytes[..count])),
        }
    }
}

/// A client writes a text. With the disruption the text has a line feed; a line of the protocol ends
/// with CR LF, so the line feed belongs to the text.
fn play_line_feed(world: &World, has_trouble: bool) -> Result<bool, String> {
    let mut is_broken = false;
    // The instance is given time to find the primary.
    let mut first = world.session().ok_or("no session")?;
    let warm_up = Instant::now();
    while !world.ask(&mut first, "QUERY warm WRITE 1a0 ready").contains("COMPLETE 7.") {
        if warm_up.elapsed() > Duration::from_secs(10) {
            return Err("no write succeeds".to_string());
        }
        thread::sleep(Duration::from_millis(200));
        first = world.session().ok_or("no session")?;
    }
    let separator = if has_trouble { "\n" } else { " " };
    let notes = [
        ("5c0e7a21d94b36f8", format!("WRITE 1a4 left at gate{separator}call back")),
        ("5c0e7a21d94b36f9", format!("WRITE 1a5 note{separator}QUERY ffffffffffffffff WRITE 9z9 paid")),
    ];
    for (id, text) in &notes {
        let mut session = world.session().ok_or("no session")?;
        world.ask(&mut session, &format!("QUERY {id} {text}"));
        thread::sleep(Duration::from_millis(300));
        for run in world.runs(id) {
            if run != *text {
                world.record.note(&format!("BROKEN id={id} was run with the text {run}, sent was {text}"));
                is_broken = true;
            }
        }
    }
    for (_, id, text) in world.group.runs.lock().unwrap().iter() {
        if id != "warm" && !notes.iter().any(|(known, _)| known == id) {
            world.record.note(&format!("BROKEN no client sent the id={id} that ran {text}"));
            is_broken = true;
        }
    }
    Ok(is_broken)
}

/// The reader of the log lines pauses for six seconds, and a client names a long database that never
/// existed. Another client writes once in 200 ms meanwhile, with a deadline of 4 s for each write.
fn play_log_pause(world: &World, has_trouble: bool) -> Result<bool, String> {
    let mut session = world.session().ok_or("no session")?;
    let warm_up = Instant::now();
    while !world.ask(&mut session, "QUERY warm WRITE 1a0 ready").contains("COMPLETE 7.") {
        if warm_up.elapsed() > Duration::from_secs(10) {
            return Err("no write succeeds".to_string());
        }
        thread::sleep(Duration::from_millis(200));
        session = world.session().ok_or("no session")?;
    }
    let began_at = Instant::now();
    let mut is_broken = false;
    let name = "x".repeat(200_000);
    for number in 0..25 {
        if number == 2 {
            world.reads_logs.store(!has_trouble, Ordering::Relaxed);
            world.record.note(&format!("the reader of the log pauses: {has_trouble}"));
            let mut other = TcpStream::connect(world.front).map_err(|error| error.to_string())?;
            other.write_all(format!("START {name} client\r\n").as_bytes()).map_err(|error| error.to_string())?;
            world.record.note("another client sends START with a name of 200000 bytes");
        }
        let asked_at = Instant::now();
        session.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
        let text = world.ask(&mut session, &format!("QUERY w{number} WRITE 1a4 data"));
        if text.is_empty() {
            let took = asked_at.elapsed().as_millis();
            world.record.note(&format!("BROKEN the write w{number} got no answer in {took} ms"));
            is_broken = true;
            break;
        }
        if began_at.elapsed() > Duration::from_secs(6) {
            break;
        }
        thread::sleep(Duration::from_millis(200));
    }
    world.reads_logs.store(true, Ordering::Relaxed);
    Ok(is_broken)
}

/// Instances that are ended with the case.
struct Instances(Vec<Child>);

impl Drop for Instances {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ended = child.kill();
            let _ended = child.wait();
        }
    }
}

/// The primary is cut off from one of two instances. That one pauses the replicas and orders the
/// promotion of the last one. The other replica crashes after its pause and is back at once. Clients of the other
/// instance write all the while.
fn play_paused_restart(program: &str, folder: &str, record: Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let cluster = Cluster::start(record.clone());
    let store = Store::new(Some(cluster.clone()));
    let serving = store.clone();
    let platform = listen(move |stream| drop(serving.clone().serve(stream)));
    let mut addresses = Vec::new();
    for backend in 0..3 {
        let serving = cluster.clone();
        addresses.push(listen(move |stream| drop(serving.clone().serve(backend, stream))));
        cluster.announce(&store, backend, addresses[backend]);
    }
    store.put("op/config", Some(&config_text()));
    let mut instances = Instances(Vec::new());
    let mut fronts = Vec::new();
    for (name, zone) in [("front-1", "zone-a"), ("front-2", "zone-b")] {
        let (settings, front) = write_settings(folder, name, zone, platform).map_err(text)?;
        let log = File::create(format!("{folder}/{name}.log")).map_err(text)?;
        let child = Command::new(program)
            .arg("--platform")
            .env("HEATHERHOLLOW_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(text)?)
            .stderr(log)
            .spawn();
        instances.0.push(child.map_err(text)?);
        fronts.push(front);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    // A session has one request at a time; each instance has two sessions.
    for (number, front) in [fronts[0], fronts[1], fronts[0], fronts[1]].into_iter().enumerate() {
        let (cluster, record, is_over) = (cluster.clone(), record.clone(), is_over.clone());
        clients.push(thread::spawn(move || {
            let mut count = 0;
            while !is_over.load(Ordering::Relaxed) {
                let Ok(mut stream) = TcpStream::connect(front) else {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                };
                stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
                let started = stream.write_all(format!("START {DATABASE} client\r\n").as_bytes());
                if started.is_err() || !answer(&mut stream).starts_with("READY I") {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
                while !is_over.load(Ordering::Relaxed) {
                    count += 1;
                    let id = format!("c{number}-{count}");
                    let sent = stream.write_all(format!("QUERY {id} WRITE 1a{number} data\r\n").as_bytes());
                    let text = if sent.is_ok() { answer(&mut stream) } else { String::new() };
                    if text.contains("COMPLETE 7.") {
                        cluster.acknowledged.lock().unwrap().insert(id.clone());
                    }
                    record.note(&format!("client at front-{} gets for id={id}: {text}", number % 2 + 1));
                    if !text.contains("READY I") {
                        break;
                    }
                    thread::sleep(Duration::from_millis(30));
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(5));
    let served = cluster.acknowledged.lock().unwrap().len();
    if has_trouble {
        record.note("the first backend, the primary, is cut off from front-1");
        *cluster.cut_instance.lock().unwrap() = Some("front-1".to_string());
        let cut_at = Instant::now();
        let ordered = || *cluster.ordered.lock().unwrap();
        while ordered().is_none() && cut_at.elapsed() < Duration::from_millis(6_500) {
            thread::sleep(Duration::from_millis(2));
        }
        if let Some(promoted) = ordered() {
            thread::sleep(Duration::from_millis(60));
            let other = 3 - promoted;
            cluster.set_alive(other, false);
            thread::sleep(Duration::from_millis(200));
            cluster.set_alive(other, true);
            // Its first entry comes after a sixth of a heartbeat. `ENTRY_MS` sets another time.
            let delay = std::env::var("ENTRY_MS").ok().and_then(|text| text.parse().ok());
            thread::sleep(Duration::from_millis(delay.unwrap_or(200)));
            cluster.announce(&store, other, addresses[other]);
        }
        let left = Duration::from_millis(7_000).saturating_sub(cut_at.elapsed());
        thread::sleep(left);
        *cluster.cut_instance.lock().unwrap() = None;
        record.note("the cut ends");
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ended = client.join();
    }
    let violations = cluster.violations.lock().unwrap().len();
    record.note(&format!("{served} commits before, {} promotions, {violations} violations", cluster.promotions.lock().unwrap()));
    if served < 50 || (has_trouble && *cluster.promotions.lock().unwrap() == 0) {
        return Err("too few commits, or no promotion".to_string());
    }
    Ok(violations > 0)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, record] = &arguments[..] else {
        eprintln!("usage: standin CASE PROGRAM FOLDER RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Arc::new(Record(Instant::now(), Mutex::new(File::create(record).unwrap())));
    if case == "paused-restart" {
        let result = play_paused_restart(program, folder, record.clone(), has_trouble);
        let code = match &result {
            Ok(false) => 0,
            Ok(true) => 1,
            Err(_) => 2,
        };
        record.note(&format!("result: {result:?} trouble={has_trouble} exit={code}"));
        std::process::exit(code);
    }
    let mut world = match World::start(program, folder, record.clone()) {
        Ok(world) => world,
        Err(error) => {
            eprintln!("the case cannot start: {error}");
            std::process::exit(2);
        }
    };
    let result = match case.as_str() {
        "line-feed" => play_line_feed(&world, has_trouble),
        "log-pause" => play_log_pause(&world, has_trouble),
        other => Err(format!("unknown case {other}")),
    };
    let _ended = world.instance.kill();
    let _ended = world.instance.wait();
    let code = match &result {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(_) => 2,
    };
    record.note(&format!("result: {result:?} trouble={has_trouble} exit={code}"));
    std::process::exit(code);
}
