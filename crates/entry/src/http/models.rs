//! Handlers of model requests.

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
use crate::http::answer;
use crate::http::answer::Shape;
use crate::http::body;
use crate::http::body::Parts;
use crate::http::handlers;
use crate::http::headers;
use crate::http::resume;
use crate::request::Admitted;
use crate::request::hash_blocks;
use crate::snapshot::Snapshot;

/// Path of the engine's call.
const ENGINE_PATH: &str = "/v1/completions";

/// Serves `POST /v1/completions`.
#[handler]
pub async fn completions(Data(daemon): Data<&Daemon>, headers: &HeaderMap, body: Body) -> Response {
    serve(daemon, headers, body, Shape::Completion)
        .await
        .unwrap_or_else(|e| handlers::refuse(daemon, e))
}

/// Serves `POST /v1/chat/completions`.
#[handler]
pub async fn chat(Data(daemon): Data<&Daemon>, headers: &HeaderMap, body: Body) -> Response {
    serve(daemon, headers, body, Shape::Chat).await.unwrap_or_else(|e| handlers::refuse(daemon, e))
}

async fn serve(
    daemon: &Daemon,
    headers: &HeaderMap,
    body: Body,
    shape: Shape,
) -> Result<Response, Error> {
    handlers::check_serving(daemon)?;
    let arrived = daemon.now();
    let trace = headers::trace(headers);
    let account = headers::account(headers, &daemon.snapshot())?;
    if let Some(event_id) = headers::last_event_id(headers)? {
        let model = body::Named::read(&handlers::read_body(daemon, body).await?).model;
        return Ok(resume::serve(daemon, account, event_id, shape, model).await);
    }
    let deadline = headers::deadline(headers)?;
    let key = headers::key(headers, &account)?;
    let data = handlers::read_body(daemon, body).await?;
    let parts = match shape {
        Shape::Completion => Parts::try_from(body::read::<body::Completion>(&data)?)?,
        Shape::Chat => Parts::try_from(body::read::<body::Chat>(&data)?)?,
    };
    let snapshot = daemon.snapshot();
    let model: service::Model = parts.model.parse().map_err(|_| error::Kind::UnknownModel)?;
    let service = snapshot.service_of(&model).ok_or(error::Kind::UnknownModel)?.clone();
    check_size(&parts, snapshot.largest_set(&service))?;
    let idempotent = snapshot.is_idempotent(&service, "POST", ENGINE_PATH);
    if !idempotent && key.is_none() {
        return Err(error::Kind::MissingKey.into());
    }
    check_limit(daemon, &snapshot, &account, &parts)?;
    let span = deadline.unwrap_or_else(|| snapshot.deadline_of(&service));
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
        prompt_tokens: parts.tokens,
        max_tokens: parts.max_tokens,
        streamed: parts.stream,
        idempotent,
        idempotency_key: key,
        deadline: Deadline::after(arrived, span),
        block_hashes: hash_blocks(parts.prompt.as_bytes()),
        arrived_at: arrived,
        trace,
        body: parts.prompt.into(),
    };
    let prompt = request.prompt_tokens;
    let output = handlers::drive(daemon, request);
    if parts.stream {
        return Ok(answer::streamed(id, shape, parts.model, output).await);
    }
    Ok(answer::whole(id, shape, &parts.model, prompt, output).await)
}

/// Takes the request's tokens from the account's limit, or refuses it with the time to try again.
fn check_limit(
    daemon: &Daemon,
    snapshot: &Snapshot,
    account: &account::Id,
    parts: &Parts,
) -> Result<(), Error> {
    let tokens = parts.tokens.saturating_add(parts.max_tokens);
    let admitted = daemon.limits().admit(snapshot, account, tokens, daemon.now());
    admitted.map_err(|refusal| Error {
        retry_after: Some(refusal.retry_after),
        ..Error::not_admitted(error::Kind::RateLimited)
    })
}

/// Refuses a request that no reachable set of engines holds, naming the limit.
fn check_size(parts: &Parts, largest: Tokens) -> Result<(), Error> {
    let wanted = parts.tokens.saturating_add(parts.max_tokens);
    if largest == Tokens::ZERO || wanted <= largest {
        return Ok(());
    }
    let detail = format!("prompt and answer have {wanted}, at most {largest} fit");
    Err(Error::not_admitted(error::Kind::PromptTooLarge).with_detail(detail))
}
