//! Changes whose HTTP answer is lost on the way.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use heatherhollowctl::ExitStatus;

use crate::support::DeclarationFolder;
use crate::support::ProxyProcess;
use crate::support::run_tool;

/// Forwards requests to `server`, one a connection; drops the answers to the first `losses` PUTs. Ends
/// with the test program.
fn start_relay(server: &str, losses: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = server.trim_start_matches("http://").to_string();
    thread::spawn(move || {
        let mut losses = losses;
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let request = read_request(&mut stream);
            let mut upstream = TcpStream::connect(&server).expect("the proxy");
            let head = request.replacen("\r\n", "\r\nConnection: close\r\n", 1);
            upstream.write_all(head.as_bytes()).expect("a request");
            let mut answer = Vec::new();
            upstream.read_to_end(&mut answer).expect("an answer");
            if request.starts_with("PUT ") && losses > 0 {
                losses -= 1;
                continue;
            }
            // The answer says that its connection closes, so the next request opens a new one.
            stream.write_all(&answer).expect("a reader");
        }
    });
    format!("http://{address}")
}

fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).expect("a request");
        text.push_str(std::str::from_utf8(&buffer[..count]).expect("text"));
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let lower = head.to_ascii_lowercase();
        let length = lower
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length = length.map_or(0, |text| text.parse::<usize>().expect("a length"));
        if body.len() >= length {
            return text;
        }
    }
}

/// Guards against a program that guesses how a change ended, or makes it twice.
#[test]
fn change_with_a_lost_answer_is_made_once() {
    let proxy = ProxyProcess::start();
    let folder = DeclarationFolder::new();
    folder.add_kind("list");
    let relay = start_relay(&proxy.operators, 2);
    let server = ["--server", relay.as_str(), "--token", "embedded"];
    let run = run_tool(&[&server[..], &["apply", folder.path()]].concat());
    assert_eq!(run.status, ExitStatus::Done, "{run:?}");
    let repeats = run
        .notes
        .matches("the change is sent again with the same id")
        .count();
    assert_eq!(repeats, 2, "{run:?}");
    let stored = proxy.stored();
    assert_eq!(stored["revision"], 3);
    assert_eq!(stored["recent_changes"].as_array().map(Vec::len), Some(2));
}

/// Guards against a program that reports a change as failed when it does not know.
#[test]
fn change_without_any_answer_is_reported_as_unknown() {
    let proxy = ProxyProcess::start();
    let folder = DeclarationFolder::new();
    folder.add_kind("list");
    let relay = start_relay(&proxy.operators, usize::MAX);
    let server = ["--server", relay.as_str(), "--token", "embedded"];
    let run = run_tool(&[&server[..], &["apply", folder.path()]].concat());
    assert_eq!(run.status, ExitStatus::NotReachable, "{run:?}");
    assert!(run.notes.contains("it is not known whether"), "{run:?}");
    assert!(run.notes.contains("look for change \"ctl-"), "{run:?}");
    assert_eq!(proxy.stored()["revision"], 3);
}
