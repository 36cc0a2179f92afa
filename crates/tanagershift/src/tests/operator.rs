//! Operators' files: bad ones are named with file and line, and good ones are read as meant.

use std::{fs, path::Path};

use crate::{
    catalog::Kind,
    operator::{parse, read},
    testing::cases,
};

fn check_refused(text: &str, expected: &str) {
    assert_eq!(parse("f.ini", text).unwrap_err().to_string(), expected);
}

cases! {
    check_refused {
        nothing: ("", "f.ini:1: file: must hold exactly one of [adapter], [version] and [intent]");
        two_things: ("[adapter]\n[version]\n",
            "f.ini:2: file: must hold exactly one of [adapter], [version] and [intent]");
        unknown_thing: ("[model]\n",
            "f.ini:1: [model] section: must be one of [adapter], [version] and [intent]");
        unknown_key: ("[adapter]\nname = a\nbase = b\naudience = c\nrank = 8\n",
            "f.ini:5: [adapter] rank: unknown key");
        missing_key: ("[adapter]\nname = a\nbase = b\n", "f.ini:1: [adapter] audience: is missing");
        path_as_name: ("[adapter]\nname = ../a\nbase = b\naudience = c\n",
            "f.ini:2: [adapter] name: it could be taken for a path");
        slash_in_name: ("[adapter]\nname = a/b\nbase = b\naudience = c\n",
            "f.ini:2: [adapter] name: only letters, digits, `-`, `_` and `.` are allowed");
        number_zero: ("[version]\nadapter = a\nnumber = 0\nweights = w\n",
            "f.ini:3: [version] number: `0` is not a whole number above zero");
        number_no_number: ("[version]\nadapter = a\nnumber = one\nweights = w\n",
            "f.ini:3: [version] number: `one` is not a whole number above zero");
        weights_out_of_the_store: ("[version]\nadapter = a\nnumber = 1\nweights = w/../../x\n",
            "f.ini:4: [version] weights: must be a relative path without empty parts, `.` or `..`");
        absolute_weights: ("[version]\nadapter = a\nnumber = 1\nweights = /etc/passwd\n",
            "f.ini:4: [version] weights: must be a relative path without empty parts, `.` or `..`");
        intent_without_target: ("[intent]\nname = i\n",
            "f.ini:1: [intent] target: give either target = ADAPTER@VERSION or service = NAME");
        intent_with_both: ("[intent]\nname = i\ntarget = a@1\nservice = s\n",
            "f.ini:1: [intent] target: give either target = ADAPTER@VERSION or service = NAME");
        target_without_version: ("[intent]\nname = i\ntarget = a\n",
            "f.ini:3: [intent] target: `a` is not ADAPTER@VERSION");
        timeout_without_unit: ("[intent]\nname = i\ntarget = a@1\ntimeout = 30\n",
            "f.ini:4: [intent] timeout: `30` needs a unit: ms, s, m or h");
        priority_too_high: ("[intent]\nname = i\ntarget = a@1\npriority = 900\n",
            "f.ini:4: [intent] priority: `900` is not a number from -100 to 100");
    }
}

fn check_folder(files: &[(&str, &[u8])], expected: &str) {
    let folder = tempfile::tempdir().unwrap();
    for (name, bytes) in files {
        let path = folder.path().join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, bytes).unwrap();
    }
    let error = read(folder.path()).unwrap_err().to_string();
    let root = folder.path().display().to_string();
    assert_eq!(error.replace(&root, "DIR"), expected);
}

const ADAPTER: &[u8] = b"[adapter]\nname = a\nbase = b\naudience = c\n";

cases! {
    check_folder {
        empty_folder: (&[], "DIR: holds no file that ends in .ini");
        other_files_only: (&[("notes.txt", b"x")], "DIR: holds no file that ends in .ini");
        not_utf8: (&[("a.ini", b"[adapter]\nname = \xff\n")], "DIR/a.ini:2: not UTF-8 text");
        ten_megabytes: (&[("a.ini", &[b'#'; 10 << 20])], "DIR/a.ini: larger than 65536 bytes");
        one_bad_among_good: (&[("a.ini", ADAPTER), ("sub/b.ini", b"[adapter]\n")],
            "sub/b.ini:1: [adapter] name: is missing");
    }
}

#[test]
fn a_missing_folder_is_named() {
    let error = read(Path::new("/nonexistent")).unwrap_err();
    assert!(error.to_string().starts_with("/nonexistent: "), "{error}");
}

#[test]
fn files_in_folders_are_read_in_order() {
    let folder = tempfile::tempdir().unwrap();
    fs::create_dir(folder.path().join("a")).unwrap();
    fs::write(folder.path().join("a/x.ini"), ADAPTER).unwrap();
    let intent = "[intent]\nname = i\ntarget = a@3\ntimeout = 2s\npriority = -5\nremoved = yes\n";
    fs::write(folder.path().join("b.ini"), intent).unwrap();
    let items = read(folder.path()).unwrap();
    assert_eq!(items.len(), 2);
    assert_eq!(
        (items[0].file.as_str(), items[0].removed),
        ("a/x.ini", false)
    );
    let Some(Kind::Intent(intent)) = &items[1].kind else {
        panic!("{:?}", items[1]);
    };
    assert!(items[1].removed);
    assert_eq!((intent.adapter.as_str(), intent.version), ("a", 3));
    assert_eq!((intent.timeout, intent.priority), (2000, -5));
}
