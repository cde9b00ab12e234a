//! Steps of one node.

use std::{net::SocketAddr, time::Instant};

use lentilshunt_core::dissemination::{Action, Event};
use lentilshunt_schema::peer::Message;

use super::Simulation;

impl Simulation {
    /// Feeds an event to a strategy and carries out what follows.
    ///
    /// `incoming` names the request that the event came by, for its answer.
    pub(super) fn handle_event(
        &mut self,
        index: usize,
        event: Event,
        incoming: Option<(usize, SocketAddr, Box<Message>)>,
    ) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(strategy) = &mut node.strategy else {
            return;
        };
        let begun = Instant::now();
        let mut actions = strategy.handle(now, event);
        node.cpu_time += begun.elapsed();
        let deadline = strategy.deadline();
        self.schedule_timer(index, deadline);
        if let Some((from, to, message)) = incoming {
            self.respond(index, from, to, message, &mut actions);
        }
        for action in actions {
            self.carry_out(index, action);
        }
    }

    pub(super) fn carry_out(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message, .. } => self.send_message(index, to, message),
            Action::Request(request) => self.send_platform_request(index, request),
            Action::Install { version, .. } => {
                let now = self.now;
                let node = &mut self.nodes[index];
                node.version = version;
                node.installed.push((now, version));
            }
            Action::Refuse { version, .. } => self.nodes[index].refused.push(version),
            Action::Publish(view) => self.nodes[index].view = view,
        }
    }
}
