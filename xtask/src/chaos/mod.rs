//! Runs a fleet under faults and checks every invariant.

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

use bpaf::Bpaf;
use lentilshunt_load::{
    chaos::{self, Options, RunSummary},
    check::{self, Violation},
};
use snafu::{ResultExt, Whatever, ensure_whatever};

use crate::{cargo::cargo, example::load_example};

/// Maximum number of violations printed for a run.
const MAX_PRINTED_VIOLATIONS: usize = 12;

/// Arguments of the run.
#[derive(Bpaf, Clone, Debug)]
pub struct Arguments {
    /// Example inventory
    #[bpaf(argument("NAME"), fallback("andina".to_owned()), display_fallback)]
    inventory: String,
    /// First seed
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of seeds to run, one after another
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    seeds: u64,
    /// Seconds during which faults start
    #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
    duration: u64,
    /// Number of servers of each service
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    servers: usize,
    /// Injects planned stops only
    planned: bool,
    /// Checks the history file of an earlier run only
    #[bpaf(argument("FILE"))]
    judge: Option<PathBuf>,
    /// Second octet of the loopback addresses
    #[bpaf(argument("NETWORK"), fallback(30), display_fallback)]
    network: u8,
}

/// Runs each seed and prints the command that repeats it if it fails.
///
/// # Errors
///
/// Returns an error when a run cannot be carried out or an invariant is violated.
pub fn run(root: &Path, arguments: &Arguments) -> Result<(), Whatever> {
    if let Some(file) = &arguments.judge {
        return check_history_file(file);
    }
    cargo(root, &["build", "--workspace"], &[])?;
    let runtime = tokio::runtime::Runtime::new().whatever_context("cannot create the runtime")?;
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let options = options(root, arguments, seed)?;
        println!("seed {seed}");
        let has_passed = match runtime.block_on(chaos::run(&options)) {
            Ok(summary) => {
                print_summary(&summary);
                summary.violations.is_empty()
            }
            Err(error) => {
                println!("  {}", snafu::Report::from_error(error));
                false
            }
        };
        if !has_passed {
            failed += 1;
            println!("  failed: {}", repeat_command(arguments, seed));
            println!("  history: {}", options.folder.display());
        }
    }
    ensure_whatever!(failed == 0, "{failed} of {} seeds failed", arguments.seeds);
    Ok(())
}

/// Checks a history file with every checker.
fn check_history_file(file: &Path) -> Result<(), Whatever> {
    let events = check::read_history(file).whatever_context("cannot read the history")?;
    let violations = check::check_history(&events);
    print_violations(&violations);
    ensure_whatever!(violations.is_empty(), "an invariant is violated");
    Ok(())
}

fn options(root: &Path, arguments: &Arguments, seed: u64) -> Result<Options, Whatever> {
    Ok(Options {
        snapshot: load_example(root, &arguments.inventory)?,
        servers: arguments.servers,
        network: arguments.network,
        seed,
        duration: Duration::from_secs(arguments.duration),
        planned_only: arguments.planned,
        programs: root.join("target/debug"),
        folder: folder(root, seed),
    })
}

fn folder(root: &Path, seed: u64) -> PathBuf {
    root.join("target/chaos").join(format!("seed-{seed}"))
}

fn repeat_command(arguments: &Arguments, seed: u64) -> String {
    format!(
        "cargo xtask chaos --inventory {} --seed {seed} --duration {} --servers {} --network {}{}",
        arguments.inventory,
        arguments.duration,
        arguments.servers,
        arguments.network,
        if arguments.planned { " --planned" } else { "" }
    )
}

fn print_summary(summary: &RunSummary) {
    let calls = &summary.calls;
    println!(
        "  {} faults; calls: {} sent, {} answered, {} not run, {} may have run; {} versions",
        summary.disruptions.len(),
        calls.sent,
        calls.answered,
        calls.refused_not_run,
        calls.may_have_run,
        summary.versions.accepted,
    );
    print_violations(&summary.violations);
}

fn print_violations(violations: &[Violation]) {
    println!("  {} violations", violations.len());
    for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("    {violation}");
    }
}
