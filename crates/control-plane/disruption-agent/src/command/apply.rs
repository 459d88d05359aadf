//! `herondock outage apply`.
use super::client::{print, OperatorClient};
use super::CommandError;
use disruption::conditional_write::put;
use disruption::grants::group_name;
use disruption::keys::BUDGETS;
use disruption::{ConditionalWrite, DisruptionBudgets};

/// Stores the budgets, and prints the groups from which no resource can ever be taken out of service.
pub(super) async fn apply(
    budgets: &DisruptionBudgets,
    client: &mut OperatorClient,
) -> Result<(), CommandError> {
    client.session().await?;
    let write = ConditionalWrite::unconditional(vec![put(BUDGETS.into(), budgets)]);
    client.write(write).await?.ok_or(CommandError::UnexpectedConflict)?;
    print(&format!("{} budgets hold from now on", budgets.budgets.len()))?;
    let resources = client.snapshot().await?.resources();
    for found in budgets.unsatisfiable_groups(resources.iter()) {
        print(&format!(
            "budget {}: nothing can be taken out of {} ({} there): {}",
            found.budget,
            group_name(&found.group),
            found.size,
            found.reason
        ))?;
    }
    Ok(())
}
