use std::time::Duration;

use tokio::time::sleep;

use crate::Error;
use crate::fleet::Programs;
use crate::slopes::cluster;
use crate::slopes::cluster::Cluster;
use crate::slopes::cluster::Size;
use crate::slopes::series::Series;

/// Measured numbers of entry daemons.
const ENTRIES: [usize; 4] = [2, 8, 16, 32];
/// Duration of a measurement of idle processes.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Measures idle entry daemons and their reads from the store by the number of entry daemons.
///
/// # Errors
///
/// Fails when a process does not start.
pub async fn measure(programs: &Programs) -> Result<Vec<Series>, Error> {
    let (mut memory, mut cores, mut control, mut reads) = (vec![], vec![], vec![], vec![]);
    for entries in ENTRIES {
        let size = Size { entries, runners: 8, engines: 1, accounts: 10 };
        let cluster = Cluster::start(programs, size, &[]).await?;
        let pids: Vec<u32> = cluster.entries.iter().map(|e| e.process.pid()).collect();
        let reads_before = cluster.store_reads().await?;
        let before = cluster.entries[0].sum_metric("kumquattiller_control_bytes").await?;
        let ((), usages) = cluster::measure_usage(&pids, sleep(IDLE_TIME)).await?;
        let after = cluster.entries[0].sum_metric("kumquattiller_control_bytes").await?;
        let read = cluster.store_reads().await? - reads_before;
        let x = entries as f64;
        reads.push((x, read / IDLE_TIME.as_secs_f64()));
        memory.push((x, cluster::mean(usages.iter().map(|u| u.resident))));
        cores.push((x, cluster::mean(usages.iter().map(|u| u.cores))));
        control.push((x, (after - before) / IDLE_TIME.as_secs_f64()));
    }
    let x_label = "entry daemons in one availability zone, with 8 runners";
    Ok(vec![
        Series::new("entry.daemons.memory", "mean resident memory, idle", x_label, "B", memory),
        Series::new("entry.daemons.cores", "mean processor time, idle", x_label, "cores", cores),
        Series::new("store.reads", "reads, idle, no change", x_label, "reads/s", reads),
        Series::new("entry.daemons.control", "control of one, both ways", x_label, "B/s", control),
    ])
}
