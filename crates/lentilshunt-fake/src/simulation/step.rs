//! Feeds events to strategies and executes their actions.

use std::{net::SocketAddr, time::Instant};

use lentilshunt_core::dissemination::{Action, Event};
use lentilshunt_schema::peer::Message;

use super::Simulation;

impl Simulation {
    /// Feeds an event to the strategy of a node and executes the resulting actions.
    ///
    /// `incoming` is the sender, the destination and the message of the request that
    /// carried the event; a message for the sender is delivered as its response.
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
        let started = Instant::now();
        let mut actions = strategy.handle(now, event);
        node.cpu_time += started.elapsed();
        let deadline = strategy.deadline();
        self.schedule_timer(index, deadline);
        if let Some((from, to, message)) = incoming {
            self.respond(index, from, to, message, &mut actions);
        }
        for action in actions {
            self.execute(index, action);
        }
    }

    pub(super) fn execute(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message, .. } => self.send_message(index, to, message),
            Action::Request(request) => self.send_platform_request(index, request),
            Action::Install { version, .. } => {
                let now = self.now;
                let node = &mut self.nodes[index];
                node.version = version;
                node.installed.push((now, version));
            }
            Action::ReportRefusal { version, .. } => self.nodes[index].refused.push(version),
            Action::Publish(view) => self.nodes[index].view = view,
        }
    }
}
