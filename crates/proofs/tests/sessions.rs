//! Golden files of whole sessions of the real programs.

use std::time::Duration;

use hyper::Method;
use proofs::{
    site::{Plan, Site},
    transcript::Transcript,
};
use serde_json::json;

const VERSION_2: &[(&str, &str)] = &[
    (
        "plan-2.ini",
        "[version]\nadapter = plan\nnumber = 2\nweights = plan/2\n",
    ),
    (
        "practice.ini",
        "[intent]\nname = practice\ntarget = plan@2\n",
    ),
];

#[tokio::test]
async fn publish_then_first_request_on_a_cold_adapter() {
    let site = Site::start(Plan::default()).await;
    let mut session = Transcript::default();
    session.tool(&site, &["publish", "FILES", "--id", "first", "--wait"]);
    session.tool(&site, &["diff", "FILES"]);
    session.tool(&site, &["adapters"]);
    let reply = site
        .complete("entry1", "practice", "first lesson")
        .await
        .unwrap();
    session.call("completion of practice: first lesson", &reply);
    let reply = site
        .complete("entry2", "plan@1", "first lesson")
        .await
        .unwrap();
    session.call(
        "completion of plan@1 through the other entry: first lesson",
        &reply,
    );
    let reply = site
        .complete("entry1", "plan@7", "no such version")
        .await
        .unwrap();
    session.call("completion of plan@7", &reply);
    let reply = site
        .complete("entry1", "booking", "a service is no model")
        .await
        .unwrap();
    session.call("completion of booking", &reply);
    let mut loads = 0;
    for engine in ["engine1", "engine2"] {
        loads += site.counts(engine).await["loads"].as_u64().unwrap();
    }
    session.note(format!("loads: {loads}"));
    insta::assert_snapshot!(session.text());
}

#[tokio::test]
async fn version_change_under_load() {
    let site = Site::start(Plan::default()).await;
    let mut session = Transcript::default();
    let load = async {
        let mut versions = Vec::new();
        for number in 0..120 {
            let entry = if number % 2 == 0 { "entry1" } else { "entry2" };
            let reply = site
                .complete(entry, "practice", &format!("take {number}"))
                .await
                .unwrap();
            assert_eq!(reply.status, 200, "{:?}", reply.body);
            versions.push(reply.header("x-tanagershift-target").to_owned());
        }
        versions
    };
    let change = async {
        tokio::time::sleep(Duration::from_millis(1500)).await;
        site.write_files(VERSION_2);
        let output = site.ctl(&["publish", "FILES", "--id", "second", "--wait"]);
        assert!(output.status.success(), "{output:?}");
        let reply = site.complete("entry1", "practice", "after").await.unwrap();
        reply.header("x-tanagershift-target").to_owned()
    };
    let (versions, after) = tokio::join!(load, change);
    session.note(format!("right after --wait returned: {after}"));
    let mut seen: Vec<&str> = versions.iter().map(String::as_str).collect();
    seen.dedup();
    session.note(format!(
        "every request was answered, by {}",
        seen.join(" then ")
    ));
    session.tool(&site, &["audit"]);
    let text = without_times(session.text());
    insta::assert_snapshot!(text);
}

/// Takes the wall clock out of the audit trail.
fn without_times(text: &str) -> String {
    let is_time = |word: &str| word.len() == 13 && word.chars().all(|one| one.is_ascii_digit());
    let line = |line: &str| {
        let words: Vec<&str> = line.split("  ").collect();
        let kept = words
            .into_iter()
            .map(|word| if is_time(word.trim()) { "TIME" } else { word });
        kept.collect::<Vec<_>>().join("  ")
    };
    text.lines().map(line).collect::<Vec<_>>().join("\n")
}

#[tokio::test]
async fn streamed_answer() {
    let site = Site::start(Plan::default()).await;
    let mut session = Transcript::default();
    let body = json!({
        "model": "practice", "stream": true, "max_tokens": 3,
        "messages": [{ "role": "user", "content": "low breath" }],
    });
    let headers = [
        ("x-request-id", "mine-1"),
        ("x-tanagershift-deadline-ms", "9000"),
    ];
    let body = body.to_string();
    let reply = site
        .send(
            "entry1",
            Method::POST,
            "/v1/chat/completions",
            &headers,
            &body,
        )
        .await
        .unwrap();
    assert_eq!(reply.header("x-request-id"), "mine-1");
    session.call(&format!("chat: {body}"), &reply);
    insta::assert_snapshot!(session.text());
}

#[tokio::test]
async fn charge_sent_twice() {
    let site = Site::start(Plan::default()).await;
    let mut session = Transcript::default();
    let charge = json!({ "lesson": 4711, "cents": 3800 }).to_string();
    let other = json!({ "lesson": 4712, "cents": 3800 }).to_string();
    let key = [("idempotency-key", "lesson-4711")];
    for (entry, body) in [("entry1", &charge), ("entry2", &charge), ("entry2", &other)] {
        let reply = site
            .send(entry, Method::POST, "/services/booking/charges", &key, body)
            .await
            .unwrap();
        session.call(&format!("{entry}: charge lesson-4711 {body}"), &reply);
    }
    let counts = site.counts("service1").await;
    session.note(format!("runs by key: {}", counts["by_key"]));
    insta::assert_snapshot!(session.text());
}

#[tokio::test]
async fn operator_race() {
    let site = Site::start(Plan::default()).await;
    let mut session = Transcript::default();
    site.write_files(VERSION_2);
    session.tool(
        &site,
        &[
            "publish",
            "FILES",
            "--id",
            "ana-2",
            "--operator",
            "ana",
            "--base",
            "1",
        ],
    );
    site.write_files(&[
        (
            "plan-2.ini",
            "[version]\nadapter = plan\nnumber = 2\nweights = other/2\n",
        ),
        (
            "practice.ini",
            "[intent]\nname = practice\ntarget = plan@2\n",
        ),
    ]);
    session.tool(
        &site,
        &[
            "publish",
            "FILES",
            "--id",
            "bo-2",
            "--operator",
            "bo",
            "--base",
            "1",
        ],
    );
    session.note("bo lost the answer and sends it again");
    session.tool(
        &site,
        &[
            "publish",
            "FILES",
            "--id",
            "bo-2",
            "--operator",
            "bo",
            "--base",
            "1",
        ],
    );
    site.write_files(&[(
        "practice.ini",
        "[intent]\nname = practice\ntarget = plan@1\n",
    )]);
    session.tool(
        &site,
        &[
            "publish",
            "FILES",
            "--id",
            "cy-2",
            "--operator",
            "cy",
            "--base",
            "1",
        ],
    );
    session.tool(
        &site,
        &["publish", "FILES", "--id", "ana-2", "--operator", "cy"],
    );
    let text = site.report(&["audit"]);
    for record in text.as_array().unwrap() {
        session.note(format!(
            "{} {} {}",
            record["operator"], record["outcome"], record["revision"]
        ));
    }
    insta::assert_snapshot!(session.text());
}

#[tokio::test]
async fn drain_and_shutdown() {
    let mut site = Site::start(Plan::default()).await;
    let mut session = Transcript::default();
    let body = json!({ "model": "practice", "prompt": "long", "stream": true, "max_tokens": 150 });
    let url = format!("http://{}/v1/completions", site.address("entry1"));
    let client = site.client.clone();
    let stream = tokio::spawn(async move {
        client
            .send(Method::POST, &url, &[], body.to_string())
            .await
            .unwrap()
    });
    tokio::time::sleep(Duration::from_millis(600)).await;
    site.terminate("entry1");
    // The signal takes a moment to arrive; readiness must go off within half a second.
    let mut ready = site.admin("entry1", "/readyz").await.unwrap();
    for _ in 0..50 {
        if ready.status != 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        ready = site.admin("entry1", "/readyz").await.unwrap();
    }
    session.note(format!("entry1 /readyz while it drains: {}", ready.status));
    let reply = stream.await.unwrap();
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let tokens = text.matches("data: {").count();
    session.note(format!("the open stream got {tokens} tokens"));
    session.note(format!(
        "and its end: {}",
        text.ends_with("data: [DONE]\n\n")
    ));
    let status = site.ended("entry1").await;
    session.note(format!("entry1 ended with {status}"));
    let after = site.complete("entry2", "practice", "after").await.unwrap();
    session.call("entry2: completion of practice", &after);
    site.until("the replicas have moved", |site| {
        let replicas = site.report(&["replicas"]);
        let replicas = replicas.as_array().cloned().unwrap_or_default();
        replicas.len() == 2 && replicas.iter().all(|replica| replica["holder"] != "entry1")
    })
    .await;
    let replicas = site.report(&["replicas"]);
    for replica in replicas.as_array().unwrap() {
        session.note(format!(
            "{} is held by {}",
            replica["replica"], replica["holder"]
        ));
    }
    insta::assert_snapshot!(session.text());
}
