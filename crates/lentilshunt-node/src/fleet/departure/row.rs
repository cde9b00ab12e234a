//! Rows of departures.

use lentilshunt_core::{id::InstanceId, leaving::Departure};
use serde::{Deserialize, Serialize};

/// Start of the keys of the rows; no instance has such a name.
const KEY_PREFIX: &str = "/departure/";

/// Departures of the upstream of an instance.
///
/// The fields of the latest one come first, as nodes of an earlier release read only these.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Row {
    #[serde(flatten)]
    latest: Departure,
    /// Departures of other processes, the latest last.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    earlier: Vec<Departure>,
}

impl Row {
    /// Creates a row of departures, the latest last; returns `None` if there is none.
    pub(super) fn new(mut departures: Vec<Departure>) -> Option<Self> {
        let latest = departures.pop()?;
        Some(Self {
            latest,
            earlier: departures,
        })
    }

    /// Returns the departures, the latest last.
    pub(super) fn into_departures(self) -> Vec<Departure> {
        let mut departures = self.earlier;
        departures.push(self.latest);
        departures
    }
}

/// Returns the key of the row of an instance.
pub(super) fn key(instance: &str) -> String {
    format!("{KEY_PREFIX}{instance}")
}

/// Returns the instance of a row, or `None` if the row is none of a departure.
pub(super) fn parse_key(key: &str) -> Option<InstanceId> {
    key.strip_prefix(KEY_PREFIX).map(str::to_owned)
}
