//! INI text with the line of each value, and the checked reading of values with units.

use std::{collections::BTreeMap, time::Duration};

use ini_core::{Item, Parser};
use snafu::Snafu;

/// Why a text is not a usable INI file.
#[derive(Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("{file}:{line}: {place}{reason}"))]
pub struct Error {
    /// Name of the file as the caller gave it.
    pub file: String,
    /// Line from one; zero when the whole file is meant.
    pub line: u32,
    /// Section and key, ready to print; empty when no key is meant.
    pub place: String,
    /// What is wrong.
    pub reason: String,
}

/// One value and the line it stands on.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Value {
    text: String,
    line: u32,
}

/// One section; every key must be taken before the section is finished.
#[derive(Debug)]
pub struct Section {
    /// Name between the brackets; empty for keys before the first bracket.
    pub name: String,
    /// Line of the bracket.
    pub line: u32,
    file: String,
    values: BTreeMap<String, Value>,
}

/// Parses a whole file into its sections, in order.
///
/// # Errors
///
/// A malformed section, a key without a value, a key or section given twice.
pub fn parse(file: &str, text: &str) -> Result<Vec<Section>, Error> {
    let fail = |line, place: String, reason: &str| Error {
        file: file.to_owned(),
        line,
        place,
        reason: reason.to_owned(),
    };
    let mut sections = vec![Section::new(file, "", 1)];
    let mut parser = Parser::new(text).comment_char(b'#').auto_trim(true);
    while let Some(item) = parser.next() {
        let line = parser.line().max(1);
        match item {
            Item::Error(_) => return Err(fail(line, String::new(), "malformed section header")),
            Item::Section(name) => {
                if sections.iter().any(|known| known.name == name) {
                    return Err(fail(line, format!("[{name}] "), "section is given twice"));
                }
                sections.push(Section::new(file, name, line));
            }
            Item::Property(key, None) if key.starts_with(';') => {}
            Item::Property(key, None) => {
                return Err(fail(line, format!("{key}: "), "expected KEY = VALUE"));
            }
            Item::Property(key, Some(value)) => {
                let Some(section) = sections.last_mut() else {
                    continue;
                };
                let place = section.place(key);
                let value = Value {
                    text: value.to_owned(),
                    line,
                };
                if section.values.insert(key.to_owned(), value).is_some() {
                    return Err(fail(line, place, "key is given twice"));
                }
            }
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }
    sections.retain(|section| !section.name.is_empty() || !section.values.is_empty());
    Ok(sections)
}

impl Section {
    /// Makes an empty section, as if the file named it without a key.
    pub fn new(file: &str, name: &str, line: u32) -> Self {
        Self {
            name: name.to_owned(),
            line,
            file: file.to_owned(),
            values: BTreeMap::new(),
        }
    }

    fn place(&self, key: &str) -> String {
        if self.name.is_empty() {
            return format!("{key}: ");
        }
        format!("[{}] {key}: ", self.name)
    }

    /// Makes an error about a key of this section; the section's line if the key is absent.
    pub fn error(&self, key: &str, line: Option<u32>, reason: impl Into<String>) -> Error {
        Error {
            file: self.file.clone(),
            line: line.unwrap_or(self.line),
            place: self.place(key),
            reason: reason.into(),
        }
    }

    /// Takes a text value.
    pub fn take(&mut self, key: &str) -> Option<(String, u32)> {
        let value = self.values.remove(key)?;
        Some((value.text, value.line))
    }

    /// Takes a value that must be there and not empty.
    ///
    /// # Errors
    ///
    /// The key is absent or empty.
    pub fn require(&mut self, key: &str) -> Result<(String, u32), Error> {
        match self.take(key) {
            Some((text, line)) if text.is_empty() => {
                Err(self.error(key, Some(line), "must not be empty"))
            }
            Some(found) => Ok(found),
            None => Err(self.error(key, None, "is missing")),
        }
    }

    /// Takes a value through a parser, or leaves the default in place.
    ///
    /// # Errors
    ///
    /// The parser refused the value.
    pub fn read<T>(
        &mut self,
        key: &str,
        target: &mut T,
        parser: impl Fn(&str) -> Result<T, String>,
    ) -> Result<(), Error> {
        let Some((text, line)) = self.take(key) else {
            return Ok(());
        };
        *target = parser(&text).map_err(|reason| self.error(key, Some(line), reason))?;
        Ok(())
    }

    /// Ends the reading of this section.
    ///
    /// # Errors
    ///
    /// A key that nobody took: it is unknown.
    pub fn finish(self) -> Result<(), Error> {
        let Some((key, value)) = self.values.iter().next() else {
            return Ok(());
        };
        Err(self.error(key, Some(value.line), "unknown key"))
    }
}

/// Parses a duration: a whole number and `ms`, `s`, `m` or `h`.
///
/// # Errors
///
/// No number, no unit, or another unit.
pub fn duration(text: &str) -> Result<Duration, String> {
    let (number, unit) = split_unit(text)?;
    let millis = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return Err(format!("`{text}` needs a unit: ms, s, m or h")),
    };
    let total = number.checked_mul(millis).ok_or("is too large")?;
    Ok(Duration::from_millis(total))
}

/// Parses a size in bytes: a whole number and `B`, `KiB`, `MiB` or `GiB`.
///
/// # Errors
///
/// No number, no unit, or another unit.
pub fn size(text: &str) -> Result<usize, String> {
    let (number, unit) = split_unit(text)?;
    let factor: u64 = match unit {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        "GiB" => 1 << 30,
        _ => return Err(format!("`{text}` needs a unit: B, KiB, MiB or GiB")),
    };
    let total = number.checked_mul(factor).ok_or("is too large")?;
    usize::try_from(total).map_err(|_| "is too large".to_owned())
}

/// Parses a rate: a number and `/s`.
///
/// # Errors
///
/// No number, not above zero, or another unit.
pub fn rate(text: &str) -> Result<f64, String> {
    let number = text
        .strip_suffix("/s")
        .ok_or_else(|| format!("`{text}` needs the unit /s"))?;
    match number.trim().parse::<f64>() {
        Ok(rate) if rate > 0.0 && rate.is_finite() => Ok(rate),
        _ => Err(format!("`{text}` is not a rate above zero")),
    }
}

/// Parses a whole number above zero.
///
/// # Errors
///
/// Anything else.
pub fn count(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(number) if number > 0 => Ok(number),
        _ => Err(format!("`{text}` is not a whole number above zero")),
    }
}

/// Parses `yes` or `no`.
///
/// # Errors
///
/// Anything else.
pub fn flag(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(format!("`{text}` is neither yes nor no")),
    }
}

/// Accepts any text that is not empty.
///
/// # Errors
///
/// The text is empty.
pub fn text(text: &str) -> Result<String, String> {
    if text.is_empty() {
        return Err("must not be empty".to_owned());
    }
    Ok(text.to_owned())
}

fn split_unit(text: &str) -> Result<(u64, &str), String> {
    let end = text
        .find(|letter: char| !letter.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let number = number
        .parse()
        .map_err(|_| format!("`{text}` is not a number with a unit"))?;
    Ok((number, unit.trim()))
}
