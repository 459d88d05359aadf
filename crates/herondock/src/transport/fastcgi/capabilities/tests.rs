use super::*;
use bytes::Bytes;

#[test]
fn only_the_value_1_allows_concurrent_requests() {
    let allowed = |values: &[(&'static str, &'static str)]| {
        let pairs: Vec<Pair> = values.iter().map(|(n, v)| (Bytes::from(*n), Bytes::from(*v))).collect();
        allowed_requests(&pairs, 8)
    };
    assert_eq!(allowed(&[("FCGI_MPXS_CONNS", "1")]), Some(8));
    assert_eq!(allowed(&[("FCGI_MAX_REQS", "3"), ("FCGI_MPXS_CONNS", "1")]), Some(3));
    assert_eq!(allowed(&[("FCGI_MPXS_CONNS", "1"), ("FCGI_MAX_REQS", "1")]), None);
    for value in ["0", "", "yes", "11"] {
        assert_eq!(allowed(&[("FCGI_MPXS_CONNS", value), ("FCGI_MAX_REQS", "50")]), None);
    }
    assert_eq!(allowed(&[("FCGI_MAX_REQS", "50")]), None);
}
