//! Request budgets of this process: the policy from the operator's file, the hop marker of its pool, and logging of
//! loops.
use crate::exchange::CarriedBudget;
use config::request_budget::{BudgetTable, FieldNames};
use request_budget::log_throttle::LogThrottle;
use request_budget::path::{HopMarker, Path};
use request_budget::{Budget, BudgetLimits, BudgetRejection, IncomingFields};
use std::cell::RefCell;
use std::fs::File;
use std::io::Read;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::time::Instant;
use tracing::info;

/// Maximum number of bytes that are read from the file with the secret.
const MAX_SECRET_BYTES: u64 = 4096;

/// Front that received a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontKind {
    /// HTTP.
    Http,
    /// FastCGI.
    FastCgi,
}

/// The file with the secret can't be read.
#[derive(Debug, thiserror::Error)]
#[error("budget.secret_file: {}: {source}", .path.display())]
pub struct SecretError {
    path: PathBuf,
    source: std::io::Error,
}

/// Policy for request budgets, where the operator's file enables them.
pub struct BudgetPolicy {
    limits: BudgetLimits,
    hop_marker: HopMarker,
    /// Names of the fields that carry budgets.
    pub names: Rc<FieldNames>,
    trust_http: bool,
    trust_fastcgi: bool,
    log_throttle: RefCell<LogThrottle>,
    start: Instant,
}

impl BudgetPolicy {
    /// Returns the policy of this tier; `None`: budgets are off.
    ///
    /// # Errors
    /// The file with the secret can't be read.
    pub fn from_config(table: &BudgetTable, tier: u32) -> Result<Option<Rc<BudgetPolicy>>, SecretError> {
        let Some(pool) = &table.pool else { return Ok(None) };
        // Several tiers may share a configuration file.
        let pool = pool.replace("{tier}", &tier.to_string());
        let mut secret = Vec::new();
        if let Some(path) = &table.secret_file {
            let read_error = |source| SecretError { path: path.clone(), source };
            File::open(path)
                .and_then(|f| f.take(MAX_SECRET_BYTES).read_to_end(&mut secret))
                .map_err(read_error)?;
        }
        Ok(Some(Rc::new(BudgetPolicy {
            limits: BudgetLimits {
                max_retries: table.retries,
                max_hops: table.hops,
                retry_worth: table.repeat_worth,
            },
            hop_marker: HopMarker::new(secret.trim_ascii(), &pool),
            names: Rc::new(table.names.clone()),
            trust_http: table.trust_http,
            trust_fastcgi: table.trust_fastcgi,
            log_throttle: RefCell::default(),
            start: Instant::now(),
        })))
    }

    /// Returns the budget of a request, given every value of the budget field and of the path field. `timeout_ms`: how
    /// long the client waits, in milliseconds; `is_retry`: whether the request is a retry by its client.
    ///
    /// # Errors
    /// The reason why the request is rejected. Loops are logged with the last hop that they came from, at a limited
    /// rate.
    pub fn carried_budget(
        &self,
        front: FrontKind,
        (budget, path): (&[&[u8]], &[&[u8]]),
        timeout_ms: f64,
        is_retry: bool,
    ) -> Result<CarriedBudget, BudgetRejection> {
        let is_trusted = match front {
            FrontKind::Http => self.trust_http,
            FrontKind::FastCgi => self.trust_fastcgi,
        };
        let incoming = IncomingFields { budget, path, timeout_ms, is_retry, is_trusted };
        match Budget::from_fields(&incoming, &self.limits, &self.hop_marker) {
            Ok(budget) => Ok(CarriedBudget { budget, names: self.names.clone() }),
            Err(BudgetRejection::Refused(reason)) => {
                let cause = format!("{reason}; it came from {}", Path::previous_hop(path));
                let now = self.start.elapsed().as_secs_f64() * 1000.0;
                if let Some(count) = self.log_throttle.borrow_mut().record(&cause, now) {
                    info!("refused: {cause} ({count} times)");
                }
                Err(BudgetRejection::Refused(reason))
            }
            Err(error) => Err(error),
        }
    }
}
