//! Randomized scenarios of nodes that race for keys while the platform and nodes fail.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use lentilshunt_core::verdict::Verdict;
use lentilshunt_net::call::Executor;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::sleep;

use crate::fixture::{Behavior, Fault, Node, TestFleet, call};

const KEY_COUNT: usize = 3;
const REQUEST_COUNT: usize = 24;

/// The reply that one caller received.
#[derive(Debug)]
struct ObservedReply {
    request: String,
    verdict: Verdict,
    response: String,
}

fn milliseconds(random: &mut StdRng, limit: u64) -> Duration {
    Duration::from_millis(random.random_range(0..limit))
}

fn fault(random: &mut StdRng) -> Fault {
    match random.random_range(0..6) {
        0 => Fault::LoseResponse,
        1 => Fault::LoseRequest,
        2 => Fault::Refuse,
        3 => Fault::DelayedCommit(milliseconds(random, 8000)),
        _ => Fault::Slow(milliseconds(random, 1200)),
    }
}

fn behavior(random: &mut StdRng) -> Behavior {
    match random.random_range(0..8) {
        0 => Behavior::Refuse,
        1 => Behavior::Crash,
        _ => Behavior::Respond(milliseconds(random, 2000)),
    }
}

/// Runs one randomized scenario and returns the runs of each key and the replies to the callers.
async fn run_scenario(seed: u64) -> (Vec<Vec<String>>, Vec<ObservedReply>) {
    let mut random = StdRng::seed_from_u64(seed);
    let fleet = TestFleet::default();
    let mut nodes: Vec<Node> = ["a", "b", "c"].map(|id| fleet.start(id, 1)).into();
    let mut upstreams: Vec<_> = nodes
        .iter()
        .map(|node| Arc::clone(&node.upstream))
        .collect();
    let mut tasks = Vec::new();
    for number in 0..REQUEST_COUNT {
        sleep(milliseconds(&mut random, 700)).await;
        if random.random_bool(0.4) {
            let fault = fault(&mut random);
            fleet.platform.script([fault]);
        }
        let index = random.random_range(0..nodes.len());
        if random.random_bool(0.1) {
            let instance = ["a", "b", "c"][index];
            fleet.disconnect(instance);
            // The earlier incarnation keeps running, but the other nodes cannot query it.
            nodes[index] = fleet.start(instance, 2 + number as u64);
            upstreams.push(Arc::clone(&nodes[index].upstream));
        }
        let node = nodes[index].clone();
        let behavior = behavior(&mut random);
        node.upstream.script.lock().unwrap().push_back(behavior);
        let key = number % KEY_COUNT;
        let request = format!("{key}-{number}");
        let call = call(&request, Some(&format!("k{key}")));
        let timeout = milliseconds(&mut random, 15_000);
        tasks.push(tokio::spawn(async move {
            let execution = node
                .local
                .execute(Arc::clone(&node.endpoint), Arc::new(call));
            let reply = tokio::time::timeout(timeout, execution).await.ok()?;
            Some(ObservedReply {
                request,
                verdict: reply.verdict,
                response: String::from_utf8(reply.body.to_vec()).unwrap(),
            })
        }));
    }
    let mut replies = Vec::new();
    for task in tasks {
        replies.extend(task.await.unwrap());
    }
    sleep(Duration::from_secs(30)).await;
    let mut runs = vec![Vec::new(); KEY_COUNT];
    for upstream in upstreams {
        for request in upstream.runs.lock().unwrap().iter() {
            let key: usize = request.split('-').next().unwrap().parse().unwrap();
            runs[key].push(request.clone());
        }
    }
    (runs, replies)
}

/// Returns the violations of the guarantees.
///
/// Checks that each key ran at most once, that no request with verdict `NotRun` ran, and that each
/// response belongs to a request that ran.
fn check_outcomes(runs: &[Vec<String>], replies: &[ObservedReply]) -> Vec<String> {
    let mut violations = Vec::new();
    for runs in runs {
        if runs.len() > 1 {
            violations.push(format!("ran more than once: {runs:?}"));
        }
    }
    for reply in replies {
        let key: usize = reply.request.split('-').next().unwrap().parse().unwrap();
        let ran = &runs[key];
        if reply.verdict == Verdict::NotRun && ran.contains(&reply.request) {
            violations.push(format!("ran despite the verdict NotRun: {reply:?}"));
        }
        if reply.verdict == Verdict::Ran && !ran.contains(&reply.response) {
            violations.push(format!("response of a request that did not run: {reply:?}"));
        }
    }
    violations
}

#[test]
fn scenario_of_racing_nodes() {
    let mut verdicts: BTreeMap<Verdict, usize> = BTreeMap::new();
    let mut ran = 0;
    for seed in 0..80 {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let (runs, replies) = runtime.block_on(run_scenario(seed));
        assert_eq!(
            check_outcomes(&runs, &replies),
            Vec::<String>::new(),
            "seed {seed}"
        );
        for reply in &replies {
            *verdicts.entry(reply.verdict).or_default() += 1;
        }
        ran += runs.iter().filter(|runs| !runs.is_empty()).count();
    }
    // The scenarios cover enough only if all verdicts occur.
    assert_eq!(verdicts.len(), 3);
    assert!(ran > 80);
}

#[test]
fn check_outcomes_with_violations() {
    let reply = |request: &str, verdict, response: &str| ObservedReply {
        request: request.to_owned(),
        verdict,
        response: response.to_owned(),
    };
    let runs = [vec!["0-1".to_owned(), "0-2".to_owned()]];
    let replies = [
        reply("0-1", Verdict::NotRun, ""),
        reply("0-2", Verdict::Ran, "0-3"),
        reply("0-4", Verdict::MayHaveRun, ""),
    ];
    assert_eq!(check_outcomes(&runs, &replies).len(), 3);
}
