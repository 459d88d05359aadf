//! Consul's HTTP API, as published (developer.hashicorp.com/consul/api-docs): what to ask, and what an answer counts as.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`service_list`] | answers of `/v1/health/service/:name` and `/v1/catalog/service/:name` as reports |
//! | [`watch`] | blocking queries on one service in one datacentre: what to ask next, what counts as being told |
//! | [`registration`] | this instance as a service with a TTL check at its agent |
pub mod registration;
pub mod service_list;
pub mod watch;

/// Escapes what goes into a path segment or a query (RFC 3986, section 2.3: unreserved characters stay).
pub fn percent_encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~') {
            out.push(char::from(byte));
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    out
}

#[cfg(test)]
mod tests {
    #[test]
    fn only_what_is_unreserved_stays() {
        assert_eq!(super::percent_encode("a-b_c.d~1"), "a-b_c.d~1");
        assert_eq!(super::percent_encode("Meta.zone == \"á/b\""), "Meta.zone%20%3D%3D%20%22%C3%A1%2Fb%22");
    }
}
