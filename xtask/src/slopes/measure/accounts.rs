use crate::Failure;
use crate::fleet::Programs;
use crate::slopes::rig::Rig;
use crate::slopes::rig::Size;
use crate::slopes::series::Series;
use crate::slopes::usage;

/// Numbers of client accounts.
const ACCOUNTS: [usize; 4] = [10, 800, 1_600, 3_200];

/// Measures the memory of an entry daemon at rising numbers of client accounts.
///
/// # Errors
///
/// Fails when a process does not start.
pub async fn measure(programs: &Programs) -> Result<Vec<Series>, Failure> {
    let mut memory = Vec::new();
    for accounts in ACCOUNTS {
        let size = Size { entries: 1, runners: 4, engines: 1, accounts };
        let rig = Rig::start(programs, size, &[]).await?;
        let resident = usage::resident_bytes(rig.entries[0].process.id())?;
        memory.push((accounts as f64, resident));
    }
    let what = "resident memory, idle";
    Ok(vec![Series::new("entry.accounts.memory", what, "client accounts", "B", memory)])
}
