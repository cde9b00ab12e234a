//! Installs versions of the traffic rules.

use std::sync::{Arc, Mutex, MutexGuard, atomic::Ordering};

use bytes::Bytes;
use lentilshunt_core::traffic::Rules;
use slog::{info, warn};

use super::{Change, Codec, NodeState, ValueHistory, watch::TableUpdate};
use crate::{executor::lock, relay::Shared};

/// Maximum number of omitted routes of a version that are logged one by one.
const MAX_LOGGED_OMISSIONS: usize = 8;

/// Decodes versions of the traffic rules and puts newer ones in force.
#[derive(Debug)]
pub struct Installer {
    shared: Arc<Shared>,
    codec: Arc<dyn Codec>,
    key: String,
    /// Encoded content of the version in force and of earlier versions.
    history: Mutex<ValueHistory>,
}

impl Installer {
    /// Creates an installer of the rules in the row with the key `key`.
    #[must_use]
    pub fn new(shared: Arc<Shared>, codec: Arc<dyn Codec>, key: String) -> Self {
        Self {
            shared,
            codec,
            key,
            history: Mutex::default(),
        }
    }

    /// Returns the content of the version in force, as encoded in the store.
    #[must_use]
    pub fn content(&self) -> Option<Bytes> {
        self.lock_history().newest().cloned()
    }

    /// Returns the state for a node whose version has the hash `cached_hash`, or that has none.
    #[must_use]
    pub fn state(&self, cached_hash: Option<u64>) -> NodeState {
        let directory = self.shared.directory.load();
        let records = match cached_hash {
            Some(_) => Vec::new(),
            None => NodeState::records(&directory),
        };
        NodeState {
            rules: self.lock_history().patch(cached_hash.as_slice()),
            records,
        }
    }

    fn lock_history(&self) -> MutexGuard<'_, ValueHistory> {
        lock(&self.history)
    }

    /// Installs the rules in an update of the table, if it contains them.
    pub fn apply_update(&self, update: TableUpdate) {
        let rules = update
            .into_changes()
            .into_iter()
            .rev()
            .find(|change| change.key == self.key);
        if let Some(Change {
            value: Some(value), ..
        }) = rules
        {
            self.install(value);
        }
    }

    /// Installs a version if it can be decoded and is newer than the one in force.
    pub fn install(&self, bytes: Bytes) {
        let log = &self.shared.log;
        let current = self.shared.version();
        let rules = match self.codec.decode_rules(&bytes, rand::random()) {
            Ok(rules) => rules,
            Err(error) => {
                metrics::counter!("lentilshunt_versions_refused_total").increment(1);
                warn!(log, "version refused"; "held" => current, "error" => %error);
                return;
            }
        };
        let version = rules.version();
        let mut history = self.lock_history();
        // Another version may have been installed meanwhile.
        let current = self.shared.version();
        if version <= current {
            return;
        }
        self.record_omissions(&rules);
        history.push(bytes);
        if rules.organisations().is_some() {
            // Before the rules, which a later version without organisations may replace.
            self.shared.has_organisations.store(true, Ordering::Relaxed);
        }
        self.shared.rules.store(Arc::new(rules));
        drop(history);
        self.shared.observe_version(version, None);
        metrics::counter!("lentilshunt_versions_installed_total").increment(1);
        info!(log, "version in force"; "version" => version, "before" => current);
    }

    /// Counts and logs the routes and organisations of a version that are not in force.
    fn record_omissions(&self, rules: &Rules) {
        let omissions = rules.omissions();
        let count = omissions.len();
        metrics::counter!("lentilshunt_routes_omitted_total").increment(count as u64);
        for omission in omissions.iter().take(MAX_LOGGED_OMISSIONS) {
            warn!(self.shared.log, "route omitted"; "version" => rules.version(),
                "host" => &omission.host, "prefix" => &omission.prefix,
                "error" => &omission.problem, "omitted" => count);
        }
        let organisations = rules.organisations().map(|directory| directory.problems());
        let problems = organisations.unwrap_or_default();
        let count = problems.len();
        metrics::counter!("lentilshunt_organisations_omitted_total").increment(count as u64);
        for problem in problems.iter().take(MAX_LOGGED_OMISSIONS) {
            warn!(self.shared.log, "organisation omitted"; "version" => rules.version(),
                "error" => problem, "omitted" => count);
        }
    }
}
