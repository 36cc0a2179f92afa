//! Snapshots sent in parts to members that lack too much.

use bytes::{Bytes, BytesMut};

use super::{Node, Role};
use crate::{
    id,
    quorum::message::{Body, Install, Installed, Snapshot},
};

/// Bytes of a snapshot in one message.
const PART_LEN: usize = 1 << 20;

impl Node {
    pub(super) fn send_part(&mut self, member: id::Member, offset: usize, round: u64) {
        let snapshot = self.log.snapshot();
        let offset = offset.min(snapshot.data.len());
        let end = snapshot.data.len().min(offset + PART_LEN);
        let install = Install {
            part: Snapshot {
                data: snapshot.data.slice(offset..end),
                ..snapshot.clone()
            },
            offset: offset as u64,
            last: end == snapshot.data.len(),
            round,
        };
        self.send(member, Body::Install(install));
    }

    pub(super) fn take_part(&mut self, from: id::Member, install: Install) {
        let part = install.part;
        let index = part.index;
        let mut answer = Installed {
            index,
            offset: 0,
            complete: index <= self.commit,
            round: install.round,
        };
        if !answer.complete {
            let fresh = !matches!(&self.incoming, Some((known, _))
                if (known.index, known.term) == (index, part.term));
            if fresh {
                let head = Snapshot {
                    data: Bytes::new(),
                    ..part.clone()
                };
                self.incoming = Some((head, BytesMut::new()));
            }
            if let Some((_, data)) = &mut self.incoming {
                let expected = data.len() as u64 == install.offset;
                if expected {
                    data.extend_from_slice(&part.data);
                }
                answer.offset = data.len() as u64;
                answer.complete = expected && install.last;
            }
            if answer.complete {
                self.install();
            }
        }
        self.send(from, Body::Installed(answer));
    }

    pub(super) fn install(&mut self) {
        let Some((mut snapshot, data)) = self.incoming.take() else {
            return;
        };
        snapshot.data = data.freeze();
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.unsynced.retain(|entry| entry.index > snapshot.index);
        self.log.install(snapshot.clone());
        if self.log.last_index() == snapshot.index {
            self.unsynced.clear();
        }
        self.synced = self.synced.clamp(snapshot.index, self.log.last_index());
        (self.members, self.members_index) = self.log.members(u64::MAX);
        self.installed = Some(snapshot);
    }

    pub(super) fn take_installed(&mut self, from: id::Member, installed: Installed) {
        let current = self.log.snapshot().index;
        let Some(progress) = self.note_contact(from, installed.round) else {
            return;
        };
        let Some(offset) = progress.installing else {
            return;
        };
        if installed.complete {
            progress.installing = None;
            progress.matched = progress.matched.max(installed.index);
            progress.next = progress.matched + 1;
            self.advance_commit();
            self.replicate(from, false);
            return;
        }
        let received = usize::try_from(installed.offset).unwrap_or(0);
        if installed.index != current {
            // A newer snapshot replaced the one under way.
            progress.installing = Some(0);
        } else if received != offset {
            progress.installing = Some(received);
        } else {
            return;
        }
        let next = progress.installing.unwrap_or(0);
        if let Role::Leader(leadership) = &self.role {
            let round = leadership.round;
            self.send_part(from, next, round);
        }
    }
}
