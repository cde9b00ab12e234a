//! Deliveries in the order of virtual time.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lentilshunt_core::dissemination::Event;
use lentilshunt_schema::peer::Message;

use super::{Fleet, TIMEOUT};
use crate::delivery::Delivery;

impl Fleet {
    pub(super) fn deliver(&mut self, delivery: Delivery) {
        let target = match &delivery {
            Delivery::Timer { node } | Delivery::Event { node, .. } => Some(*node),
            Delivery::Request { to, .. } => self.addresses.get(to).copied(),
            Delivery::Question { .. } => None,
        };
        let paused = target.and_then(|target| self.nodes[target].paused.as_mut());
        if let Some(held) = paused {
            match &delivery {
                Delivery::Timer { node } => self.nodes[*node].timer_at = None,
                Delivery::Request { from, to, message } => {
                    let (from, to, message) = (*from, *to, message.clone());
                    held.push(delivery);
                    self.fail(from, to, message, TIMEOUT);
                }
                _ => held.push(delivery),
            }
            return;
        }
        match delivery {
            Delivery::Timer { node } => self.timer(node),
            Delivery::Request { from, to, message } => self.request(from, to, message),
            Delivery::Event {
                node,
                incarnation,
                event,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.handle(node, event, None);
                }
            }
            Delivery::Question {
                node,
                incarnation,
                request,
            } => self.question(node, incarnation, request),
        }
    }

    pub(super) fn timer(&mut self, node: usize) {
        if self.nodes[node].timer_at != Some(self.now) {
            return;
        }
        self.nodes[node].timer_at = None;
        let Some(strategy) = &self.nodes[node].strategy else {
            return;
        };
        let deadline = strategy.deadline();
        if deadline <= self.now {
            self.handle(node, Event::Timer, None);
        } else {
            self.schedule_timer(node, deadline);
        }
    }

    pub(super) fn fail(
        &mut self,
        from: usize,
        to: SocketAddr,
        message: Box<Message>,
        after: Duration,
    ) {
        let incarnation = self.nodes[from].incarnation;
        let event = Event::Unreachable { to, message };
        self.event_after(after, from, incarnation, event);
    }

    pub(super) fn event_after(
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
        self.after(after, delivery);
    }

    pub(super) fn after(&mut self, after: Duration, delivery: Delivery) {
        self.at(self.now + after, delivery);
    }

    pub(super) fn at(&mut self, at: Instant, delivery: Delivery) {
        self.queued += 1;
        self.queue.insert((at, self.queued), delivery);
    }

    pub(super) fn schedule_timer(&mut self, node: usize, deadline: Instant) {
        let at = deadline.max(self.now);
        if self.nodes[node].timer_at.is_some_and(|set| set <= at) {
            return;
        }
        self.nodes[node].timer_at = Some(at);
        self.at(at, Delivery::Timer { node });
    }
}
