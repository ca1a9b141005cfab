use super::*;

/// Guards against 200 endless responses that together exceed the memory of a small host, and against
/// usual responses that are refused because of them.
#[test]
fn try_hold_many_endless_responses_stay_within_the_sum() {
    let max_bytes = 4 << 20;
    let budget = MemoryBudget::new(max_bytes);
    let mut shares: Vec<MemoryShare> = (0..200).map(|_| budget.share()).collect();
    let mut held = vec![0; shares.len()];
    for size in (0..).step_by(16 * 1024).take(64) {
        for (share, held) in shares.iter_mut().zip(&mut held) {
            if share.try_hold(size) {
                *held = size;
            }
        }
        let sum: usize = held
            .iter()
            .map(|held| held.saturating_sub(FREE_BYTES))
            .sum();
        assert_eq!(budget.used_bytes(), sum);
        assert!(sum <= max_bytes, "{sum} bytes");
    }
    assert!(budget.share().try_hold(FREE_BYTES));
    shares.clear();
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn try_hold_less_than_before_frees_the_rest() {
    let budget = MemoryBudget::new(1_000);
    let mut share = budget.share();
    assert!(share.try_hold(FREE_BYTES + 1_000));
    assert!(share.try_hold(FREE_BYTES + 10));
    assert_eq!(budget.used_bytes(), 10);
    assert!(!share.try_hold(usize::MAX));
    assert_eq!(budget.used_bytes(), 10);
}
