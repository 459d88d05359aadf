//! Consul's HTTP API, as published (developer.hashicorp.com/consul/api-docs): requests, and the meaning of responses.
//!
//! | module | contents |
//! | --- | --- |
//! | [`service_list`] | responses of `/v1/health/service/:name` and `/v1/catalog/service/:name` as reports |
//! | [`watch`] | blocking queries on one service in one datacentre |
//! | [`registration`] | registration of this instance with a TTL check at its agent |
pub mod registration;
pub mod service_list;
pub mod watch;

/// Percent-encodes a path segment or query value (RFC 3986, section 2.3: unreserved characters stay).
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~') {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}
