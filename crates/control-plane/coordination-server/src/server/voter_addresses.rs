//! Addresses of voters that are not members yet.
use std::collections::BTreeMap;

/// Maximum number of addresses.
const MAX_VOTER_ADDRESSES: usize = 64;

/// Addresses of voters that connected to this one, for voters that are not members yet as far as this one knows.
#[derive(Default)]
pub(super) struct VoterAddresses(BTreeMap<u64, String>);

impl VoterAddresses {
    pub fn insert(&mut self, id: u64, address: Option<String>) {
        let Some(address) = address else { return };
        if self.0.len() < MAX_VOTER_ADDRESSES || self.0.contains_key(&id) {
            self.0.insert(id, address);
        }
    }

    pub fn get(&self, id: u64) -> Option<&str> {
        self.0.get(&id).map(String::as_str)
    }
}
