//! Requests to the operators' interface.

use std::time::Duration;

use serde_json::Value;
use ureq::Agent;

use crate::CommandError;
use crate::options::CommandLine;

/// Longest request; a planned promotion is answered within 15 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(25);

/// Longest attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest answer: a document of 1 MB with its escapes.
const MAX_ANSWER_BYTES: u64 = 8_000_000;

/// An answer of the instance.
#[derive(Debug)]
pub(crate) struct ServerAnswer {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl ServerAnswer {
    /// The body of a successful answer, or the error that the answer states.
    pub(crate) fn into_body(self) -> Result<Value, CommandError> {
        if self.status == 200 {
            return Ok(self.body);
        }
        let message = self.message();
        match self.body["outcome"].as_str() {
            Some("lost") => Err(CommandError::Conflict(message)),
            _ => Err(CommandError::Failed(message)),
        }
    }

    /// The error that the answer states, with its faults a line each.
    pub(crate) fn message(&self) -> String {
        let error = self.body["error"].as_str();
        let mut text = error.map_or_else(|| format!("status {}", self.status), str::to_string);
        for fault in self.body["faults"].as_array().into_iter().flatten() {
            text.push('\n');
            text.push_str(fault.as_str().unwrap_or_default());
        }
        text
    }
}

/// Why there is no answer.
#[derive(Debug)]
pub(crate) enum ClientError {
    /// Nothing was sent.
    NotSent(String),
    /// The request may have been carried out.
    AnswerLost(String),
}

impl From<ClientError> for CommandError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::NotSent(text) => Self::NotReachable(text),
            ClientError::AnswerLost(text) => Self::NotReachable(format!(
                "{text}; it is not known whether the request was carried out"
            )),
        }
    }
}

/// Sends requests with the token of a command line.
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

    pub(crate) fn get(&self, path: &str) -> Result<ServerAnswer, ClientError> {
        let request = self.agent.get(self.url(path));
        let reply = request.header("Authorization", &self.authorization).call();
        self.read(reply)
    }

    pub(crate) fn put(&self, path: &str, body: &Value) -> Result<ServerAnswer, ClientError> {
        let request = self.agent.put(self.url(path));
        let request = request.header("Authorization", &self.authorization);
        self.read(request.send(body.to_string()))
    }

    pub(crate) fn post(&self, path: &str, body: &Value) -> Result<ServerAnswer, ClientError> {
        let request = self.agent.post(self.url(path));
        let request = request.header("Authorization", &self.authorization);
        self.read(request.send(body.to_string()))
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.server)
    }

    fn read(
        &self,
        reply: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<ServerAnswer, ClientError> {
        let mut reply = reply.map_err(|error| {
            let text = format!("{} does not answer: {error}", self.server);
            match is_unsent(&error) {
                true => ClientError::NotSent(text),
                false => ClientError::AnswerLost(text),
            }
        })?;
        let status = reply.status().as_u16();
        let body = reply.body_mut().with_config().limit(MAX_ANSWER_BYTES);
        let text = body.read_to_string().map_err(|error| {
            ClientError::AnswerLost(format!("the answer of {} broke off: {error}", self.server))
        })?;
        let body = serde_json::from_str(&text).map_err(|_| {
            let text = "is not that of an operators' interface";
            ClientError::AnswerLost(format!("the answer of {} {text}", self.server))
        })?;
        Ok(ServerAnswer { status, body })
    }
}

/// Whether the error shows that no byte of the request was sent.
fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::BadUri(_) | ureq::Error::HostNotFound | ureq::Error::ConnectionFailed => true,
        ureq::Error::Timeout(kind) => {
            matches!(kind, ureq::Timeout::Connect | ureq::Timeout::Resolve)
        }
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
