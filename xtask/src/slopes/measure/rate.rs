use std::time::Duration;

use crate::Error;
use crate::fleet::Programs;
use crate::load;
use crate::load::Mix;
use crate::load::Options;
use crate::slopes::cluster;
use crate::slopes::cluster::CREDENTIAL;
use crate::slopes::cluster::Cluster;
use crate::slopes::cluster::MODEL;
use crate::slopes::cluster::Size;
use crate::slopes::series::Series;

/// Measured rates of requests to one entry daemon, per second.
const RATES: [f64; 4] = [10.0, 25.0, 46.0, 92.0];
/// Number of runner processes, each with its own engine.
const RUNNERS: usize = 6;
/// Time during which requests are sent at each rate.
const DURATION: Duration = Duration::from_secs(10);
/// Factor by which the stand-in engines run faster than their time model.
const ENGINE_SPEED: u32 = 10;
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(30);

/// Measures an entry daemon and its runner processes by the rate of short requests.
///
/// # Errors
///
/// Fails when a process does not start or a request does not complete.
pub async fn measure(programs: &Programs) -> Result<Vec<Series>, Error> {
    let engine_options = ["--speed".to_owned(), ENGINE_SPEED.to_string()];
    let (mut cores, mut memory, mut runner) = (vec![], vec![], vec![]);
    for rate in RATES {
        let size = Size { entries: 1, runners: RUNNERS, engines: RUNNERS, accounts: 10 };
        let cluster = Cluster::start(programs, size, &engine_options).await?;
        let options = Options {
            urls: vec![cluster.entries[0].url()],
            credential: CREDENTIAL.to_owned(),
            model: MODEL.to_owned(),
            rate,
            duration: DURATION,
            mix: Mix::Short,
            deadline: DEADLINE,
            seed: 1,
        };
        let mut pids = vec![cluster.entries[0].process.pid()];
        pids.extend(cluster.runners.iter().map(|r| r.process.pid()));
        let (stats, usages) = cluster::measure_usage(&pids, load::send_requests(&options)).await?;
        if stats.done() < stats.count() {
            return Err(
                format!("only {} of {} requests completed", stats.done(), stats.count()).into()
            );
        }
        cores.push((rate, usages[0].cores));
        memory.push((rate, usages[0].resident));
        let each = rate / RUNNERS as f64;
        runner.push((each, cluster::mean(usages[1..].iter().map(|u| u.cores))));
    }
    let x_label = "requests/s of 1,000 prompt and 8 generated tokens";
    Ok(vec![
        Series::new("entry.rate.cores", "processor time", x_label, "cores", cores),
        Series::new("entry.rate.memory", "resident memory at the end", x_label, "B", memory),
        Series::new("runner.rate.cores", "mean processor time", x_label, "cores", runner),
    ])
}
