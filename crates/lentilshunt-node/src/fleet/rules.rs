//! Puts versions of the traffic rules in force.

use std::sync::Arc;

use bytes::Bytes;
use lentilshunt_core::id::VersionId;
use slog::{info, warn};

use super::{Change, Translator, follow::News};
use crate::relay::Shared;

/// Installs the traffic rules that the store holds.
#[derive(Debug)]
pub struct Installer {
    shared: Arc<Shared>,
    translator: Arc<dyn Translator>,
    key: String,
}

impl Installer {
    /// Creates an installer of the rules in the row with a key.
    #[must_use]
    pub fn new(shared: Arc<Shared>, translator: Arc<dyn Translator>, key: String) -> Self {
        Self {
            shared,
            translator,
            key,
        }
    }

    /// Takes what was read of the table and returns the version in force.
    #[must_use]
    pub fn take(&self, news: News) -> VersionId {
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
        self.shared.version()
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
        self.shared.content.store(Arc::new(bytes));
        self.shared.rules.store(Arc::new(rules));
        self.shared.learn(version, None);
        metrics::counter!("lentilshunt_versions_installed_total").increment(1);
        info!(log, "version in force"; "version" => version, "before" => held);
    }
}
