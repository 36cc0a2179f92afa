//! Settings: the samples are good, and what is wrong is named with file, line, section and key.

use std::{path::Path, time::Duration};

use crate::{settings::Settings, testing::cases};

const GOOD: &str = "[host]\nname = h\nzone = a\npeer = 127.0.0.1:1\nadmin = 127.0.0.1:2\n\
                    [group]\nvoters = 127.0.0.1:1\n[platform]\nlist = 127.0.0.1:3\n";

fn check_refused(from: &str, to: &str, expected: &str) {
    assert!(GOOD.contains(from), "the case changes something");
    let text = GOOD.replacen(from, to, 1);
    let error = Settings::parse("x.ini", &text).unwrap_err();
    assert_eq!(error.to_string(), expected);
}

cases! {
    check_refused {
        unknown_key: ("zone = a", "zone = a\nzoon = b", "x.ini:4: [host] zoon: unknown key");
        unknown_section: ("[platform]", "[platfrom]\n[platform]",
            "x.ini:8: [platfrom] section: unknown section");
        section_twice: ("[platform]", "[host]\n[platform]", "x.ini:8: [host] section is given twice");
        key_twice: ("zone = a", "zone = a\nzone = b", "x.ini:4: [host] zone: key is given twice");
        missing_key: ("name = h\n", "", "x.ini:1: [host] name: is missing");
        empty_value: ("name = h", "name =", "x.ini:2: [host] name: must not be empty");
        no_value: ("zone = a", "zone", "x.ini:3: zone: expected KEY = VALUE");
        open_bracket: ("[platform]", "[platform", "x.ini:8: malformed section header");
        path_as_name: ("name = h", "name = ../h",
            "x.ini:2: [host] name: it could be taken for a path");
        address_without_port: ("127.0.0.1:2", "127.0.0.1",
            "x.ini:5: [host] admin: `127.0.0.1` is not an IP number with a port");
        host_name_as_address: ("127.0.0.1:3", "list:3",
            "x.ini:9: [platform] list: `list:3` is not an IP number with a port");
        duration_without_unit: ("[platform]", "[platform]\ninterval = 5",
            "x.ini:9: [platform] interval: `5` needs a unit: ms, s, m or h");
        duration_with_other_unit: ("[platform]", "[platform]\ninterval = 5KiB",
            "x.ini:9: [platform] interval: `5KiB` needs a unit: ms, s, m or h");
        duration_too_large: ("[platform]", "[platform]\ninterval = 99999999999999999999s",
            "x.ini:9: [platform] interval: `99999999999999999999s` is not a number with a unit");
        size_without_unit: ("[platform]", "[entry]\nbody-limit = 9\n[platform]",
            "x.ini:9: [entry] body-limit: `9` needs a unit: B, KiB, MiB or GiB");
        rate_without_unit: ("[platform]", "[store]\nrate = 5\n[platform]",
            "x.ini:9: [store] rate: `5` needs the unit /s");
        rate_of_zero: ("[platform]", "[store]\nrate = 0/s\n[platform]",
            "x.ini:9: [store] rate: `0/s` is not a rate above zero");
        count_of_zero: ("[platform]", "[holder]\nslots = 0\n[platform]",
            "x.ini:9: [holder] slots: `0` is not a whole number above zero");
        neither_yes_nor_no: ("[platform]", "[holder]\nfencing = maybe\n[platform]",
            "x.ini:9: [holder] fencing: `maybe` is neither yes nor no");
        memory_too_small: ("zone = a", "zone = a\nmemory = 1MiB",
            "x.ini:4: [host] memory: must be at least 33554432");
        descriptors_too_few: ("zone = a", "zone = a\ndescriptors = 10",
            "x.ini:4: [host] descriptors: must be at least 64");
        clashing_times: ("[platform]", "[entry]\ntimeout = 2m\n[platform]",
            "x.ini:8: [entry] timeout: must not be above timeout-limit");
        clashing_heartbeat: ("voters = 127.0.0.1:1", "voters = 127.0.0.1:1\nheartbeat = 1s",
            "x.ini:6: [group] election: must be at least four times heartbeat");
        public_peer_without_token: ("peer = 127.0.0.1:1", "peer = 10.0.0.1:1",
            "x.ini:1: [host] token-file: must be given when peer is not a loopback address");
        voter_without_data: ("[platform]", "[voter]\n[platform]",
            "x.ini:8: [voter] data: is missing");
    }
}

#[test]
fn values_with_units_are_read() {
    let text = format!("{GOOD}interval = 2m\n[entry]\nbody-limit = 64KiB\n[store]\nrate = 4.5/s\n");
    let settings = Settings::parse("x.ini", &text).unwrap();
    assert_eq!(settings.platform.interval, Duration::from_secs(120));
    assert_eq!(settings.entry.body_limit, 64 << 10);
    assert!((settings.store.rate - 4.5).abs() < 1e-9);
}

#[test]
fn samples_are_good() {
    for name in ["cumbre", "glasinzamel"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../samples/{name}.ini"));
        let settings = Settings::read(&path).unwrap();
        assert!(settings.voter.is_some(), "{name}");
    }
}

#[test]
fn a_missing_file_is_named() {
    let error = Settings::read(Path::new("/nonexistent/x.ini")).unwrap_err();
    assert!(
        error.to_string().starts_with("/nonexistent/x.ini:0: "),
        "{error}"
    );
}
