use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::Error;
use crate::Result;
use crate::caller::Caller;
use crate::caller::Completion;
use crate::caller::Status;
use crate::caller::prompt;
use crate::demo::fleet::Fleet;

/// Lengths of the prompts, in tokens.
const PROMPT_TOKENS: [u64; 5] = [1_000, 2_000, 60_000, 1_000, 120_000];
/// Tokens to generate per request.
const COMPLETION_TOKENS: u64 = 24;
/// Tokens of the completion during which an entry daemon is stopped.
const LONG_COMPLETION_TOKENS: u64 = 200;
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(60);
/// Characters of a completion that are printed.
const SHOWN_CHARS: usize = 24;
/// Time between the start of a stream and SIGTERM to its entry daemon.
const STOP_DELAY: Duration = Duration::from_millis(300);

/// Sends streaming requests and a call of the plain service and prints the responses.
///
/// # Errors
///
/// Fails when a request or the call fails or the decisions cannot be printed.
pub async fn send_requests(fleet: &Fleet) -> Result {
    let caller = Caller::new(&fleet.inventory.credential());
    let models = fleet.inventory.models();
    let model = models.first().ok_or("the register has no models")?;
    println!("\nprompt tokens | entry   | first token | whole    | answer");
    let mut last_request_id = String::new();
    for (index, tokens) in PROMPT_TOKENS.into_iter().enumerate() {
        let entry = &fleet.entries[index % fleet.entries.len()];
        let text = prompt(tokens, index as u64);
        let completion =
            caller.complete(&entry.url(), model, &text, COMPLETION_TOKENS, DEADLINE).await;
        print_completion(tokens, entry.process.name(), &completion)?;
        last_request_id.clone_from(&completion.request_id);
    }
    call_plain_service(fleet, &caller).await?;
    explain_request(fleet, &last_request_id)
}

/// Prints one completion.
fn print_completion(tokens: u64, entry: &str, completion: &Completion) -> Result {
    if completion.status != Status::Done {
        return Err(
            format!("request {} ended: {:?}", completion.request_id, completion.status).into()
        );
    }
    let first = completion.first_token.unwrap_or_default().as_secs_f64() * 1e3;
    let whole = completion.total.as_secs_f64() * 1e3;
    let text: String = completion.text.chars().take(SHOWN_CHARS).collect();
    println!("{tokens:>13} | {entry} | {first:>8.1} ms | {whole:>5.0} ms | {text}…");
    Ok(())
}

/// Calls the plain service with an idempotency key.
async fn call_plain_service(fleet: &Fleet, caller: &Caller) -> Result {
    let path = format!("/services/{}/dispatch", fleet.inventory.plain_service());
    let body = json!({"street": "Shaw Boulevard", "crew": 2});
    let url = fleet.entries[0].url();
    let (status, text, time) = caller.call(&url, &path, "dispatch-0001", &body).await?;
    println!("\nPOST {path} with Idempotency-Key dispatch-0001");
    println!("  {status} in {:.1} ms: {}", time.as_secs_f64() * 1e3, text.trim());
    if !(200..300).contains(&status) {
        return Err("the call of the plain service failed".into());
    }
    Ok(())
}

/// Prints the decisions of every process about a request, with the command-line program.
fn explain_request(fleet: &Fleet, request_id: &str) -> Result {
    println!("\n$ kumquattiller explain {request_id}");
    let program = fleet.launcher.programs().path("kumquattiller");
    let mut command = Command::new(program);
    command.args(["explain", request_id]);
    for daemon in fleet.entries.iter().chain(&fleet.runners) {
        command.args(["--at", &daemon.link_address.to_string()]);
    }
    if command.status()?.success() { Ok(()) } else { Err("explain failed".into()) }
}

/// Stops an entry daemon while it streams a completion, then all other processes.
///
/// # Errors
///
/// Fails when the stream is interrupted or a process does not exit with code 0.
pub async fn stop_fleet(fleet: &mut Fleet) -> Result {
    let caller = Caller::new(&fleet.inventory.credential());
    let model = fleet.inventory.models().first().cloned().unwrap_or_default();
    let url = fleet.entries[0].url();
    let text = prompt(1_000, PROMPT_TOKENS.len() as u64);
    let stream = tokio::spawn(async move {
        caller.complete(&url, &model, &text, LONG_COMPLETION_TOKENS, DEADLINE).await
    });
    tokio::time::sleep(STOP_DELAY).await;
    let started = Instant::now();
    fleet.entries[0].process.terminate()?;
    let completion = stream.await?;
    if completion.status != Status::Done {
        return Err(format!(
            "the stream was interrupted when its entry daemon stopped: {:?}",
            completion.status
        )
        .into());
    }
    println!(
        "\nSIGTERM to entry-1 while it streams {LONG_COMPLETION_TOKENS} tokens: the stream is whole"
    );
    fleet.entries[0].process.wait()?;
    println!("entry-1 ended with exit code 0 after {:.1} s", started.elapsed().as_secs_f64());
    let count = stop_remaining(fleet)?;
    println!("{count} other daemons and runner processes ended with exit code 0");
    Ok(())
}

/// Stops the remaining entry daemons, then the runner processes, then the stand-ins; returns how
/// many daemons and runner processes were stopped.
fn stop_remaining(fleet: &mut Fleet) -> Result<usize, Error> {
    let entries = fleet.entries.iter_mut().skip(1).map(|m| &mut m.process);
    let runners = fleet.runners.iter_mut().map(|m| &mut m.process);
    let mut count = 0;
    for process in entries.chain(runners) {
        process.terminate()?;
        process.wait()?;
        count += 1;
    }
    fleet.standins.iter_mut().for_each(|standin| standin.process.kill());
    Ok(count)
}
