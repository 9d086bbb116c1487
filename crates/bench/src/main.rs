//! Demo, trace replay and slopes; not shipped.

use std::alloc::System;
use std::process::ExitCode;

use bench::decide;
use bench::demo;
use bench::generate;
use bench::live;
use bench::overhead;
use bench::plot;
use bench::replay;
use gumdrop::Options;
use stats_alloc::StatsAlloc;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = bench::slopes::gauge::ALLOCATOR;

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
    #[options(help = "measure what the system costs, as JSON lines")]
    Slopes(Slopes),
    #[options(help = "generate a trace")]
    Trace(generate::Args),
    #[options(help = "replay a trace through the decisions in virtual time")]
    Replay(replay::Args),
    #[options(help = "time a call's decisions with many calls queued")]
    Decide(decide::Args),
    #[options(help = "measure what the path adds to a call, as JSON lines")]
    Overhead(overhead::Args),
    #[options(help = "replay the beginning of a trace through the processes")]
    Live(live::Args),
    #[options(help = "draw a comparison as SVG")]
    Plot(plot::Args),
}

#[derive(Debug, Options)]
struct Demo {
    #[options(help = "show this help")]
    help: bool,
}

#[derive(Debug, Options)]
struct Slopes {
    #[options(help = "show this help")]
    help: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    let done = match args.command {
        Some(Command::Demo(_)) => runtime.block_on(demo::run()),
        Some(Command::Slopes(_)) => runtime.block_on(bench::slopes::run()),
        Some(Command::Trace(args)) => generate::run(&args),
        Some(Command::Replay(args)) => replay::run(&args),
        Some(Command::Decide(args)) => decide::run(&args),
        Some(Command::Overhead(args)) => runtime.block_on(overhead::run(&args)),
        Some(Command::Live(args)) => runtime.block_on(live::run(&args)),
        Some(Command::Plot(args)) => plot::run(&args),
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
