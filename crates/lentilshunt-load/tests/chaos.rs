//! A few short runs of a fleet under disturbances; the long search is `cargo xtask chaos`.

use std::{
    env,
    path::{Path, PathBuf},
    time::Duration,
};

use lentilshunt_load::{
    chaos::{self, Options},
    fleet::{Network, load_snapshot},
};

/// Time in which disturbances begin.
const DURATION: Duration = Duration::from_secs(12);

/// Returns the folder of the programs, which the workspace's build has put two
/// folders above the running test.
fn programs() -> PathBuf {
    let test = env::current_exe().expect("the test runs from a file");
    let programs = test.ancestors().nth(2).expect("a target folder").to_owned();
    let node = programs.join("lentilshunt-node");
    assert!(node.exists(), "run `cargo build --workspace` first");
    programs
}

/// Runs one seed and returns what was violations.
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
    let summary = summary.expect("the run can be carried out");
    assert!(summary.calls.answered > 0, "no call was answered");
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
