use std::time::Duration;

use crate::Failure;
use crate::fleet::Programs;
use crate::load;
use crate::load::Mix;
use crate::load::Options;
use crate::slopes::rig;
use crate::slopes::rig::CREDENTIAL;
use crate::slopes::rig::MODEL;
use crate::slopes::rig::Rig;
use crate::slopes::rig::Size;
use crate::slopes::series::Series;

/// Requests a second to one entry daemon.
const RATES: [f64; 4] = [10.0, 25.0, 46.0, 92.0];
/// Runner processes that share them.
const RUNNERS: usize = 6;
/// Time for which requests are sent at each rate.
const DURATION: Duration = Duration::from_secs(10);
/// Factor by which the engines run faster than their time model.
const ENGINE_SPEED: u32 = 10;
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(30);

/// Measures an entry daemon and its runner processes at rising rates of short requests.
///
/// # Errors
///
/// Fails when a process does not start or a request is not done.
pub async fn measure(programs: &Programs) -> Result<Vec<Series>, Failure> {
    let engine = ["--speed".to_owned(), ENGINE_SPEED.to_string()];
    let (mut cores, mut memory, mut runner) = (vec![], vec![], vec![]);
    for rate in RATES {
        let size = Size { entries: 1, runners: RUNNERS, engines: RUNNERS, accounts: 10 };
        let rig = Rig::start(programs, size, &engine).await?;
        let options = Options {
            urls: vec![rig.entries[0].url()],
            credential: CREDENTIAL.to_owned(),
            model: MODEL.to_owned(),
            rate,
            duration: DURATION,
            mix: Mix::Short,
            deadline: DEADLINE,
            seed: 1,
        };
        let mut ids = vec![rig.entries[0].process.id()];
        ids.extend(rig.runners.iter().map(|r| r.process.id()));
        let (tally, used) = rig::over(&ids, load::send(&options)).await?;
        if tally.done() < tally.count() {
            return Err(format!("{} of {} done", tally.done(), tally.count()).into());
        }
        cores.push((rate, used[0].cores));
        memory.push((rate, used[0].resident));
        let each = rate / RUNNERS as f64;
        runner.push((each, rig::mean(used[1..].iter().map(|u| u.cores))));
    }
    let by = "requests/s of 1,000 prompt and 8 generated tokens";
    Ok(vec![
        Series::new("entry.rate.cores", "processor time", by, "cores", cores),
        Series::new("entry.rate.memory", "resident memory at the end", by, "B", memory),
        Series::new("runner.rate.cores", "mean processor time", by, "cores", runner),
    ])
}
