//! The published rule: limits from demand, lending what others leave unused.

/// A new limit for each tenant from last cycle's demand, lending what others leave unused.
///
/// `weights` are the tenants' parts of the capacity (all alike as published). Limits are never negative
/// and sum to `capacity` at most, up to rounding.
pub fn limits(capacity: f64, demands: &[f64], weights: &[f64], reservation: f64) -> Vec<f64> {
    let total: f64 = weights.iter().sum();
    let part = |w: f64| if total > 0.0 { w / total } else { 1.0 / weights.len() as f64 };
    let share = |of: f64, total: f64| if total > 0.0 { of / total } else { 0.0 };
    let defaults: Vec<f64> = weights.iter().map(|&w| capacity * part(w)).collect();
    let reserved = |(&d, &q): (&f64, &f64)| d.max(q * reservation);
    let wanted: Vec<f64> = demands.iter().zip(&defaults).map(reserved).collect();
    let gaps: Vec<f64> = defaults.iter().zip(&wanted).map(|(q, w)| q - w).collect();
    let deficit: f64 = gaps.iter().filter(|&&g| g < 0.0).map(|g| -g).sum();
    let surplus: f64 = gaps.iter().filter(|&&g| g > 0.0).sum();
    let limit = |i: usize| match gaps[i] {
        g if g <= 0.0 => defaults[i] + (-g).min(share(-g, deficit) * surplus),
        g => wanted[i] + share(g, surplus) * (surplus - deficit).max(0.0),
    };
    (0..demands.len()).map(limit).collect()
}
