//! Command line of the sidecar daemon.

use gumdrop::Options as Gumdrop;
use node::options::Dump;
use node::options::File;

/// Schedules agent programs: sidecar of one target.
#[derive(Debug, Gumdrop)]
pub struct Options {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(help = "show the version", short = "V")]
    pub version: bool,
    #[options(command)]
    pub command: Option<Command>,
}

/// Subcommand of the daemon.
#[derive(Debug, Gumdrop)]
pub enum Command {
    #[options(help = "run the daemon")]
    Serve(File),
    #[options(help = "check a settings file without starting")]
    Check(File),
    #[options(help = "print the state of a running process")]
    Dump(Dump),
}
