use super::*;

#[test]
fn durations_have_a_number_and_a_unit() {
    assert_eq!(parse_duration("480m"), Some(480.0));
    assert_eq!(parse_duration("1500u"), Some(1.5));
    for bad in ["", "m", "480", "-3m", "1e9m", "NaNm", "infm", "4 m", "99999999999m"] {
        assert_eq!(parse_duration(bad), None, "{bad}");
    }
}
