//! Properties of the conversion between messages and answers.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use heatherhollow_peer::MAX_FRAME_BYTES;
use heatherhollow_peer::MIN_WINDOW_BYTES;
use heatherhollow_peer::convert::ConvertError;
use heatherhollow_peer::convert::MAX_PART_BYTES;
use heatherhollow_peer::convert::PartDecoder;
use heatherhollow_peer::convert::PartEncoder;
use heatherhollow_peer::convert::decode_end;
use heatherhollow_peer::convert::decode_frame;
use heatherhollow_peer::convert::encode_frame;
use heatherhollow_peer::convert::part_cost;
use heatherhollow_peer::generated as wire;
use heatherhollow_ports::AnswerEnd;
use heatherhollow_ports::AnswerPart;
use heatherhollow_types::FailureReason;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::UnknownReason;

const MAX_ROW_BYTES: usize = 100_000;

fn arbitrary_position(g: &mut Gen) -> GroupPosition {
    GroupPosition::new(u64::arbitrary(g), u64::arbitrary(g))
}

fn arbitrary_outcome(g: &mut Gen, has_rows: bool) -> RequestOutcome {
    let retry_after = Duration::from_micros(u64::from(u32::arbitrary(g) % 3_600_000_000));
    match u8::arbitrary(g) % 4 {
        0 => RequestOutcome::Done,
        1 => RequestOutcome::Failed(*g.choose(FailureReason::ALL).unwrap()),
        2 if !has_rows => {
            RequestOutcome::not_run(*g.choose(RefusalReason::ALL).unwrap(), retry_after)
        }
        _ => RequestOutcome::Unknown(*g.choose(UnknownReason::ALL).unwrap()),
    }
}

/// An answer, and for each part whether the encoder is flushed after it.
#[derive(Debug, Clone)]
struct SampleAnswer {
    parts: Vec<(AnswerPart, bool)>,
}

impl Arbitrary for SampleAnswer {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut parts = Vec::new();
        if bool::arbitrary(g) {
            parts.push(AnswerPart::Head(arbitrary_position(g)));
        }
        let count = usize::arbitrary(g) % 30;
        for _ in 0..count {
            // Sizes around the limits of a part, and small and empty ones.
            let size = match u8::arbitrary(g) % 6 {
                0 => 0,
                1 => MAX_PART_BYTES - 10 + usize::arbitrary(g) % 20,
                2 => 2 * MAX_PART_BYTES - 20 + usize::arbitrary(g) % 40,
                3 => usize::arbitrary(g) % MAX_ROW_BYTES,
                _ => usize::arbitrary(g) % 200,
            };
            parts.push(AnswerPart::Row(vec![u8::arbitrary(g); size].into()));
        }
        let mut detail = String::arbitrary(g);
        detail.truncate(detail.floor_char_boundary(1024));
        parts.push(AnswerPart::End(AnswerEnd {
            outcome: arbitrary_outcome(g, count > 0),
            detail,
            rows: u64::arbitrary(g),
            position: bool::arbitrary(g).then(|| arbitrary_position(g)),
            is_recorded: bool::arbitrary(g),
            extra: Vec::arbitrary(g),
        }));
        let flushed = |part| (part, bool::arbitrary(g));
        Self {
            parts: parts.into_iter().map(flushed).collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let parts = self.parts.clone();
        let last = parts.len() - 1;
        Box::new((0..last).map(move |i| {
            let mut parts = parts.clone();
            parts.remove(i);
            Self { parts }
        }))
    }
}

fn encode(answer: &SampleAnswer) -> Vec<wire::Part> {
    let mut encoder = PartEncoder::new(7, MAX_ROW_BYTES);
    let mut messages = Vec::new();
    for (part, is_flushed) in &answer.parts {
        encoder.push(part.clone()).expect("the answer is valid");
        while let Some(message) = encoder.take_full() {
            messages.push(message);
        }
        if *is_flushed {
            messages.extend(encoder.take_rest());
        }
    }
    messages
}

/// Guards against rows that are lost, joined, cut or reordered by packing and splitting, and against
/// frames that exceed the frame limit or the half of the window that a reader may hold back.
#[test]
fn answers_survive_the_round_trip() {
    fn property(answer: SampleAnswer) -> bool {
        let mut decoder = PartDecoder::new(MAX_ROW_BYTES);
        let mut parts = VecDeque::new();
        for message in encode(&answer) {
            let bytes = encode_frame(wire::frame::Body::Part(message.clone()));
            assert!(bytes.len() <= MAX_FRAME_BYTES);
            assert!(part_cost(&message, bytes.len()) <= MIN_WINDOW_BYTES as u64 / 2);
            let frame = decode_frame(bytes).expect("the frame is valid");
            let Some(wire::frame::Body::Part(message)) = frame.body else {
                return false;
            };
            decoder.push(message, &mut parts).expect("valid parts");
        }
        let sent = answer.parts.into_iter().map(|(part, _)| part);
        parts.into_iter().eq(sent)
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(SampleAnswer) -> bool);
}

/// Guards against a panic of the decoder on bytes that a hostile peer chose.
#[test]
fn arbitrary_bytes_do_not_panic() {
    fn property(bytes: Vec<u8>, answer: SampleAnswer, at: usize, value: u8) -> bool {
        let mut parts = VecDeque::new();
        let mut decoder = PartDecoder::new(1000);
        let mut feed = |bytes: Vec<u8>| {
            if let Ok(frame) = decode_frame(bytes.into())
                && let Some(wire::frame::Body::Part(message)) = frame.body
            {
                let _ = decoder.push(message, &mut parts);
            }
        };
        feed(bytes);
        // Damaged frames get further than random bytes.
        for message in encode(&answer) {
            let mut bytes = encode_frame(wire::frame::Body::Part(message)).to_vec();
            let at = at % bytes.len();
            bytes[at] = value;
            feed(bytes.clone());
            bytes.truncate(at);
            feed(bytes);
        }
        true
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(Vec<u8>, SampleAnswer, usize, u8) -> bool);
}

/// Guards against a call that ran being reported as not run: only a complete and consistent
/// statement of the peer may be read so.
#[test]
fn not_run_is_never_made_up() {
    fn property(outcome: i32, choice: usize, text: String, rows_seen: u64) -> bool {
        let known = RefusalReason::ALL.iter().map(|reason| reason.as_str());
        let reasons: Vec<_> = known.chain([text.as_str(), "", "statement"]).collect();
        let reason = reasons[choice % reasons.len()];
        let outcome = if choice.is_multiple_of(2) {
            outcome
        } else {
            outcome.rem_euclid(6)
        };
        let rows_seen = rows_seen % 2;
        let message = wire::End {
            outcome,
            reason: reason.to_string(),
            ..wire::End::default()
        };
        let end = decode_end(message, rows_seen).expect("the sizes are valid");
        let is_stated = outcome == wire::Outcome::NotRun as i32
            && reason.parse::<RefusalReason>().is_ok()
            && rows_seen == 0;
        matches!(end.outcome, RequestOutcome::NotRun { .. }) == is_stated
    }
    QuickCheck::new()
        .tests(5_000)
        .quickcheck(property as fn(i32, usize, String, u64) -> bool);
}

/// Guards against outcomes of newer versions that are read as anything but unknown.
#[test]
fn unknown_reasons_become_unknown() {
    let lost = RequestOutcome::Unknown(UnknownReason::ConnectionLost);
    for outcome in [0, 1, 2, 3, 4, 5, -1] {
        let message = wire::End {
            outcome,
            reason: "a_later_reason".to_string(),
            ..wire::End::default()
        };
        let end = decode_end(message, 0).expect("the sizes are valid");
        assert_eq!(end.outcome, lost, "outcome {outcome}");
        assert!(end.detail.contains("a_later_reason"));
    }
}

fn part(rows: &[usize], more: bool) -> wire::Part {
    wire::Part {
        stream: 7,
        rows: rows.iter().map(|&size| vec![b'x'; size].into()).collect(),
        more,
        ..wire::Part::default()
    }
}

/// Guards against unbounded rows and against parts in an order that no sender makes.
#[test]
fn invalid_sequences_are_rejected() {
    let head = wire::Part {
        head: Some(wire::Position::default()),
        ..wire::Part::default()
    };
    let end = wire::Part {
        end: Some(wire::End::default()),
        ..wire::Part::default()
    };
    let large_extra = wire::Part {
        end: Some(wire::End {
            extra: vec![0; 9_000].into(),
            ..wire::End::default()
        }),
        ..wire::Part::default()
    };
    let cases = [
        (vec![wire::Part::default()], ConvertError::EmptyPart),
        (
            vec![head.clone(), head.clone()],
            ConvertError::MisplacedHead,
        ),
        (vec![part(&[1], false), head], ConvertError::MisplacedHead),
        (vec![end.clone(), part(&[1], false)], ConvertError::AfterEnd),
        (vec![part(&[1], true), end], ConvertError::RowCutOff),
        (vec![part(&[], true)], ConvertError::RowCutOff),
        (
            vec![part(&[0; 1025], false)],
            ConvertError::TooManyRows(1025),
        ),
        (vec![part(&[101], false)], ConvertError::RowTooLarge(100)),
        (
            vec![part(&[60], true), part(&[30], true), part(&[11], false)],
            ConvertError::RowTooLarge(100),
        ),
        (vec![large_extra], ConvertError::ExtraTooLarge(9_000)),
    ];
    for (messages, expected) in cases {
        let mut decoder = PartDecoder::new(100);
        let mut parts = VecDeque::new();
        let result = messages
            .into_iter()
            .try_for_each(|message| decoder.push(message, &mut parts));
        assert_eq!(result, Err(expected));
    }
}

/// Guards against frames over the limit being decoded, and answers over it being sent.
#[test]
fn sizes_are_bounded() {
    let bytes = Bytes::from(vec![0; MAX_FRAME_BYTES + 1]);
    let error = ConvertError::FrameTooLarge(MAX_FRAME_BYTES + 1);
    assert_eq!(decode_frame(bytes), Err(error));

    let mut encoder = PartEncoder::new(1, 100);
    let row = AnswerPart::Row(vec![b'x'; 101].into());
    assert_eq!(encoder.push(row), Err(ConvertError::RowTooLarge(100)));
    let end = AnswerEnd {
        extra: vec![0; 9_000],
        ..AnswerEnd::of(RequestOutcome::Done)
    };
    let result = encoder.push(AnswerPart::End(end));
    assert_eq!(result, Err(ConvertError::ExtraTooLarge(9_000)));

    let end = AnswerEnd {
        detail: "ä".repeat(5_000),
        ..AnswerEnd::of(RequestOutcome::Done)
    };
    encoder.push(AnswerPart::End(end)).expect("details are cut");
    let message = encoder.take_full().expect("the end is there");
    assert!(message.encoded_len() < 1_100);
}
