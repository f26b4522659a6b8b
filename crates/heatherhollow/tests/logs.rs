//! Log lines never block the process, whatever their length and whatever their reader does, and a
//! line is written whole or not at all.

#[allow(dead_code)]
#[path = "../src/logs.rs"]
mod logs;

use std::io::PipeReader;
use std::io::Read;
use std::io::Write;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use quickcheck::quickcheck;

use logs::LossyWriter;
use logs::bounded_text;

/// Longest line that the logger hands to the writer, in bytes.
const MAX_LINE_BYTES: usize = 4_096;

/// Bytes that a pipe holds by default, and more.
const PIPE_BYTES: usize = 200_000;

/// Time after which a write counts as blocked; a write takes microseconds.
const BLOCKED_AFTER: Duration = Duration::from_secs(20);

/// Returns lines of many lengths that are more together than a pipe holds. A line ends with its
/// length, so that a reader sees whether it is whole.
fn lines() -> Vec<String> {
    let lengths = [0, 1, 100, 2_000, 4_000].into_iter().cycle();
    let lines = lengths
        .take(400)
        .map(|length| format!("{} {length}\n", "x".repeat(length)));
    lines.collect()
}

/// Writes lines on a thread of their own; fails if that blocks.
fn write_lines(lines: Vec<String>, output: std::io::PipeWriter) {
    let (sender, ended) = mpsc::channel();
    thread::spawn(move || {
        let mut writer = LossyWriter::new(output);
        for line in &lines {
            writer.write_all(line.as_bytes()).unwrap();
        }
        sender.send(()).unwrap();
    });
    let is_ended = ended.recv_timeout(BLOCKED_AFTER).is_ok();
    assert!(is_ended, "a write blocks");
}

/// Checks that a reader got whole lines and notices only, and returns the number of lines.
fn count_lines(text: &str) -> usize {
    let is_notice = |line: &&str| line.starts_with("level=warn event=log_lines_dropped count=");
    let lines = text
        .lines()
        .filter(|line| !is_notice(line))
        .collect::<Vec<_>>();
    assert!(text.is_empty() || text.ends_with('\n'));
    for line in &lines {
        let (body, length) = line.split_once(' ').expect("a line has its length");
        assert_eq!(
            body.len().to_string(),
            length,
            "{}",
            &line[..line.len().min(80)]
        );
    }
    lines.len()
}

/// Reads to the end in steps of `size` bytes after a pause.
fn read_slowly(mut reader: PipeReader, pause: Duration, size: usize) -> String {
    thread::sleep(pause);
    let mut bytes = Vec::new();
    let mut part = vec![0; size];
    loop {
        match reader.read(&mut part).unwrap() {
            0 => return String::from_utf8(bytes).unwrap(),
            count => bytes.extend_from_slice(&part[..count]),
        }
    }
}

/// Guards against a process that stands still because the reader of its log pauses, reads a byte at
/// a time, has stopped for good, or is gone; and against lines that are cut inside.
#[test]
fn writes_never_block() {
    for (pause, size) in [(0, 65_536), (200, 65_536), (0, 1), (200, 7)] {
        let (reader, writer) = std::io::pipe().unwrap();
        let pause = Duration::from_millis(pause);
        let reading = thread::spawn(move || read_slowly(reader, pause, size));
        write_lines(lines(), writer);
        assert!(count_lines(&reading.join().unwrap()) > 0);
    }
    let (stopped, writer) = std::io::pipe().unwrap();
    write_lines(lines(), writer);
    let held = count_lines(&read_slowly(stopped, Duration::ZERO, 4_096));
    assert!((1..400).contains(&held), "{held} lines in the pipe");
    let (gone, writer) = std::io::pipe().unwrap();
    drop(gone);
    write_lines(lines(), writer);
}

/// Guards against dropped lines that nobody is told of.
#[test]
fn dropped_lines_are_counted() {
    let (mut reader, writer) = std::io::pipe().unwrap();
    let mut writer = LossyWriter::new(writer);
    let line = format!("{}\n", "x".repeat(1_000));
    for _ in 0..300 {
        writer.write_all(line.as_bytes()).unwrap();
    }
    let mut first = vec![0; PIPE_BYTES];
    let held = reader.read(&mut first).unwrap() / line.len();
    writer.write_all(b"last\n").unwrap();
    drop(writer);
    let mut rest = String::new();
    reader.read_to_string(&mut rest).unwrap();
    let notice = format!(
        "level=warn event=log_lines_dropped count={}\nlast\n",
        300 - held
    );
    assert!(rest.ends_with(&notice), "{held} lines, then {rest:?}");
}

/// Guards against a line that exceeds the room of a pipe or is spoilt for the programs that read it.
#[test]
fn long_texts_are_cut_with_a_mark() {
    assert_eq!(bounded_text("started id=q1"), "started id=q1");
    assert_eq!(
        bounded_text("id=a\nevent=forged\r"),
        "id=a\\nevent=forged\\r"
    );
    let long = format!("refused database={} code=X", "x".repeat(200_000));
    let cut = bounded_text(&long);
    assert!(
        cut.ends_with("…[199809 bytes cut] code=X"),
        "{}",
        &cut[200..]
    );
    assert!(bounded_text(&"word ".repeat(100_000)).ends_with(" bytes cut]"));
}

quickcheck! {
    /// Guards against texts whose escapes make a line too long or leave control characters.
    fn bounded_texts_fit_a_line(text: String, copies: u16) -> bool {
        let bounded = bounded_text(&text.repeat(usize::from(copies % 2_000)));
        bounded.len() + 100 <= MAX_LINE_BYTES && !bounded.chars().any(char::is_control)
    }
}
