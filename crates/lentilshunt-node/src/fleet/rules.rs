//! Puts versions of the traffic rules in force.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use slog::{info, warn};

use super::{Change, History, State, Translator, follow::News};
use crate::{executor::lock, relay::Shared};

/// Installs the traffic rules that the store holds.
#[derive(Debug)]
pub struct Installer {
    shared: Arc<Shared>,
    translator: Arc<dyn Translator>,
    key: String,
    /// Content of the version in force, as the store holds it.
    content: Mutex<History>,
}

impl Installer {
    /// Creates an installer of the rules in the row with a key.
    #[must_use]
    pub fn new(shared: Arc<Shared>, translator: Arc<dyn Translator>, key: String) -> Self {
        Self {
            shared,
            translator,
            key,
            content: Mutex::default(),
        }
    }

    /// Returns the content of the version in force, as the store holds it.
    #[must_use]
    pub fn content(&self) -> Option<Bytes> {
        self.history().newest().cloned()
    }

    /// Returns the state of the node, for one that holds content with a hash.
    #[must_use]
    pub fn state(&self, held: Option<u64>) -> State {
        let directory = self.shared.directory.load();
        let records = match held {
            Some(_) => Vec::new(),
            None => State::records(&directory),
        };
        State {
            rules: self.history().patch(held.as_slice()),
            records,
        }
    }

    fn history(&self) -> MutexGuard<'_, History> {
        lock(&self.content)
    }

    /// Takes what was read of the table.
    pub fn take(&self, news: News) {
        let (News::All(changes) | News::Some(changes)) = news;
        let own = changes
            .into_iter()
            .rev()
            .find(|change| change.key == self.key);
        if let Some(Change {
            value: Some(value), ..
        }) = own
        {
            self.install(value);
        }
    }

    /// Puts a version in force if it can be read and is newer.
    pub fn install(&self, bytes: Bytes) {
        let log = &self.shared.log;
        let held = self.shared.version();
        let rules = match self.translator.rules(&bytes, rand::random()) {
            Ok(rules) => rules,
            Err(error) => {
                metrics::counter!("lentilshunt_versions_refused_total").increment(1);
                warn!(log, "version refused"; "held" => held, "error" => %error);
                return;
            }
        };
        let version = rules.version();
        if version <= held {
            return;
        }
        self.history().push(bytes);
        self.shared.rules.store(Arc::new(rules));
        self.shared.observe_version(version, None);
        metrics::counter!("lentilshunt_versions_installed_total").increment(1);
        info!(log, "version in force"; "version" => version, "before" => held);
    }
}
