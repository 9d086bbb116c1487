//! Command line options common to all daemons.

use std::path::PathBuf;

use gumdrop::Options as Gumdrop;

/// Options of a command that reads a settings file.
#[derive(Debug, Gumdrop)]
pub struct File {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(free, required, help = "settings file")]
    pub settings: PathBuf,
}

/// Options of the command that prints the state of a running process.
#[derive(Debug, Gumdrop)]
pub struct Dump {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(help = "administrative address, http://IP:PORT", required)]
    pub admin: String,
    #[options(help = "file with the operator's key", required)]
    pub key_file: PathBuf,
    #[options(help = "number of items of each long list to skip", default = "0")]
    pub skip: usize,
    #[options(
        help = "largest number of items of each long list to show",
        default = "100"
    )]
    pub limit: usize,
}
