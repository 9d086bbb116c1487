//! Demo, trace replay and slopes; not shipped.

mod demo;

use std::process::ExitCode;

use gumdrop::Options;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run the whole system on embedded defaults")]
    Demo(Demo),
}

#[derive(Debug, Options)]
struct Demo {
    #[options(help = "show this help")]
    help: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    let done = match args.command {
        Some(Command::Demo(_)) => runtime.block_on(demo::run()),
        None => Err(eyre::eyre!("no command; see --help")),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
