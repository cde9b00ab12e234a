//! Schedules and delivers events in the order of virtual time.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lentilshunt_core::dissemination::Event;
use lentilshunt_schema::peer::Message;

use super::{REQUEST_TIMEOUT, Simulation};
use crate::delivery::Delivery;

impl Simulation {
    pub(super) fn deliver(&mut self, delivery: Delivery) {
        let target = match &delivery {
            Delivery::Timer { node } | Delivery::Event { node, .. } => Some(*node),
            Delivery::Request { to, .. } => self.addresses.get(to).copied(),
            Delivery::PlatformRequest { .. } => None,
        };
        let paused = target.and_then(|target| self.nodes[target].deferred.as_mut());
        if let Some(held) = paused {
            match &delivery {
                Delivery::Timer { node } => self.nodes[*node].timer_at = None,
                Delivery::Request { from, to, message } => {
                    let (from, to, message) = (*from, *to, message.clone());
                    held.push(delivery);
                    self.report_unreachable(from, to, message, REQUEST_TIMEOUT);
                }
                _ => held.push(delivery),
            }
            return;
        }
        match delivery {
            Delivery::Timer { node } => self.fire_timer(node),
            Delivery::Request { from, to, message } => self.handle_request(from, to, message),
            Delivery::Event {
                node,
                incarnation,
                event,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.handle_event(node, event, None);
                }
            }
            Delivery::PlatformRequest {
                node,
                incarnation,
                request,
            } => self.handle_platform_request(node, incarnation, request),
        }
    }

    pub(super) fn fire_timer(&mut self, node: usize) {
        if self.nodes[node].timer_at != Some(self.now) {
            return;
        }
        self.nodes[node].timer_at = None;
        let Some(strategy) = &self.nodes[node].strategy else {
            return;
        };
        let deadline = strategy.deadline();
        if deadline <= self.now {
            self.handle_event(node, Event::Timer, None);
        } else {
            self.schedule_timer(node, deadline);
        }
    }

    pub(super) fn report_unreachable(
        &mut self,
        from: usize,
        to: SocketAddr,
        message: Box<Message>,
        after: Duration,
    ) {
        let incarnation = self.nodes[from].incarnation;
        let event = Event::Undelivered { to, message };
        self.schedule_event(after, from, incarnation, event);
    }

    pub(super) fn schedule_event(
        &mut self,
        after: Duration,
        node: usize,
        incarnation: u64,
        event: Event,
    ) {
        let delivery = Delivery::Event {
            node,
            incarnation,
            event,
        };
        self.schedule_after(after, delivery);
    }

    pub(super) fn schedule_after(&mut self, after: Duration, delivery: Delivery) {
        self.schedule_at(self.now + after, delivery);
    }

    pub(super) fn schedule_at(&mut self, at: Instant, delivery: Delivery) {
        self.last_delivery_id += 1;
        self.queue.insert((at, self.last_delivery_id), delivery);
    }

    pub(super) fn schedule_timer(&mut self, node: usize, deadline: Instant) {
        let at = deadline.max(self.now);
        if self.nodes[node].timer_at.is_some_and(|set| set <= at) {
            return;
        }
        self.nodes[node].timer_at = Some(at);
        self.schedule_at(at, Delivery::Timer { node });
    }
}
