//! A small group in three data centres and short forms of the calls that tests make.

#![allow(dead_code)] // every test binary uses a part of it

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use heatherhollow_ports::AnswerEnd;
use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::CallStep;
use heatherhollow_ports::ConnectionPermit;
use heatherhollow_ports::TargetCall;
use heatherhollow_ports::TargetConnection;
use heatherhollow_ports::TargetError;
use heatherhollow_ports::TargetPort;
use heatherhollow_ports::TargetRole;
use heatherhollow_standin::DatabaseGroup;
use heatherhollow_standin::GroupFaults;
use heatherhollow_standin::GroupSettings;
use heatherhollow_standin::LinkRate;
use heatherhollow_standin::NetworkModel;
use heatherhollow_standin::NetworkSettings;
use heatherhollow_types::CandidateId;
use heatherhollow_types::DataCentre;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::Incarnation;
use heatherhollow_types::PermitNumber;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::TargetName;
use heatherhollow_types::TermNumber;

pub const MS: Duration = Duration::from_millis(1);

pub struct TestGroup {
    pub network: Arc<NetworkModel>,
    pub group: DatabaseGroup,
    pub faults: GroupFaults,
    pub places: Vec<DataCentre>,
}

/// Two data centres in one region and one in another: 1 ms, 2 ms and 8 ms of delay, 1 MB/s.
pub fn network() -> (Arc<NetworkModel>, Vec<DataCentre>) {
    let data_centres = [("near", "south"), ("next", "south"), ("far", "north")];
    let data_centres: Vec<(DataCentre, _)> = data_centres
        .iter()
        .map(|(place, region)| (place.parse().unwrap(), region.parse().unwrap()))
        .collect();
    let places = data_centres.iter().map(|(place, _)| place.clone());
    let places = places.collect();
    let network = NetworkModel::new(NetworkSettings {
        data_centres,
        delay_inside: MS,
        delay_between_data_centres: 2 * MS,
        delay_between_regions: 8 * MS,
        link_rate: LinkRate(1_000_000),
        ..NetworkSettings::default()
    });
    (Arc::new(network), places)
}

pub fn test_group(change: impl FnOnce(&mut GroupSettings)) -> TestGroup {
    let (network, places) = network();
    let mut settings = GroupSettings::spread("ledger", &places);
    change(&mut settings);
    let group = DatabaseGroup::new(settings, network.clone());
    TestGroup {
        faults: group.faults(),
        network,
        group,
        places,
    }
}

/// Runs a property under a paused clock.
pub fn run_paused<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(future)
}

pub fn target(index: usize) -> TargetName {
    format!("t{index}").parse().unwrap()
}

pub fn candidate(name: &str) -> CandidateId {
    CandidateId {
        instance: name.parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

pub fn permit(number: u16) -> ConnectionPermit {
    ConnectionPermit {
        service: "bookings".parse().unwrap(),
        number: PermitNumber(number),
        holder: "i0".parse().unwrap(),
    }
}

/// A call in its own transaction.
pub fn single(statement: &str) -> TargetCall {
    step(CallStep::Single, statement)
}

pub fn step(step: CallStep, statement: &str) -> TargetCall {
    TargetCall {
        statement: statement.to_string(),
        step,
        is_read_only: false,
        request: None,
        term: None,
    }
}

pub fn with_request(statement: &str, request: &str) -> TargetCall {
    TargetCall {
        request: Some(request.parse().unwrap()),
        ..single(statement)
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct WholeAnswer {
    pub head: GroupPosition,
    pub rows: Vec<String>,
    pub end: AnswerEnd,
}

impl WholeAnswer {
    pub fn is_done(&self) -> bool {
        self.end.outcome == RequestOutcome::Done
    }
}

/// Runs a call; one that hangs for longer than any test waits on purpose fails the test.
pub async fn call(
    connection: &mut Box<dyn TargetConnection>,
    call: TargetCall,
) -> Result<WholeAnswer, TargetError> {
    let answer = timeout(Duration::from_secs(120), whole_answer(connection, call));
    answer.await.expect("the call hangs")
}

async fn whole_answer(
    connection: &mut Box<dyn TargetConnection>,
    call: TargetCall,
) -> Result<WholeAnswer, TargetError> {
    connection.begin_call(call).await?;
    let AnswerPart::Head(head) = connection.next_part().await? else {
        panic!("an answer begins with its head");
    };
    let mut rows = Vec::new();
    loop {
        match connection.next_part().await? {
            AnswerPart::Head(_) => panic!("an answer has one head"),
            AnswerPart::Row(row) => rows.push(String::from_utf8(row.to_vec()).unwrap()),
            AnswerPart::End(end) => return Ok(WholeAnswer { head, rows, end }),
        }
    }
}

impl TestGroup {
    /// A target as it is seen from its own data centre.
    pub fn port(&self, index: usize) -> Arc<dyn TargetPort> {
        self.group.target(&target(index), &self.places[index])
    }

    pub async fn connect(
        &self,
        index: usize,
        number: u16,
    ) -> Result<Box<dyn TargetConnection>, TargetError> {
        self.port(index).connect(permit(number)).await
    }

    /// Runs one call on a connection of its own.
    pub async fn call(&self, index: usize, wanted: TargetCall) -> Result<WholeAnswer, TargetError> {
        let mut connection = self.connect(index, 900).await?;
        call(&mut connection, wanted).await
    }

    pub async fn rows(&self, index: usize, statement: &str) -> Vec<String> {
        self.call(index, single(statement)).await.unwrap().rows
    }

    /// Fences all targets and, after a majority of promises, promotes the one with the latest log
    /// and tells the others. Returns the new primary.
    pub async fn promote(&self, term: u64, candidate: &CandidateId) -> Option<usize> {
        let term = TermNumber(term);
        let limit = 100 * MS;
        let mut promised = Vec::new();
        for index in 0..3 {
            let port = self.port(index);
            let reply = timeout(limit, port.fence(term, candidate)).await;
            if let Ok(Ok(reply)) = reply
                && reply.is_accepted
            {
                promised.push((reply.status.end, index));
            }
        }
        let (_, chosen) = promised.iter().max().copied()?;
        if promised.len() < 2 {
            return None;
        }
        let port = self.port(chosen);
        let reply = timeout(limit, port.promote(term, candidate)).await;
        let status = reply.ok()?.ok()?;
        assert_eq!(status.role, TargetRole::Primary);
        for index in (0..3).filter(|index| *index != chosen) {
            // A target that cannot be reached follows later.
            let _ = timeout(limit, self.port(index).follow(term, &target(chosen))).await;
        }
        Some(chosen)
    }

    /// Cuts a target off from everything.
    pub fn cut_off(&self, index: usize, is_cut: bool) {
        let end = self.faults.link_end(&target(index));
        let both = heatherhollow_standin::CutDirection::Both;
        for place in &self.places {
            if is_cut {
                self.network.cut(&place.into(), &end, both);
            } else {
                self.network.heal(&place.into(), &end, both);
            }
        }
    }
}
