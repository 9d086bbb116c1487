//! Command line of the sidecar daemon.

use std::path::PathBuf;

use gumdrop::Options as Gumdrop;

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

/// What to do.
#[derive(Debug, Gumdrop)]
pub enum Command {
    #[options(help = "run the daemon")]
    Serve(File),
    #[options(help = "check a settings file without starting")]
    Check(File),
    #[options(help = "print the state of a running process")]
    Dump(Dump),
}

/// A settings file.
#[derive(Debug, Gumdrop)]
pub struct File {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(free, required, help = "settings file")]
    pub settings: PathBuf,
}

/// Where an administrative server is and the key it asks for.
#[derive(Debug, Gumdrop)]
pub struct Dump {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(help = "administrative address, http://IP:PORT", required)]
    pub admin: String,
    #[options(help = "file with the operator's key", required)]
    pub key_file: PathBuf,
    #[options(help = "items of long lists to pass over", default = "0")]
    pub skip: usize,
    #[options(help = "items of long lists to show", default = "100")]
    pub limit: usize,
}
