//! Processor time and memory of a process that this one started.

use std::time::Duration;

/// Ticks of processor time a second, as the kernel reports them.
const TICKS: f64 = 100.0;

/// Positions of user and system time behind the command's closing bracket.
const TIMES: [usize; 2] = [11, 12];

/// Processor time, user and system, since the process started; zero once it has ended.
pub fn processor_time(process: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let behind = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = behind.split_whitespace().collect();
    let ticks = TIMES.iter().filter_map(|at| fields.get(*at));
    let ticks: f64 = ticks.filter_map(|text| text.parse::<f64>().ok()).sum();
    Duration::from_secs_f64(ticks / TICKS)
}

/// Resident memory, in bytes; zero once the process has ended.
pub fn resident(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    number.unwrap_or_default() * 1024.0
}
