//! The newest configuration, and patches to it from the last few versions before it.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, PoisonError},
};

use bytes::Bytes;
use prost::Message;

use crate::gateway::{
    compression,
    message::{Document, Notice},
    patch::Patch,
};

/// Number of earlier versions from which a gateway is updated by a patch; a gateway that is further
/// behind is sent the whole text. The text of each of these versions is kept in memory.
const MAX_EARLIER_VERSIONS: usize = 4;

/// The newest configuration with the texts of earlier versions.
#[derive(Debug)]
pub struct ConfigurationHistory {
    document: Document,
    text: Bytes,
    /// Texts by version.
    earlier: BTreeMap<u64, Bytes>,
    /// Encoded notices by the version that they start from, created on first use.
    notices: Mutex<HashMap<u64, Bytes>>,
}

impl ConfigurationHistory {
    /// Creates the history that follows `before`; `None` if the text of the document cannot be
    /// decompressed.
    pub fn new(document: Document, before: Option<&Self>) -> Option<Self> {
        let text = compression::decompress(&document.text).ok()?;
        let mut earlier = BTreeMap::new();
        if let Some(before) = before {
            earlier.clone_from(&before.earlier);
            earlier.insert(before.version(), before.text.clone());
        }
        while earlier.len() > MAX_EARLIER_VERSIONS {
            earlier.pop_first();
        }
        Some(Self {
            document,
            text,
            earlier,
            notices: Mutex::default(),
        })
    }

    /// Version of the newest configuration.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// Encoded notice that updates a gateway from the version `known`, which is zero if the gateway has no
    /// configuration.
    pub fn notice(&self, known: u64) -> Bytes {
        let known = if self.earlier.contains_key(&known) {
            known
        } else {
            0
        };
        let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
        let notice = notices.entry(known).or_insert_with(|| {
            let patch = self.patch_from(known);
            let notice = Notice {
                document: patch.is_none().then(|| self.document.clone()),
                patch,
                ..Notice::default()
            };
            notice.encode_to_vec().into()
        });
        notice.clone()
    }

    /// Patch from an earlier version; `None` if the whole text is sent instead.
    fn patch_from(&self, known: u64) -> Option<Patch> {
        let old = self.earlier.get(&known)?;
        let patch = Patch::make(known, old, self.version(), &self.text)?;
        let smaller = patch.inserted.len() < self.document.text.len();
        smaller.then_some(patch)
    }
}
