//! Stand-in of a model engine: the published completion API, and orders for adapters.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use argh::FromArgs;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Method, Request, Response,
    body::{Frame, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Deserialize;
use serde_json::json;
use tokio::{
    sync::{Semaphore, mpsc, watch},
    time::sleep,
};

use crate::{
    faults::{Fault, Faults},
    http::{self, Answer, Client, Cut, Error},
};

/// Tokens of an answer whose request names no number.
const DEFAULT_TOKENS: u32 = 16;
/// Characters of a prompt that make one block of the prefix cache.
const BLOCK_LEN: usize = 64;
/// Parts of an answer that wait for a slow reader.
const PARTS: usize = 16;

/// Stand-in of a model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct Config {
    /// address
    #[argh(option)]
    listen: SocketAddr,
    /// base model
    #[argh(option)]
    base: String,
    /// address of the weight store
    #[argh(option)]
    store: SocketAddr,
    /// adapters that fit
    #[argh(option, default = "8")]
    slots: usize,
    /// requests that run at once; more wait
    #[argh(option, default = "16")]
    batch: usize,
    /// microseconds of a step, in which each running request gets one token
    #[argh(option, default = "10000")]
    step_us: u64,
    /// microseconds for each block of a prompt that is not in the prefix cache
    #[argh(option, default = "1000")]
    prefill_us: u64,
    /// blocks in the prefix cache
    #[argh(option, default = "1024")]
    cache_blocks: usize,
    /// milliseconds after the start in which nothing is answered
    #[argh(option, default = "0")]
    cold_ms: u64,
    /// milliseconds by which the load report lags
    #[argh(option, default = "500")]
    report_lag_ms: u64,
    /// refuse orders with an old fencing number
    #[argh(switch)]
    fencing: bool,
}

#[derive(Debug)]
struct Adapter {
    running: usize,
    /// Tells running requests that their adapter was unloaded under them.
    gone: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct State {
    adapters: BTreeMap<String, Adapter>,
    loading: usize,
    fence: u64,
    reports: VecDeque<(Instant, Vec<String>)>,
    cache: VecDeque<u64>,
    by_request: BTreeMap<String, u64>,
    by_model: BTreeMap<String, u64>,
    runs: u64,
    tokens: u64,
    loads: u64,
    unloads: u64,
    unloaded_in_use: u64,
    fenced: u64,
}

struct Engine {
    config: Config,
    client: Client,
    faults: Faults,
    started: Instant,
    batch: Semaphore,
    number: AtomicU64,
    state: Mutex<State>,
}

#[derive(Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

#[derive(Deserialize)]
struct Order {
    lora_name: String,
    #[serde(default)]
    lora_path: String,
}

/// Serves until the process ends.
pub async fn run(config: Config) -> Result<(), Error> {
    let address = config.listen;
    let engine = Arc::new(Engine {
        batch: Semaphore::new(config.batch),
        config,
        client: Client::default(),
        faults: Faults::default(),
        started: Instant::now(),
        number: AtomicU64::new(0),
        state: Mutex::default(),
    });
    tokio::spawn(engine.clone().report());
    http::serve(address, move |request| {
        let engine = engine.clone();
        async move { engine.answer(request).await }
    })
    .await
}

fn refuse(status: u16, text: &str) -> Response<http::Body> {
    let error = json!({ "object": "error", "message": text, "code": status });
    http::json(status, &error)
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes again and again what runs, for the report that lags.
    async fn report(self: Arc<Self>) {
        let lag = Duration::from_millis(self.config.report_lag_ms);
        loop {
            {
                let mut state = self.lock();
                let busy = state
                    .adapters
                    .iter()
                    .filter(|(_, adapter)| adapter.running > 0);
                let names = busy.map(|(name, _)| name.clone()).collect();
                state.reports.push_back((Instant::now(), names));
                while state
                    .reports
                    .get(1)
                    .is_some_and(|(at, _)| at.elapsed() >= lag)
                {
                    state.reports.pop_front();
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let cold = Duration::from_millis(self.config.cold_ms);
        if self.started.elapsed() < cold {
            return Err(Cut);
        }
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/models") => Ok(self.models()),
            (&Method::GET, "/load") => Ok(self.load_report()),
            (&Method::GET, "/counts") => Ok(self.counts()),
            (&Method::POST, "/faults") => {
                let body = http::read(request).await?;
                let status = if self.faults.add(&body).is_ok() {
                    200
                } else {
                    400
                };
                Ok(http::json(status, &json!({})))
            }
            (&Method::POST, "/v1/load_lora_adapter") => self.load(request).await,
            (&Method::POST, "/v1/unload_lora_adapter") => self.unload(request).await,
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                let engine = self.clone();
                let mut response = self.complete(request).await?;
                engine.faults.announce(&mut response);
                Ok(response)
            }
            _ => Ok(refuse(404, "no such path")),
        }
    }

    fn models(&self) -> Response<http::Body> {
        let state = self.lock();
        let base = json!({ "id": self.config.base, "object": "model", "parent": null });
        let adapter =
            |name: &String| json!({ "id": name, "object": "model", "parent": self.config.base });
        let adapters = state.adapters.keys().map(adapter);
        let data: Vec<_> = std::iter::once(base).chain(adapters).collect();
        http::json(200, &json!({ "object": "list", "data": data }))
    }

    fn load_report(&self) -> Response<http::Body> {
        let state = self.lock();
        let (age, names) = match state.reports.front() {
            Some((at, names)) => (at.elapsed(), names.clone()),
            None => (self.started.elapsed(), Vec::new()),
        };
        let age = age.as_millis() as u64;
        http::json(200, &json!({ "running_adapters": names, "age_ms": age }))
    }

    fn counts(&self) -> Response<http::Body> {
        let state = self.lock();
        http::json(
            200,
            &json!({
                "runs": state.runs,
                "tokens": state.tokens,
                "by_request": state.by_request,
                "by_model": state.by_model,
                "loads": state.loads,
                "unloads": state.unloads,
                "unloaded_in_use": state.unloaded_in_use,
                "fenced": state.fenced,
                "adapters": state.adapters.keys().collect::<Vec<_>>(),
            }),
        )
    }

    /// Whether an order's fencing number is too old.
    fn is_fenced(&self, headers: &HeaderMap) -> bool {
        let value = headers
            .get("x-fencing-token")
            .and_then(|value| value.to_str().ok());
        let number = value.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.lock();
        if !self.config.fencing || number >= state.fence {
            state.fence = state.fence.max(number);
            return false;
        }
        state.fenced += 1;
        true
    }

    async fn load(&self, request: Request<Incoming>) -> Answer {
        if self.is_fenced(request.headers()) {
            return Ok(refuse(409, "the fencing number is old"));
        }
        let body = http::read(request).await?;
        let Ok(order) = serde_json::from_slice::<Order>(&body) else {
            return Ok(refuse(400, "not an order"));
        };
        if self.faults.take(&[Fault::LoadFails]).is_some() {
            return Ok(refuse(500, "the weights do not fit the base model"));
        }
        {
            let mut state = self.lock();
            if state.adapters.contains_key(&order.lora_name) {
                return Ok(refuse(400, "the adapter is loaded already"));
            }
            if state.adapters.len() + state.loading >= self.config.slots {
                return Ok(refuse(400, "no slot is free"));
            }
            state.loading += 1;
        }
        let url = format!("http://{}/weights/{}", self.config.store, order.lora_path);
        let weights = self.client.send(Method::GET, &url, &[], "").await;
        let mut state = self.lock();
        state.loading -= 1;
        match weights {
            Ok(reply) if reply.status == 200 => {
                state.loads += 1;
                let adapter = Adapter {
                    running: 0,
                    gone: watch::Sender::new(false),
                };
                state.adapters.insert(order.lora_name, adapter);
                Ok(http::json(200, &json!({ "message": "loaded" })))
            }
            Ok(reply) if reply.status == 429 => Ok(refuse(503, "the store is over its rate")),
            _ => Ok(refuse(502, "the store did not answer")),
        }
    }

    async fn unload(&self, request: Request<Incoming>) -> Answer {
        if self.is_fenced(request.headers()) {
            return Ok(refuse(409, "the fencing number is old"));
        }
        let body = http::read(request).await?;
        let Ok(order) = serde_json::from_slice::<Order>(&body) else {
            return Ok(refuse(400, "not an order"));
        };
        let mut state = self.lock();
        let Some(adapter) = state.adapters.remove(&order.lora_name) else {
            return Ok(refuse(404, "the adapter is not loaded"));
        };
        state.unloads += 1;
        if adapter.running > 0 {
            state.unloaded_in_use += 1;
            adapter.gone.send_replace(true);
        }
        Ok(http::json(200, &json!({ "message": "unloaded" })))
    }

    async fn complete(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let fault = self.faults.take(&[
            Fault::CutBefore,
            Fault::CutAfter,
            Fault::CutDuring,
            Fault::RefuseBefore,
            Fault::RefuseAfter,
            Fault::Hang,
            Fault::WrongModel,
            Fault::WrongRequest,
            Fault::Pause,
        ]);
        match fault {
            Some(Fault::CutBefore) => return Err(Cut),
            Some(Fault::RefuseBefore) => return Ok(refuse(503, "busy")),
            Some(Fault::Pause) => return Ok(http::pause()),
            _ => {}
        }
        let id = request.headers().get("x-request-id").cloned();
        let body = http::read(request).await?;
        let completion: Completion = match serde_json::from_slice(&body) {
            Ok(completion) => completion,
            Err(error) => return Ok(refuse(400, &error.to_string())),
        };
        let Some(running) = Running::begin(self.clone(), &completion.model, id.as_ref()) else {
            return Ok(refuse(404, "the model does not exist"));
        };
        let mut response = if completion.stream {
            self.stream(completion, running, fault.clone())
        } else {
            self.whole(completion, running, fault.clone()).await?
        };
        if let Some(id) = id {
            let id = match fault {
                Some(Fault::WrongRequest) => HeaderValue::from_static("of-somebody-else"),
                _ => id,
            };
            response.headers_mut().insert("x-request-id", id);
        }
        Ok(response)
    }

    async fn whole(
        self: &Arc<Self>,
        completion: Completion,
        mut running: Running,
        fault: Option<Fault>,
    ) -> Answer {
        let tokens = completion.max_tokens.unwrap_or(DEFAULT_TOKENS);
        let mut text = String::new();
        for number in 0..tokens {
            let token = running.token(&completion, number).await?;
            text.push_str(&token);
        }
        match fault {
            Some(Fault::CutAfter | Fault::CutDuring) => return Err(Cut),
            Some(Fault::RefuseAfter) => return Ok(refuse(503, "late")),
            Some(Fault::Hang) => std::future::pending().await,
            _ => {}
        }
        let chat = !completion.messages.is_empty();
        let choice = if chat {
            json!({ "index": 0, "message": { "role": "assistant", "content": text },
                "finish_reason": "length" })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "length" })
        };
        let answer = json!({
            "id": running.id,
            "object": if chat { "chat.completion" } else { "text_completion" },
            "created": 0,
            "model": named(&completion, fault.as_ref()),
            "choices": [choice],
            "usage": { "completion_tokens": tokens },
        });
        Ok(http::json(200, &answer))
    }

    fn stream(
        self: &Arc<Self>,
        completion: Completion,
        mut running: Running,
        fault: Option<Fault>,
    ) -> Response<http::Body> {
        let (sender, receiver) = mpsc::channel::<Result<Frame<Bytes>, Cut>>(PARTS);
        tokio::spawn(async move {
            let tokens = completion.max_tokens.unwrap_or(DEFAULT_TOKENS);
            for number in 0..tokens {
                let Ok(token) = running.token(&completion, number).await else {
                    let _ = sender.send(Err(Cut)).await;
                    return;
                };
                if number == tokens / 2 {
                    match fault {
                        Some(Fault::CutDuring | Fault::CutAfter) => {
                            let _ = sender.send(Err(Cut)).await;
                            return;
                        }
                        Some(Fault::Hang) => std::future::pending().await,
                        _ => {}
                    }
                }
                let event = running.event(&completion, &token, fault.as_ref());
                if sender.send(Ok(Frame::data(event.into()))).await.is_err() {
                    return;
                }
            }
            let done = Bytes::from_static(b"data: [DONE]\n\n");
            let _ = sender.send(Ok(Frame::data(done))).await;
        });
        let parts = stream::unfold(receiver, |mut receiver| async {
            let part = receiver.recv().await?;
            Some((part, receiver))
        });
        let mut response = Response::new(BodyExt::boxed(StreamBody::new(parts)));
        let content_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
    }

    /// Blocks of a prompt that the prefix cache lacks; they are in it from now on.
    fn missing_blocks(&self, model: &str, prompt: &str) -> u32 {
        let mut state = self.lock();
        let mut hash = fnv(0, model.as_bytes());
        let mut missing = 0;
        for block in prompt.as_bytes().chunks(BLOCK_LEN) {
            hash = fnv(hash, block);
            if let Some(at) = state.cache.iter().position(|known| *known == hash) {
                state.cache.remove(at);
            } else {
                missing += 1;
            }
            state.cache.push_back(hash);
            if state.cache.len() > self.config.cache_blocks {
                state.cache.pop_front();
            }
        }
        missing
    }
}

/// Model that an answer names.
fn named(completion: &Completion, fault: Option<&Fault>) -> String {
    match fault {
        Some(Fault::WrongModel) => "of-somebody-else@1".to_owned(),
        _ => completion.model.clone(),
    }
}

fn fnv(start: u64, bytes: &[u8]) -> u64 {
    let mix = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(start ^ 0xcbf2_9ce4_8422_2325, mix)
}

/// A request that runs; its adapter is in use until this is dropped.
struct Running {
    engine: Arc<Engine>,
    model: String,
    id: String,
    gone: watch::Receiver<bool>,
}

impl Running {
    fn begin(engine: Arc<Engine>, model: &str, request: Option<&HeaderValue>) -> Option<Self> {
        let number = engine.number.fetch_add(1, Ordering::Relaxed);
        let mut state = engine.lock();
        let adapter = state.adapters.get_mut(model)?;
        adapter.running += 1;
        let gone = adapter.gone.subscribe();
        state.runs += 1;
        *state.by_model.entry(model.to_owned()).or_default() += 1;
        if let Some(request) = request.and_then(|value| value.to_str().ok()) {
            *state.by_request.entry(request.to_owned()).or_default() += 1;
        }
        drop(state);
        Some(Self {
            engine,
            model: model.to_owned(),
            id: format!("cmpl-{number}"),
            gone,
        })
    }

    /// Makes the next token: the first repeats a digest of the prompt, so that callers can tell
    /// whose answer they got.
    async fn token(&mut self, completion: &Completion, number: u32) -> Result<String, Cut> {
        let engine = self.engine.clone();
        // Each step has room for as many requests as the batch.
        let _turn = engine.batch.acquire().await.map_err(|_| Cut)?;
        let mut time = Duration::from_micros(engine.config.step_us);
        let prompt = prompt(completion);
        if number == 0 {
            let blocks = engine.missing_blocks(&self.model, &prompt);
            time += Duration::from_micros(engine.config.prefill_us) * blocks;
        }
        tokio::select! {
            () = sleep(time) => {}
            _ = self.gone.wait_for(|gone| *gone) => return Err(Cut),
        }
        engine.lock().tokens += 1;
        if number == 0 {
            return Ok(format!("echo-{:016x}", fnv(0, prompt.as_bytes())));
        }
        Ok(format!(" t{number}"))
    }

    fn event(&self, completion: &Completion, token: &str, fault: Option<&Fault>) -> String {
        let chat = !completion.messages.is_empty();
        let choice = if chat {
            json!({ "index": 0, "delta": { "content": token }, "finish_reason": null })
        } else {
            json!({ "index": 0, "text": token, "finish_reason": null })
        };
        let event = json!({
            "id": self.id,
            "object": if chat { "chat.completion.chunk" } else { "text_completion" },
            "created": 0,
            "model": named(completion, fault),
            "choices": [choice],
        });
        format!("data: {event}\n\n")
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        if let Some(adapter) = state.adapters.get_mut(&self.model) {
            adapter.running -= 1;
        }
    }
}

fn prompt(completion: &Completion) -> String {
    match &completion.prompt {
        Some(prompt) => prompt.clone(),
        None => completion
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .collect(),
    }
}
