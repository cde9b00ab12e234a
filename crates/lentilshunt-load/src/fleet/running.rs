//! A running fleet.

use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use lentilshunt_core::id::InstanceId;
use nix::sys::signal::Signal;

use super::{Layout, Process, Server};

/// Pause between two looks at a process that is to end.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The processes of a fleet, with their settings, logs and history in one folder.
#[derive(Debug)]
pub struct Fleet {
    /// Where each server stands.
    pub layout: Layout,
    /// The platform.
    pub platform: Process,
    /// The link stand-in, if the layout has links.
    pub links: Option<Process>,
    /// Node of each instance.
    pub nodes: BTreeMap<InstanceId, Process>,
    /// Upstream of each instance.
    pub upstreams: BTreeMap<InstanceId, Process>,
    programs: PathBuf,
    folder: PathBuf,
}

impl Fleet {
    /// Starts every process of a layout.
    ///
    /// `programs` holds the built programs; `folder` is emptied first.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system or of a start.
    pub fn start(layout: Layout, programs: &Path, folder: &Path) -> io::Result<Self> {
        if folder.exists() {
            fs::remove_dir_all(folder)?;
        }
        fs::create_dir_all(folder)?;
        let platform = Process::start(
            &programs.join("lentilshunt-platform"),
            "platform",
            &layout.platform_settings(),
            folder,
        )?;
        let links = if layout.uses_links {
            let program = programs.join("lentilshunt-link");
            let settings = layout.link_settings();
            Some(Process::start(&program, "link", &settings, folder)?)
        } else {
            None
        };
        let mut fleet = Self {
            platform,
            links,
            nodes: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            programs: programs.to_owned(),
            folder: folder.to_owned(),
            layout,
        };
        for server in fleet.layout.servers.clone() {
            fleet.start_node(&server)?;
            fleet.start_upstream(&server)?;
        }
        Ok(fleet)
    }

    /// Returns the file that all processes append their events to.
    #[must_use]
    pub fn history_file(&self) -> PathBuf {
        self.folder.join("history.jsonl")
    }

    /// Returns the server of an instance.
    #[must_use]
    pub fn server(&self, instance: &str) -> Option<Server> {
        let mut servers = self.layout.servers.iter();
        servers.find(|server| server.instance == instance).cloned()
    }

    /// Starts the node of a server, also after its end.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system or of the start.
    pub fn start_node(&mut self, server: &Server) -> io::Result<()> {
        let settings = self.layout.node_settings(server, &self.history_file());
        let name = format!("node-{}", server.instance);
        let program = self.programs.join("lentilshunt-node");
        let process = Process::start(&program, &name, &settings, &self.folder)?;
        self.nodes.insert(server.instance.clone(), process);
        Ok(())
    }

    /// Starts the upstream of a server, also after its end.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system or of the start.
    pub fn start_upstream(&mut self, server: &Server) -> io::Result<()> {
        let settings = self.layout.upstream_settings(server, &self.history_file());
        let name = format!("upstream-{}", server.instance);
        let program = self.programs.join("lentilshunt-upstream");
        let process = Process::start(&program, &name, &settings, &self.folder)?;
        self.upstreams.insert(server.instance.clone(), process);
        Ok(())
    }

    /// Asks every node and upstream to stop, and returns whether all did in time.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn stop(&mut self, deadline: Instant) -> io::Result<bool> {
        for process in self.nodes.values_mut().chain(self.upstreams.values_mut()) {
            process.signal(Signal::SIGTERM)?;
        }
        loop {
            let mut processes = self.nodes.values_mut().chain(self.upstreams.values_mut());
            if !processes.any(Process::is_running) {
                return Ok(true);
            }
            if Instant::now() >= deadline {
                return Ok(false);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
