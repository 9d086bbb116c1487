//! Bad input over real connections: a clear error or a closed connection, bounded memory, and
//! others served meanwhile.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use holds::caller::Answer;
use holds::caller::Caller;
use holds::fleet::Fleet;
use holds::fleet::MODEL;
use holds::fleet::Plan;
use holds::object::presented;
use http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Largest body in these tests, in bytes.
const BODY_LIMIT: usize = 64 * 1024;

/// Time that a request may take in these tests.
const REQUEST_LIMIT: Duration = Duration::from_secs(2);

/// After which an unfinished head's connection is closed: the server's 30 s and some slack.
const HEAD_LIMIT: Duration = Duration::from_secs(45);

/// Within which a refusal that needs no waiting is there, also on a busy machine.
const PROMPT: Duration = Duration::from_secs(10);

/// Pause of a slow client between two bytes.
const DRIP: Duration = Duration::from_millis(300);

/// Memory that a connection may cost an entry, beside what its bodies and heads hold, in kB.
const CONNECTION_KB: u64 = 64;

/// Memory that an entry may gain by serving itself, in kB.
const SERVING_KB: u64 = 32 * 1024;

/// Largest head that a server buffers, in kB.
const HEAD_KB: u64 = 1024;

/// What a client does after it has sent its bytes.
#[derive(Debug, Clone, Copy)]
enum Then {
    Wait,
    /// Closes its half of the connection.
    Close,
    /// Sends a byte now and then.
    Drip,
}

/// What came back on a connection.
#[derive(Debug)]
struct Reply {
    status: u16,
    body: Value,
    /// Whether a whole answer came or the server closed before the time was up.
    ended: bool,
    took: Duration,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_makes_no_sense_is_refused_as_not_run_with_its_reason() -> eyre::Result<()> {
    let fleet = start().await?;
    let caller = fleet.caller(0, "large");
    let chat = "/v1/chat/completions";
    let sound = chat_body("hello");
    let unknown = json!({ "model": "none", "messages": [{ "role": "user", "content": "x" }] });
    let bodies = [
        ("{", "bad-request", 400),
        ("", "bad-request", 400),
        ("[]", "bad-request", 400),
        ("\u{0}\u{1}", "bad-request", 400),
        (r#"{"model":"small"}"#, "bad-request", 400),
        (r#"{"model":"small","messages":[]}"#, "bad-request", 400),
        (r#"{"model":"small","messages":[1]}"#, "bad-request", 400),
        (
            r#"{"model":7,"messages":[{"role":"user"}]}"#,
            "bad-request",
            400,
        ),
        (&unknown.to_string(), "not-found", 404),
    ];
    for (body, code, status) in bodies {
        let answer = caller.call(Method::POST, chat, body.to_owned()).await;
        refused(&answer, code, status, body);
    }
    let deep = "[".repeat(BODY_LIMIT / 2);
    refused(
        &caller.call(Method::POST, chat, deep).await,
        "bad-request",
        400,
        "deep",
    );
    let keys = [
        "",
        "x",
        "tk..",
        "tk.large-key",
        "tk.large-key.",
        "tk.none.0000",
        "tk.large-key.wrong",
        &"k".repeat(8 * 1024),
    ];
    for key in keys {
        let other = Caller::new(fleet.http.clone(), caller.entry, key);
        let answer = other.call(Method::POST, chat, sound.clone()).await;
        refused(&answer, "unauthorized", 401, key);
    }
    for step in ["0", "-1", "x", "99999999999999999999"] {
        let odd = caller
            .with("teasellever-program", "p-1")
            .with("teasellever-step", step);
        refused(&odd.chat("x", 5).await, "bad-request", 400, step);
    }
    let route = caller.plain("none", "r-1", "{}").await;
    refused(&route, "not-found", 404, "unknown route");
    let large = "x".repeat(BODY_LIMIT + 1);
    for path in [chat, "/v1/programs", "/r/book/do/it"] {
        let answer = caller.call(Method::POST, path, large.clone()).await;
        refused(&answer, "too-large", 413, path);
        let stranger = Caller::new(fleet.http.clone(), caller.entry, "tk.none.0000");
        let answer = stranger.call(Method::POST, path, large.clone()).await;
        refused(&answer, "unauthorized", 401, path);
    }
    assert!(caller.chat("after all that", 5).await.ok());
    let ran = fleet.stats(fleet.tools[0].url).await?;
    assert_eq!(ran["counts"]["list"], json!([]), "{ran}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_over_the_limit_is_refused_however_its_length_is_told() -> eyre::Result<()> {
    let fleet = start().await?;
    let entry = fleet.entries[0].callers;
    let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
    let chunked = head("/v1/chat/completions", "transfer-encoding: chunked\r\n");
    let announced = head("/v1/chat/completions", "content-length: 9000000000\r\n");
    let both = format!(
        "{chunked}{}0\r\n\r\n",
        chunk.repeat(BODY_LIMIT / 0x1000 + 1)
    );
    for request in [both, announced] {
        let reply = send(entry, request.as_bytes(), Then::Wait, PROMPT).await?;
        assert_eq!(
            (reply.status, &reply.body["code"]),
            (413, &json!("too-large")),
            "{reply:?}"
        );
        assert_eq!(reply.body["ran"], "no", "{reply:?}");
    }
    let odd = [
        "content-length: x\r\n",
        "content-length: -1\r\n",
        "content-length: 5\r\ncontent-length: 6\r\n",
    ];
    for length in odd {
        let request = head("/v1/chat/completions", length);
        let reply = send(entry, request.as_bytes(), Then::Wait, PROMPT).await?;
        assert!(reply.ended && reply.status == 400, "{length}: {reply:?}");
    }
    let lie = head("/v1/chat/completions", "transfer-encoding: chunked\r\n") + "zz\r\n";
    let reply = send(entry, lie.as_bytes(), Then::Wait, PROMPT).await?;
    assert!(reply.ended && reply.status == 400, "{reply:?}");
    assert!(fleet.caller(0, "small").chat("next", 5).await.ok());
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_path_or_method_that_does_not_exist_is_refused_as_json() -> eyre::Result<()> {
    let fleet = start().await?;
    let caller = fleet.caller(0, "large");
    let wrong = [
        (Method::DELETE, "/v1/chat/completions", 405),
        (Method::GET, "/v1/programs", 405),
        (Method::TRACE, "/r/book/x", 405),
        (Method::GET, "/nothing", 404),
        (Method::GET, "/v1/programs/a/b/c", 404),
    ];
    for (method, path, status) in wrong {
        let answer = caller.call(method, path, "").await;
        assert_eq!(answer.status, status, "{path}: {answer:?}");
        assert!(answer.body["message"].is_string(), "{path}: {answer:?}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slow_and_half_closed_clients_end_in_time_while_others_are_served() -> eyre::Result<()> {
    const SLOW: usize = 40;
    let fleet = start().await?;
    let entry = fleet.entries[0].callers;
    let slow_body = head("/v1/chat/completions", "content-length: 1000\r\n");
    let slow_head = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nx-slow: ".to_owned();
    let heads =
        join_all((0..SLOW).map(|_| send(entry, slow_head.as_bytes(), Then::Drip, HEAD_LIMIT)));
    let bodies = join_all((0..SLOW).map(|_| send(entry, slow_body.as_bytes(), Then::Drip, PROMPT)));
    let halves = async {
        let unfinished = format!("{slow_body}{{");
        let whole = chat_body("half");
        let whole = head(
            "/v1/chat/completions",
            &format!("content-length: {}\r\n", whole.len()),
        ) + &whole;
        let mut replies = Vec::new();
        for request in [&slow_head, &unfinished, &whole] {
            replies.push(send(entry, request.as_bytes(), Then::Close, PROMPT).await?);
        }
        eyre::Ok(replies)
    };
    let others = served(&fleet, Duration::from_secs(5));
    let (heads, bodies, halves, others) = tokio::join!(heads, bodies, halves, others);
    others?;
    for reply in heads {
        let reply = reply?;
        assert!(
            reply.ended && reply.took < HEAD_LIMIT,
            "slow head: {reply:?}"
        );
    }
    for reply in bodies {
        let reply = reply?;
        assert_eq!(
            (&reply.body["code"], &reply.body["ran"]),
            (&json!("deadline"), &json!("no")),
            "{reply:?}"
        );
    }
    for reply in halves? {
        eprintln!("half-closed: {reply:?}");
        assert!(reply.ended, "half-closed: {reply:?}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn floods_of_headers_and_connections_cost_bounded_memory() -> eyre::Result<()> {
    const IDLE: usize = 400;
    const FLOODS: usize = 32;
    let mut fleet = start().await?;
    let entry = fleet.entries[0].callers;
    served(&fleet, Duration::from_secs(1)).await?;
    let before = memory_kb(fleet.entries[0].process.id(), "VmRSS:")?;
    let idle = join_all((0..IDLE).map(|_| TcpStream::connect(entry))).await;
    let idle: Vec<TcpStream> = idle.into_iter().collect::<Result<_, _>>()?;
    let many: String = (0..5_000)
        .map(|number| format!("x-{number}: y\r\n"))
        .collect();
    let large = format!("x-large: {}\r\n", "y".repeat(4 * 1024 * 1024));
    for flood in [&many, &large] {
        let request = head("/v1/models", flood);
        let replies = (0..FLOODS).map(|_| send(entry, request.as_bytes(), Then::Wait, PROMPT));
        let (replies, others) = tokio::join!(join_all(replies), served(&fleet, REQUEST_LIMIT));
        others?;
        for reply in replies {
            // A server that closes while a client still writes may reset the connection.
            let reply = reply?;
            assert!(reply.ended && matches!(reply.status, 0 | 431), "{reply:?}");
        }
    }
    let partial = head("/v1/chat/completions", "content-length: 60000\r\n") + &"x".repeat(59_000);
    let partial = (0..FLOODS).map(|_| send(entry, partial.as_bytes(), Then::Wait, PROMPT));
    for reply in join_all(partial).await {
        assert_eq!(reply?.body["code"], "deadline");
    }
    let most = memory_kb(fleet.entries[0].process.id(), "VmHWM:")?;
    let connections = (IDLE + 3 * FLOODS) as u64;
    let bodies = FLOODS as u64 * (HEAD_KB + BODY_LIMIT as u64 / 1024);
    let bound = before + SERVING_KB + connections * CONNECTION_KB + bodies;
    eprintln!("resident {before} kB before, {most} kB at most, bound {bound} kB");
    assert!(most < bound, "{most} kB from {before} kB");
    served(&fleet, Duration::from_secs(1)).await?;
    drop(idle);
    assert!(fleet.entries[0].process.running());
    Ok(())
}

async fn start() -> eyre::Result<Fleet> {
    let plan = Plan {
        engines: 1,
        tools: 1,
        entry: json!({ "limits": {
            "body_bytes": BODY_LIMIT,
            "timeout_ms": REQUEST_LIMIT.as_millis() as u64,
        }}),
        ..Plan::default()
    };
    Fleet::start(&plan).await
}

/// Another customer's calls, one after another, each answered.
async fn served(fleet: &Fleet, length: Duration) -> eyre::Result<()> {
    let caller = fleet.caller(0, "small");
    let end = Instant::now() + length;
    let mut count = 0;
    while count == 0 || Instant::now() < end {
        let answer = caller.chat(&format!("meanwhile {count}"), 5).await;
        eyre::ensure!(answer.ok(), "meanwhile: {answer:?}");
        count += 1;
    }
    Ok(())
}

fn refused(answer: &Answer, code: &str, status: u16, what: &str) {
    let what = &what[..what.len().min(60)];
    assert_eq!(
        (answer.code(), answer.ran()),
        (code, "no"),
        "{what:?}: {answer:?}"
    );
    assert_eq!(answer.status, status, "{what:?}: {answer:?}");
    assert!(answer.body["message"].is_string(), "{what:?}: {answer:?}");
}

fn chat_body(content: &str) -> String {
    let message = json!({ "role": "user", "content": content });
    json!({ "model": MODEL, "messages": [message], "max_tokens": 5 }).to_string()
}

fn head(path: &str, more: &str) -> String {
    let key = presented("large-key");
    format!("POST {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n{more}\r\n")
}

/// Sends bytes, then does as told, and reads until the server answers or closes.
async fn send(to: SocketAddr, bytes: &[u8], then: Then, limit: Duration) -> eyre::Result<Reply> {
    let start = Instant::now();
    let (mut read, mut write) = TcpStream::connect(to).await?.into_split();
    let writing = async {
        let _ = write.write_all(bytes).await;
        match then {
            Then::Wait => {}
            Then::Close => write.shutdown().await.unwrap_or_default(),
            Then::Drip => {
                while write.write_all(b"y").await.is_ok() {
                    tokio::time::sleep(DRIP).await;
                }
            }
        }
        std::future::pending::<()>().await
    };
    let mut got = Vec::new();
    let ended = tokio::select! {
        ended = receive(&mut read, &mut got, limit) => ended,
        () = writing => false,
    };
    let (status, body) = parse(&got);
    let took = start.elapsed();
    Ok(Reply {
        status,
        body,
        ended,
        took,
    })
}

/// Reads until a whole answer is there, the server closes, or the time is up.
async fn receive(
    read: &mut tokio::net::tcp::OwnedReadHalf,
    got: &mut Vec<u8>,
    limit: Duration,
) -> bool {
    let reading = async {
        while matches!(read.read_buf(got).await, Ok(count) if count > 0) {
            if !parse(got).1.is_null() {
                break;
            }
        }
    };
    tokio::time::timeout(limit, reading).await.is_ok()
}

/// Status and JSON body of an answer; 0 and null for what isn't there.
fn parse(got: &[u8]) -> (u16, Value) {
    let text = String::from_utf8_lossy(got);
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (
        status.unwrap_or(0),
        serde_json::from_str(body).unwrap_or(Value::Null),
    )
}

fn memory_kb(pid: u32, what: &str) -> eyre::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix(what));
    let size = line.and_then(|line| line.split_whitespace().next());
    Ok(size
        .ok_or_else(|| eyre::eyre!("no {what} of {pid}"))?
        .parse()?)
}
