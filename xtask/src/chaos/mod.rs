//! Runs a fleet under faults and checks every promise.

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

use crate::{cargo::cargo, example::example};

/// Violations of one run that are printed.
const PRINTED: usize = 12;

/// Arguments of the run.
#[derive(Bpaf, Clone, Debug)]
pub struct Arguments {
    /// Example inventory
    #[bpaf(argument("NAME"), fallback("andina".to_owned()), display_fallback)]
    inventory: String,
    /// First seed
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Seeds that are run, one after another
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    seeds: u64,
    /// Seconds in which faults begin
    #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
    duration: u64,
    /// Servers of each service
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    servers: usize,
    /// Only planned stops
    planned: bool,
    /// Only judges the history of an earlier run
    #[bpaf(argument("FILE"))]
    judge: Option<PathBuf>,
    /// Second part of the loopback addresses
    #[bpaf(argument("NETWORK"), fallback(30), display_fallback)]
    network: u8,
}

/// Runs each seed and prints the command of each that fails.
///
/// # Errors
///
/// Returns an error when a run cannot be carried out or a promise was broken.
pub fn run(root: &Path, arguments: &Arguments) -> Result<(), Whatever> {
    if let Some(file) = &arguments.judge {
        return judge(file);
    }
    cargo(root, &["build", "--workspace"], &[])?;
    let runtime = tokio::runtime::Runtime::new().whatever_context("no runtime")?;
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let options = options(root, arguments, seed)?;
        println!("seed {seed}");
        let is_kept = match runtime.block_on(chaos::run(&options)) {
            Ok(summary) => {
                print(&summary);
                summary.violations.is_empty()
            }
            Err(error) => {
                println!("  {}", snafu::Report::from_error(error));
                false
            }
        };
        if !is_kept {
            failed += 1;
            println!("  failed: {}", command(arguments, seed));
            println!("  history: {}", options.folder.display());
        }
    }
    ensure_whatever!(failed == 0, "{failed} of {} seeds failed", arguments.seeds);
    Ok(())
}

/// Judges a kept history by every checker.
fn judge(file: &Path) -> Result<(), Whatever> {
    let events = check::read_history(file).whatever_context("the history cannot be read")?;
    let violations = check::check_history(&events);
    print_violations(&violations);
    ensure_whatever!(violations.is_empty(), "a promise was broken");
    Ok(())
}

fn options(root: &Path, arguments: &Arguments, seed: u64) -> Result<Options, Whatever> {
    Ok(Options {
        snapshot: example(root, &arguments.inventory)?,
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

fn command(arguments: &Arguments, seed: u64) -> String {
    format!(
        "cargo xtask chaos --inventory {} --seed {seed} --duration {} --servers {} --network {}{}",
        arguments.inventory,
        arguments.duration,
        arguments.servers,
        arguments.network,
        if arguments.planned { " --planned" } else { "" }
    )
}

fn print(summary: &RunSummary) {
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
    for violation in violations.iter().take(PRINTED) {
        println!("    {violation}");
    }
}
