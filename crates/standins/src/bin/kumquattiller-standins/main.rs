//! Runs a stand-in server as a process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_dialect::engine::Model;
use kumquattiller_standins::engine;
use kumquattiller_standins::platform;
use kumquattiller_standins::service;
use pico_args::Arguments;
use pico_args::Error;

const USAGE: &str = "\
usage: kumquattiller-standins <engine|service|platform> [--listen IP:PORT] [options]

  engine    --memory TOKENS --speed FACTOR --model NAME@VERSION (repeatable, refuses others)
            --ignores-fencing --load-ms N --crash-marker TEXT --restart-after-ms N --seed N
  service   --delay-ms N --crash-marker TEXT
  platform  --vm-lag-ms N --latency-ms N
";

/// Interval between checks whether the server still runs.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    env_logger::init();
    match run(Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}\n\n{USAGE}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut args: Arguments) -> Result<(), Error> {
    match args.subcommand()?.as_deref() {
        Some("engine") => run_engine(args),
        Some("service") => run_service(args),
        Some("platform") => run_platform(args),
        _ => Err(Error::MissingArgument),
    }
}

fn run_engine(mut args: Arguments) -> Result<(), Error> {
    let mut settings = engine::Settings::default();
    settings.address = parse_listen(&mut args)?.unwrap_or(settings.address);
    settings.memory = args.opt_value_from_str::<_, Tokens>("--memory")?.unwrap_or(settings.memory);
    settings.timing.speed = args.opt_value_from_str("--speed")?.unwrap_or(settings.timing.speed);
    settings.timing.load_time =
        parse_millis(&mut args, "--load-ms")?.unwrap_or(settings.timing.load_time);
    settings.models = args.values_from_fn("--model", parse_model)?;
    settings.check_models = !settings.models.is_empty();
    settings.checks_fencing = !args.contains("--ignores-fencing");
    settings.crash_marker = args.opt_value_from_str("--crash-marker")?;
    settings.restart_after = parse_millis(&mut args, "--restart-after-ms")?;
    settings.seed = args.opt_value_from_str("--seed")?.unwrap_or(settings.seed);
    reject_unknown(args)?;
    let restarts = settings.restart_after.is_some();
    let server = engine::Server::start(settings);
    print_address(server.address());
    wait_while(|| restarts || server.is_running());
    Ok(())
}

fn run_service(mut args: Arguments) -> Result<(), Error> {
    let mut settings = service::Settings::default();
    settings.address = parse_listen(&mut args)?.unwrap_or(settings.address);
    settings.delay = parse_millis(&mut args, "--delay-ms")?.unwrap_or(settings.delay);
    settings.crash_marker = args.opt_value_from_str("--crash-marker")?;
    reject_unknown(args)?;
    let server = service::Server::start(settings);
    print_address(server.address());
    wait_while(|| server.is_running());
    Ok(())
}

fn run_platform(mut args: Arguments) -> Result<(), Error> {
    let mut settings = platform::Settings::default();
    settings.address = parse_listen(&mut args)?.unwrap_or(settings.address);
    settings.vm_lag = parse_millis(&mut args, "--vm-lag-ms")?.unwrap_or(settings.vm_lag);
    settings.latency = parse_millis(&mut args, "--latency-ms")?.unwrap_or(settings.latency);
    reject_unknown(args)?;
    let server = platform::Server::start(settings);
    print_address(server.address());
    wait_while(|| true);
    Ok(())
}

fn parse_listen(args: &mut Arguments) -> Result<Option<SocketAddr>, Error> {
    args.opt_value_from_str("--listen")
}

fn parse_millis(args: &mut Arguments, key: &'static str) -> Result<Option<Duration>, Error> {
    Ok(args.opt_value_from_str(key)?.map(Duration::from_millis))
}

fn parse_model(text: &str) -> Result<Model, &'static str> {
    let (name, version) = text.split_once('@').ok_or("a model must have the form NAME@VERSION")?;
    Ok(Model { name: name.to_owned(), version: version.to_owned() })
}

/// Returns an error for the first argument that was not parsed.
fn reject_unknown(args: Arguments) -> Result<(), Error> {
    match args.finish().into_iter().next() {
        Some(option) => {
            let cause = format!("unknown option {option:?}");
            Err(Error::ArgumentParsingFailed { cause })
        }
        None => Ok(()),
    }
}

fn print_address(address: SocketAddr) {
    println!("listening on {address}");
}

/// Blocks while `runs` returns true.
fn wait_while(mut runs: impl FnMut() -> bool) {
    while runs() {
        std::thread::sleep(POLL_INTERVAL);
    }
}
