use crate::Error;
use crate::fleet::Programs;
use crate::slopes::cluster::Cluster;
use crate::slopes::cluster::Size;
use crate::slopes::series::Series;
use crate::slopes::usage;

/// Measured numbers of client accounts.
const ACCOUNTS: [usize; 4] = [10, 800, 1_600, 3_200];

/// Measures the memory of an entry daemon by the number of client accounts.
///
/// # Errors
///
/// Fails when a process does not start.
pub async fn measure(programs: &Programs) -> Result<Vec<Series>, Error> {
    let mut memory = Vec::new();
    for accounts in ACCOUNTS {
        let size = Size { entries: 1, runners: 4, engines: 1, accounts };
        let cluster = Cluster::start(programs, size, &[]).await?;
        let resident = usage::resident_bytes(cluster.entries[0].process.pid())?;
        memory.push((accounts as f64, resident));
    }
    let what = "resident memory, idle";
    Ok(vec![Series::new("entry.accounts.memory", what, "client accounts", "B", memory)])
}
