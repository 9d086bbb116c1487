//! Sidecar daemon of teasellever.

use std::process::ExitCode;

use gumdrop::Options as _;

use sidecar::options::Options;

fn main() -> ExitCode {
    let options = Options::parse_args_default_or_exit();
    sidecar::controller::run(options)
}
