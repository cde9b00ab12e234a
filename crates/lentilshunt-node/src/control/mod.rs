//! Drives the dissemination strategy and publishes the resulting route tables.

mod exchange;
mod input;
mod query;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use lentilshunt_core::{
    config::Snapshot,
    dissemination::{Action, Event, LinkClass, Strategy},
    id::VersionId,
    membership::View,
    routing::Table as RouteTable,
};
use lentilshunt_net::{
    history::new_event,
    platform::{self, Store},
};
use lentilshunt_schema::history::Kind;
use slog::{info, warn};
use tokio::sync::{mpsc, oneshot};

pub use self::input::Input;
use self::{
    exchange::{count_response, encode, exchange},
    query::query_platform,
};
use crate::context::Context;

/// Time without an announcement after which the strategy receives an
/// [`AnnouncementTimeout`](Event::AnnouncementTimeout).
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(1200);

/// The control task of a node.
#[derive(Debug)]
pub struct Control {
    context: Arc<Context>,
    strategy: Box<dyn Strategy>,
    metadata_table: Arc<dyn platform::Table>,
    object_store: Arc<dyn Store>,
    events: mpsc::Sender<Input>,
    version: VersionId,
    snapshot: Arc<Snapshot>,
    view: Arc<View>,
    announcement_due_at: Option<Instant>,
}

impl Control {
    /// Creates the control task; responses of the platform arrive through `events`.
    #[must_use]
    pub fn new(
        context: Arc<Context>,
        strategy: Box<dyn Strategy>,
        metadata_table: Arc<dyn platform::Table>,
        object_store: Arc<dyn Store>,
        events: mpsc::Sender<Input>,
    ) -> Self {
        Self {
            context,
            strategy,
            metadata_table,
            object_store,
            events,
            version: 0,
            snapshot: Arc::default(),
            view: Arc::default(),
            announcement_due_at: None,
        }
    }

    /// Handles events until all senders are dropped.
    pub async fn run(mut self, mut events: mpsc::Receiver<Input>) {
        loop {
            let deadline = self.strategy.deadline();
            let wake_at = self
                .announcement_due_at
                .map_or(deadline, |at| at.min(deadline));
            let Input { event, responder } = tokio::select! {
                input = events.recv() => match input {
                    Some(input) => input,
                    None => return,
                },
                () = tokio::time::sleep_until(wake_at.into()) => self.timer_event().into(),
            };
            let now = Instant::now();
            if matches!(event, Event::Announced(_)) {
                self.announcement_due_at = Some(now + ANNOUNCEMENT_TIMEOUT);
            }
            let sender = sender_address(&event);
            let mut actions = self.strategy.handle(now, event);
            if let Some(responder) = responder {
                respond(responder, sender.as_deref(), &mut actions);
            }
            for action in actions {
                self.execute(action);
            }
        }
    }

    fn timer_event(&mut self) -> Event {
        if self
            .announcement_due_at
            .is_some_and(|at| at <= Instant::now())
        {
            self.announcement_due_at = None;
            return Event::AnnouncementTimeout;
        }
        Event::Timer
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Request(request) => {
                let metadata_table = Arc::clone(&self.metadata_table);
                let object_store = Arc::clone(&self.object_store);
                let events = self.events.clone();
                tokio::spawn(async move {
                    let response =
                        query_platform(&*metadata_table, &*object_store, request.clone()).await;
                    let event = Event::Platform { request, response };
                    drop(events.send(event.into()).await);
                });
            }
            Action::Install { version, snapshot } => self.install(version, snapshot),
            Action::ReportRefusal { version, reason } => {
                metrics::counter!("lentilshunt_versions_refused_total").increment(1);
                warn!(self.context.log, "version refused"; "version" => version, "reason" => reason);
                let mut event = new_event(Kind::RefusedVersion);
                event.version = Some(version);
                self.context.history.write(event);
            }
            Action::Publish(view) => {
                self.view = view;
                self.publish();
            }
            Action::Send {
                to,
                message,
                link_class,
            } => {
                let pool = Arc::clone(&self.context.pool);
                let events = self.events.clone();
                tokio::spawn(async move {
                    if let Some(event) = exchange(pool, to, message, link_class).await {
                        drop(events.send(event.into()).await);
                    }
                });
            }
        }
    }

    fn install(&mut self, version: VersionId, snapshot: Arc<Snapshot>) {
        self.version = version;
        self.snapshot = snapshot;
        self.publish();
        metrics::gauge!("lentilshunt_version_in_force").set(as_gauge(version));
        info!(self.context.log, "version in force"; "version" => version);
        let mut event = new_event(Kind::Installed);
        event.version = Some(version);
        event.digest = Some(self.snapshot.manifest().digest());
        self.context.history.write(event);
    }

    fn publish(&self) {
        let table = RouteTable::new(
            self.version,
            &self.snapshot,
            &self.view,
            &self.context.locality,
        );
        self.context.route_table.store(Arc::new(table));
        self.context.view.store(Arc::clone(&self.view));
    }
}

#[allow(clippy::cast_precision_loss, reason = "versions stay far below 2^52")]
fn as_gauge(version: VersionId) -> f64 {
    version as f64
}

/// Returns the address that a message specifies as its sender.
fn sender_address(event: &Event) -> Option<String> {
    match event {
        Event::Message(message) => Some(message.from.clone()),
        _ => None,
    }
}

/// Responds to a message with the first action that sends to its sender, or with an empty body.
fn respond(responder: oneshot::Sender<Bytes>, sender: Option<&str>, actions: &mut Vec<Action>) {
    let is_response = |action: &Action| match action {
        Action::Send { to, .. } => Some(to.to_string().as_str()) == sender,
        _ => false,
    };
    let (body, link_class) = match actions.iter().position(is_response) {
        Some(index) => match actions.remove(index) {
            Action::Send {
                message,
                link_class,
                ..
            } => (encode(&message), link_class),
            _ => (Bytes::new(), LinkClass::Unknown),
        },
        None => (Bytes::new(), LinkClass::Unknown),
    };
    count_response(link_class, &body);
    // The other end is closed when the sender of the message no longer waits.
    drop(responder.send(body));
}
