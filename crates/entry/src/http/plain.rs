//! Handler of calls to plain services.

use kumquattiller_base::deadline::Deadline;
use kumquattiller_base::error;
use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::request;
use kumquattiller_base::service;
use kumquattiller_base::size::Tokens;
use poem::Body;
use poem::IntoResponse;
use poem::Request;
use poem::Response;
use poem::handler;
use poem::http::StatusCode;
use poem::web::Data;
use poem::web::Path;
use tokio::sync::mpsc;

use crate::Daemon;
use crate::drive::Output;
use crate::http::Error;
use crate::http::handlers;
use crate::http::headers;
use crate::request::Admitted;

/// Serves `/services/{service}/{path}` for every method.
#[handler]
pub async fn call(
    Data(daemon): Data<&Daemon>,
    Path((service, path)): Path<(String, String)>,
    request: &Request,
    body: Body,
) -> Response {
    serve(daemon, &service, &path, request, body)
        .await
        .unwrap_or_else(|e| handlers::refuse(daemon, e))
}

async fn serve(
    daemon: &Daemon,
    service: &str,
    path: &str,
    request: &Request,
    body: Body,
) -> Result<Response, Error> {
    handlers::check_serving(daemon)?;
    let arrived = daemon.now();
    let trace = headers::trace(request.headers());
    let snapshot = daemon.snapshot();
    let account = headers::account(request.headers(), &snapshot)?;
    let service: service::Name = service.parse().map_err(|_| error::Kind::UnknownService)?;
    let is_plain = snapshot.service(&service).is_some_and(|s| s.kind == service::Kind::Plain);
    if !is_plain {
        return Err(error::Kind::UnknownService.into());
    }
    let deadline = headers::deadline(request.headers())?;
    let key = headers::idempotency_key(request.headers(), &account)?;
    let method = request.method().as_str().to_owned();
    let path = match request.uri().query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let idempotent = snapshot.is_idempotent(&service, &method, &path);
    if !idempotent && key.is_none() {
        return Err(error::Kind::MissingKey.into());
    }
    let data = handlers::read_body(daemon, body).await?;
    let time_limit = deadline.unwrap_or_else(|| snapshot.deadline_of(&service));
    let id = daemon.new_request_id();
    let request = Admitted {
        id,
        fingerprint: Fingerprint::of(&account, &format!("{method} {service}{path}"), &data),
        rank: snapshot.rank_of(&account),
        account,
        service,
        model: None,
        method,
        path,
        prompt_tokens: Tokens::ZERO,
        max_tokens: Tokens::ZERO,
        streamed: false,
        idempotent,
        idempotency_key: key,
        deadline: Deadline::after(arrived, time_limit),
        block_hashes: Vec::new(),
        arrived_at: arrived,
        trace,
        body: data,
    };
    Ok(respond(id, handlers::spawn_driver(daemon, request)).await)
}

/// Collects the output of the request and responds with it.
async fn respond(id: request::Id, mut output: mpsc::Receiver<Output>) -> Response {
    let mut data = Vec::new();
    while let Some(item) = output.recv().await {
        let end = match item {
            Output::Chunk(chunk) => {
                data.extend_from_slice(&chunk.data);
                continue;
            }
            Output::End(end) => end,
        };
        if let Some(error) = Error::from_outcome(id, &end.outcome) {
            return error.into_response();
        }
        let status = StatusCode::from_u16(end.status).unwrap_or(StatusCode::BAD_GATEWAY);
        return Response::builder()
            .status(status)
            .content_type(&end.content_type)
            .header(headers::REQUEST_ID, id.to_string())
            .body(data);
    }
    Error::outcome_lost(id).into_response()
}
