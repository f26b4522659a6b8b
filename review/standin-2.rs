//! Stand-ins of the operators' platform, of backends and of clients for the cases 6 to 10 of this folder.
//!
//! Only the standard library is used, so that the program builds without a network. Each case starts
//! instances of the project's program as processes of their own, on loopback addresses and the real clock.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;
#[allow(dead_code)]
const SIGKILL: i32 = 9;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_string()));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(&folder.join("record.txt"));
    let result = match case.as_str() {
        "prepared" => case_prepared(&record, has_trouble),
        "closed-names" => case_closed_names(&record, has_trouble),
        other => {
            eprintln!("unknown case {other:?}");
            std::process::exit(2);
        }
    };
    let code = match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            2
        }
    };
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}

// ---------------------------------------------------------------------------------------------
// Record

struct Record {
    file: Mutex<File>,
    began_at: Instant,
}

impl Record {
    fn new(path: &Path) -> Arc<Self> {
        Arc::new(Self {
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
            began_at: Instant::now(),
        })
    }

    fn line(&self, text: &str) {
        let at = self.began_at.elapsed().as_secs_f64();
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

// ---------------------------------------------------------------------------------------------
// JSON and base64

#[derive(Debug, Clone)]
enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        Self::value(text, &mut at)
    }

    fn blank(text: &[u8], at: &mut usize) {
        while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Option<Json> {
        Self::blank(text, at);
        match text.get(*at)? {
            b'{' => {
                *at += 1;
                let mut table = Vec::new();
                loop {
                    Self::blank(text, at);
                    match text.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Table(table));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(name) = Self::value(text, at)? else {
                                return None;
                            };
                            Self::blank(text, at);
                            *at += 1;
                            table.push((name, Self::value(text, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::blank(text, at);
                    match text.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(text, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut out = Vec::new();
                loop {
                    match text.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Text(String::from_utf8(out).ok()?));
                        }
                        b'\\' => {
                            *at += 1;
                            match text.get(*at)? {
                                b'n' => out.push(b'\n'),
                                b't' => out.push(b'\t'),
                                b'r' => out.push(b'\r'),
                                other => out.push(*other),
                            }
                            *at += 1;
                        }
                        other => {
                            out.push(*other);
                            *at += 1;
                        }
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool)
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool)
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let start = *at;
                while text
                    .get(*at)
                    .is_some_and(|c| b"+-.eE0123456789".contains(c))
                {
                    *at += 1;
                }
                std::str::from_utf8(&text[start..*at])
                    .ok()?
                    .parse()
                    .ok()
                    .map(Json::Number)
            }
        }
    }

    fn get(&self, name: &str) -> &Json {
        static NULL: Json = Json::Null;
        match self {
            Json::Table(table) => table
                .iter()
                .find(|(n, _)| n == name)
                .map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }

    fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(BASE64[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn decode_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0_u32, 0);
    for c in text.bytes() {
        let Some(value) = BASE64.iter().position(|known| *known == c) else {
            continue;
        };
        n = (n << 6) | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
        }
    }
    out
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[i + 1..i + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            i += 3;
        } else {
            out.push(bytes[i]);
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------------------------------------
// The platform's store

struct Item {
    value: Option<Vec<u8>>,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl StoreState {
    fn put(&mut self, key: &str, value: Option<Vec<u8>>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        self.items.insert(
            key.to_string(),
            Item {
                value,
                revision,
                lease,
            },
        );
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, ends_at)| *ends_at > now);
        let ended = self.items.iter().filter(|(_, item)| {
            item.value.is_some() && item.lease != 0 && !self.leases.contains_key(&item.lease)
        });
        for key in ended.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.put(&key, None, 0);
        }
    }

    fn item(&self, key: &str) -> Option<String> {
        let item = self.items.get(key)?;
        let value = encode_base64(item.value.as_ref()?);
        let (revision, lease) = (item.revision, item.lease);
        Some(format!(
            "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{revision},\"Lease\":{lease}}}"
        ))
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let mut changed = self
            .items
            .iter()
            .filter(|(key, item)| key.starts_with(prefix) && item.revision > after)
            .collect::<Vec<_>>();
        changed.sort_by_key(|(_, item)| item.revision);
        let encoded = changed.into_iter().map(|(key, item)| match self.item(key) {
            Some(item) => item,
            None => format!(
                "{{\"Key\":\"{key}\",\"Revision\":{},\"Deleted\":true}}",
                item.revision
            ),
        });
        encoded.collect()
    }
}

impl Store {
    fn start() -> (Arc<Self>, SocketAddr) {
        let state = StoreState {
            revision: 1,
            ..StoreState::default()
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    fn put(&self, key: &str, value: &str) {
        lock(&self.state).put(key, Some(value.as_bytes().to_vec()), 0);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut head = String::new();
            if reader.read_line(&mut head).ok()? == 0 {
                return None;
            }
            let mut length = 0;
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).ok()?;
                let line = line.trim_end();
                if line.is_empty() {
                    break;
                }
                let (name, value) = line.split_once(':')?;
                if name.eq_ignore_ascii_case("content-length") {
                    length = value.trim().parse().ok()?;
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
            let mut words = head.split_whitespace();
            let (method, target) = (words.next()?, words.next()?);
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let (status, body) = self.call(method, path, query, &body);
            let text = match status {
                200 => "OK",
                _ => "Other",
            };
            let out = format!(
                "HTTP/1.1 {status} {text}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            writer.write_all(out.as_bytes()).ok()?;
        }
    }

    fn call(&self, method: &str, path: &str, query: &str, body: &[u8]) -> (u16, String) {
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs
                .filter(|(n, _)| *n == name)
                .map(|(_, v)| decode_percent(v))
                .next();
            found.unwrap_or_default()
        };
        let body = Json::parse(body).unwrap_or(Json::Null);
        let mut state = lock(&self.state);
        state.expire();
        match (method, path) {
            ("GET", "/api/kv-key") => match state.item(&field("Key")) {
                Some(item) => {
                    let as_of = state.revision;
                    (
                        200,
                        format!("{},\"AsOf\":{as_of}}}", &item[..item.len() - 1]),
                    )
                }
                None => (404, format!("{{\"AsOf\":{}}}", state.revision)),
            },
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (field("PathPrefix"), field("after"));
                let keys = state
                    .items
                    .keys()
                    .filter(|k| k.starts_with(&prefix) && **k > after);
                let items = keys
                    .filter_map(|key| state.item(key))
                    .collect::<Vec<_>>()
                    .join(",");
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"HasMore\":false,\"AsOf\":{}}}",
                        state.revision
                    ),
                )
            }
            ("GET", "/api/kv-watch") => {
                let (prefix, after) = (field("PathPrefix"), field("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(field("WaitMs").parse().unwrap_or(0));
                let deadline = Instant::now() + wait;
                loop {
                    state.expire();
                    let events = state.events(&prefix, after);
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.join(",");
                        return (
                            200,
                            format!("{{\"events\":[{events}],\"AsOf\":{}}}", state.revision),
                        );
                    }
                    let pause = left.min(Duration::from_millis(100));
                    let waited = self.changed.wait_timeout(state, pause);
                    state = waited.unwrap_or_else(|error| error.into_inner()).0;
                }
            }
            ("POST", "/api/kv-txn") => {
                for expected in body.get("Expect").list() {
                    let key = expected.get("Key").text();
                    let found = state.items.get(key).filter(|item| item.value.is_some());
                    if found.map_or(0, |item| item.revision) != expected.get("Revision").number() {
                        let item = state.item(key);
                        let item =
                            item.unwrap_or_else(|| format!("{{\"Key\":\"{key}\",\"Revision\":0}}"));
                        return (412, format!("{{\"items\":[{item}]}}"));
                    }
                }
                for put in body.get("Puts").list() {
                    let lease = put.get("Lease").number();
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return (404, "{}".to_string());
                    }
                    let value = decode_base64(put.get("Value").text());
                    state.put(put.get("Key").text(), Some(value), lease);
                }
                for key in body.get("Deletes").list() {
                    state.put(key.text(), None, 0);
                }
                self.changed.notify_all();
                (200, format!("{{\"Revision\":{}}}", state.revision))
            }
            ("POST", "/api/kv-lease") => {
                state.revision += 1;
                let lease = state.revision;
                let ttl = body.get("TtlMs").number();
                let span = Duration::from_millis(ttl);
                state.leases.insert(lease, (span, Instant::now() + span));
                (200, format!("{{\"Lease\":{lease},\"TtlMs\":{ttl}}}"))
            }
            ("POST", "/promote") => (409, "{}".to_string()),
            _ => {
                let lease = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse::<u64>().ok())
                    .unwrap_or(0);
                let Some((span, ends_at)) = state.leases.get_mut(&lease) else {
                    return (404, "{}".to_string());
                };
                if method == "DELETE" {
                    state.leases.remove(&lease);
                    state.expire();
                    self.changed.notify_all();
                } else {
                    *ends_at = Instant::now() + *span;
                }
                (200, "{}".to_string())
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Backends: one primary and two replicas, which have each commit at once

const COPIES: usize = 3;

struct Group {
    service: String,
    max_connections: usize,
    commits: AtomicU64,
    connections: [AtomicU64; COPIES],
    work: Duration,
    statements: AtomicU64,
}

impl Group {
    fn start(
        service: &str,
        max_connections: usize,
        work: Duration,
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let group = Arc::new(Self {
            service: service.to_string(),
            max_connections,
            commits: AtomicU64::new(0),
            connections: Default::default(),
            work,
            statements: AtomicU64::new(0),
        });
        for copy in 0..COPIES {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let address = listener.local_addr().expect("the listener has an address");
            let serving = group.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = serving.clone();
                    thread::spawn(move || {
                        group.connections[copy].fetch_add(1, Ordering::SeqCst);
                        group.serve(copy, stream);
                        group.connections[copy].fetch_sub(1, Ordering::SeqCst);
                    });
                }
            });
            let (store, group) = (store.clone(), group.clone());
            thread::spawn(move || {
                for sequence in 1.. {
                    let role = if copy == 0 { "primary" } else { "replica" };
                    let entry = format!(
                        "{{\"Service\":\"{}\",\"Address\":\"{address}\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":3,\
                         \"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\"DbRole\":\"{role}\",\"born\":1700000000000}}",
                        group.service
                    );
                    store.put(&format!("servers/{}", group.id(copy)), &entry);
                    thread::sleep(Duration::from_millis(1_200));
                }
            });
        }
        group
    }

    fn id(&self, copy: usize) -> String {
        format!("i-{}-{copy}", self.service)
    }

    fn serve(&self, copy: usize, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::with_capacity(1 << 16, stream);
        let (mut is_open, mut is_failed, mut is_read_only, mut has_written) =
            (false, false, false, false);
        // Only the kind of each prepared name is kept here, so that the stand-in stays small.
        let mut prepared = BTreeMap::<String, bool>::new();
        loop {
            let line = read_line(&mut reader)?;
            if let Some(rest) = line.strip_prefix("START ") {
                let mut fields = rest.split(' ');
                let service = fields.next()?;
                let id = fields.nth(1);
                let count = self.connections[copy].load(Ordering::SeqCst) as usize;
                if service != self.service || id.is_some_and(|id| id != self.id(copy)) {
                    writer.write_all(b"ERROR WRONGNODE another one\r\n").ok()?;
                    return None;
                }
                if count > self.max_connections {
                    writer.write_all(b"ERROR CONNLIMIT too many\r\n").ok()?;
                    return None;
                }
                writer
                    .write_all(format!("READY I {}\r\n", self.position()).as_bytes())
                    .ok()?;
                continue;
            }
            let query = line.strip_prefix("QUERY ")?;
            let (id, text) = query.split_once(' ')?;
            let text = match text.strip_prefix("AFTER ") {
                Some(rest) => rest.split_once(' ')?.1,
                None => text,
            };
            let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
            let done = "COMPLETE -\r\n".to_string();
            let signed = format!("COMPLETE {}.{id}\r\n", self.id(copy));
            let mut out = match word {
                "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => {
                    let role = if copy == 0 { "primary" } else { "replica" };
                    let count = self.connections[copy].load(Ordering::SeqCst);
                    format!(
                        "DATAROW {role} 1 {} 0 0 0 {count}\r\n{done}",
                        self.position()
                    )
                }
                "DISCARD" => {
                    prepared.clear();
                    done
                }
                "SET" => done,
                "PARSE" => {
                    let mut fields = rest.split(' ');
                    let name = fields.next()?.to_string();
                    prepared.insert(name, fields.next()? == "WRITE");
                    done
                }
                "BEGIN" if rest != "READ" && copy != 0 => "ERROR READONLY replica\r\n".to_string(),
                "BEGIN" => {
                    is_read_only = rest == "READ";
                    is_open = true;
                    has_written = false;
                    done
                }
                "ROLLBACK" => {
                    (is_open, is_failed) = (false, false);
                    done
                }
                _ => {
                    let kind = match word {
                        "READ" => Some(false),
                        "EXECUTE" => prepared.get(rest.split(' ').next()?).copied(),
                        _ => Some(true),
                    };
                    thread::sleep(self.work);
                    match kind {
                        None => "ERROR NOSTMT no such name\r\n".to_string(),
                        Some(is_write) if (is_write || (is_open && !is_read_only)) && copy != 0 => {
                            is_failed = is_open;
                            "ERROR READONLY replica\r\n".to_string()
                        }
                        Some(false) => {
                            self.statements.fetch_add(1, Ordering::SeqCst);
                            format!(
                                "DATAROW {}\r\n{signed}",
                                self.commits.load(Ordering::SeqCst)
                            )
                        }
                        Some(true) => {
                            self.statements.fetch_add(1, Ordering::SeqCst);
                            if word == "COMMIT" {
                                is_open = false;
                                if has_written {
                                    self.commits.fetch_add(1, Ordering::SeqCst);
                                }
                            } else if is_open {
                                has_written = true;
                            } else {
                                self.commits.fetch_add(1, Ordering::SeqCst);
                            }
                            signed
                        }
                    }
                }
            };
            let state = match (is_failed, is_open) {
                (true, _) => "E",
                (_, true) => "T",
                _ => "I",
            };
            out.push_str(&format!("READY {state} {}\r\n", self.position()));
            writer.write_all(out.as_bytes()).ok()?;
        }
    }

    fn position(&self) -> String {
        format!("1.{}", self.commits.load(Ordering::SeqCst))
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    loop {
        if reader.read_until(b'\n', &mut line).ok()? == 0 {
            return None;
        }
        if line.ends_with(b"\r\n") {
            line.truncate(line.len() - 2);
            return String::from_utf8(line).ok();
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Instances, as the platform runs them

const MEMORY_MB: u64 = 260;

struct Instance {
    number: usize,
    front: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Times that it was killed since it exceeded its memory.
    kills: usize,
    peak_mb: u64,
}

fn free_port() -> u16 {
    static TAKEN: OnceLock<AtomicU64> = OnceLock::new();
    let next = TAKEN.get_or_init(|| AtomicU64::new(u64::from(std::process::id()) * 61));
    loop {
        let port = 12_000 + (next.fetch_add(1, Ordering::SeqCst) % 18_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Instance {
    fn prepare(number: usize, folder: &Path, store: SocketAddr) -> Self {
        let (front, ready, link) = (free_port(), free_port(), free_port());
        let text = format!(
            "NodeName = \"front-z1-{number}\"\nRole = \"proxy\"\nMachineClass = \"front\"\nServes = [\"front\"]\n\
             Ip = \"127.0.0.1\"\nZone = \"z1\"\nRegion = \"r1\"\nInternalPorts = [{link},{link}]\nBootstrap = true\n\
             Discovery = \"platform\"\nEntry = \"virtual_ip\"\nHeartbeatMs = 1200\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\",\"platform\"]\n\
             [Zones]\nz1 = \"r1\"\n[Listen]\nFront = \"127.0.0.1:{front}\"\nReady = \"127.0.0.1:{ready}\"\n\
             [Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = {MEMORY_MB}\nMaxFds = 4200\nLinkMbps = 1000.0\n\
             [Bounds]\nContactMs = 4000\nDrainMs = 7000\nGraceS = 6\nConfigApplyMs = 3000\nRequireFencing = false\n\
             [platform]\nAddress = \"{store}\"\nform = \"kv\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\n\
             ValueBytes = 1048576\nMinTtlMs = 1000\n[Cloud]\nAddress = \"{store}\"\nDuties = [\"promotion\"]\nDutyPerS = 50.0\n"
        );
        let settings = folder.join(format!("front-{number}.toml"));
        std::fs::write(&settings, text).expect("the settings can be written");
        Self {
            number,
            front: SocketAddr::from(([127, 0, 0, 1], front)),
            settings,
            log: folder.join(format!("front-{number}.log")),
            child: None,
            kills: 0,
            peak_mb: 0,
        }
    }

    fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        // The command of the deploy file.
        let child = Command::new("target/release/heatherhollow")
            .arg("--platform")
            .env("HEATHERHOLLOW_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Resident memory of the process that is the process's own, without mapped files.
    fn memory_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1_024
    }
}

/// Kills and starts again what exceeds its memory, as the platform does. Returns the machines whose
/// processes ended three times.
fn watch_memory(
    instances: &mut [Instance],
    record: &Record,
    until: Instant,
    is_over: &AtomicBool,
) -> std::io::Result<usize> {
    let mut logged_at = Instant::now();
    while Instant::now() < until {
        for instance in instances.iter_mut() {
            let memory = instance.memory_mb();
            instance.peak_mb = instance.peak_mb.max(memory);
            let child = instance.child.as_mut().expect("the instance was started");
            if let Some(status) = child.try_wait()? {
                record.line(&format!(
                    "front-z1-{} ended by itself: {status}",
                    instance.number
                ));
                instance.kills += 1;
                thread::sleep(Duration::from_millis(300));
                instance.start()?;
            } else if memory > MEMORY_MB {
                record.line(&format!(
                    "front-z1-{} takes {memory} MB, over its limit of {MEMORY_MB} MB: killed",
                    instance.number
                ));
                child.kill()?;
                child.wait()?;
                instance.kills += 1;
                thread::sleep(Duration::from_millis(300));
                instance.start()?;
            }
        }
        if logged_at.elapsed() >= Duration::from_secs(2) {
            logged_at = Instant::now();
            let text = instances
                .iter()
                .map(|i| format!("front-z1-{}={} MB", i.number, i.memory_mb()));
            record.line(&format!("memory {}", text.collect::<Vec<_>>().join(" ")));
        }
        if instances
            .iter()
            .filter(|instance| instance.kills >= 3)
            .count()
            >= 2
        {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    is_over.store(true, Ordering::SeqCst);
    for instance in instances.iter() {
        record.line(&format!(
            "front-z1-{}: most {} MB, ended {} times without a disruption",
            instance.number, instance.peak_mb, instance.kills
        ));
    }
    Ok(instances
        .iter()
        .filter(|instance| instance.kills >= 3)
        .count())
}

fn stop_all(instances: &mut [Instance]) {
    for instance in instances.iter_mut() {
        if let Some(child) = &instance.child {
            // SAFETY: `kill` takes two integers; the id is that of a child that was not waited for.
            unsafe { kill(child.id() as i32, SIGTERM) };
        }
    }
    thread::sleep(Duration::from_millis(500));
    for instance in instances.iter_mut() {
        if let Some(mut child) = instance.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn temporary_folder(case: &str) -> std::io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

// ---------------------------------------------------------------------------------------------
// Clients

struct Client {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
    next_id: u64,
}

impl Client {
    fn open(front: SocketAddr, database: &str) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
        let mut writer = stream.try_clone().ok()?;
        writer
            .write_all(format!("START {database} u1f1\r\n").as_bytes())
            .ok()?;
        let mut reader = BufReader::new(stream);
        let line = read_line(&mut reader)?;
        line.starts_with("READY").then_some(Self {
            writer,
            reader,
            next_id: 0,
        })
    }

    /// Sends a query and returns the line with its result; `None` if the connection ended.
    fn query(&mut self, name: u64, text: &str) -> Option<String> {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        self.next_id = NEXT.fetch_add(1, Ordering::SeqCst);
        let line = format!("QUERY {name:04x}{:012x} {text}\r\n", self.next_id);
        self.writer.write_all(line.as_bytes()).ok()?;
        let mut result = None;
        loop {
            let line = read_line(&mut self.reader)?;
            if line.starts_with("COMPLETE") || line.starts_with("ERROR") {
                result = Some(line);
            } else if line.starts_with("READY") {
                return result;
            }
        }
    }
}

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    broken: AtomicU64,
}

fn configuration(services: &[(&str, usize)], databases: &[(&str, &str, &str)]) -> String {
    let routes = databases.iter().map(|(database, kind, service)| {
        format!(
            "{{\"Name\":\"{database}\",\"Database\":\"{database}\",\"Kind\":\"{kind}\",\"TimeoutMs\":2000,\
             \"ObjectiveMs\":800,\"Priority\":1,\"Service\":\"{service}\",\"MaxStalenessMs\":1500}}"
        )
    });
    let services = services.iter().map(|(name, connections)| {
        format!("{{\"Name\":\"{name}\",\"MaxConnections\":{connections},\"SyncReplicas\":1}}")
    });
    format!(
        "{{\"Version\":3,\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"TxIdleMs\":5000}}}}",
        routes.collect::<Vec<_>>().join(","),
        services.collect::<Vec<_>>().join(",")
    )
}

/// Waits until each instance starts sessions.
fn wait_for_start(instances: &[Instance], database: &str) -> Result<(), String> {
    let deadline = Instant::now() + Duration::from_secs(10);
    for instance in instances {
        while Client::open(instance.front, database).is_none() {
            if Instant::now() > deadline {
                return Err(format!("front-z1-{} does not serve", instance.number));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(())
}

/// What a client of the cases on memory prepares.
#[derive(Clone, Copy)]
struct Load {
    /// Bytes of the text of each prepared statement.
    shape_bytes: usize,
    /// Whether each statement gets a name of its own, which is closed after its use. Otherwise one name
    /// is prepared again and again.
    closes_names: bool,
    pause: Duration,
}

fn run_client(
    number: u64,
    front: SocketAddr,
    database: &str,
    load: Load,
    counts: &Counts,
    is_over: &AtomicBool,
) {
    let mut round = 0_u64;
    while !is_over.load(Ordering::SeqCst) {
        let Some(mut client) = Client::open(front, database) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        while !is_over.load(Ordering::SeqCst) {
            round += 1;
            let name = match load.closes_names {
                true => format!("s{round}"),
                false => "s1".to_string(),
            };
            let mut shape = format!("q{number:x}-{round:x}-");
            while shape.len() < load.shape_bytes {
                shape.push_str("abcdefghijklmnopqrstuvwxyz012345");
            }
            counts.sent.fetch_add(1, Ordering::SeqCst);
            let parsed = client.query(number, &format!("PARSE {name} READ {shape}"));
            let result = parsed.and_then(|_| client.query(number, &format!("EXECUTE {name} 1a4")));
            match &result {
                Some(line) if line.starts_with("COMPLETE") => &counts.served,
                Some(_) => &counts.refused,
                None => &counts.broken,
            }
            .fetch_add(1, Ordering::SeqCst);
            if result.is_none() {
                break;
            }
            if load.closes_names && client.query(number, &format!("CLOSE {name}")).is_none() {
                break;
            }
            thread::sleep(load.pause);
        }
    }
}

/// Runs clients that prepare statements, until two machines have lost three processes each for their
/// memory or the time is over. Returns whether that rule was broken.
fn run_memory_case(
    case: &str,
    record: &Arc<Record>,
    instances: usize,
    clients_per_instance: usize,
    load: Load,
    seconds: u64,
) -> Result<bool, String> {
    let folder = temporary_folder(case).map_err(|error| error.to_string())?;
    let (store, address) = Store::start();
    let connections = 22;
    let groups = ["ledger-a", "ledger-b", "ledger-c"]
        .map(|service| Group::start(service, connections, Duration::from_millis(8), &store));
    let services = groups
        .iter()
        .map(|group| (group.service.as_str(), connections))
        .collect::<Vec<_>>();
    let databases = [
        ("base-a", "bounded_staleness", "ledger-a"),
        ("base-b", "bounded_staleness", "ledger-b"),
        ("base-c", "bounded_staleness", "ledger-c"),
    ];
    store.put("op/config", &configuration(&services, &databases));
    let mut fronts = (1..=instances)
        .map(|i| Instance::prepare(i, &folder, address))
        .collect::<Vec<_>>();
    for front in &mut fronts {
        front
            .start()
            .map_err(|error| format!("the program cannot be started: {error}"))?;
    }
    let mut result = wait_for_start(&fronts, "base-a").map(|()| false);
    if result.is_ok() {
        record.line(&format!(
            "{instances} machines, {clients_per_instance} clients each, statements of {} bytes, pause {} ms",
            load.shape_bytes,
            load.pause.as_millis()
        ));
        let (counts, is_over) = (
            Arc::new(Counts::default()),
            Arc::new(AtomicBool::new(false)),
        );
        let mut threads = Vec::new();
        for (i, front) in fronts.iter().map(|front| front.front).enumerate() {
            for j in 0..clients_per_instance {
                let (counts, is_over) = (counts.clone(), is_over.clone());
                let number = (i * clients_per_instance + j) as u64;
                let database = databases[j % databases.len()].0;
                threads.push(thread::spawn(move || {
                    run_client(number, front, database, load, &counts, &is_over);
                }));
            }
        }
        let until = Instant::now() + Duration::from_secs(seconds);
        let broken = watch_memory(&mut fronts, record, until, &is_over);
        for thread in threads {
            let _ = thread.join();
        }
        let ran = groups
            .iter()
            .map(|group| group.statements.load(Ordering::SeqCst))
            .sum::<u64>();
        let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        record.line(&format!(
            "operations: {} sent, {} served, {} refused, {} broken off; {ran} statements run by backends",
            count(&counts.sent),
            count(&counts.served),
            count(&counts.refused),
            count(&counts.broken)
        ));
        result = broken
            .map(|machines| machines >= 2)
            .map_err(|error| error.to_string());
    }
    stop_all(&mut fronts);
    let _ = std::fs::remove_dir_all(&folder);
    result
}

/// Texts of prepared statements that each connection to a backend keeps.
fn case_prepared(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let load = Load {
        shape_bytes: if has_trouble { 768 << 10 } else { 600 },
        closes_names: false,
        pause: Duration::from_millis(60),
    };
    run_memory_case("prepared", record, 3, 12, load, 90)
}

/// Prepared statements that a home keeps after the client has closed them.
fn case_closed_names(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let load = Load {
        shape_bytes: 144 << 10,
        closes_names: has_trouble,
        pause: Duration::from_millis(45),
    };
    run_memory_case("closed-names", record, 6, 4, load, 100)
}
