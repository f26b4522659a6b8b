//! HTTP client of the operators' interface.

use std::time::Duration;

use serde_json::Value;
use ureq::Agent;

use crate::CommandError;
use crate::options::CommandLine;

/// Timeout of a whole request; must exceed the 15 s that a planned promotion may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(25);

/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest response body; leaves room for a settings document of 1 MB with JSON escapes.
const MAX_RESPONSE_BYTES: u64 = 8_000_000;

/// A response of the instance.
#[derive(Debug)]
pub(crate) struct ServerResponse {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl ServerResponse {
    /// Returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Conflict`] if another change was stored first, and
    /// [`CommandError::Failed`] for any other status but 200.
    pub(crate) fn into_body(self) -> Result<Value, CommandError> {
        if self.status == 200 {
            return Ok(self.body);
        }
        let message = self.error_message();
        match self.body["outcome"].as_str() {
            Some("lost") => Err(CommandError::Conflict(message)),
            _ => Err(CommandError::Failed(message)),
        }
    }

    /// Returns the error message of the response, followed by its faults, each on its own line.
    pub(crate) fn error_message(&self) -> String {
        let error = self.body["error"].as_str();
        let mut text = error.map_or_else(|| format!("status {}", self.status), str::to_string);
        for fault in self.body["faults"].as_array().into_iter().flatten() {
            text.push('\n');
            text.push_str(fault.as_str().unwrap_or_default());
        }
        text
    }
}

/// Why a request has no response.
#[derive(Debug)]
pub(crate) enum ClientError {
    /// Nothing was sent, so the request was not carried out.
    NotSent(String),
    /// The request may have been sent and carried out.
    ResponseLost(String),
}

impl From<ClientError> for CommandError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::NotSent(text) => Self::NotReachable(text),
            ClientError::ResponseLost(text) => Self::NotReachable(format!(
                "{text}; it is not known whether the request was carried out"
            )),
        }
    }
}

/// Sends requests to one server, each with the token of the command line.
pub(crate) struct ServerClient {
    agent: Agent,
    server: String,
    authorization: String,
}

impl ServerClient {
    pub(crate) fn new(line: &CommandLine) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        Self {
            agent: config.new_agent(),
            server: line.server.clone(),
            authorization: format!("Bearer {}", line.token),
        }
    }

    pub(crate) fn get(&self, path: &str) -> Result<ServerResponse, ClientError> {
        let request = self.agent.get(self.url(path));
        let result = request.header("Authorization", &self.authorization).call();
        self.read_response(result)
    }

    pub(crate) fn put(&self, path: &str, body: &Value) -> Result<ServerResponse, ClientError> {
        let request = self.agent.put(self.url(path));
        let request = request.header("Authorization", &self.authorization);
        self.read_response(request.send(body.to_string()))
    }

    pub(crate) fn post(&self, path: &str, body: &Value) -> Result<ServerResponse, ClientError> {
        let request = self.agent.post(self.url(path));
        let request = request.header("Authorization", &self.authorization);
        self.read_response(request.send(body.to_string()))
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.server)
    }

    fn read_response(
        &self,
        result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<ServerResponse, ClientError> {
        let mut response = result.map_err(|error| {
            let text = format!("the request to {} failed: {error}", self.server);
            match is_not_sent(&error) {
                true => ClientError::NotSent(text),
                false => ClientError::ResponseLost(text),
            }
        })?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        let text = body.read_to_string().map_err(|error| {
            ClientError::ResponseLost(format!(
                "reading the response of {} failed: {error}",
                self.server
            ))
        })?;
        let body = serde_json::from_str(&text).map_err(|_| {
            let text = "is not JSON; check that the URL is that of an operators' interface";
            ClientError::ResponseLost(format!("the response of {} {text}", self.server))
        })?;
        Ok(ServerResponse { status, body })
    }
}

/// Returns whether the error shows that no byte of the request was sent.
fn is_not_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::BadUri(_) | ureq::Error::HostNotFound | ureq::Error::ConnectionFailed => true,
        ureq::Error::Timeout(kind) => {
            matches!(kind, ureq::Timeout::Connect | ureq::Timeout::Resolve)
        }
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
