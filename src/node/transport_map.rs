//! The transport map: discovery's list of endpoints, its form, and the watch that follows it.

use super::reducer::Input;
use crate::interface::Listed;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

/// A watch that has been silent for so long is taken as broken: an empty line is due every 2 s.
const SILENCE: Duration = Duration::from_secs(3);
const DIAL: Duration = Duration::from_secs(1);
/// A line longer than this is no list.
const LONGEST_LINE: usize = 8 << 20;

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// To be used.
    InService,
    /// Nothing new may go there.
    Terminating,
    /// Gone; only among changes.
    Terminated,
}

impl From<State> for Listed {
    fn from(state: State) -> Self {
        match state {
            State::InService => Listed::On,
            State::Terminating => Listed::Draining,
            State::Terminated => Listed::Gone,
        }
    }
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The same at every forwarder, and across restarts.
    pub uid: String,
    /// Where this forwarder reaches it.
    pub endpoint: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// The kind of its destination.
    #[serde(default)]
    pub model: String,
    /// Its destination.
    pub pod_group: u64,
    /// Whether it takes anything new.
    pub state: State,
    /// What its destination takes, in calls a second.
    #[serde(default)]
    pub capacity_hint: f64,
}

/// The whole list, or what has changed in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Version of the list after this news.
    pub rev: u64,
    /// Whether this is the whole list.
    pub all: bool,
    /// The entries.
    pub targets: Vec<Target>,
}

/// The list as it stands.
#[derive(Clone, Debug, Default)]
pub struct TransportMap {
    rev: u64,
    targets: BTreeMap<String, Target>,
}

impl TransportMap {
    /// Takes in news. A target missing from a whole list is gone; one that is gone is not kept.
    pub fn take(&mut self, news: &News) {
        if news.all {
            self.targets.clear();
        }
        for target in &news.targets {
            if target.state == State::Terminated {
                self.targets.remove(&target.uid);
            } else {
                self.targets.insert(target.uid.clone(), target.clone());
            }
        }
        self.rev = news.rev;
    }

    /// Version of the list.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// Endpoints in the list.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether the list names no endpoint.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// An endpoint, unless it is gone.
    pub fn get(&self, uid: &str) -> Option<&Target> {
        self.targets.get(uid)
    }

    /// The whole list as one piece of news.
    pub fn whole(&self) -> News {
        News { rev: self.rev, all: true, targets: self.targets.values().cloned().collect() }
    }
}

/// Why a watch ended.
#[derive(Debug)]
enum WatchError {
    Silent,
    Broken(String),
    Unreadable(String),
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Silent => f.write_str("discovery is silent"),
            WatchError::Broken(why) => write!(f, "the watch broke: {why}"),
            WatchError::Unreadable(why) => write!(f, "discovery sent what is no list: {why}"),
        }
    }
}

fn broken(error: impl fmt::Display) -> WatchError {
    WatchError::Broken(error.to_string())
}

/// One watch on the list; the next has another number.
pub type WatchId = u64;

/// Follows the list from a version on until the watch ends; whoever asked may ask again.
pub async fn follow(number: WatchId, discovery: SocketAddr, since: u64, inputs: UnboundedSender<Input>) {
    let why = match watch(discovery, since, &inputs).await {
        Ok(()) => "it ended".to_owned(),
        Err(error) => error.to_string(),
    };
    // The receiver is gone only when the forwarder ends.
    let _ = inputs.send(Input::MapLost { watch: number, why });
}

async fn watch(discovery: SocketAddr, since: u64, inputs: &UnboundedSender<Input>) -> Result<(), WatchError> {
    let stream = timeout(DIAL, TcpStream::connect(discovery)).await.map_err(|_| WatchError::Silent)?;
    let stream = stream.map_err(broken)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(broken)?;
    let request = Request::get(format!("/v1/servers?follow=1&since={since}"))
        .header(hyper::header::HOST, discovery.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(broken)?;
    let lines = async {
        let answer = timeout(SILENCE, sender.send_request(request)).await.map_err(|_| WatchError::Silent)?;
        let answer = answer.map_err(broken)?;
        if answer.status() != hyper::StatusCode::OK {
            return Err(WatchError::Broken(format!("answered {}", answer.status())));
        }
        let mut body = answer.into_body();
        let mut buffer = Vec::new();
        loop {
            let frame = timeout(SILENCE, body.frame()).await.map_err(|_| WatchError::Silent)?;
            let Some(frame) = frame else { return Ok(()) };
            let Ok(data) = frame.map_err(broken)?.into_data() else { continue };
            buffer.extend_from_slice(&data);
            take_lines(&mut buffer, |news| {
                let _ = inputs.send(Input::News(news));
            })?;
        }
    };
    tokio::select! {
        biased;
        ended = lines => ended,
        ended = connection => ended.map_err(broken),
    }
}

/// Takes the whole lines out of what has come so far.
fn take_lines(buffer: &mut Vec<u8>, mut take: impl FnMut(News)) -> Result<(), WatchError> {
    while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
        let line: Vec<u8> = buffer.drain(..=end).collect();
        if !line.trim_ascii().is_empty() {
            let news = serde_json::from_slice(&line);
            take(news.map_err(|e| WatchError::Unreadable(e.to_string()))?);
        }
    }
    if buffer.len() > LONGEST_LINE {
        return Err(WatchError::Unreadable("a line without an end".to_owned()));
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(rev: u64, all: bool, uid: &str, state: &str) -> String {
        format!(
            "{{\"rev\":{rev},\"all\":{all},\"targets\":[{{\"uid\":\"{uid}\",\"endpoint\":\"127.0.0.1:8000\",\
             \"az\":\"a\",\"model\":\"m\",\"pod_group\":3,\"state\":\"{state}\",\"capacity_hint\":1.0,\
             \"boot_ms\":0}}]}}\n"
        )
    }

    // Guards against news lost or read twice where a chunk ends inside a line, and against the empty lines.
    #[test]
    fn lines_come_whole_however_they_are_cut() {
        let text = line(1, true, "s1", "in_service") + "\n" + &line(2, false, "s2", "terminating");
        let (mut buffer, mut revs) = (Vec::new(), Vec::new());
        for byte in text.bytes() {
            buffer.push(byte);
            take_lines(&mut buffer, |news| revs.push(news.rev)).expect("lists");
        }
        assert_eq!((revs, buffer.len()), (vec![1, 2], 0));
        assert!(take_lines(&mut b"{]\n".to_vec(), |_| ()).is_err());
    }

    // Guards against an endpoint that stays in use though a whole list no longer names it.
    #[test]
    fn what_a_whole_list_leaves_out_is_gone() {
        let news = |text: &str| serde_json::from_str::<News>(text).expect("news");
        let mut map = TransportMap::default();
        map.take(&news(&line(1, true, "s1", "in_service")));
        map.take(&news(&line(2, false, "s2", "in_service")));
        assert!(map.get("s1").is_some() && map.get("s2").is_some());
        map.take(&news(&line(3, true, "s2", "terminating")));
        assert!(map.get("s1").is_none());
        assert_eq!(map.get("s2").map(|t| t.state), Some(State::Terminating));
        map.take(&news(&line(4, false, "s2", "terminated")));
        assert!(map.get("s2").is_none() && map.rev() == 4);
    }
}
