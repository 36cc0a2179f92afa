//! The load tool: requests at a fixed rate, with times and checks of every answer.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use argh::FromArgs;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::Method;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::sleep_until};

use crate::http::{Client, Error};

/// Longest time that a histogram holds, in microseconds.
const LONGEST_MICROS: u64 = 300_000_000;

/// Send requests at a fixed rate and report times and outcomes.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Config {
    /// address to send to; several take turns
    #[argh(option)]
    pub target: Vec<SocketAddr>,
    /// requests a second
    #[argh(option, default = "50.0")]
    pub rate: f64,
    /// seconds
    #[argh(option, default = "5")]
    pub seconds: u64,
    /// prefix of the model names; a number of six digits and the suffix follow
    #[argh(option, default = "String::from(\"student-\")")]
    pub prefix: String,
    /// suffix of the model names
    #[argh(option, default = "String::from(\"@1\")")]
    pub suffix: String,
    /// number of models; with 0 the prefix is the whole name
    #[argh(option, default = "100")]
    pub models: usize,
    /// exponent of the models' popularity (Zipf)
    #[argh(option, default = "1.0")]
    pub skew: f64,
    /// tokens of each answer
    #[argh(option, default = "16")]
    pub tokens: u32,
    /// path of plain calls to send in place of completions
    #[argh(option)]
    pub path: Option<String>,
    /// seed of arrivals and models
    #[argh(option, default = "1")]
    pub seed: u64,
    /// exit with an error unless every request succeeded
    #[argh(switch)]
    pub strict: bool,
}

/// Times in microseconds, and outcomes.
struct Report {
    first: Histogram<u64>,
    gap: Histogram<u64>,
    whole: Histogram<u64>,
    refused: Histogram<u64>,
    outcomes: BTreeMap<String, u64>,
}

impl Report {
    fn new() -> Result<Self, Error> {
        let histogram = || {
            Histogram::new_with_bounds(1, LONGEST_MICROS, 3)
                .map_err(|error| Error::new(error.to_string()))
        };
        Ok(Self {
            first: histogram()?,
            gap: histogram()?,
            whole: histogram()?,
            refused: histogram()?,
            outcomes: BTreeMap::new(),
        })
    }

    fn count(&mut self, outcome: impl Into<String>) {
        *self.outcomes.entry(outcome.into()).or_default() += 1;
    }

    fn json(&self) -> Value {
        let times = |histogram: &Histogram<u64>| {
            let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
            json!({
                "count": histogram.len(),
                "p50_ms": at(0.5),
                "p95_ms": at(0.95),
                "p99_ms": at(0.99),
                "max_ms": histogram.max() as f64 / 1000.0,
            })
        };
        json!({
            "first_token": times(&self.first),
            "between_tokens": times(&self.gap),
            "whole": times(&self.whole),
            "refused": times(&self.refused),
            "outcomes": self.outcomes,
        })
    }
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}

/// Draws models by Zipf's law.
struct Models {
    cumulative: Vec<f64>,
}

impl Models {
    fn new(count: usize, skew: f64) -> Self {
        let mut sum = 0.0;
        let weight = |rank: usize| 1.0 / ((rank + 1) as f64).powf(skew);
        let cumulative = (0..count.max(1)).map(|rank| {
            sum += weight(rank);
            sum
        });
        Self {
            cumulative: cumulative.collect(),
        }
    }

    fn draw(&self, random: &mut SmallRng) -> usize {
        let last = self.cumulative.last().copied().unwrap_or(1.0);
        let point = random.random_range(0.0..last);
        self.cumulative.partition_point(|sum| *sum < point)
    }
}

/// Runs the load and prints the report.
///
/// # Errors
///
/// The load cannot be sent, or a strict one met a failure.
pub async fn run(config: Config) -> Result<(), Error> {
    println!("{}", measure(config).await?);
    Ok(())
}

/// Runs the load.
///
/// # Errors
///
/// The load cannot be sent, or a strict one met a failure.
pub async fn measure(config: Config) -> Result<Value, Error> {
    if config.target.is_empty() {
        return Err(Error::new("give a target"));
    }
    let client = Client::default();
    let report = Arc::new(Mutex::new(Report::new()?));
    let models = Models::new(config.models, config.skew);
    let mut random = SmallRng::seed_from_u64(config.seed);
    let mut tasks = JoinSet::new();
    let began = tokio::time::Instant::now();
    let mut at = 0.0;
    let mut number = 0;
    while at < config.seconds as f64 {
        sleep_until(began + Duration::from_secs_f64(at)).await;
        let target = config.target[number % config.target.len()];
        let model = models.draw(&mut random);
        let client = client.clone();
        let report = report.clone();
        match &config.path {
            Some(path) => {
                let url = format!("http://{target}{path}");
                tasks.spawn(async move { call(&client, &url, &report).await });
            }
            None => {
                let url = format!("http://{target}/v1/completions");
                let model = match config.models {
                    0 => config.prefix.clone(),
                    _ => format!("{}{model:06}{}", config.prefix, config.suffix),
                };
                let prompt = format!("request {number} of seed {}", config.seed);
                let tokens = config.tokens;
                tasks.spawn(async move {
                    complete(&client, &url, &model, &prompt, tokens, &report).await;
                });
            }
        }
        number += 1;
        // Arrivals of a Poisson process.
        at += -random.random_range(f64::MIN_POSITIVE..1.0).ln() / config.rate;
    }
    while tasks.join_next().await.is_some() {}
    finish(&report, number as u64, config.strict)
}

fn finish(report: &Mutex<Report>, sent: u64, strict: bool) -> Result<Value, Error> {
    let report = lock(report);
    let mut json = report.json();
    json["sent"] = sent.into();
    let good = report.outcomes.get("200").copied().unwrap_or(0);
    if strict && good != sent {
        let bad = sent - good;
        return Err(Error::new(format!(
            "{bad} of {sent} requests failed: {json}"
        )));
    }
    Ok(json)
}

fn lock(report: &Mutex<Report>) -> std::sync::MutexGuard<'_, Report> {
    report.lock().unwrap_or_else(PoisonError::into_inner)
}

fn note(histogram: &mut Histogram<u64>, time: Duration) {
    // A value that the histogram cannot hold is saturated, never lost.
    histogram.saturating_record(micros(time));
}

async fn call(client: &Client, url: &str, report: &Mutex<Report>) {
    let began = Instant::now();
    let reply = client.send(Method::GET, url, &[], "").await;
    let mut report = lock(report);
    match reply {
        Ok(reply) => {
            note(&mut report.whole, began.elapsed());
            report.count(reply.status.to_string());
        }
        Err(_) => report.count("broken"),
    }
}

async fn complete(
    client: &Client,
    url: &str,
    model: &str,
    prompt: &str,
    tokens: u32,
    report: &Mutex<Report>,
) {
    let body = json!({ "model": model, "prompt": prompt, "stream": true, "max_tokens": tokens });
    let began = Instant::now();
    let answer = client.open(Method::POST, url, &[], body.to_string()).await;
    let answer = match answer {
        Ok(answer) => answer,
        Err(_) => return lock(report).count("broken"),
    };
    let status = answer.status().as_u16();
    if status != 200 {
        let told = answer.headers().contains_key("retry-after");
        let mut report = lock(report);
        note(&mut report.refused, began.elapsed());
        let hint = if told { "" } else { " without retry-after" };
        return report.count(format!("{status}{hint}"));
    }
    let outcome = read_stream(answer, model, prompt, began, report).await;
    let mut report = lock(report);
    note(&mut report.whole, began.elapsed());
    report.count(outcome);
}

/// Reads a streamed answer, notes its times, and checks that it is whole and the caller's own.
async fn read_stream(
    answer: hyper::Response<hyper::body::Incoming>,
    model: &str,
    prompt: &str,
    began: Instant,
    report: &Mutex<Report>,
) -> &'static str {
    let mut body = answer.into_body();
    let mut text = String::new();
    let mut last: Option<Instant> = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return "cut";
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let now = Instant::now();
        let mut report = lock(report);
        match last {
            None => note(&mut report.first, now.duration_since(began)),
            Some(last) => note(&mut report.gap, now.duration_since(last)),
        }
        last = Some(now);
        text.push_str(&String::from_utf8_lossy(&data));
    }
    if !text.trim_end().ends_with("data: [DONE]") {
        return "cut";
    }
    let own = format!("echo-{:016x}", digest(prompt.as_bytes()));
    if !text.contains(&own) {
        return "somebody else's";
    }
    let named = format!("\"model\":\"{model}\"");
    let events = text.matches("data: {").count();
    if text.matches(&named).count() != events {
        return "another model";
    }
    "200"
}

/// Digest that the stand-in engine repeats from a prompt (FNV-1a).
fn digest(bytes: &[u8]) -> u64 {
    let start: u64 = 0xcbf2_9ce4_8422_2325;
    let mix = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(start, mix)
}
