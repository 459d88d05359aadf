//! Admission control: the learned capacity of the next tier, and the tenants' limits within it.
use super::limits::tenant_limits;
use super::{mean_objective, CYCLE};
use crate::interface::{LearnedState, Millis, Settings, Tenant};

/// Fraction of a tenant's default limit that is never lent (as published).
const RESERVED_FRACTION: f64 = 0.1;
/// Smoothing factor of a tenant's demand per cycle. It is low because one instance sees only a few requests of a tenant
/// per cycle.
const DEMAND_GAIN: f64 = 0.3;
/// Number of cycles for which a tenant may save up unused limit. This evens out the random arrivals of small counts.
const BURST_CYCLES: f64 = 6.0;
/// Fraction of its class's objective within which an answer is timely. The remainder leaves room for queues to grow
/// before their effect is observed.
const TIMELY_FRACTION: f64 = 0.4;
/// Maximum lateness of an answer, also used for failures and timeouts. Lateness is 0 up to the timely fraction of the
/// objective and 1 at the objective.
pub(super) const MAX_LATENESS: f64 = 2.0;
/// Mean lateness at which capacity stays the same: heavy requests and slow upstreams cause this much at any load.
const TARGET_LATENESS: f64 = 0.08;
/// Initial capacity of the tiers below the first one, as a multiple of the stated quotas. The first tier starts at the
/// quotas.
const INITIAL_CAPACITY_FACTOR: f64 = 4.0;
/// Maximum growth of capacity per cycle, as a fraction, reached when no answer is late.
const CAPACITY_GROWTH: f64 = 0.2;
/// Decrease of capacity per cycle and unit of mean lateness, as a fraction.
const CAPACITY_DECREASE: f64 = 0.6;
/// Maximum decrease of capacity per cycle, as a fraction.
const MAX_CAPACITY_DECREASE: f64 = 0.35;
/// Fraction of answers in time below which the capacity floor is lowered from the stated quotas.
pub(super) const MIN_SUCCESS: f64 = 0.7;
/// Minimum factor by which late answers lower the capacity floor. With too few attempts, connections stay idle for
/// longer and get lost, and the tier would not recover.
const MIN_FLOOR_FACTOR: f64 = 0.3;
/// Minimum number of answers before capacity is adapted.
const MIN_ANSWERS_TO_LEARN: f64 = 4.0;
/// Number of attempts in flight that are always allowed, since an instance with little traffic can't send fractions of
/// one.
const MIN_INFLIGHT: f64 = 1.0;
/// Multiple of the unloaded answer time for which capacity may be in flight before admission counts as full. More than
/// that is a queue, and overloaded upstreams stay slow for long.
const FULL_LATENCY_FACTOR: f64 = 1.6;
/// Multiple of the unloaded answer time for which capacity may be in flight before tenants within their limits are
/// refused too.
const MAX_LATENCY_FACTOR: f64 = 2.2;
/// Growth per cycle of the unloaded answer time, as a fraction. It is the smallest mean answer time
/// seen recently.
const UNLOADED_GROWTH: f64 = 0.02;
/// Fraction of answers in time from which the unloaded answer time may grow.
const MIN_SUCCESS_FOR_GROWTH: f64 = 0.92;
/// Maximum ratio of capacity to the recent peak of admitted requests: more is untested. A mean instead of the peak
/// would refuse the random bursts of small counts.
const MAX_CAPACITY_TO_PEAK: f64 = 2.0;
/// Factor by which the peak of admitted requests decays per cycle.
const PEAK_DECAY: f64 = 0.95;
/// Maximum number of retries that can be saved up.
pub(super) const MAX_SAVED_RETRIES: f64 = 10.0;
/// Fraction of the room that may be in use when a request of worth 0 is admitted. It rises linearly to 1 at worth 1.
const ZERO_WORTH_ROOM: f64 = 0.5;

/// Demand and limit of one tenant.
struct TenantState {
    weight: f64,
    is_active: bool,
    /// Number of requests in this cycle, including refused ones, and their smoothed number per cycle.
    request_count: f64,
    demand: f64,
    /// Number of requests admitted in this cycle, minus the limit saved up in earlier cycles.
    admitted: f64,
    limit: f64,
    /// Number of retries that the tenant may still use.
    retry_budget: f64,
}

/// Capacity of the next tier as this instance has learned it, and the tenants' limits within it.
#[derive(Default)]
pub(super) struct Admission {
    tenants: Vec<TenantState>,
    /// Learned capacity in requests per cycle; see [`Admission::adapt_capacity`].
    capacity: f64,
    /// Stated quotas per cycle.
    quota: f64,
    /// Smoothed fraction of answers in time.
    pub(super) success: f64,
    /// Ready upstreams as a fraction of their maximum number so far.
    pub(super) ready_fraction: f64,
    /// Number of answers in time since capacity was last adapted.
    in_time_answers: f64,
    /// Number of requests admitted in this cycle, minus the capacity of its elapsed part.
    admitted: f64,
    cycle_start: Millis,
    cycle_admitted: f64,
    /// Number of admitted requests per cycle: its smoothed mean, and its decaying peak.
    pub(super) mean_admitted: f64,
    peak: f64,
    /// Number of answers since capacity was last adapted, and their total lateness.
    answer_count: f64,
    total_lateness: f64,
    /// Number of attempts in flight, those of them lost with their connection, and the mean time of an unqueued answer
    /// in milliseconds.
    pub(super) inflight: f64,
    pub(super) lost_inflight: f64,
    unloaded_latency: Millis,
    /// Answer time up to which answers are timely, in milliseconds.
    timely_latency: Millis,
    /// Whether requests within their tenant's limit were refused in this cycle.
    refused_within_limit: bool,
    /// Number of retries that each first attempt of a tenant allows; zero means no limit per tenant.
    tenant_retries: f64,
}

impl Admission {
    pub(super) fn new(settings: &Settings, now: Millis) -> Self {
        let default_tenant = [Tenant { share: 1.0, quota_per_s: 0.0 }];
        let listed: &[Tenant] = if settings.tenants.is_empty() { &default_tenant } else { &settings.tenants };
        let new_tenant = |weight| TenantState {
            weight,
            is_active: false,
            request_count: 0.0,
            demand: 0.0,
            admitted: 0.0,
            limit: 0.0,
            retry_budget: MAX_SAVED_RETRIES,
        };
        let mut tenants: Vec<TenantState> = listed.iter().map(|t| new_tenant(t.share)).collect();
        // One more entry for all tenants that the settings do not list.
        tenants.push(new_tenant(listed.iter().map(|t| t.share).fold(f64::INFINITY, f64::min)));
        let quota: f64 = listed.iter().map(|t| t.quota_per_s).sum::<f64>() / f64::from(settings.balancers);
        // A first tier that started above its quotas overloaded the upstreams at once. The tiers below start with more
        // room: the first tier must shed load first, since a refusal below wastes the work done above.
        let initial_factor = if settings.stage == 0 { 1.0 } else { INITIAL_CAPACITY_FACTOR };
        let initial_capacity = initial_factor * quota * CYCLE / 1000.0;
        // Without stated quotas nothing is known: the first cycle refuses no request and shows what the tier sustains.
        let capacity = if initial_capacity > 0.0 { initial_capacity } else { 1000.0 };
        let objective = mean_objective(settings);
        Admission {
            tenants,
            capacity,
            quota: (quota * CYCLE / 1000.0).max(0.1),
            success: 1.0,
            ready_fraction: 1.0,
            cycle_start: now,
            mean_admitted: initial_capacity,
            peak: initial_capacity,
            unloaded_latency: objective / 4.0,
            timely_latency: TIMELY_FRACTION * objective,
            tenant_retries: settings.tenant_retries,
            ..Admission::default()
        }
    }

    pub(super) fn learned(&self) -> LearnedState {
        let demands = self.tenants.iter().map(|t| t.demand).collect();
        LearnedState {
            capacity: self.capacity,
            peak_admitted: self.peak,
            unloaded_latency: self.unloaded_latency,
            demands,
        }
    }

    /// Restores the state that another instance learned. Ignores it if any value is implausible.
    pub(super) fn recall(&mut self, learned: &LearnedState, now: Millis) {
        let LearnedState { capacity, peak_admitted, unloaded_latency, demands } = learned;
        let is_plausible = |v: &f64| (0.0..=1e9).contains(v);
        let values = [capacity, peak_admitted, unloaded_latency].into_iter().chain(demands);
        if !values.into_iter().all(is_plausible)
            || demands.len() != self.tenants.len()
            || *unloaded_latency <= 0.0
        {
            return;
        }
        (self.peak, self.mean_admitted, self.unloaded_latency) =
            (*peak_admitted, demands.iter().sum(), *unloaded_latency);
        self.capacity = capacity.min(peak_admitted * MAX_CAPACITY_TO_PEAK + 1.0).max(self.min_capacity());
        for (tenant, &demand) in self.tenants.iter_mut().zip(demands) {
            (tenant.demand, tenant.is_active) = (demand, demand > 0.0);
        }
        self.end_cycle(now);
    }

    /// Whether a tenant may send another retry. This keeps a single tenant, too, from multiplying the load on a slow
    /// dependency.
    pub(super) fn may_retry(&self, tenant: usize) -> bool {
        self.tenant_retries <= 0.0 || self.tenants[tenant.min(self.tenants.len() - 1)].retry_budget >= 1.0
    }

    /// Takes one retry from the tenant's budget.
    pub(super) fn take_retry(&mut self, tenant: usize) {
        let tenant = tenant.min(self.tenants.len() - 1);
        self.tenants[tenant].retry_budget -= 1.0;
    }

    /// Counts a request as demand and decides whether it is admitted. A request of less worth finds less room, and once
    /// the total is full none, even within its tenant's limit: a late retry is refused sooner than a first attempt.
    pub(super) fn admit(&mut self, tenant: usize, worth: f64, now: Millis) -> bool {
        let tenant = tenant.min(self.tenants.len() - 1);
        if !self.tenants[tenant].is_active {
            // A new tenant ends the cycle early, so that it gets a limit at once (as published).
            self.tenants[tenant].is_active = true;
            self.end_cycle(now);
        }
        // Answers show an overload only when they arrive, late. Attempts in flight show it at once: more than the
        // capacity for the unloaded answer time are queued somewhere.
        let room = |time: Millis| self.capacity / CYCLE * time + MIN_INFLIGHT;
        let full_inflight = room(self.unloaded_latency * FULL_LATENCY_FACTOR);
        let max_inflight = room((self.unloaded_latency * MAX_LATENCY_FACTOR).max(self.timely_latency));
        let state = &mut self.tenants[tenant];
        state.request_count += 1.0;
        state.retry_budget = (state.retry_budget + self.tenant_retries).min(MAX_SAVED_RETRIES);
        let inflight = self.inflight - self.lost_inflight;
        let room_fraction =
            if worth < 1.0 { ZERO_WORTH_ROOM + (1.0 - ZERO_WORTH_ROOM) * worth.max(0.0) } else { 1.0 };
        let is_full =
            self.admitted >= self.capacity * room_fraction || inflight >= full_inflight * room_fraction;
        let within_limit = worth >= 1.0 && state.admitted < state.limit;
        if inflight >= max_inflight || (is_full && !within_limit) {
            self.refused_within_limit |= within_limit;
            return false;
        }
        state.admitted += 1.0;
        self.admitted += 1.0;
        self.cycle_admitted += 1.0;
        true
    }

    /// Updates the unloaded answer time: the smallest recent mean, which may grow only while nearly all answers are in
    /// time. Growth during an overload would admit more requests, and overloaded upstreams would never recover.
    pub(super) fn update_unloaded_latency(&mut self, mean_latency: Millis) {
        let growth = if self.success < MIN_SUCCESS_FOR_GROWTH { 1.0 } else { 1.0 + UNLOADED_GROWTH };
        self.unloaded_latency = (self.unloaded_latency * growth).min(mean_latency);
    }

    /// Ends the cycle: updates demands, capacity and the tenants' limits.
    pub(super) fn end_cycle(&mut self, now: Millis) {
        // A cycle that a new tenant ended early counts only for the fraction that has passed.
        let elapsed = ((now - self.cycle_start) / CYCLE).clamp(0.0, 1.0);
        self.cycle_start = now;
        let gain = elapsed * DEMAND_GAIN;
        for t in self.tenants.iter_mut().filter(|t| t.is_active) {
            t.demand += if elapsed > 0.0 { gain * (t.request_count / elapsed - t.demand) } else { 0.0 };
            t.request_count = 0.0;
        }
        self.mean_admitted +=
            if elapsed > 0.0 { gain * (self.cycle_admitted / elapsed - self.mean_admitted) } else { 0.0 };
        if elapsed >= 0.5 {
            self.peak = (self.cycle_admitted / elapsed).max(self.peak * PEAK_DECAY);
            self.adapt_capacity(self.cycle_admitted / elapsed);
            if std::mem::take(&mut self.refused_within_limit) {
                // More was lent than the tier sustains. Lowering capacity to the admitted rate lets the limits decide
                // which requests are refused.
                self.capacity = self.capacity.min(self.cycle_admitted / elapsed);
            }
            self.capacity =
                self.capacity.min(self.peak * MAX_CAPACITY_TO_PEAK + 1.0).max(self.min_capacity());
        }
        self.cycle_admitted = 0.0;
        // With small counts, a limit at the mean would refuse requests of a steady tenant in half of the cycles, so one
        // standard deviation is added.
        let active: Vec<usize> = (0..self.tenants.len()).filter(|&i| self.tenants[i].is_active).collect();
        let demands: Vec<f64> =
            active.iter().map(|&i| self.tenants[i].demand).map(|d| d + d.sqrt()).collect();
        let weights: Vec<f64> = active.iter().map(|&i| self.tenants[i].weight).collect();
        let new_limits = tenant_limits(self.capacity, &demands, &weights, RESERVED_FRACTION);
        for (&i, limit) in active.iter().zip(new_limits) {
            let state = &mut self.tenants[i];
            state.admitted = (state.admitted - state.limit * elapsed).clamp(-BURST_CYCLES * limit, limit);
            state.limit = limit;
        }
        self.admitted = (self.admitted - self.capacity * elapsed).clamp(0.0, self.capacity);
    }

    /// Returns the minimum capacity: the stated quotas, since lateness that load does not cause (heavy requests, silent
    /// upstreams) would reduce it to nothing. It is lower when most answers are too late, since overloaded upstreams
    /// then lose everything that is admitted, and when upstreams are no longer ready.
    fn min_capacity(&self) -> f64 {
        self.quota * self.ready_fraction * (self.success / MIN_SUCCESS).clamp(MIN_FLOOR_FACTOR, 1.0)
    }

    /// Records the lateness of one answer.
    pub(super) fn record_lateness(&mut self, lateness: f64) {
        self.in_time_answers += f64::from(u8::from(lateness < 1.0));
        self.total_lateness += lateness;
        self.answer_count += 1.0;
    }

    /// Adapts the learned capacity: timely answers raise it, the more the sooner they come, and late ones lower it. The
    /// mean lateness decides, with an allowance for the tail that slow upstreams and heavy requests cause at any load.
    fn adapt_capacity(&mut self, admitted: f64) {
        if self.answer_count < MIN_ANSWERS_TO_LEARN {
            return;
        }
        let mean_lateness = self.total_lateness / self.answer_count;
        self.success += DEMAND_GAIN * (self.in_time_answers / self.answer_count - self.success);
        if mean_lateness > TARGET_LATENESS {
            let decrease = (CAPACITY_DECREASE * (mean_lateness - TARGET_LATENESS)).min(MAX_CAPACITY_DECREASE);
            self.capacity = (self.capacity * (1.0 - decrease)).max(self.min_capacity());
        } else {
            // Requests that were admitted and answered in time were within capacity, whatever its value was.
            self.capacity = self.capacity.max(admitted)
                * (1.0 + CAPACITY_GROWTH * (1.0 - mean_lateness / TARGET_LATENESS));
        }
        (self.total_lateness, self.in_time_answers, self.answer_count) = (0.0, 0.0, 0.0);
    }
}

/// Returns the lateness of an answer that took `part` of its class's objective, from 0 to [`MAX_LATENESS`].
pub(super) fn lateness(part: f64) -> f64 {
    ((part - TIMELY_FRACTION) / (1.0 - TIMELY_FRACTION)).clamp(0.0, MAX_LATENESS)
}
