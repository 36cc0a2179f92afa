//! The newest configuration and the few before it, as gateways are told them.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, PoisonError},
};

use bytes::Bytes;

use crate::gateway::{
    document,
    message::{Document, Notice},
    patch::Patch,
};

/// Earlier versions from which a gateway is brought up to date by a patch; one that is further behind
/// is sent the whole text. Each keeps a text in memory.
const EARLIER: usize = 4;

/// The newest configuration.
#[derive(Debug)]
pub struct Edition {
    document: Document,
    text: Bytes,
    /// Texts of earlier versions.
    earlier: BTreeMap<u64, Bytes>,
    /// Patches from earlier versions, made when first asked for.
    patches: Mutex<HashMap<u64, Option<Patch>>>,
}

impl Edition {
    /// Makes an edition that follows another; `None` if the text cannot be read.
    pub fn new(document: Document, before: Option<&Self>) -> Option<Self> {
        let text = document::unpack(&document.text).ok()?;
        let mut earlier = BTreeMap::new();
        if let Some(before) = before {
            earlier.clone_from(&before.earlier);
            earlier.insert(before.version(), before.text.clone());
        }
        while earlier.len() > EARLIER {
            earlier.pop_first();
        }
        Some(Self {
            document,
            text,
            earlier,
            patches: Mutex::default(),
        })
    }

    /// Its version.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// What a gateway is told that has a version in force; zero for none.
    pub fn notice(&self, known: u64) -> Notice {
        let mut patches = self.patches.lock().unwrap_or_else(PoisonError::into_inner);
        let patch = patches.entry(known).or_insert_with(|| {
            let old = self.earlier.get(&known)?;
            let patch = Patch::make(known, old, self.version(), &self.text)?;
            let smaller = patch.inserted.len() < self.document.text.len();
            smaller.then_some(patch)
        });
        let document = patch.is_none().then(|| self.document.clone());
        Notice {
            document,
            patch: patch.clone(),
            ..Notice::default()
        }
    }
}
