//! Histories of nodes that race for keys while the platform and nodes fail.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use lentilshunt_core::verdict::Verdict;
use lentilshunt_net::call::Executor;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::sleep;

use crate::fixture::{Fault, Fleet, Node, Run, call};

const KEYS: usize = 3;
const SENDS: usize = 24;

/// What one caller was told.
#[derive(Debug)]
struct Told {
    request: String,
    verdict: Verdict,
    answer: String,
}

fn milliseconds(random: &mut StdRng, limit: u64) -> Duration {
    Duration::from_millis(random.random_range(0..limit))
}

fn fault(random: &mut StdRng) -> Fault {
    match random.random_range(0..6) {
        0 => Fault::LoseReply,
        1 => Fault::LoseRequest,
        2 => Fault::Refuse,
        3 => Fault::LandLate(milliseconds(random, 8000)),
        _ => Fault::Slow(milliseconds(random, 1200)),
    }
}

fn run(random: &mut StdRng) -> Run {
    match random.random_range(0..8) {
        0 => Run::Refuse,
        1 => Run::Lose,
        _ => Run::Answer(milliseconds(random, 2000)),
    }
}

/// Plays one history and returns the runs of each key and what callers were told.
async fn play(seed: u64) -> (Vec<Vec<String>>, Vec<Told>) {
    let mut random = StdRng::seed_from_u64(seed);
    let fleet = Fleet::default();
    let mut nodes: Vec<Node> = ["a", "b", "c"].map(|id| fleet.start(id, 1)).into();
    let mut upstreams: Vec<_> = nodes
        .iter()
        .map(|node| Arc::clone(&node.upstream))
        .collect();
    let mut sent = Vec::new();
    for number in 0..SENDS {
        sleep(milliseconds(&mut random, 700)).await;
        if random.random_bool(0.4) {
            let fault = fault(&mut random);
            fleet.platform.script([fault]);
        }
        let chosen = random.random_range(0..nodes.len());
        if random.random_bool(0.1) {
            let instance = ["a", "b", "c"][chosen];
            fleet.lose(instance);
            // The earlier incarnation still runs, out of the reach of the others.
            nodes[chosen] = fleet.start(instance, 2 + number as u64);
            upstreams.push(Arc::clone(&nodes[chosen].upstream));
        }
        let node = nodes[chosen].clone();
        let run = run(&mut random);
        node.upstream.script.lock().unwrap().push_back(run);
        let key = number % KEYS;
        let request = format!("{key}-{number}");
        let call = call(&request, Some(&format!("k{key}")));
        let patience = milliseconds(&mut random, 15_000);
        sent.push(tokio::spawn(async move {
            let executing = node
                .local
                .execute(Arc::clone(&node.endpoint), Arc::new(call));
            let reply = tokio::time::timeout(patience, executing).await.ok()?;
            Some(Told {
                request,
                verdict: reply.verdict,
                answer: String::from_utf8(reply.body.to_vec()).unwrap(),
            })
        }));
    }
    let mut told = Vec::new();
    for sent in sent {
        told.extend(sent.await.unwrap());
    }
    sleep(Duration::from_secs(30)).await;
    let mut runs = vec![Vec::new(); KEYS];
    for upstream in upstreams {
        for request in upstream.runs.lock().unwrap().iter() {
            let key: usize = request.split('-').next().unwrap().parse().unwrap();
            runs[key].push(request.clone());
        }
    }
    (runs, told)
}

/// Returns what is wrong with a history.
fn judge(runs: &[Vec<String>], told: &[Told]) -> Vec<String> {
    let mut faults = Vec::new();
    for runs in runs {
        if runs.len() > 1 {
            faults.push(format!("ran more than once: {runs:?}"));
        }
    }
    for told in told {
        let key: usize = told.request.split('-').next().unwrap().parse().unwrap();
        let ran = &runs[key];
        if told.verdict == Verdict::NotRun && ran.contains(&told.request) {
            faults.push(format!("ran although told not run: {told:?}"));
        }
        if told.verdict == Verdict::Ran && !ran.contains(&told.answer) {
            faults.push(format!("answered with what did not run: {told:?}"));
        }
    }
    faults
}

#[test]
fn history_of_racing_nodes() {
    let mut verdicts: BTreeMap<Verdict, usize> = BTreeMap::new();
    let mut ran = 0;
    for seed in 0..80 {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let (runs, told) = runtime.block_on(play(seed));
        assert_eq!(judge(&runs, &told), Vec::<String>::new(), "seed {seed}");
        for told in &told {
            *verdicts.entry(told.verdict).or_default() += 1;
        }
        ran += runs.iter().filter(|runs| !runs.is_empty()).count();
    }
    // The histories are worth something only if all verdicts occur.
    assert_eq!(verdicts.len(), 3);
    assert!(ran > 80);
}

#[test]
fn judge_broken_history() {
    let told = |request: &str, verdict, answer: &str| Told {
        request: request.to_owned(),
        verdict,
        answer: answer.to_owned(),
    };
    let runs = [vec!["0-1".to_owned(), "0-2".to_owned()]];
    let told = [
        told("0-1", Verdict::NotRun, ""),
        told("0-2", Verdict::Ran, "0-3"),
        told("0-4", Verdict::MayHaveRun, ""),
    ];
    assert_eq!(judge(&runs, &told).len(), 3);
}
