//! Transfer of snapshots, in chunks, to members whose next entry is no longer in the leader's log.

use bytes::{Bytes, BytesMut};

use super::{Node, Role};
use crate::{
    id,
    quorum::message::{Body, InstallResponse, InstallSnapshot, Snapshot},
};

/// Limit on the snapshot bytes of one message.
const MAX_CHUNK_BYTES: usize = 1 << 20;

impl Node {
    /// Sends the chunk of the newest snapshot that starts at an offset in bytes.
    pub(super) fn send_snapshot_chunk(&mut self, member: id::Member, offset: usize, round: u64) {
        let snapshot = self.log.snapshot();
        let offset = offset.min(snapshot.data.len());
        let end = snapshot.data.len().min(offset + MAX_CHUNK_BYTES);
        let install = InstallSnapshot {
            chunk: Snapshot {
                data: snapshot.data.slice(offset..end),
                ..snapshot.clone()
            },
            offset: offset as u64,
            last: end == snapshot.data.len(),
            round,
        };
        self.send(member, Body::InstallSnapshot(install));
    }

    /// Stores a chunk from the leader, and installs the snapshot with its last chunk.
    ///
    /// A chunk of another snapshot than before discards the chunks received so far. A chunk out of
    /// order is dropped; the answer holds the offset from which the leader continues. A snapshot
    /// that is not newer than the commit index is answered as complete.
    pub(super) fn handle_install(&mut self, from: id::Member, install: InstallSnapshot) {
        let chunk = install.chunk;
        let index = chunk.index;
        let mut answer = InstallResponse {
            index,
            offset: 0,
            complete: index <= self.commit_index,
            round: install.round,
        };
        if !answer.complete {
            let is_new = !matches!(&self.incoming_snapshot, Some((known, _))
                if (known.index, known.term) == (index, chunk.term));
            if is_new {
                let metadata = Snapshot {
                    data: Bytes::new(),
                    ..chunk.clone()
                };
                self.incoming_snapshot = Some((metadata, BytesMut::new()));
            }
            if let Some((_, data)) = &mut self.incoming_snapshot {
                let in_order = data.len() as u64 == install.offset;
                if in_order {
                    data.extend_from_slice(&chunk.data);
                }
                answer.offset = data.len() as u64;
                answer.complete = in_order && install.last;
            }
            if answer.complete {
                self.install_snapshot();
            }
        }
        self.send(from, Body::InstallResponse(answer));
    }

    /// Installs the received snapshot in the log, and updates the membership from the log.
    pub(super) fn install_snapshot(&mut self) {
        let Some((mut snapshot, data)) = self.incoming_snapshot.take() else {
            return;
        };
        snapshot.data = data.freeze();
        self.commit_index = snapshot.index;
        self.applied_index = snapshot.index;
        self.unsynced.retain(|entry| entry.index > snapshot.index);
        self.log.install(snapshot.clone());
        if self.log.last_index() == snapshot.index {
            self.unsynced.clear();
        }
        self.synced_index = self
            .synced_index
            .clamp(snapshot.index, self.log.last_index());
        (self.members, self.members_index) = self.log.members(u64::MAX);
        self.installed_snapshot = Some(snapshot);
    }

    /// Sends the next chunk, or continues with entries once the snapshot is installed.
    pub(super) fn handle_install_response(&mut self, from: id::Member, response: InstallResponse) {
        let current = self.log.snapshot().index;
        let Some(progress) = self.record_member_contact(from, response.round) else {
            return;
        };
        let Some(offset) = progress.snapshot_offset else {
            return;
        };
        if response.complete {
            progress.snapshot_offset = None;
            progress.match_index = progress.match_index.max(response.index);
            progress.next_index = progress.match_index + 1;
            self.advance_commit();
            self.replicate(from, false);
            return;
        }
        let received = usize::try_from(response.offset).unwrap_or(0);
        if response.index != current {
            // A newer snapshot replaced the one that was being sent.
            progress.snapshot_offset = Some(0);
        } else if received != offset {
            progress.snapshot_offset = Some(received);
        } else {
            return;
        }
        let next = progress.snapshot_offset.unwrap_or(0);
        if let Role::Leader(leadership) = &self.role {
            let round = leadership.newest_round;
            self.send_snapshot_chunk(from, next, round);
        }
    }
}
