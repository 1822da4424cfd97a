//! Demo: starts a local fleet, sends requests to it and stops it gracefully.

mod fleet;
mod inventory;
mod show;

use std::time::Instant;

use crate::Result;
use crate::demo::fleet::Fleet;
use crate::fleet::build;

/// Runs the demo.
///
/// # Errors
///
/// Fails when a step of the demo fails; all started processes are stopped in any case.
pub fn exec(args: pico_args::Arguments) -> Result {
    if !args.finish().is_empty() {
        return Err("usage: cargo xtask demo".into());
    }
    let programs = build(false)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let started = Instant::now();
        let mut fleet = Fleet::start(programs).await?;
        show::send_requests(&fleet).await?;
        show::stop_fleet(&mut fleet).await?;
        println!("done in {:.1} s", started.elapsed().as_secs_f64());
        Ok(())
    })
}
