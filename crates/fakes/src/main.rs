//! Runs one stand-in as a process.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use fakes::engine;
use fakes::fault::Faults;
use fakes::platform::Platform;
use fakes::tool;
use fakes::weights;
use gumdrop::Options;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "the platform's object API")]
    Platform(Plain),
    #[options(help = "a model engine")]
    Engine(Engine),
    #[options(help = "a plain tool service")]
    Tool(Tool),
    #[options(help = "a weight store")]
    Weights(Weights),
}

#[derive(Debug, Options)]
struct Plain {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", required)]
    listen: Option<SocketAddr>,
}

#[derive(Debug, Options)]
struct Engine {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", required)]
    listen: Option<SocketAddr>,
    #[options(help = "model loaded at start; may be repeated")]
    model: Vec<String>,
    #[options(help = "requests in a batch")]
    slots: Option<u32>,
    #[options(help = "prompt tokens a second")]
    prefill_rate: Option<u64>,
    #[options(help = "answer tokens a second and request")]
    decode_rate: Option<u64>,
    #[options(help = "tokens that the cache holds")]
    cache_size: Option<u64>,
    #[options(help = "ignore fencing numbers")]
    unfenced: bool,
    #[options(help = "address of the weight store")]
    weights: Option<SocketAddr>,
    #[options(help = "file that executions are appended to")]
    record: Option<PathBuf>,
    #[options(help = "text in a request that crashes the process")]
    crash_on: Option<String>,
}

#[derive(Debug, Options)]
struct Tool {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", required)]
    listen: Option<SocketAddr>,
    #[options(help = "milliseconds that each request takes", default = "5")]
    work_ms: u64,
    #[options(help = "file that executions are appended to")]
    record: Option<PathBuf>,
    #[options(help = "text in a request that crashes the process")]
    crash_on: Option<String>,
}

#[derive(Debug, Options)]
struct Weights {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", required)]
    listen: Option<SocketAddr>,
    #[options(help = "milliseconds for each read", default = "200")]
    read_ms: u64,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    match Args::parse_args_default_or_exit().command {
        Some(Command::Platform(args)) => run_platform(args).await,
        Some(Command::Engine(args)) => run_engine(args).await,
        Some(Command::Tool(args)) => run_tool(args).await,
        Some(Command::Weights(args)) => run_weights(args).await,
        None => Err(io::Error::other("no command; see --help")),
    }
}

fn address(listen: Option<SocketAddr>) -> SocketAddr {
    listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn crashing(crash_on: Option<String>) -> Faults {
    Faults {
        crash_on,
        ..Faults::default()
    }
}

async fn run_platform(args: Plain) -> io::Result<()> {
    let platform = Platform::start(address(args.listen)).await?;
    println!("listening on {}", platform.address());
    std::future::pending().await
}

async fn run_engine(args: Engine) -> io::Result<()> {
    let defaults = engine::Settings::default();
    let models = match args.model.is_empty() {
        true => defaults.models,
        false => args.model,
    };
    let settings = engine::Settings {
        listen: address(args.listen),
        slots: args.slots.unwrap_or(defaults.slots),
        prefill_rate: args.prefill_rate.unwrap_or(defaults.prefill_rate),
        decode_rate: args.decode_rate.unwrap_or(defaults.decode_rate),
        cache_size: args.cache_size.unwrap_or(defaults.cache_size),
        fenced: !args.unfenced,
        models,
        weights: args.weights,
        exits: true,
        record: args.record,
        ..defaults
    };
    let engine = engine::Engine::start(settings).await?;
    engine.set_faults(crashing(args.crash_on));
    println!("listening on {}", engine.address);
    engine.downed().await;
    Ok(())
}

async fn run_tool(args: Tool) -> io::Result<()> {
    let settings = tool::Settings {
        listen: address(args.listen),
        work: Duration::from_millis(args.work_ms),
        exits: true,
        record: args.record,
    };
    let tool = tool::Tool::start(settings).await?;
    tool.set_faults(crashing(args.crash_on));
    println!("listening on {}", tool.address);
    tool.downed().await;
    Ok(())
}

async fn run_weights(args: Weights) -> io::Result<()> {
    let settings = weights::Settings {
        listen: address(args.listen),
        read: Duration::from_millis(args.read_ms),
    };
    let store = weights::Store::start(settings).await?;
    println!("listening on {}", store.address);
    store.downed().await;
    Ok(())
}
