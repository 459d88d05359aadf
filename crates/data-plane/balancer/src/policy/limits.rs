//! The published rate limiting rule: tenant limits follow demand, and unused capacity is lent to other tenants.

/// Computes a limit for each tenant from its demand in the last cycle. Capacity that a tenant leaves unused is lent to
/// tenants with more demand; `reservation` is the fraction of a tenant's default limit that is never lent.
///
/// `weights` are the relative shares of the tenants in the capacity (equal in the published rule). The limits are never
/// negative, and their sum does not exceed `capacity` except for rounding.
pub fn tenant_limits(capacity: f64, demands: &[f64], weights: &[f64], reservation: f64) -> Vec<f64> {
    let total: f64 = weights.iter().sum();
    let weight_share = |w: f64| if total > 0.0 { w / total } else { 1.0 / weights.len() as f64 };
    let proportion = |of: f64, total: f64| if total > 0.0 { of / total } else { 0.0 };
    let defaults: Vec<f64> = weights.iter().map(|&w| capacity * weight_share(w)).collect();
    let reserved = |(&d, &q): (&f64, &f64)| d.max(q * reservation);
    let wanted: Vec<f64> = demands.iter().zip(&defaults).map(reserved).collect();
    let gaps: Vec<f64> = defaults.iter().zip(&wanted).map(|(q, w)| q - w).collect();
    let deficit: f64 = gaps.iter().filter(|&&g| g < 0.0).map(|g| -g).sum();
    let surplus: f64 = gaps.iter().filter(|&&g| g > 0.0).sum();
    let limit = |tenant: usize| match gaps[tenant] {
        gap if gap <= 0.0 => defaults[tenant] + (-gap).min(proportion(-gap, deficit) * surplus),
        gap => wanted[tenant] + proportion(gap, surplus) * (surplus - deficit).max(0.0),
    };
    (0..demands.len()).map(limit).collect()
}
