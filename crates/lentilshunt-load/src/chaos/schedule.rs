//! Draws the disturbances of a run.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use super::{Step, Trouble};
use crate::fleet::Layout;

/// Part of a run in which only planned stops happen.
const PLANNED_PART: f64 = 0.25;
/// Longest pause between the begins of two disturbances, in seconds.
const LONGEST_PAUSE: f64 = 1.5;
/// Shortest disturbance, in seconds.
const SHORTEST: f64 = 0.3;
/// Longest disturbance, in seconds; longer than every deadline of a call.
const LONGEST: f64 = 6.0;

/// Draws the disturbances of a run in the order of their begins.
///
/// A run that is `planned` has planned stops only; any other begins with them.
/// The same layout, seed and duration give the same steps. Some disturbances
/// come at the same instant as the one before, and some come twice.
#[must_use]
pub fn schedule(layout: &Layout, seed: u64, duration: Duration, planned: bool) -> Vec<Step> {
    let mut draw = Draw {
        layout,
        random: StdRng::seed_from_u64(seed),
    };
    let end = duration.as_secs_f64();
    let planned_part = if planned { 1.0 } else { PLANNED_PART };
    let mut steps = Vec::new();
    let mut at = 0.2;
    while at < end {
        let trouble = if at < end * planned_part {
            draw.planned()
        } else {
            draw.any()
        };
        let twice = draw.random.random_bool(0.1);
        let length = draw.random.random_range(SHORTEST..LONGEST);
        steps.push(step(at, length, end, trouble.clone()));
        if twice {
            steps.push(step(at + length + SHORTEST, length, end, trouble));
        }
        if !draw.random.random_bool(0.25) {
            at += draw.random.random_range(SHORTEST..LONGEST_PAUSE);
        }
    }
    steps.sort_by_key(|step| step.begins_at);
    steps
}

fn step(at: f64, length: f64, end: f64, trouble: Trouble) -> Step {
    Step {
        begins_at: Duration::from_secs_f64(at.min(end)),
        ends_at: Duration::from_secs_f64((at + length).min(end)),
        trouble,
    }
}

struct Draw<'a> {
    layout: &'a Layout,
    random: StdRng,
}

impl Draw<'_> {
    fn planned(&mut self) -> Trouble {
        let instance = self.instance();
        match self.random.random_range(0..3) {
            0 => Trouble::StopNode(instance),
            1 => Trouble::StopUpstream(instance),
            _ => Trouble::Drain(instance),
        }
    }

    fn any(&mut self) -> Trouble {
        match self.random.random_range(0..10) {
            0 => self.planned(),
            1..=3 => self.process(),
            4..=6 => self.link(),
            7 | 8 => self.platform(),
            _ => Trouble::Crash {
                idempotent: self.random.random(),
            },
        }
    }

    fn process(&mut self) -> Trouble {
        let instance = self.instance();
        match self.random.random_range(0..8) {
            0 => Trouble::KillNode(instance),
            1 => Trouble::KillUpstream(instance),
            2 | 3 => Trouble::KillInstance {
                instance,
                moved: self.random.random(),
            },
            4 => Trouble::KillHerd(self.domain()),
            5 | 6 => Trouble::FreezeNode(instance),
            _ => Trouble::FreezeUpstream(instance),
        }
    }

    fn link(&mut self) -> Trouble {
        let from = self.domain();
        let to = if self.random.random_bool(0.3) {
            Layout::PLATFORM_DOMAIN.to_owned()
        } else {
            self.domain()
        };
        match self.random.random_range(0..6) {
            0 | 1 => Trouble::Blackhole {
                from,
                to,
                both: true,
            },
            2 => Trouble::Blackhole {
                from,
                to,
                both: false,
            },
            3 => Trouble::Refuse(from, to),
            4 => Trouble::Slow(from, to),
            _ => Trouble::Silence(from, to),
        }
    }

    fn platform(&mut self) -> Trouble {
        match self.random.random_range(0..6) {
            0 | 1 => Trouble::PlatformDown,
            2 => Trouble::ObjectsDown,
            3 => Trouble::PlatformSlow(self.random.random_range(50..3000)),
            4 => Trouble::LoseReplies(self.random.random_range(1..6)),
            _ => Trouble::LoseRequests(self.random.random_range(1..6)),
        }
    }

    fn instance(&mut self) -> String {
        let server = self.layout.servers.choose(&mut self.random);
        server
            .map(|server| server.instance.clone())
            .unwrap_or_default()
    }

    fn domain(&mut self) -> String {
        let server = self.layout.servers.choose(&mut self.random);
        server
            .map(|server| server.domain.clone())
            .unwrap_or_default()
    }
}
