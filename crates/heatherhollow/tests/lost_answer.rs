//! Changes of settings whose HTTP response does not reach the operators' program.

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

/// Starts a relay to `server` and returns its URL. The relay forwards one request per connection,
/// drops the responses to the first `max_losses` PUT requests, and runs until the test program
/// ends.
fn start_relay(server: &str, max_losses: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = server.trim_start_matches("http://").to_string();
    thread::spawn(move || {
        let mut losses_left = max_losses;
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let request = read_request(&mut stream);
            let mut upstream = TcpStream::connect(&server).expect("the proxy");
            let head = request.replacen("\r\n", "\r\nConnection: close\r\n", 1);
            upstream.write_all(head.as_bytes()).expect("a request");
            let mut answer = Vec::new();
            upstream.read_to_end(&mut answer).expect("an answer");
            if request.starts_with("PUT ") && losses_left > 0 {
                losses_left -= 1;
                continue;
            }
            // The response contains `Connection: close`, so the client opens a new connection for
            // its next request.
            stream.write_all(&answer).expect("a reader");
        }
    });
    format!("http://{address}")
}

/// Reads one request: its head, and the body of the length that the head gives.
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

/// Guards against a change that is applied twice, or reported wrongly, because its response was
/// lost and the operators' program sent it again.
#[test]
fn change_with_a_lost_answer_is_applied_once() {
    let proxy = ProxyProcess::start();
    let folder = DeclarationFolder::new();
    folder.add_kind("list");
    let relay = start_relay(&proxy.operator_url, 2);
    let server = ["--server", relay.as_str(), "--token", "embedded"];
    let run = run_tool(&[&server[..], &["apply", folder.path()]].concat());
    assert_eq!(run.status, ExitStatus::Done, "{run:?}");
    let repeats = run
        .notes
        .matches("the change is sent again with the same id")
        .count();
    assert_eq!(repeats, 2, "{run:?}");
    let stored = proxy.stored_settings();
    assert_eq!(stored["revision"], 3);
    assert_eq!(stored["recent_changes"].as_array().map(Vec::len), Some(2));
}

/// Guards against a change that is reported as failed although it was applied and only its
/// responses were lost.
#[test]
fn change_without_any_answer_is_reported_as_unknown() {
    let proxy = ProxyProcess::start();
    let folder = DeclarationFolder::new();
    folder.add_kind("list");
    let relay = start_relay(&proxy.operator_url, usize::MAX);
    let server = ["--server", relay.as_str(), "--token", "embedded"];
    let run = run_tool(&[&server[..], &["apply", folder.path()]].concat());
    assert_eq!(run.status, ExitStatus::NotReachable, "{run:?}");
    assert!(run.notes.contains("it is not known whether"), "{run:?}");
    assert!(run.notes.contains("look for change \"ctl-"), "{run:?}");
    assert_eq!(proxy.stored_settings()["revision"], 3);
}
