//! Upstreams of the own interface that announce that they leave, or ask for a pause.

use std::time::Duration;

use hyper::Method;
use proofs::site::{Plan, Site};
use tokio::time::{Instant, sleep};

/// Longest time for a refusal that needs no wait.
const AT_ONCE: Duration = Duration::from_millis(150);
/// Pause that the stand-ins ask for.
const PAUSE: Duration = Duration::from_millis(1500);

async fn lookup(site: &Site, id: &str) -> standins::http::Reply {
    let headers = [("x-request-id", id), ("x-tanagershift-deadline-ms", "3000")];
    let path = "/services/booking/schedule";
    let reply = site.send("entry1", Method::GET, path, &headers, "").await;
    reply.unwrap()
}

async fn runs(site: &Site, upstream: &str) -> u64 {
    let counts = site.counts(upstream).await;
    let by_request = counts["by_request"].as_object().unwrap();
    by_request
        .values()
        .filter_map(serde_json::Value::as_u64)
        .sum()
}

#[tokio::test]
async fn a_service_host_that_leaves_gets_nothing_new() {
    let plan = Plan {
        services: 2,
        ..Plan::default()
    };
    let site = Site::start(plan).await;
    // With equal loads the first one is asked first.
    site.fault("service1", &["leave"]).await;
    for number in 0..8 {
        assert_eq!(lookup(&site, &format!("l{number}")).await.status, 200);
    }
    let (first, second) = (runs(&site, "service1").await, runs(&site, "service2").await);
    assert_eq!(first, 1, "the request that was told");
    assert_eq!(second, 7);
}

#[tokio::test]
async fn a_service_whose_only_host_asks_for_a_pause_refuses_at_once() {
    let site = Site::start(Plan::default()).await;
    assert_eq!(lookup(&site, "first").await.status, 200);
    site.fault("service1", &["pause"]).await;
    assert_eq!(lookup(&site, "asked").await.status, 503);
    let asked = Instant::now();
    let mut served = 0;
    for number in 0..10 {
        let began = Instant::now();
        let reply = lookup(&site, &format!("more{number}")).await;
        if reply.status == 200 {
            served += 1;
            continue;
        }
        assert_eq!(
            (reply.status, reply.header("x-tanagershift-verdict")),
            (503, "not_run")
        );
        assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
        let seconds: f64 = reply.header("retry-after").parse().unwrap();
        assert!(seconds <= 2.0 && seconds > 0.0, "{seconds}");
    }
    assert_eq!(served, 2, "requests in a pause");
    sleep(PAUSE.saturating_sub(asked.elapsed())).await;
    assert_eq!(lookup(&site, "later").await.status, 200);
}

#[tokio::test]
async fn completions_leave_an_engine_that_leaves() {
    let plan = Plan {
        engines: 2,
        ..Plan::default()
    };
    let site = Site::start(plan).await;
    site.complete("entry1", "practice", "warm").await.unwrap();
    let before = [runs(&site, "engine1").await, runs(&site, "engine2").await];
    let (gone, other) = match before[0] > 0 {
        true => ("engine1", "engine2"),
        false => ("engine2", "engine1"),
    };
    site.fault(gone, &["leave"]).await;
    site.complete("entry1", "practice", "told").await.unwrap();
    let told = runs(&site, gone).await;
    for number in 0..6 {
        let entry = ["entry1", "entry2"][number % 2];
        let reply = site
            .complete(entry, "practice", &format!("p{number}"))
            .await;
        assert_eq!(reply.unwrap().status, 200);
    }
    assert_eq!(runs(&site, gone).await, told);
    assert!(runs(&site, other).await >= 6);
}
