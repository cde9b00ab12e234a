//! Messages between nodes, and questions to the platform.

use std::{net::SocketAddr, time::Duration};

use lentilshunt_core::{
    dissemination::{
        Action, Event, PlatformRequest, REQUEST_OVERHEAD_BYTES, RESPONSE_OVERHEAD_BYTES,
    },
    routing::Locality,
};
use lentilshunt_schema::peer::Message;
use rand::RngExt;

use super::{
    Fleet, TIMEOUT,
    size::{answer_size, class, encoded_size, message_size},
};
use crate::{Cut, Layout, delivery::Delivery};

impl Fleet {
    pub(super) fn request(&mut self, from: usize, to: SocketAddr, message: Box<Message>) {
        let target = self.addresses.get(&to).copied();
        let Some(target) = target.filter(|target| self.nodes[*target].is_up()) else {
            // The instance answers with a reset.
            self.fail(from, to, message, Duration::ZERO);
            return;
        };
        let event = Event::Message(message.clone());
        self.handle(target, event, Some((from, to, message)));
    }

    pub(super) fn question(&mut self, node: usize, incarnation: u64, request: PlatformRequest) {
        match &request {
            PlatformRequest::Transact(_) => self.tally.writes += 1,
            _ => self.tally.reads += 1,
        }
        let response = self.platform.answer(&request);
        let size = response.as_ref().map_or(0, answer_size);
        let place = self.nodes[node].seat.place.clone();
        let far = self.is_far(&place);
        self.tally.add_platform(size + RESPONSE_OVERHEAD_BYTES, far);
        if self.is_cut(None, Some(&place)) {
            self.unanswered(node, incarnation, request);
            return;
        }
        let latency = self.platform_latency(&place);
        let event = Event::Platform { request, response };
        self.event_after(latency, node, incarnation, event);
    }

    pub(super) fn unanswered(&mut self, node: usize, incarnation: u64, request: PlatformRequest) {
        let event = Event::Platform {
            request,
            response: None,
        };
        self.event_after(TIMEOUT, node, incarnation, event);
    }

    pub(super) fn reply(
        &mut self,
        index: usize,
        from: usize,
        to: SocketAddr,
        message: Box<Message>,
        actions: &mut Vec<Action>,
    ) {
        let sender = self.nodes[from].seat.address;
        let is_reply = |action: &Action| matches!(action, Action::Send { to, .. } if *to == sender);
        let response = actions
            .iter()
            .position(is_reply)
            .map(|position| actions.remove(position));
        let own = self.nodes[index].seat.place.clone();
        let other = self.nodes[from].seat.place.clone();
        if self.is_cut(Some(&own), Some(&other)) {
            self.fail(from, to, message, TIMEOUT);
            return;
        }
        let latency = self.latency(&own, &other);
        let link = class(&own, &other);
        let response = match response {
            Some(Action::Send { message, .. }) => Some(message),
            _ => None,
        };
        let size = response.as_ref().map_or(0, |message| message_size(message));
        self.tally.add(link, size + RESPONSE_OVERHEAD_BYTES);
        self.tally.messages += 1;
        if let Some(message) = response {
            let incarnation = self.nodes[from].incarnation;
            self.event_after(latency, from, incarnation, Event::Message(message));
        }
    }

    pub(super) fn send(&mut self, from: usize, to: SocketAddr, message: Box<Message>) {
        let own = self.nodes[from].seat.place.clone();
        let target = self.addresses.get(&to).map(|index| &self.nodes[*index]);
        let Some(other) = target.map(|node| node.seat.place.clone()) else {
            self.fail(from, to, message, Duration::ZERO);
            return;
        };
        let size = message_size(&message) + REQUEST_OVERHEAD_BYTES;
        self.tally.add(class(&own, &other), size);
        self.tally.messages += 1;
        if self.is_cut(Some(&own), Some(&other)) {
            self.fail(from, to, message, TIMEOUT);
            return;
        }
        if self.duplicated > 0.0 && self.random.random_bool(self.duplicated) {
            let latency = self.latency(&own, &other);
            let message = message.clone();
            self.after(latency, Delivery::Request { from, to, message });
        }
        let latency = self.latency(&own, &other);
        self.after(latency, Delivery::Request { from, to, message });
    }

    pub(super) fn ask(&mut self, node: usize, request: PlatformRequest) {
        let size = match &request {
            PlatformRequest::Transact(transaction) => encoded_size(transaction),
            _ => 0,
        };
        let incarnation = self.nodes[node].incarnation;
        let place = self.nodes[node].seat.place.clone();
        let far = self.is_far(&place);
        self.tally.add_platform(size + REQUEST_OVERHEAD_BYTES, far);
        if self.is_cut(Some(&place), None) {
            self.unanswered(node, incarnation, request);
            return;
        }
        let latency = self.platform_latency(&place);
        let delivery = Delivery::Question {
            node,
            incarnation,
            request,
        };
        self.after(latency, delivery);
    }

    pub(super) fn latency(&mut self, from: &Locality, to: &Locality) -> Duration {
        let latency = Layout::latency(from, to);
        if self.delay.is_zero() {
            return latency;
        }
        latency + self.delay.mul_f64(self.random.random_range(0.0..1.0))
    }

    /// Returns whether a place is in another region than the platform.
    pub(super) fn is_far(&self, place: &Locality) -> bool {
        place.region != self.nodes[0].seat.place.region
    }

    /// Returns the latency to the platform, which stands in the region of the first node.
    pub(super) fn platform_latency(&mut self, place: &Locality) -> Duration {
        let platform = self.nodes[0].seat.place.clone();
        self.latency(place, &platform)
    }

    pub(super) fn is_cut(&self, from: Option<&Locality>, to: Option<&Locality>) -> bool {
        let is_hit = |cut: &Cut| cut.from.contains(from) && cut.to.contains(to);
        self.cuts.iter().any(is_hit)
    }
}
