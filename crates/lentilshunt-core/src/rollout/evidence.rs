//! What a version has done at one upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::overload::Kind;

/// Maximum number of kinds that are told apart; further ones are not counted.
const MAX_KINDS: usize = 16;

/// Runs of one kind of request.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Sample {
    /// Runs with a known end.
    pub runs: u32,
    /// Runs that failed.
    pub failed: u32,
    /// Runs whose time counts.
    pub timed: u32,
    /// Sum of the logarithms of their times in seconds.
    pub log_time: f64,
}

/// Runs of one kind of request, with the kind.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct KindSample {
    /// Rank of the kind.
    pub rank: u8,
    /// Whether its requests may run more than once.
    pub idempotent: bool,
    /// Its runs.
    pub sample: Sample,
}

/// What the upstream of one node has done since an order.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Evidence {
    /// Runs by kind.
    pub kinds: Vec<KindSample>,
}

impl Evidence {
    /// Records a run; `time` is `None` if it does not count, as during the upstream's warm-up.
    pub fn record(&mut self, kind: Kind, has_failed: bool, time: Option<Duration>) {
        let Some(sample) = self.sample_mut(kind) else {
            return;
        };
        sample.runs = sample.runs.saturating_add(1);
        sample.failed = sample.failed.saturating_add(u32::from(has_failed));
        if let Some(time) = time.filter(|_| !has_failed) {
            sample.timed = sample.timed.saturating_add(1);
            sample.log_time += time.as_secs_f64().max(1e-4).ln();
        }
    }

    fn sample_mut(&mut self, kind: Kind) -> Option<&mut Sample> {
        let is_kind =
            |known: &KindSample| (known.rank, known.idempotent) == (kind.rank, kind.idempotent);
        if !self.kinds.iter().any(is_kind) {
            if self.kinds.len() >= MAX_KINDS {
                return None;
            }
            self.kinds.push(KindSample {
                rank: kind.rank,
                idempotent: kind.idempotent,
                sample: Sample::default(),
            });
        }
        let known = self.kinds.iter_mut().find(|known| is_kind(known));
        known.map(|known| &mut known.sample)
    }
}
