//! Files of one member: identity, log and snapshot.
//!
//! A log file is a sequence of records. Each record has a header of four little-endian words
//! (magic, length, checksum of the payload, checksum of the header) and a payload. One record is
//! written and synced at a time, so only the last can be incomplete after a crash; it is cut off.
//! After each sync a seal is added without a sync of its own. Records and seals name the offset up
//! to which the file was synced when they were written. That tells damage of a synced record, which
//! is refused, from unsynced writes of which a power loss may keep any subset.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Read, Write},
    path::{Path, PathBuf},
};

use bytes::Bytes;
use prost::Message;
use snafu::{ResultExt, Snafu};

use super::{
    log::Log,
    message::{Ballot, Entry, Snapshot},
};
use crate::{emit, id};

/// First word of each record.
const MAGIC: u32 = 0x7461_6e31;
/// Bytes of a record's header.
const HEADER_LEN: usize = 16;
/// Name of the log file.
const LOG: &str = "log";
/// Name of the snapshot file.
const SNAPSHOT: &str = "snapshot";
/// Name of the identity file.
const IDENTITY: &str = "identity";
/// Name of the file whose lock keeps a second process out.
const LOCK: &str = "lock";

/// Why the state cannot be read or kept.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// The system refused.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// File or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A record that was synced is damaged.
    #[snafu(display(
        "{}: damaged at byte {offset}: {reason}; this member must not vote again, \
         move the folder away and join as a new member",
        path.display()
    ))]
    Damaged {
        /// File.
        path: PathBuf,
        /// Offset of the record.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// Another process uses the folder.
    #[snafu(display("{}: in use by another process", path.display()))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
}

/// Who the owner of a data folder is.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Identity {
    /// Identity, minted with the folder.
    #[prost(uint64, tag = "1")]
    pub member: u64,
    /// Group that the folder belongs to; zero before it joins one.
    #[prost(uint64, tag = "2")]
    pub group: u64,
}

/// Payload of a record in the log file.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Record {
    #[prost(message, optional, tag = "1")]
    ballot: Option<Ballot>,
    #[prost(message, repeated, tag = "2")]
    entries: Vec<Entry>,
    /// Base of the log, in the first record of a file.
    #[prost(message, optional, tag = "3")]
    base: Option<Base>,
    /// Marks that everything before this record was synced.
    #[prost(bool, tag = "4")]
    seal: bool,
    /// Offset up to which the file was synced when this record was written, plus one; zero in
    /// files of earlier versions, which say no more than that the record follows synced ones.
    #[prost(uint64, tag = "5")]
    synced: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
struct Base {
    #[prost(uint64, tag = "1")]
    index: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
}

/// The open files of one member.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    log: File,
    length: u64,
    /// Bytes of the log file that are known to be synced.
    synced: u64,
    _lock: File,
}

/// What the files held.
#[derive(Debug)]
pub struct Recovered {
    /// Ballot.
    pub ballot: Ballot,
    /// Log and snapshot.
    pub log: Log,
}

impl Disk {
    /// Reads or mints the identity of a folder, and locks the folder.
    ///
    /// # Errors
    ///
    /// The folder cannot be used, is in use, or its identity is damaged.
    pub fn identify(
        folder: &Path,
        mint: impl FnOnce() -> id::Member,
    ) -> Result<(File, Identity), Error> {
        fs::create_dir_all(folder).context(IoSnafu { path: folder })?;
        let path = folder.join(LOCK);
        let lock = File::create(&path).context(IoSnafu { path: &path })?;
        if lock.try_lock().is_err() {
            return LockedSnafu { path: folder }.fail();
        }
        let path = folder.join(IDENTITY);
        if let Some(identity) = read_whole(&path)? {
            return Ok((lock, identity));
        }
        if folder.join(LOG).exists() {
            return DamagedSnafu {
                path,
                offset: 0u64,
                reason: "the identity is missing",
            }
            .fail();
        }
        let identity = Identity {
            member: mint(),
            group: 0,
        };
        write_whole(&path, &identity)?;
        Ok((lock, identity))
    }

    /// Assigns an identified folder to a group, with the group's first snapshot.
    ///
    /// # Errors
    ///
    /// The files cannot be written and synced.
    pub fn format(folder: &Path, identity: Identity, snapshot: &Snapshot) -> Result<(), Error> {
        write_whole(&folder.join(SNAPSHOT), snapshot)?;
        let base = Base {
            index: snapshot.index,
            term: snapshot.term,
        };
        let record = Record {
            base: Some(base),
            ..Record::default()
        };
        write_file(&folder.join(LOG), &frame(&record))?;
        write_whole(&folder.join(IDENTITY), &identity)
    }

    /// Opens the files of a folder that belongs to a group.
    ///
    /// # Errors
    ///
    /// A file is missing, unreadable, or damaged where it was synced.
    pub fn open(folder: &Path, lock: File) -> Result<(Self, Recovered), Error> {
        let path = folder.join(SNAPSHOT);
        let snapshot: Snapshot = read_whole(&path)?.ok_or(Error::Damaged {
            path,
            offset: 0,
            reason: "the snapshot is missing",
        })?;
        let path = folder.join(LOG);
        let mut bytes = Vec::new();
        File::open(&path)
            .and_then(|mut file| file.read_to_end(&mut bytes))
            .context(IoSnafu { path: &path })?;
        let (records, length) = scan(&path, Bytes::from(bytes))?;
        let log = OpenOptions::new()
            .append(true)
            .open(&path)
            .context(IoSnafu { path: &path })?;
        log.set_len(length)
            .and_then(|()| log.sync_all())
            .context(IoSnafu { path: &path })?;
        let recovered = replay(&path, records, snapshot)?;
        let disk = Self {
            folder: folder.to_owned(),
            log,
            length,
            synced: length,
            _lock: lock,
        };
        Ok((disk, recovered))
    }

    /// Bytes of the log file.
    pub fn log_len(&self) -> u64 {
        self.length
    }

    /// Adds a ballot and entries to the log, synced when it returns.
    ///
    /// # Errors
    ///
    /// After a failure nothing more may be written, since what was kept is unknown.
    pub fn append(&mut self, ballot: Option<Ballot>, entries: Vec<Entry>) -> Result<(), Error> {
        let record = Record {
            ballot,
            entries,
            synced: self.synced + 1,
            ..Record::default()
        };
        let mut bytes = frame(&record);
        let path = self.folder.join(LOG);
        self.log
            .write_all(&bytes)
            .and_then(|()| self.log.sync_data())
            .context(IoSnafu { path: &path })?;
        self.length += bytes.len() as u64;
        self.synced = self.length;
        bytes = frame(&seal(self.synced));
        self.log
            .write_all(&bytes)
            .context(IoSnafu { path: &path })?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Stores a snapshot and writes the log anew without what the snapshot covers.
    ///
    /// # Errors
    ///
    /// After a failure nothing more may be written.
    pub fn compact(&mut self, ballot: Ballot, log: &Log) -> Result<(), Error> {
        write_whole(&self.folder.join(SNAPSHOT), log.snapshot())?;
        let (index, term) = log.base();
        let record = Record {
            ballot: Some(ballot),
            entries: log.entries().cloned().collect(),
            base: Some(Base { index, term }),
            ..Record::default()
        };
        let path = self.folder.join(LOG);
        let bytes = frame(&record);
        write_file(&path, &bytes)?;
        self.log = OpenOptions::new()
            .append(true)
            .open(&path)
            .context(IoSnafu { path: &path })?;
        self.length = bytes.len() as u64;
        self.synced = self.length;
        Ok(())
    }
}

/// Removes every file of a data folder, so that its owner joins under a new identity.
///
/// # Errors
///
/// The folder cannot be read, or a file cannot be removed.
pub fn erase(folder: &Path) -> Result<(), Error> {
    let remove = || {
        for entry in fs::read_dir(folder)? {
            fs::remove_file(entry?.path())?;
        }
        File::open(folder)?.sync_all()
    };
    remove().context(IoSnafu { path: folder })
}

fn seal(synced: u64) -> Record {
    Record {
        seal: true,
        synced: synced + 1,
        ..Record::default()
    }
}

fn frame(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut bytes = Vec::with_capacity(HEADER_LEN + length);
    bytes.resize(HEADER_LEN, 0);
    message.encode_raw(&mut bytes);
    let sum = crc32c::crc32c(&bytes[HEADER_LEN..]);
    for (at, word) in [MAGIC, length as u32, sum].into_iter().enumerate() {
        bytes[at * 4..][..4].copy_from_slice(&word.to_le_bytes());
    }
    let check = crc32c::crc32c(&bytes[..HEADER_LEN - 4]);
    bytes[HEADER_LEN - 4..HEADER_LEN].copy_from_slice(&check.to_le_bytes());
    bytes
}

/// What stands at an offset of a file of records.
enum Found {
    Record(Bytes),
    /// The payload is damaged or goes on past the end of the file.
    Payload,
    Header,
}

fn read_frame(bytes: &Bytes, offset: usize) -> Found {
    let word = |at: usize| {
        let start = offset + at * 4;
        let word = bytes.get(start..start + 4)?;
        Some(u32::from_le_bytes(word.try_into().ok()?))
    };
    let (Some(magic), Some(length), Some(payload_sum), Some(header_sum)) =
        (word(0), word(1), word(2), word(3))
    else {
        return Found::Header;
    };
    let header = &bytes[offset..offset + HEADER_LEN - 4];
    if magic != MAGIC || header_sum != crc32c::crc32c(header) {
        return Found::Header;
    }
    let start = offset + HEADER_LEN;
    let end = start + length as usize;
    if end > bytes.len() || crc32c::crc32c(&bytes[start..end]) != payload_sum {
        return Found::Payload;
    }
    Found::Record(bytes.slice(start..end))
}

/// Reads every whole record; returns them and the length of the file that they fill.
fn scan(path: &Path, bytes: Bytes) -> Result<(Vec<Record>, u64), Error> {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let damaged = |reason| Error::Damaged {
            path: path.to_owned(),
            offset: offset as u64,
            reason,
        };
        let Found::Record(payload) = read_frame(&bytes, offset) else {
            if was_synced(&bytes, offset) {
                return Err(damaged("it was synced, as a later record says"));
            }
            let cut = bytes.len() - offset;
            emit!(TAIL_CUT, "{}: cut {cut} bytes at the end", path.display());
            break;
        };
        let length = payload.len();
        let record = Record::decode(payload).map_err(|_| damaged("it does not decode"))?;
        records.push(record);
        offset += HEADER_LEN + length;
    }
    Ok((records, offset as u64))
}

/// Whether a record after an offset says that the byte at the offset was synced.
fn was_synced(bytes: &Bytes, offset: usize) -> bool {
    let magic = MAGIC.to_le_bytes();
    let from = offset + 1;
    let starts = bytes[from..]
        .windows(magic.len())
        .enumerate()
        .filter(|(_, window)| **window == magic);
    let says_synced = |at: usize| {
        let Found::Record(payload) = read_frame(bytes, at) else {
            return false;
        };
        let record = Record::decode(payload);
        record.is_ok_and(|record| record.synced == 0 || record.synced > offset as u64 + 1)
    };
    starts.map(|(at, _)| from + at).any(says_synced)
}

fn replay(path: &Path, records: Vec<Record>, snapshot: Snapshot) -> Result<Recovered, Error> {
    let damaged = |reason| Error::Damaged {
        path: path.to_owned(),
        offset: 0,
        reason,
    };
    let mut records = records.into_iter();
    let first = records
        .next()
        .ok_or(damaged("the first record is missing"))?;
    let base = first.base.ok_or(damaged("the base is missing"))?;
    let mut ballot = first.ballot.unwrap_or_default();
    let mut entries = first.entries;
    for record in records {
        ballot = record.ballot.unwrap_or(ballot);
        for entry in record.entries {
            let keep = entry.index.checked_sub(base.index + 1);
            let keep = keep.ok_or(damaged("an entry lies before the base"))? as usize;
            if keep > entries.len() {
                return Err(damaged("an entry is missing"));
            }
            entries.truncate(keep);
            entries.push(entry);
        }
    }
    if snapshot.index < base.index {
        return Err(damaged("the snapshot is older than the log"));
    }
    let start = Snapshot {
        index: base.index,
        term: base.term,
        ..Snapshot::default()
    };
    let mut log = Log::new(start, (base.index, base.term), entries);
    // A crash between the two files leaves a log that the snapshot may not continue.
    log.install(snapshot);
    Ok(Recovered { ballot, log })
}

fn read_whole<M: Message + Default>(path: &Path) -> Result<Option<M>, Error> {
    let bytes = match fs::read(path) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(source) => {
            return Err(Error::Io {
                path: path.to_owned(),
                source,
            });
        }
    };
    let damaged = |reason| Error::Damaged {
        path: path.to_owned(),
        offset: 0,
        reason,
    };
    let Found::Record(payload) = read_frame(&bytes, 0) else {
        return Err(damaged("its checksum does not match"));
    };
    let message = M::decode(payload).map_err(|_| damaged("it does not decode"))?;
    Ok(Some(message))
}

fn write_whole(path: &Path, message: &impl Message) -> Result<(), Error> {
    write_file(path, &frame(message))
}

/// Replaces a file so that a crash leaves the old or the new one, synced with its folder.
fn write_file(path: &Path, bytes: &[u8]) -> Result<(), Error> {
    let temporary = path.with_extension("new");
    let write = || {
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, path)?;
        let folder = path.parent().unwrap_or(Path::new("."));
        File::open(folder)?.sync_all()
    };
    write().context(IoSnafu { path })
}
