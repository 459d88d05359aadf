//! `herondock outage forget`.
use super::client::{print, OperatorClient};
use super::CommandError;
use coordination::state_machine::{Compare, Op};
use disruption::keys::{balancer_key, lease_key};
use disruption::{ConditionalWrite, ResourceId};

/// Removes a balancer and its lease, unless it or its supervisor is connected.
pub(super) async fn forget(client: &mut OperatorClient, name: &str) -> Result<(), CommandError> {
    client.session().await?;
    let snapshot = client.snapshot().await?;
    let Some(entry) = snapshot.balancers.get(name) else {
        return Err(CommandError::UnknownBalancer(name.into()));
    };
    if snapshot.statuses.contains_key(name) {
        return Err(CommandError::BalancerRuns(name.into()));
    }
    let machine = &entry.value.machine;
    if snapshot.owners.contains_key(machine) {
        return Err(CommandError::SupervisorConnected(machine.clone()));
    }
    let write = ConditionalWrite {
        compares: vec![Compare::Version(balancer_key(name), entry.version)],
        ops: vec![Op::Delete(balancer_key(name)), Op::Delete(lease_key(&ResourceId::balancer(name)))],
    };
    client.write(write).await?.ok_or(CommandError::Conflict)?;
    print(&format!("{name} is forgotten, and with it its leave"))?;
    Ok(())
}
