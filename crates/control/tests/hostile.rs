//! Hostile input: no declaration, document or message makes the process panic.

use std::panic::catch_unwind;

use quickcheck::quickcheck;

use heatherhollow_control::ControlBody;
use heatherhollow_control::ControlError;
use heatherhollow_control::ControlMessage;
use heatherhollow_control::LiveView;
use heatherhollow_control::MAX_CONTROL_BYTES;
use heatherhollow_control::MemberProber;
use heatherhollow_control::MemberRecord;
use heatherhollow_control::MemberRecords;
use heatherhollow_control::ProbeMessage;
use heatherhollow_control::ProbeTiming;
use heatherhollow_control::RecordForm;
use heatherhollow_control::SettingsDocument;
use heatherhollow_control::SettingsPush;
use heatherhollow_control::SettingsRevision;
use heatherhollow_control::SettingsRevisions;
use heatherhollow_control::SettingsSpread;
use heatherhollow_control::SettingsWant;
use heatherhollow_control::TeamSettings;
use heatherhollow_control::TopologyDocument;
use heatherhollow_control::TopologySettings;
use heatherhollow_control::read_team;
use heatherhollow_control::read_topology;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;
use heatherhollow_types::MonoTime;

/// Pieces that random text is made of, so that it gets past the first character.
const PIECES: [&str; 24] = [
    "team",
    "=",
    "\"lidos\"",
    "\n",
    "[[groups]]",
    "[[services]]",
    "name",
    "targets",
    "[",
    "]",
    "{",
    "}",
    ",",
    "connections",
    "99999999999999999999",
    "-1",
    "data_centre",
    "[[regions]]",
    "\"\u{e9}\"",
    "kinds",
    "'''",
    "1e400",
    "data_centres",
    "#",
];

fn text_of(choices: &[u8]) -> String {
    let piece = |c: &u8| PIECES[usize::from(*c) % PIECES.len()];
    choices.iter().map(piece).collect::<Vec<_>>().join(" ")
}

fn record(name: &str) -> MemberRecord {
    let centre = "aqaba-a".parse().unwrap();
    MemberRecord::new(name.parse().unwrap(), centre, Incarnation(3))
}

/// A valid message of each of some kinds.
fn sample(kind: u8) -> Vec<u8> {
    let records = vec![RecordForm::from(&record("instance-2"))];
    let body = match kind % 4 {
        0 => ControlBody::Probe(ProbeMessage {
            updates: records,
            ..ProbeMessage::default()
        }),
        1 => ControlBody::MemberRecords(MemberRecords {
            records,
            wanted: vec!["aqaba-a".into()],
        }),
        2 => ControlBody::SettingsPush(SettingsPush {
            path: "/teams/lidos".into(),
            revision: 4,
            parts: 3,
            bytes: vec![b'{'; 9],
            ..SettingsPush::default()
        }),
        _ => ControlBody::SettingsWant(SettingsWant {
            paths: vec!["/teams/lidos".into()],
        }),
    };
    ControlMessage::from(body).encode_bytes()
}

/// Takes the bytes as an instance does.
fn take_message(bytes: &[u8]) {
    let now = MonoTime::from_millis(5);
    let topology = TopologySettings::default();
    let own = record("instance-1");
    let from: InstanceName = "instance-2".parse().unwrap();
    let mut spread = SettingsSpread::new(own.name.clone(), own.centre.clone());
    let mut prober = MemberProber::new(own, ProbeTiming::default(), now);
    if let Ok(body) = ControlMessage::decode_bytes(bytes) {
        prober.handle(&from, &body, &topology, now);
        spread.handle(&from, &body, &LiveView::default());
        prober.tick(&topology, now, 7);
    }
}

/// A decoder without bounds or checks, as the properties have to catch one.
fn take_message_carelessly(bytes: &[u8]) {
    let length = usize::from(bytes[1]);
    let name = std::str::from_utf8(&bytes[2..2 + length]).unwrap();
    name.parse::<InstanceName>().unwrap();
}

fn survives(bytes: &[u8], take: impl Fn(&[u8]) + std::panic::RefUnwindSafe) -> bool {
    catch_unwind(|| take(bytes)).is_ok()
}

quickcheck! {
    /// Guards against a panic in the decoder or in what handles decoded messages.
    fn any_bytes_are_survived(bytes: Vec<u8>) -> bool {
        survives(&bytes, take_message)
    }

    /// Guards against the same with messages that are valid but for a few bytes.
    fn changed_messages_are_survived(kind: u8, changes: Vec<(u8, u8)>) -> bool {
        let mut bytes = sample(kind);
        for (at, value) in changes {
            let at = usize::from(at) % bytes.len();
            bytes[at] = value;
        }
        survives(&bytes, take_message)
    }

    /// Guards against a panic in the readers of declarations.
    fn any_declaration_is_survived(choices: Vec<u8>, text: String) -> bool {
        let topology = TopologySettings::default();
        for text in [text_of(&choices), text] {
            let _ = read_team("file", &text, None, &topology);
            let _ = read_topology("file", &text);
        }
        true
    }

    /// Guards against a panic in the reader of documents.
    fn any_document_is_survived(at: usize, value: u8, bytes: Vec<u8>) -> bool {
        let settings = TeamSettings::empty("lidos".parse().unwrap());
        let mut document = SettingsDocument::first(settings, "c".parse().unwrap(), "a").encode();
        let at = at % document.len();
        document[at] = value;
        for bytes in [document, bytes] {
            let _ = SettingsDocument::<TeamSettings>::decode(&bytes);
            let _ = TopologyDocument::decode(&bytes);
        }
        true
    }
}

/// The properties catch a decoder that trusts its input.
#[test]
fn careless_decoder_is_caught() {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let is_caught = !survives(&[10, 200, 65], take_message_carelessly);
    std::panic::set_hook(hook);
    assert!(is_caught);
}

/// Guards against a message that costs memory beyond its frame, or a list beyond its limit.
#[test]
fn limits_are_enforced() {
    let long = vec![0; MAX_CONTROL_BYTES + 1];
    let error = ControlMessage::decode_bytes(&long).unwrap_err();
    assert!(matches!(error, ControlError::TooLong(..)), "{error}");
    let updates = vec![RecordForm::default(); 9];
    let probe = ProbeMessage {
        updates,
        ..ProbeMessage::default()
    };
    let bytes = ControlMessage::from(ControlBody::Probe(probe)).encode_bytes();
    let error = ControlMessage::decode_bytes(&bytes).unwrap_err();
    assert_eq!(error, ControlError::TooMany(9, 8));
}

/// Guards against lists at their limit that do not fit a frame and would never arrive.
#[test]
fn full_lists_fit_a_frame() {
    let name = "n".repeat(64);
    let mut record = record(&name);
    record.centre = name.parse().unwrap();
    record.incarnation = Incarnation(u64::MAX);
    record.address = Some(
        "[1234:5678:9abc:def0:1234:5678:9abc:def0]:65535"
            .parse()
            .unwrap(),
    );
    let records = vec![RecordForm::from(&record); 200];
    let members = ControlBody::MemberRecords(MemberRecords {
        records,
        wanted: vec![name.clone(); 200],
    });
    let revision = SettingsRevision {
        path: format!("/teams/{name}"),
        revision: u64::MAX,
    };
    let revisions = ControlBody::SettingsRevisions(SettingsRevisions {
        entries: vec![revision; 700],
        is_ready: true,
        wants_reply: true,
    });
    for body in [members, revisions] {
        let bytes = ControlMessage::from(body).encode_bytes();
        assert!(
            ControlMessage::decode_bytes(&bytes).is_ok(),
            "{} bytes",
            bytes.len()
        );
    }
}

/// Guards against a small request that is answered with many copies of a large document.
#[test]
fn repeated_wants_are_answered_once() {
    let own = record("instance-1");
    let mut spread = SettingsSpread::new(own.name.clone(), own.centre.clone());
    let settings = TeamSettings::empty("lidos".parse().unwrap());
    let mut bytes = SettingsDocument::first(settings, "c".parse().unwrap(), "a").encode();
    bytes.resize(900_000, b' ');
    spread.on_store_list([("/teams/lidos", 1, &bytes[..])], &LiveView::default());
    let paths = vec!["/teams/lidos".to_string(); 500];
    let body = ControlBody::SettingsWant(SettingsWant { paths });
    let answers = spread.handle(&own.name, &body, &LiveView::default());
    assert_eq!(answers.len(), 900_000_usize.div_ceil(48_000));
}
