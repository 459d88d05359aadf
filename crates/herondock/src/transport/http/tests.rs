use super::*;
use crate::descriptor_budget::DescriptorBudget;
use crate::exchange::{DrainGate, Fields, Method, Upstream};
use crate::live_config::LiveConfig;
use crate::transport::connection_pool::ConnectionSettings;
use config::operator::Limits;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use tokio::task::LocalSet;

fn upstream(sockets: DescriptorBudget, addr: SocketAddr) -> Rc<Peer<Http>> {
    let limits = LiveConfig::new(Limits::default());
    let (dial_timeout, idle_close) = (Duration::from_secs(5), Duration::from_secs(60));
    Peer::new(ConnectionSettings { dial_timeout, idle_close, descriptors: sockets, limits }, Http, addr)
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
        finished: Cell::new(false),
    };
    let until = Instant::now() + Duration::from_secs(5);
    let (gate, hop) = (Rc::new(DrainGate::default()), None);
    Attempt { request: Rc::new(request), gate, deadline: until, dedup_deadline: None, budget_grant: hop }
}

fn alone(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against a repeat that is written when repeats are not dropped any more: it was chosen before, and its connection came
/// up after.
#[test]
fn nothing_is_repeated_after_the_window() {
    alone(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let upstream = upstream(DescriptorBudget::new(64), listener.local_addr().expect("an address"));
        let late = Attempt { dedup_deadline: Some(Instant::now()), ..attempt() };
        let (ending, answer) = upstream.attempt(late).await;
        assert!(ending == balancer::Ending::Moot && answer.is_none(), "{ending:?}");
        let (stream, _) = listener.accept().expect("a connection");
        stream.set_nonblocking(true).expect("sets");
        assert!(!matches!(stream.peek(&mut [0]), Ok(1)), "written");
    });
}

/// Guards against requests written to a connection of which the system knows, and the runtime not yet, that
/// it is closed or holds more than the last answer: nothing between that and the next request yields.
#[test]
fn a_connection_with_something_unread_is_not_used_again() {
    alone(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let rested = |extra: Option<&'static [u8]>| {
            let listener = listener.try_clone().expect("a listener");
            async move {
                let until = Instant::now() + Duration::from_secs(5);
                let upstream = upstream(DescriptorBudget::new(64), addr);
                let mut conn = dial(&upstream, until).await.expect("connects");
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
        assert!(rested(Some(b"")).await, "one that rests is used");
        assert!(!rested(Some(b"x")).await, "one with noise is not");
        assert!(!rested(None).await, "nor one that is closed");
    });
}

/// Guards against blaming an upstream for our own want of descriptors: nothing was tried.
#[test]
fn a_shortage_of_our_own_is_no_failure_of_the_upstream() {
    alone(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let sockets = DescriptorBudget::new(64);
        let all: Vec<_> = std::iter::from_fn(|| sockets.try_upstream()).collect();
        let to = upstream(sockets, listener.local_addr().expect("an address"));
        let attempt = attempt();
        let (ending, _) = to.attempt(attempt).await;
        assert_eq!(ending, Ending::Moot);
        drop(all);
        listener.set_nonblocking(true).expect("a listener");
        let nobody = listener.accept().map(|(mut s, _)| s.read(&mut [0]));
        assert!(nobody.is_err(), "nothing was connected");
    });
}
