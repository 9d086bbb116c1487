//! Starts a sidecar for a fake target, and a client that acts as an entry.

#![allow(dead_code)]

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use coord::time::Millis;
use fakes::engine;
use fakes::engine::Engine;
use fakes::tool;
use fakes::tool::Tool;
use serde_json::Value;
use serde_json::json;
use sidecar::daemon::Daemon;
use sidecar::settings::Kind;
use sidecar::settings::Limits;
use sidecar::settings::Listen;
use sidecar::settings::Settings;
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::Streaming;
use tonic::transport::Channel;
use wire::CancelReply;
use wire::CancelRequest;
use wire::DispatchFrame;
use wire::DispatchMessage;
use wire::Generate;
use wire::Header;
use wire::Plain;
use wire::Start;
use wire::cancel_reply;
use wire::dispatch_frame::Frame;
use wire::dispatch_message::Message;
use wire::start::Work;
use wire::target_client::TargetClient;

pub const TIMEOUT: Duration = Duration::from_secs(20);

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn settings(target: SocketAddr, kind: Kind) -> Settings {
    Settings {
        target: "target-1".parse().unwrap(),
        data_centre: "garching-1".parse().unwrap(),
        listen: Listen {
            peers: loopback(),
            admin: loopback(),
        },
        url: format!("http://{target}"),
        kind,
        platform: None,
        weights: None,
        fenced: true,
        operators: Vec::new(),
        limits: Limits {
            slots: 4,
            queue: 64,
            silence_ms: Millis(2_000),
            drain_ms: Millis(10_000),
            ..Limits::default()
        },
        policy: Default::default(),
        log_level: Default::default(),
    }
}

pub async fn engine(settings: engine::Settings) -> Engine {
    Engine::start(settings).await.unwrap()
}

pub async fn tool(settings: tool::Settings) -> Tool {
    Tool::start(settings).await.unwrap()
}

pub async fn sidecar_for_engine(engine: &Engine) -> (Daemon, Client) {
    sidecar(settings(engine.address, Kind::Engine)).await
}

pub async fn sidecar_for_tool(tool: &Tool) -> (Daemon, Client) {
    sidecar(settings(tool.address, Kind::Plain)).await
}

pub async fn sidecar(settings: Settings) -> (Daemon, Client) {
    let daemon = Daemon::start(settings).await.unwrap();
    let client = Client::connect(daemon.peers()).await;
    (daemon, client)
}

/// Collected frames of one dispatch.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub started: bool,
    pub status: u32,
    pub headers: Vec<Header>,
    pub text: String,
    /// Last frame: done, refused or crashed.
    pub end: Option<Frame>,
}

impl Answer {
    pub fn is_done(&self) -> bool {
        matches!(self.end, Some(Frame::Done(_)))
    }

    pub fn done(&self) -> &wire::Done {
        match &self.end {
            Some(Frame::Done(done)) => done,
            other => panic!("not done: {other:?}"),
        }
    }

    pub fn refusal(&self) -> &wire::Refusal {
        match &self.end {
            Some(Frame::Refusal(refusal)) => refusal,
            other => panic!("not refused: {other:?}"),
        }
    }

    pub fn crashed(&self) -> &wire::Crashed {
        match &self.end {
            Some(Frame::Crashed(crashed)) => crashed,
            other => panic!("not crashed: {other:?}"),
        }
    }
}

/// A dispatch that hasn't ended.
pub struct PendingDispatch {
    pub messages: mpsc::UnboundedSender<DispatchMessage>,
    pub frames: Streaming<DispatchFrame>,
}

impl PendingDispatch {
    pub fn send(&self, message: Message) {
        let message = Some(message);
        self.messages.send(DispatchMessage { message }).unwrap();
    }

    pub async fn next(&mut self) -> Option<DispatchFrame> {
        let next = tokio::time::timeout(TIMEOUT, self.frames.message()).await;
        next.expect("a frame in time").unwrap_or_default()
    }

    pub async fn wait_until_started(&mut self) {
        let first = self.next().await.and_then(|frame| frame.frame);
        assert!(matches!(first, Some(Frame::Started(_))), "{first:?}");
    }

    pub async fn answer(mut self) -> Answer {
        let mut answer = Answer::default();
        while let Some(frame) = self.next().await {
            match frame.frame {
                Some(Frame::Started(_)) => answer.started = true,
                Some(Frame::Head(head)) => {
                    answer.status = head.status;
                    answer.headers = head.headers;
                }
                Some(Frame::Chunk(chunk)) => {
                    answer.text.push_str(std::str::from_utf8(&chunk).unwrap());
                }
                end => answer.end = end,
            }
        }
        answer
    }
}

/// Client of a sidecar, in the role of an entry.
#[derive(Clone)]
pub struct Client(pub TargetClient<Channel>);

impl Client {
    pub async fn connect(address: SocketAddr) -> Client {
        let client = TargetClient::connect(format!("http://{address}")).await;
        let client = client
            .unwrap()
            .max_decoding_message_size(wire::MESSAGE_LIMIT);
        Client(client.max_encoding_message_size(wire::MESSAGE_LIMIT))
    }

    pub async fn begin(&self, start: Start) -> PendingDispatch {
        let (messages, receiver) = mpsc::unbounded_channel();
        let message = Some(Message::Start(start));
        messages.send(DispatchMessage { message }).unwrap();
        let stream = UnboundedReceiverStream::new(receiver);
        let frames = self.0.clone().dispatch(stream).await.unwrap().into_inner();
        PendingDispatch { messages, frames }
    }

    pub async fn run(&self, start: Start) -> Answer {
        self.begin(start).await.answer().await
    }

    pub async fn cancel(&self, attempt: &str, epoch: u64) -> CancelReply {
        let request = CancelRequest {
            attempt: attempt.to_owned(),
            node: "entry-1".to_owned(),
            shard: 1,
            epoch,
            keep_ms: 1_000,
        };
        self.0.clone().cancel(request).await.unwrap().into_inner()
    }

    /// Cancels an attempt under epoch 1; returns the state that the sidecar reports for it.
    pub async fn cancelled(&self, attempt: &str) -> cancel_reply::State {
        self.cancel(attempt, 1).await.state()
    }

    pub async fn lease(&self, program: &str, hold_ms: u64) -> Vec<String> {
        let lease = wire::CacheLease {
            program: program.to_owned(),
            shard: 1,
            epoch: 1,
            hold_ms,
        };
        let request = wire::CacheRequest {
            node: "entry-1".to_owned(),
            leases: vec![lease],
        };
        let reply = self.0.clone().cache(request).await.unwrap();
        reply.into_inner().released
    }
}

pub fn messages(content: &str) -> Value {
    json!([{ "role": "user", "content": content }])
}

pub fn start(attempt: &str, work: Work) -> Start {
    Start {
        attempt: attempt.to_owned(),
        node: "entry-1".to_owned(),
        shard: 1,
        epoch: 1,
        customer: "office".to_owned(),
        weight: 1,
        fingerprint: coord::id::fingerprint(&[attempt.as_bytes()]),
        start_by_ms: 15_000,
        deadline_ms: 20_000,
        work: Some(work),
        ..Start::default()
    }
}

pub fn generate(attempt: &str, content: &str) -> Start {
    let work = Generate {
        model: "m1".to_owned(),
        messages: messages(content).to_string().into_bytes().into(),
        max_tokens: 64,
        keep: true,
    };
    Start {
        prompt_tokens: 20,
        ..start(attempt, Work::Generate(work))
    }
}

pub fn turn(attempt: &str, program: &str, content: &str) -> Start {
    Start {
        program: program.to_owned(),
        ..generate(attempt, content)
    }
}

pub fn plain(attempt: &str, method: &str, path: &str, body: &str) -> Start {
    let work = Plain {
        route: "fees".to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        body: body.as_bytes().to_vec().into(),
        ..Plain::default()
    };
    start(attempt, Work::Plain(work))
}

/// Whole answer of the fake engine to one message.
pub fn text(content: &str) -> String {
    fakes::generation::text(&messages(content), 64)
}

/// Polls a condition until it holds; panics with `expected` after `TIMEOUT`.
pub async fn eventually<F: Future<Output = bool>>(expected: &str, mut holds: impl FnMut() -> F) {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while !holds().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out: {expected}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
