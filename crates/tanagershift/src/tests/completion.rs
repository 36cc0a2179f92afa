//! The few fields of the completion API.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    completion::{request, with_model},
    testing::{cases, for_seeds},
};

fn check_request(body: &str, model: &str, stream: bool, rewritten: &str) {
    let read = request(body.as_bytes()).unwrap();
    assert_eq!((read.model.as_str(), read.stream), (model, stream));
    assert_eq!(with_model(body.as_bytes(), &read.span, "n\"@1"), rewritten);
}

cases! {
    check_request {
        plain: (r#"{"model":"m"}"#, "m", false, r#"{"model":"n\"@1"}"#);
        spaces_and_more: (r#" { "a" : {"model":1} , "model" : "m" , "stream" : true } "#, "m", true,
            r#" { "a" : {"model":1} , "model" : "n\"@1" , "stream" : true } "#);
        escapes: (r#"{"model":"a\u0040\n1"}"#, "a@\n1", false, r#"{"model":"n\"@1"}"#);
        stream_null: (r#"{"stream":null,"model":"m"}"#, "m", false,
            r#"{"stream":null,"model":"n\"@1"}"#);
    }
}

#[test]
fn mangled_bodies_are_an_error_or_a_request_and_no_panic() {
    let good = br#"{"model":"plan@1","messages":[{"role":"user","content":"x"}],"stream":true}"#;
    for_seeds(3000, |seed| {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut body = good.to_vec();
        for _ in 0..random.random_range(1..4) {
            let at = random.random_range(0..body.len());
            body[at] = random.random();
        }
        body.truncate(random.random_range(1..=good.len()));
        if let Ok(read) = request(&body) {
            let changed = with_model(&body, &read.span, "other");
            assert_eq!(request(&changed).unwrap().model, "other");
        }
    });
}

#[test]
fn deep_nesting_is_refused() {
    let body = format!("{{\"x\":{}", "[".repeat(100_000));
    request(body.as_bytes()).unwrap_err();
}
