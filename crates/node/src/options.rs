//! Command line options that both daemons have.

use std::path::PathBuf;

use gumdrop::Options as Gumdrop;

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
