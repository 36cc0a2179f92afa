//! Tables of faults of the upstreams: what the caller is told, against what really ran.

use hyper::Method;
use proofs::site::{Plan, Site};
use serde_json::{Value, json};

const CUTS: &[&str] = &["cut_before", "cut_after", "refuse_before", "refuse_after"];

/// Times that a request ran, by its id.
async fn runs(site: &Site, upstreams: &[&str], id: &str) -> u64 {
    let mut runs = 0;
    for upstream in upstreams {
        runs += site.counts(upstream).await["by_request"][id]
            .as_u64()
            .unwrap_or(0);
    }
    runs
}

/// What the caller was told of the verdict: the header, or the field of the error.
fn verdict(reply: &standins::http::Reply) -> String {
    let header = reply.header("x-tanagershift-verdict");
    let field = reply.json()["error"]["verdict"]
        .as_str()
        .unwrap_or("")
        .to_owned();
    if header.is_empty() {
        field
    } else {
        header.to_owned()
    }
}

/// Guards against: a call that may be repeated ends one upstream after the other, since each end is
/// taken for a broken connection (BUDGET).
#[tokio::test]
async fn a_call_that_ends_its_upstreams_reaches_two_of_them() {
    let services = ["service1", "service2", "service3", "service4"];
    let mut site = Site::start(Plan {
        services: services.len(),
        ..Plan::default()
    })
    .await;
    for service in services {
        site.fault(service, &["exit"]).await;
    }
    let headers = [("x-tanagershift-deadline-ms", "3000")];
    let path = "/services/booking/charges";
    let reply = site.send("entry1", Method::GET, path, &headers, "").await;
    assert_eq!(verdict(&reply.unwrap()), "may_have_run");
    let ended = services.map(|service| site.has_ended(service));
    assert_eq!(ended.iter().filter(|ended| **ended).count(), 2, "{ended:?}");
}

#[tokio::test]
async fn calls_of_a_plain_service_under_faults() {
    let site = Site::start(Plan::default()).await;
    let mut table = String::from("fault | call | status | verdict | runs\n");
    let mut number = 0;
    let calls: [(&str, Method, Option<&str>); 3] = [
        ("lookup", Method::GET, None),
        ("charge without a key", Method::POST, None),
        ("charge under a key", Method::POST, Some("key")),
    ];
    for fault in [&["none"], CUTS].concat() {
        for (call, method, key) in &calls {
            number += 1;
            let id = format!("call-{number}");
            let key = key.map(|key| format!("{key}-{number}"));
            let mut headers = vec![
                ("x-request-id", id.as_str()),
                ("x-tanagershift-deadline-ms", "3000"),
            ];
            headers.extend(key.as_deref().map(|key| ("idempotency-key", key)));
            if fault != "none" {
                site.fault("service1", &[fault]).await;
            }
            let path = "/services/booking/charges";
            let reply = site
                .send("entry1", method.clone(), path, &headers, "{}")
                .await
                .unwrap();
            let told = verdict(&reply);
            let runs = runs(&site, &["service1"], &id).await;
            table += &format!("{fault} | {call} | {} | {told} | {runs}\n", reply.status);
            assert!(
                told != "not_run" || runs == 0,
                "{fault}, {call}: told not run, ran {runs}"
            );
            assert!(
                *method == Method::GET || runs <= 1,
                "{fault}, {call}: ran {runs} times"
            );
            if let Some(key) = &key {
                // Resent through the other entry host, it never runs a second time.
                let again = [
                    ("idempotency-key", key.as_str()),
                    ("x-request-id", id.as_str()),
                ];
                let path = "/services/booking/charges";
                let reply = site
                    .send("entry2", method.clone(), path, &again, "{}")
                    .await
                    .unwrap();
                let counts = site.counts("service1").await;
                let by_key = counts["by_key"][key].as_u64().unwrap_or(0);
                table += &format!(
                    "  resent | | {} | {} | {by_key}\n",
                    reply.status,
                    verdict(&reply)
                );
                assert!(by_key <= 1, "{fault}: ran {by_key} times under one key");
            }
        }
    }
    insta::assert_snapshot!(table);
}

#[tokio::test]
async fn completions_under_faults_of_the_engine() {
    let site = Site::start(Plan {
        engines: 1,
        ..Plan::default()
    })
    .await;
    site.complete("entry1", "practice", "warm").await.unwrap();
    let mut table = String::from("fault | answer | status | verdict | whole | runs\n");
    let faults = ["none", "wrong_model", "wrong_request", "cut_during"];
    let mut number = 0;
    for fault in [&faults, CUTS].concat() {
        for streamed in [false, true] {
            number += 1;
            let id = format!("completion-{number}");
            if fault != "none" {
                site.fault("engine1", &[fault]).await;
            }
            let headers = [
                ("x-request-id", id.as_str()),
                ("x-tanagershift-deadline-ms", "4000"),
            ];
            let prompt = format!("prompt {number}");
            let body = json!({
                "model": "practice", "prompt": prompt, "stream": streamed, "max_tokens": 4,
            });
            let reply = site
                .send(
                    "entry1",
                    Method::POST,
                    "/v1/completions",
                    &headers,
                    &body.to_string(),
                )
                .await;
            let runs = runs(&site, &["engine1"], &id).await;
            let answer = if streamed { "streamed" } else { "whole" };
            let Some(reply) = reply else {
                table += &format!("{fault} | {answer} | cut off | - | no | {runs}\n");
                continue;
            };
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            let whole = if streamed {
                text.ends_with("data: [DONE]\n\n")
            } else {
                reply.json()["choices"].is_array()
            };
            let told = verdict(&reply);
            table += &format!(
                "{fault} | {answer} | {} | {told} | {whole} | {runs}\n",
                reply.status
            );
            assert!(
                told != "not_run" || runs == 0,
                "{fault}: told not run, ran {runs}"
            );
            assert!(
                !text.contains("somebody-else"),
                "{fault}: another model's answer went through"
            );
        }
    }
    insta::assert_snapshot!(table);
}

/// Name, path, headers and body of a request.
type Row<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], &'a str);

#[tokio::test]
async fn refusals_of_callers_input_run_nothing() {
    let site = Site::start(Plan::default()).await;
    let large = format!(
        "{{\"model\":\"practice\",\"prompt\":\"{}\"}}",
        "x".repeat(2 << 20)
    );
    let rows: &[Row<'_>] = &[
        ("no JSON", "/v1/completions", &[], "{\"model\": "),
        ("no object", "/v1/completions", &[], "[1]"),
        (
            "not UTF-8 escapes",
            "/v1/completions",
            &[],
            "{\"model\":\"\\ud800\"}",
        ),
        ("no model", "/v1/completions", &[], "{\"prompt\":\"x\"}"),
        (
            "model twice",
            "/v1/completions",
            &[],
            "{\"model\":\"practice\",\"model\":\"plan@1\"}",
        ),
        ("model a number", "/v1/completions", &[], "{\"model\":1}"),
        (
            "unknown model",
            "/v1/completions",
            &[],
            "{\"model\":\"nobody@1\"}",
        ),
        (
            "path as model",
            "/v1/completions",
            &[],
            "{\"model\":\"../../etc@1\"}",
        ),
        (
            "version zero",
            "/v1/completions",
            &[],
            "{\"model\":\"plan@0\"}",
        ),
        ("body too long", "/v1/completions", &[], &large),
        (
            "no deadline left",
            "/v1/completions",
            &[("x-tanagershift-deadline-ms", "0")],
            "{}",
        ),
        (
            "deadline no number",
            "/v1/completions",
            &[("x-tanagershift-deadline-ms", "soon")],
            "{}",
        ),
        ("unknown path", "/v2/completions", &[], "{}"),
        ("unknown service", "/services/ghost/x", &[], "{}"),
        (
            "adapter's intent as service",
            "/services/practice/x",
            &[],
            "{}",
        ),
        ("path out of services", "/services/../v1/models", &[], "{}"),
        ("admin path", "/metrics", &[], "{}"),
        (
            "order path",
            "/v1/unload_lora_adapter",
            &[],
            "{\"lora_name\":\"x\"}",
        ),
        (
            "empty key",
            "/services/booking/charges",
            &[("idempotency-key", " ")],
            "{}",
        ),
    ];
    let mut table = String::new();
    for (name, path, headers, body) in rows {
        let reply = site.send("entry1", Method::POST, path, headers, body).await;
        let Some(reply) = reply else {
            table += &format!("{name} | no answer\n");
            continue;
        };
        let error = &reply.json()["error"];
        let (code, message) = (&error["code"], &error["message"]);
        table += &format!(
            "{name} | {} | {} | {code} | {message}\n",
            reply.status,
            verdict(&reply)
        );
        assert_eq!(verdict(&reply), "not_run", "{name}");
    }
    for upstream in ["engine1", "engine2", "service1"] {
        assert_eq!(
            site.counts(upstream).await["runs"],
            json!(0),
            "{upstream} ran something"
        );
    }
    insta::assert_snapshot!(table);
}

#[tokio::test]
async fn half_sent_requests_end_quickly_and_run_nothing() {
    use tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Duration, Instant, timeout},
    };
    let site = Site::start(Plan {
        entry: "head-timeout = 500ms\nbody-timeout = 500ms\nhead-limit = 16KiB".to_owned(),
        ..Plan::default()
    })
    .await;
    let long_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(64 << 10));
    let cases: [(&str, &str, &str); 4] = [
        (
            "half a head",
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\n",
            "",
        ),
        (
            "half a body",
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n{\"model\"",
            "HTTP/1.1 408",
        ),
        ("a head too long", &long_head, "HTTP/1.1 431"),
        ("no HTTP", "\x16\x03\x01 hello\r\n\r\n", "HTTP/1.1 400"),
    ];
    for (name, bytes, start) in cases {
        let mut stream = TcpStream::connect(site.address("entry1")).await.unwrap();
        let began = Instant::now();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let read = timeout(Duration::from_secs(3), stream.read_to_end(&mut answer)).await;
        assert!(read.is_ok(), "{name}: the connection stays open");
        assert!(
            began.elapsed() < Duration::from_secs(2),
            "{name}: {:?}",
            began.elapsed()
        );
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.starts_with(start), "{name}: {answer}");
    }
    for upstream in ["engine1", "engine2", "service1"] {
        assert_eq!(
            site.counts(upstream).await["runs"],
            json!(0),
            "{upstream} ran something"
        );
    }
    let counts: Value = site
        .complete("entry1", "practice", "still here")
        .await
        .unwrap()
        .json();
    assert!(
        counts["choices"].is_array(),
        "others are served all the while"
    );
}
