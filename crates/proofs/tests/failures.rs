//! What must hold while processes are killed, frozen, cut off, restarted or lose their disks.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::Method;
use proofs::site::{Plan, Site};
use serde_json::{Value, json};
use standins::http::Client;
use tokio::{task::JoinHandle, time::sleep};

/// Longest time without an accepting leader, by the target.
const LEADER_GAP: Duration = Duration::from_secs(3);
/// Longest time until a replica serves again after its holder was killed.
const HOLDER_GAP: Duration = Duration::from_secs(5);
/// Longest time until an accepted change is in force on every live host.
const IN_FORCE: Duration = Duration::from_secs(10);

/// A version of the adapter and the intent that leads to it.
fn version(number: u64) -> [(&'static str, String); 2] {
    let version =
        format!("[version]\nadapter = plan\nnumber = {number}\nweights = plan/{number}\n");
    let intent = format!("[intent]\nname = practice\ntarget = plan@{number}\n");
    [("plan.ini", version), ("practice.ini", intent)]
}

/// Publishes a version until it is accepted; resending is safe under its change id.
async fn publish(site: &mut Site, number: u64) -> Duration {
    let files = version(number);
    let files: Vec<(&str, &str)> = files
        .iter()
        .map(|(name, text)| (*name, text.as_str()))
        .collect();
    site.write_files(&files);
    let id = format!("version-{number}");
    let arguments = ["publish", "FILES", "--id", &id, "--timeout", "2"];
    let accepted = |site: &Site| site.ctl(&arguments).status.success();
    site.until("a version is accepted", accepted).await
}

/// Waits until a revision is in force on every live host, within the limit.
async fn in_force(site: &mut Site) {
    let wait = [
        "publish",
        "FILES",
        "--id",
        "again",
        "--wait",
        "--timeout",
        "10",
    ];
    let took = site
        .until("in force", |site| site.ctl(&wait).status.success())
        .await;
    assert!(took < IN_FORCE, "in force only after {took:?}");
}

async fn target(site: &Site, entry: &str) -> String {
    let reply = site.complete(entry, "practice", "which version").await;
    let reply = reply.expect("an answer comes");
    match reply.status {
        200 => reply.header("x-tanagershift-target").to_owned(),
        status => format!("{status} {}", String::from_utf8_lossy(&reply.body)),
    }
}

/// Callers who keep asking, and how often they were answered or failed.
struct Callers {
    stop: Arc<AtomicBool>,
    good: Arc<AtomicU64>,
    failures: JoinHandle<Vec<String>>,
}

impl Callers {
    /// Starts callers that ask the named entry hosts in turn, skipping those being restarted, as a
    /// balancer does that looks at readiness.
    fn start(site: &Site, entries: &[&str], streamed: bool) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let good = Arc::new(AtomicU64::new(0));
        let targets: Vec<(String, String)> = entries
            .iter()
            .map(|entry| {
                let admin = site.address(&format!("{entry} admin"));
                (site.address(entry).to_owned(), admin.to_owned())
            })
            .collect();
        let (stopped, counted) = (stop.clone(), good.clone());
        let failures = tokio::spawn(async move {
            let client = Client::default();
            let mut tasks = tokio::task::JoinSet::new();
            let mut number = 0;
            while !stopped.load(Ordering::Relaxed) {
                number += 1;
                let (entry, admin) = targets[number % targets.len()].clone();
                let (client, counted) = (client.clone(), counted.clone());
                tasks.spawn(async move {
                    ask(&client, &entry, &admin, number, streamed, &counted).await
                });
                sleep(Duration::from_millis(40)).await;
            }
            let mut failures = Vec::new();
            while let Some(outcome) = tasks.join_next().await {
                failures.extend(outcome.expect("a caller does not panic"));
            }
            failures
        });
        Self {
            stop,
            good,
            failures,
        }
    }

    /// Ends the callers; returns how many were answered, and what the others got.
    async fn end(self) -> (u64, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        let failures = self.failures.await.expect("the callers do not panic");
        (self.good.load(Ordering::Relaxed), failures)
    }
}

async fn ask(
    client: &Client,
    entry: &str,
    admin: &str,
    number: usize,
    streamed: bool,
    good: &AtomicU64,
) -> Option<String> {
    let ready = client
        .send(Method::GET, &format!("http://{admin}/readyz"), &[], "")
        .await;
    if !ready.is_ok_and(|reply| reply.status == 200) {
        return None;
    }
    let prompt = format!("caller {number}");
    let body = json!({
        "model": "practice", "prompt": prompt, "stream": streamed, "max_tokens": 20,
    });
    let url = format!("http://{entry}/v1/completions");
    match client.send(Method::POST, &url, &[], body.to_string()).await {
        Ok(reply) if reply.status == 200 => {
            let text = String::from_utf8_lossy(&reply.body);
            if streamed && !text.ends_with("data: [DONE]\n\n") {
                return Some(format!("cut: {text}"));
            }
            good.fetch_add(1, Ordering::Relaxed);
            None
        }
        Ok(reply) => Some(format!(
            "{} {}",
            reply.status,
            String::from_utf8_lossy(&reply.body)
        )),
        Err(error) => Some(error.to_string()),
    }
}

/// Sum of what all engines counted under a name.
async fn counted(site: &Site, engines: &[&str], name: &str) -> u64 {
    let mut sum = 0;
    for engine in engines {
        sum += site.counts(engine).await[name].as_u64().unwrap_or(0);
    }
    sum
}

#[tokio::test]
async fn a_killed_leader_is_replaced_and_nothing_is_lost() {
    let mut site = Site::start(Plan::default()).await;
    for number in 2..5 {
        publish(&mut site, number).await;
        let leader = site.leader().expect("a leader is known");
        site.kill(&leader);
        let gap = publish(&mut site, number + 10).await;
        assert!(gap < LEADER_GAP, "no leader accepted for {gap:?}");
        site.launch(&leader);
    }
    in_force(&mut site).await;
    assert_eq!(target(&site, "entry1").await, "plan@14");
    assert_eq!(target(&site, "entry2").await, "plan@14");
    let adapters = site.report(&["adapters"]);
    let versions = adapters["adapters"][0]["versions"].as_array().unwrap();
    assert_eq!(versions.len(), 7, "every accepted version is there");
}

#[tokio::test]
async fn a_frozen_leader_that_comes_back_reverts_nothing() {
    let mut site = Site::start(Plan::default()).await;
    let old = site.leader().expect("a leader is known");
    site.freeze(&old);
    let gap = publish(&mut site, 2).await;
    assert!(
        gap < LEADER_GAP + Duration::from_secs(2),
        "no leader accepted for {gap:?}"
    );
    // A host without a disk starts while the old leader still thinks that it leads.
    site.kill("entry2");
    site.launch("entry2");
    site.thaw(&old);
    in_force(&mut site).await;
    for _ in 0..20 {
        assert_eq!(target(&site, "entry1").await, "plan@2");
        assert_eq!(target(&site, "entry2").await, "plan@2");
    }
    assert_ne!(site.leader().expect("a leader is known"), old);
}

#[tokio::test]
async fn a_stale_voter_cannot_give_old_state_to_a_new_host() {
    let mut site = Site::start(Plan::default()).await;
    let leader = site.leader().expect("a leader is known");
    let stale = ["voter1", "voter2", "voter3"]
        .into_iter()
        .find(|name| *name != leader)
        .unwrap();
    site.kill(stale);
    publish(&mut site, 2).await;
    in_force(&mut site).await;
    for voter in ["voter1", "voter2", "voter3"]
        .into_iter()
        .filter(|name| *name != stale)
    {
        site.kill(voter);
    }
    site.launch(stale);
    site.kill("entry2");
    site.launch("entry2");
    sleep(Duration::from_secs(3)).await;
    let ready = site.admin("entry2", "/readyz").await.unwrap();
    assert_eq!(
        ready.status, 503,
        "nobody current has confirmed what it has"
    );
    let reply = site
        .complete("entry2", "practice", "too early")
        .await
        .unwrap();
    assert_eq!(
        (reply.status, reply.json()["error"]["code"].as_str()),
        (503, Some("not_ready"))
    );
    assert_ne!(reply.header("retry-after"), "");
    for voter in ["voter1", "voter2", "voter3"]
        .into_iter()
        .filter(|name| *name != stale)
    {
        site.launch(voter);
    }
    site.until_held().await;
    in_force(&mut site).await;
    assert_eq!(target(&site, "entry2").await, "plan@2");
}

#[tokio::test]
async fn a_lost_disk_is_repaired_and_a_second_is_lost_right_after() {
    let mut site = Site::start(Plan::default()).await;
    publish(&mut site, 2).await;
    let leader = site.leader().expect("a leader is known");
    let others = ["voter1", "voter2", "voter3"]
        .into_iter()
        .filter(|name| *name != leader);
    let others: Vec<&str> = others.collect();
    for (round, lost) in [others[0], others[1]].into_iter().enumerate() {
        site.kill(lost);
        site.lose_disk(lost);
        site.launch(lost);
        sleep(Duration::from_millis(500)).await;
        // Until it is added, the new identity counts for nothing.
        let status = site.report(&["status"]);
        assert_eq!(status["members"].as_array().unwrap().len(), 3);
        let address = site.address(&format!("{lost} peer")).to_owned();
        let add = ["member", "add", address.as_str()];
        site.until("the new identity is added", |site| {
            site.ctl(&add).status.success()
        })
        .await;
        site.until("the repair is complete", |site| {
            let status = site.report(&["status"]);
            let members = status["members"].as_array().cloned().unwrap_or_default();
            members.len() == 3 && members.iter().all(|member| member["voter"] == true)
        })
        .await;
        publish(&mut site, 3 + round as u64).await;
    }
    // The one member that had everything from the start is gone too, right after the repair.
    let leader = site.leader().expect("a leader is known");
    site.kill(&leader);
    let gap = publish(&mut site, 9).await;
    assert!(gap < LEADER_GAP, "no leader accepted for {gap:?}");
    let adapters = site.report(&["adapters"]);
    let versions = adapters["adapters"][0]["versions"].as_array().unwrap();
    assert_eq!(versions.len(), 5, "every accepted version is there");
}

#[tokio::test]
async fn all_processes_restart_after_500_changes() {
    let mut site = Site::start(Plan {
        voter: "snapshot-every = 100".to_owned(),
        ..Plan::default()
    })
    .await;
    for number in 2..=500 {
        let files = version(number);
        let files: Vec<(&str, &str)> = files
            .iter()
            .map(|(name, text)| (*name, text.as_str()))
            .collect();
        site.write_files(&files);
        let id = format!("version-{number}");
        let output = site.ctl(&["publish", "FILES", "--id", &id]);
        assert!(output.status.success(), "{output:?}");
    }
    let hosts = ["voter1", "voter2", "voter3", "entry1", "entry2"];
    for host in hosts {
        site.kill(host);
    }
    for host in hosts {
        site.launch(host);
    }
    site.until_ready("entry1").await;
    site.until_held().await;
    in_force(&mut site).await;
    assert_eq!(target(&site, "entry1").await, "plan@500");
    // Resent long after its answer was lost, and after snapshots: the same answer.
    let files = version(7);
    let files: Vec<(&str, &str)> = files
        .iter()
        .map(|(name, text)| (*name, text.as_str()))
        .collect();
    site.write_files(&files);
    let again = site.report(&["publish", "FILES", "--id", "version-7"]);
    assert_eq!(again["revision"], 7);
    assert_eq!(
        target(&site, "entry1").await,
        "plan@500",
        "the old change is not applied again"
    );
}

#[tokio::test]
async fn a_killed_holder_is_replaced_in_time() {
    let mut site = Site::start(Plan::default()).await;
    let mut client = 0;
    site.complete("entry2", "practice", "warm").await.unwrap();
    site.kill("entry1");
    let began = Instant::now();
    let mut moved = false;
    while !moved {
        let replicas = site.report(&["replicas"]);
        let replicas = replicas.as_array().cloned().unwrap_or_default();
        moved = replicas.len() == 2 && replicas.iter().all(|replica| replica["holder"] == "entry2");
        client += 1;
        assert!(began.elapsed() < HOLDER_GAP, "looked {client} times");
        sleep(Duration::from_millis(20)).await;
    }
    // Both replicas serve: adapters of both homes are answered.
    let reply = site.complete("entry2", "practice", "after").await.unwrap();
    assert_eq!(reply.status, 200, "{:?}", reply.body);
    assert!(
        began.elapsed() < HOLDER_GAP,
        "served only after {:?}",
        began.elapsed()
    );
}

async fn check_frozen_holder(fencing: bool) {
    let mut site = Site::start(Plan {
        engines: 1,
        engine: if fencing {
            vec!["--fencing".to_owned()]
        } else {
            Vec::new()
        },
        entry: format!(
            "[holder]\nslots = 2\nfencing = {}",
            if fencing { "yes" } else { "no" }
        ),
        ..Plan::default()
    })
    .await;
    let files = [
        (
            "a.ini",
            "[adapter]\nname = a\nbase = alphorn\naudience = x\n",
        ),
        (
            "a-1.ini",
            "[version]\nadapter = a\nnumber = 1\nweights = a/1\n",
        ),
        (
            "b.ini",
            "[adapter]\nname = b\nbase = alphorn\naudience = x\n",
        ),
        (
            "b-1.ini",
            "[version]\nadapter = b\nnumber = 1\nweights = b/1\n",
        ),
    ];
    site.write_files(&files);
    assert!(site.ctl(&["publish", "FILES", "--wait"]).status.success());
    let holder = site.report(&["replicas"])[0]["holder"]
        .as_str()
        .unwrap()
        .to_owned();
    let other = if holder == "entry1" {
        "entry2"
    } else {
        "entry1"
    };
    site.complete(other, "practice", "fill a slot")
        .await
        .unwrap();
    // Requests of the old holder are running and waiting when it freezes.
    let url = format!("http://{}/v1/completions", site.address(&holder));
    let mut callers = Vec::new();
    for model in ["practice", "a@1", "b@1"] {
        let (client, url) = (site.client.clone(), url.clone());
        let body = json!({ "model": model, "prompt": "x", "stream": true, "max_tokens": 300 });
        callers.push(tokio::spawn(async move {
            client
                .send(Method::POST, &url, &[], body.to_string())
                .await
                .map(|reply| reply.status)
        }));
    }
    sleep(Duration::from_millis(700)).await;
    site.freeze(&holder);
    site.until("another host takes over", |site| {
        site.report(&["replicas"])[0]["holder"] == other
    })
    .await;
    for number in 0..6 {
        let model = ["practice", "a@1", "b@1"][number % 3];
        let reply = site
            .complete(other, model, &format!("of the new holder {number}"))
            .await
            .unwrap();
        assert!(
            reply.status == 200 || reply.status == 503,
            "{:?}",
            reply.body
        );
    }
    site.thaw(&holder);
    for number in 0..10 {
        let model = ["practice", "a@1", "b@1"][number % 3];
        let reply = site
            .complete(other, model, &format!("after the thaw {number}"))
            .await
            .unwrap();
        assert!(
            reply.status == 200 || reply.status == 503,
            "{:?}",
            reply.body
        );
        sleep(Duration::from_millis(50)).await;
    }
    for caller in callers {
        // The old holder's callers may be answered or told of a failure; nobody waits for ever.
        let _ = caller.await.unwrap();
    }
    let unloaded = counted(&site, &["engine1"], "unloaded_in_use").await;
    assert_eq!(unloaded, 0, "an adapter was unloaded while in use");
    site.until("the site serves again", |site| {
        site.report(&["replicas"])[0]["holder"].is_string()
    })
    .await;
    let reply = site.complete(other, "practice", "at last").await.unwrap();
    assert_eq!(reply.status, 200, "{:?}", reply.body);
}

#[tokio::test]
async fn a_holder_frozen_past_its_lease_unloads_nothing_in_use_without_fencing() {
    check_frozen_holder(false).await;
}

#[tokio::test]
async fn a_holder_frozen_past_its_lease_unloads_nothing_in_use_with_fencing() {
    check_frozen_holder(true).await;
}

#[tokio::test]
async fn an_engine_that_restarts_cold_serves_again() {
    let mut site = Site::start(Plan {
        engines: 1,
        ..Plan::default()
    })
    .await;
    assert_eq!(target(&site, "entry1").await, "plan@1");
    for _ in 0..3 {
        site.kill("engine1");
        site.launch("engine1");
        sleep(Duration::from_millis(300)).await;
        let reply = site
            .complete("entry1", "practice", "after a cold start")
            .await
            .unwrap();
        assert_eq!(reply.status, 200, "{:?}", reply.body);
        assert_eq!(reply.header("x-tanagershift-target"), "plan@1");
    }
}

#[tokio::test]
async fn a_leaving_upstream_gets_nothing_new() {
    let mut site = Site::start(Plan::default()).await;
    let callers = Callers::start(&site, &["entry1", "entry2"], false);
    sleep(Duration::from_secs(1)).await;
    for (upstream, state) in [
        ("engine1", "leaving"),
        ("engine1", "live"),
        ("engine2", "leaving"),
    ] {
        site.list(upstream, state);
        sleep(Duration::from_secs(2)).await;
        let before = site.counts(upstream).await["runs"].clone();
        sleep(Duration::from_secs(1)).await;
        let after = site.counts(upstream).await["runs"].clone();
        if state == "leaving" {
            assert_eq!(before, after, "{upstream} is leaving and got new work");
        }
    }
    site.list("engine2", "live");
    let (good, failures) = callers.end().await;
    assert_eq!(failures, Vec::<String>::new());
    assert!(good > 50, "{good} were answered");
}

#[tokio::test]
async fn an_unreachable_list_keeps_what_was_last_known() {
    let mut site = Site::start(Plan::default()).await;
    site.kill("list");
    sleep(Duration::from_secs(2)).await;
    assert_eq!(target(&site, "entry1").await, "plan@1");
    site.launch("list");
    assert_eq!(target(&site, "entry2").await, "plan@1");
}

#[tokio::test]
async fn a_rolling_restart_of_every_host_fails_no_request() {
    let mut site = Site::start(Plan {
        entries: 3,
        engines: 3,
        ..Plan::default()
    })
    .await;
    assert_eq!(target(&site, "entry1").await, "plan@1");
    let callers = Callers::start(&site, &["entry1", "entry2", "entry3"], true);
    let hosts = ["entry1", "voter1", "entry2", "voter2", "entry3", "voter3"];
    for host in hosts {
        site.terminate(host);
        let status = site.ended(host).await;
        assert!(status.success(), "{host} ended with {status}");
        site.launch(host);
        site.until("the host is ready again", |site| {
            let status = site.report(&["status"]);
            let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
            hosts
                .iter()
                .any(|one| one["host"] == host && one["live"] == true && one["in_force"] == true)
        })
        .await;
        sleep(Duration::from_millis(500)).await;
    }
    let (good, failures) = callers.end().await;
    assert_eq!(failures, Vec::<String>::new(), "{good} were answered");
    assert!(good > 100, "{good} were answered");
}

#[tokio::test]
async fn a_second_signal_ends_at_once() {
    let mut site = Site::start(Plan::default()).await;
    let url = format!("http://{}/v1/completions", site.address("entry1"));
    let client = site.client.clone();
    let body = json!({ "model": "practice", "prompt": "x", "stream": true, "max_tokens": 900 });
    let caller = tokio::spawn(async move {
        // It is cut off, as asked.
        let _ = client.send(Method::POST, &url, &[], body.to_string()).await;
    });
    sleep(Duration::from_millis(700)).await;
    site.terminate("entry1");
    sleep(Duration::from_millis(300)).await;
    let began = Instant::now();
    site.terminate("entry1");
    site.ended("entry1").await;
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "{:?}",
        began.elapsed()
    );
    caller.await.unwrap();
}

/// Sends a charge under a key through an entry host, over and over, until it is answered.
async fn charge(site: &Site, entry: &str, key: &str) -> (u16, Value) {
    let headers = [
        ("idempotency-key", key),
        ("x-tanagershift-deadline-ms", "4000"),
    ];
    let path = "/services/booking/charges";
    let reply = site
        .send(entry, Method::POST, path, &headers, "{\"lesson\":1}")
        .await;
    reply.map_or((0, Value::Null), |reply| (reply.status, reply.json()))
}

async fn runs_of(site: &Site, key: &str) -> u64 {
    site.counts("service1").await["by_key"][key]
        .as_u64()
        .unwrap_or(0)
}

#[tokio::test]
async fn one_key_through_two_entry_hosts_at_once_runs_once() {
    let site = Site::start(Plan::default()).await;
    for number in 0..20 {
        let key = format!("lesson-{number}");
        let (first, second) =
            tokio::join!(charge(&site, "entry1", &key), charge(&site, "entry2", &key));
        assert_eq!((first.0, second.0), (200, 200), "{first:?} {second:?}");
        assert_eq!(first.1, second.1, "both get the one answer");
        assert_eq!(runs_of(&site, &key).await, 1);
    }
}

#[tokio::test]
async fn a_charge_runs_at_most_once_while_the_leader_is_killed() {
    let mut site = Site::start(Plan::default()).await;
    for number in 0..3 {
        let leader = site.leader().expect("a leader is known");
        let keys: Vec<String> = (0..10)
            .map(|one| format!("lesson-{number}-{one}"))
            .collect();
        let sends = keys.iter().map(|key| {
            let (client, entry) = (site.client.clone(), site.address("entry1").to_owned());
            let key = key.clone();
            tokio::spawn(async move {
                let url = format!("http://{entry}/services/booking/charges");
                let headers = [("idempotency-key", key.as_str())];
                // What it is told is looked at below, when it is sent again.
                let _ = client
                    .send(Method::POST, &url, &headers, "{\"lesson\":1}")
                    .await;
            })
        });
        let sends: Vec<_> = sends.collect();
        sleep(Duration::from_millis(number * 4)).await;
        site.kill(&leader);
        for send in sends {
            send.await.unwrap();
        }
        site.launch(&leader);
        for key in &keys {
            let mut last = (0, Value::Null);
            for _ in 0..10 {
                last = charge(&site, "entry2", key).await;
                if last.0 == 200 {
                    break;
                }
                sleep(Duration::from_millis(300)).await;
            }
            let runs = runs_of(&site, key).await;
            assert_eq!((last.0, runs), (200, 1), "{key}: {}", last.1);
        }
    }
}

#[tokio::test]
async fn a_charge_runs_at_most_once_when_its_entry_host_is_killed() {
    let mut site = Site::start(Plan::default()).await;
    let mut answered = 0;
    for number in 0..6 {
        let key = format!("lesson-{number}");
        let (client, entry) = (site.client.clone(), site.address("entry1").to_owned());
        let sent = key.clone();
        let send = tokio::spawn(async move {
            let url = format!("http://{entry}/services/booking/charges");
            let headers = [
                ("idempotency-key", sent.as_str()),
                ("x-tanagershift-deadline-ms", "1000"),
            ];
            let _ = client
                .send(Method::POST, &url, &headers, "{\"lesson\":1}")
                .await;
        });
        // Before the claim, after it, after the call was sent, after the answer.
        sleep(Duration::from_millis([1, 3, 5, 7, 10, 14][number])).await;
        site.kill("entry1");
        send.await.unwrap();
        let reply = charge(&site, "entry2", &key).await;
        let runs = runs_of(&site, &key).await;
        assert!(runs <= 1, "{key} ran {runs} times");
        match reply.0 {
            200 => answered += 1,
            status => {
                let verdict = &reply.1["error"]["verdict"];
                assert_eq!(verdict, "may_have_run", "{status}: {}", reply.1);
            }
        }
        site.launch("entry1");
        site.until("entry1 is back", |site| {
            let status = site.report(&["status"]);
            let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
            hosts
                .iter()
                .any(|one| one["host"] == "entry1" && one["live"] == true)
        })
        .await;
        sleep(Duration::from_millis(300)).await;
    }
    assert!(answered > 0, "a kill before the claim leaves the key free");
}

#[tokio::test]
async fn answers_of_charges_survive_a_restart_of_every_process() {
    let mut site = Site::start(Plan::default()).await;
    let before = charge(&site, "entry1", "lesson-1").await;
    assert_eq!(before.0, 200);
    let hosts = ["voter1", "voter2", "voter3", "entry1", "entry2"];
    for host in hosts {
        site.kill(host);
    }
    for host in hosts {
        site.launch(host);
    }
    site.until_held().await;
    let mut after = (0, Value::Null);
    for _ in 0..20 {
        after = charge(&site, "entry2", "lesson-1").await;
        if after.0 == 200 {
            break;
        }
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(after, before);
    assert_eq!(runs_of(&site, "lesson-1").await, 1);
}
