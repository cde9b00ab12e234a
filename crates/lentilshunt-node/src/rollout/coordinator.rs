//! Settles the reports of all nodes and writes the outcome.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Instant,
};

use bytes::Bytes;
use lentilshunt_core::{
    encoding,
    id::ServiceId,
    rollout::{Mode, Outcome, Report, Trial},
};
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use super::Settings;
use crate::{
    executor::lock,
    fleet::{Codec, Error, TableStore},
    relay::Shared,
};

/// What the coordinator replies to a report.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reply {
    /// Plan to be applied.
    pub mode: Mode,
    /// Outcome as written in the store.
    pub outcome: Outcome,
    /// Age of the order in milliseconds.
    pub age_ms: u64,
}

/// Settles the reports of all nodes and writes the outcome.
#[derive(Debug)]
pub struct Coordinator {
    shared: Arc<Shared>,
    codec: Arc<dyn Codec>,
    settings: Settings,
    trials: Mutex<BTreeMap<ServiceId, Case>>,
}

/// A trial and what is written of it.
#[derive(Debug)]
struct Case {
    trial: Trial,
    /// Outcome in the store; `None` if it is not known.
    written: Option<Outcome>,
}

impl Coordinator {
    /// Path of reports.
    pub const PATH: &str = "/.lentilshunt/rollout";
    /// Maximum size of a report or a reply, in bytes.
    pub const MAX_BYTES: usize = 64 * 1024;

    /// Creates a coordinator without trials.
    #[must_use]
    pub fn new(shared: Arc<Shared>, codec: Arc<dyn Codec>, settings: Settings) -> Self {
        Self {
            shared,
            codec,
            settings,
            trials: Mutex::default(),
        }
    }

    /// Adds the report of a node and returns the plan, or `None` while the order is not known here.
    pub fn settle(&self, report: Report) -> Option<Reply> {
        let now = Instant::now();
        let (order, seen_at) = self.shared.rollouts.order(&report.service)?;
        if order.version != report.version {
            return None;
        }
        let mut trials = lock(&self.trials);
        let is_other = |case: &Case| case.trial.order() != &order;
        if trials.get(&report.service).is_none_or(is_other) {
            let share = self.settings.allowed_share;
            let trial = Trial::new(order, share, seen_at);
            let case = Case {
                trial,
                written: None,
            };
            trials.insert(report.service.clone(), case);
        }
        let case = trials.get_mut(&report.service)?;
        let before = case.trial.mode();
        case.trial.settle(report, now);
        let Case { trial, written } = &*case;
        if trial.mode() != before {
            metrics::counter!("lentilshunt_rollout_decisions_total").increment(1);
            info!(self.shared.log, "plan of a roll-out changed"; "service" => &trial.order().service,
                "version" => &trial.order().version, "plan" => ?trial.mode(),
                "before" => ?before, "fault" => trial.fault());
        }
        Some(Reply {
            mode: trial.mode(),
            outcome: written.unwrap_or(Outcome::Active),
            age_ms: u64::try_from(trial.age(now).as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Settles an encoded report; returns `None` if it cannot be decoded or its order is not known.
    #[must_use]
    pub fn settle_encoded(&self, report: &Bytes) -> Option<Vec<u8>> {
        match encoding::decode(report) {
            Ok(report) => rmp_serde::to_vec(&self.settle(report)?).ok(),
            Err(error) => {
                info!(self.shared.log, "report on a roll-out cannot be decoded"; "error" => %error);
                None
            }
        }
    }

    /// Writes the outcomes that are decided and not written.
    ///
    /// A write that fails is repeated by the next call.
    pub async fn write_outcomes(&self, store: &dyn TableStore) {
        let unwritten: Vec<_> = {
            let trials = lock(&self.trials);
            let cases = trials.values();
            let cases = cases.filter(|case| case.written != Some(case.trial.outcome()));
            cases.map(|case| case.trial.clone()).collect()
        };
        for trial in unwritten {
            match self.write_outcome(store, &trial).await {
                Ok(outcome) => self.record_written(&trial, outcome),
                Err(error) => {
                    warn!(self.shared.log, "outcome of a roll-out not written";
                        "service" => &trial.order().service, "error" => %error);
                }
            }
        }
    }

    /// Writes the outcome of a trial unless its end is written already, and returns what is
    /// written.
    async fn write_outcome(&self, store: &dyn TableStore, trial: &Trial) -> Result<Outcome, Error> {
        let Settings {
            key_prefix,
            status_table,
            ..
        } = &self.settings;
        let order = trial.order();
        let key = format!("{key_prefix}{}", order.service);
        let row = store.read_row(status_table, &key).await?;
        let known = row
            .as_ref()
            .and_then(|row| self.codec.decode_outcome(&row.value));
        if let Some((version, outcome)) = known
            && version == order.version
            && (outcome != Outcome::Active || trial.outcome() == Outcome::Active)
        {
            return Ok(outcome);
        }
        let revision = row.map_or(0, |row| row.revision);
        let value = self.codec.encode_outcome(&order.version, trial.outcome());
        store
            .write_row_if(status_table, &key, revision, value)
            .await?;
        Ok(trial.outcome())
    }

    fn record_written(&self, trial: &Trial, outcome: Outcome) {
        let order = trial.order();
        let mut trials = lock(&self.trials);
        let case = trials.get_mut(&order.service);
        let Some(case) = case.filter(|case| case.trial.order() == order) else {
            return;
        };
        case.written = Some(outcome);
        if outcome != Outcome::Active {
            case.trial.adopt(outcome);
        }
        info!(self.shared.log, "outcome of a roll-out written"; "service" => &order.service,
            "version" => &order.version, "outcome" => ?outcome, "fault" => trial.fault());
    }
}
