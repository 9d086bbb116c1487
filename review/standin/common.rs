//! Stand-ins for the platform's store, for servers and for clients, and the start of the project's
//! own processes. Standard library only; all addresses are loopback addresses.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit status of a case that couldn't run.
pub const CANNOT_RUN: i32 = 2;

const PARENT_DEATH_SIGNAL: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(112);

/// Processes that this one has started and that haven't ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this one has started, and this one: the case couldn't run.
pub fn give_up(why: &str) -> ! {
    println!("the case couldn't run: {why}");
    for pid in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -KILL {pid}"))
            .status();
    }
    std::process::exit(CANNOT_RUN)
}

/// Gives up if the case takes too long.
pub fn watch_time() {
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        give_up("it takes too long");
    });
}

fn forget(pid: u32) {
    STARTED.lock().unwrap().retain(|known| *known != pid);
}

// ---------------------------------------------------------------- record

/// The record of one run: lines with the time since the start, in seconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = fs::File::create(path).expect("record.txt can be written");
        Record {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(
            file,
            "{:9.3} {}",
            self.start.elapsed().as_secs_f64(),
            text.as_ref()
        );
    }

    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", self.now(), text.as_ref());
        self.line(text);
    }
}

// ---------------------------------------------------------------- JSON, as far as it is needed

/// Raw text of the value of `key` in the JSON object `json`.
pub fn field<'a>(json: &'a str, key: &str) -> Option<&'a str> {
    let bytes = json.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let end = skip_value(bytes, at)?;
        let name = &json[at + 1..end - 1];
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = skip_value(bytes, at)?;
        if name == key {
            return Some(&json[at..end]);
        }
        at = skip_space(bytes, end);
        match bytes.get(at) {
            Some(b',') => at += 1,
            _ => return None,
        }
    }
}

pub fn text_field(json: &str, key: &str) -> Option<String> {
    let raw = field(json, key)?;
    raw.strip_prefix('"')?.strip_suffix('"').map(str::to_owned)
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(|byte| byte.is_ascii_whitespace()) {
        at += 1;
    }
    at
}

fn skip_value(bytes: &[u8], start: usize) -> Option<usize> {
    match bytes.get(start)? {
        b'"' => {
            let mut at = start + 1;
            loop {
                match bytes.get(at)? {
                    b'\\' => at += 2,
                    b'"' => return Some(at + 1),
                    _ => at += 1,
                }
            }
        }
        b'{' | b'[' => {
            let (mut at, mut depth) = (start, 0);
            loop {
                match bytes.get(at)? {
                    b'"' => {
                        at = skip_value(bytes, at)?;
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => depth -= 1,
                    _ => {}
                }
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
        }
        _ => {
            let mut at = start;
            while bytes
                .get(at)
                .is_some_and(|byte| !b",}] \t\r\n".contains(byte))
            {
                at += 1;
            }
            Some(at)
        }
    }
}

// ---------------------------------------------------------------- HTTP, as far as it is needed

/// A request, or an answer (then `method` is the version and `path` the status).
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came whole.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.path.parse().unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    fn more(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        self.buffer.drain(..count).collect()
    }

    fn find(&self, pattern: &[u8]) -> Option<usize> {
        self.buffer
            .windows(pattern.len())
            .position(|window| window == pattern)
    }

    /// Reads the head of a message; none at an orderly end before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.find(b"\r\n\r\n") {
                break end;
            }
            if !self.more()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = self.take(end + 4);
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut first = lines.next().unwrap_or("").split(' ');
        let mut message = Message {
            method: first.next().unwrap_or("").to_owned(),
            path: first.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        Ok(Some(message))
    }

    /// Reads the body; passes each piece to `on_piece`.
    pub fn body(
        &mut self,
        message: &mut Message,
        answer: bool,
        mut on_piece: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        let length = message
            .header("content-length")
            .and_then(|value| value.parse::<usize>().ok());
        if chunked {
            loop {
                let end = loop {
                    if let Some(end) = self.find(b"\r\n") {
                        break end;
                    }
                    if !self.more()? {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                };
                let line = self.take(end + 2);
                let line = String::from_utf8_lossy(&line[..end]).into_owned();
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                while self.buffer.len() < size + 2 {
                    if !self.more()? {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                let piece = self.take(size + 2);
                if size == 0 {
                    message.whole = true;
                    return Ok(());
                }
                on_piece(&piece[..size]);
                message.body.extend_from_slice(&piece[..size]);
            }
        }
        if let Some(length) = length {
            while self.buffer.len() < length {
                if !self.more()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            let body = self.take(length);
            on_piece(&body);
            message.body = body;
            message.whole = true;
            return Ok(());
        }
        if answer {
            while self.more()? {}
            message.body = std::mem::take(&mut self.buffer);
        }
        message.whole = true;
        Ok(())
    }

    /// Reads a whole request.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        self.body(&mut message, false, |_| ())?;
        Ok(Some(message))
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n",
        reason(status),
        body.len()
    );
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Object {
    rev: u64,
    created: u64,
    /// JSON text as it was written.
    spec: String,
    status: String,
    /// Start of a server that registered itself.
    born: Option<u64>,
}

impl Object {
    fn text(&self, name: &str) -> String {
        let born = self
            .born
            .map_or(String::new(), |born| format!(",\"born\":{born}"));
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}{born}}}",
            self.rev, self.created, self.spec, self.status
        )
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and text of each event.
    events: Vec<(u64, String, String)>,
}

/// The platform's store, of the form `objects`. It keeps what it was given and answers in order.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddr, record: &Record) -> Store {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Store {
            address: listener.local_addr().unwrap(),
            shared: Arc::default(),
            record: record.clone(),
        };
        store.shared.0.lock().unwrap().revision = 100;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let mut writer = stream.try_clone().unwrap();
                    let mut reader = Reader::new(stream);
                    while let Ok(Some(request)) = reader.request() {
                        let (status, body) = store.handle(&request);
                        let headers = [("Content-Type", "application/json")];
                        if write_answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes an object for the operator, a server or another writer.
    pub fn put(&self, kind: &str, name: &str, spec: &str, born: Option<u64>) {
        let mut state = self.shared.0.lock().unwrap();
        state.write(kind, name, |object| {
            object.spec = spec.to_owned();
            object.born = born;
        });
        self.shared.1.notify_all();
    }

    /// Removes an object for the operator or a server.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.delete(kind, name);
        self.shared.1.notify_all();
    }

    /// Status of an object, as JSON text; `null` if there is none.
    pub fn status(&self, kind: &str, name: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map_or("null".to_owned(), |object| object.status.clone())
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value)
        };
        let Some(rest) = path.strip_prefix("/teasellever/objects/") else {
            return (404, "{}".to_owned());
        };
        let parts: Vec<&str> = rest.split('/').collect();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let metadata = field(&body, "metadata").unwrap_or("{}");
        let rev = field(metadata, "rev")
            .or(parameter("rev"))
            .and_then(|rev| rev.parse::<u64>().ok());
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", [kind]) => match parameter("watch") {
                Some(since) => self.watch(kind, since, parameter("waitMs")),
                None => self.list(kind, parameter("after").unwrap_or("")),
            },
            ("GET", [kind, name]) => {
                let state = self.shared.0.lock().unwrap();
                match state.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some(object) => (200, object.text(name)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", [kind]) => {
                let Some(name) = text_field(metadata, "name") else {
                    return (400, "{}".to_owned());
                };
                let spec = field(&body, "spec").unwrap_or("null").to_owned();
                self.change(kind, &name, None, true, move |object| object.spec = spec)
            }
            ("PUT", [kind, name]) => {
                let spec = field(&body, "spec").unwrap_or("null").to_owned();
                self.change(kind, name, rev, false, move |object| object.spec = spec)
            }
            ("PUT", [kind, name, "status"]) => {
                let status = field(&body, "status").unwrap_or("null").to_owned();
                self.change(kind, name, rev, false, move |object| object.status = status)
            }
            ("DELETE", [kind, name]) => {
                let mut state = self.shared.0.lock().unwrap();
                let found = state.delete(kind, name);
                self.shared.1.notify_all();
                (if found { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn change(
        &self,
        kind: &str,
        name: &str,
        rev: Option<u64>,
        create: bool,
        apply: impl FnOnce(&mut Object),
    ) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let known = state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned();
        match known {
            Some(object) if create => return (409, object.text(name)),
            None if !create => return (404, "{}".to_owned()),
            Some(object) if rev.is_some_and(|rev| rev != object.rev) => {
                return (409, object.text(name));
            }
            _ => {}
        }
        let text = state.write(kind, name, apply);
        self.record.line(format!(
            "store: {} {kind}/{name} at revision {}",
            if create { "creates" } else { "changes" },
            state.revision
        ));
        self.shared.1.notify_all();
        (200, text)
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let of_kind = state
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after);
        let all: Vec<String> = of_kind
            .map(|((_, name), object)| object.text(name))
            .collect();
        let more = all.len() > 500;
        let page = &all[..all.len().min(500)];
        (
            200,
            format!(
                "{{\"items\":[{}],\"more\":{more},\"storeRevision\":{}}}",
                page.join(","),
                state.revision
            ),
        )
    }

    fn watch(&self, kind: &str, since: &str, wait: Option<&str>) -> (u16, String) {
        let since: u64 = since.parse().unwrap_or(0);
        let wait = Duration::from_millis(
            wait.and_then(|wait| wait.parse().ok())
                .unwrap_or(0)
                .min(30_000),
        );
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let newer = state
                .events
                .iter()
                .filter(|(rev, of, _)| *rev > since && of == kind);
            let events: Vec<&str> = newer.map(|(_, _, text)| text.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    format!(
                        "{{\"events\":[{}],\"storeRevision\":{}}}",
                        events.join(","),
                        state.revision
                    ),
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl StoreState {
    fn write(&mut self, kind: &str, name: &str, apply: impl FnOnce(&mut Object)) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key).cloned();
        let mut object = known.clone().unwrap_or(Object {
            rev: 0,
            created: self.revision + 1,
            spec: "null".to_owned(),
            status: "null".to_owned(),
            born: None,
        });
        apply(&mut object);
        let same = known.is_some_and(|known| {
            (known.spec, known.status, known.born)
                == (object.spec.clone(), object.status.clone(), object.born)
        });
        if !same {
            self.revision += 1;
            object.rev = self.revision;
            let event = format!("{{\"deleted\":false,\"object\":{}}}", object.text(name));
            self.events.push((self.revision, kind.to_owned(), event));
        }
        let text = object.text(name);
        self.objects.insert(key, object);
        text
    }

    fn delete(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.revision += 1;
        let event = format!("{{\"deleted\":true,\"object\":{}}}", object.text(name));
        self.events.push((self.revision, kind.to_owned(), event));
        true
    }
}

// ---------------------------------------------------------------- servers

/// What a server saw of one request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub request: String,
    pub server: String,
    pub body: Vec<u8>,
    /// Whether the server began to work on it.
    pub runs: bool,
}

/// A server of a service. It runs `slots` requests at a time for `work` each; a stream sends `events`
/// events in that time.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub work: Duration,
    /// Number of events of a stream; 0 for plain answers.
    pub events: usize,
    pub address: SocketAddr,
    pub born: u64,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// A request whose body contains this crashes the server that begins to run it.
    pub poison: &'static str,
    /// When the server crashed.
    pub crashed: Arc<Mutex<Option<f64>>>,
    running: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

impl Server {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        slots: usize,
        work: Duration,
        events: usize,
        poison: &'static str,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        record: &Record,
    ) -> Server {
        let listener = TcpListener::bind(address).expect("a server's address is free");
        let server = Server {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            work,
            events,
            address: listener.local_addr().unwrap(),
            born: unix_ms(),
            arrivals: Arc::clone(arrivals),
            poison,
            crashed: Arc::default(),
            running: Arc::default(),
            ended: Arc::default(),
            connections: Arc::default(),
            record: record.clone(),
        };
        let serving = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.ended.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                serving
                    .connections
                    .lock()
                    .unwrap()
                    .push(stream.try_clone().unwrap());
                let server = serving.clone();
                std::thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        server
    }

    /// The entry that it registers.
    pub fn register(&self, store: &Store, state: &str, seq: u64) {
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq}}}",
            self.service, self.address, self.zone, self.slots
        );
        store.put("servers", &self.id, &spec, Some(self.born));
    }

    /// Ends the server: it accepts nothing more and drops its connections.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which ends.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.request()? {
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            if request.path == "/health" {
                write_answer(&mut writer, 200, &[("X-Instance-Id", &self.id)], b"")?;
                continue;
            }
            let expected = request.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                write_answer(
                    &mut writer,
                    421,
                    &[("X-Instance-Id", &self.id), ("X-Request-Id", &id)],
                    b"",
                )?;
                continue;
            }
            let runs = self.running.fetch_add(1, Ordering::SeqCst) < self.slots;
            let arrival = Arrival {
                at: self.record.now(),
                request: id.clone(),
                server: self.id.clone(),
                body: request.body.clone(),
                runs,
            };
            self.record.line(format!(
                "server {}: request {id} arrives, {}",
                self.id,
                if runs { "runs" } else { "full" }
            ));
            self.arrivals.lock().unwrap().push(arrival);
            let poisoned = !self.poison.is_empty()
                && String::from_utf8_lossy(&request.body).contains(self.poison);
            if runs && poisoned {
                self.record
                    .line(format!("server {}: crashes on request {id}", self.id));
                *self.crashed.lock().unwrap() = Some(self.record.now());
                self.end();
                return Ok(());
            }
            let result = match runs {
                true => self.run(&mut writer, &id),
                false => write_answer(
                    &mut writer,
                    503,
                    &[("X-Not-Run", "1"), ("X-Request-Id", &id)],
                    b"",
                ),
            };
            self.running.fetch_sub(1, Ordering::SeqCst);
            result?;
            if self.ended.load(Ordering::SeqCst) {
                return Ok(());
            }
        }
        Ok(())
    }

    fn run(&self, writer: &mut TcpStream, id: &str) -> io::Result<()> {
        if self.events == 0 {
            std::thread::sleep(self.work);
            let body = format!("answer to {id}\n");
            return write_answer(
                writer,
                200,
                &[
                    ("X-Request-Id", id),
                    ("X-Server-Seal", "seal"),
                    ("Keep-Alive", "timeout=15"),
                ],
                body.as_bytes(),
            );
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {id}\r\nX-Server-Seal: seal\r\nX-Weight-Versions: 1\r\nKeep-Alive: timeout=15\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for event in 1..=self.events {
            std::thread::sleep(self.work / self.events as u32);
            let event = format!("id: {event}\ndata: {id}-{event}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

// ---------------------------------------------------------------- clients

/// How a client's request ended.
#[derive(Clone, Debug)]
pub struct Reply {
    pub id: String,
    pub sent: f64,
    pub ended: f64,
    /// 0 if no head came.
    pub status: u16,
    pub sealed: bool,
    pub whole: bool,
    pub body: Vec<u8>,
    pub error: String,
}

impl Reply {
    pub fn served(&self) -> bool {
        self.status / 100 == 2 && self.sealed && self.whole
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!(
        "{:016x}",
        (unix_ms() << 20) ^ (number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20) ^ number
    )
}

/// Sends one request on a new connection and waits for its answer.
pub fn send(
    front: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
    record: &Record,
) -> Reply {
    let id = new_id();
    let sent = record.now();
    let mut reply = Reply {
        id: id.clone(),
        sent,
        ended: sent,
        status: 0,
        sealed: false,
        whole: false,
        body: Vec::new(),
        error: String::new(),
    };
    let mut exchange = || -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit + Duration::from_millis(700)))?;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n",
            limit.as_millis(),
            body.len()
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        stream.write_all(&bytes)?;
        let mut reader = Reader::new(stream);
        let Some(mut answer) = reader.head()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        reply.status = answer.status();
        reply.sealed = answer.header("x-server-seal").is_some();
        let read = reader.body(&mut answer, true, |_| ());
        reply.whole = answer.whole;
        reply.body = answer.body;
        read
    };
    if let Err(error) = exchange() {
        reply.error = error.to_string();
    }
    reply.ended = record.now();
    let text = match (reply.status, reply.whole) {
        (0, _) => format!("no answer ({})", reply.error),
        (status, true) => format!(
            "{status}, whole{}",
            if reply.sealed { ", sealed" } else { "" }
        ),
        (status, false) => format!("{status}, cut ({})", reply.error),
    };
    record.line(format!(
        "client: request {id} to {front}{path} sent at {sent:.3}: {text}"
    ));
    reply
}

// ---------------------------------------------------------------- the project's processes

/// A machine that runs one of the project's programs.
pub struct Machine {
    pub name: String,
    pub role: &'static str,
    pub ip: String,
    pub zone: String,
    pub child: Option<Child>,
    boot: PathBuf,
    log: PathBuf,
}

/// A small deployment on loopback addresses.
pub struct Deployment {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    pub store: Store,
    pub machines: Vec<Machine>,
    pub front_port: u16,
    pub ready_port: u16,
    peer_port: u16,
    net: u8,
    bootstrap: bool,
}

impl Deployment {
    /// Starts the platform's store; processes are started by [`Deployment::start`].
    pub fn new(root: &Path, folder: &Path, record: &Record) -> Deployment {
        let net = 16 + (std::process::id() % 200) as u8;
        // Below the ports that the system gives to outgoing connections.
        let base = 10_000 + (std::process::id() % 450) as u16 * 40;
        let free = (0..100).map(|step| base + step * 7).find(|port| {
            (0..24).all(|offset| TcpListener::bind(("127.0.0.1", port + offset)).is_ok())
        });
        let Some(base) = free else {
            give_up("no free ports");
        };
        let store = Store::start(SocketAddr::from(([127, net, 200, 1], base + 20)), record);
        Deployment {
            root: root.to_owned(),
            folder: folder.to_owned(),
            record: record.clone(),
            store,
            machines: Vec::new(),
            front_port: base,
            ready_port: base + 1,
            peer_port: base + 2,
            net,
            bootstrap: true,
        }
    }

    /// Address for a server.
    pub fn server_address(&self, host: u8) -> SocketAddr {
        SocketAddr::from(([127, self.net, 100, host], self.front_port + 21))
    }

    /// Adds a machine of class `front` or `store`, and starts its process.
    pub fn add(&mut self, class: &'static str, number: u8, zone: &str) -> usize {
        let (role, third) = match class {
            "front" => ("front", 1),
            _ => ("history", 2),
        };
        let machine = Machine {
            name: format!("{class}-{zone}-{number}"),
            role,
            ip: format!("127.{}.{third}.{number}", self.net),
            zone: zone.to_owned(),
            child: None,
            boot: self.folder.join(format!("{class}-{number}.boot")),
            log: self.folder.join(format!("{class}-{number}.log")),
        };
        self.machines.push(machine);
        let index = self.machines.len() - 1;
        self.start(index);
        index
    }

    /// From now on, processes start as not the first time.
    pub fn end_bootstrap(&mut self) {
        self.bootstrap = false;
    }

    /// Fills in the project's template and starts a machine's process by the deploy file's command.
    pub fn start(&mut self, index: usize) {
        let template = fs::read_to_string(self.root.join("platform/settings.jsonc"))
            .expect("the settings' template");
        let machine = &self.machines[index];
        let front = machine.role == "front";
        let fronts: Vec<String> = self
            .machines
            .iter()
            .filter(|m| m.role == "front")
            .take(3)
            .map(|m| format!("{}:{}", m.ip, self.peer_port))
            .collect();
        let quoted = |text: &str| format!("\"{text}\"");
        let data = self.folder.join(&machine.name);
        let values: Vec<(&str, String)> = vec![
            ("node", quoted(&machine.name)),
            ("ip", quoted(&machine.ip)),
            ("zone", quoted(&machine.zone)),
            (
                "zones",
                "{\"zone-a\":\"region-a\",\"zone-b\":\"region-a\",\"zone-c\":\"region-a\"}"
                    .to_owned(),
            ),
            (
                "listen.front",
                if front {
                    quoted(&format!("{}:{}", machine.ip, self.front_port))
                } else {
                    "null".to_owned()
                },
            ),
            (
                "listen.ready",
                if front {
                    quoted(&format!("{}:{}", machine.ip, self.ready_port))
                } else {
                    "null".to_owned()
                },
            ),
            (
                "portRange",
                format!("[{},{}]", self.peer_port, self.peer_port + 15),
            ),
            (
                "seeds",
                format!(
                    "[{}]",
                    fronts
                        .iter()
                        .map(|seed| quoted(seed))
                        .collect::<Vec<_>>()
                        .join(",")
                ),
            ),
            ("bootstrap", self.bootstrap.to_string()),
            ("tolerate.machines", "1".to_owned()),
            ("bounds.drainMs", "2000".to_owned()),
            ("bounds.configMs", "2000".to_owned()),
            ("bounds.evacuateMs", "null".to_owned()),
            ("bounds.quotaSlack", "20".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("platform.address", quoted(&self.store.address.to_string())),
            (
                "limits.cpuShare",
                if front { "0.19" } else { "0.5" }.to_owned(),
            ),
            ("limits.cores", "1".to_owned()),
            (
                "limits.memoryMb",
                if front { "110" } else { "130" }.to_owned(),
            ),
            ("limits.diskMb", if front { "0" } else { "470" }.to_owned()),
            (
                "dataDir",
                if front {
                    "null".to_owned()
                } else {
                    quoted(&data.display().to_string())
                },
            ),
        ];
        let mut text = template;
        for (name, value) in &values {
            let plain = match value.as_str() {
                "null" => "",
                value => value.trim_matches('"'),
            };
            text = text
                .replace(&format!("{{{{{name}|json}}}}"), value)
                .replace(&format!("{{{{{name}}}}}"), plain);
        }
        if text.contains("{{") {
            give_up("the settings' template has fields that this case doesn't know");
        }
        fs::write(&machine.boot, text).expect("settings can be written");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&machine.log)
            .expect("log");
        let mut command = Command::new(self.root.join("target/release/teasellever-entry"));
        command
            .arg(machine.role)
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", &self.folder)
            .env("LANG", "C.UTF-8")
            .env("TEASELLEVER_BOOT", &machine.boot)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log);
        // The process ends with this one, however this one ends.
        // Safety: the call is safe between fork and exec, as it only sets a field of the process.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, SIGKILL);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => {
                self.record.line(format!(
                    "platform: starts {} (pid {})",
                    machine.name,
                    child.id()
                ));
                STARTED.lock().unwrap().push(child.id());
                self.machines[index].child = Some(child);
            }
            Err(error) => {
                give_up(&format!("the project's program can't be started: {error}"));
            }
        }
    }

    /// Kills a machine's process.
    pub fn kill(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if let Some(mut child) = machine.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
            self.record
                .line(format!("platform: kills {}", machine.name));
        }
    }

    /// Kills a machine's process and removes its disk.
    pub fn lose_disk(&mut self, index: usize) {
        self.kill(index);
        let _ = fs::remove_dir_all(self.folder.join(&self.machines[index].name));
    }

    /// Sends SIGTERM to a machine's process.
    pub fn terminate(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if let Some(child) = &machine.child {
            let _ = Command::new("sh")
                .arg("-c")
                .arg(format!("kill -TERM {}", child.id()))
                .status();
            self.record
                .line(format!("platform: SIGTERM to {}", machine.name));
        }
    }

    /// Waits for a process's end, kills it after `limit`.
    pub fn wait_end(&mut self, index: usize, limit: Duration) {
        let until = Instant::now() + limit;
        let machine = &mut self.machines[index];
        if let Some(mut child) = machine.child.take() {
            while Instant::now() < until {
                if matches!(child.try_wait(), Ok(Some(_))) {
                    forget(child.id());
                    self.record
                        .line(format!("platform: {} has ended", machine.name));
                    return;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
            self.record
                .line(format!("platform: kills {} after its grace", machine.name));
        }
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        format!("{}:{}", self.machines[index].ip, self.front_port)
            .parse()
            .unwrap()
    }

    /// The platform's question whether a front is ready.
    pub fn is_ready(&self, index: usize) -> bool {
        let address: SocketAddr = format!("{}:{}", self.machines[index].ip, self.ready_port)
            .parse()
            .unwrap();
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        if stream
            .write_all(
                b"GET /teasellever/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
            )
            .is_err()
        {
            return false;
        }
        matches!(Reader::new(stream).head(), Ok(Some(answer)) if answer.status() == 200)
    }

    /// Waits until fronts are ready; ends the case if they aren't in time.
    pub fn wait_ready(&self, indexes: &[usize], limit: Duration) {
        let until = Instant::now() + limit;
        while !indexes.iter().all(|index| self.is_ready(*index)) {
            if Instant::now() > until {
                give_up("the deployment isn't ready in time");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for index in 0..self.machines.len() {
            self.kill(index);
        }
    }
}

/// Whether the case runs with its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A client that keeps its connection for many requests.
pub struct KeptClient {
    pub front: SocketAddr,
    reader: Option<Reader>,
    record: Record,
}

impl KeptClient {
    pub fn new(front: SocketAddr, record: &Record) -> KeptClient {
        KeptClient {
            front,
            reader: None,
            record: record.clone(),
        }
    }

    /// Sends a request, on the connection of the one before if that is still open; returns whether the
    /// connection was a kept one.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
        limit: Duration,
    ) -> (Reply, bool) {
        let id = new_id();
        let sent = self.record.now();
        let mut reply = Reply {
            id: id.clone(),
            sent,
            ended: sent,
            status: 0,
            sealed: false,
            whole: false,
            body: Vec::new(),
            error: String::new(),
        };
        let kept = self.reader.is_some();
        let mut exchange = || -> io::Result<()> {
            let mut reader = match self.reader.take() {
                Some(reader) => reader,
                None => {
                    let stream = TcpStream::connect_timeout(&self.front, Duration::from_secs(1))?;
                    stream.set_nodelay(true)?;
                    Reader::new(stream)
                }
            };
            reader
                .stream
                .set_read_timeout(Some(limit + Duration::from_millis(700)))?;
            let mut head = format!(
                "{method} {path} HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n",
                limit.as_millis(),
                body.len()
            );
            for (name, value) in headers {
                head.push_str(&format!("{name}: {value}\r\n"));
            }
            head.push_str("\r\n");
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(body);
            reader.stream.write_all(&bytes)?;
            let Some(mut answer) = reader.head()? else {
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            reply.status = answer.status();
            reply.sealed = answer.header("x-server-seal").is_some();
            let closes = answer
                .header("connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"));
            let read = reader.body(&mut answer, true, |_| ());
            reply.whole = answer.whole;
            reply.body = answer.body;
            read?;
            if !closes {
                self.reader = Some(reader);
            }
            Ok(())
        };
        if let Err(error) = exchange() {
            reply.error = error.to_string();
        }
        reply.ended = self.record.now();
        let text = match (reply.status, reply.whole) {
            (0, _) => format!("connection ends without an answer ({})", reply.error),
            (status, true) => format!(
                "{status}, whole{}",
                if reply.sealed { ", sealed" } else { "" }
            ),
            (status, false) => format!(
                "{status}, connection ends before the end of the answer ({})",
                reply.error
            ),
        };
        self.record.line(format!(
            "client: request {id} to {}{path} on a {} connection, sent at {sent:.3}: {text}",
            self.front,
            if kept { "kept" } else { "new" }
        ));
        (reply, kept)
    }
}
