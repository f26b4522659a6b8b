//! The engine as its peers and the runners of its groups see it.

use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

use heatherhollow_failover::rank_of;
use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::AnswerStream;
use heatherhollow_ports::PeerCall;
use heatherhollow_ports::PeerHandler;
use heatherhollow_types::DataCentre;
use heatherhollow_types::GroupName;
use heatherhollow_types::InstanceName;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::TargetIndex;

use crate::call::ForwardedCall;
use crate::engine::ProxyEngine;
use crate::execute::EndedStream;
use crate::group::GroupHost;
use crate::group::GroupNews;
use crate::news::NodeNews;

#[async_trait]
impl PeerHandler for ProxyEngine {
    async fn handle_call(&self, _from: &InstanceName, call: PeerCall) -> Box<dyn AnswerStream> {
        let Some(engine) = self.itself.upgrade() else {
            return EndedStream::refused(RefusalReason::Draining, Duration::ZERO);
        };
        let served = ServedCall::start(&engine);
        let stream = engine.serve_call(call).await;
        Box::new(ServedStream {
            stream,
            _served: served,
        })
    }

    fn handle_control(&self, from: &InstanceName, message: Bytes) {
        let Some(engine) = self.itself.upgrade() else {
            return;
        };
        match NodeNews::decode(&message) {
            Some(NodeNews::Announce(member, digest)) if member.instance == *from => {
                engine.keeper.take_digest(&engine, from, digest);
                let is_changed = self
                    .view
                    .write()
                    .expect("no holder of the view lock panics")
                    .announce(member);
                if is_changed {
                    engine.view_changed();
                }
            }
            Some(NodeNews::Group(group, news)) => engine.take_group_news(from, &group, &news),
            Some(NodeNews::AskPermit(key)) => {
                let actions = self.lock_permits().table.asked(from, &key);
                engine.apply_permit_actions(actions);
            }
            Some(NodeNews::GivePermit(key)) => {
                let actions = self.lock_permits().table.given_back(&key, self.clock.now());
                engine.apply_permit_actions(actions);
            }
            Some(NodeNews::Control(body)) => engine.keeper.take_message(&engine, from, &body),
            Some(NodeNews::Announce(..)) | None => {}
        }
    }

    fn handle_link_change(&self, peer: &InstanceName, is_up: bool) {
        let Some(engine) = self.itself.upgrade() else {
            return;
        };
        log::info!("peer_link_changed peer={peer} up={is_up}");
        if is_up {
            self.send(peer, &self.announcement());
            self.keeper.link_up(&engine, peer);
        }
        let is_changed = {
            let mut view = self
                .view
                .write()
                .expect("no holder of the view lock panics");
            view.set_connected(peer, is_up)
        };
        if is_changed {
            engine.view_changed();
        }
    }
}

impl ProxyEngine {
    async fn serve_call(self: &Arc<Self>, call: PeerCall) -> Box<dyn AnswerStream> {
        let now = self.clock.now();
        match ForwardedCall::decode(&call.body, now, now + call.time_left) {
            Ok(ForwardedCall::Service(call)) => self.coordinate(call).await,
            Ok(ForwardedCall::Execute(call)) => {
                let Some(table) = self.table() else {
                    let reason = RefusalReason::SettingsUnavailable;
                    return EndedStream::refused(reason, Duration::ZERO);
                };
                match table.service(&call.team, &call.service).cloned() {
                    Some(service) => self.execute_here(&service, call).await,
                    None => EndedStream::refused(RefusalReason::UnknownService, Duration::ZERO),
                }
            }
            Err(error) => {
                log::warn!("peer_call_malformed error=\"{error}\"");
                EndedStream::refused(RefusalReason::BadRequest, Duration::ZERO)
            }
        }
    }

    fn take_group_news(self: &Arc<Self>, from: &InstanceName, name: &GroupName, news: &GroupNews) {
        let groups = self
            .groups
            .lock()
            .expect("no holder of the group list panics");
        let found = groups.binary_search_by(|runner| runner.name().cmp(name));
        let Ok(i) = found else { return };
        let runner = groups[i].clone();
        drop(groups);
        let view = self.view();
        if let Some(member) = view.member(from) {
            runner.take_news(from, &member.data_centre, news);
        }
    }
}

/// Counts a peer's call as open work, so that a stop waits for its answer.
struct ServedCall(Arc<ProxyEngine>);

impl ServedCall {
    fn start(engine: &Arc<ProxyEngine>) -> Self {
        engine.served.fetch_add(1, Ordering::Relaxed);
        Self(engine.clone())
    }
}

impl Drop for ServedCall {
    fn drop(&mut self) {
        self.0.served.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The answer to a peer's call.
struct ServedStream {
    stream: Box<dyn AnswerStream>,
    _served: ServedCall,
}

#[async_trait]
impl AnswerStream for ServedStream {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        self.stream.next_part().await
    }
}

/// The engine as the runners of its groups see it; does not keep it alive.
pub(crate) struct EngineHost(pub(crate) Weak<ProxyEngine>);

impl EngineHost {
    fn observers(
        &self,
        engine: &ProxyEngine,
        group: &GroupName,
        centres: &[DataCentre],
    ) -> Vec<InstanceName> {
        let table = engine.table();
        let declared = table.as_ref().and_then(|table| table.group(group));
        declared.map_or_else(Vec::new, |declared| {
            engine
                .view()
                .observers(&declared.team, &declared.settings.name, centres)
        })
    }
}

impl GroupHost for EngineHost {
    fn observer_rank(&self, group: &GroupName, centres: &[DataCentre]) -> Option<usize> {
        let engine = self.0.upgrade()?;
        let observers = self.observers(&engine, group, centres);
        rank_of(group, &engine.own.instance, &observers)
    }

    fn tell_observers(&self, group: &GroupName, centres: &[DataCentre], news: GroupNews) {
        let Some(engine) = self.0.upgrade() else {
            return;
        };
        let news = NodeNews::Group(group.clone(), news);
        for observer in self.observers(&engine, group, centres) {
            if observer != engine.own.instance {
                engine.send(&observer, &news);
            }
        }
    }

    fn active_runs(&self) -> usize {
        self.0
            .upgrade()
            .map_or(0, |engine| engine.active_runs.load(Ordering::Relaxed))
    }

    fn run_started(&self) {
        if let Some(engine) = self.0.upgrade() {
            engine.active_runs.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn run_ended(&self) {
        if let Some(engine) = self.0.upgrade() {
            engine.active_runs.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn random(&self) -> u64 {
        self.0.upgrade().map_or(0, |engine| engine.random())
    }

    fn target_lost(&self, group: &GroupName, target: TargetIndex) {
        let Some(engine) = self.0.upgrade() else {
            return;
        };
        let Some(table) = engine.table() else { return };
        for service in table.services() {
            if service.group.full_name == *group
                && let Some(lane) = engine.find_lane(service, target)
            {
                lane.refuse_waiting(RefusalReason::Unreachable);
            }
        }
    }
}
