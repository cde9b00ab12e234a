//! Requests between nodes and to the platform.

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
    REQUEST_TIMEOUT, Simulation,
    size::{encoded_size, link_class, message_size, response_size},
};
use crate::{Cut, Placement, delivery::Delivery};

impl Simulation {
    pub(super) fn handle_request(&mut self, from: usize, to: SocketAddr, message: Box<Message>) {
        let target = self.addresses.get(&to).copied();
        let Some(target) = target.filter(|target| self.nodes[*target].is_up()) else {
            // No process listens on the port, so the connection is reset.
            self.report_unreachable(from, to, message, Duration::ZERO);
            return;
        };
        let event = Event::Message(message.clone());
        self.handle_event(target, event, Some((from, to, message)));
    }

    pub(super) fn handle_platform_request(
        &mut self,
        node: usize,
        incarnation: u64,
        request: PlatformRequest,
    ) {
        match &request {
            PlatformRequest::Transact(_) => self.traffic.platform_writes += 1,
            _ => self.traffic.platform_reads += 1,
        }
        let response = self.platform.respond(&request);
        let size = response.as_ref().map_or(0, response_size);
        let locality = self.nodes[node].spec.locality.clone();
        let crosses_regions = self.is_other_region(&locality);
        self.traffic
            .add_platform(size + RESPONSE_OVERHEAD_BYTES, crosses_regions);
        if self.is_cut(None, Some(&locality)) {
            self.fail_platform_request(node, incarnation, request);
            return;
        }
        let latency = self.platform_latency(&locality);
        let event = Event::Platform { request, response };
        self.schedule_event(latency, node, incarnation, event);
    }

    pub(super) fn fail_platform_request(
        &mut self,
        node: usize,
        incarnation: u64,
        request: PlatformRequest,
    ) {
        let event = Event::Platform {
            request,
            response: None,
        };
        self.schedule_event(REQUEST_TIMEOUT, node, incarnation, event);
    }

    pub(super) fn respond(
        &mut self,
        index: usize,
        from: usize,
        to: SocketAddr,
        message: Box<Message>,
        actions: &mut Vec<Action>,
    ) {
        let sender = self.nodes[from].spec.address;
        let is_response =
            |action: &Action| matches!(action, Action::Send { to, .. } if *to == sender);
        let response = actions
            .iter()
            .position(is_response)
            .map(|position| actions.remove(position));
        let local = self.nodes[index].spec.locality.clone();
        let other = self.nodes[from].spec.locality.clone();
        if self.is_cut(Some(&local), Some(&other)) {
            self.report_unreachable(from, to, message, REQUEST_TIMEOUT);
            return;
        }
        let latency = self.latency(&local, &other);
        let link = link_class(&local, &other);
        let response = match response {
            Some(Action::Send { message, .. }) => Some(message),
            _ => None,
        };
        let size = response.as_ref().map_or(0, |message| message_size(message));
        self.traffic.add(link, size + RESPONSE_OVERHEAD_BYTES);
        self.traffic.messages += 1;
        if let Some(message) = response {
            let incarnation = self.nodes[from].incarnation;
            self.schedule_event(latency, from, incarnation, Event::Message(message));
        }
    }

    pub(super) fn send_message(&mut self, from: usize, to: SocketAddr, message: Box<Message>) {
        let local = self.nodes[from].spec.locality.clone();
        let target = self.addresses.get(&to).map(|index| &self.nodes[*index]);
        let Some(other) = target.map(|node| node.spec.locality.clone()) else {
            self.report_unreachable(from, to, message, Duration::ZERO);
            return;
        };
        let size = message_size(&message) + REQUEST_OVERHEAD_BYTES;
        self.traffic.add(link_class(&local, &other), size);
        self.traffic.messages += 1;
        if self.is_cut(Some(&local), Some(&other)) {
            self.report_unreachable(from, to, message, REQUEST_TIMEOUT);
            return;
        }
        if self.duplicate_probability > 0.0 && self.random.random_bool(self.duplicate_probability) {
            let latency = self.latency(&local, &other);
            let message = message.clone();
            self.schedule_after(latency, Delivery::Request { from, to, message });
        }
        let latency = self.latency(&local, &other);
        self.schedule_after(latency, Delivery::Request { from, to, message });
    }

    pub(super) fn send_platform_request(&mut self, node: usize, request: PlatformRequest) {
        let size = match &request {
            PlatformRequest::Transact(transaction) => encoded_size(transaction),
            _ => 0,
        };
        let incarnation = self.nodes[node].incarnation;
        let locality = self.nodes[node].spec.locality.clone();
        let crosses_regions = self.is_other_region(&locality);
        self.traffic
            .add_platform(size + REQUEST_OVERHEAD_BYTES, crosses_regions);
        if self.is_cut(Some(&locality), None) {
            self.fail_platform_request(node, incarnation, request);
            return;
        }
        let latency = self.platform_latency(&locality);
        let delivery = Delivery::PlatformRequest {
            node,
            incarnation,
            request,
        };
        self.schedule_after(latency, delivery);
    }

    pub(super) fn latency(&mut self, from: &Locality, to: &Locality) -> Duration {
        let latency = Placement::latency(from, to);
        if self.max_extra_delay.is_zero() {
            return latency;
        }
        latency
            + self
                .max_extra_delay
                .mul_f64(self.random.random_range(0.0..1.0))
    }

    /// Returns whether a locality is outside the region of the platform.
    pub(super) fn is_other_region(&self, locality: &Locality) -> bool {
        locality.region != self.nodes[0].spec.locality.region
    }

    /// Returns the latency to the platform, which is co-located with the first node.
    pub(super) fn platform_latency(&mut self, locality: &Locality) -> Duration {
        let platform = self.nodes[0].spec.locality.clone();
        self.latency(locality, &platform)
    }

    pub(super) fn is_cut(&self, from: Option<&Locality>, to: Option<&Locality>) -> bool {
        let matches_cut = |cut: &Cut| cut.from.contains(from) && cut.to.contains(to);
        self.cuts.iter().any(matches_cut)
    }
}
