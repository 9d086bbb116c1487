//! Slopes of what the system costs, from which docs/CAPACITY.md works out the target size.
//!
//! State machines are measured in this process up to their full size; what needs sockets is
//! measured over processes of a few to a few dozen nodes. Each measure covers at least three sizes
//! and is printed as one JSON line with its fit; figures worked out from them follow.

mod calls;
mod customer;
mod member;
mod process;
mod procfs;
mod program;
mod report;
mod sample;
mod size;
mod target;
mod timing;
mod worked;

pub mod gauge;

use report::Report;

/// Measures and prints everything.
///
/// Errors: a process can't be started.
pub async fn run() -> eyre::Result<bool> {
    let mut report = Report::default();
    customer::measure(&mut report);
    program::measure(&mut report);
    member::measure(&mut report);
    target::measure(&mut report);
    process::measure(&mut report).await?;
    worked::all(&mut report);
    calls::all(&mut report);
    Ok(true)
}
