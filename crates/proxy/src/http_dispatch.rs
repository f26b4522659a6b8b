//! Hands requests that were read from a connection to the routes of Rocket, and their answers back.
//!
//! Rocket 0.5 takes no connections from others, but it takes single requests through its local
//! client, without a second socket. The headers, the cookies and the client's address of a request
//! are passed on, and so is a body up to the limit of the routes.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use futures::FutureExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::http::request::Parts;
use rocket::http::Cookie;
use rocket::http::Header;
use rocket::http::Method;
use rocket::local::asynchronous::Client;
use rocket::local::asynchronous::LocalResponse;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::http_guard::OpenRequest;

/// Size from which an answer is passed on in parts, in bytes. A shorter one that is there as a whole
/// has its length in its header.
const MAX_WHOLE_BYTES: usize = 64 << 10;

/// Room for a part of an answer, in bytes.
const PART_BYTES: usize = 8 << 10;

/// The answer to a request.
type AnswerHead = Response<UnsyncBoxBody<Bytes, io::Error>>;

/// The body of an answer; the request is in progress until it is dropped.
pub(crate) struct AnswerBody {
    body: UnsyncBoxBody<Bytes, io::Error>,
    _request: OpenRequest,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The routes of a listener.
pub(crate) struct RouteDispatch {
    client: Client,
    /// Largest body that a route reads, in bytes.
    max_body_bytes: usize,
}

impl RouteDispatch {
    pub(crate) fn new(client: Client, max_body_bytes: usize) -> Self {
        Self {
            client,
            max_body_bytes,
        }
    }

    /// Answers a request.
    pub(crate) async fn answer(
        self: Arc<Self>,
        request: hyper::Request<Incoming>,
        address: SocketAddr,
        open: OpenRequest,
    ) -> Response<AnswerBody> {
        let (parts, body) = request.into_parts();
        let head = match self.read_body(body).await {
            Ok(body) => {
                // A handler runs to its end even if the client closes the connection meanwhile.
                let (sender, head) = oneshot::channel();
                tokio::spawn(async move { self.run(&parts, body, address, sender).await });
                let head = head.await;
                head.unwrap_or_else(|_| plain_answer(StatusCode::INTERNAL_SERVER_ERROR))
            }
            Err(error) => {
                log::debug!("http_body_unreadable error={:?}", error.to_string());
                plain_answer(StatusCode::BAD_REQUEST)
            }
        };
        head.map(|body| AnswerBody {
            body,
            _request: open,
        })
    }

    /// Reads a body, and at most one byte more than a route reads, which shows that it is too large.
    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, hyper::Error> {
        let limit = self.max_body_bytes + 1;
        let mut read = BytesMut::new();
        while read.len() < limit
            && let Some(frame) = body.frame().await
        {
            if let Ok(data) = frame?.into_data() {
                read.extend_from_slice(&data[..data.len().min(limit - read.len())]);
            }
        }
        Ok(read.freeze())
    }

    async fn run(
        &self,
        parts: &Parts,
        body: Bytes,
        address: SocketAddr,
        head: oneshot::Sender<AnswerHead>,
    ) {
        let path = parts.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let (method, path) = match parts.method.as_str().parse() {
            // Rocket runs the route of a GET and drops the body with its length; hyper sends the
            // length and no body.
            Ok(Method::Head) => (Method::Get, path),
            Ok(method) => (method, path),
            // A target that is no path gets the answer of the catchers to a malformed request.
            Err(_) => (Method::Get, "*"),
        };
        let mut request = self.client.req(method, path).remote(address).body(body);
        for (name, value) in &parts.headers {
            let value = String::from_utf8_lossy(value.as_bytes());
            if name == hyper::header::COOKIE {
                let cookies = Cookie::split_parse_encoded(value.to_string());
                for cookie in cookies.flatten() {
                    request = request.cookie(cookie.into_owned());
                }
            }
            request.add_header(Header::new(name.to_string(), value.to_string()));
        }
        let answer = request.dispatch().await;
        let mut response = Response::builder().status(answer.status().code);
        for header in answer.headers().iter() {
            response = response.header(header.name().as_str(), header.value());
        }
        pass_on(answer, response, head).await;
    }
}

/// Sends the head and the body of an answer to its connection.
async fn pass_on(
    mut answer: LocalResponse<'_>,
    response: hyper::http::response::Builder,
    head: oneshot::Sender<AnswerHead>,
) {
    let mut first = BytesMut::with_capacity(PART_BYTES);
    let mut is_whole = false;
    while first.len() < MAX_WHOLE_BYTES {
        match answer.read_buf(&mut first).now_or_never() {
            Some(Ok(0)) => is_whole = true,
            Some(Ok(_)) => continue,
            // The next read returns the error again or has more.
            Some(Err(_)) | None => {}
        }
        break;
    }
    if is_whole {
        // The client may have closed the connection; its answer is then dropped.
        let _ = head.send(checked_answer(response, whole_body(first.freeze())));
        return;
    }
    let (sender, mut receiver) = mpsc::channel(1);
    let parts = stream::poll_fn(move |context| receiver.poll_recv(context));
    let body = StreamBody::new(parts).boxed_unsync();
    if head.send(checked_answer(response, body)).is_err() {
        return;
    }
    let mut part = first;
    loop {
        if !part.is_empty() {
            let frame = Frame::data(part.split().freeze());
            if sender.send(Ok(frame)).await.is_err() {
                return;
            }
        }
        part.reserve(PART_BYTES);
        let read = tokio::select! {
            biased;
            // Without a connection, the answer is dropped, which cancels its request.
            () = sender.closed() => return,
            read = answer.read_buf(&mut part) => read,
        };
        match read {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) => {
                log::debug!("http_answer_broken error={:?}", error.to_string());
                // The connection is closed, so that the client sees that the answer is cut off.
                let _ = sender.send(Err(error)).await;
                return;
            }
        }
    }
}

fn checked_answer(
    response: hyper::http::response::Builder,
    body: UnsyncBoxBody<Bytes, io::Error>,
) -> AnswerHead {
    response.body(body).unwrap_or_else(|error| {
        log::warn!("http_answer_unusable error={:?}", error.to_string());
        plain_answer(StatusCode::INTERNAL_SERVER_ERROR)
    })
}

fn whole_body(bytes: Bytes) -> UnsyncBoxBody<Bytes, io::Error> {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn plain_answer(status: StatusCode) -> AnswerHead {
    let text = format!("{status}\n");
    let mut response = Response::new(whole_body(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
