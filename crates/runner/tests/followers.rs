//! What a reader of the store sends to its followers, and frames that make no sense.

use bytes::Bytes;
use bytes::BytesMut;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::unbounded_channel;

use heatherhollow_platform::LineProtocol;
use heatherhollow_ports::StoreEntry;
use heatherhollow_ports::StoreRevision;
use heatherhollow_properties::assert_holds;
use heatherhollow_runner::AnswerFrame;
use heatherhollow_runner::EntryFrame;
use heatherhollow_runner::FrameBody;
use heatherhollow_runner::QueryFrame;
use heatherhollow_runner::StateFrame;
use heatherhollow_runner::StoreFollower;
use heatherhollow_runner::StoreMirror;
use heatherhollow_runner::client_answer;
use heatherhollow_runner::decode_frame;
use heatherhollow_runner::encode_frame;
use heatherhollow_runner::forwarded_query;
use heatherhollow_runner::pack_entries;
use heatherhollow_runner::unpack_entries;

/// Routes of a declaration; the operators of a large deployment add more than a thousand at once.
const ROUTES: usize = 1_400;

/// Entries as they are after a large declaration.
fn entries() -> Vec<StoreEntry> {
    let route = |i| {
        format!(
            "{{\"database\":\"orders{i}\",\"group\":\"ledger{}\",\"kind\":\"present\",\"limit\":{}}}",
            i % 20,
            800 + i
        )
    };
    let routes = (0..ROUTES).map(route).collect::<Vec<_>>().join(",");
    let declared = ("declarations".to_string(), format!("[{routes}]"));
    let targets = (0..60).map(|i| {
        (
            format!("targets/{i}"),
            format!("{{\"data_centre\":\"dc{i}\"}}"),
        )
    });
    targets
        .chain([declared])
        .map(|(path, value)| StoreEntry {
            path,
            value: value.into_bytes(),
            revision: StoreRevision(7),
        })
        .collect()
}

fn follow(mirror: &StoreMirror, accepts_packed: bool) -> UnboundedReceiver<FrameBody> {
    let (sender, receiver) = unbounded_channel();
    let follower = StoreFollower {
        sender,
        accepts_packed,
    };
    mirror.follow(0, follower);
    receiver
}

/// The frames that a follower has received, and their size on the link.
fn received(receiver: &mut UnboundedReceiver<FrameBody>) -> (Vec<StateFrame>, usize) {
    let mut frames = Vec::new();
    let mut size = 0;
    while let Ok(body) = receiver.try_recv() {
        size += encode_frame(body.clone()).len();
        match body {
            FrameBody::State(frame) => frames.push(frame),
            other => panic!("unexpected frame {other:?}"),
        }
    }
    (frames, size)
}

/// The entries of frames, packed or not, in the order of their paths.
fn unpacked(frames: Vec<StateFrame>) -> Vec<(String, Vec<u8>)> {
    let mut entries = Vec::new();
    for frame in frames {
        entries.extend(frame.entries);
        if !frame.packed.is_empty() {
            entries.extend(unpack_entries(&frame.packed).unwrap());
        }
    }
    let value = |entry: EntryFrame| (entry.path, Vec::from(entry.value.unwrap()));
    let mut entries = entries.into_iter().map(value).collect::<Vec<_>>();
    entries.sort();
    entries
}

/// After a loss of power all followers ask at once, and the reader's link bounds when they serve again: with
/// plain entries the last of eight waited for more than a second.
#[test]
fn followers_get_packed_entries() {
    let mirror = StoreMirror::default();
    mirror.set_reader(true);
    mirror.replace(&entries(), StoreRevision(7));
    let (plain, plain_size) = received(&mut follow(&mirror, false));
    let (packed, packed_size) = received(&mut follow(&mirror, true));
    assert!(
        packed_size * 4 <= plain_size,
        "{packed_size} bytes packed, {plain_size} plain"
    );
    let mut expected = entries()
        .into_iter()
        .map(|entry| (entry.path, entry.value))
        .collect::<Vec<_>>();
    expected.sort();
    assert_eq!(
        unpacked(plain),
        expected,
        "a follower of an earlier version"
    );
    assert_eq!(unpacked(packed), expected);
}

/// Entries that change are packed anew.
#[test]
fn packed_entries_are_the_present_ones() {
    let mirror = StoreMirror::default();
    mirror.set_reader(true);
    mirror.replace(&entries(), StoreRevision(7));
    received(&mut follow(&mirror, true));
    let mut changed = entries();
    changed.truncate(3);
    mirror.replace(&changed, StoreRevision(9));
    let (frames, _) = received(&mut follow(&mirror, true));
    assert!(frames.iter().all(|frame| frame.revision == 9));
    assert_eq!(unpacked(frames).len(), 3);
}

/// A follower that hears nothing looks for another reader, or reads all entries itself over a link that is
/// busy with the same list.
#[test]
fn followers_hear_that_a_reader_waits() {
    let mirror = StoreMirror::default();
    mirror.set_reader(true);
    let mut follower = follow(&mirror, true);
    let waiting = StateFrame::default();
    assert_eq!(received(&mut follower).0, vec![waiting.clone()], "at once");
    mirror.handle_renewal();
    assert_eq!(received(&mut follower).0, [waiting], "with the renewals");
    mirror.replace(&entries(), StoreRevision(7));
    assert!(!unpacked(received(&mut follower).0).is_empty());
    mirror.handle_renewal();
    let (frames, _) = received(&mut follower);
    assert!(frames.iter().all(|frame| frame.revision == 7));
    assert_eq!(frames.len(), 1);
}

/// Who does not read the store must not keep others waiting.
#[test]
fn only_readers_let_followers_wait() {
    let mirror = StoreMirror::default();
    let mut follower = follow(&mirror, true);
    assert!(follower.try_recv().is_err(), "not known yet");
    mirror.set_reader(true);
    assert_eq!(received(&mut follower).0, [StateFrame::default()]);
    mirror.handle_watch_failure();
    assert_eq!(follower.try_recv(), Ok(FrameBody::Detached(true)));
}

/// A small frame that unpacks to more than the memory of an instance must not be unpacked whole.
#[test]
fn oversized_entries_are_refused() {
    let entry = |i: usize| EntryFrame {
        path: format!("p{i}"),
        value: Some(Bytes::from(vec![0; 1 << 20])),
        revision: 1,
    };
    let packed = pack_entries((0..8).map(entry).collect()).unwrap();
    assert!(packed.len() < 64 << 10);
    assert!(unpack_entries(&packed).is_err());
}

/// Frames whose fields may make no sense.
fn strange_frames(text: String, number: u64, code: u32) -> [FrameBody; 3] {
    [
        FrameBody::Query(QueryFrame {
            session: number,
            id: text.clone(),
            text: text.clone(),
            freshness: code % 5,
            max_age_micros: number,
            timeout_micros: number,
            part: code % 6,
            ..QueryFrame::default()
        }),
        FrameBody::Answer(AnswerFrame {
            session: number,
            code,
            text: text.clone(),
            state: code % 5,
            retry_after_micros: Some(number),
            ..AnswerFrame::default()
        }),
        FrameBody::State(StateFrame {
            part: code as i32,
            revision: number,
            entries: Vec::new(),
            packed: Bytes::from(text),
        }),
    ]
}

fn read_frame(bytes: &[u8]) {
    let wire = LineProtocol {
        instance: "instance-1".to_string(),
    };
    match decode_frame(BytesMut::from(bytes)) {
        Ok(FrameBody::Query(frame)) => drop(forwarded_query(frame, &wire)),
        Ok(FrameBody::Answer(frame)) => drop(client_answer(frame)),
        Ok(FrameBody::State(frame)) => drop(unpack_entries(&frame.packed)),
        _ => {}
    }
}

/// One malformed frame of another instance must not end the process: bytes that are no frame, frames that
/// are cut or have a flipped byte, and frames whose fields make no sense are errors.
#[test]
fn malformed_frames_are_errors() {
    fn property(garbage: Vec<u8>, text: String, number: u64, code: u32, at: usize) -> bool {
        read_frame(&garbage);
        for body in strange_frames(text, number, code) {
            let mut frame = Vec::from(encode_frame(body));
            read_frame(&frame);
            let i = at % frame.len();
            read_frame(&frame[..i]);
            frame[i] ^= garbage.first().copied().unwrap_or(1) | 1;
            read_frame(&frame);
        }
        true
    }
    assert_holds(40, property as fn(Vec<u8>, String, u64, u32, usize) -> bool);
}
