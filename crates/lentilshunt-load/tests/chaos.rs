//! Short runs of a fleet under disruptions; `cargo xtask chaos` runs more seeds for longer.

use std::{
    env,
    path::{Path, PathBuf},
    time::Duration,
};

use lentilshunt_load::{
    chaos::{self, Options},
    fleet::{Network, load_snapshot},
};

/// Time window in which disruptions begin.
const DURATION: Duration = Duration::from_secs(12);

/// Returns the folder of the built programs: the second parent of the test binary.
fn programs() -> PathBuf {
    let test = env::current_exe().expect("the path of the test binary");
    let programs = test.ancestors().nth(2).expect("a target folder").to_owned();
    let node = programs.join("lentilshunt-node");
    assert!(node.exists(), "run `cargo build --workspace` first");
    programs
}

/// Runs one seed and returns the violated invariants.
fn violations(seed: u64, network: u8) -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let options = Options {
        snapshot: load_snapshot(&root.join("examples/andina")).expect("a valid example"),
        servers: 2,
        network,
        seed,
        duration: DURATION,
        planned_only: false,
        programs: programs(),
        folder: root.join(format!("target/chaos/test-{seed}")),
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let summary = runtime.block_on(chaos::run(&options));
    let summary = summary.expect("the run completes");
    assert!(summary.calls.answered > 0, "no call received a response");
    summary.violations.iter().map(ToString::to_string).collect()
}

#[test]
fn run_seeds() {
    let network = Network::reserve().expect("a free network");
    for seed in [1, 2, 3] {
        assert_eq!(
            violations(seed, network.second_octet()),
            Vec::<String>::new(),
            "seed {seed}"
        );
    }
}
