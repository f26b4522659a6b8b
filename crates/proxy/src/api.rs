//! The callers' HTTP interface.
//!
//! Answers are NDJSON: one line a row as it arrives, and one last line with the outcome. An answer
//! without that line was cut off. A request that ends before its first row also has the matching
//! status code. Answers to writes are collected before the headers are sent, so that the session
//! token can travel as a header and a cookie.

use std::sync::Arc;
use std::time::Duration;

use rocket::Request;
use rocket::Response;
use rocket::Route;
use rocket::State;
use rocket::data::Data;
use rocket::data::ToByteUnit;
use rocket::futures::stream;
use rocket::http::ContentType;
use rocket::http::Header;
use rocket::http::Status;
use rocket::request::FromRequest;
use rocket::request::Outcome;
use rocket::response;
use rocket::response::Responder;
use rocket::response::stream::ByteStream;
use serde_json::Value;
use serde_json::json;

use heatherhollow_types::RefusalReason;
use heatherhollow_types::RequestId;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::TransactionId;

use crate::call::CallAction;
use crate::call::MAX_STATEMENT_BYTES;
use crate::call::TransactionStep;
use crate::caller::CallerEnd;
use crate::caller::CallerPart;
use crate::caller::CallerRequest;
use crate::caller::CallerStream;
use crate::engine::ProxyEngine;

/// Header with the session token.
pub const SESSION_HEADER: &str = "Heatherhollow-Session";

/// Cookie with the session token.
pub const SESSION_COOKIE: &str = "heatherhollow-session";

/// Header with the request id.
pub const REQUEST_HEADER: &str = "Idempotency-Key";

/// Header with the time that the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "Heatherhollow-Deadline-Ms";

/// Header that allows a request to be sent twice.
pub const REPEATABLE_HEADER: &str = "Heatherhollow-Repeatable";

/// Largest body that a route reads, in bytes.
pub const MAX_BODY_BYTES: usize = MAX_STATEMENT_BYTES;

/// Most rows of a write's answer that are collected before its headers are sent.
const MAX_COLLECTED_ROWS: usize = 64;

/// Headers of a caller's request.
struct CallerHeaders {
    session: Option<String>,
    request: Option<RequestId>,
    patience: Option<Duration>,
    is_repeatable: bool,
}

/// A header or path segment that cannot be understood.
struct FieldError {
    field: &'static str,
    message: String,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallerHeaders {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        match read_headers(request) {
            Ok(headers) => Outcome::Success(headers),
            Err(error) => {
                request.local_cache(|| Some(error));
                Outcome::Error((Status::BadRequest, ()))
            }
        }
    }
}

fn read_headers(request: &Request<'_>) -> Result<CallerHeaders, FieldError> {
    let headers = request.headers();
    let cookie = request
        .cookies()
        .get(SESSION_COOKIE)
        .map(|cookie| cookie.value().to_string());
    let session = headers
        .get_one(SESSION_HEADER)
        .map(ToString::to_string)
        .or(cookie);
    let request_id = headers
        .get_one(REQUEST_HEADER)
        .map(str::parse::<RequestId>)
        .transpose();
    let request_id = request_id.map_err(|error| FieldError {
        field: REQUEST_HEADER,
        message: error.to_string(),
    })?;
    let patience = match headers.get_one(DEADLINE_HEADER).map(str::parse::<u64>) {
        None => None,
        Some(Ok(millis)) if millis > 0 => Some(Duration::from_millis(millis)),
        Some(_) => {
            let message = "a positive number of milliseconds is expected".to_string();
            return Err(FieldError {
                field: DEADLINE_HEADER,
                message,
            });
        }
    };
    let is_repeatable = match headers.get_one(REPEATABLE_HEADER) {
        None | Some("false") => false,
        Some("true") => true,
        Some(_) => {
            let message = "true or false is expected".to_string();
            return Err(FieldError {
                field: REPEATABLE_HEADER,
                message,
            });
        }
    };
    Ok(CallerHeaders {
        session,
        request: request_id,
        patience,
        is_repeatable,
    })
}

/// An answer with status code and headers.
struct CallerReply {
    status: Status,
    retry_after: Option<Duration>,
    session: Option<String>,
    body: ReplyBody,
}

enum ReplyBody {
    Whole(String),
    Stream {
        lines: String,
        rest: Box<dyn CallerStream>,
    },
}

impl<'r> Responder<'r, 'r> for CallerReply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let mut response = match self.body {
            ReplyBody::Whole(text) => text.respond_to(request)?,
            ReplyBody::Stream { lines, rest } => {
                ByteStream(stream_lines(lines, rest)).respond_to(request)?
            }
        };
        response.set_status(self.status);
        response.set_header(ContentType::new("application", "x-ndjson"));
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_secs_f64().ceil().max(1.0);
            response.set_header(Header::new("Retry-After", seconds.to_string()));
        }
        if let Some(session) = self.session {
            let cookie = format!("{SESSION_COOKIE}={session}; Path=/; HttpOnly; SameSite=Lax");
            response.set_header(Header::new("Set-Cookie", cookie));
            response.set_header(Header::new(SESSION_HEADER, session));
        }
        Ok(Response::build_from(response).finalize())
    }
}

fn stream_lines(
    first: String,
    rest: Box<dyn CallerStream>,
) -> impl stream::Stream<Item = Vec<u8>> + Send {
    stream::unfold((Some(first), rest), |(first, mut rest)| async move {
        if let Some(first) = first.filter(|lines| !lines.is_empty()) {
            return Some((first.into_bytes(), (None, rest)));
        }
        let part = rest.next_part().await?;
        Some((part_line(&part).into_bytes(), (None, rest)))
    })
}

fn part_line(part: &CallerPart) -> String {
    match part {
        CallerPart::Row(row) => {
            format!("{{\"row\":{}}}\n", String::from_utf8_lossy(row))
        }
        CallerPart::End(end) => format!("{}\n", end_record(end)),
    }
}

fn end_record(end: &CallerEnd) -> Value {
    let mut record = json!({
        "outcome": end.outcome.name(),
        "rows": end.rows,
    });
    // A refusal before the token was read leaves the caller with the token that it has.
    if !end.session.is_empty() {
        record["session"] = json!(end.session);
    }
    if let Some(reason) = end.outcome.reason() {
        record["reason"] = json!(reason);
    }
    if let RequestOutcome::NotRun { retry_after, .. } = end.outcome {
        record["retry_after_ms"] = json!(retry_after.as_millis() as u64);
    }
    if !end.detail.is_empty() {
        record["detail"] = json!(end.detail);
    }
    if let Some(transaction) = &end.transaction {
        record["transaction"] = json!(transaction.to_string());
    }
    if let Some(target) = &end.target {
        record["target"] = json!(target.to_string());
        record["role"] = json!(if end.is_replica { "replica" } else { "primary" });
        record["age_ms"] = json!(end.age.as_secs_f64() * 1_000.0);
    }
    if end.is_recorded {
        record["recorded"] = json!(true);
    }
    json!({ "end": record })
}

/// Status code of a request that ended before its first row.
pub fn status_of(outcome: RequestOutcome) -> Status {
    match outcome {
        RequestOutcome::Done => Status::Ok,
        RequestOutcome::Failed(_) => Status::Conflict,
        RequestOutcome::Unknown(_) => Status::GatewayTimeout,
        RequestOutcome::NotRun { reason, .. } => match reason {
            RefusalReason::BadRequest => Status::BadRequest,
            RefusalReason::InvalidToken => Status::Unauthorized,
            RefusalReason::UnknownService | RefusalReason::UnknownKind => Status::NotFound,
            RefusalReason::TransactionLost | RefusalReason::TransactionBusy => Status::Conflict,
            RefusalReason::Overloaded
            | RefusalReason::QueueFull
            | RefusalReason::QueueTimeout
            | RefusalReason::TooMany => Status::TooManyRequests,
            _ => Status::ServiceUnavailable,
        },
    }
}

fn refusal(error: &FieldError) -> CallerReply {
    let FieldError { field, message } = error;
    let record = json!({ "end": {
        "outcome": "not_run",
        "reason": RefusalReason::BadRequest.as_str(),
        "field": field,
        "detail": message,
        "rows": 0,
    }});
    let body = ReplyBody::Whole(format!("{record}\n"));
    CallerReply {
        status: Status::BadRequest,
        retry_after: None,
        session: None,
        body,
    }
}

fn parse_field<T>(field: &'static str, text: &str) -> Result<T, FieldError>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| FieldError {
        field,
        message: error.to_string(),
    })
}

async fn read_statement(body: Data<'_>) -> Result<String, Box<CallerReply>> {
    let bad = |message: &str| {
        let error = FieldError {
            field: "body",
            message: message.to_string(),
        };
        Box::new(refusal(&error))
    };
    let text = body.open(MAX_STATEMENT_BYTES.bytes()).into_string().await;
    let text = text.map_err(|_| bad("the statement is not valid UTF-8 or broke off"))?;
    if !text.is_complete() {
        let message = format!("the statement is longer than {MAX_STATEMENT_BYTES} bytes");
        let mut reply = bad(&message);
        reply.status = Status::PayloadTooLarge;
        return Err(reply);
    }
    Ok(text.into_inner())
}

async fn run(
    engine: &Arc<ProxyEngine>,
    team: &str,
    service: &str,
    action: Result<CallAction, FieldError>,
    headers: CallerHeaders,
    body: Data<'_>,
) -> CallerReply {
    let statement = match read_statement(body).await {
        Ok(statement) => statement,
        Err(reply) => return *reply,
    };
    let request = action.and_then(|action| {
        Ok(CallerRequest {
            team: parse_field("team", team)?,
            service: parse_field("service", service)?,
            action,
            statement,
            session: headers.session,
            request: headers.request,
            patience: headers.patience,
            is_repeatable: headers.is_repeatable,
        })
    });
    match request {
        Ok(request) => reply_to(engine, request).await,
        Err(error) => {
            engine.metrics().record_outcome(RequestOutcome::not_run(
                RefusalReason::BadRequest,
                Duration::ZERO,
            ));
            refusal(&error)
        }
    }
}

async fn reply_to(engine: &Arc<ProxyEngine>, request: CallerRequest) -> CallerReply {
    let is_read = matches!(request.action, CallAction::Read(_));
    let collected_rows = if is_read { 1 } else { MAX_COLLECTED_ROWS };
    let mut rest = engine.handle(request).await;
    let mut lines = String::new();
    for _ in 0..collected_rows {
        let Some(part) = rest.next_part().await else {
            break;
        };
        lines.push_str(&part_line(&part));
        if let CallerPart::End(end) = part {
            let retry_after = match end.outcome {
                RequestOutcome::NotRun { retry_after, .. } if !retry_after.is_zero() => {
                    Some(retry_after)
                }
                _ => None,
            };
            return CallerReply {
                status: status_of(end.outcome),
                retry_after,
                session: (!end.session.is_empty()).then_some(end.session),
                body: ReplyBody::Whole(lines),
            };
        }
    }
    let body = ReplyBody::Stream { lines, rest };
    CallerReply {
        status: Status::Ok,
        retry_after: None,
        session: None,
        body,
    }
}

type EngineState = State<Arc<ProxyEngine>>;

#[rocket::post("/v1/<team>/<service>/read/<kind>", data = "<body>")]
async fn read(
    engine: &EngineState,
    team: &str,
    service: &str,
    kind: &str,
    headers: CallerHeaders,
    body: Data<'_>,
) -> CallerReply {
    let action = parse_field("kind", kind).map(CallAction::Read);
    run(engine, team, service, action, headers, body).await
}

#[rocket::post("/v1/<team>/<service>/write", data = "<body>")]
async fn write(
    engine: &EngineState,
    team: &str,
    service: &str,
    headers: CallerHeaders,
    body: Data<'_>,
) -> CallerReply {
    run(engine, team, service, Ok(CallAction::Write), headers, body).await
}

#[rocket::post("/v1/<team>/<service>/transactions", data = "<body>")]
async fn begin(
    engine: &EngineState,
    team: &str,
    service: &str,
    headers: CallerHeaders,
    body: Data<'_>,
) -> CallerReply {
    run(engine, team, service, Ok(CallAction::Begin), headers, body).await
}

fn step_action(id: &str, step: TransactionStep) -> Result<CallAction, FieldError> {
    let id = parse_field::<TransactionId>("transaction", id)?;
    Ok(CallAction::Step(id, step))
}

#[rocket::post("/v1/<team>/<service>/transactions/<id>", data = "<body>")]
async fn within(
    engine: &EngineState,
    team: &str,
    service: &str,
    id: &str,
    headers: CallerHeaders,
    body: Data<'_>,
) -> CallerReply {
    let action = step_action(id, TransactionStep::Within);
    run(engine, team, service, action, headers, body).await
}

/// Commits or rolls back, as the last segment of the path says.
#[rocket::post("/v1/<team>/<service>/transactions/<id>/<end>", data = "<body>")]
async fn finish(
    engine: &EngineState,
    team: &str,
    service: &str,
    id: &str,
    end: &str,
    headers: CallerHeaders,
    body: Data<'_>,
) -> CallerReply {
    let action = match end {
        "commit" => step_action(id, TransactionStep::Commit),
        "rollback" => step_action(id, TransactionStep::Rollback),
        _ => {
            let message = "commit or rollback is expected".to_string();
            Err(FieldError {
                field: "path",
                message,
            })
        }
    };
    run(engine, team, service, action, headers, body).await
}

#[rocket::get("/healthz")]
fn healthz() -> &'static str {
    "ok\n"
}

#[rocket::get("/readyz")]
fn readyz(engine: &EngineState) -> (Status, String) {
    match engine.readiness() {
        Ok(()) => (Status::Ok, "ready\n".to_string()),
        Err(reason) => (Status::ServiceUnavailable, format!("{reason}\n")),
    }
}

#[rocket::get("/metrics")]
fn metrics(engine: &EngineState) -> (ContentType, String) {
    let kind = ContentType::new("application", "openmetrics-text");
    (kind, engine.metrics().encode())
}

#[rocket::catch(default)]
fn catch_all(status: Status, request: &Request<'_>) -> CallerReply {
    if let Some(error) = request.local_cache(|| None::<FieldError>) {
        return refusal(error);
    }
    let record = json!({ "end": {
        "outcome": "not_run",
        "reason": RefusalReason::BadRequest.as_str(),
        "detail": status.reason_lossy(),
        "rows": 0,
    }});
    let body = ReplyBody::Whole(format!("{record}\n"));
    CallerReply {
        status,
        retry_after: None,
        session: None,
        body,
    }
}

/// Routes of the callers' interface.
pub fn routes() -> Vec<Route> {
    rocket::routes![read, write, begin, within, finish, healthz, readyz, metrics]
}

/// Catchers that answer errors in the same form as requests.
pub fn catchers() -> Vec<rocket::Catcher> {
    rocket::catchers![catch_all]
}
