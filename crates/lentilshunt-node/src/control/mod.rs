//! Feeds the dissemination strategy and publishes its route tables.

mod ask;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    config::Snapshot,
    dissemination::{Action, Event, Strategy},
    id::VersionId,
    membership::View,
    routing::Table,
};
use lentilshunt_net::{
    history::event,
    platform::{self, Store},
};
use lentilshunt_schema::history::Kind;
use slog::{info, warn};
use tokio::sync::mpsc;

use self::ask::ask;
use crate::context::Context;

/// Time after the last announcement at which the upstream counts as silent.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(1200);

/// The control task of a node.
#[derive(Debug)]
pub struct Control {
    context: Arc<Context>,
    strategy: Box<dyn Strategy>,
    table: Arc<dyn platform::Table>,
    store: Arc<dyn Store>,
    events: mpsc::Sender<Event>,
    version: VersionId,
    snapshot: Arc<Snapshot>,
    view: Arc<View>,
    silent_at: Option<Instant>,
}

impl Control {
    /// Creates the control task; answers of the platform come back through `events`.
    #[must_use]
    pub fn new(
        context: Arc<Context>,
        strategy: Box<dyn Strategy>,
        table: Arc<dyn platform::Table>,
        store: Arc<dyn Store>,
        events: mpsc::Sender<Event>,
    ) -> Self {
        Self {
            context,
            strategy,
            table,
            store,
            events,
            version: 0,
            snapshot: Arc::default(),
            view: Arc::default(),
            silent_at: None,
        }
    }

    /// Handles events until every sender is gone.
    pub async fn run(mut self, mut received: mpsc::Receiver<Event>) {
        loop {
            let deadline = self.strategy.deadline();
            let due = self.silent_at.map_or(deadline, |at| at.min(deadline));
            let event = tokio::select! {
                event = received.recv() => match event {
                    Some(event) => event,
                    None => return,
                },
                () = tokio::time::sleep_until(due.into()) => self.due(),
            };
            let now = Instant::now();
            if matches!(event, Event::Announced(_)) {
                self.silent_at = Some(now + ANNOUNCEMENT_TIMEOUT);
            }
            for action in self.strategy.handle(now, event) {
                self.carry_out(action);
            }
        }
    }

    fn due(&mut self) -> Event {
        if self.silent_at.is_some_and(|at| at <= Instant::now()) {
            self.silent_at = None;
            return Event::Silent;
        }
        Event::Timer
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Ask(question) => {
                let table = Arc::clone(&self.table);
                let store = Arc::clone(&self.store);
                let events = self.events.clone();
                tokio::spawn(async move {
                    let answer = ask(&*table, &*store, question.clone()).await;
                    drop(events.send(Event::Platform { question, answer }).await);
                });
            }
            Action::Install { version, snapshot } => self.install(version, snapshot),
            Action::Refuse { version, reason } => {
                metrics::counter!("lentilshunt_versions_refused_total").increment(1);
                warn!(self.context.log, "version refused"; "version" => version, "reason" => reason);
                let mut event = event(Kind::RefusedVersion);
                event.version = Some(version);
                self.context.history.write(event);
            }
            Action::Publish(view) => {
                self.view = view;
                self.publish();
            }
        }
    }

    fn install(&mut self, version: VersionId, snapshot: Arc<Snapshot>) {
        self.version = version;
        self.snapshot = snapshot;
        self.publish();
        info!(self.context.log, "version in force"; "version" => version);
        let mut event = event(Kind::Installed);
        event.version = Some(version);
        event.digest = Some(self.snapshot.manifest().digest());
        self.context.history.write(event);
    }

    fn publish(&self) {
        let table = Table::new(
            self.version,
            &self.snapshot,
            &self.view,
            &self.context.place,
        );
        self.context.routes.store(Arc::new(table));
        self.context.members.store(Arc::clone(&self.view));
    }
}
