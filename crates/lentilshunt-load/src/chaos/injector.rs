//! Injects disruptions into a fleet and ends them.

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
    Disruption, Error,
    directions::Directions,
    error::{ProcessSnafu, StandInSnafu},
};
use crate::fleet::{AdminClient, Fleet, Process, Server};

/// Maximum time of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(25);

/// Upper bound of the time until a crash is detected, in microseconds.
const CRASH_DETECTION_US: u64 = 200_000;

/// Disruption that is in force.
#[derive(Debug)]
pub(super) struct ActiveDisruption {
    pub(super) ends_at: Instant,
    begun_at: Instant,
    id: String,
    disruption: Disruption,
    processes: Vec<String>,
}

/// Fleet with the disruptions that are in force.
#[derive(Debug)]
pub(super) struct Injector {
    pub(super) fleet: Fleet,
    pub(super) admin_client: Arc<AdminClient>,
    history: Writer,
    disrupted_processes: BTreeSet<String>,
    directions: Directions,
    platform_disruptions: Vec<(String, Disruption)>,
    serial: u64,
}

impl Injector {
    pub(super) fn new(fleet: Fleet, admin_client: Arc<AdminClient>, history: Writer) -> Self {
        Self {
            directions: Directions::new(&fleet.layout),
            fleet,
            admin_client,
            history,
            disrupted_processes: BTreeSet::new(),
            platform_disruptions: Vec::new(),
            serial: 0,
        }
    }

    /// Sets the base latency of every direction.
    pub(super) async fn apply_base_latencies(&self) -> Result<(), Error> {
        self.apply_directions(self.directions.all()).await
    }

    /// Begins a disruption; returns `None` without effect when one of its processes
    /// is already disrupted.
    pub(super) async fn begin(
        &mut self,
        disruption: Disruption,
        ends_at: Instant,
    ) -> Result<Option<ActiveDisruption>, Error> {
        let processes = self.processes(&disruption);
        if processes
            .iter()
            .any(|process| self.disrupted_processes.contains(process))
        {
            return Ok(None);
        }
        self.disrupted_processes.extend(processes.iter().cloned());
        self.serial += 1;
        let active = ActiveDisruption {
            ends_at,
            begun_at: Instant::now(),
            id: format!("fault-{}", self.serial),
            disruption,
            processes,
        };
        self.record(Kind::Fault, &active);
        self.inject(&active).await?;
        Ok(Some(active))
    }

    /// Ends a disruption; returns it when a process is still stopping and the end has to
    /// be retried.
    pub(super) async fn end(
        &mut self,
        active: ActiveDisruption,
    ) -> Result<Option<ActiveDisruption>, Error> {
        if self.is_stopping(&active) {
            let is_overdue = active.begun_at.elapsed() > STOP_TIMEOUT;
            let process = active.processes.join(", ");
            let problem = "did not stop in time";
            snafu::ensure!(!is_overdue, ProcessSnafu { process, problem });
            return Ok(Some(active));
        }
        self.heal(&active).await?;
        self.record(Kind::Healed, &active);
        for process in &active.processes {
            self.disrupted_processes.remove(process);
        }
        Ok(None)
    }

    /// Restarts crashed upstreams and records their crashes as faults.
    ///
    /// # Errors
    ///
    /// Returns an error when a node has exited unexpectedly.
    pub(super) fn supervise(&mut self) -> Result<(), Error> {
        for server in self.fleet.layout.servers.clone() {
            let process = format!("node/{}", server.instance);
            if !self.disrupted_processes.contains(&process) && !self.is_running(&process) {
                let problem = "exited unexpectedly";
                return ProcessSnafu { process, problem }.fail();
            }
            let process = format!("upstream/{}", server.instance);
            if !self.disrupted_processes.contains(&process) && !self.is_running(&process) {
                self.serial += 1;
                let id = format!("crash-{}", self.serial);
                self.record_crash(&id, &process);
                self.fleet.start_upstream(&server)?;
                self.record_event(Kind::Healed, &id, &process, "crashed");
            }
        }
        Ok(())
    }

    async fn inject(&mut self, active: &ActiveDisruption) -> Result<(), Error> {
        match &active.disruption {
            Disruption::KillInstance { .. }
            | Disruption::KillNode(_)
            | Disruption::KillUpstream(_)
            | Disruption::KillDomain(_) => self.signal(active, Signal::SIGKILL),
            Disruption::PauseNode(_) | Disruption::PauseUpstream(_) => {
                self.signal(active, Signal::SIGSTOP)
            }
            Disruption::StopNode(_) | Disruption::StopUpstream(_) => {
                self.signal(active, Signal::SIGTERM)
            }
            Disruption::Drain(instance) => self.drain(instance, true).await,
            Disruption::Blackhole { .. }
            | Disruption::Refuse(..)
            | Disruption::Slow(..)
            | Disruption::Silence(..) => {
                let changed = self.directions.apply(&active.id, &active.disruption);
                self.apply_directions(changed).await
            }
            Disruption::CrashingRequest { .. } => Ok(()),
            _ => {
                let platform = (active.id.clone(), active.disruption.clone());
                self.platform_disruptions.push(platform);
                self.apply_platform_faults().await
            }
        }
    }

    async fn heal(&mut self, active: &ActiveDisruption) -> Result<(), Error> {
        match &active.disruption {
            Disruption::KillInstance { instance, moved } => {
                if *moved {
                    self.fleet.layout.move_server(instance);
                    self.configure_links().await?;
                }
                self.start(active)
            }
            Disruption::KillNode(_)
            | Disruption::KillUpstream(_)
            | Disruption::KillDomain(_)
            | Disruption::StopNode(_)
            | Disruption::StopUpstream(_) => self.start(active),
            Disruption::PauseNode(_) | Disruption::PauseUpstream(_) => {
                self.signal(active, Signal::SIGCONT)
            }
            Disruption::Drain(instance) => self.drain(instance, false).await,
            _ => {
                let changed = self.directions.revert(&active.id);
                self.apply_directions(changed).await?;
                self.platform_disruptions.retain(|(id, _)| *id != active.id);
                self.apply_platform_faults().await
            }
        }
    }

    /// Returns the processes that a disruption kills, stops, pauses or drains.
    fn processes(&self, disruption: &Disruption) -> Vec<String> {
        let node = |instance: &String| format!("node/{instance}");
        let upstream = |instance: &String| format!("upstream/{instance}");
        match disruption {
            Disruption::KillInstance { instance, .. } => vec![node(instance), upstream(instance)],
            Disruption::KillNode(instance)
            | Disruption::PauseNode(instance)
            | Disruption::StopNode(instance) => vec![node(instance)],
            Disruption::KillUpstream(instance)
            | Disruption::PauseUpstream(instance)
            | Disruption::StopUpstream(instance)
            | Disruption::Drain(instance) => vec![upstream(instance)],
            Disruption::KillDomain(domain) => {
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

    fn is_stopping(&mut self, active: &ActiveDisruption) -> bool {
        matches!(
            active.disruption,
            Disruption::StopNode(_) | Disruption::StopUpstream(_)
        ) && active.processes.iter().any(|name| self.is_running(name))
    }

    fn signal(&mut self, active: &ActiveDisruption, signal: Signal) -> Result<(), Error> {
        for name in &active.processes {
            if let Some(process) = self.process(name) {
                process.signal(signal)?;
            }
        }
        Ok(())
    }

    fn start(&mut self, active: &ActiveDisruption) -> Result<(), Error> {
        for name in &active.processes {
            let Some((kind, instance)) = name.split_once('/') else {
                continue;
            };
            let Some(server) = self.fleet.server(instance) else {
                continue;
            };
            // Reaps the old process before its successor starts.
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

    async fn drain(&self, instance: &str, is_draining: bool) -> Result<(), Error> {
        if let Some(server) = self.server(instance) {
            // May fail when the upstream has crashed; it is ready again after its restart.
            self.admin_client.drain(&server, is_draining).await;
        }
        Ok(())
    }

    fn server(&self, instance: &str) -> Option<Server> {
        self.fleet.server(instance)
    }

    async fn configure_links(&self) -> Result<(), Error> {
        let added = self.admin_client.configure_links(&self.fleet.layout).await;
        snafu::ensure!(added, StandInSnafu { name: "link" });
        Ok(())
    }

    async fn apply_directions(&self, directions: Vec<Direction>) -> Result<(), Error> {
        for direction in directions {
            let layout = &self.fleet.layout;
            let is_set = self.admin_client.set_direction(layout, &direction).await;
            snafu::ensure!(is_set, StandInSnafu { name: "link" });
        }
        Ok(())
    }

    async fn apply_platform_faults(&self) -> Result<(), Error> {
        let mut fault = Fault {
            down: false,
            objects_down: false,
            delay_ms: 0,
            lose_replies: 0,
            lose_requests: 0,
        };
        for (_, disruption) in &self.platform_disruptions {
            match disruption {
                Disruption::PlatformDown => fault.down = true,
                Disruption::ObjectsDown => fault.objects_down = true,
                Disruption::PlatformSlow(delay_ms) => fault.delay_ms = *delay_ms,
                Disruption::LoseReplies(count) => fault.lose_replies = *count,
                Disruption::LoseRequests(count) => fault.lose_requests = *count,
                _ => {}
            }
        }
        let is_set = self
            .admin_client
            .set_platform_faults(&self.fleet.layout, &fault)
            .await;
        snafu::ensure!(is_set, StandInSnafu { name: "platform" });
        Ok(())
    }

    fn record(&self, kind: Kind, active: &ActiveDisruption) {
        if active.disruption.is_planned() {
            return;
        }
        let detail = active.disruption.to_string();
        if active.processes.is_empty() {
            self.record_event(kind, &active.id, "", &detail);
        }
        for process in &active.processes {
            let id = format!("{}/{process}", active.id);
            self.record_event(kind, &id, process, &detail);
        }
    }

    /// Records a crash, dated back by the time that its detection may have taken.
    fn record_crash(&self, id: &str, process: &str) {
        let mut fault = new_event(Kind::Fault);
        fault.at_us = fault.at_us.saturating_sub(CRASH_DETECTION_US);
        fault.request = Some(id.to_owned());
        fault.instance = Some(process.to_owned());
        fault.detail = Some("crashed".to_owned());
        self.history.write(fault);
    }

    fn record_event(&self, kind: Kind, id: &str, process: &str, detail: &str) {
        let mut fault = new_event(kind);
        fault.request = Some(id.to_owned());
        fault.instance = Some(process.to_owned());
        fault.detail = Some(detail.to_owned());
        self.history.write(fault);
    }
}
