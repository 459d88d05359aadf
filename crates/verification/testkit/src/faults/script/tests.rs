use super::*;

#[test]
fn leaves_out_irrelevant_steps() {
    let all: Vec<u32> = (0..40).collect();
    let mut tried = 0;
    let least = minimal_failing_steps(&all, |some| {
        tried += 1;
        some.contains(&7) && some.contains(&31)
    });
    assert_eq!(least, [7, 31]);
    assert!(tried < 80, "{tried}");
    assert!(minimal_failing_steps(&all, |_| true).is_empty());
}
