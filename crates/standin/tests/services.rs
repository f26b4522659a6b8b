//! The network, the key-value service, the instance list and the links between instances.

mod support;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use heatherhollow_ports::AnswerEnd;
use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::AnswerStream;
use heatherhollow_ports::InstanceEntry;
use heatherhollow_ports::InstanceState;
use heatherhollow_ports::PeerCall;
use heatherhollow_ports::PeerError;
use heatherhollow_ports::PeerHandler;
use heatherhollow_ports::PeerPort;
use heatherhollow_ports::StoreEra;
use heatherhollow_ports::StoreError;
use heatherhollow_ports::StoreRevision;
use heatherhollow_ports::SwapReply;
use heatherhollow_standin::CutDirection;
use heatherhollow_standin::InMemoryPeers;
use heatherhollow_standin::InstanceList;
use heatherhollow_standin::KeyValueStore;
use heatherhollow_standin::LinkEnd;
use heatherhollow_standin::ListSettings;
use heatherhollow_standin::NetworkPoint;
use heatherhollow_standin::ServiceOutage;
use heatherhollow_standin::StoreSettings;
use heatherhollow_types::InstanceName;
use heatherhollow_types::RequestOutcome;

use support::MS;
use support::network;

const LONG: Duration = Duration::from_secs(60);

/// Guards against transfers that share a link without queueing, and against wrong counts of paid
/// traffic.
#[tokio::test(start_paused = true)]
async fn transfers_between_regions_queue_and_are_counted() {
    let (network, places) = network();
    let points: Vec<_> = places.iter().map(NetworkPoint::of_data_centre).collect();
    let start = Instant::now();
    let send = |from: usize, to: usize, bytes: usize| {
        let (network, points) = (&network, &points);
        async move {
            network
                .transfer(&points[from], &points[to], bytes)
                .await
                .unwrap();
            start.elapsed()
        }
    };
    // 1 MB/s: 100 kB take 100 ms. The other direction and links inside a region are not shared.
    let times = futures::join!(
        send(0, 2, 100_000),
        send(1, 2, 50_000),
        send(2, 0, 10_000),
        send(0, 1, 100_000),
        send(0, 0, 100_000),
    );
    assert_eq!(times, (108 * MS, 158 * MS, 18 * MS, 2 * MS, MS));
    assert_eq!(network.bytes_across_regions(), 160_000);
    let bytes: Vec<_> = network.traffic().iter().map(|link| link.bytes).collect();
    assert_eq!(bytes, [10_000, 150_000]);
}

/// Guards against cuts that hit other links or other directions, and against a message that
/// survives a cut during its way.
#[tokio::test(start_paused = true)]
async fn cuts_hit_only_their_link() {
    let (network, places) = network();
    let one = NetworkPoint::named(&places[0], LinkEnd::Instance("i0".parse().unwrap()));
    let other = NetworkPoint::of_data_centre(&places[0]);
    let far = NetworkPoint::of_data_centre(&places[2]);
    let (near, away) = (
        LinkEnd::Instance("i0".parse().unwrap()),
        LinkEnd::from(&places[2]),
    );
    network.cut(&near, &away, CutDirection::OneWay);
    assert!(network.transfer(&one, &far, 1).await.is_err());
    assert!(network.transfer(&far, &one, 1).await.is_ok());
    assert!(network.transfer(&other, &far, 1).await.is_ok());
    network.heal(&near, &away, CutDirection::OneWay);
    let (sent, ()) = futures::join!(network.transfer(&one, &far, 1), async {
        sleep(MS).await;
        network.cut(&near, &away, CutDirection::Both);
    });
    assert!(sent.is_err());
    network.heal_all();
    assert!(network.transfer(&one, &far, 1).await.is_ok());
}

/// Guards against swaps on stale revisions, values above the limit and wrong counters.
#[tokio::test(start_paused = true)]
async fn swaps_need_the_present_revision() {
    let (network, places) = network();
    let store = KeyValueStore::new(StoreSettings::new(places[0].clone()), network);
    let port = store.port(&places[2]);
    let start = Instant::now();
    assert_eq!(port.get("/teams/a").await, Ok(None));
    assert!(
        start.elapsed() >= 18 * MS,
        "two messages between regions and the call"
    );
    let swap = |expected: Option<u64>, value: &str| {
        let value = value.as_bytes().to_vec();
        port.compare_and_swap("/teams/a", expected.map(StoreRevision), value, None)
    };
    let first = swap(None, "1").await;
    assert_eq!(first, Ok(SwapReply::Swapped(StoreRevision(1))));
    let present = port.get("/teams/a").await.unwrap();
    assert_eq!(swap(None, "2").await, Ok(SwapReply::Conflict(present)));
    assert_eq!(
        swap(Some(1), "3").await,
        Ok(SwapReply::Swapped(StoreRevision(2)))
    );
    let big = port
        .compare_and_swap("/big", None, vec![0; 1_000_001], None)
        .await;
    assert!(matches!(big, Err(StoreError::Rejected(_))));
    port.compare_and_swap("/teams-b", None, vec![1], None)
        .await
        .unwrap();
    let (below, revision) = port.list("/teams").await.unwrap();
    assert_eq!((below.len(), revision), (1, StoreRevision(3)));
    let counters = store.counters();
    assert_eq!(
        (counters.reads, counters.writes, counters.watches),
        (3, 5, 0)
    );
}

/// Guards against watches that miss a change or never end, and against values that outlive their
/// lease.
#[tokio::test(start_paused = true)]
async fn watches_and_leases_end_in_time() {
    let (network, places) = network();
    let store = KeyValueStore::new(StoreSettings::new(places[0].clone()), network);
    let port = store.port(&places[0]);
    let start = Instant::now();
    let none = port.watch("/", StoreRevision(0), 500 * MS).await;
    assert_eq!(none, Ok(Vec::new()));
    assert!(start.elapsed() >= 500 * MS && start.elapsed() < 510 * MS);
    let lease = port.grant_lease(Duration::from_secs(2)).await.unwrap();
    port.compare_and_swap("/a", None, vec![1], Some(lease))
        .await
        .unwrap();
    port.compare_and_swap("/b", None, vec![1], None)
        .await
        .unwrap();
    sleep(Duration::from_millis(1_500)).await;
    port.renew_lease(lease).await.unwrap();
    let (changes, waiting) = futures::join!(port.watch("/", StoreRevision(2), LONG), async {
        sleep(100 * MS).await;
        store.counters().waiting_watches
    });
    assert!(
        start.elapsed() > 4 * Duration::from_secs(1),
        "the renewal counts"
    );
    let changes = changes.unwrap();
    let removed = changes
        .iter()
        .map(|change| (change.path.as_str(), change.value.is_none()));
    assert_eq!(removed.collect::<Vec<_>>(), [("/a", true)]);
    assert_eq!((waiting, store.counters().waiting_watches), (1, 0));
    assert_eq!(port.renew_lease(lease).await, Err(StoreError::LeaseEnded));
    let late = port
        .compare_and_swap("/a", None, vec![1], Some(lease))
        .await;
    assert_eq!(late, Err(StoreError::LeaseEnded));
    assert_eq!(store.entries().len(), 1);
}

/// Guards against a stand-in that, after it came back from a copy, keeps what was written since, or
/// takes revisions, leases or watches of before for its own.
#[tokio::test(start_paused = true)]
async fn store_that_comes_back_from_a_copy_starts_an_era() {
    let (network, places) = network();
    let store = KeyValueStore::new(StoreSettings::new(places[0].clone()), network);
    let port = store.port(&places[0]);
    let lease = port.grant_lease(Duration::from_secs(2)).await.unwrap();
    let write =
        |path: &'static str, expected| port.compare_and_swap(path, expected, vec![1], Some(lease));
    let first = write("/a", None).await;
    assert_eq!(first, Ok(SwapReply::Swapped(StoreRevision(1))));
    let copy = store.copy();
    write("/b", None).await.unwrap();
    let (watch, ()) = futures::join!(port.watch("/", StoreRevision(2), LONG), async {
        sleep(100 * MS).await;
        store.restore(copy);
    });
    assert_eq!(watch, Err(StoreError::HistoryGone));
    port.wait_for_era_after(StoreEra(0)).await;
    let (entries, revision) = port.list("/").await.unwrap();
    assert_eq!(revision, StoreRevision::new(StoreEra(1), 1));
    assert_eq!(entries.len(), 1);
    assert_eq!(port.renew_lease(lease).await, Err(StoreError::LeaseEnded));
    let old = port
        .compare_and_swap("/a", Some(StoreRevision(1)), vec![2], None)
        .await;
    assert_eq!(old, Ok(SwapReply::Conflict(Some(entries[0].clone()))));
    sleep(Duration::from_secs(3)).await;
    assert_eq!(store.entries(), Vec::new(), "the copied lease has ended");
}

/// Guards against faults of the store that have the wrong effect on values.
#[tokio::test(start_paused = true)]
async fn the_store_has_outages_and_loses_replies() {
    let (network, places) = network();
    let store = KeyValueStore::new(StoreSettings::new(places[0].clone()), network);
    let port = store.port(&places[0]);
    store.lose_replies(1);
    let lost = port.compare_and_swap("/a", None, vec![1], None).await;
    assert!(matches!(lost, Err(StoreError::ReplyLost(_))));
    assert_eq!(store.entries().len(), 1);
    let (watch, ()) = futures::join!(port.watch("/", StoreRevision(1), LONG), async {
        sleep(100 * MS).await;
        store.set_outage(Some(ServiceOutage::Refusing));
    });
    assert!(matches!(watch, Err(StoreError::Unavailable(_))));
    store.set_outage(Some(ServiceOutage::Silent));
    let write = port.compare_and_swap("/b", None, vec![1], None);
    assert!(timeout(LONG, write).await.is_err());
    store.set_outage(None);
    assert_eq!(store.entries().len(), 1);
    store.set_slowness(Duration::from_secs(3));
    assert!(
        timeout(Duration::from_secs(3), port.get("/a"))
            .await
            .is_err()
    );
    assert!(
        timeout(4 * Duration::from_secs(1), port.get("/a"))
            .await
            .is_ok()
    );
}

/// Guards against a list that shows changes before its lag.
#[tokio::test(start_paused = true)]
async fn the_instance_list_lags() {
    let (network, places) = network();
    let list = InstanceList::new(ListSettings::new(places[0].clone()), network);
    let port = list.port(&places[1]);
    let entry = InstanceEntry {
        instance: "i0".parse().unwrap(),
        data_centre: places[0].clone(),
        address: ([127, 0, 0, 1], 7000).into(),
        state: InstanceState::Live,
    };
    list.set(entry.clone());
    assert_eq!(port.list().await, Ok(Vec::new()));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(port.list().await, Ok(vec![entry.clone()]));
    list.remove(&entry.instance);
    assert_eq!(port.list().await, Ok(vec![entry]));
    list.set_lag(Duration::ZERO);
    assert_eq!(port.list().await, Ok(Vec::new()));
    list.set_outage(Some(ServiceOutage::Refusing));
    assert!(port.list().await.is_err());
    list.set_outage(Some(ServiceOutage::Silent));
    assert!(timeout(LONG, port.list()).await.is_err());
}

/// Answers every call with as many rows as its body has bytes, and notes what it sees.
#[derive(Default)]
struct EchoHandler {
    links: Mutex<Vec<(InstanceName, bool)>>,
    control: Mutex<Vec<Bytes>>,
    pulled: Arc<Mutex<usize>>,
}

struct EchoStream {
    rows: usize,
    pulled: Arc<Mutex<usize>>,
}

#[async_trait]
impl AnswerStream for EchoStream {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        *self.pulled.lock().unwrap() += 1;
        sleep(MS).await;
        match self.rows.checked_sub(1) {
            Some(rest) => {
                self.rows = rest;
                Some(AnswerPart::Row(Bytes::from(vec![b' '; 1_000])))
            }
            None => Some(AnswerPart::End(AnswerEnd::of(RequestOutcome::Done))),
        }
    }
}

#[async_trait]
impl PeerHandler for EchoHandler {
    async fn handle_call(&self, _from: &InstanceName, call: PeerCall) -> Box<dyn AnswerStream> {
        Box::new(EchoStream {
            rows: call.body.len(),
            pulled: self.pulled.clone(),
        })
    }

    fn handle_control(&self, _from: &InstanceName, message: Bytes) {
        self.control.lock().unwrap().push(message);
    }

    fn handle_link_change(&self, peer: &InstanceName, is_up: bool) {
        self.links.lock().unwrap().push((peer.clone(), is_up));
    }
}

struct PeerPair {
    hub: InMemoryPeers,
    names: [InstanceName; 2],
    handlers: [Arc<EchoHandler>; 2],
    port: Arc<dyn PeerPort>,
}

/// Two instances in different regions whose link is up.
async fn peer_pair() -> PeerPair {
    let (network, places) = network();
    let hub = InMemoryPeers::new(network);
    let names: [InstanceName; 2] = ["i0", "i1"].map(|name| name.parse().unwrap());
    let handlers: [Arc<EchoHandler>; 2] = Default::default();
    let port = hub.join(names[0].clone(), &places[0], handlers[0].clone());
    hub.join(names[1].clone(), &places[2], handlers[1].clone());
    assert!(port.connected().is_empty());
    sleep(20 * MS).await;
    assert_eq!(port.connected(), [names[1].clone()]);
    PeerPair {
        hub,
        names,
        handlers,
        port,
    }
}

fn call_for_rows(rows: usize) -> PeerCall {
    PeerCall {
        body: vec![0; rows].into(),
        time_left: LONG,
    }
}

/// Guards against answers that arrive without delay, or that are produced faster than they are
/// read.
#[tokio::test(start_paused = true)]
async fn answers_of_peers_are_pulled_with_a_window() {
    let PeerPair {
        names,
        handlers,
        port,
        ..
    } = peer_pair().await;
    let start = Instant::now();
    let mut stream = port.call(&names[1], call_for_rows(100)).await.unwrap();
    assert!(start.elapsed() >= 17 * MS);
    sleep(Duration::from_secs(1)).await;
    let pulled = *handlers[1].pulled.lock().unwrap();
    assert!(
        (16..=18).contains(&pulled),
        "{pulled} parts are on their way"
    );
    let mut parts = 0;
    while let Some(part) = stream.next_part().await {
        parts += 1;
        if part.is_end() {
            break;
        }
    }
    assert_eq!(parts, 101);
    for number in 0..10_u8 {
        port.send_control(&names[1], vec![number].into());
    }
    sleep(20 * MS).await;
    let control = handlers[1].control.lock().unwrap().concat();
    assert_eq!(control, (0..10).collect::<Vec<u8>>());
    // A dropped stream stops the handler.
    let stream = port.call(&names[1], call_for_rows(100)).await.unwrap();
    drop(stream);
    sleep(Duration::from_secs(1)).await;
    let pulled = *handlers[1].pulled.lock().unwrap();
    assert!(pulled < 101 + 50, "{pulled}");
}

/// Guards against calls that end without an error when the peer dies, and against links that are not
/// reported.
#[tokio::test(start_paused = true)]
async fn a_killed_peer_is_noticed_and_comes_back() {
    let PeerPair {
        hub,
        names,
        handlers,
        port,
    } = peer_pair().await;
    let mut stream = port.call(&names[1], call_for_rows(100)).await.unwrap();
    hub.kill(&names[1]);
    let pulled = *handlers[1].pulled.lock().unwrap();
    let mut last = stream.next_part().await;
    while let Some(part) = &last {
        assert!(!part.is_end());
        last = stream.next_part().await;
    }
    sleep(10 * MS).await;
    assert_eq!(
        *handlers[1].pulled.lock().unwrap(),
        pulled,
        "the dead do not work"
    );
    let gone = port.call(&names[1], call_for_rows(1)).await.map(|_| ());
    assert_eq!(gone, Err(PeerError::NotSent));
    let (_, places) = network();
    hub.join(names[1].clone(), &places[2], handlers[1].clone());
    sleep(20 * MS).await;
    assert!(port.call(&names[1], call_for_rows(1)).await.is_ok());
    let seen = handlers[0]
        .links
        .lock()
        .unwrap()
        .iter()
        .map(|(_, up)| *up)
        .collect::<Vec<_>>();
    assert_eq!(seen, [true, false, true]);
}

/// Guards against a cut that is noticed at once, never, or only at one end.
#[tokio::test(start_paused = true)]
async fn a_cut_between_peers_is_noticed_by_its_silence() {
    let PeerPair {
        hub,
        names,
        handlers,
        port,
    } = peer_pair().await;
    hub.cut(&names[0], &names[1], CutDirection::OneWay);
    let start = Instant::now();
    let short = PeerCall {
        time_left: 500 * MS,
        ..call_for_rows(1)
    };
    let late = port.call(&names[1], short).await.map(|_| ());
    assert_eq!(late, Err(PeerError::Timeout));
    let lost = port.call(&names[1], call_for_rows(1)).await.map(|_| ());
    assert_eq!(lost, Err(PeerError::LinkLost));
    assert!(start.elapsed() >= 2 * Duration::from_secs(1));
    assert!(start.elapsed() <= 3 * Duration::from_secs(1));
    let gone = port.call(&names[1], call_for_rows(1)).await.map(|_| ());
    assert_eq!(gone, Err(PeerError::NotSent));
    assert_eq!(*handlers[1].pulled.lock().unwrap(), 0);
    hub.heal(&names[0], &names[1], CutDirection::OneWay);
    sleep(1_020 * MS).await;
    assert!(port.call(&names[1], call_for_rows(1)).await.is_ok());
    for handler in &handlers {
        let links = handler.links.lock().unwrap();
        let seen: Vec<_> = links.iter().map(|(_, is_up)| *is_up).collect();
        assert_eq!(seen, [true, false, true]);
    }
}
