//! Operators' files: one short INI file for each adapter, adapter version or routing intent.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use snafu::{ResultExt, Snafu};

use crate::{
    catalog::{AdapterItem, Intent, Item, Kind, VersionItem, check_name},
    ini::{self, Section},
};

/// Largest file in bytes.
const FILE_LIMIT: u64 = 64 << 10;
/// Ending of the files that are read.
const EXTENSION: &str = "ini";
/// Deepest folder below the published one that is read.
const DEPTH_LIMIT: usize = 8;

/// Why a folder cannot be published.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// A file or folder cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Where.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A file is larger than a description may be.
    #[snafu(display("{}: larger than {FILE_LIMIT} bytes", path.display()))]
    Large {
        /// The file.
        path: PathBuf,
    },
    /// A file is not UTF-8.
    #[snafu(display("{}:{line}: not UTF-8 text", path.display()))]
    Text {
        /// The file.
        path: PathBuf,
        /// Line of the first bad byte.
        line: usize,
    },
    /// No file was found.
    #[snafu(display("{}: holds no file that ends in .ini", path.display()))]
    Nothing {
        /// The folder.
        path: PathBuf,
    },
    /// A file does not describe anything.
    #[snafu(display("{source}"), context(false))]
    Invalid {
        /// Where and why.
        source: ini::Error,
    },
}

/// Reads every description below a folder, in order of the path.
///
/// # Errors
///
/// Any file that cannot be used; then nothing is to be published.
pub fn read(folder: &Path) -> Result<Vec<Item>, Error> {
    let mut files = Vec::new();
    collect(folder, 0, &mut files)?;
    files.sort();
    if files.is_empty() {
        return NothingSnafu { path: folder }.fail();
    }
    let mut items = Vec::with_capacity(files.len());
    for path in files {
        let name = path.strip_prefix(folder).unwrap_or(&path);
        let text = read_text(&path)?;
        items.push(parse(&name.to_string_lossy(), &text)?);
    }
    Ok(items)
}

fn collect(folder: &Path, depth: usize, files: &mut Vec<PathBuf>) -> Result<(), Error> {
    let entries = fs::read_dir(folder).context(ReadSnafu { path: folder })?;
    for entry in entries {
        let entry = entry.context(ReadSnafu { path: folder })?;
        let path = entry.path();
        let kind = entry.file_type().context(ReadSnafu { path: &path })?;
        if kind.is_dir() && depth < DEPTH_LIMIT {
            collect(&path, depth + 1, files)?;
        } else if kind.is_file() && path.extension().is_some_and(|ending| ending == EXTENSION) {
            files.push(path);
        }
    }
    Ok(())
}

fn read_text(path: &Path) -> Result<String, Error> {
    let length = fs::metadata(path).context(ReadSnafu { path })?.len();
    if length > FILE_LIMIT {
        return LargeSnafu { path }.fail();
    }
    let bytes = fs::read(path).context(ReadSnafu { path })?;
    String::from_utf8(bytes).map_err(|error| {
        let good = error.utf8_error().valid_up_to();
        let before = &error.as_bytes()[..good];
        let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
        Error::Text {
            path: path.to_owned(),
            line,
        }
    })
}

/// Parses one description.
///
/// # Errors
///
/// File, line and key of what is wrong.
pub fn parse(file: &str, text: &str) -> Result<Item, ini::Error> {
    let mut sections = ini::parse(file, text)?;
    if sections.len() != 1 {
        let line = sections.get(1).map_or(1, |section| section.line);
        return Err(Section::new(file, "", line).error(
            "file",
            None,
            "must hold exactly one of [adapter], [version] and [intent]",
        ));
    }
    let mut section = sections.remove(0);
    let mut removed = false;
    section.read("removed", &mut removed, ini::flag)?;
    let kind = match section.name.as_str() {
        "adapter" => Kind::Adapter(adapter(&mut section)?),
        "version" => Kind::Version(version(&mut section)?),
        "intent" => Kind::Intent(intent(&mut section)?),
        _ => {
            return Err(section.error(
                "section",
                None,
                "must be one of [adapter], [version] and [intent]",
            ));
        }
    };
    section.finish()?;
    Ok(Item {
        removed,
        kind: Some(kind),
        file: file.to_owned(),
    })
}

fn adapter(section: &mut Section) -> Result<AdapterItem, ini::Error> {
    Ok(AdapterItem {
        name: name(section, "name")?,
        base: name(section, "base")?,
        audience: name(section, "audience")?,
    })
}

fn version(section: &mut Section) -> Result<VersionItem, ini::Error> {
    let adapter = name(section, "adapter")?;
    let (text, line) = section.require("number")?;
    let number = number(&text).map_err(|reason| section.error("number", Some(line), reason))?;
    let (weights, line) = section.require("weights")?;
    let unsafe_path = |part: &str| part.is_empty() || part == "." || part == "..";
    if weights.split('/').any(unsafe_path) {
        let reason = "must be a relative path without empty parts, `.` or `..`";
        return Err(section.error("weights", Some(line), reason));
    }
    Ok(VersionItem {
        adapter,
        number,
        weights,
    })
}

fn intent(section: &mut Section) -> Result<Intent, ini::Error> {
    let mut intent = Intent {
        name: name(section, "name")?,
        ..Intent::default()
    };
    let target = section.take("target");
    let service = section.take("service");
    match (target, service) {
        (Some((target, line)), None) => {
            let (adapter, version) = split_target(&target)
                .map_err(|reason| section.error("target", Some(line), reason))?;
            intent.adapter = adapter.to_owned();
            intent.version = version;
        }
        (None, Some((service, line))) => {
            check_name(&service).map_err(|why| section.error("service", Some(line), why))?;
            intent.service = service;
        }
        _ => {
            let reason = "give either target = ADAPTER@VERSION or service = NAME";
            return Err(section.error("target", None, reason));
        }
    }
    let millis = |text: &str| ini::duration(text).map(|time| time.as_millis() as u64);
    section.read("timeout", &mut intent.timeout, millis)?;
    let priority = |text: &str| match text.parse::<i32>() {
        Ok(number) if (-100..=100).contains(&number) => Ok(number),
        _ => Err(format!("`{text}` is not a number from -100 to 100")),
    };
    section.read("priority", &mut intent.priority, priority)?;
    Ok(intent)
}

fn name(section: &mut Section, key: &str) -> Result<String, ini::Error> {
    let (text, line) = section.require(key)?;
    check_name(&text).map_err(|reason| section.error(key, Some(line), reason))?;
    Ok(text)
}

fn number(text: &str) -> Result<u64, String> {
    match text.parse() {
        Ok(number) if number > 0 => Ok(number),
        _ => Err(format!("`{text}` is not a whole number above zero")),
    }
}

/// Splits `ADAPTER@VERSION`.
///
/// # Errors
///
/// What is wrong with the text.
pub fn split_target(text: &str) -> Result<(&str, u64), String> {
    let Some((adapter, version)) = text.split_once('@') else {
        return Err(format!("`{text}` is not ADAPTER@VERSION"));
    };
    check_name(adapter)?;
    Ok((adapter, number(version)?))
}
