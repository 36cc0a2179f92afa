//! The files of one member: identity, log and snapshot.
//!
//! A log file is a sequence of records. Each record has a header of four little-endian words
//! (magic, length, checksum of the payload, checksum of the header) and a payload. Each appended
//! record is synced and then followed by a seal: a record without content, which is synced only
//! together with the next record. After a crash, only the last seal and the record after it can be
//! incomplete; they are truncated.
//!
//! Every record except the first of a file holds the offset up to which the file was synced when
//! the record was written. This distinguishes damage to a synced record, which is an error, from
//! unsynced writes, of which a power loss may keep any subset.

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

/// First word of each record, which marks the start of a header.
const MAGIC: u32 = 0x7461_6e31;
/// Length of a record's header in bytes.
const HEADER_LEN: usize = 16;
const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
const IDENTITY_FILE: &str = "identity";
/// File that is locked while a process uses the folder.
const LOCK_FILE: &str = "lock";

/// Why a member's files cannot be read or written.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// The operating system reported an error.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// File or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A synced record is damaged, the identity or snapshot is missing, or the log and the snapshot
    /// contradict each other.
    #[snafu(display(
        "{}: damaged at byte {offset}: {reason}; this member must not vote again, \
         move the folder away and join as a new member",
        path.display()
    ))]
    Damaged {
        /// The damaged or missing file.
        path: PathBuf,
        /// Offset of the record in the file, in bytes; zero if the error concerns the whole file.
        offset: u64,
        /// What is wrong, as a part of the error message.
        reason: &'static str,
    },
    /// Another process holds the lock of the folder.
    #[snafu(display("{}: in use by another process", path.display()))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
}

/// Identity of a data folder and the group that it belongs to.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Identity {
    /// Identity of the member, generated when the folder is first used.
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
    /// Base of the log; set in the first record of a file only.
    #[prost(message, optional, tag = "3")]
    base: Option<Base>,
    /// Whether this is a seal, written after a sync of everything before it.
    #[prost(bool, tag = "4")]
    seal: bool,
    /// Offset up to which the file was synced when this record was written, plus one.
    ///
    /// Zero in the first record of a file, and in all records of earlier versions of the program,
    /// which wrote a record only after all records before it were synced.
    #[prost(uint64, tag = "5")]
    synced: u64,
}

/// Index and term of the entry before the first entry of a log file.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
struct Base {
    #[prost(uint64, tag = "1")]
    index: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
}

/// Data folder of one member, locked and with its log file open for appending.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    log: File,
    log_len: u64,
    /// Offset up to which the log file is known to be synced.
    synced: u64,
    _lock: File,
}

/// State of a member, read from its files.
#[derive(Debug)]
pub struct Recovered {
    /// Newest ballot in the log file.
    pub ballot: Ballot,
    /// Snapshot, and the entries of the log file.
    pub log: Log,
}

impl Disk {
    /// Creates and locks a folder, and reads its identity.
    ///
    /// A folder that holds neither an identity nor a log is given the identity that `new_id`
    /// returns, without a group. The folder stays locked until the returned file is closed.
    ///
    /// # Errors
    ///
    /// The folder cannot be written, is locked by another process, or its identity is damaged, or
    /// missing beside a log.
    pub fn lock_folder(
        folder: &Path,
        new_id: impl FnOnce() -> id::Member,
    ) -> Result<(File, Identity), Error> {
        fs::create_dir_all(folder).context(IoSnafu { path: folder })?;
        let path = folder.join(LOCK_FILE);
        let lock = File::create(&path).context(IoSnafu { path: &path })?;
        if lock.try_lock().is_err() {
            return LockedSnafu { path: folder }.fail();
        }
        let path = folder.join(IDENTITY_FILE);
        if let Some(identity) = read_record_file(&path)? {
            return Ok((lock, identity));
        }
        if folder.join(LOG_FILE).exists() {
            return DamagedSnafu {
                path,
                offset: 0u64,
                reason: "the identity is missing",
            }
            .fail();
        }
        let identity = Identity {
            member: new_id(),
            group: 0,
        };
        write_record_file(&path, &identity)?;
        Ok((lock, identity))
    }

    /// Writes the files of a member that joins a group, with the snapshot that it starts from.
    ///
    /// The identity is written last, so a folder whose identity names a group has all its files.
    ///
    /// # Errors
    ///
    /// The files cannot be written and synced.
    pub fn format(folder: &Path, identity: Identity, snapshot: &Snapshot) -> Result<(), Error> {
        write_record_file(&folder.join(SNAPSHOT_FILE), snapshot)?;
        let base = Base {
            index: snapshot.index,
            term: snapshot.term,
        };
        let record = Record {
            base: Some(base),
            ..Record::default()
        };
        replace_file(&folder.join(LOG_FILE), &encode_record(&record))?;
        write_record_file(&folder.join(IDENTITY_FILE), &identity)
    }

    /// Opens the files of a folder that belongs to a group, and truncates incomplete writes.
    ///
    /// # Errors
    ///
    /// A file is missing or unreadable, or a synced record is damaged.
    pub fn open(folder: &Path, lock: File) -> Result<(Self, Recovered), Error> {
        let path = folder.join(SNAPSHOT_FILE);
        let snapshot: Snapshot = read_record_file(&path)?.ok_or(Error::Damaged {
            path,
            offset: 0,
            reason: "the snapshot is missing",
        })?;
        let path = folder.join(LOG_FILE);
        let mut bytes = Vec::new();
        File::open(&path)
            .and_then(|mut file| file.read_to_end(&mut bytes))
            .context(IoSnafu { path: &path })?;
        let (records, length) = read_records(&path, Bytes::from(bytes))?;
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
            log_len: length,
            synced: length,
            _lock: lock,
        };
        Ok((disk, recovered))
    }

    /// Length of the log file in bytes.
    pub fn log_len(&self) -> u64 {
        self.log_len
    }

    /// Appends a ballot and entries to the log file, and syncs it.
    ///
    /// # Errors
    ///
    /// The file cannot be written or synced. Nothing more may be written afterwards, since it is
    /// unknown how much was stored.
    pub fn append(&mut self, ballot: Option<Ballot>, entries: Vec<Entry>) -> Result<(), Error> {
        let record = Record {
            ballot,
            entries,
            synced: self.synced + 1,
            ..Record::default()
        };
        let mut bytes = encode_record(&record);
        let path = self.folder.join(LOG_FILE);
        self.log
            .write_all(&bytes)
            .and_then(|()| self.log.sync_data())
            .context(IoSnafu { path: &path })?;
        self.log_len += bytes.len() as u64;
        self.synced = self.log_len;
        bytes = encode_record(&seal_record(self.synced));
        self.log
            .write_all(&bytes)
            .context(IoSnafu { path: &path })?;
        self.log_len += bytes.len() as u64;
        Ok(())
    }

    /// Stores the snapshot of a log, and replaces the log file by the entries that the log keeps.
    ///
    /// # Errors
    ///
    /// A file cannot be written or synced. Nothing more may be written afterwards.
    pub fn compact(&mut self, ballot: Ballot, log: &Log) -> Result<(), Error> {
        write_record_file(&self.folder.join(SNAPSHOT_FILE), log.snapshot())?;
        let (index, term) = log.base();
        let record = Record {
            ballot: Some(ballot),
            entries: log.entries().cloned().collect(),
            base: Some(Base { index, term }),
            ..Record::default()
        };
        let path = self.folder.join(LOG_FILE);
        let bytes = encode_record(&record);
        replace_file(&path, &bytes)?;
        self.log = OpenOptions::new()
            .append(true)
            .open(&path)
            .context(IoSnafu { path: &path })?;
        self.log_len = bytes.len() as u64;
        self.synced = self.log_len;
        Ok(())
    }
}

/// Removes all files of a data folder, so that its voter joins again under a new identity.
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

fn seal_record(synced: u64) -> Record {
    Record {
        seal: true,
        synced: synced + 1,
        ..Record::default()
    }
}

/// Encodes a message as a record: header and payload.
fn encode_record(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut bytes = Vec::with_capacity(HEADER_LEN + length);
    bytes.resize(HEADER_LEN, 0);
    message.encode_raw(&mut bytes);
    let payload_sum = crc32c::crc32c(&bytes[HEADER_LEN..]);
    for (index, word) in [MAGIC, length as u32, payload_sum].into_iter().enumerate() {
        bytes[index * 4..][..4].copy_from_slice(&word.to_le_bytes());
    }
    let header_sum = crc32c::crc32c(&bytes[..HEADER_LEN - 4]);
    bytes[HEADER_LEN - 4..HEADER_LEN].copy_from_slice(&header_sum.to_le_bytes());
    bytes
}

/// Result of reading a record at an offset.
enum ReadRecord {
    /// The payload, whose checksum matches.
    Valid(Bytes),
    /// The payload is damaged or extends past the end of the file.
    InvalidPayload,
    /// The header is damaged or extends past the end of the file.
    InvalidHeader,
}

fn read_record(bytes: &Bytes, offset: usize) -> ReadRecord {
    let word = |index: usize| {
        let start = offset + index * 4;
        let word = bytes.get(start..start + 4)?;
        Some(u32::from_le_bytes(word.try_into().ok()?))
    };
    let (Some(magic), Some(length), Some(payload_sum), Some(header_sum)) =
        (word(0), word(1), word(2), word(3))
    else {
        return ReadRecord::InvalidHeader;
    };
    let header = &bytes[offset..offset + HEADER_LEN - 4];
    if magic != MAGIC || header_sum != crc32c::crc32c(header) {
        return ReadRecord::InvalidHeader;
    }
    let start = offset + HEADER_LEN;
    let end = start + length as usize;
    if end > bytes.len() || crc32c::crc32c(&bytes[start..end]) != payload_sum {
        return ReadRecord::InvalidPayload;
    }
    ReadRecord::Valid(bytes.slice(start..end))
}

/// Reads all complete records; returns them and the offset of the end of the last one.
fn read_records(path: &Path, bytes: Bytes) -> Result<(Vec<Record>, u64), Error> {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let damaged = |reason| Error::Damaged {
            path: path.to_owned(),
            offset: offset as u64,
            reason,
        };
        let ReadRecord::Valid(payload) = read_record(&bytes, offset) else {
            if was_synced(&bytes, offset) {
                return Err(damaged("the record was synced, as a later record shows"));
            }
            let truncated = bytes.len() - offset;
            emit!(
                TAIL_CUT,
                "{}: truncated {truncated} bytes of an incomplete write at the end",
                path.display()
            );
            break;
        };
        let length = payload.len();
        let record =
            Record::decode(payload).map_err(|_| damaged("the record cannot be decoded"))?;
        records.push(record);
        offset += HEADER_LEN + length;
    }
    Ok((records, offset as u64))
}

/// Whether a record after an offset shows that the byte at the offset was synced.
fn was_synced(bytes: &Bytes, offset: usize) -> bool {
    let magic = MAGIC.to_le_bytes();
    let from = offset + 1;
    let starts = bytes[from..]
        .windows(magic.len())
        .enumerate()
        .filter(|(_, window)| **window == magic);
    let shows_synced = |at: usize| {
        let ReadRecord::Valid(payload) = read_record(bytes, at) else {
            return false;
        };
        let record = Record::decode(payload);
        // A record of an earlier version of the program holds zero and follows only synced records.
        record.is_ok_and(|record| record.synced == 0 || record.synced > offset as u64 + 1)
    };
    starts.map(|(at, _)| from + at).any(shows_synced)
}

/// Restores the ballot and the log from the log file's records and the snapshot.
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
            let keep = keep.ok_or(damaged("an entry precedes the base"))? as usize;
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
    let base_snapshot = Snapshot {
        index: base.index,
        term: base.term,
        ..Snapshot::default()
    };
    let mut log = Log::new(base_snapshot, (base.index, base.term), entries);
    // After a crash between writing the snapshot and the log, the old log may conflict with the
    // new snapshot; `install` then drops all its entries.
    log.install(snapshot);
    Ok(Recovered { ballot, log })
}

/// Reads a file that consists of one record; `None` if there is no such file.
fn read_record_file<M: Message + Default>(path: &Path) -> Result<Option<M>, Error> {
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
    let ReadRecord::Valid(payload) = read_record(&bytes, 0) else {
        return Err(damaged("the checksum of the record does not match"));
    };
    let message = M::decode(payload).map_err(|_| damaged("the record cannot be decoded"))?;
    Ok(Some(message))
}

fn write_record_file(path: &Path, message: &impl Message) -> Result<(), Error> {
    replace_file(path, &encode_record(message))
}

/// Replaces a file atomically: after a crash, either the old or the new content is there.
///
/// The file and its folder are synced when it returns.
fn replace_file(path: &Path, bytes: &[u8]) -> Result<(), Error> {
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
