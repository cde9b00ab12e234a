//! Carries out disturbances on a fleet, and heals them.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_net::history::{Writer, new_event};
use lentilshunt_schema::{
    history::Kind,
    platform::{Direction, Fault},
};
use nix::sys::signal::Signal;

use super::{
    Error, Trouble,
    directions::Directions,
    error::{StandInSnafu, UnplannedSnafu},
};
use crate::fleet::{Fleet, Process, Remote, Server};

/// Longest time of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(25);

/// Longest time until a crash is seen, in microseconds.
const CRASH_NOTICE_US: u64 = 200_000;

/// A disturbance in force.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) ends_at: Instant,
    begun_at: Instant,
    id: String,
    trouble: Trouble,
    processes: Vec<String>,
}

/// A fleet and the disturbances in force on it.
#[derive(Debug)]
pub(super) struct Scene {
    pub(super) fleet: Fleet,
    pub(super) remote: Arc<Remote>,
    history: Writer,
    held: BTreeSet<String>,
    directions: Directions,
    platform: Vec<(String, Trouble)>,
    serial: u64,
}

impl Scene {
    pub(super) fn new(fleet: Fleet, remote: Arc<Remote>, history: Writer) -> Self {
        Self {
            directions: Directions::new(&fleet.layout),
            fleet,
            remote,
            history,
            held: BTreeSet::new(),
            platform: Vec::new(),
            serial: 0,
        }
    }

    /// Sets the usual latency of every direction.
    pub(super) async fn set_directions(&self) -> Result<(), Error> {
        self.set(self.directions.all()).await
    }

    /// Begins a disturbance; none is returned when one of its processes is
    /// already disturbed.
    pub(super) async fn begin(
        &mut self,
        trouble: Trouble,
        ends_at: Instant,
    ) -> Result<Option<Active>, Error> {
        let processes = self.processes(&trouble);
        if processes.iter().any(|process| self.held.contains(process)) {
            return Ok(None);
        }
        self.held.extend(processes.iter().cloned());
        self.serial += 1;
        let active = Active {
            ends_at,
            begun_at: Instant::now(),
            id: format!("fault-{}", self.serial),
            trouble,
            processes,
        };
        self.record(Kind::Fault, &active);
        self.carry_out(&active).await?;
        Ok(Some(active))
    }

    /// Heals a disturbance, and returns it when it has to be tried again.
    pub(super) async fn end(&mut self, active: Active) -> Result<Option<Active>, Error> {
        if self.is_stopping(&active) {
            let is_late = active.begun_at.elapsed() > STOP_TIMEOUT;
            let process = active.processes.join(", ");
            let what = "did not stop in time";
            snafu::ensure!(!is_late, UnplannedSnafu { process, what });
            return Ok(Some(active));
        }
        self.heal(&active).await?;
        self.record(Kind::Healed, &active);
        for process in &active.processes {
            self.held.remove(process);
        }
        Ok(None)
    }

    /// Starts crashed upstreams again.
    ///
    /// # Errors
    ///
    /// Returns an error when a node has ended by itself.
    pub(super) fn supervise(&mut self) -> Result<(), Error> {
        for server in self.fleet.layout.servers.clone() {
            let process = format!("node/{}", server.instance);
            if !self.held.contains(&process) && !self.is_running(&process) {
                let what = "ended by itself";
                return UnplannedSnafu { process, what }.fail();
            }
            let process = format!("upstream/{}", server.instance);
            if !self.held.contains(&process) && !self.is_running(&process) {
                self.serial += 1;
                let id = format!("crash-{}", self.serial);
                self.write_crash(&id, &process);
                self.fleet.start_upstream(&server)?;
                self.write(Kind::Healed, &id, &process, "crashed");
            }
        }
        Ok(())
    }

    async fn carry_out(&mut self, active: &Active) -> Result<(), Error> {
        match &active.trouble {
            Trouble::KillInstance { .. }
            | Trouble::KillNode(_)
            | Trouble::KillUpstream(_)
            | Trouble::KillHerd(_) => self.signal(active, Signal::SIGKILL),
            Trouble::FreezeNode(_) | Trouble::FreezeUpstream(_) => {
                self.signal(active, Signal::SIGSTOP)
            }
            Trouble::StopNode(_) | Trouble::StopUpstream(_) => self.signal(active, Signal::SIGTERM),
            Trouble::Drain(instance) => self.drain(instance, true).await,
            Trouble::Blackhole { .. }
            | Trouble::Refuse(..)
            | Trouble::Slow(..)
            | Trouble::Silence(..) => {
                let changed = self.directions.begin(&active.id, &active.trouble);
                self.set(changed).await
            }
            Trouble::Crash { .. } => Ok(()),
            _ => {
                let platform = (active.id.clone(), active.trouble.clone());
                self.platform.push(platform);
                self.set_platform().await
            }
        }
    }

    async fn heal(&mut self, active: &Active) -> Result<(), Error> {
        match &active.trouble {
            Trouble::KillInstance { instance, moved } => {
                if *moved {
                    self.fleet.layout.move_server(instance);
                    self.add_links().await?;
                }
                self.start(active)
            }
            Trouble::KillNode(_)
            | Trouble::KillUpstream(_)
            | Trouble::KillHerd(_)
            | Trouble::StopNode(_)
            | Trouble::StopUpstream(_) => self.start(active),
            Trouble::FreezeNode(_) | Trouble::FreezeUpstream(_) => {
                self.signal(active, Signal::SIGCONT)
            }
            Trouble::Drain(instance) => self.drain(instance, false).await,
            _ => {
                let changed = self.directions.end(&active.id);
                self.set(changed).await?;
                self.platform.retain(|(id, _)| *id != active.id);
                self.set_platform().await
            }
        }
    }

    /// Returns the processes that a disturbance stops or pauses.
    fn processes(&self, trouble: &Trouble) -> Vec<String> {
        let node = |instance: &String| format!("node/{instance}");
        let upstream = |instance: &String| format!("upstream/{instance}");
        match trouble {
            Trouble::KillInstance { instance, .. } => vec![node(instance), upstream(instance)],
            Trouble::KillNode(instance)
            | Trouble::FreezeNode(instance)
            | Trouble::StopNode(instance) => vec![node(instance)],
            Trouble::KillUpstream(instance)
            | Trouble::FreezeUpstream(instance)
            | Trouble::StopUpstream(instance)
            | Trouble::Drain(instance) => vec![upstream(instance)],
            Trouble::KillHerd(domain) => {
                let servers = self.fleet.layout.servers.iter();
                let inside = servers.filter(|server| server.domain == *domain);
                inside.map(|server| node(&server.instance)).collect()
            }
            _ => Vec::new(),
        }
    }

    fn process(&mut self, name: &str) -> Option<&mut Process> {
        match name.split_once('/')? {
            ("node", instance) => self.fleet.nodes.get_mut(instance),
            (_, instance) => self.fleet.upstreams.get_mut(instance),
        }
    }

    fn is_running(&mut self, name: &str) -> bool {
        self.process(name).is_some_and(Process::is_running)
    }

    fn is_stopping(&mut self, active: &Active) -> bool {
        matches!(
            active.trouble,
            Trouble::StopNode(_) | Trouble::StopUpstream(_)
        ) && active.processes.iter().any(|name| self.is_running(name))
    }

    fn signal(&mut self, active: &Active, signal: Signal) -> Result<(), Error> {
        for name in &active.processes {
            if let Some(process) = self.process(name) {
                process.signal(signal)?;
            }
        }
        Ok(())
    }

    fn start(&mut self, active: &Active) -> Result<(), Error> {
        for name in &active.processes {
            let Some((kind, instance)) = name.split_once('/') else {
                continue;
            };
            let Some(server) = self.fleet.server(instance) else {
                continue;
            };
            // A killed process is waited for before its successor starts.
            if let Some(process) = self.process(name) {
                process.kill()?;
            }
            if kind == "node" {
                self.fleet.start_node(&server)?;
            } else {
                self.fleet.start_upstream(&server)?;
            }
        }
        Ok(())
    }

    async fn drain(&self, instance: &str, begins: bool) -> Result<(), Error> {
        if let Some(server) = self.server(instance) {
            // An upstream that has just crashed is started again ready.
            self.remote.drain(&server, begins).await;
        }
        Ok(())
    }

    fn server(&self, instance: &str) -> Option<Server> {
        self.fleet.server(instance)
    }

    async fn add_links(&self) -> Result<(), Error> {
        let added = self.remote.add_links(&self.fleet.layout).await;
        snafu::ensure!(added, StandInSnafu { name: "link" });
        Ok(())
    }

    async fn set(&self, directions: Vec<Direction>) -> Result<(), Error> {
        for direction in directions {
            let layout = &self.fleet.layout;
            let is_set = self.remote.set_direction(layout, &direction).await;
            snafu::ensure!(is_set, StandInSnafu { name: "link" });
        }
        Ok(())
    }

    async fn set_platform(&self) -> Result<(), Error> {
        let mut fault = Fault {
            down: false,
            objects_down: false,
            delay_ms: 0,
            lose_replies: 0,
            lose_requests: 0,
        };
        for (_, trouble) in &self.platform {
            match trouble {
                Trouble::PlatformDown => fault.down = true,
                Trouble::ObjectsDown => fault.objects_down = true,
                Trouble::PlatformSlow(delay_ms) => fault.delay_ms = *delay_ms,
                Trouble::LoseReplies(count) => fault.lose_replies = *count,
                Trouble::LoseRequests(count) => fault.lose_requests = *count,
                _ => {}
            }
        }
        let is_set = self.remote.set_platform(&self.fleet.layout, &fault).await;
        snafu::ensure!(is_set, StandInSnafu { name: "platform" });
        Ok(())
    }

    fn record(&self, kind: Kind, active: &Active) {
        if active.trouble.is_planned() {
            return;
        }
        let detail = active.trouble.to_string();
        if active.processes.is_empty() {
            self.write(kind, &active.id, "", &detail);
        }
        for process in &active.processes {
            let id = format!("{}/{process}", active.id);
            self.write(kind, &id, process, &detail);
        }
    }

    /// Records a crash as of the last look at the process before it was seen.
    fn write_crash(&self, id: &str, process: &str) {
        let mut fault = new_event(Kind::Fault);
        fault.at_us = fault.at_us.saturating_sub(CRASH_NOTICE_US);
        fault.request = Some(id.to_owned());
        fault.instance = Some(process.to_owned());
        fault.detail = Some("crashed".to_owned());
        self.history.write(fault);
    }

    fn write(&self, kind: Kind, id: &str, process: &str, detail: &str) {
        let mut fault = new_event(kind);
        fault.request = Some(id.to_owned());
        fault.instance = Some(process.to_owned());
        fault.detail = Some(detail.to_owned());
        self.history.write(fault);
    }
}
