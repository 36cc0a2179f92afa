//! HTTP API for operators: reads and changes the configuration, and announces adapter versions. Any
//! host with a gateway answers.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

use super::{Gateway, compression, connection, dialect};
use crate::{
    emit,
    follower::Leader,
    voter::{
        command::{Announcement, Command, Document, Effect, Order, Outcome},
        driver::DOCUMENT_QUERY,
    },
    wire::{Body, Query},
};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Time limit for the leader to answer, including the search for it. It is longer than operators
/// wait: they try another host after one second.
const LEADER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum wait for one host during the search for the leader.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Server of the operator API.
#[derive(Clone, Debug)]
pub struct Control {
    /// The gateway of this host.
    pub gateway: Arc<Gateway>,
    /// Client that finds and asks the leader of the group.
    pub leader: Leader,
}

/// An answer to an operator.
struct Answer {
    status: StatusCode,
    body: Bytes,
    /// What was done or why it failed, for the log.
    detail: String,
}

impl Answer {
    fn new(status: StatusCode, detail: impl Into<String>) -> Self {
        Self {
            status,
            body: Bytes::new(),
            detail: detail.into(),
        }
    }
}

impl Control {
    /// Accepts connections until the process ends.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().serve_connection(stream));
                }
                Err(error) => {
                    emit!(ACCEPT_FAILED, "{error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        // Setting the socket options may fail; the connection then works, but more slowly.
        let _ = connection::set_socket_options(&stream);
        let service = service_fn(move |request| {
            let control = self.clone();
            async move { Ok::<_, Infallible>(control.answer(request).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        // An error means that the operator disconnected or violated the protocol; neither needs
        // handling.
        let _ = connection.await;
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let started = Instant::now();
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let operator_request = self.gateway.dialect.operator_request(&method, &path);
        let answer = match operator_request {
            dialect::OperatorRequest::Unknown => Answer::new(StatusCode::NOT_FOUND, "no such call"),
            dialect::OperatorRequest::Read => self.read_configuration().await,
            dialect::OperatorRequest::Configure | dialect::OperatorRequest::Announce => {
                let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
                    .collect()
                    .await;
                match body {
                    Ok(body) => self.change(operator_request, body.to_bytes()).await,
                    Err(error) => Answer::new(StatusCode::BAD_REQUEST, error.to_string()),
                }
            }
        };
        log::info!(
            "event=control method={method} path={path} status={} took_ms={} detail={:?}",
            answer.status.as_u16(),
            started.elapsed().as_millis(),
            answer.detail
        );
        let mut response = Response::new(Full::new(answer.body));
        *response.status_mut() = answer.status;
        let content_type = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
    }

    async fn change(&self, operator_request: dialect::OperatorRequest, body: Bytes) -> Answer {
        let dialect = &self.gateway.dialect;
        let bad_request = |reason: String| Answer::new(StatusCode::BAD_REQUEST, reason);
        let (order, detail) = if operator_request == dialect::OperatorRequest::Configure {
            match dialect.parse_configuration(&body) {
                Err(invalid) => return bad_request(invalid.to_string()),
                Ok(configuration) => {
                    let version = configuration.version;
                    let Ok(text) = compression::compress(&body) else {
                        return Answer::new(StatusCode::SERVICE_UNAVAILABLE, "cannot be packed");
                    };
                    let document = Document { version, text };
                    (Order::Configure(document), format!("version {version}"))
                }
            }
        } else {
            match dialect.parse_announcement(&body) {
                Err(reason) => return bad_request(reason),
                Ok(announcement) => {
                    let Announcement { adapter, version } = &announcement;
                    let detail = format!("adapter {adapter} version {version}");
                    (Order::Announce(announcement), detail)
                }
            }
        };
        let proposal = Body::Propose(Command::of(order));
        match self
            .leader
            .ask(proposal, LEADER_TIMEOUT, ATTEMPT_TIMEOUT)
            .await
        {
            Ok(Body::Outcome(Outcome {
                effect: Some(Effect::Done(refusal)),
            })) if refusal.is_empty() => Answer {
                status: StatusCode::OK,
                body: Bytes::from_static(b"{}"),
                detail,
            },
            Ok(Body::Error(failure)) => {
                Answer::new(StatusCode::SERVICE_UNAVAILABLE, failure.reason)
            }
            Ok(_) => Answer::new(StatusCode::SERVICE_UNAVAILABLE, "unexpected answer"),
            Err(error) => Answer::new(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        }
    }

    async fn read_configuration(&self) -> Answer {
        let query = Body::Query(Query {
            kind: DOCUMENT_QUERY.to_owned(),
            ..Query::default()
        });
        match self
            .leader
            .ask(query, LEADER_TIMEOUT, ATTEMPT_TIMEOUT)
            .await
        {
            Ok(Body::Report(compressed)) if !compressed.is_empty() => {
                match compression::decompress(&compressed) {
                    Ok(body) => Answer {
                        status: StatusCode::OK,
                        body,
                        detail: "confirmed by a majority".to_owned(),
                    },
                    Err(error) => Answer::new(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
                }
            }
            Ok(Body::Report(_)) => {
                Answer::new(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet")
            }
            Ok(_) => Answer::new(StatusCode::SERVICE_UNAVAILABLE, "unexpected answer"),
            Err(error) => Answer::new(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        }
    }
}
