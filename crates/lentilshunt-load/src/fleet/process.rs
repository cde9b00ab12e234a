//! Process of a fleet.

use std::{
    fs::{self, File},
    io,
    path::Path,
    process::{Child, Command, Stdio},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// Child process that is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program with the settings `settings`.
    ///
    /// The settings are written to `{name}.ini` in `folder`; standard error is appended
    /// to `{name}.log`.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system or of the process start.
    pub fn start(program: &Path, name: &str, settings: &str, folder: &Path) -> io::Result<Self> {
        let file = folder.join(format!("{name}.ini"));
        fs::write(&file, settings)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(Self { child })
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal unless the process has exited.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored, since the process may have exited already.
        drop(self.kill());
    }
}
