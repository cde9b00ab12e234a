//! Runs a fleet under disturbances.

use std::{
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::config::Snapshot;
use lentilshunt_net::history::{Writer, now_us};
use tokio::task::JoinHandle;

use super::{
    Error, Step, Trouble,
    error::{AcceptSnafu, NotReadySnafu, StandInSnafu, UnplannedSnafu},
    load,
    scene::{Active, Scene},
    schedule,
};
use crate::{
    caller::{self, Plan},
    check::{self, Violation},
    fleet::{Fleet, Layout, Remote, Server},
    operator::Operator,
};

/// Longest time until a new fleet is ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time until a healed fleet is ready.
const HEAL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the last acceptance in which it has to be in force.
const LAST_VERSION_TIME: Duration = Duration::from_secs(6);
/// Longest time of the graceful stop of the fleet.
const STOP_TIMEOUT: Duration = Duration::from_secs(25);
/// Pause between two looks at the schedule.
const TICK: Duration = Duration::from_millis(20);
/// Idempotent calls each second.
const READ_RATE: f64 = 60.0;
/// Non-idempotent calls each second.
const WRITE_RATE: f64 = 30.0;
/// Part of the load's time that follows the disturbances.
const LOAD_TAIL: Duration = Duration::from_secs(3);

/// What is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Configuration of the first version.
    pub snapshot: Snapshot,
    /// Servers of each service.
    pub servers: usize,
    /// Second part of the loopback addresses.
    pub network: u8,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time in which disturbances begin.
    pub duration: Duration,
    /// Whether only planned stops happen.
    pub planned: bool,
    /// Folder of the built programs.
    pub programs: PathBuf,
    /// Folder of settings, logs and history; emptied first.
    pub folder: PathBuf,
}

/// What a run showed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// Counts of calls.
    pub runs: check::Runs,
    /// Counts of versions.
    pub versions: check::Versions,
    /// Disturbances that were carried out.
    pub troubles: Vec<String>,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

/// Runs a fleet under load and disturbances, heals it, and judges its history.
///
/// # Errors
///
/// Returns an error when the run cannot be carried out, when a node ends by
/// itself, when a graceful stop does not end, or when the healed fleet does
/// not become ready.
pub async fn run(options: &Options) -> Result<Verdict, Error> {
    let layout = Layout::new(&options.snapshot, options.servers, options.network).with_links();
    let steps = schedule(&layout, options.seed, options.duration, options.planned);
    let fleet = Fleet::start(layout, &options.programs, &options.folder)?;
    let file = fleet.history();
    let history = Writer::open(&file.display().to_string(), "chaos", now_us())?;
    let remote = Arc::new(Remote::default());
    let mut scene = Scene::new(fleet, Arc::clone(&remote), history.clone());
    open_links(&scene).await?;
    let operator = Operator::new(scene.fleet.layout.platform(), history.clone());
    accept(&operator, &options.snapshot, "first").await?;
    wait_ready(&scene, START_TIMEOUT, "at the start").await?;

    let begun_at = Instant::now();
    let ends_at = begun_at + options.duration;
    let plan = |rate, idempotent| {
        let servers = scene.fleet.layout.servers.iter();
        let nodes = servers.map(Server::callers).collect();
        Plan {
            rate,
            ends_at: ends_at + LOAD_TAIL,
            // Two plans with one seed would give two requests the same key.
            seed: options.seed * 2 + u64::from(idempotent),
            ..load::plan(&options.snapshot, nodes, idempotent)
        }
    };
    let (reads, writes) = (plan(READ_RATE, true), plan(WRITE_RATE, false));
    let crashes = [writes.clone(), reads.clone()];
    let calling = [reads, writes].map(|plan| tokio::spawn(caller::run(plan, history.clone())));
    let observing = tokio::spawn(load::observe(
        Arc::clone(&remote),
        scene.fleet.layout.clone(),
        history.clone(),
    ));
    let operating = tokio::spawn(load::operate(
        scene.fleet.layout.platform(),
        history.clone(),
        options.snapshot.clone(),
        options.seed,
        ends_at,
    ));
    let troubles = disturb(&mut scene, steps, begun_at, &crashes, &history).await?;
    join(operating).await;
    for load in calling {
        join(load).await;
    }
    scene.supervise()?;
    let last = load::changed(&options.snapshot, "last", false);
    accept(&operator, &last, "last").await?;
    wait_ready(&scene, HEAL_TIMEOUT, "after the faults").await?;
    tokio::time::sleep(LAST_VERSION_TIME).await;
    observing.abort();
    remote.record_routes(&scene.fleet.layout, &history).await;
    let events = check::read(&file)?;
    let told = operator.record_accepted(&events).await;
    snafu::ensure!(told, StandInSnafu { name: "platform" });
    stop(&mut scene)?;
    let events = check::read(&file)?;
    Ok(Verdict {
        runs: check::Runs::judge(&events),
        versions: check::Versions::judge(&events),
        troubles,
        violations: check::judge(&events),
    })
}

async fn open_links(scene: &Scene) -> Result<(), Error> {
    let deadline = Instant::now() + START_TIMEOUT;
    while !scene.remote.add_links(&scene.fleet.layout).await {
        let in_time = Instant::now() < deadline;
        snafu::ensure!(in_time, StandInSnafu { name: "link" });
        tokio::time::sleep(TICK).await;
    }
    scene.set_directions().await
}

/// Accepts a version, also when the platform is not up yet.
async fn accept(operator: &Operator, snapshot: &Snapshot, name: &str) -> Result<(), Error> {
    let deadline = Instant::now() + START_TIMEOUT;
    let mut serial = 0;
    loop {
        serial += 1;
        if let Some(head) = operator.head().await {
            let operation = format!("{name}-{serial}");
            let accepted = operator.accept(snapshot, head.version, operation).await;
            if accepted.is_ok() {
                return Ok(());
            }
        }
        snafu::ensure!(Instant::now() < deadline, AcceptSnafu);
        tokio::time::sleep(TICK).await;
    }
}

async fn wait_ready(scene: &Scene, time: Duration, when: &'static str) -> Result<(), Error> {
    let layout = &scene.fleet.layout;
    let deadline = Instant::now() + time;
    let waiting = scene.remote.wait_ready(layout, 1, deadline).await;
    let nodes: Vec<_> = waiting.into_iter().collect();
    snafu::ensure!(nodes.is_empty(), NotReadySnafu { when, nodes });
    Ok(())
}

/// Carries out every step, and heals every disturbance in the end.
async fn disturb(
    scene: &mut Scene,
    steps: Vec<Step>,
    begun_at: Instant,
    crashes: &[Plan; 2],
    history: &Writer,
) -> Result<Vec<String>, Error> {
    let mut steps = steps.into_iter().enumerate().peekable();
    let mut active: Vec<Active> = Vec::new();
    let mut troubles = Vec::new();
    while steps.peek().is_some() || !active.is_empty() {
        let elapsed = begun_at.elapsed();
        while let Some((number, step)) = steps.next_if(|(_, step)| step.begins_at <= elapsed) {
            let description = step.trouble.to_string();
            if let Trouble::Crash { idempotent } = step.trouble {
                let mut plan = crashes[usize::from(idempotent)].clone();
                plan.seed = plan.seed.wrapping_mul(1000) + number as u64;
                tokio::spawn(load::crash(plan, history.clone()));
            }
            let begun = scene.begin(step.trouble, begun_at + step.ends_at).await?;
            if let Some(begun) = begun {
                active.push(begun);
                troubles.push(description);
            }
        }
        let now = Instant::now();
        let (due, later) = active
            .into_iter()
            .partition::<Vec<_>, _>(|active| active.ends_at <= now);
        active = later;
        for due in due {
            active.extend(scene.end(due).await?);
        }
        scene.supervise()?;
        tokio::time::sleep(TICK).await;
    }
    Ok(troubles)
}

fn stop(scene: &mut Scene) -> Result<(), Error> {
    let deadline = Instant::now() + STOP_TIMEOUT;
    let stopped = tokio::task::block_in_place(|| scene.fleet.stop(deadline))?;
    let process = "the fleet".to_owned();
    let what = "did not stop in time";
    snafu::ensure!(stopped, UnplannedSnafu { process, what });
    Ok(())
}

async fn join<T>(task: JoinHandle<T>) {
    // A task of the run itself that panics has written its message already.
    drop(task.await);
}
