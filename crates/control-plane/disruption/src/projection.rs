//! Typed views of a part of the coordination store: how a changed key is decoded and applied.
use coordination::state_machine::{Revision, VersionedValue};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use thiserror::Error;

/// Reason why a stored value cannot be used; its writer runs another version.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The value is not the JSON of the type that belongs to its key.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The key of a lease does not end with `KIND/NAME`.
    #[error("names no unit")]
    UnknownResource,
}

/// A decoded value and the revision that wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// Revision of the last write of the key.
    pub version: Revision,
    /// Decoded value.
    pub value: T,
}

impl<T: DeserializeOwned> Versioned<T> {
    /// Decodes a stored value; `None` for a key that was deleted.
    ///
    /// # Errors
    /// The value is not the JSON of a `T`.
    pub fn decode(value: Option<&str>, version: Revision) -> Result<Option<Versioned<T>>, DecodeError> {
        let Some(text) = value else { return Ok(None) };
        let value = serde_json::from_str(text)?;
        Ok(Some(Versioned { version, value }))
    }
}

/// Applies a change of a key to the slot that holds its value. A value that cannot be decoded empties the slot.
///
/// # Errors
/// The value cannot be decoded.
pub fn apply_to_slot<T: DeserializeOwned>(
    slot: &mut Option<Versioned<T>>,
    value: Option<&str>,
    version: Revision,
) -> Result<(), DecodeError> {
    *slot = None;
    *slot = Versioned::decode(value, version)?;
    Ok(())
}

/// Applies a change of a key to the map that holds its value under `name`. A value that cannot be decoded removes the entry.
///
/// # Errors
/// The value cannot be decoded.
pub fn apply_to_map<K: Ord, T: DeserializeOwned>(
    map: &mut BTreeMap<K, Versioned<T>>,
    name: K,
    value: Option<&str>,
    version: Revision,
) -> Result<(), DecodeError> {
    map.remove(&name);
    if let Some(entry) = Versioned::decode(value, version)? {
        map.insert(name, entry);
    }
    Ok(())
}

/// Typed view of all keys under a prefix, as of one revision. A value that cannot be decoded counts as absent and is listed
/// with the reason.
pub trait Projection: Default {
    /// Prefix of the keys that belong to it.
    const KEY_PREFIX: &'static str;

    /// Revision of the store up to which the view is current.
    fn revision(&self) -> Revision;

    /// Sets the revision.
    fn set_revision(&mut self, revision: Revision);

    /// Keys whose values cannot be decoded, with the reason.
    fn unreadable_mut(&mut self) -> &mut BTreeMap<String, String>;

    /// Decodes a changed value and stores it; `None` for a deleted key.
    ///
    /// # Errors
    /// The value cannot be decoded. The implementation decides which value the view then holds for the key.
    fn try_apply(&mut self, key: &str, value: Option<&str>, version: Revision) -> Result<(), DecodeError>;

    /// Builds the view from a read of all its keys at `revision`.
    fn from_items(revision: Revision, items: &[(String, VersionedValue)]) -> Self {
        let mut view = Self::default();
        view.set_revision(revision);
        for (key, item) in items {
            view.apply(key, Some(&item.value), item.version);
        }
        view
    }

    /// Applies a changed value; `None` for a deleted key.
    fn apply(&mut self, key: &str, value: Option<&str>, version: Revision) {
        self.advance_to(version);
        self.unreadable_mut().remove(key);
        if let Err(error) = self.try_apply(key, value, version) {
            self.unreadable_mut().insert(key.into(), error.to_string());
        }
    }

    /// Raises the revision to `revision`, if it is lower.
    fn advance_to(&mut self, revision: Revision) {
        self.set_revision(self.revision().max(revision));
    }
}
