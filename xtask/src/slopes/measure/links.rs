use std::time::Duration;

use tokio::time::sleep;

use crate::Error;
use crate::fleet::Programs;
use crate::slopes::cluster;
use crate::slopes::cluster::Cluster;
use crate::slopes::cluster::Size;
use crate::slopes::series::Series;

/// Measured numbers of runner processes that one entry daemon has links to.
const RUNNERS: [usize; 4] = [8, 16, 32, 48];
/// Duration of a measurement of idle processes.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Measures an idle entry daemon and idle runner processes by the number of links.
///
/// # Errors
///
/// Fails when a process does not start.
pub async fn measure(programs: &Programs) -> Result<Vec<Series>, Error> {
    let (mut memory, mut cores, mut control, mut runner) = (vec![], vec![], vec![], vec![]);
    for runners in RUNNERS {
        let size = Size { entries: 1, runners, engines: 1, accounts: 10 };
        let cluster = Cluster::start(programs, size, &[]).await?;
        let entry = &cluster.entries[0];
        let mut pids = vec![entry.process.pid()];
        pids.extend(cluster.runners.iter().map(|r| r.process.pid()));
        let before = entry.sum_metric("kumquattiller_control_bytes").await?;
        let ((), usages) = cluster::measure_usage(&pids, sleep(IDLE_TIME)).await?;
        let bytes = entry.sum_metric("kumquattiller_control_bytes").await? - before;
        let x = runners as f64;
        memory.push((x, usages[0].resident));
        cores.push((x, usages[0].cores));
        control.push((x, bytes / IDLE_TIME.as_secs_f64()));
        runner.push((x, cluster::mean(usages[1..].iter().map(|u| u.resident))));
    }
    let x_label = "links to runner processes";
    Ok(vec![
        Series::new("entry.links.memory", "resident memory, idle", x_label, "B", memory),
        Series::new("entry.links.cores", "processor time, idle", x_label, "cores", cores),
        Series::new("entry.links.control", "control both ways, idle", x_label, "B/s", control),
        Series::new("runner.memory", "mean resident memory, idle", "runners", "B", runner),
    ])
}
