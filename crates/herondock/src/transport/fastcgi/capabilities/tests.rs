use super::*;
use bytes::Bytes;

#[test]
fn only_a_plain_yes_allows_several() {
    let values = |all: &[(&'static str, &'static str)]| {
        let all: Vec<Pair> = all.iter().map(|(n, v)| (Bytes::from(*n), Bytes::from(*v))).collect();
        allowed_requests(&all, 8)
    };
    assert_eq!(values(&[("FCGI_MPXS_CONNS", "1")]), Some(8));
    assert_eq!(values(&[("FCGI_MAX_REQS", "3"), ("FCGI_MPXS_CONNS", "1")]), Some(3));
    assert_eq!(values(&[("FCGI_MPXS_CONNS", "1"), ("FCGI_MAX_REQS", "1")]), None);
    for no in ["0", "", "yes", "11"] {
        assert_eq!(values(&[("FCGI_MPXS_CONNS", no), ("FCGI_MAX_REQS", "50")]), None);
    }
    assert_eq!(values(&[("FCGI_MAX_REQS", "50")]), None);
}
