//! A child process whose CPU time and memory are measured; dropping it kills the process.

use std::error::Error;
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Clock ticks per second in `/proc/PID/stat` on Linux.
pub const TICKS_PER_S: f64 = 100.0;

/// A `Result` with any error, for the measuring programs.
pub type BoxResult<T> = Result<T, Box<dyn Error>>;

/// A running program of this project.
pub struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Starts a binary from the parent of the directory of the examples and waits for its first
    /// line on standard output.
    pub fn spawn(name: &str, arguments: &[&Path]) -> BoxResult<Self> {
        let example_path = std::env::current_exe()?;
        let directory = example_path.ancestors().nth(2);
        let binary = directory
            .ok_or("the example has no target directory")?
            .join(name);
        let mut child = Command::new(binary)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        Ok(Self(child))
    }

    /// CPU time used so far, in clock ticks.
    pub fn cpu_ticks(&self) -> BoxResult<u64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.0.id()))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        // utime and stime are fields 14 and 15, counted from 1; ')' ends field 2.
        Ok(fields[12].parse::<u64>()? + fields[13].parse::<u64>()?)
    }

    /// Resident memory in KiB.
    pub fn resident_kb(&self) -> BoxResult<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.0.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        Ok(number
            .ok_or("/proc/PID/status has no VmRSS line")?
            .parse()?)
    }
}
