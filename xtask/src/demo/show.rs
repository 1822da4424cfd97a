use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::Failure;
use crate::Outcome;
use crate::caller::Answer;
use crate::caller::Caller;
use crate::caller::Ended;
use crate::caller::prompt;
use crate::demo::fleet::Fleet;

/// Prompts that are sent, in tokens.
const PROMPTS: [u64; 5] = [1_000, 2_000, 60_000, 1_000, 120_000];
/// Tokens to generate.
const ANSWER_TOKENS: u64 = 24;
/// Tokens of the answer during which an entry daemon is stopped.
const LONG_ANSWER_TOKENS: u64 = 200;
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(60);
/// Characters of an answer that are printed.
const SHOWN_CHARS: usize = 24;
/// Time from the start of a stream to the stop of its entry daemon.
const STREAM_HEAD: Duration = Duration::from_millis(300);

/// Sends streamed requests and a call of the plain service, and prints the answers.
///
/// # Errors
///
/// Fails when an answer is not whole.
pub async fn requests(fleet: &Fleet) -> Outcome {
    let caller = Caller::new(&fleet.inventory.credential());
    let models = fleet.inventory.models();
    let model = models.first().ok_or("a register without models")?;
    println!("\nprompt tokens | entry   | first token | whole    | answer");
    let mut last = String::new();
    for (index, tokens) in PROMPTS.into_iter().enumerate() {
        let entry = &fleet.entries[index % fleet.entries.len()];
        let text = prompt(tokens, index as u64);
        let answer = caller.complete(&entry.url(), model, &text, ANSWER_TOKENS, DEADLINE).await;
        print(tokens, entry.process.name(), &answer)?;
        last.clone_from(&answer.request);
    }
    plain_call(fleet, &caller).await?;
    explain(fleet, &last)
}

/// Prints one answer.
fn print(tokens: u64, entry: &str, answer: &Answer) -> Outcome {
    if answer.ended != Ended::Done {
        return Err(format!("request {} ended: {:?}", answer.request, answer.ended).into());
    }
    let first = answer.first_token.unwrap_or_default().as_secs_f64() * 1e3;
    let whole = answer.total.as_secs_f64() * 1e3;
    let text: String = answer.text.chars().take(SHOWN_CHARS).collect();
    println!("{tokens:>13} | {entry} | {first:>8.1} ms | {whole:>5.0} ms | {text}…");
    Ok(())
}

/// Calls the plain service twice with one key.
async fn plain_call(fleet: &Fleet, caller: &Caller) -> Outcome {
    let path = format!("/services/{}/dispatch", fleet.inventory.plain_service());
    let body = json!({"street": "Shaw Boulevard", "crew": 2});
    let url = fleet.entries[0].url();
    let (status, text, time) = caller.call(&url, &path, "dispatch-0001", &body).await?;
    println!("\nPOST {path} with Idempotency-Key dispatch-0001");
    println!("  {status} in {:.1} ms: {}", time.as_secs_f64() * 1e3, text.trim());
    if !(200..300).contains(&status) {
        return Err("the plain service was not called".into());
    }
    Ok(())
}

/// Asks every process for its decisions about a request.
fn explain(fleet: &Fleet, request: &str) -> Outcome {
    println!("\n$ kumquattiller explain {request}");
    let program = fleet.starter.programs().path("kumquattiller");
    let mut command = Command::new(program);
    command.args(["explain", request]);
    for member in fleet.entries.iter().chain(&fleet.runners) {
        command.args(["--at", &member.link.to_string()]);
    }
    if command.status()?.success() { Ok(()) } else { Err("explain failed".into()) }
}

/// Stops an entry daemon while it streams, then all other processes.
///
/// # Errors
///
/// Fails when the stream is cut or a process does not end with exit code 0.
pub async fn stop(fleet: &mut Fleet) -> Outcome {
    let caller = Caller::new(&fleet.inventory.credential());
    let model = fleet.inventory.models().first().cloned().unwrap_or_default();
    let url = fleet.entries[0].url();
    let text = prompt(1_000, PROMPTS.len() as u64);
    let stream = tokio::spawn(async move {
        caller.complete(&url, &model, &text, LONG_ANSWER_TOKENS, DEADLINE).await
    });
    tokio::time::sleep(STREAM_HEAD).await;
    let begin = Instant::now();
    fleet.entries[0].process.terminate()?;
    let answer = stream.await?;
    if answer.ended != Ended::Done {
        return Err(format!("the stop cut a stream: {:?}", answer.ended).into());
    }
    println!(
        "\nSIGTERM to entry-1 while it streams {LONG_ANSWER_TOKENS} tokens: the stream is whole"
    );
    fleet.entries[0].process.wait()?;
    println!("entry-1 ended with exit code 0 after {:.1} s", begin.elapsed().as_secs_f64());
    let count = all_others(fleet)?;
    println!("{count} other daemons and runner processes ended with exit code 0");
    Ok(())
}

/// Stops what still runs, in the order of the path.
fn all_others(fleet: &mut Fleet) -> Result<usize, Failure> {
    let entries = fleet.entries.iter_mut().skip(1).map(|m| &mut m.process);
    let runners = fleet.runners.iter_mut().map(|m| &mut m.process);
    let mut count = 0;
    for process in entries.chain(runners) {
        process.terminate()?;
        process.wait()?;
        count += 1;
    }
    fleet.standins.iter_mut().for_each(|standin| standin.process.end());
    Ok(count)
}
