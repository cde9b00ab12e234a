//! Checks a concurrent history of acceptances against a sequential model.

use std::{collections::BTreeMap, time::Instant};

use lentilshunt_core::config::Head;

/// Outcome of an acceptance, as reported to the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The version after the base was accepted.
    Accepted,
    /// Nothing was accepted.
    NotAccepted,
    /// It is unknown whether a version was accepted.
    Unknown,
}

/// One acceptance, from its call to its return.
#[derive(Clone, Debug)]
pub struct Operation {
    pub id: String,
    pub base: u64,
    pub outcome: Outcome,
    pub called_at: Instant,
    pub returned_at: Instant,
}

/// Replays the stored versions in their order against the model.
///
/// The model is a single register: an acceptance succeeds if and only if its base is
/// the version in force.
///
/// # Errors
///
/// Returns the first difference between the history and the model.
pub fn check(versions: &[Head], operations: &[Operation]) -> Result<(), String> {
    let by_id: BTreeMap<&str, &Operation> = operations
        .iter()
        .map(|operation| (operation.id.as_str(), operation))
        .collect();
    let mut latest_call = None;
    for (head, base) in versions.iter().zip(0..) {
        let version = head.version;
        if version != base + 1 {
            return Err(format!("version {version} follows version {base}"));
        }
        let Some(operation) = by_id.get(head.operation.as_str()) else {
            return Err(format!("no operation proposed version {version}"));
        };
        if operation.base != base || operation.outcome == Outcome::NotAccepted {
            return Err(format!("version {version} contradicts {operation:?}"));
        }
        // The call of a predecessor cannot begin after the call of its successor returned.
        if latest_call.is_some_and(|called| called > operation.returned_at) {
            return Err(format!(
                "the call of version {version} returned before that of a predecessor began"
            ));
        }
        latest_call = latest_call.max(Some(operation.called_at));
    }
    let lost = operations.iter().find(|operation| {
        let mut stored = versions.iter();
        operation.outcome == Outcome::Accepted && !stored.any(|head| head.operation == operation.id)
    });
    lost.map_or(Ok(()), |operation| Err(format!("{operation:?} is lost")))
}
