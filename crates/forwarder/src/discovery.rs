//! The watch that follows discovery's list of endpoints.

use crate::catalogue::UpdateSender;
use crate::list_reader::ListReader;
use crate::retry_after;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use orchidyoke_core::endpoint_list::ListError;
use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// A watch from which no byte has come for so long is taken as broken: an empty line is due every 2 s.
const SILENCE: Duration = Duration::from_secs(3);
/// So is one from which nothing whole has come for so long, however its bytes dribble: 6 s after it had something to tell
/// that binds, and another has to bring it.
const NOTHING_WHOLE: Duration = Duration::from_millis(4_500);
/// A dial to the agent on the forwarder's own machine is up at once; one that hangs leaves time for another.
const DIAL: Duration = Duration::from_secs(1);
/// Unless a large list is coming: at this many bytes a second or more it may go on. Asked for once more it would come no
/// sooner, and one that is cut off each time never comes. Ordinary lists of 100,000 entries gain 8 s by it.
const LEAST_RATE: usize = 2 << 20;

/// How a watch ended.
#[derive(Debug)]
pub struct WatchEnd {
    /// Why, for the log.
    pub reason: String,
    /// How many milliseconds discovery says to wait; 0 where it says nothing.
    pub retry_after_ms: u64,
    /// How long ago it last said something whole, or was asked.
    pub silence: Duration,
}

/// Why a watch ended.
#[derive(Debug)]
enum WatchError {
    Silent,
    Broken(String),
    /// Its status, and how many milliseconds it says to wait.
    Refused(StatusCode, u64),
    Unreadable(ListError),
    /// It ended after so many bytes of a list.
    CutOff(usize),
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Silent => f.write_str("discovery is silent"),
            WatchError::Broken(why) => write!(f, "the watch broke: {why}"),
            WatchError::Refused(status, 0) => write!(f, "discovery answered {status}"),
            WatchError::Refused(status, wait) => {
                write!(f, "discovery answered {status}, and to wait {wait} ms")
            }
            WatchError::Unreadable(why) => write!(f, "discovery sent what is no list: {why}"),
            WatchError::CutOff(bytes) => write!(f, "it ended in the middle of a list, after {bytes} bytes"),
        }
    }
}

fn broken(error: impl fmt::Display) -> WatchError {
    WatchError::Broken(error.to_string())
}

/// Follows the list from a version on until the watch ends; whoever asked may ask again.
pub async fn follow(discovery: SocketAddr, since: u64, updates: UpdateSender) -> WatchEnd {
    let heard = Cell::new(Instant::now());
    let ended = watch(discovery, since, &updates, &heard).await;
    let unheard = heard.get().elapsed();
    match ended {
        Ok(()) => WatchEnd { reason: "it ended".to_owned(), retry_after_ms: 0, silence: unheard },
        Err(error) => {
            let wait_ms = if let WatchError::Refused(_, wait) = error { wait } else { 0 };
            WatchEnd { reason: error.to_string(), retry_after_ms: wait_ms, silence: unheard }
        }
    }
}

async fn watch(
    discovery: SocketAddr,
    since: u64,
    updates: &UpdateSender,
    heard: &Cell<Instant>,
) -> Result<(), WatchError> {
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
        if answer.status() != StatusCode::OK {
            let wait = retry_after::retry_after_ms(answer.headers(), SystemTime::now());
            return Err(WatchError::Refused(answer.status(), wait));
        }
        let mut body = answer.into_body();
        let mut lists = ListReader::default();
        loop {
            let due = (Instant::now() + SILENCE).min(heard.get() + time_for(lists.unfinished_bytes()));
            let frame = timeout_at(due, body.frame()).await.map_err(|_| WatchError::Silent)?;
            let Some(frame) = frame else { return ended_with(lists.unfinished_bytes()) };
            let Ok(data) = frame.map_err(broken)?.into_data() else { continue };
            let came_whole = lists.read_frame(&data, |news| updates.send(news));
            if came_whole.map_err(WatchError::Unreadable)? {
                heard.set(Instant::now());
            }
        }
    };
    tokio::pin!(lines);
    tokio::select! {
        biased;
        ended = &mut lines => ended,
        // It may close in the moment in which its answer comes: what that says still counts.
        _ = connection => lines.await,
    }
}

/// How long it may be until the next thing comes whole, with so many bytes of a list there.
fn time_for(unfinished_bytes: usize) -> Duration {
    NOTHING_WHOLE + Duration::from_secs_f64(unfinished_bytes as f64 / LEAST_RATE as f64)
}

/// The end of a watch with so many bytes of a list there.
fn ended_with(unfinished_bytes: usize) -> Result<(), WatchError> {
    if unfinished_bytes > 0 { Err(WatchError::CutOff(unfinished_bytes)) } else { Ok(()) }
}
