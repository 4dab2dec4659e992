//! An `acaciad` process and its use of resources.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use acacia_standin::platform::document::{self, Addresses};
use acacia_standin::platform::store;

/// An `acaciad` process, killed when dropped.
pub struct Process {
    child: Child,
    /// Where it listens.
    pub addresses: Addresses,
    settings: PathBuf,
}

impl Process {
    /// Starts an instance of this name.
    pub fn start(name: &str, store: &store::Handle) -> io::Result<Self> {
        let addresses = Addresses::free()?;
        let file = format!("acacia-cost-{name}-{}.toml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        fs::write(&settings, document::settings(name, "z1", &addresses, store.address))?;
        let child = Command::new(env!("CARGO_BIN_EXE_acaciad"))
            .arg("--platform")
            .env("ACACIAARCH_SETTINGS", &settings)
            .stdout(Stdio::null())
            .spawn()?;
        Ok(Self { child, addresses, settings })
    }

    /// Its process id.
    #[allow(dead_code, reason = "not every benchmark uses it")]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Processor time used so far by all threads of the process.
    pub fn cpu_time(&self) -> io::Result<Duration> {
        let mut nanos = 0;
        for thread in fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = fs::read_to_string(thread?.path().join("schedstat"))?;
            let first = text.split_whitespace().next().and_then(|text| text.parse::<u64>().ok());
            nanos += first.ok_or_else(|| io::Error::other("schedstat can't be read"))?;
        }
        Ok(Duration::from_nanos(nanos))
    }

    /// Peak resident memory so far, in megabytes.
    pub fn peak_memory(&self) -> io::Result<f64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let peak = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.trim().split(' ').next()?.parse::<f64>().ok());
        kilobytes.map(|kb| kb / 1_000.0).ok_or_else(|| io::Error::other("status can't be read"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}
