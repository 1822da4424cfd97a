//! Shows kumquattiller serving: starts everything, sends requests, stops everything.

mod fleet;
mod inventory;
mod show;

use std::time::Instant;

use crate::Outcome;
use crate::demo::fleet::Fleet;
use crate::fleet::build;

/// Runs the chore.
///
/// # Errors
///
/// Fails when anything that is shown does not work; every process is ended all the same.
pub fn exec(args: pico_args::Arguments) -> Outcome {
    if !args.finish().is_empty() {
        return Err("usage: cargo xtask demo".into());
    }
    let programs = build(false)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let begin = Instant::now();
        let mut fleet = Fleet::start(programs).await?;
        show::requests(&fleet).await?;
        show::stop(&mut fleet).await?;
        println!("done in {:.1} s", begin.elapsed().as_secs_f64());
        Ok(())
    })
}
