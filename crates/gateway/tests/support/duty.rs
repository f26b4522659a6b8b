//! The promotion duty and promotion orders.

use std::time::Duration;

use heatherhollow_gateway::DutyRefusal;
use heatherhollow_gateway::DutyToken;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::OrderReply;

use super::ClusterSimulation;
use super::GROUP;
use super::SimEvent;

impl ClusterSimulation {
    /// Answers a request for the duty, which is granted if nobody holds it.
    pub(super) fn grant_duty(&mut self, instance: usize) {
        let is_free =
            self.options.shares_duty || self.duty.is_none_or(|(_, _, until)| self.now >= until);
        let token = is_free.then(|| {
            let number = if self.options.shares_duty {
                1
            } else {
                self.next_token
            };
            self.next_token += 1;
            let until = self.now + Duration::from_millis(2_500);
            self.duty = Some((instance, number, until));
            DutyToken {
                number,
                valid_until: self.now + Duration::from_millis(2_300),
            }
        });
        let answer = token.ok_or(DutyRefusal::Taken);
        self.schedule_delivery(instance, GatewayEvent::DutyAnswered(answer), 12);
    }

    pub(super) fn release_duty(&mut self, instance: usize) {
        if self.duty.is_some_and(|(holder, _, _)| holder == instance) {
            self.duty = None;
        }
    }

    /// Checks the token of a promotion order and schedules the promotion.
    pub(super) fn handle_promotion_order(
        &mut self,
        instance: usize,
        target: &str,
        token: DutyToken,
    ) {
        if self.now >= token.valid_until {
            self.violations
                .push("an order was sent under an expired duty".to_string());
        }
        let is_repeated = self.options.shares_duty && self.promotions > 0;
        if token.number < self.last_token || is_repeated {
            self.violations.push(format!(
                "token {} was used after a later holder",
                token.number
            ));
        }
        self.last_token = self.last_token.max(token.number);
        let i = self.targets.iter().position(|t| t.name == target).unwrap();
        let reply = if self.targets[i].is_alive {
            self.schedule(300, SimEvent::PromotionDone(i));
            OrderReply::Accepted
        } else {
            OrderReply::Rejected
        };
        let event = GatewayEvent::PromotionOrdered {
            group: GROUP.to_string(),
            reply,
        };
        self.schedule_delivery(instance, event, 4);
    }
}
