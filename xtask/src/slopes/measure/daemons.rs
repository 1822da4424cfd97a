use std::time::Duration;

use tokio::time::sleep;

use crate::Failure;
use crate::fleet::Programs;
use crate::slopes::rig;
use crate::slopes::rig::Rig;
use crate::slopes::rig::Size;
use crate::slopes::series::Series;

/// Numbers of entry daemons.
const ENTRIES: [usize; 4] = [2, 8, 16, 32];
/// Time for which idle processes are measured.
const IDLE: Duration = Duration::from_secs(10);

/// Measures idle entry daemons, and their calls of the platform, at rising numbers of them.
///
/// # Errors
///
/// Fails when a process does not start.
pub async fn measure(programs: &Programs) -> Result<Vec<Series>, Failure> {
    let (mut memory, mut cores, mut control, mut reads) = (vec![], vec![], vec![], vec![]);
    for entries in ENTRIES {
        let size = Size { entries, runners: 8, engines: 1, accounts: 10 };
        let rig = Rig::start(programs, size, &[]).await?;
        let ids: Vec<u32> = rig.entries.iter().map(|e| e.process.id()).collect();
        let reads_before = rig.store_reads().await?;
        let before = rig.entries[0].metric("kumquattiller_control_bytes").await?;
        let ((), used) = rig::over(&ids, sleep(IDLE)).await?;
        let after = rig.entries[0].metric("kumquattiller_control_bytes").await?;
        let read = rig.store_reads().await? - reads_before;
        let x = entries as f64;
        reads.push((x, read / IDLE.as_secs_f64()));
        memory.push((x, rig::mean(used.iter().map(|u| u.resident))));
        cores.push((x, rig::mean(used.iter().map(|u| u.cores))));
        control.push((x, (after - before) / IDLE.as_secs_f64()));
    }
    let by = "entry daemons in one availability zone, with 8 runners";
    Ok(vec![
        Series::new("entry.daemons.memory", "mean resident memory, idle", by, "B", memory),
        Series::new("entry.daemons.cores", "mean processor time, idle", by, "cores", cores),
        Series::new("store.reads", "reads, idle, no change", by, "reads/s", reads),
        Series::new("entry.daemons.control", "control of one, both ways", by, "B/s", control),
    ])
}
