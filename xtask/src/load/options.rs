use std::time::Duration;

use pico_args::Arguments;

use crate::load::Mix;
use crate::slopes::cluster::CREDENTIAL;
use crate::slopes::cluster::MODEL;

/// Text of `cargo xtask load --help`.
const HELP: &str = "\
usage: cargo xtask load [--url URL]... [options]

  --url URL          base URL of an entry daemon, repeatable; requests go to each in turn; without
                     any, two entry daemons before six stand-in engines are started for the run
  --credential TEXT  credential of the client account
  --model NAME       model to ask for
  --rate N           requests a second, 10 unless set
  --duration S       time to send for, in seconds, 10 unless set
  --mix NAME         bayanihan, addis-ketema or short; bayanihan unless set
  --deadline S       deadline of each request, in seconds, 120 unless set
  --seed N           seed of sizes and times, 1 unless set

Prints one JSON object a line, for each band of prompt lengths. Times are in seconds.
";

/// Which requests to send, and to which entry daemons.
#[derive(Debug, Clone)]
pub struct Options {
    /// Base URLs of entry daemons.
    pub urls: Vec<String>,
    /// Credential of the client account.
    pub credential: String,
    /// Model to request.
    pub model: String,
    /// Requests per second.
    pub rate: f64,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Distribution of the request sizes.
    pub mix: Mix,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Seed of the request sizes and send times.
    pub seed: u64,
}

impl Options {
    /// Reads the options from the command line.
    ///
    /// # Errors
    ///
    /// Fails on invalid options; `--help` fails with the help text.
    pub fn read(mut args: Arguments) -> Result<Self, Box<dyn std::error::Error>> {
        if args.contains(["-h", "--help"]) {
            return Err(HELP.into());
        }
        let options = Self {
            urls: args.values_from_str("--url")?,
            credential: args
                .opt_value_from_str("--credential")?
                .unwrap_or_else(|| CREDENTIAL.to_owned()),
            model: args.opt_value_from_str("--model")?.unwrap_or_else(|| MODEL.to_owned()),
            rate: args.opt_value_from_str("--rate")?.unwrap_or(10.0),
            duration: seconds_option(&mut args, "--duration", 10.0)?,
            mix: args.opt_value_from_str("--mix")?.unwrap_or(Mix::Bayanihan),
            deadline: seconds_option(&mut args, "--deadline", 120.0)?,
            seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        };
        let unexpected = args.finish();
        if !unexpected.is_empty() {
            return Err(format!("unexpected arguments: {unexpected:?}\n\n{HELP}").into());
        }
        if options.rate.is_nan() || options.rate <= 0.0 {
            return Err("--rate must be above 0".into());
        }
        Ok(options)
    }
}

/// Reads an option in seconds.
fn seconds_option(
    args: &mut Arguments,
    name: &'static str,
    default: f64,
) -> Result<Duration, Box<dyn std::error::Error>> {
    let value: f64 = args.opt_value_from_str(name)?.unwrap_or(default);
    Ok(Duration::try_from_secs_f64(value)?)
}
