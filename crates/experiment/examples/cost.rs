//! Cost that the proxy adds: latency against direct calls to the same kind of group, requests a second
//! of processor time, and memory of an idle caller connection.
//!
//! `cargo run --release -p heatherhollow-experiment --example cost -- target/release/heatherhollow`

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::CallStep;
use heatherhollow_ports::ConnectionPermit;
use heatherhollow_ports::TargetCall;
use heatherhollow_standin::DatabaseGroup;
use heatherhollow_standin::GroupSettings;
use heatherhollow_standin::NetworkModel;
use heatherhollow_standin::NetworkSettings;
use heatherhollow_types::PermitNumber;

/// Calls of each latency measurement.
const CALLS: usize = 2_000;

/// Callers of the throughput measurement.
const CALLERS: usize = 64;

/// Length of the throughput measurement.
const LOAD_SPAN: Duration = Duration::from_secs(5);

/// Idle connections.
const IDLE_CONNECTIONS: usize = 10_000;

/// Time that the idle connections stay open before they are checked.
const IDLE_SPAN: Duration = Duration::from_secs(10);

/// Clock ticks a second of the times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

struct ProxyProcess {
    child: Child,
    address: String,
}

impl ProxyProcess {
    fn start(binary: &str) -> Self {
        let mut child = Command::new(binary)
            .args([
                "--embedded",
                "--listen",
                "127.0.0.1:0",
                "--peer-listen",
                "127.0.0.1:0",
            ])
            .args(["--operator-listen", "127.0.0.1:0"])
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
        let address = lines.by_ref().map_while(Result::ok).find_map(|line| {
            let (_, rest) = line.split_once("event=callers_listen address=")?;
            Some(rest.to_string())
        });
        std::thread::spawn(move || lines.for_each(drop));
        Self {
            child,
            address: address.expect("the program listens"),
        }
    }

    /// Resident memory in bytes.
    fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .expect("a figure");
        let kilobytes = line
            .split_whitespace()
            .nth(1)
            .and_then(|text| text.parse::<u64>().ok());
        kilobytes.expect("a number") * 1_024
    }

    /// Processor time used so far, in seconds.
    fn processor_time(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.expect("the process runs");
        let (_, fields) = stat.rsplit_once(')').expect("a command name");
        let ticks = fields.split_whitespace().skip(11).take(2);
        ticks
            .map(|text| text.parse::<f64>().expect("a number"))
            .sum::<f64>()
            / TICKS_PER_SECOND
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends one request on a kept connection and reads its whole answer.
async fn exchange(stream: &mut TcpStream, path: &str, body: &str) -> bool {
    let length = body.len();
    let request =
        format!("POST {path} HTTP/1.1\r\nHost: proxy\r\nContent-Length: {length}\r\n\r\n{body}");
    if stream.write_all(request.as_bytes()).await.is_err() {
        return false;
    }
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return false,
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
        }
        if is_whole(&answer) {
            return answer.starts_with(b"HTTP/1.1 200");
        }
    }
}

fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    match length {
        Some(length) => body.len() >= length.trim().parse::<usize>().expect("a number"),
        None => body.ends_with("0\r\n\r\n"),
    }
}

fn quantiles(histogram: &Histogram<u64>) -> (f64, f64) {
    let millis = |q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    (millis(0.5), millis(0.99))
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("a valid precision")
}

async fn measure_direct() -> Histogram<u64> {
    let centre = "local".parse().expect("a valid name");
    let network = Arc::new(NetworkModel::new(NetworkSettings {
        data_centres: vec![(
            "local".parse().expect("valid"),
            "local".parse().expect("valid"),
        )],
        ..NetworkSettings::default()
    }));
    let places = vec!["local".parse().expect("valid"); 3];
    let group = DatabaseGroup::new(GroupSettings::spread("direct", &places), network);
    let target = group.target(&"t1".parse().expect("valid"), &centre);
    let permit = ConnectionPermit {
        service: "lanes".parse().expect("valid"),
        number: PermitNumber(0),
        holder: "direct".parse().expect("valid"),
    };
    let mut connection = target.connect(permit).await.expect("a connection");
    let mut histogram = new_histogram();
    for _ in 0..CALLS {
        let call = TargetCall {
            statement: "get booking:1".to_string(),
            step: CallStep::Single,
            is_read_only: true,
            request: None,
            term: None,
        };
        let started = Instant::now();
        connection.begin_call(call).await.expect("a call");
        while !matches!(
            connection.next_part().await,
            Ok(AnswerPart::End(_)) | Err(_)
        ) {}
        let _ = histogram.record(started.elapsed().as_micros() as u64);
    }
    histogram
}

async fn measure_proxied(address: &str) -> Histogram<u64> {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.set_nodelay(true).expect("an option");
    let mut histogram = new_histogram();
    for _ in 0..CALLS {
        let started = Instant::now();
        let path = "/v1/demo/lanes/read/overview";
        assert!(
            exchange(&mut stream, path, "get booking:1").await,
            "a read is answered"
        );
        let _ = histogram.record(started.elapsed().as_micros() as u64);
    }
    histogram
}

async fn measure_load(address: &str) -> u64 {
    let count = Arc::new(AtomicU64::new(0));
    let end = Instant::now() + LOAD_SPAN;
    let callers = (0..CALLERS).map(|_| {
        let (address, count) = (address.to_string(), count.clone());
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            stream.set_nodelay(true).expect("an option");
            while Instant::now() < end {
                let path = "/v1/demo/lanes/read/overview";
                if exchange(&mut stream, path, "get booking:1").await {
                    count.fetch_add(1, Ordering::Relaxed);
                }
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("a caller does not panic");
    }
    count.load(Ordering::Relaxed)
}

async fn open_idle(address: &str) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    while streams.len() < IDLE_CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        assert!(exchange(&mut stream, "/v1/demo/lanes/read/overview", "get booking:1").await);
        streams.push(stream);
    }
    streams
}

#[tokio::main]
async fn main() {
    let binary = std::env::args()
        .nth(1)
        .expect("the path of the program heatherhollow");
    let proxy = ProxyProcess::start(&binary);
    tokio::time::sleep(Duration::from_secs(2)).await;
    measure_proxied(&proxy.address).await;
    let direct = quantiles(&measure_direct().await);
    let proxied = quantiles(&measure_proxied(&proxy.address).await);
    let time_before = proxy.processor_time();
    let requests = measure_load(&proxy.address).await;
    let processor_time = proxy.processor_time() - time_before;
    let memory_before = proxy.memory();
    let mut streams = open_idle(&proxy.address).await;
    tokio::time::sleep(IDLE_SPAN).await;
    let memory_after = proxy.memory();
    let mut alive = 0;
    for stream in &mut streams {
        let path = "/v1/demo/lanes/read/overview";
        alive += u32::from(exchange(stream, path, "get booking:1").await);
    }
    let figures = json!({
        "direct_ms": { "p50": direct.0, "p99": direct.1 },
        "proxied_ms": { "p50": proxied.0, "p99": proxied.1 },
        "p50_ratio": proxied.0 / direct.0,
        "p99_ratio": proxied.1 / direct.1,
        "requests_per_second": requests as f64 / LOAD_SPAN.as_secs_f64(),
        "requests_per_core_second": requests as f64 / processor_time,
        "idle_connections": IDLE_CONNECTIONS,
        "idle_connections_alive": alive,
        "bytes_per_idle_connection": (memory_after - memory_before) / IDLE_CONNECTIONS as u64,
    });
    println!("{figures:#}");
}
