//! Handlers of the model endpoints.

use kumquattiller_base::account;
use kumquattiller_base::deadline::Deadline;
use kumquattiller_base::error;
use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::service;
use kumquattiller_base::size::Tokens;
use poem::Body;
use poem::Response;
use poem::handler;
use poem::http::HeaderMap;
use poem::web::Data;

use crate::Daemon;
use crate::http::Error;
use crate::http::body;
use crate::http::body::Parameters;
use crate::http::handlers;
use crate::http::headers;
use crate::http::response;
use crate::http::response::Format;
use crate::http::resume;
use crate::request::Admitted;
use crate::request::hash_blocks;
use crate::snapshot::Snapshot;

/// Path of the call to the engine, whichever endpoint the caller used.
const ENGINE_PATH: &str = "/v1/completions";

/// Serves `POST /v1/completions`.
#[handler]
pub async fn completions(Data(daemon): Data<&Daemon>, headers: &HeaderMap, body: Body) -> Response {
    serve(daemon, headers, body, Format::Completion)
        .await
        .unwrap_or_else(|e| handlers::refuse(daemon, e))
}

/// Serves `POST /v1/chat/completions`.
#[handler]
pub async fn chat(Data(daemon): Data<&Daemon>, headers: &HeaderMap, body: Body) -> Response {
    serve(daemon, headers, body, Format::Chat).await.unwrap_or_else(|e| handlers::refuse(daemon, e))
}

async fn serve(
    daemon: &Daemon,
    headers: &HeaderMap,
    body: Body,
    format: Format,
) -> Result<Response, Error> {
    handlers::check_serving(daemon)?;
    let arrived = daemon.now();
    let trace = headers::trace(headers);
    let account = headers::account(headers, &daemon.snapshot())?;
    if let Some(event_id) = headers::last_event_id(headers)? {
        let model = body::Resume::read(&handlers::read_body(daemon, body).await?).model;
        return Ok(resume::serve(daemon, account, event_id, format, model).await);
    }
    let deadline = headers::deadline(headers)?;
    let key = headers::idempotency_key(headers, &account)?;
    let data = handlers::read_body(daemon, body).await?;
    let parameters = match format {
        Format::Completion => Parameters::try_from(body::read::<body::Completion>(&data)?)?,
        Format::Chat => Parameters::try_from(body::read::<body::Chat>(&data)?)?,
    };
    let snapshot = daemon.snapshot();
    let model: service::Model = parameters.model.parse().map_err(|_| error::Kind::UnknownModel)?;
    let service = snapshot.service_of(&model).ok_or(error::Kind::UnknownModel)?.clone();
    check_size(&parameters, snapshot.largest_zone_memory(&service))?;
    let idempotent = snapshot.is_idempotent(&service, "POST", ENGINE_PATH);
    if !idempotent && key.is_none() {
        return Err(error::Kind::MissingKey.into());
    }
    check_rate_limit(daemon, &snapshot, &account, &parameters)?;
    let time_limit = deadline.unwrap_or_else(|| snapshot.deadline_of(&service));
    let id = daemon.new_request_id();
    let request = Admitted {
        id,
        fingerprint: Fingerprint::of(&account, ENGINE_PATH, &data),
        rank: snapshot.rank_of(&account),
        account,
        service,
        model: Some(model),
        method: "POST".to_owned(),
        path: ENGINE_PATH.to_owned(),
        prompt_tokens: parameters.tokens,
        max_tokens: parameters.max_tokens,
        streamed: parameters.stream,
        idempotent,
        idempotency_key: key,
        deadline: Deadline::after(arrived, time_limit),
        block_hashes: hash_blocks(parameters.prompt.as_bytes()),
        arrived_at: arrived,
        trace,
        body: parameters.prompt.into(),
    };
    let prompt = request.prompt_tokens;
    let output = handlers::spawn_driver(daemon, request);
    if parameters.stream {
        return Ok(response::streamed(id, format, parameters.model, output).await);
    }
    Ok(response::buffered(id, format, &parameters.model, prompt, output).await)
}

/// Deducts the request's tokens from the token-rate limit of its client account.
///
/// # Errors
///
/// Fails when the limit is reached; the error says when to retry.
fn check_rate_limit(
    daemon: &Daemon,
    snapshot: &Snapshot,
    account: &account::Id,
    parameters: &Parameters,
) -> Result<(), Error> {
    let tokens = parameters.tokens.saturating_add(parameters.max_tokens);
    let admitted = daemon.limits().admit(snapshot, account, tokens, daemon.now());
    admitted.map_err(|refusal| Error {
        retry_after: Some(refusal.retry_after),
        ..Error::not_admitted(error::Kind::RateLimited)
    })
}

/// Checks that the engines of one availability zone have the memory for a request.
///
/// # Errors
///
/// Fails when prompt and answer exceed that memory; the error states both sizes. A request passes
/// when the memory is unknown.
fn check_size(parameters: &Parameters, largest_zone_memory: Tokens) -> Result<(), Error> {
    let required = parameters.tokens.saturating_add(parameters.max_tokens);
    if largest_zone_memory == Tokens::ZERO || required <= largest_zone_memory {
        return Ok(());
    }
    let detail = format!("prompt and answer have {required}, at most {largest_zone_memory} fit");
    Err(Error::not_admitted(error::Kind::PromptTooLarge).with_detail(detail))
}
