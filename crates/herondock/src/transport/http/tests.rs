use super::*;
use crate::descriptor_budget::DescriptorBudget;
use crate::exchange::{DrainGate, Fields, Method, Upstream};
use crate::live_config::LiveConfig;
use crate::memory_budget::MemoryBudget;
use crate::transport::connection_pool::ConnectionSettings;
use config::operator::Limits;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use tokio::task::LocalSet;

fn upstream(sockets: DescriptorBudget, addr: SocketAddr) -> Rc<Peer<Http>> {
    let (limits, memory) = (LiveConfig::new(Limits::default()), MemoryBudget::new(None));
    let (dial_timeout, upstream_idle_timeout) = (Duration::from_secs(5), Duration::from_secs(60));
    Peer::new(
        ConnectionSettings { dial_timeout, upstream_idle_timeout, descriptors: sockets, memory, limits },
        Http,
        addr,
    )
}

fn attempt() -> Attempt {
    let request = crate::exchange::Request {
        id: None,
        method: Method::Get,
        target: "/api".into(),
        fields: Fields::default(),
        body: Bytes::new(),
        budget: None,
        max_attempts: None,
        client: None,
        group_uncertain: Cell::new(false),
        finished: Cell::new(false),
    };
    let timeout_at = Instant::now() + Duration::from_secs(5);
    let (gate, no_grant) = (Rc::new(DrainGate::default()), None);
    Attempt {
        request: Rc::new(request),
        gate,
        deadline: timeout_at,
        dedup_deadline: None,
        within_group: false,
        is_repeatable: true,
        budget_grant: no_grant,
    }
}

fn run_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against a retry that is written after upstreams have stopped discarding duplicates. This happens when the
/// retry is decided on before that time and its connection is established after it.
#[test]
fn no_retry_is_written_after_the_dedup_window() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let upstream =
            upstream(DescriptorBudget::new(64, usize::MAX), listener.local_addr().expect("an address"));
        let late = Attempt { dedup_deadline: Some(Instant::now()), ..attempt() };
        let (ending, answer) = upstream.attempt(late).await;
        assert!(ending == balancer::AttemptOutcome::NotSent && answer.is_none(), "{ending:?}");
        let (stream, _) = listener.accept().expect("a connection");
        stream.set_nonblocking(true).expect("sets");
        assert!(!matches!(stream.peek(&mut [0]), Ok(1)), "written");
    });
}

/// Guards against requests that are written to a connection that is closed or holds surplus bytes after the last
/// answer, when the operating system knows this and the runtime does not yet: the task does not yield between the
/// last answer and the next request.
#[test]
fn a_connection_with_unread_bytes_is_not_reused() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let is_reused = |extra: Option<&'static [u8]>| {
            let listener = listener.try_clone().expect("a listener");
            async move {
                let deadline = Instant::now() + Duration::from_secs(5);
                let upstream = upstream(DescriptorBudget::new(64, usize::MAX), addr);
                let mut conn = dial(&upstream, deadline).await.expect("connects");
                let (mut peer, _) = listener.accept().expect("accepts");
                conn.sender.ready().await.expect("it is open");
                upstream.return_idle(conn, 0, &attempt().gate);
                match extra {
                    Some(extra) => peer.write_all(extra).expect("writes"),
                    None => drop(peer.shutdown(std::net::Shutdown::Both)),
                }
                let taken = upstream.take_idle().is_some();
                drop(peer);
                taken
            }
        };
        assert!(is_reused(Some(b"")).await, "an idle connection is reused");
        assert!(!is_reused(Some(b"x")).await, "a connection with surplus bytes is not reused");
        assert!(!is_reused(None).await, "a closed connection is not reused");
    });
}

/// Guards against blaming an upstream for a shortage of descriptors in this process: no connection was attempted.
#[test]
fn a_local_descriptor_shortage_is_no_failure_of_the_upstream() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let sockets = DescriptorBudget::new(64, usize::MAX);
        let all_permits: Vec<_> = std::iter::from_fn(|| sockets.try_upstream()).collect();
        let upstream = upstream(sockets, listener.local_addr().expect("an address"));
        let attempt = attempt();
        let (ending, _) = upstream.attempt(attempt).await;
        assert_eq!(ending, AttemptOutcome::NotSent);
        drop(all_permits);
        listener.set_nonblocking(true).expect("a listener");
        let accepted = listener.accept().map(|(mut s, _)| s.read(&mut [0]));
        assert!(accepted.is_err(), "nothing was connected");
    });
}
