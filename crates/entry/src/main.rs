//! Entry daemon of teasellever.

use std::process::ExitCode;

use gumdrop::Options as _;

use entry::options::Options;

fn main() -> ExitCode {
    let options = Options::parse_args_default_or_exit();
    entry::controller::run(options)
}
