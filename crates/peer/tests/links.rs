//! Links over loopback: loss, reconnection, refusal and hostile peers.

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use heatherhollow_peer::HelloRefusal;
use heatherhollow_peer::LinkSecret;
use heatherhollow_peer::PROTOCOL_VERSION;
use heatherhollow_peer::PeerSettings;
use heatherhollow_peer::convert::decode_frame;
use heatherhollow_peer::convert::encode_frame;
use heatherhollow_peer::generated as wire;
use heatherhollow_peer::generated::frame::Body;
use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::PeerCall;
use heatherhollow_ports::PeerError;
use heatherhollow_ports::PeerPort;
use heatherhollow_types::Incarnation;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::UnknownReason;

use support::Forwarder;
use support::PATIENCE;
use support::TestNode;
use support::end_of;
use support::name;
use support::next;
use support::settings;
use support::start;
use support::wait_linked;
use support::wait_until;

const LOST: RequestOutcome = RequestOutcome::Unknown(UnknownReason::ConnectionLost);

/// Two instances with a forwarder between them.
async fn start_forwarded(
    first: PeerSettings,
    second: PeerSettings,
) -> (TestNode, TestNode, Forwarder) {
    let a = start(first).await;
    let b = start(second).await;
    let forwarder = Forwarder::start(b.address).await;
    let peers = vec![(b.name.clone(), forwarder.address)];
    a.network.set_peers(peers);
    wait_linked(&a, &b).await;
    (a, b, forwarder)
}

/// Guards against calls that hang on a connection that went silent without being closed, and
/// against a link that stays down afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_link_ends_its_calls_and_comes_up_again() {
    let (a, b, forwarder) = start_forwarded(settings("a-1"), settings("b-1")).await;
    let mut waiting = a.open(&b, "hang").await;
    let mut begun = a.open(&b, "early").await;
    let mut incoming = b.open(&a, "hang").await;
    let row = Some(AnswerPart::Row("1".into()));
    assert_eq!(next(begun.as_mut()).await, row);
    wait_until("the calls have started", || {
        b.handler.calls.lock().unwrap().len() == 2 && a.handler.calls.lock().unwrap().len() == 1
    })
    .await;
    forwarder.silence();
    for answer in [&mut waiting, &mut begun, &mut incoming] {
        assert_eq!(end_of(answer.as_mut()).await, LOST);
        assert_eq!(next(answer.as_mut()).await, None);
    }
    wait_until("the served answers are dropped", || {
        *b.handler.dropped.borrow() == 2 && *a.handler.dropped.borrow() == 1
    })
    .await;
    assert_eq!(a.network.counters().streams_lost(), 2);
    assert_eq!(a.network.counters().streams_cancelled(), 0);

    wait_until("the link was reported up again", || {
        let changes = a.handler.changes.lock().unwrap();
        changes
            .iter()
            .map(|change| change.1)
            .eq([true, false, true])
    })
    .await;
    wait_linked(&a, &b).await;
    a.check_rows(&b, 1, 3, 100).await;
    assert_eq!(a.network.counters().reconnects(), 1);
}

/// Guards against a call being reported as not sent although the peer ran it. The connection stops
/// flowing, so that calls pile up before, in and behind the socket; when the caller has given the link
/// up, the peer still gets what had left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_that_end_as_not_sent_did_not_run() {
    let many = 4_000;
    let caller = PeerSettings {
        send_buffer_bytes: 16 * 1024,
        max_streams: many,
        ..settings("a-1")
    };
    let server = PeerSettings {
        dead_after: PATIENCE,
        max_streams: many,
        ..settings("b-1")
    };
    let (a, b, forwarder) = start_forwarded(caller, server).await;
    forwarder.pause(true);
    let mut calls = JoinSet::new();
    for i in 0..many {
        let network = a.network.clone();
        let peer = b.name.clone();
        let call = PeerCall {
            body: format!("hang {i} {}", "x".repeat(3_000)).into(),
            // Every other call gives up while the link still looks alive.
            time_left: if i % 2 == 0 {
                PATIENCE
            } else {
                Duration::from_millis(300)
            },
        };
        calls.spawn(async move {
            match network.call(&peer, call).await {
                Ok(mut answer) => {
                    assert_eq!(end_of(answer.as_mut()).await, LOST);
                    (i, None)
                }
                Err(error) => (i, Some(error)),
            }
        });
    }
    let results = calls.join_all().await;
    // A new link would take the place of the old one before the peer has read it to its end.
    a.network.set_peers(Vec::new());
    forwarder.pause(false);
    wait_until("the peer has seen the old connection end", || {
        let changes = b.handler.changes.lock().unwrap();
        changes.iter().any(|change| !change.1)
    })
    .await;

    let count = |wanted: Option<PeerError>| {
        let found = results.iter().filter(|(_, result)| *result == wanted);
        found.count()
    };
    let not_sent = count(Some(PeerError::NotSent));
    assert!(not_sent > 0, "no call was kept back");
    assert!(count(None) > 0, "no call was written");
    let ran = b.handler.calls.lock().unwrap().clone();
    assert!(!ran.is_empty(), "no call arrived");
    for text in ran {
        let i: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
        let (_, result) = results.iter().find(|(j, _)| *j == i).unwrap();
        assert_ne!(*result, Some(PeerError::NotSent), "call {i}");
    }
}

/// Guards against instances of other clusters, or without the secret, reaching the handler.
#[tokio::test]
async fn wrong_secret_cluster_and_name_are_refused() {
    let b = start(settings("b-1")).await;
    let wrong_secret = PeerSettings {
        secret: LinkSecret::new("Secret"),
        ..settings("a-1")
    };
    let wrong_cluster = PeerSettings {
        cluster: "other".to_string(),
        ..settings("a-2")
    };
    let own_name = settings("b-1");
    let cases = [
        (wrong_secret, "b-1", HelloRefusal::Secret),
        (wrong_cluster, "b-1", HelloRefusal::Cluster),
        (own_name, "b-2", HelloRefusal::OwnName),
    ];
    for (settings, peer, reason) in cases {
        let a = start(settings).await;
        a.network.set_peers(vec![(name(peer), b.address)]);
        wait_until("two hellos were refused", || {
            b.network.counters().refused_hellos(reason) >= 2
                && a.network.counters().dials_refused() >= 2
        })
        .await;
        assert!(a.network.connected().is_empty());
        a.network.shutdown().await;
    }
    // Here the dialler refuses: another instance answers than the one it wants.
    let a = start(settings("a-1")).await;
    a.network.set_peers(vec![(name("b-2"), b.address)]);
    wait_until("the answer was refused", || {
        let reason = HelloRefusal::UnexpectedInstance;
        a.network.counters().refused_hellos(reason) >= 1
    })
    .await;
    assert!(b.network.connected().is_empty());
    assert!(b.handler.changes.lock().unwrap().is_empty());
    assert_eq!(b.network.counters().links_up(), 0);
}

/// Guards against two links, or none, when both instances dial each other at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn dialling_at_once_leaves_one_link() {
    for round in 0..20 {
        let a = start(settings("a-1")).await;
        let b = start(settings("b-1")).await;
        a.network.set_peers(vec![(b.name.clone(), b.address)]);
        b.network.set_peers(vec![(a.name.clone(), a.address)]);
        wait_linked(&a, &b).await;
        for seed in 0..5 {
            a.check_rows(&b, seed, 3, 100).await;
            b.check_rows(&a, seed, 3, 100).await;
        }
        for node in [&a, &b] {
            assert_eq!(node.network.counters().links_up(), 1, "round {round}");
            assert_eq!(node.network.counters().streams_lost(), 0, "round {round}");
        }
        a.network.shutdown().await;
        b.network.shutdown().await;
    }
}

type RawLink = Framed<TcpStream, LengthDelimitedCodec>;

fn raw_link(stream: TcpStream) -> RawLink {
    Framed::new(stream, LengthDelimitedCodec::new())
}

fn raw_hello(instance: &str, incarnation: u64) -> Body {
    Body::Hello(wire::Hello {
        version: PROTOCOL_VERSION,
        oldest_version: PROTOCOL_VERSION,
        instance: instance.to_string(),
        incarnation,
        data_centre: "raw".to_string(),
        cluster: "test".to_string(),
        secret: "secret".into(),
        max_streams: 8,
        refusal: String::new(),
    })
}

async fn raw_send(link: &mut RawLink, body: Body) {
    link.send(encode_frame(body)).await.expect("it is sent");
}

/// The next frame other than a ping or pong; none when the connection ends.
async fn raw_next(link: &mut RawLink) -> Option<Body> {
    loop {
        let frame = timeout(PATIENCE, link.next()).await.expect("a frame");
        let bytes: Bytes = frame?.ok()?.freeze();
        match decode_frame(bytes).expect("a valid frame").body {
            Some(Body::Ping(_) | Body::Pong(_)) => {}
            body => return body,
        }
    }
}

async fn raw_dial(address: SocketAddr, hello: Body) -> RawLink {
    let stream = TcpStream::connect(address).await.expect("it connects");
    let mut link = raw_link(stream);
    raw_send(&mut link, hello).await;
    link
}

/// A raw link that is up.
async fn raw_join(node: &TestNode, instance: &str, incarnation: u64) -> RawLink {
    let mut link = raw_dial(node.address, raw_hello(instance, incarnation)).await;
    let Some(Body::Hello(hello)) = raw_next(&mut link).await else {
        panic!("a hello is expected");
    };
    assert_eq!(hello.refusal, "");
    raw_send(&mut link, Body::Ping(wire::Ping { number: 1 })).await;
    wait_until("the raw link is up", || {
        let links = node.network.links();
        let is_new = |link: &heatherhollow_peer::LinkInfo| {
            link.peer == name(instance) && link.incarnation == Incarnation(incarnation)
        };
        links.iter().any(is_new)
    })
    .await;
    link
}

async fn refusal_of(link: &mut RawLink) -> String {
    match raw_next(link).await {
        Some(Body::Hello(hello)) => {
            assert!(hello.secret.is_empty(), "a refusal has no secret");
            hello.refusal
        }
        other => panic!("a refusal is expected, found {other:?}"),
    }
}

/// Guards against the tie between two dials being broken differently on the two sides: the
/// connection that the instance with the lower name dials is kept.
#[tokio::test]
async fn the_dial_of_the_lower_name_is_kept() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();

    // The lower one has dialled and waits for an answer: it refuses the other dial.
    let a = start(settings("a-1")).await;
    a.network.set_peers(vec![(name("b-1"), address)]);
    let mut dialled = raw_link(listener.accept().await.unwrap().0);
    assert!(matches!(raw_next(&mut dialled).await, Some(Body::Hello(_))));
    let mut second = raw_dial(a.address, raw_hello("b-1", 1)).await;
    assert_eq!(refusal_of(&mut second).await, "duplicate");
    raw_send(&mut dialled, raw_hello("b-1", 1)).await;
    wait_until("the link is up", || a.network.connected().len() == 1).await;
    let mut third = raw_dial(a.address, raw_hello("b-1", 1)).await;
    assert_eq!(refusal_of(&mut third).await, "duplicate");
    assert_eq!(a.network.links()[0].address, address);
    a.network.shutdown().await;

    // The higher one has dialled and waits for an answer: it accepts the other dial.
    let c = start(settings("c-1")).await;
    c.network.set_peers(vec![(name("b-1"), address)]);
    let mut dialled = raw_link(listener.accept().await.unwrap().0);
    assert!(matches!(raw_next(&mut dialled).await, Some(Body::Hello(_))));
    let kept = raw_join(&c, "b-1", 1).await;
    let refusal = wire::Hello {
        refusal: "duplicate".to_string(),
        ..wire::Hello::default()
    };
    raw_send(&mut dialled, Body::Hello(refusal)).await;
    wait_until("the refusal has arrived", || {
        c.network.counters().dials_refused() == 1
    })
    .await;
    assert_eq!(c.network.counters().links_up(), 1);
    assert_eq!(
        c.network.links()[0].address,
        kept.get_ref().local_addr().unwrap()
    );
}

/// Guards against a restarted instance being kept out by the link of its earlier run, and against
/// an earlier run taking the place of a later one.
#[tokio::test]
async fn a_later_run_replaces_the_link_of_an_earlier_one() {
    let a = start(settings("a-1")).await;
    let mut first = raw_join(&a, "b-1", 5).await;
    let _second = raw_join(&a, "b-1", 6).await;
    assert_eq!(raw_next(&mut first).await, None);
    let mut late = raw_dial(a.address, raw_hello("b-1", 5)).await;
    assert_eq!(refusal_of(&mut late).await, "old_incarnation");
    assert_eq!(a.network.links().len(), 1);
}

/// Guards against hellos that are not hellos, and versions that are not understood.
#[tokio::test]
async fn invalid_hellos_are_refused() {
    let a = start(settings("a-1")).await;
    let Body::Hello(valid) = raw_hello("b-1", 1) else {
        panic!("it is a hello");
    };
    let later = wire::Hello {
        version: PROTOCOL_VERSION + 1,
        oldest_version: PROTOCOL_VERSION + 1,
        ..valid.clone()
    };
    let bad_name = wire::Hello {
        instance: "Not A Name".to_string(),
        ..valid.clone()
    };
    let too_long = wire::Hello {
        cluster: "x".repeat(2_000),
        ..valid
    };
    let ping = Body::Ping(wire::Ping { number: 1 });
    let cases = [
        (Body::Hello(later), "version"),
        (Body::Hello(bad_name), "malformed"),
        (Body::Hello(too_long), "malformed"),
        (ping, "malformed"),
    ];
    for (body, reason) in cases {
        let mut link = raw_dial(a.address, body).await;
        assert_eq!(refusal_of(&mut link).await, reason);
    }
    assert_eq!(
        a.network.counters().refused_hellos(HelloRefusal::Malformed),
        3
    );
    assert_eq!(
        a.network.counters().refused_hellos(HelloRefusal::Version),
        1
    );
}

fn raw_open(stream: u64, credit: u64, text: &str) -> Body {
    Body::Open(wire::Open {
        stream,
        time_left_us: 20_000_000,
        credit,
        body: text.to_string().into(),
    })
}

/// Guards against a peer that breaks the protocol: the link is closed, and the instance goes on
/// serving others.
#[tokio::test]
async fn violations_close_the_link() {
    let a = start(settings("a-1")).await;
    let rows = |stream, count: usize| wire::Part {
        stream,
        rows: vec![Bytes::from(vec![b'x'; 1_000]); count],
        ..wire::Part::default()
    };
    // The peer answers the call of stream 1 with these frames.
    let answers = [
        ("credit", vec![rows(1, 40), rows(1, 40)]),
        ("empty", vec![wire::Part::default()]),
    ];
    for (what, parts) in answers {
        let mut raw = raw_join(&a, "b-1", 1).await;
        let mut answer = a
            .network
            .call(&name("b-1"), support::call("anything"))
            .await
            .expect("it is sent");
        let Some(Body::Open(open)) = raw_next(&mut raw).await else {
            panic!("an open is expected");
        };
        for part in parts {
            let stream = open.stream;
            raw_send(&mut raw, Body::Part(wire::Part { stream, ..part })).await;
        }
        assert_eq!(raw_next(&mut raw).await, None, "{what}");
        while let Some(AnswerPart::Row(_)) = next(answer.as_mut()).await {}
        wait_until("the link is gone", || a.network.connected().is_empty()).await;
    }
    // The peer sends these frames of its own.
    let frames = [
        ("late hello", vec![raw_hello("b-1", 1)]),
        (
            "stream id again",
            vec![raw_open(7, 0, "hang"), raw_open(7, 0, "hang")],
        ),
    ];
    for (what, bodies) in frames {
        let mut raw = raw_join(&a, "b-1", 1).await;
        for body in bodies {
            raw_send(&mut raw, body).await;
        }
        assert_eq!(raw_next(&mut raw).await, None, "{what}");
        wait_until("the link is gone", || a.network.connected().is_empty()).await;
    }
    // Bytes that are not a frame, and a frame over the limit.
    for bytes in [vec![0xff; 100], vec![0; 70_000]] {
        let mut raw = raw_join(&a, "b-1", 1).await;
        raw.send(Bytes::from(bytes)).await.expect("it is sent");
        assert_eq!(raw_next(&mut raw).await, None);
        wait_until("the link is gone", || a.network.connected().is_empty()).await;
    }
    let b = start(settings("b-2")).await;
    b.network.set_peers(vec![(a.name.clone(), a.address)]);
    wait_linked(&a, &b).await;
    b.check_rows(&a, 1, 3, 100).await;
}

/// Guards against frames for streams that have ended being taken for an error, or for another
/// stream; against answers beyond the credit; and against streams beyond the limit being run.
#[tokio::test]
async fn the_serving_side_keeps_to_credits_and_limits() {
    let limited = PeerSettings {
        max_streams: 2,
        ..settings("a-1")
    };
    let a = start(limited).await;
    let mut raw = raw_join(&a, "b-1", 1).await;
    raw_send(&mut raw, Body::Cancel(wire::Cancel { stream: 99 })).await;
    let credit = wire::Credit {
        stream: 99,
        bytes: u64::MAX,
    };
    raw_send(&mut raw, Body::Credit(credit)).await;
    let late = wire::Part {
        stream: 99,
        end: Some(wire::End::default()),
        ..wire::Part::default()
    };
    raw_send(&mut raw, Body::Part(late)).await;

    // 3 parts of 16 KB have room, the fourth has not.
    raw_send(&mut raw, raw_open(1, 60_000, "rows 1 100 8000")).await;
    raw_send(&mut raw, raw_open(2, 0, "hang")).await;
    raw_send(&mut raw, raw_open(3, 0, "hang third")).await;
    let mut rows = 0;
    let mut is_refused = false;
    while rows < 6 || !is_refused {
        match raw_next(&mut raw).await {
            Some(Body::Part(part)) if part.stream == 1 => rows += part.rows.len(),
            Some(Body::Part(part)) => {
                assert_eq!(part.stream, 3);
                let end = part.end.expect("the refusal is an end");
                assert_eq!(end.outcome(), wire::Outcome::NotRun);
                assert_eq!(end.reason, "too_many");
                is_refused = true;
            }
            other => panic!("unexpected frame {other:?}"),
        }
    }
    // No further part may come without credits; the refusal of the next call shows the order.
    raw_send(&mut raw, raw_open(4, 0, "hang fourth")).await;
    match raw_next(&mut raw).await {
        Some(Body::Part(part)) => assert_eq!(part.stream, 4),
        other => panic!("unexpected frame {other:?}"),
    }
    let credit = wire::Credit {
        stream: 1,
        bytes: 17_000,
    };
    raw_send(&mut raw, Body::Credit(credit)).await;
    match raw_next(&mut raw).await {
        Some(Body::Part(part)) => assert_eq!((part.stream, part.rows.len()), (1, 2)),
        other => panic!("unexpected frame {other:?}"),
    }
    let calls = a.handler.calls.lock().unwrap().clone();
    assert_eq!(calls.len(), 2);
    assert_eq!(a.network.counters().calls_refused(), 2);
}

/// Guards against connections that never say hello taking places for ever.
#[tokio::test]
async fn silent_connections_are_closed_before_the_hello() {
    let impatient = PeerSettings {
        hello_timeout: Duration::from_millis(100),
        max_pending_hellos: 2,
        ..settings("a-1")
    };
    let a = start(impatient).await;
    let mut silent = Vec::new();
    for _ in 0..4 {
        silent.push(TcpStream::connect(a.address).await.expect("it connects"));
    }
    wait_until("all are refused", || {
        let counters = a.network.counters();
        counters.refused_hellos(HelloRefusal::Busy)
            + counters.refused_hellos(HelloRefusal::Incomplete)
            == 4
    })
    .await;
    assert!(a.network.counters().refused_hellos(HelloRefusal::Busy) >= 1);
    raw_join(&a, "b-1", 1).await;
}
