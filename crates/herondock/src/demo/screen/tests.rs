use super::*;

#[test]
fn the_table_fits_eighty_columns() {
    let count = Count { open: 1_000_000, served: 10_000_000, refused: 10_000_000, failed: 1_000_000 };
    let name = "a-balancer-with-a-very-long-name-that-nobody-gives".to_string();
    let row = BalancerRow { name, state: "starting", count, memory: 1 << 40 };
    let upstream = UpstreamRow { name: "u-1".into(), group: 1, state: "active", busy: 99, executed: 1 << 40 };
    let view = View { balancers: vec![row], upstreams: vec![upstream], clubs: Vec::new() };
    let events = VecDeque::from(["x".repeat(200)]);
    let table = table(Duration::from_secs(3), Duration::from_secs(20), &view, &events);
    assert!(table.lines().all(|line| line.chars().count() < 80), "{table}");
}
