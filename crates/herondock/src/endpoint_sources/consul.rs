//! Services of Consul as sources of endpoints: sends the queries of `discovery::consul::watch` and publishes the updates.
use super::aggregator::SourceHandle;
use super::client::{ApiRequest, ApiResponse, Client, RequestError};
use super::EndpointSubscriber;
use crate::live_config::LiveConfig;
use config::discovery::{Consistency, ConsulConfig, Datacentres};
use config::operator::Limits;
use discovery::consul::service_list::{EntryMapping, ListKind};
use discovery::consul::watch::{self, NextStep, ResponseHead, Watch, WatchIntervals, WatchedService};
use discovery::endpoint::{EndpointProtocol, SourceUpdate};
use hyper::StatusCode;
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};

/// Interval at which the catalogue is queried for the list of datacentres.
const DATACENTRES_INTERVAL: Duration = Duration::from_secs(60);
/// Timeout of the query for the list of datacentres.
const DATACENTRES_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of datacentres in which a service is watched.
const MAX_DATACENTRES: usize = 64;
/// Maximum length of an ACL token, in bytes.
const MAX_TOKEN_BYTES: u64 = 4096;
/// Header that contains the ACL token.
pub const TOKEN_HEADER: &str = "x-consul-token";

/// The ACL token cannot be read.
#[derive(Debug, Error)]
pub enum TokenError {
    /// The file cannot be read.
    #[error("token_file: {}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system.
        source: io::Error,
    },
    /// The content is not a token.
    #[error("token_file: {}: holds no token", .0.display())]
    Invalid(PathBuf),
    /// The reading task failed.
    #[error("{0}")]
    Task(#[from] tokio::task::JoinError),
}

/// A query failed.
#[derive(Debug, Error)]
pub enum QueryError {
    /// The ACL token cannot be read.
    #[error(transparent)]
    Token(#[from] TokenError),
    /// There is no complete response.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The status of the response is not 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// The body is malformed.
    #[error(transparent)]
    Body(#[from] serde_json::Error),
}

/// File that contains the ACL token. It is read before each query, since tokens are rotated while the process runs.
pub struct AclToken(Option<PathBuf>);

impl AclToken {
    /// Creates the token of this file; without a path, no token is sent.
    pub fn new(path: Option<PathBuf>) -> AclToken {
        AclToken(path)
    }

    /// Reads the token; returns `None` if no file is configured.
    ///
    /// # Errors
    /// The file cannot be read or contains no token. A query without it would return an incomplete list.
    pub async fn read(&self) -> Result<Option<String>, TokenError> {
        let Some(path) = self.0.clone() else { return Ok(None) };
        tokio::task::spawn_blocking(move || read_token(path)).await?.map(Some)
    }
}

fn read_token(path: PathBuf) -> Result<String, TokenError> {
    let mut text = String::new();
    let read =
        std::fs::File::open(&path).and_then(|file| file.take(MAX_TOKEN_BYTES + 1).read_to_string(&mut text));
    if let Err(source) = read {
        return Err(TokenError::Unreadable { path, source });
    }
    let token = text.trim();
    let is_valid = !token.is_empty()
        && token.len() as u64 <= MAX_TOKEN_BYTES
        && token.bytes().all(|b| b.is_ascii_graphic());
    if !is_valid {
        return Err(TokenError::Invalid(path));
    }
    Ok(token.into())
}

/// A Consul service as a source of endpoints.
#[derive(Clone)]
pub struct ConsulSource {
    /// Settings of the service in the operator's file.
    pub settings: ConsulConfig,
    /// Limits on responses.
    pub limits: LiveConfig<Limits>,
}

impl ConsulSource {
    /// Labels of the sources, one for each datacentre; empty if the catalogue has to be queried for the datacentres first.
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

    /// Watches the service in each of its datacentres; does not return. `source` is the source of a single datacentre, or a
    /// placeholder of the same rank if there are several.
    pub async fn run<A: EndpointSubscriber + 'static>(self, source: SourceHandle<A>) {
        match &self.settings.datacentres {
            Datacentres::Own => self.clone().watch(None, source).await,
            Datacentres::Named(names) if names.len() == 1 => {
                self.clone().watch(names.first().cloned(), source).await;
            }
            Datacentres::Named(names) => {
                let spawn_watch = |dc: &String| {
                    let source = source.add_sibling(&self.label(Some(dc)));
                    tokio::task::spawn_local(self.clone().watch(Some(dc.clone()), source))
                };
                for watch in names.iter().map(spawn_watch).collect::<Vec<_>>() {
                    // Watches do not return.
                    let _ = watch.await;
                }
            }
            Datacentres::All => self.watch_all(source).await,
        }
    }

    /// Watches each datacentre that the catalogue has listed at any time, up to [`MAX_DATACENTRES`]. A datacentre that is no
    /// longer listed may just be unreachable, so its last endpoint list stays in use.
    async fn watch_all<A: EndpointSubscriber + 'static>(&self, source: SourceHandle<A>) {
        let (mut client, mut watches) =
            (Client::new(self.limits.clone()), BTreeMap::<String, JoinHandle<()>>::new());
        let mut agent = 0;
        loop {
            let delay = match self.datacentres(&mut client, agent).await {
                Ok(names) => {
                    for dc in names {
                        if watches.len() < MAX_DATACENTRES && !watches.contains_key(&dc) {
                            let source = source.add_sibling(&self.label(Some(&dc)));
                            let watch = self.clone().watch(Some(dc.clone()), source);
                            watches.insert(dc, tokio::task::spawn_local(watch));
                        }
                    }
                    DATACENTRES_INTERVAL
                }
                Err(error) => {
                    source.report_unavailable(format!("datacentres: {error}"));
                    agent = (agent + 1) % self.settings.agents.len();
                    self.settings.max_backoff
                }
            };
            sleep(backoff::with_jitter(delay, source.draw())).await;
        }
    }

    async fn datacentres(&self, client: &mut Client, agent: usize) -> Result<Vec<String>, QueryError> {
        let token = AclToken::new(self.settings.token_file.clone());
        let path = "/v1/catalog/datacenters";
        let response = self.query(client, &token, agent, path, DATACENTRES_TIMEOUT).await?;
        match response.status {
            StatusCode::OK => Ok(serde_json::from_slice(&response.body)?),
            status => Err(QueryError::Status(status)),
        }
    }

    /// Sends a query with the ACL token to one of the agents.
    async fn query(
        &self,
        client: &mut Client,
        token: &AclToken,
        agent: usize,
        path: &str,
        timeout: Duration,
    ) -> Result<ApiResponse, QueryError> {
        let token = token.read().await?;
        let headers: Vec<_> = token.iter().map(|token| (TOKEN_HEADER, token.as_str())).collect();
        let request = ApiRequest { headers: &headers, ..ApiRequest::get(path) };
        Ok(client.send(self.settings.agents[agent], &request, timeout).await?)
    }

    /// Creates the watch of one datacentre. `index` is that of the last known list, if there is one.
    fn new_watch(&self, datacentre: Option<String>, index: Option<u64>) -> Watch {
        let settings = &self.settings;
        let prefix =
            if settings.datacentres == Datacentres::Own { String::new() } else { "datacentre".into() };
        let mapping = EntryMapping {
            kind: if settings.health { ListKind::Health } else { ListKind::Catalogue },
            datacentre_prefix: prefix,
            name_key: settings.meta_keys.name.clone(),
            zone_key: settings.meta_keys.zone.clone(),
            kind_key: settings.meta_keys.kind.clone(),
            cell_key: settings.meta_keys.cell.clone(),
            start_key: settings.meta_keys.started.clone(),
            tagged_address: settings.tagged_address.clone(),
            protocol: if settings.fastcgi { EndpointProtocol::FastCgi } else { EndpointProtocol::Http },
        };
        let target = WatchedService {
            service: settings.service.clone(),
            datacentre,
            namespace: settings.namespace.clone(),
            partition: settings.partition.clone(),
            filter: settings.filter.clone(),
            consistency: match settings.consistency {
                Consistency::Default => watch::Consistency::Default,
                Consistency::Stale => watch::Consistency::Stale,
                Consistency::Consistent => watch::Consistency::Consistent,
            },
        };
        let intervals = WatchIntervals {
            max_wait: settings.wait,
            min_poll_interval: settings.min_poll_interval,
            initial_backoff: settings.initial_backoff,
            max_backoff: settings.max_backoff,
            max_staleness: settings.max_staleness,
            regrow_timeout: settings.regrow_timeout,
        };
        Watch::new(target, mapping, intervals, settings.agents.len(), index)
    }

    async fn watch<A: EndpointSubscriber>(self, datacentre: Option<String>, source: SourceHandle<A>) {
        let start = Instant::now();
        let mut watch = self.new_watch(datacentre, source.last_index());
        let (mut client, token) =
            (Client::new(self.limits.clone()), AclToken::new(self.settings.token_file.clone()));
        let mut last_error: Option<String> = None;
        loop {
            let request = match watch.next_step(start.elapsed(), source.draw()) {
                NextStep::Wait(until) => {
                    sleep_until(start + until).await;
                    continue;
                }
                NextStep::Call(request) => request,
            };
            let response =
                self.query(&mut client, &token, request.agent, &request.path, request.timeout).await;
            let (now, draw) = (start.elapsed(), source.draw());
            let outcome = match response {
                Ok(response) => {
                    let get = |name: &str| response.headers.get(name)?.to_str().ok();
                    watch.on_response(
                        now,
                        &ResponseHead::new(response.status.as_u16(), get),
                        &response.body,
                        draw,
                    )
                }
                Err(error) => watch.on_failure(now, &error.to_string(), draw),
            };
            for error in &outcome.entry_errors {
                source.log(&format!("ignored an invalid entry: {error}"));
            }
            match outcome.update {
                SourceUpdate::Unavailable(reason) => {
                    // Logged once, not for each retry.
                    if last_error.as_ref() != Some(&reason) {
                        source.log(&format!("no update, the last endpoint list stays in use: {reason}"));
                    }
                    source.report_unavailable(reason.clone());
                    last_error = Some(reason);
                }
                update => {
                    if last_error.take().is_some() {
                        source.log("updates are received again");
                    }
                    source.publish(update, watch.index());
                }
            }
        }
    }
}
