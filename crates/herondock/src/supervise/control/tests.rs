use super::*;

#[test]
fn the_status_table_has_a_row_for_each_instance() {
    let state = serde_json::json!({"supervisor": 7, "roll": "restart, 2 to go", "instances": [
        {"name": "n1", "state": "ready", "pid": 12, "restarts": 3, "ready_ms": 41, "memory": 5_000_000, "descriptors": 40,
         "says": "serving on 127.0.0.1:9"},
        {"name": "n2", "state": "down", "pid": null}]});
    let table = status_table(&state);
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines[0], "supervisor 7, restart, 2 to go");
    assert_eq!(
        lines[2],
        "n1        ready  12   3         41 ms        5.0 MB  40           serving on 127.0.0.1:9"
    );
    assert_eq!(lines[3], "n2        down   -    -         -            -       -            -");
}
