//! What operators ask of the system; any host answers.

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

use super::{Gateway, connection, dialect, document};
use crate::{
    emit,
    follower::Leader,
    voter::{
        command::{Announcement, Command, Document, Effect, Order, Outcome},
        driver::DOCUMENT,
    },
    wire::{Body, Query},
};

/// Largest body of a call in bytes.
const BODY_LIMIT: usize = 16 << 20;
/// Longest time in which the leader is looked for; operators try another host after a second.
const LEADER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Longest wait for one host in the search for the leader.
const ATTEMPT: Duration = Duration::from_millis(900);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers operators.
#[derive(Clone, Debug)]
pub struct Control {
    /// The gateway of this host.
    pub gateway: Arc<Gateway>,
    /// Client of the group.
    pub leader: Leader,
}

/// An answer to an operator.
struct Answer {
    status: StatusCode,
    body: Bytes,
    reason: String,
}

impl Answer {
    fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            body: Bytes::new(),
            reason: reason.into(),
        }
    }
}

impl Control {
    /// Accepts connections until the process ends.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().connection(stream));
                }
                Err(error) => {
                    emit!(ACCEPT_FAILED, "{error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn connection(self, stream: TcpStream) {
        // A connection without the options works, only slower.
        let _ = connection::set_socket_options(&stream);
        let service = service_fn(move |request| {
            let control = self.clone();
            async move { Ok::<_, Infallible>(control.answer(request).await) }
        });
        let served = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        // The operator is gone, or broke the protocol; either way nothing is left to do.
        let _ = served.await;
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let began = Instant::now();
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let asked = self.gateway.dialect.operator_request(&method, &path);
        let answer = match asked {
            dialect::OperatorRequest::Unknown => Answer::new(StatusCode::NOT_FOUND, "no such call"),
            dialect::OperatorRequest::Read => self.read().await,
            dialect::OperatorRequest::Configure | dialect::OperatorRequest::Announce => {
                let body = Limited::new(request.into_body(), BODY_LIMIT)
                    .collect()
                    .await;
                match body {
                    Ok(body) => self.change(asked, body.to_bytes()).await,
                    Err(error) => Answer::new(StatusCode::BAD_REQUEST, error.to_string()),
                }
            }
        };
        log::info!(
            "event=control method={method} path={path} status={} took_ms={} detail={:?}",
            answer.status.as_u16(),
            began.elapsed().as_millis(),
            answer.reason
        );
        let mut response = Response::new(Full::new(answer.body));
        *response.status_mut() = answer.status;
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }

    async fn change(&self, asked: dialect::OperatorRequest, body: Bytes) -> Answer {
        let dialect = &self.gateway.dialect;
        let refuse = |reason: String| Answer::new(StatusCode::BAD_REQUEST, reason);
        let (order, detail) = if asked == dialect::OperatorRequest::Configure {
            match dialect.parse_configuration(&body) {
                Err(invalid) => return refuse(invalid.to_string()),
                Ok(configuration) => {
                    let version = configuration.version;
                    let Ok(text) = document::pack(&body) else {
                        return Answer::new(StatusCode::SERVICE_UNAVAILABLE, "cannot be packed");
                    };
                    let document = Document { version, text };
                    (Order::Configure(document), format!("version {version}"))
                }
            }
        } else {
            match dialect.parse_announcement(&body) {
                Err(reason) => return refuse(reason),
                Ok(announcement) => {
                    let Announcement { adapter, version } = &announcement;
                    let detail = format!("adapter {adapter} version {version}");
                    (Order::Announce(announcement), detail)
                }
            }
        };
        let propose = Body::Propose(Command::of(order));
        match self.leader.ask(propose, LEADER_TIMEOUT, ATTEMPT).await {
            Ok(Body::Outcome(Outcome {
                effect: Some(Effect::Done(refusal)),
            })) if refusal.is_empty() => Answer {
                status: StatusCode::OK,
                body: Bytes::from_static(b"{}"),
                reason: detail,
            },
            Ok(Body::Error(failure)) => {
                Answer::new(StatusCode::SERVICE_UNAVAILABLE, failure.reason)
            }
            Ok(_) => Answer::new(StatusCode::SERVICE_UNAVAILABLE, "unexpected answer"),
            Err(error) => Answer::new(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        }
    }

    async fn read(&self) -> Answer {
        let query = Body::Query(Query {
            kind: DOCUMENT.to_owned(),
            ..Query::default()
        });
        match self.leader.ask(query, LEADER_TIMEOUT, ATTEMPT).await {
            Ok(Body::Report(packed)) if !packed.is_empty() => match document::unpack(&packed) {
                Ok(body) => Answer {
                    status: StatusCode::OK,
                    body,
                    reason: "confirmed by a majority".to_owned(),
                },
                Err(error) => Answer::new(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
            },
            Ok(Body::Report(_)) => {
                Answer::new(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet")
            }
            Ok(_) => Answer::new(StatusCode::SERVICE_UNAVAILABLE, "unexpected answer"),
            Err(error) => Answer::new(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        }
    }
}
