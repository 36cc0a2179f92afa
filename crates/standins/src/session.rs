//! The whole path once, as callers see it, checked against what the upstreams counted.

use std::net::SocketAddr;

use argh::FromArgs;
use hyper::Method;
use serde_json::{Value, json};

use crate::http::{Client, Error, Reply};

/// Send one of each kind of request and check the answers and the upstreams' counts.
#[derive(FromArgs)]
#[argh(subcommand, name = "session")]
pub struct Config {
    /// address of an entry host; give two
    #[argh(option)]
    entry: Vec<SocketAddr>,
    /// address of an engine; give all
    #[argh(option)]
    engine: Vec<SocketAddr>,
    /// address of the plain service
    #[argh(option)]
    service: SocketAddr,
}

/// One answer of a streamed completion.
struct Streamed {
    model: String,
    text: String,
    whole: bool,
}

/// Runs the session.
pub async fn run(config: Config) -> Result<(), Error> {
    let [first, second] = config.entry.as_slice() else {
        return Err(Error::new("give two entry hosts"));
    };
    let client = Client::default();
    let before = runs(&client, &config.engine).await?;
    completions(&client, *first, *second).await?;
    lookup(&client, *first).await?;
    charge(&client, *first, *second, config.service).await?;
    let after = runs(&client, &config.engine).await?;
    check(after - before == 2, "the engines ran each completion once")?;
    println!("session: every answer was right");
    Ok(())
}

fn check(holds: bool, what: &str) -> Result<(), Error> {
    println!("{} {what}", if holds { "ok  " } else { "FAIL" });
    if holds {
        return Ok(());
    }
    Err(Error::new(format!("not so: {what}")))
}

async fn runs(client: &Client, engines: &[SocketAddr]) -> Result<u64, Error> {
    let mut runs = 0;
    for engine in engines {
        let counts = client.get(&format!("http://{engine}/counts")).await?;
        runs += counts["runs"].as_u64().unwrap_or(0);
    }
    Ok(runs)
}

async fn completions(client: &Client, first: SocketAddr, second: SocketAddr) -> Result<(), Error> {
    let named = stream(client, first, "student-000001@1", "bar 12, low breath").await?;
    println!("     {}: {}", named.model, named.text);
    check(named.whole, "a streamed completion came whole")?;
    check(
        named.model == "student-000001@1",
        "it names the adapter and version asked for",
    )?;
    check(
        named.text.starts_with("echo-"),
        "it answers the caller's own prompt",
    )?;
    let intent = stream(client, second, "practice-plan", "week of the second of May").await?;
    println!("     {}: {}", intent.model, intent.text);
    check(intent.whole, "a completion by a routing intent came whole")?;
    check(
        intent.text != named.text,
        "the two callers got different answers",
    )
}

async fn stream(
    client: &Client,
    entry: SocketAddr,
    model: &str,
    prompt: &str,
) -> Result<Streamed, Error> {
    let body = json!({ "model": model, "prompt": prompt, "stream": true, "max_tokens": 8 });
    let url = format!("http://{entry}/v1/completions");
    let reply = client
        .send(Method::POST, &url, &[], body.to_string())
        .await?;
    if reply.status != 200 {
        let text = String::from_utf8_lossy(&reply.body);
        return Err(Error::new(format!(
            "{model}: status {}: {text}",
            reply.status
        )));
    }
    Ok(parse_stream(&reply))
}

fn parse_stream(reply: &Reply) -> Streamed {
    let text = String::from_utf8_lossy(&reply.body);
    let mut streamed = Streamed {
        model: String::new(),
        text: String::new(),
        whole: false,
    };
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            streamed.whole = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        streamed.model = event["model"].as_str().unwrap_or("").to_owned();
        streamed.text += event["choices"][0]["text"].as_str().unwrap_or("");
    }
    streamed
}

async fn lookup(client: &Client, entry: SocketAddr) -> Result<(), Error> {
    let url = format!("http://{entry}/services/booking/schedule/medellin?week=18");
    let reply = client.send(Method::GET, &url, &[], "").await?;
    println!("     {}", String::from_utf8_lossy(&reply.body));
    check(reply.status == 200, "a schedule lookup was answered")?;
    check(
        reply.json()["path"] == "/schedule/medellin",
        "it reached the path asked for",
    )
}

async fn charge(
    client: &Client,
    first: SocketAddr,
    second: SocketAddr,
    service: SocketAddr,
) -> Result<(), Error> {
    let key = format!("lesson-{}", std::process::id());
    let headers = [
        ("idempotency-key", key.as_str()),
        ("content-type", "application/json"),
    ];
    let body = json!({ "lesson": 4711, "cents": 3800 }).to_string();
    let send = |entry: SocketAddr, body: String| {
        let url = format!("http://{entry}/services/booking/charges");
        async move { client.send(Method::POST, &url, &headers, body).await }
    };
    let paid = send(first, body.clone()).await?;
    let again = send(second, body).await?;
    println!("     {}", String::from_utf8_lossy(&paid.body));
    check(
        paid.status == 200 && again.status == 200,
        "a charge sent twice was answered twice",
    )?;
    check(paid.body == again.body, "both answers are the same")?;
    check(
        again.header("x-tanagershift-replayed") == "true",
        "the second says it is recorded",
    )?;
    let other = send(second, json!({ "lesson": 4712 }).to_string()).await?;
    check(other.status == 422, "the key with another body was refused")?;
    let counts = client.get(&format!("http://{service}/counts")).await?;
    check(
        counts["by_key"][&key] == 1,
        "the service ran the charge once",
    )
}
