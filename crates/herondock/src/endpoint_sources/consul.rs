//! Consul's services as sources of members: makes the queries that `discovery::consul::watch` wants, and passes on what
//! it says of their answers.
use super::aggregator::SourceHandle;
use super::client::{ApiRequest, Client};
use super::EndpointSubscriber;
use crate::live_config::LiveConfig;
use config::discovery::{Consistency, ConsulConfig, Datacentres};
use config::operator::Limits;
use discovery::consul::service_list::{EntryMapping, ListKind};
use discovery::consul::watch::{self, NextStep, ResponseHead, Target, Watch, WatchIntervals};
use discovery::endpoint::{EndpointProtocol, SourceUpdate};
use hyper::StatusCode;
use std::collections::BTreeMap;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};

/// How often the catalogue is asked which datacentres there are, and how long it may take.
const DATACENTRES: Duration = Duration::from_secs(60);
const ANSWER: Duration = Duration::from_secs(5);
/// Most datacentres of one service.
const DATACENTRES_MOST: usize = 64;
/// Longest token.
const TOKEN_MOST: u64 = 4096;

/// The file with the token, read again before each query: it is rotated while the program runs.
pub struct AclToken(Option<PathBuf>);

impl AclToken {
    /// The file, if there is one.
    pub fn new(path: Option<PathBuf>) -> AclToken {
        AclToken(path)
    }

    /// The token as it is now.
    ///
    /// # Errors
    /// It can't be read, or is none. A query without it would be answered with what anybody may see.
    pub async fn read(&self) -> Result<Option<String>, String> {
        let Some(path) = self.0.clone() else { return Ok(None) };
        let read = tokio::task::spawn_blocking(move || token(&path));
        read.await.map_err(|e| e.to_string())?.map(Some)
    }
}

fn token(path: &Path) -> Result<String, String> {
    let named = |what: String| format!("token_file: {}: {what}", path.display());
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(|e| named(e.to_string()))?;
    file.take(TOKEN_MOST + 1).read_to_string(&mut text).map_err(|e| named(e.to_string()))?;
    let token = text.trim();
    if token.is_empty() || token.len() as u64 > TOKEN_MOST || !token.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(named("holds no token".into()));
    }
    Ok(token.into())
}

/// Everything that one service needs.
#[derive(Clone)]
pub struct ConsulSource {
    /// Its table of the operator's file.
    pub settings: ConsulConfig,
    /// Bounds of answers.
    pub limits: LiveConfig<Limits>,
}

impl ConsulSource {
    /// The labels of its sources, where the file names its datacentres.
    pub fn labels(&self) -> Vec<String> {
        match &self.settings.datacentres {
            Datacentres::Own => vec![self.label(None)],
            Datacentres::Named(names) => names.iter().map(|name| self.label(Some(name))).collect(),
            Datacentres::All => Vec::new(),
        }
    }

    fn label(&self, datacentre: Option<&str>) -> String {
        match datacentre {
            Some(dc) => format!("consul {}@{dc}", self.settings.name),
            None => format!("consul {}", self.settings.name),
        }
    }

    /// Watches it for ever, in each of its datacentres. `teller` is its one source, or a quiet one of its rank.
    pub async fn run<A: EndpointSubscriber + 'static>(self, teller: SourceHandle<A>) {
        match &self.settings.datacentres {
            Datacentres::Own => self.clone().watch(None, teller).await,
            Datacentres::Named(names) if names.len() == 1 => {
                self.clone().watch(names.first().cloned(), teller).await;
            }
            Datacentres::Named(names) => {
                let begin = |dc: &String| {
                    let teller = teller.add_sibling(&self.label(Some(dc)));
                    tokio::task::spawn_local(self.clone().watch(Some(dc.clone()), teller))
                };
                for watch in names.iter().map(begin).collect::<Vec<_>>() {
                    // They end with the program only.
                    let _ = watch.await;
                }
            }
            Datacentres::All => self.all(teller).await,
        }
    }

    /// Watches each datacentre that the catalogue has ever named: one that it names no longer may be cut off, and its
    /// last list stands as that of a registry in trouble does.
    async fn all<A: EndpointSubscriber + 'static>(&self, teller: SourceHandle<A>) {
        let (mut client, mut watches) =
            (Client::new(self.limits.clone()), BTreeMap::<String, JoinHandle<()>>::new());
        let mut agent = 0;
        loop {
            let pause = match self.datacentres(&mut client, agent).await {
                Ok(names) => {
                    for dc in names {
                        if watches.len() < DATACENTRES_MOST && !watches.contains_key(&dc) {
                            let teller = teller.add_sibling(&self.label(Some(&dc)));
                            let watch = self.clone().watch(Some(dc.clone()), teller);
                            watches.insert(dc, tokio::task::spawn_local(watch));
                        }
                    }
                    DATACENTRES
                }
                Err(why) => {
                    teller.report_unavailable(format!("datacentres: {why}"));
                    agent = (agent + 1) % self.settings.agents.len();
                    self.settings.max_backoff
                }
            };
            sleep(backoff::with_jitter(pause, teller.draw())).await;
        }
    }

    async fn datacentres(&self, client: &mut Client, agent: usize) -> Result<Vec<String>, String> {
        let token = AclToken::new(self.settings.token_file.clone()).read().await?;
        let headers: Vec<_> = token.iter().map(|t| ("x-consul-token", t.as_str())).collect();
        let call = ApiRequest { headers: &headers, ..ApiRequest::get("/v1/catalog/datacenters") };
        let reply = client.send(self.settings.agents[agent], &call, ANSWER).await?;
        match reply.status {
            StatusCode::OK => serde_json::from_slice(&reply.body).map_err(|e| e.to_string()),
            status => Err(format!("answered {status}")),
        }
    }

    /// The watch on one datacentre, and how its entries are read.
    fn begin(&self, datacentre: Option<String>, index: Option<u64>) -> Watch {
        let s = &self.settings;
        let prefix = if s.datacentres == Datacentres::Own { String::new() } else { "datacentre".into() };
        let reading = EntryMapping {
            kind: if s.health { ListKind::Health } else { ListKind::Catalogue },
            datacentre_prefix: prefix,
            name_key: s.meta_keys.name.clone(),
            zone_key: s.meta_keys.zone.clone(),
            kind_key: s.meta_keys.kind.clone(),
            cell_key: s.meta_keys.cell.clone(),
            start_key: s.meta_keys.started.clone(),
            tagged_address: s.tagged_address.clone(),
            protocol: if s.fastcgi { EndpointProtocol::FastCgi } else { EndpointProtocol::Http },
        };
        let target = Target {
            service: s.service.clone(),
            datacentre,
            namespace: s.namespace.clone(),
            partition: s.partition.clone(),
            filter: s.filter.clone(),
            consistency: match s.consistency {
                Consistency::Default => watch::Consistency::Default,
                Consistency::Stale => watch::Consistency::Stale,
                Consistency::Consistent => watch::Consistency::Consistent,
            },
        };
        let figures = WatchIntervals {
            wait: s.wait,
            min_poll_interval: s.min_poll_interval,
            initial_backoff: s.initial_backoff,
            max_backoff: s.max_backoff,
            max_staleness: s.max_staleness,
            regrow_timeout: s.regrow_timeout,
        };
        Watch::new(target, reading, figures, s.agents.len(), index)
    }

    async fn watch<A: EndpointSubscriber>(self, datacentre: Option<String>, teller: SourceHandle<A>) {
        let start = Instant::now();
        let mut watch = self.begin(datacentre, teller.last_index());
        let (mut client, token) =
            (Client::new(self.limits.clone()), AclToken::new(self.settings.token_file.clone()));
        let mut trouble: Option<String> = None;
        loop {
            let ask = match watch.next_step(start.elapsed(), teller.draw()) {
                NextStep::Wait(until) => {
                    sleep_until(start + until).await;
                    continue;
                }
                NextStep::Call(ask) => ask,
            };
            let reply = match token.read().await {
                Ok(token) => {
                    let headers: Vec<_> = token.iter().map(|t| ("x-consul-token", t.as_str())).collect();
                    let call = ApiRequest { headers: &headers, ..ApiRequest::get(&ask.path) };
                    client.send(self.settings.agents[ask.agent], &call, ask.timeout).await
                }
                Err(why) => Err(why),
            };
            let (now, draw) = (start.elapsed(), teller.draw());
            let verdict = match reply {
                Ok(reply) => {
                    let get = |name: &str| reply.headers.get(name)?.to_str().ok();
                    watch.on_response(now, &ResponseHead::new(reply.status.as_u16(), get), &reply.body, draw)
                }
                Err(why) => watch.on_failure(now, &why, draw),
            };
            for fault in &verdict.entry_errors {
                teller.log(&format!("passed over: {fault}"));
            }
            match verdict.update {
                SourceUpdate::Unavailable(why) => {
                    // Said once, and not with each try.
                    if trouble.as_ref() != Some(&why) {
                        teller.log(&format!("no news: {why}"));
                    }
                    teller.report_unavailable(why.clone());
                    trouble = Some(why);
                }
                news => {
                    if trouble.take().is_some() {
                        teller.log("answers again");
                    }
                    teller.publish(news, watch.index());
                }
            }
        }
    }
}
