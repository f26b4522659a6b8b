//! Links between instances: forwarded statements and their answers.

use std::time::Duration;

use heatherhollow_gateway::ClientAnswer;
use heatherhollow_gateway::ClientId;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::HomeMessage;

use super::World;
use super::listing::peer;

/// Clients from here on stand for forwarded sessions.
pub const SHADOW_BASE: u64 = 1_000;

/// Distance between the clients that stand for the same session on successive links.
pub const SHADOW_LINK: u64 = 1_000_000;

fn number_of(home: &str) -> usize {
    let number = home.trim_start_matches("instance-");
    number.parse().unwrap()
}

impl World {
    /// Whether a link to an instance is cut, or that is frozen for long.
    fn is_silent(&self, instance: usize, to: usize) -> bool {
        let is_frozen = self.frozen_until[to].since(self.now) > Duration::from_millis(900);
        self.is_cut(instance, to) || is_frozen
    }

    /// Asks a home whether it answers.
    pub(super) fn ask_home(&mut self, instance: usize, home: String) {
        if self.options.is_exact {
            if self.reaches_home(instance, number_of(&home)) {
                self.tell(instance, GatewayEvent::HomeReached(home), 2);
            }
            return;
        }
        if self.is_silent(instance, number_of(&home)) {
            let was_open = false;
            self.tell(instance, GatewayEvent::HomeLost { home, was_open }, 400);
        } else {
            self.tell(instance, GatewayEvent::HomeReached(home), 2);
        }
    }

    /// Whether a message gets through between an instance and a home. If not, their link ends, and messages
    /// are lost until the instance has heard of it.
    fn reaches_home(&mut self, instance: usize, to: usize) -> bool {
        let link = (instance, to);
        if self.broken_links.contains(&link) {
            return false;
        }
        if !self.is_silent(instance, to) {
            self.open_links.insert(link);
            return true;
        }
        let was_open = self.open_links.remove(&link);
        self.broken_links.insert(link);
        let home = peer(to).instance;
        let delay = if was_open { 900 } else { 400 };
        self.tell(instance, GatewayEvent::HomeLost { home, was_open }, delay);
        self.end_link(link);
        false
    }

    /// The instance of a link that has ended hears of it; the next message goes over a new one.
    pub(super) fn renew_link(&mut self, instance: usize, home: &str) {
        let link = (instance, number_of(home));
        if self.broken_links.remove(&link) {
            *self.link_numbers.entry(link).or_insert(0) += 1;
        }
    }

    /// The home of a link that has ended ends its sessions.
    fn end_link(&mut self, link: (usize, usize)) {
        let ended = self.link_numbers.get(&link).copied().unwrap_or(0);
        let shadows = self
            .serials
            .keys()
            .filter(|(known, number, _)| *known == link && *number == ended)
            .map(|(_, _, shadow)| *shadow)
            .collect::<Vec<_>>();
        for shadow in shadows {
            self.tell(link.1, GatewayEvent::ClientClosed(shadow), 1_000);
        }
    }

    /// Delivers a message to a home; the link breaks if it is cut or the home is frozen for long.
    pub(super) fn send_home(
        &mut self,
        instance: usize,
        home: &str,
        client: ClientId,
        message: HomeMessage,
    ) {
        let to = number_of(home);
        let link = (instance, to);
        if self.options.is_exact {
            if !self.reaches_home(instance, to) {
                return;
            }
        } else if self.is_silent(instance, to) {
            let lost = GatewayEvent::HomeLost {
                home: home.to_string(),
                was_open: true,
            };
            self.tell(instance, lost, 900);
            self.end_link(link);
            *self.link_numbers.entry(link).or_insert(0) += 1;
            return;
        }
        let number = self.link_numbers.get(&link).copied().unwrap_or(0);
        let base = SHADOW_BASE * (instance as u64 + 1);
        let shadow = ClientId(base + client.0 + number * SHADOW_LINK);
        if let HomeMessage::Query(_) = &message {
            self.serials.entry((link, number, shadow)).or_insert(0);
        }
        let event = match message {
            HomeMessage::Query(query) => GatewayEvent::Forwarded {
                client: shadow,
                query,
            },
            HomeMessage::Rollback => GatewayEvent::ForwardedRollback(shadow),
            HomeMessage::End => GatewayEvent::ClientClosed(shadow),
        };
        self.tell(to, event, 1);
    }

    pub(super) fn answer_forwarded(&mut self, home: usize, shadow: ClientId, answer: ClientAnswer) {
        let instance = ((shadow.0 % SHADOW_LINK) / SHADOW_BASE) as usize - 1;
        let link = (instance, home);
        let number = shadow.0 / SHADOW_LINK;
        let present = self.link_numbers.get(&link).copied().unwrap_or(0);
        if self.options.is_exact && number == present && !self.reaches_home(instance, home) {
            return;
        }
        let serial = self.serials.get(&(link, number, shadow)).copied();
        let Some(serial) = serial.filter(|_| number == present && !self.is_cut(instance, home))
        else {
            return;
        };
        let event = GatewayEvent::HomeAnswered {
            client: ClientId(shadow.0 % SHADOW_BASE),
            serial,
            answer,
        };
        self.tell(instance, event, 1);
    }
}
