//! Tests that a member's files survive incomplete writes, damage and crashes between two files.

use std::{fs, path::Path};

use bytes::Bytes;

use super::{
    disk::{Disk, Error, Identity, Recovered},
    log::Log,
    message::{Ballot, Entry, Snapshot},
};
use crate::testing::for_seeds;

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        data: Bytes::from(format!("command {index} of term {term}")),
        members: None,
    }
}

/// Creates the files of member 7 in group 9.
fn formatted(folder: &Path) -> Disk {
    let (lock, identity) = Disk::lock_folder(folder, || 7).unwrap();
    let identity = Identity {
        group: 9,
        ..identity
    };
    Disk::format(folder, identity, &Snapshot::default()).unwrap();
    Disk::open(folder, lock).unwrap().0
}

fn reopen(folder: &Path) -> Result<(Disk, Recovered), Error> {
    let (lock, identity) = Disk::lock_folder(folder, || 8)?;
    assert_eq!(identity.member, 7, "the identity is kept");
    Disk::open(folder, lock)
}

fn write_entries(folder: &Path, count: u64) {
    let mut disk = formatted(folder);
    for index in 1..=count {
        let ballot = Ballot {
            term: 1,
            voted_for: 7,
        };
        disk.append(Some(ballot), vec![entry(index, 1)]).unwrap();
    }
}

#[test]
fn synced_records_are_recovered() {
    let folder = tempfile::tempdir().unwrap();
    let mut disk = formatted(folder.path());
    let ballot = Ballot {
        term: 2,
        voted_for: 7,
    };
    disk.append(Some(ballot), vec![entry(1, 1), entry(2, 1)])
        .unwrap();
    // A later leader replaces the second entry.
    disk.append(None, vec![entry(2, 2), entry(3, 2)]).unwrap();
    drop(disk);
    let (_, recovered) = reopen(folder.path()).unwrap();
    assert_eq!(recovered.ballot, ballot);
    let entries: Vec<Entry> = recovered.log.entries().cloned().collect();
    assert_eq!(entries, [entry(1, 1), entry(2, 2), entry(3, 2)]);
}

#[test]
fn a_second_process_cannot_open_the_folder() {
    let folder = tempfile::tempdir().unwrap();
    let _disk = formatted(folder.path());
    let error = Disk::lock_folder(folder.path(), || 8).unwrap_err();
    assert!(matches!(error, Error::Locked { .. }), "{error}");
}

#[test]
fn a_torn_tail_is_cut_at_every_byte() {
    let folder = tempfile::tempdir().unwrap();
    write_entries(folder.path(), 2);
    let path = folder.path().join("log");
    let two_entries = fs::read(&path).unwrap();
    let mut disk = reopen(folder.path()).unwrap().0;
    disk.append(None, vec![entry(3, 1)]).unwrap();
    drop(disk);
    let three_entries = fs::read(&path).unwrap();
    // The last record is a seal, which is not synced and may be lost too.
    for length in two_entries.len()..three_entries.len() {
        fs::write(&path, &three_entries[..length]).unwrap();
        let (_, recovered) = reopen(folder.path()).unwrap();
        let kept = recovered.log.last_index();
        assert!(
            (2..=3).contains(&kept),
            "{length} bytes keep {kept} entries"
        );
    }
}

/// Guards against a power loss that keeps a later unsynced write but loses an earlier one.
#[test]
fn an_unsynced_record_behind_a_lost_seal_is_cut() {
    let folder = tempfile::tempdir().unwrap();
    let mut disk = formatted(folder.path());
    disk.append(None, vec![entry(1, 1), entry(2, 1)]).unwrap();
    let path = folder.path().join("log");
    let two_entries = fs::read(&path).unwrap();
    let magic = 0x7461_6e31_u32.to_le_bytes();
    let seal = two_entries
        .windows(4)
        .rposition(|window| window == magic)
        .unwrap();
    disk.append(None, vec![entry(3, 1)]).unwrap();
    drop(disk);
    let three_entries = fs::read(&path).unwrap();
    let mut lost = three_entries.clone();
    lost[seal..two_entries.len()].fill(0);
    // According to the last record, only the bytes before the lost seal were synced when it was
    // written. Its own sync did not complete, since that would have synced the seal as well.
    let next_seal = three_entries
        .windows(4)
        .rposition(|window| window == magic)
        .unwrap();
    lost.truncate(next_seal);
    fs::write(&path, &lost).unwrap();
    let (_, recovered) = reopen(folder.path()).unwrap();
    assert_eq!(recovered.log.last_index(), 2);
}

#[test]
fn damage_of_a_synced_record_is_refused_at_every_byte() {
    let folder = tempfile::tempdir().unwrap();
    write_entries(folder.path(), 3);
    let path = folder.path().join("log");
    let good = fs::read(&path).unwrap();
    // Everything except the last seal was synced.
    let magic = 0x7461_6e31_u32.to_le_bytes();
    let seal = good.windows(4).rposition(|window| window == magic).unwrap();
    for at in 0..seal {
        let mut bad = good.clone();
        bad[at] ^= 0x40;
        fs::write(&path, &bad).unwrap();
        let error = reopen(folder.path()).unwrap_err();
        assert!(matches!(error, Error::Damaged { .. }), "byte {at}: {error}");
    }
}

#[test]
fn damage_of_snapshot_or_identity_is_refused() {
    for name in ["snapshot", "identity"] {
        let folder = tempfile::tempdir().unwrap();
        write_entries(folder.path(), 1);
        let path = folder.path().join(name);
        let good = fs::read(&path).unwrap();
        for at in 0..good.len() {
            let mut bad = good.clone();
            bad[at] ^= 0x40;
            fs::write(&path, &bad).unwrap();
            let error = reopen(folder.path()).unwrap_err();
            assert!(
                matches!(error, Error::Damaged { .. }),
                "{name} {at}: {error}"
            );
        }
    }
}

#[test]
fn a_missing_file_is_refused() {
    for name in ["snapshot", "log", "identity"] {
        let folder = tempfile::tempdir().unwrap();
        write_entries(folder.path(), 1);
        fs::remove_file(folder.path().join(name)).unwrap();
        reopen(folder.path()).unwrap_err();
    }
}

/// Writes `index + 2` entries to the disk and returns their log with a snapshot at `index`.
fn compacted_log(disk: &mut Disk, index: u64) -> Log {
    let entries: Vec<Entry> = (1..=index + 2).map(|index| entry(index, 1)).collect();
    disk.append(None, entries.clone()).unwrap();
    let mut log = Log::new(Snapshot::default(), (0, 0), entries);
    log.compact(Snapshot {
        index,
        term: 1,
        data: Bytes::from_static(b"state"),
        ..Snapshot::default()
    });
    log
}

#[test]
fn a_snapshot_shortens_the_log() {
    let folder = tempfile::tempdir().unwrap();
    let mut disk = formatted(folder.path());
    let log = compacted_log(&mut disk, 1000);
    let before = disk.log_len();
    disk.compact(
        Ballot {
            term: 1,
            voted_for: 7,
        },
        &log,
    )
    .unwrap();
    assert!(
        disk.log_len() < before / 2,
        "{} of {before}",
        disk.log_len()
    );
    disk.append(None, vec![entry(1003, 1)]).unwrap();
    drop(disk);
    let (_, recovered) = reopen(folder.path()).unwrap();
    assert_eq!(recovered.log.snapshot().index, 1000);
    assert_eq!(recovered.log.last_index(), 1003);
    assert_eq!(
        recovered.ballot,
        Ballot {
            term: 1,
            voted_for: 7
        }
    );
}

#[test]
fn a_crash_between_snapshot_and_log_loses_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let mut disk = formatted(folder.path());
    let log = compacted_log(&mut disk, 1000);
    let path = folder.path().join("log");
    let old = fs::read(&path).unwrap();
    disk.compact(Ballot::default(), &log).unwrap();
    drop(disk);
    // The new snapshot was written, but the log is still the old one.
    fs::write(&path, old).unwrap();
    let (_, recovered) = reopen(folder.path()).unwrap();
    assert_eq!(recovered.log.snapshot().index, 1000);
    assert_eq!(recovered.log.last_index(), 1002);
}

#[test]
fn an_old_log_that_a_new_snapshot_contradicts_is_dropped() {
    let folder = tempfile::tempdir().unwrap();
    write_entries(folder.path(), 3);
    let leader_snapshot = Snapshot {
        index: 2,
        term: 5,
        ..Snapshot::default()
    };
    let other = tempfile::tempdir().unwrap();
    Disk::lock_folder(other.path(), || 7).unwrap();
    Disk::format(
        other.path(),
        Identity {
            member: 7,
            group: 9,
        },
        &leader_snapshot,
    )
    .unwrap();
    fs::copy(
        other.path().join("snapshot"),
        folder.path().join("snapshot"),
    )
    .unwrap();
    let (_, recovered) = reopen(folder.path()).unwrap();
    assert_eq!(
        (recovered.log.last_index(), recovered.log.last_term()),
        (2, 5)
    );
}

#[test]
fn random_bytes_cause_an_error_and_no_panic() {
    use rand::{RngCore, SeedableRng, rngs::SmallRng};
    for_seeds(300, |seed| {
        let mut random = SmallRng::seed_from_u64(seed);
        let folder = tempfile::tempdir().unwrap();
        write_entries(folder.path(), 1);
        let mut bytes = vec![0; (seed % 300) as usize];
        random.fill_bytes(&mut bytes);
        fs::write(folder.path().join("log"), &bytes).unwrap();
        reopen(folder.path()).unwrap_err();
    });
}
