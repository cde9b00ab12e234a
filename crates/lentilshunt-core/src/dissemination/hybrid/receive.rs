//! Takes messages of other nodes, and those that came back undelivered.

use std::{net::SocketAddr, time::Instant};

use lentilshunt_schema::peer::{Ack, Message, Payload};

use super::core::Hybrid;

impl Hybrid {
    pub(super) fn received(&mut self, now: Instant, message: Message) {
        let Ok(from) = message.from.parse::<SocketAddr>() else {
            return;
        };
        if from == self.address {
            return;
        }
        self.member_list.record_message(now, from, message.version);
        self.start_heard(now, from, message.version);
        self.link_heard(now, from);
        self.probe_heard(now, from);
        self.pull_newer(
            now,
            from,
            message.version,
            &message.digest,
            Self::origin(&message),
        );
        self.take(now, from, message.payload);
        self.probe_doubted(from);
        self.sync_with_stranger(now, from);
    }

    pub(super) fn unreachable(&mut self, now: Instant, to: SocketAddr, message: &Message) {
        self.link_lost(now, to);
        match &message.payload {
            Payload::Probe(_) => self.probe_lost(now, to),
            Payload::Push(push) => self.push_around(to, push),
            Payload::Want(_) => self.pull_lost(now, to),
            _ => {}
        }
    }

    fn take(&mut self, now: Instant, from: SocketAddr, payload: Payload) {
        match payload {
            Payload::Probe(probe) => self.probed(now, from, &probe),
            Payload::Seek(seek) => self.sought(now, from, &seek),
            Payload::Found(found) => self.found(&found),
            Payload::Ack(Ack { entries }) => {
                for entry in entries {
                    self.learn_and_push(now, entry);
                }
            }
            Payload::Push(push) => self.pushed(now, from, &push),
            Payload::Sync(sync) => self.synced(now, from, sync),
            Payload::Index(index) => self.indexed(now, from, index),
            Payload::Delta(delta) => self.delta(now, from, delta),
            Payload::Want(want) => self.wanted(from, &want),
            Payload::Supply(supply) => self.supplied(now, from, supply),
        }
    }
}
