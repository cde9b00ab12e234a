//! Running fleet.

use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use lentilshunt_core::id::InstanceId;
use nix::sys::signal::Signal;

use super::{Layout, Process, Server};

/// Interval at which stopping processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Processes of a fleet; their settings, logs and history are in one folder.
#[derive(Debug)]
pub struct Fleet {
    /// Addresses and parameters of the servers.
    pub layout: Layout,
    /// Platform process.
    pub platform: Process,
    /// Link stand-in, if the layout uses links.
    pub links: Option<Process>,
    /// Node process of each instance.
    pub nodes: BTreeMap<InstanceId, Process>,
    /// Upstream process of each instance.
    pub upstreams: BTreeMap<InstanceId, Process>,
    programs: PathBuf,
    folder: PathBuf,
}

impl Fleet {
    /// Starts every process of a layout.
    ///
    /// `programs` is the folder of the built programs. The content of `folder` is
    /// deleted first.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system or of a process start.
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

    /// Returns the path of the file that all processes append their events to.
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

    /// Starts or restarts the node of a server.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system or of the process start.
    pub fn start_node(&mut self, server: &Server) -> io::Result<()> {
        let settings = self.layout.node_settings(server, &self.history_file());
        let name = format!("node-{}", server.instance);
        let program = self.programs.join("lentilshunt-node");
        let process = Process::start(&program, &name, &settings, &self.folder)?;
        self.nodes.insert(server.instance.clone(), process);
        Ok(())
    }

    /// Starts or restarts the upstream of a server.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system or of the process start.
    pub fn start_upstream(&mut self, server: &Server) -> io::Result<()> {
        let settings = self.layout.upstream_settings(server, &self.history_file());
        let name = format!("upstream-{}", server.instance);
        let program = self.programs.join("lentilshunt-upstream");
        let process = Process::start(&program, &name, &settings, &self.folder)?;
        self.upstreams.insert(server.instance.clone(), process);
        Ok(())
    }

    /// Stops every node and upstream gracefully; returns whether all exited by `deadline`.
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
