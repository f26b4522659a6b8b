//! What goes between data centres, and the exchange of full records.
//!
//! A relay probes one other data centre of its region a second, in turn. For each pair of regions one
//! relay of each keeps the link between them; the region with the lower name starts the exchanges. A
//! second relay, in another data centre, uses the link now and then in case the first is cut off.

use heatherhollow_types::DataCentre;
use heatherhollow_types::InstanceName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::mix_bits;
use heatherhollow_types::stable_hash;

use crate::member::BULK_CHANGES;
use crate::member::MemberRecord;
use crate::member::MemberState;
use crate::member::MergeEffect;
use crate::message::CentreDigest;
use crate::message::ControlBody;
use crate::message::ControlSend;
use crate::message::MAX_RECORDS;
use crate::message::MemberDigests;
use crate::message::MemberRecords;
use crate::message::RecordForm;
use crate::probe::MemberProber;
use crate::probe::shuffle;
use crate::rank::centre_relays;
use crate::rank::link_ends;
use crate::settings::TopologySettings;

/// Unanswered exchanges after which a relay tries another partner.
const MISSED_EXCHANGES: u32 = 3;

/// Members that an instance offers its digests to after it has learned many changes at once.
const BULK_OFFERS: usize = 2;

/// The relay in reserve uses its link once in so many periods.
const RESERVE_PERIODS: u64 = 30;

/// A relay's exchange with another data centre or region.
#[derive(Debug, Clone)]
pub(crate) struct RelayExchange {
    pub(crate) place: String,
    pub(crate) sequence: u32,
    pub(crate) missed: u32,
}

impl MemberProber {
    /// The exchanges of a relay: one data centre of the region in turn, and the links to other regions.
    pub(crate) fn start_exchanges(
        &mut self,
        topology: &TopologySettings,
        now: MonoTime,
        random: u64,
        sends: &mut Vec<ControlSend>,
    ) {
        let own = self.table.own().name.clone();
        let centre = self.own_centre();
        if !centre_relays(&self.view, &centre)
            .iter()
            .any(|m| m.name == own)
        {
            self.exchanges.clear();
            return;
        }
        self.table.raise_beat(now);
        for (place, member) in self.exchange_partners(topology, &centre, &own, random) {
            let sequence = self.next_sequence();
            self.exchange_at(&place).sequence = sequence;
            sends.push(self.send_probe(&member, sequence, false));
        }
    }

    fn exchange_partners(
        &mut self,
        topology: &TopologySettings,
        centre: &DataCentre,
        own: &InstanceName,
        random: u64,
    ) -> Vec<(String, InstanceName)> {
        let mut partners = Vec::new();
        let Some(region) = topology.region_of(centre) else {
            return partners;
        };
        let others: Vec<_> = region
            .data_centres
            .iter()
            .filter(|c| *c != centre)
            .collect();
        if let Some(count) = u64::try_from(others.len()).ok().filter(|count| *count > 0) {
            let turn = usize::try_from(self.periods % count).unwrap_or(0);
            let place = others[turn];
            let missed = self.note_exchange(place.as_str());
            let relays = centre_relays(&self.view, place);
            let half = usize::try_from(self.periods / count).unwrap_or(0);
            let relay = relays
                .get(half % relays.len().max(1))
                .map(|m| m.name.clone());
            // Relays that do not answer may be gone with nobody left to say so.
            let any = || self.pick_known(std::slice::from_ref(place), random);
            let chosen = relay.filter(|_| missed < MISSED_EXCHANGES).or_else(any);
            partners.extend(chosen.map(|name| (place.to_string(), name)));
        }
        for other in topology
            .regions
            .iter()
            .filter(|other| other.name > region.name)
        {
            let ends = link_ends(&self.view, topology, &region.name, &other.name);
            let rank = ends.iter().position(|(_, member)| &member.name == own);
            let is_turn = match rank {
                Some(0) => true,
                Some(1) => self.periods.is_multiple_of(RESERVE_PERIODS),
                _ => false,
            };
            if !is_turn {
                continue;
            }
            let missed = self.note_exchange(other.name.as_str());
            let ends = link_ends(&self.view, topology, &other.name, &region.name);
            let turn = usize::try_from(missed / MISSED_EXCHANGES).unwrap_or(0);
            let end = ends.get(turn).map(|(_, m)| m.name.clone());
            let chosen = end.or_else(|| self.pick_known(&other.data_centres, random));
            partners.extend(chosen.map(|name| (other.name.to_string(), name)));
        }
        partners
    }

    /// Any member of some data centres, even one that is said to be gone: after a partition inside
    /// them each half has called the other gone, and both rumours may have come here.
    fn pick_known(&self, centres: &[DataCentre], random: u64) -> Option<InstanceName> {
        let count = u64::try_from(centres.len())
            .ok()
            .filter(|count| *count > 0)?;
        let first = usize::try_from(mix_bits(!random) % count).ok()?;
        let (before, after) = centres.split_at(first);
        let pick =
            |centre, is_wanted: fn(MemberState) -> bool| self.pick(centre, random, is_wanted);
        let mut order = after.iter().chain(before);
        order
            .clone()
            .find_map(|centre| pick(centre, |state| state != MemberState::Gone))
            .or_else(|| order.find_map(|centre| pick(centre, |_| true)))
    }

    /// Counts an exchange as missed until its answer arrives; returns those missed in a row before.
    fn note_exchange(&mut self, place: &str) -> u32 {
        let exchange = self.exchange_at(place);
        let missed = exchange.missed;
        exchange.missed = missed.wrapping_add(1);
        missed
    }

    fn exchange_at(&mut self, place: &str) -> &mut RelayExchange {
        let found = self.exchanges.iter().position(|e| e.place == place);
        let at = found.unwrap_or_else(|| {
            self.exchanges.push(RelayExchange {
                place: place.to_string(),
                sequence: 0,
                missed: 0,
            });
            self.exchanges.len() - 1
        });
        &mut self.exchanges[at]
    }

    pub(crate) fn digests_body(&self) -> ControlBody {
        let centres = self.table.centre_digests().into_iter();
        let form = |(centre, digest): (DataCentre, u64)| CentreDigest {
            centre: centre.to_string(),
            digest,
        };
        ControlBody::MemberDigests(MemberDigests {
            centres: centres.map(form).collect(),
        })
    }

    /// Answers digests with the records of the data centres that differ, and asks for the other's.
    pub(crate) fn on_digests(
        &mut self,
        from: &InstanceName,
        list: &MemberDigests,
    ) -> Vec<ControlSend> {
        let mut differing: Vec<String> = Vec::new();
        let own = self.table.centre_digests();
        for (centre, digest) in &own {
            let other = list.centres.iter().find(|c| c.centre == centre.as_str());
            if other.is_none_or(|other| other.digest != *digest) {
                differing.push(centre.to_string());
            }
        }
        for other in &list.centres {
            if !own
                .iter()
                .any(|(centre, _)| centre.as_str() == other.centre)
            {
                differing.push(other.centre.clone());
            }
        }
        differing.truncate(MAX_RECORDS);
        if differing.is_empty() {
            return Vec::new();
        }
        self.records_messages(from, &differing, differing.clone())
    }

    pub(crate) fn on_records(
        &mut self,
        from: &InstanceName,
        list: &MemberRecords,
        now: MonoTime,
    ) -> Vec<ControlSend> {
        let forms = list.records.iter().cloned();
        let records = forms.filter_map(|form| MemberRecord::try_from(form).ok());
        let (changed, effect) = self.table.merge_bulk(records, now);
        if effect == MergeEffect::Replaced {
            self.is_replaced = true;
        }
        let mut sends = Vec::new();
        if changed > BULK_CHANGES {
            sends.extend(self.offer_digests(from));
        }
        if !list.wanted.is_empty() {
            sends.extend(self.records_messages(from, &list.wanted, Vec::new()));
        }
        sends
    }

    /// Offers digests to members of the own data centre, which passes many changes on at once.
    fn offer_digests(&self, from: &InstanceName) -> Vec<ControlSend> {
        let own = self.table.own();
        let members = self.table.centre_entries(&own.centre).iter();
        let near = members.map(|entry| &entry.record).filter(|record| {
            record.state != MemberState::Gone && record.name != own.name && &record.name != from
        });
        let mut names: Vec<_> = near.map(|record| &record.name).collect();
        let seed = stable_hash(&[own.name.as_str()]) ^ self.table.digest();
        shuffle(&mut names, seed);
        let chosen = names.into_iter().take(BULK_OFFERS);
        chosen
            .map(|name| ControlSend::new(name, self.digests_body()))
            .collect()
    }

    /// Records of data centres in as many messages as they need; the first one carries `wanted`.
    fn records_messages(
        &self,
        to: &InstanceName,
        centres: &[String],
        mut wanted: Vec<String>,
    ) -> Vec<ControlSend> {
        let own_centre = &self.table.own().centre;
        let mut forms: Vec<RecordForm> = Vec::new();
        for centre in centres {
            let Ok(centre) = centre.parse::<DataCentre>() else {
                continue;
            };
            let records = self.table.centre_entries(&centre).iter().map(|e| &e.record);
            forms.extend(records.map(|record| {
                let is_local = record.state == MemberState::Suspected && &centre == own_centre;
                let state = if is_local {
                    MemberState::Live
                } else {
                    record.state
                };
                RecordForm::from(&MemberRecord {
                    state,
                    ..record.clone()
                })
            }));
        }
        let mut sends = Vec::new();
        let mut chunks: Vec<_> = forms.chunks(MAX_RECORDS).map(<[_]>::to_vec).collect();
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        for records in chunks {
            let list = MemberRecords {
                records,
                wanted: std::mem::take(&mut wanted),
            };
            sends.push(ControlSend::new(to, ControlBody::MemberRecords(list)));
        }
        sends
    }
}
