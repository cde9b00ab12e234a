//! Replays of load patterns against the quotas of organisations, in virtual time.

#![allow(clippy::cast_precision_loss, reason = "counts are small")]

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    organisation::{Directory, Organisation, Quota},
    quota::{ALL, Accounts, Admissions, Limit, Reply, Report, Usage},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(10);
/// Interval between two reports of a node, in steps.
const REPORT_STEPS: usize = 25;
/// Time until a reply arrives, in steps.
const DELAY_STEPS: usize = 2;
const STEPS_PER_SECOND: usize = 100;
/// Period of the bound, and what it allows beyond the quota, as operators set it.
const PERIOD_STEPS: usize = 5 * STEPS_PER_SECOND;
const OVERAGE: f64 = 0.1;
const TOLERANCE: f64 = 20.0;

/// A fleet in which one organisation sends requests.
struct Fleet {
    nodes: Vec<Admissions>,
    accountants: Vec<Accounts>,
    /// Accountant of each node; `None` for a node that is cut off.
    accountant: Vec<Option<usize>>,
    replies: VecDeque<(usize, usize, Instant, Reply)>,
    quota: Quota,
    random: SmallRng,
    step: usize,
    now: Instant,
    admitted: Vec<u32>,
    asked: u32,
}

impl Fleet {
    fn new(node_count: usize, rate: f64) -> Self {
        Self {
            nodes: vec![Admissions::default(); node_count],
            accountants: vec![Accounts::default(); 2],
            accountant: vec![Some(0); node_count],
            replies: VecDeque::new(),
            quota: Quota { rate, burst: rate },
            random: SmallRng::seed_from_u64(7),
            step: 0,
            now: Instant::now(),
            admitted: Vec::new(),
            asked: 0,
        }
    }

    fn organisation(&self) -> Organisation {
        Organisation {
            name: "yard".into(),
            rank: None,
            quota: Some(self.quota),
        }
    }

    /// Runs for some seconds in which the nodes of `at` get `demand` requests per second together.
    fn run(&mut self, seconds: usize, demand: f64, at: std::ops::Range<usize>) {
        let organisation = self.organisation();
        let mut directory = Directory::new([0; 32]);
        directory.insert(organisation.clone(), &[]);
        let node_count = self.nodes.len();
        let per_step = demand * STEP.as_secs_f64() / at.len() as f64;
        for _ in 0..seconds * STEPS_PER_SECOND {
            let mut admitted = 0;
            for node in at.clone() {
                let mut arrivals = per_step;
                while arrivals > 0.0 {
                    if self.random.random::<f64>() < arrivals {
                        self.asked += 1;
                        let random = self.random.random();
                        let may_pass =
                            self.nodes[node].admit(&organisation, node_count, random, self.now);
                        admitted += u32::from(may_pass);
                    }
                    arrivals -= 1.0;
                }
            }
            self.admitted.push(admitted);
            self.report(&directory);
            self.step += 1;
            self.now += STEP;
        }
    }

    fn report(&mut self, directory: &Directory) {
        let node_count = self.nodes.len();
        for node in (0..node_count).filter(|node| (self.step + node).is_multiple_of(REPORT_STEPS)) {
            let Some(accountant) = self.accountant[node] else {
                continue;
            };
            let report = Report {
                node: format!("n{node}"),
                usages: self.nodes[node].take_usages(),
            };
            let accounts = &mut self.accountants[accountant];
            let reply = accounts.settle(&report, directory, node_count, self.now);
            let at = self.step + DELAY_STEPS;
            self.replies.push_back((at, node, self.now, reply));
        }
        while self
            .replies
            .front()
            .is_some_and(|(at, ..)| *at <= self.step)
        {
            if let Some((_, node, sent_at, reply)) = self.replies.pop_front() {
                self.nodes[node].apply(&reply, sent_at);
            }
        }
    }

    /// Returns the most requests admitted in any period from a step on, and what is allowed.
    fn worst_period(&self, from: usize) -> (f64, f64) {
        let periods = self.admitted[from..].windows(PERIOD_STEPS);
        let worst = periods.map(|period| period.iter().sum::<u32>()).max();
        let seconds = (PERIOD_STEPS / STEPS_PER_SECOND) as f64;
        let quota = self.quota.rate * seconds + self.quota.burst;
        (
            f64::from(worst.unwrap()),
            quota * (1.0 + OVERAGE) + TOLERANCE,
        )
    }

    fn assert_bounded(&self, from: usize) {
        let (worst, allowed) = self.worst_period(from);
        assert!(worst <= allowed, "{worst} admitted, {allowed} allowed");
    }

    fn admitted_since(&self, from: usize) -> f64 {
        f64::from(self.admitted[from..].iter().sum::<u32>())
    }
}

// What is below the quota passes.
#[rstest]
#[case(6.0)]
#[case(60.0)]
#[case(600.0)]
fn admit_usual_load(#[case] rate: f64) {
    let mut fleet = Fleet::new(68, rate);
    fleet.run(20, rate / 1.6, 0..68);
    let served = fleet.admitted_since(0) / f64::from(fleet.asked);
    assert!(served > 0.98, "{served}");
}

// One organisation sends 7.5 times its usual, at all nodes or at one.
#[rstest]
#[case(6.0, 68)]
#[case(60.0, 68)]
#[case(600.0, 68)]
#[case(60.0, 1)]
#[case(600.0, 1)]
fn admit_hot_organisation(#[case] rate: f64, #[case] nodes: usize) {
    let mut fleet = Fleet::new(68, rate);
    fleet.run(10, rate / 1.6, 0..68);
    let hot_from = fleet.step;
    fleet.run(10, 7.5 * rate / 1.6, 0..nodes);
    fleet.assert_bounded(0);
    let used = fleet.admitted_since(hot_from) / (rate * 10.0);
    assert!(used > 0.9, "{used} of the quota is used");
}

// Without an accountant each node has its part of the quota.
#[test]
fn admit_while_cut_off() {
    let mut fleet = Fleet::new(68, 60.0);
    fleet.run(10, 37.0, 0..68);
    fleet.accountant[..22].fill(None);
    let cut_from = fleet.step;
    fleet.run(10, 300.0, 0..68);
    fleet.assert_bounded(0);
    let used = fleet.admitted_since(cut_from) / 600.0;
    assert!(used > 0.8, "{used} of the quota is used");
}

// The next accountant does not know what its predecessor has given out.
#[test]
fn admit_after_accountant_is_lost() {
    let mut fleet = Fleet::new(68, 60.0);
    fleet.run(10, 300.0, 0..68);
    fleet.accountant.fill(None);
    fleet.run(1, 300.0, 0..68);
    fleet.accountant.fill(Some(1));
    fleet.run(10, 300.0, 0..68);
    fleet.assert_bounded(0);
}

// Half of the nodes report to another accountant, as when links between them fail.
#[test]
fn admit_with_two_accountants() {
    let mut fleet = Fleet::new(68, 60.0);
    fleet.run(10, 37.0, 0..68);
    fleet.accountant[..34].fill(Some(1));
    fleet.run(15, 300.0, 0..68);
    fleet.assert_bounded(0);
}

// All nodes restart and forget what they have admitted.
#[test]
fn admit_after_restart_of_all() {
    let mut fleet = Fleet::new(68, 60.0);
    fleet.run(10, 300.0, 0..68);
    fleet.nodes.fill(Admissions::default());
    fleet.accountants.fill(Accounts::default());
    fleet.run(10, 300.0, 0..68);
    fleet.assert_bounded(0);
}

// A lower quota binds one period after it is in force.
#[test]
fn admit_after_quota_is_lowered() {
    let mut fleet = Fleet::new(68, 600.0);
    fleet.run(10, 375.0, 0..68);
    fleet.quota = Quota {
        rate: 60.0,
        burst: 60.0,
    };
    let lowered_at = fleet.step;
    fleet.run(15, 375.0, 0..68);
    fleet.assert_bounded(lowered_at);
    fleet.quota = Quota {
        rate: 600.0,
        burst: 600.0,
    };
    fleet.run(3, 375.0, 0..68);
    let raised_from = fleet.step;
    fleet.run(5, 375.0, 0..68);
    let served = fleet.admitted_since(raised_from) / (375.0 * 5.0);
    assert!(served > 0.95, "{served}");
}

// A request that was refused unsent is given back.
#[test]
fn refund_refused_request() {
    let fleet = Fleet::new(1, 1.0);
    let organisation = fleet.organisation();
    let mut node = Admissions::default();
    for _ in 0..5 {
        assert!(node.admit(&organisation, 1, 0, fleet.now));
        node.refund("yard");
    }
    assert!(node.admit(&organisation, 1, 0, fleet.now));
    assert!(!node.admit(&organisation, 1, 0, fleet.now));
    let usages = node.take_usages();
    assert_eq!((usages[0].asked, usages[0].admitted), (7, 1));
}

// A report with the highest or lowest numbers must not end the node that accounts.
#[rstest]
#[case(i32::MAX)]
#[case(i32::MIN)]
fn settle_highest_numbers(#[case] admitted: i32) {
    let organisation = Fleet::new(1, 10.0).organisation();
    let mut organisations = Directory::new([0; 32]);
    let name = organisation.name.to_string();
    organisations.insert(organisation.clone(), &[]);
    let mut accounts = Accounts::default();
    let now = Instant::now();
    let usage = Usage {
        organisation: name,
        asked: u32::MAX,
        admitted,
    };
    let report = Report {
        node: "a".to_owned(),
        usages: vec![usage; 3],
    };
    let reply = accounts.settle(&report, &organisations, usize::MAX, now);
    assert!(reply.limits.iter().all(|limit| limit.share <= ALL));
    let highest = Limit {
        organisation: organisation.name.to_string(),
        share: u16::MAX,
    };
    let mut admissions = Admissions::default();
    admissions.apply(
        &Reply {
            limits: vec![highest],
        },
        now,
    );
    admissions.restore_usages(report.usages);
    assert!(admissions.admit(&organisation, usize::MAX, u32::MAX, now));
}
