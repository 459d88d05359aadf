//! What an operator's commands do: `herondock outage apply|status`, `herondock drain`, `undrain`, `drains`.
use crate::informer::{write, Informer, WriteOutcome};
use config::disruption::DisruptionConfig;
use coordination::client::SessionConfig;
use coordination::state_machine::{Compare, Op, SessionId};
use coordination_server::client::{ClientConfig, ClientHandle, SessionState};
use daemon::table::format_rows;
use disruption::snapshot::{lease_key, request_key, BUDGETS, KEY_PREFIX};
use disruption::{
    ConditionalWrite, DisruptionKind, FleetSnapshot, LeaseDecision, LeaseRequest, ResourceId, ResourceKind,
};
use std::io::Write;
use std::time::{Duration, Instant};

/// How long a command may take to find the council.
const SESSION_TIMEOUT: Duration = Duration::from_secs(10);
/// The session of a command that waits.
const SESSION_TTL: Duration = Duration::from_secs(5);

/// What is asked for.
#[derive(Clone, Debug)]
pub enum Command {
    /// The file's budgets are those of the fleet from now on.
    Apply,
    /// Who is out, why, and what waits for what.
    Status {
        /// As JSON.
        json: bool,
    },
    /// An upstream takes nothing new.
    Drain {
        /// `POOL/UPSTREAM`, or the upstream alone.
        endpoint: String,
        /// It ends by itself after this.
        duration_ms: Option<u64>,
        /// Why.
        reason: String,
        /// Wait in the queue where budgets do not allow it now, for so long.
        wait: Option<Duration>,
        /// Wait until nothing is in flight there, for so long.
        until_drained: Option<Duration>,
        /// A reason to go over what budgets allow.
        override_reason: Option<String>,
    },
    /// A drain ends.
    Undrain {
        /// As for `Drain`.
        endpoint: String,
    },
    /// The drains.
    Drains {
        /// As JSON.
        json: bool,
    },
    /// A balancer that the fleet has no more, and whose supervisor can't say so.
    Forget {
        /// Its name.
        balancer: String,
    },
}

/// Carries a command out.
///
/// # Errors
/// One line.
pub fn run(file: &DisruptionConfig, command: Command) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, carry_out(file, command))
}

/// Prints a line of a command's answer.
///
/// # Errors
/// Standard output is gone.
pub fn print(line: &str) -> Result<(), String> {
    writeln!(std::io::stdout(), "{line}").map_err(|e| format!("standard output: {e}"))
}

/// Who gives the command, for the record.
pub fn operator() -> String {
    let user = std::env::var("USER").unwrap_or_else(|_| "operator".into());
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    user.chars().filter(|&c| plain(c)).take(32).collect()
}

fn client(file: &DisruptionConfig, held: bool) -> ClientHandle {
    let name = format!("command/{}/{}", operator(), std::process::id());
    let session = held.then(|| SessionConfig { name: name.clone(), ttl: SESSION_TTL, take_over: true });
    let voters = file.coordination.voters.iter().map(ToString::to_string).collect();
    ClientHandle::spawn(ClientConfig { voters, session, name, response_timeout: file.coordination.patience })
}

async fn session(council: &ClientHandle) -> Result<SessionId, String> {
    let mut standing = council.session_state();
    let held = standing.wait_for(|s| matches!(s, SessionState::Active(_)));
    match tokio::time::timeout(SESSION_TIMEOUT, held).await.map(|s| s.map(|s| *s)) {
        Ok(Ok(SessionState::Active(session))) => Ok(session),
        _ => Err(format!(
            "the council does not answer within {SESSION_TIMEOUT:?}: is there a majority of voters?"
        )),
    }
}

async fn board(follow: &mut Informer) -> Result<FleetSnapshot, String> {
    follow.read_consistent().await.cloned().map_err(|why| format!("the council: {why}"))
}

async fn carry_out(file: &DisruptionConfig, command: Command) -> Result<(), String> {
    let reads = matches!(command, Command::Status { .. } | Command::Drains { .. });
    let council = client(file, !reads);
    let mut follow = Informer::<FleetSnapshot>::with_prefix(council.clone(), KEY_PREFIX);
    let done = match command {
        Command::Apply => apply(file, &council, &mut follow).await,
        Command::Status { json } => status(&board(&mut follow).await?, json),
        Command::Drains { json } => drains(&board(&mut follow).await?, json),
        Command::Drain {
            endpoint: unit,
            duration_ms: for_ms,
            reason: why,
            wait,
            until_drained,
            override_reason: overrides,
        } => {
            let wish = DrainOptions {
                duration_ms: for_ms,
                reason: why,
                wait,
                until_drained,
                override_reason: overrides,
            };
            drain(&council, &mut follow, &unit, wish).await
        }
        Command::Undrain { endpoint: unit } => undrain(&council, &mut follow, &unit).await,
        Command::Forget { balancer: unit } => forget(&council, &mut follow, &unit).await,
    };
    if !reads {
        council.close_session(Duration::from_secs(1)).await;
    }
    done
}

async fn apply(file: &DisruptionConfig, council: &ClientHandle, follow: &mut Informer) -> Result<(), String> {
    session(council).await?;
    let value = serde_json::to_string(&file.budgets).map_err(|e| e.to_string())?;
    let then = vec![Op::Put { key: BUDGETS.into(), value, ephemeral: false }];
    match write(council, ConditionalWrite { compares: Vec::new(), ops: then }).await {
        WriteOutcome::Committed(_) => {}
        WriteOutcome::Conflict => return Err("the record differs".into()),
        WriteOutcome::Failed(why) => return Err(why),
    }
    print(&format!("{} budgets hold from now on", file.budgets.budgets.len()))?;
    let board = board(follow).await?;
    let all = board.resources();
    for (budget, group, size, why) in file.budgets.unsatisfiable_groups(all.iter()) {
        let group = if group.is_empty() { "the fleet" } else { &group };
        print(&format!("budget {budget}: nothing can be taken out of {group} ({size} there): {why}"))?;
    }
    Ok(())
}

fn named(text: &str) -> (Option<&str>, &str) {
    match text.split_once('/') {
        Some((pool, name)) => (Some(pool), name),
        None => (None, text),
    }
}

/// The upstream that is meant.
fn upstream(board: &FleetSnapshot, text: &str) -> Result<ResourceId, String> {
    let (pool, name) = named(text);
    let all = board.upstreams();
    let Some((labels, _)) = all.get(name) else {
        return Err(format!("no balancer has an upstream {name:?}; there are {}", all.len()));
    };
    match pool {
        Some(pool) if !labels.contains(&("pool".to_string(), pool.to_string())) => {
            let pools: Vec<&str> =
                labels.iter().filter(|(n, _)| n == "pool").map(|(_, v)| v.as_str()).collect();
            Err(format!("{name} is not in pool {pool:?} but in {}", pools.join(", ")))
        }
        _ => Ok(ResourceId::upstream(name)),
    }
}

struct DrainOptions {
    duration_ms: Option<u64>,
    reason: String,
    wait: Option<Duration>,
    until_drained: Option<Duration>,
    override_reason: Option<String>,
}

async fn drain(
    council: &ClientHandle,
    follow: &mut Informer,
    text: &str,
    wish: DrainOptions,
) -> Result<(), String> {
    let session = session(council).await?;
    let unit = upstream(&board(follow).await?, text)?;
    let id = format!("{}-{}/{}", operator(), std::process::id(), unit.name);
    let ask = LeaseRequest {
        resource: unit.clone(),
        owner: operator(),
        session,
        kind: DisruptionKind::Drain,
        priority: u8::from(wish.override_reason.is_some()),
        reason: wish.reason.clone(),
        override_reason: wish.override_reason.clone(),
        duration_ms: wish.duration_ms,
    };
    let value = serde_json::to_string(&ask).map_err(|e| e.to_string())?;
    let put = Op::Put { key: request_key(&id), value, ephemeral: true };
    match write(council, ConditionalWrite { compares: vec![Compare::SessionAlive(session)], ops: vec![put] })
        .await
    {
        WriteOutcome::Committed(_) => {}
        WriteOutcome::Conflict => return Err("its session has ended".into()),
        WriteOutcome::Failed(why) => return Err(why),
    }
    let started = Instant::now();
    let mut said = String::new();
    loop {
        let board = board(follow).await?;
        let Some(verdict) = board.decisions().into_iter().find(|(i, _)| *i == id).map(|(_, verdict)| verdict)
        else {
            match board.leases.get(&unit) {
                Some(leave) if leave.value.session == session => break,
                _ => return Err("the ask has ended".into()),
            }
        };
        match verdict {
            LeaseDecision::Granted => {
                if let Some((plan, _)) = board.grants() {
                    if let WriteOutcome::Failed(why) = write(council, plan).await {
                        return Err(why);
                    }
                }
                continue;
            }
            LeaseDecision::Rejected(why) => return withdraw(council, &id, why).await,
            waits => {
                if wish.wait.is_none_or(|wait| started.elapsed() >= wait) {
                    return withdraw(council, &id, waits.to_string()).await;
                }
                if said != waits.to_string() {
                    said = waits.to_string();
                    print(&format!("{unit} {said}"))?;
                }
            }
        }
        let _ = tokio::time::timeout(Duration::from_millis(500), follow.next()).await;
    }
    print(&format!("{unit} takes nothing new from now on"))?;
    let Some(until) = wish.until_drained else { return Ok(()) };
    let (started, mut said) = (Instant::now(), String::new());
    loop {
        let board = board(follow).await?;
        match board.leases.get(&unit) {
            Some(leave) if leave.value.drained => {
                return print(&format!("{unit} is drained: nothing is in flight there"))
            }
            Some(_) => {}
            None => return Err(format!("the drain of {unit} has ended")),
        }
        let waits = board.pending_confirmations(&unit).join(", ");
        if started.elapsed() >= until {
            return Err(format!("{unit} is not drained after {until:?}; not confirmed by {waits}"));
        }
        if said != waits && !waits.is_empty() {
            print(&format!("waits for {waits}"))?;
            said = waits;
        }
        let _ = tokio::time::timeout(Duration::from_millis(500), follow.next()).await;
    }
}

async fn withdraw(council: &ClientHandle, id: &str, why: String) -> Result<(), String> {
    let then = vec![Op::Delete(request_key(id))];
    // It ends with its session as well.
    let _ = write(council, ConditionalWrite { compares: Vec::new(), ops: then }).await;
    Err(why)
}

async fn undrain(council: &ClientHandle, follow: &mut Informer, text: &str) -> Result<(), String> {
    session(council).await?;
    let (_, name) = named(text);
    let unit = ResourceId::upstream(name);
    loop {
        let board = board(follow).await?;
        let Some(leave) = board.leases.get(&unit) else {
            return Err(format!("{unit} is not drained by agreement"));
        };
        let when = vec![Compare::Version(lease_key(&unit), leave.version)];
        match write(council, ConditionalWrite { compares: when, ops: vec![Op::Delete(lease_key(&unit))] })
            .await
        {
            WriteOutcome::Committed(_) => {
                return print(&format!("{unit} may take work again; it begins cold"))
            }
            WriteOutcome::Conflict => {}
            WriteOutcome::Failed(why) => return Err(why),
        }
    }
}

async fn forget(council: &ClientHandle, follow: &mut Informer, name: &str) -> Result<(), String> {
    session(council).await?;
    let board = board(follow).await?;
    let Some(unit) = board.balancers.get(name) else { return Err(format!("no balancer {name:?} is known")) };
    if board.statuses.contains_key(name) {
        return Err(format!("{name} runs, and says so"));
    }
    if board.owners.contains_key(&unit.value.machine) {
        return Err(format!("the supervisor of {} is there, and would name it again", unit.value.machine));
    }
    let id = ResourceId::balancer(name);
    let when = vec![Compare::Version(disruption::snapshot::balancer_key(name), unit.version)];
    let then = vec![Op::Delete(disruption::snapshot::balancer_key(name)), Op::Delete(lease_key(&id))];
    match write(council, ConditionalWrite { compares: when, ops: then }).await {
        WriteOutcome::Committed(_) => print(&format!("{name} is forgotten, and with it its leave")),
        WriteOutcome::Conflict => Err("it changed meanwhile".into()),
        WriteOutcome::Failed(why) => Err(why),
    }
}

/// The whole state for an operator.
pub fn state(board: &FleetSnapshot) -> serde_json::Value {
    let out: Vec<serde_json::Value> = board
        .unavailable()
        .into_iter()
        .map(|(id, why)| {
            let leave = board.leases.get(&id).map(|l| &l.value);
            let why: Vec<String> = why.iter().map(ToString::to_string).collect();
            serde_json::json!({"unit": id.to_string(), "why": why, "owner": leave.map(|l| &l.owner),
                "number": leave.map(|l| l.fencing_token), "reason": leave.map(|l| &l.reason), "overrides": leave.and_then(|l| l.override_reason.as_ref()),
                "held": leave.filter(|_| id.kind == ResourceKind::Balancer).map(|l| board.owner_is_active(l))})
        })
        .collect();
    let counts: Vec<serde_json::Value> = board
        .budget_usage()
        .into_iter()
        .map(|(budget, group, c)| {
            serde_json::json!({"budget": budget, "group": group, "units": c.size, "out": c.unavailable, "may": c.limit, "floor": c.min_available})
        })
        .collect();
    let asks: Vec<serde_json::Value> = board
        .decisions()
        .into_iter()
        .filter_map(|(id, verdict)| {
            let ask = &board.requests.get(&id)?.value;
            Some(serde_json::json!({"unit": ask.resource.to_string(), "owner": ask.owner, "act": ask.kind, "why": ask.reason,
                "verdict": verdict.to_string()}))
        })
        .collect();
    serde_json::json!({"revision": board.revision, "out": out, "budgets": counts, "asks": asks, "unread": board.unreadable})
}

fn row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|c| if c.is_empty() { "-".into() } else { (*c).to_string() }).collect()
}

fn status(board: &FleetSnapshot, json: bool) -> Result<(), String> {
    if json {
        return print(&state(board).to_string());
    }
    let mut rows = vec![row(&["budget", "group", "units", "out", "may be", "floor"])];
    for (budget, group, c) in board.budget_usage() {
        let n = |n: u32| n.to_string();
        rows.push(row(&[&budget, &group, &n(c.size), &n(c.unavailable), &n(c.limit), &n(c.min_available)]));
    }
    let mut text = format_rows(&rows);
    let mut rows = vec![row(&["out", "why", "by", "reason"])];
    for (id, why) in board.unavailable() {
        let why: Vec<String> = why.iter().map(ToString::to_string).collect();
        let leave = board.leases.get(&id).map(|l| &l.value);
        let by = leave.map_or("", |l| &l.owner);
        let reason = leave.map_or("", |l| l.override_reason.as_ref().unwrap_or(&l.reason));
        rows.push(row(&[&id.to_string(), &why.join(", "), by, reason]));
    }
    text = text + "\n" + &format_rows(&rows);
    let mut rows = vec![row(&["asks", "for", "by", "verdict"])];
    for (id, verdict) in board.decisions() {
        let Some(ask) = board.requests.get(&id) else { continue };
        let ask = &ask.value;
        rows.push(row(&[&ask.resource.to_string(), ask.kind.as_str(), &ask.owner, &verdict.to_string()]));
    }
    text = text + "\n" + &format_rows(&rows);
    print(text.trim_end())
}

fn drains(board: &FleetSnapshot, json: bool) -> Result<(), String> {
    let all: Vec<_> = board.leases.iter().filter(|(id, _)| id.kind == ResourceKind::Upstream).collect();
    if json {
        let all: Vec<serde_json::Value> = all
            .iter()
            .map(|(id, l)| {
                let l = &l.value;
                serde_json::json!({"upstream": id.name, "owner": l.owner, "why": l.reason, "for_ms": l.duration_ms, "number": l.fencing_token,
                    "drained": l.drained, "recalled": l.recall_reason, "overrides": l.override_reason, "waits_for": board.pending_confirmations(id)})
            })
            .collect();
        return print(&serde_json::Value::from(all).to_string());
    }
    let mut rows = vec![row(&["upstream", "by", "why", "for", "state", "not confirmed by"])];
    for (id, l) in all {
        let l = &l.value;
        let state = match (&l.recall_reason, l.drained) {
            (Some(why), _) => format!("asked to return: {why}"),
            (None, true) => "drained".into(),
            (None, false) => "draining".into(),
        };
        let span = l.duration_ms.map_or(String::new(), |ms| format!("{} s", ms / 1000));
        rows.push(row(&[
            &id.name,
            &l.owner,
            &l.reason,
            &span,
            &state,
            &board.pending_confirmations(id).join(", "),
        ]));
    }
    print(format_rows(&rows).trim_end())
}
