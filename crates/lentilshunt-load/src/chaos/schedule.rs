//! Generates the schedule of disruptions of a run.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use super::{Disruption, Step};
use crate::fleet::Layout;

/// Share of a run, from its begin, in which only planned stops are scheduled.
const PLANNED_SHARE: f64 = 0.25;
/// Maximum pause between the begins of two disruptions, in seconds.
const MAX_PAUSE_SECONDS: f64 = 1.5;
/// Minimum length of a disruption, in seconds; also the minimum pause.
const MIN_LENGTH_SECONDS: f64 = 0.3;
/// Maximum length of a disruption, in seconds; longer than every deadline of a call.
const MAX_LENGTH_SECONDS: f64 = 6.0;

/// Generates the disruptions of a run, ordered by their begin.
///
/// With `planned_only`, all steps are planned stops; otherwise the first quarter of
/// the duration has planned stops only. The same arguments give the same steps. Some
/// disruptions begin at the same instant as the previous one, and some are repeated.
#[must_use]
pub fn generate_schedule(
    layout: &Layout,
    seed: u64,
    duration: Duration,
    planned_only: bool,
) -> Vec<Step> {
    let mut generator = Generator {
        layout,
        random: StdRng::seed_from_u64(seed),
    };
    let end = duration.as_secs_f64();
    let planned_share = if planned_only { 1.0 } else { PLANNED_SHARE };
    let mut steps = Vec::new();
    let mut at = 0.2;
    while at < end {
        let disruption = if at < end * planned_share {
            generator.planned_stop()
        } else {
            generator.any_disruption()
        };
        let twice = generator.random.random_bool(0.1);
        let length = generator
            .random
            .random_range(MIN_LENGTH_SECONDS..MAX_LENGTH_SECONDS);
        steps.push(step(at, length, end, disruption.clone()));
        if twice {
            steps.push(step(
                at + length + MIN_LENGTH_SECONDS,
                length,
                end,
                disruption,
            ));
        }
        if !generator.random.random_bool(0.25) {
            at += generator
                .random
                .random_range(MIN_LENGTH_SECONDS..MAX_PAUSE_SECONDS);
        }
    }
    steps.sort_by_key(|step| step.begins_at);
    steps
}

fn step(at: f64, length: f64, end: f64, disruption: Disruption) -> Step {
    Step {
        begins_at: Duration::from_secs_f64(at.min(end)),
        ends_at: Duration::from_secs_f64((at + length).min(end)),
        disruption,
    }
}

struct Generator<'a> {
    layout: &'a Layout,
    random: StdRng,
}

impl Generator<'_> {
    fn planned_stop(&mut self) -> Disruption {
        let instance = self.random_instance();
        match self.random.random_range(0..3) {
            0 => Disruption::StopNode(instance),
            1 => Disruption::StopUpstream(instance),
            _ => Disruption::Drain(instance),
        }
    }

    fn any_disruption(&mut self) -> Disruption {
        match self.random.random_range(0..10) {
            0 => self.planned_stop(),
            1..=3 => self.process_disruption(),
            4..=6 => self.link_disruption(),
            7 | 8 => self.platform_disruption(),
            _ => Disruption::CrashingRequest {
                idempotent: self.random.random(),
            },
        }
    }

    fn process_disruption(&mut self) -> Disruption {
        let instance = self.random_instance();
        match self.random.random_range(0..8) {
            0 => Disruption::KillNode(instance),
            1 => Disruption::KillUpstream(instance),
            2 | 3 => Disruption::KillInstance {
                instance,
                moved: self.random.random(),
            },
            4 => Disruption::KillDomain(self.random_domain()),
            5 | 6 => Disruption::PauseNode(instance),
            _ => Disruption::PauseUpstream(instance),
        }
    }

    fn link_disruption(&mut self) -> Disruption {
        let from = self.random_domain();
        let to = if self.random.random_bool(0.3) {
            Layout::PLATFORM_DOMAIN.to_owned()
        } else {
            self.random_domain()
        };
        match self.random.random_range(0..6) {
            0 | 1 => Disruption::Blackhole {
                from,
                to,
                both: true,
            },
            2 => Disruption::Blackhole {
                from,
                to,
                both: false,
            },
            3 => Disruption::Refuse(from, to),
            4 => Disruption::Slow(from, to),
            _ => Disruption::Silence(from, to),
        }
    }

    fn platform_disruption(&mut self) -> Disruption {
        match self.random.random_range(0..6) {
            0 | 1 => Disruption::PlatformDown,
            2 => Disruption::ObjectsDown,
            3 => Disruption::PlatformSlow(self.random.random_range(50..3000)),
            4 => Disruption::LoseReplies(self.random.random_range(1..6)),
            _ => Disruption::LoseRequests(self.random.random_range(1..6)),
        }
    }

    fn random_instance(&mut self) -> String {
        let server = self.layout.servers.choose(&mut self.random);
        server
            .map(|server| server.instance.clone())
            .unwrap_or_default()
    }

    fn random_domain(&mut self) -> String {
        let server = self.layout.servers.choose(&mut self.random);
        server
            .map(|server| server.domain.clone())
            .unwrap_or_default()
    }
}
