//! What the tests of several modules share.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Names one test for each case of a table: `name: arguments;` calls `check(arguments)`.
macro_rules! cases {
    ($check:ident { $($name:ident: ($($argument:expr),* $(,)?);)* }) => {
        $(
            #[test]
            fn $name() {
                $check($($argument),*);
            }
        )*
    };
}
pub(crate) use cases;

/// Seeds of one run: the same every time. `TANAGERSHIFT_SEEDS` asks for more of them.
pub fn seeds(default: u32) -> u32 {
    let asked = std::env::var("TANAGERSHIFT_SEEDS");
    asked
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Runs a property over seeds drawn from a fixed start; a failure prints its seed.
///
/// `TANAGERSHIFT_SEED` runs a single one.
pub fn for_seeds(count: u32, property: impl Fn(u64)) {
    if let Ok(seed) = std::env::var("TANAGERSHIFT_SEED") {
        property(seed.parse().expect("a seed is a number"));
        return;
    }
    let config = Config {
        cases: seeds(count),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let outcome = runner.run(&proptest::num::u64::ANY, |seed| {
        property(seed);
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
