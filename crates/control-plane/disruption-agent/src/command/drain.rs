//! `herondock drain` and `herondock undrain`.
use super::client::{operator, print, OperatorClient};
use super::CommandError;
use coordination::state_machine::{Compare, Op, SessionId};
use disruption::conditional_write::put_ephemeral;
use disruption::keys::{lease_key, request_key};
use disruption::{ConditionalWrite, DisruptionKind, FleetSnapshot, LeaseDecision, LeaseRequest, ResourceId};
use std::time::{Duration, Instant};

/// Arguments of `herondock drain`.
#[derive(Clone, Debug)]
pub struct DrainOptions {
    /// `POOL/UPSTREAM`, or the upstream alone.
    pub endpoint: String,
    /// Time after which the drain ends by itself, in milliseconds; `None` for no limit.
    pub duration_ms: Option<u64>,
    /// Reason, for other operators.
    pub reason: String,
    /// Timeout for the grant if budgets do not permit the drain now; `None` to fail at once.
    pub wait: Option<Duration>,
    /// Timeout for the drain to complete; `None` to not wait for that.
    pub until_drained: Option<Duration>,
    /// Reason to exceed budgets.
    pub override_reason: Option<String>,
}

/// Drains an upstream, and waits for the drain to complete if that is requested.
pub(super) async fn drain(client: &mut OperatorClient, options: &DrainOptions) -> Result<(), CommandError> {
    let session = client.session().await?;
    let resource = find_upstream(client.snapshot().await?, &options.endpoint)?;
    let request_id = submit_request(client, session, &resource, options).await?;
    await_grant(client, session, &resource, &request_id, options.wait).await?;
    print(&format!("{resource} takes nothing new from now on"))?;
    match options.until_drained {
        Some(timeout) => await_drained(client, &resource, timeout).await,
        None => Ok(()),
    }
}

/// Writes the lease request; returns its id.
async fn submit_request(
    client: &OperatorClient,
    session: SessionId,
    resource: &ResourceId,
    options: &DrainOptions,
) -> Result<String, CommandError> {
    let id = format!("{}-{}/{}", operator(), std::process::id(), resource.name);
    let request = LeaseRequest {
        resource: resource.clone(),
        owner: operator(),
        session,
        kind: DisruptionKind::Drain,
        priority: u8::from(options.override_reason.is_some()),
        reason: options.reason.clone(),
        override_reason: options.override_reason.clone(),
        duration_ms: options.duration_ms,
    };
    let op = put_ephemeral(request_key(&id), &request);
    let write = ConditionalWrite::while_session_alive(session, vec![op]);
    client.write(write).await?.ok_or(CommandError::SessionEnded)?;
    Ok(id)
}

/// Waits until the request is granted, for at most `timeout`; withdraws it at once if there is no timeout and it has to wait.
async fn await_grant(
    client: &mut OperatorClient,
    session: SessionId,
    resource: &ResourceId,
    request_id: &str,
    timeout: Option<Duration>,
) -> Result<(), CommandError> {
    let started = Instant::now();
    let mut printed = String::new();
    loop {
        let snapshot = client.snapshot().await?;
        let request = snapshot.decisions().into_iter().find(|d| d.request_id == request_id);
        let Some(request) = request else {
            return match snapshot.leases.get(resource) {
                Some(lease) if lease.value.session == session => Ok(()),
                _ => Err(CommandError::RequestEnded),
            };
        };
        match request.decision {
            LeaseDecision::Granted => {
                if let Some(grants) = snapshot.grants() {
                    client.write(grants.write).await?;
                }
                continue;
            }
            rejected @ LeaseDecision::Rejected(_) => return withdraw(client, request_id, rejected).await,
            waiting => {
                if timeout.is_none_or(|timeout| started.elapsed() >= timeout) {
                    return withdraw(client, request_id, waiting).await;
                }
                let text = waiting.to_string();
                if printed != text {
                    print(&format!("{resource} {text}"))?;
                    printed = text;
                }
            }
        }
        client.changed().await;
    }
}

/// Deletes a request that was not granted.
async fn withdraw(
    client: &OperatorClient,
    request_id: &str,
    decision: LeaseDecision,
) -> Result<(), CommandError> {
    let delete = vec![Op::Delete(request_key(request_id))];
    // If this fails, the request is deleted with the session.
    let _ = client.write(ConditionalWrite::unconditional(delete)).await;
    Err(CommandError::NotGranted(decision))
}

/// Waits until all balancers have confirmed that nothing is in flight.
async fn await_drained(
    client: &mut OperatorClient,
    resource: &ResourceId,
    timeout: Duration,
) -> Result<(), CommandError> {
    let started = Instant::now();
    let mut printed = String::new();
    loop {
        let snapshot = client.snapshot().await?;
        match snapshot.leases.get(resource) {
            Some(lease) if lease.value.drained => {
                print(&format!("{resource} is drained: nothing is in flight there"))?;
                return Ok(());
            }
            Some(_) => {}
            None => return Err(CommandError::DrainEnded(resource.clone())),
        }
        let pending = snapshot.pending_confirmations(resource).join(", ");
        if started.elapsed() >= timeout {
            return Err(CommandError::NotDrained { resource: resource.clone(), timeout, pending });
        }
        if printed != pending && !pending.is_empty() {
            print(&format!("waits for {pending}"))?;
            printed = pending;
        }
        client.changed().await;
    }
}

/// Ends the drain of an upstream by deleting its lease. Retries if the lease changes meanwhile.
pub(super) async fn undrain(client: &mut OperatorClient, endpoint: &str) -> Result<(), CommandError> {
    client.session().await?;
    let resource = ResourceId::upstream(EndpointName::parse(endpoint).name);
    loop {
        let Some(lease) = client.snapshot().await?.leases.get(&resource) else {
            return Err(CommandError::NoDrain(resource));
        };
        let write = ConditionalWrite {
            compares: vec![Compare::Version(lease_key(&resource), lease.version)],
            ops: vec![Op::Delete(lease_key(&resource))],
        };
        if client.write(write).await?.is_some() {
            print(&format!("{resource} may take work again; it begins cold"))?;
            return Ok(());
        }
    }
}

/// Parsed form of `POOL/UPSTREAM`, or of the upstream alone.
struct EndpointName<'a> {
    pool: Option<&'a str>,
    name: &'a str,
}

impl<'a> EndpointName<'a> {
    fn parse(text: &'a str) -> EndpointName<'a> {
        match text.split_once('/') {
            Some((pool, name)) => EndpointName { pool: Some(pool), name },
            None => EndpointName { pool: None, name: text },
        }
    }
}

/// Returns the upstream that `endpoint` names.
///
/// # Errors
/// No balancer knows the upstream, or it is not in the given pool.
fn find_upstream(snapshot: &FleetSnapshot, endpoint: &str) -> Result<ResourceId, CommandError> {
    let EndpointName { pool, name } = EndpointName::parse(endpoint);
    let upstreams = snapshot.upstreams();
    let Some(upstream) = upstreams.get(name) else {
        return Err(CommandError::UnknownUpstream { name: name.into(), known: upstreams.len() });
    };
    let pools: Vec<&str> =
        upstream.labels.iter().filter(|l| l.name == "pool").map(|l| l.value.as_str()).collect();
    match pool {
        Some(pool) if !pools.contains(&pool) => {
            Err(CommandError::NotInPool { name: name.into(), pool: pool.into(), pools: pools.join(", ") })
        }
        _ => Ok(ResourceId::upstream(name)),
    }
}
