//! Handles messages from other nodes, and messages to them that could not be delivered.

use std::{net::SocketAddr, time::Instant};

use lentilshunt_schema::peer::{Ack, Message, Payload};

use super::core::Hybrid;

impl Hybrid {
    pub(super) fn handle_message(&mut self, now: Instant, message: Message) {
        let Ok(from) = message.from.parse::<SocketAddr>() else {
            return;
        };
        if from == self.address {
            return;
        }
        self.member_list.record_message(now, from, message.version);
        self.record_startup_peer(now, from, message.version);
        self.complete_link_exchange(now, from);
        self.complete_probes(now, from);
        self.pull_newer(
            now,
            from,
            message.version,
            &message.digest,
            Self::push_origin(&message),
        );
        self.dispatch(now, from, message.payload);
        self.probe_unless_alive(from);
        self.sync_with_unknown_sender(now, from);
    }

    pub(super) fn handle_undelivered(&mut self, now: Instant, to: SocketAddr, message: &Message) {
        self.fail_link_exchange(now, to);
        match &message.payload {
            Payload::Probe(_) => self.handle_probe_undelivered(now, to),
            Payload::Push(push) => self.push_to_children_of_unreachable(to, push),
            Payload::Want(_) => self.handle_pull_undelivered(now, to),
            _ => {}
        }
    }

    fn dispatch(&mut self, now: Instant, from: SocketAddr, payload: Payload) {
        match payload {
            Payload::Probe(probe) => self.handle_probe(now, from, &probe),
            Payload::Seek(request) => self.handle_indirect_probe(now, from, &request),
            Payload::Found(ack) => self.handle_indirect_ack(&ack),
            Payload::Ack(Ack { entries }) => {
                for entry in entries {
                    self.merge_and_queue(now, entry);
                }
            }
            Payload::Push(push) => self.handle_push(now, from, &push),
            Payload::Sync(sync) => self.handle_sync(now, from, sync),
            Payload::Index(index) => self.handle_index(now, from, index),
            Payload::Delta(delta) => self.handle_delta(now, from, delta),
            Payload::Want(request) => self.handle_content_request(from, &request),
            Payload::Supply(response) => self.handle_content_response(now, from, response),
        }
    }
}
