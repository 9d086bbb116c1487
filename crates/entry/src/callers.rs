//! Callers' requests: chat completions, programs, models and plain routes.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use coord::config::Config;
use coord::id;
use coord::id::Shard;
use coord::refusal::Code;
use dropshot::Body;
use http::HeaderMap;
use http::Response;
use http::request::Parts;
use wire::CallRequest;
use wire::Refusal;
use wire::call_request::What;

use crate::answer;
use crate::auth;
use crate::auth::Caller;
use crate::ingress::Ingress;
use crate::instruments::Instruments;
use crate::member::Member;
use crate::plain;
use crate::refusal;
use crate::request;
use crate::request::Chat;
use crate::request::Turn;
use crate::settings::Limits;

/// Models listed at most.
const MODELS_LIMIT: usize = 1000;

/// An answer, or why there is none.
pub type Answer = Result<Response<Body>, Refusal>;

/// What the handlers need.
pub struct Callers {
    member: Arc<Member>,
    ingress: Arc<Ingress>,
    limits: Limits,
    instruments: Arc<Instruments>,
}

impl Callers {
    /// Handlers over a member and its way to the owners.
    pub fn new(
        member: Arc<Member>,
        ingress: Arc<Ingress>,
        limits: Limits,
        instruments: Arc<Instruments>,
    ) -> Callers {
        Callers {
            member,
            ingress,
            limits,
            instruments,
        }
    }

    /// The answer as HTTP; counted.
    pub async fn reply(&self, answer: impl Future<Output = Answer>) -> Response<Body> {
        let begun = Instant::now();
        match answer.await {
            Ok(response) => {
                self.instruments.requested(begun.elapsed());
                response
            }
            Err(refusal) => {
                self.instruments.refused(&refusal);
                refusal::response(&refusal)
            }
        }
    }

    fn authenticate(&self, headers: &HeaderMap) -> Result<Caller, Refusal> {
        auth::authenticate(&*self.config(headers)?, headers)
    }

    /// The configuration, which is recent while this node holds its lease.
    fn config(&self, headers: &HeaderMap) -> Result<Arc<Config>, Refusal> {
        match self.member.lease.authority() {
            Some(_) => Ok(self.member.config()),
            None => Err(auth::stale(headers)),
        }
    }

    /// Runs a chat completion.
    pub async fn chat(&self, headers: &HeaderMap, body: request::Body) -> Answer {
        let caller = self.authenticate(headers)?;
        let deadline = request::deadline(headers, &self.limits)?;
        let turn = request::turn(headers)?;
        let name = request_name(headers)?;
        let body = request::read(body, &caller, headers, &self.limits, deadline).await?;
        no_key_inside(&caller, &body)?;
        let chat = Chat::parse(&body)?;
        let shard = shard(&caller, turn.as_ref(), &name)?;
        let form = answer::Form::new(&chat);
        let request = call(&caller, name, chat_or_step(chat, turn));
        let frames = self.ingress.run(request, shard, deadline).await?;
        answer::chat(frames, form).await
    }

    /// Opens a program, or a child of one.
    pub async fn open(
        &self,
        headers: &HeaderMap,
        parent: Option<&str>,
        body: request::Body,
    ) -> Answer {
        let caller = self.authenticate(headers)?;
        let deadline = request::deadline(headers, &self.limits)?;
        let parent: Option<id::Program> = parent.map(program).transpose()?;
        let name = request_name(headers)?;
        let body = request::read(body, &caller, headers, &self.limits, deadline).await?;
        let budget: request::Budget = request::parse(&body)?;
        let root = program(&format!("p-{}", uuid::Uuid::now_v7().simple()))?;
        let shard = Shard::of_program(parent.as_ref().unwrap_or(&root));
        let open = wire::Open {
            program: root.to_string(),
            parent: parent.map(|parent| parent.to_string()).unwrap_or_default(),
            tokens: budget.tokens,
            calls: budget.calls,
            wall_ms: budget.wall_ms,
            public: false,
        };
        let request = call(&caller, name, What::Open(open));
        answer::whole(self.ingress.run(request, shard, deadline).await?).await
    }

    /// Shows a program, or its history.
    pub async fn show(&self, headers: &HeaderMap, name: &str, history: bool) -> Answer {
        let name = program(name)?;
        let show = wire::Show {
            program: name.to_string(),
            history,
        };
        self.ask(headers, &name, What::Show(show)).await
    }

    /// Ends a program.
    pub async fn end(&self, headers: &HeaderMap, name: &str) -> Answer {
        let name = program(name)?;
        let end = wire::End {
            program: name.to_string(),
        };
        self.ask(headers, &name, What::End(end)).await
    }

    async fn ask(&self, headers: &HeaderMap, program: &id::Program, what: What) -> Answer {
        let caller = self.authenticate(headers)?;
        let deadline = request::deadline(headers, &self.limits)?;
        let request = call(&caller, request_name(headers)?, what);
        let shard = Shard::of_program(program);
        answer::whole(self.ingress.run(request, shard, deadline).await?).await
    }

    /// Lists the models.
    pub fn models(&self, headers: &HeaderMap) -> Answer {
        self.authenticate(headers)?;
        let config = self.member.config();
        let mut names: Vec<_> = config.models().map(|model| model.id.clone()).collect();
        names.sort();
        names.truncate(MODELS_LIMIT);
        Ok(answer::models(&names))
    }

    /// Passes a request on to a plain service.
    pub async fn plain(&self, head: &Parts, route: &str, body: Option<request::Body>) -> Answer {
        let headers = &head.headers;
        let route: id::Route = route.parse().map_err(|_| no_route())?;
        let caller = self.plain_caller(headers, &route)?;
        let deadline = request::deadline(headers, &self.limits)?;
        let turn = request::turn(headers)?;
        let name = request_name(headers)?;
        let body = match body {
            Some(body) => request::read(body, &caller, headers, &self.limits, deadline).await?,
            None => Bytes::new(),
        };
        let shard = shard(&caller, turn.as_ref(), &name)?;
        let plain = wire::Plain {
            route: route.to_string(),
            method: head.method.to_string(),
            path: plain::path(&head.uri),
            headers: plain::headers(headers, &caller.customer, &name),
            body,
            program: turn
                .as_ref()
                .map(|turn| turn.program.to_string())
                .unwrap_or_default(),
            step: turn.map_or(0, |turn| turn.step.0),
        };
        no_key_in_plain(&caller, &plain)?;
        let request = call(&caller, name, What::Plain(plain));
        answer::plain(self.ingress.run(request, shard, deadline).await?).await
    }

    /// The caller of a plain route, which may be open to all.
    fn plain_caller(&self, headers: &HeaderMap, route: &id::Route) -> Result<Caller, Refusal> {
        let config = self.config(headers)?;
        let public = config.route(route).is_some_and(|route| route.public);
        match auth::authenticate(&config, headers) {
            Err(refusal) if public => Caller::public().ok_or(refusal),
            Ok(_) if config.route(route).is_none() => Err(no_route()),
            result => result,
        }
    }
}

fn chat_or_step(chat: Chat, turn: Option<Turn>) -> What {
    let messages = chat.messages();
    let max_tokens = chat.max_tokens();
    let model = chat.model.to_string();
    match turn {
        None => What::Chat(wire::Chat {
            model,
            messages: messages.into(),
            max_tokens,
        }),
        Some(turn) => What::Step(wire::Step {
            program: turn.program.to_string(),
            step: turn.step.0,
            model,
            messages: messages.into(),
            max_tokens,
        }),
    }
}

fn call(caller: &Caller, request: String, what: What) -> CallRequest {
    CallRequest {
        customer: caller.customer.to_string(),
        key_id: caller.key_id().to_string(),
        request,
        deadline_ms: 0,
        hops: 0,
        what: Some(what),
    }
}

fn shard(caller: &Caller, turn: Option<&Turn>, name: &str) -> Result<Shard, Refusal> {
    if let Some(turn) = turn {
        return Ok(Shard::of_program(&turn.program));
    }
    let name = name
        .parse()
        .map_err(|_| request::bad("malformed request name"))?;
    Ok(Shard::of_request(&caller.customer, &name))
}

fn request_name(headers: &HeaderMap) -> Result<String, Refusal> {
    let name = request::name(headers)?;
    Ok(name.map_or_else(request::fresh_name, |name| name.to_string()))
}

fn program(name: &str) -> Result<id::Program, Refusal> {
    let missing = || refusal::not_run(Code::NotFound, "read", "no such program");
    name.parse().map_err(|_| missing())
}

fn no_route() -> Refusal {
    refusal::not_run(Code::NotFound, "read", "no such route")
}

fn no_key_inside(caller: &Caller, bytes: &[u8]) -> Result<(), Refusal> {
    match caller.leaks(bytes) {
        true => Err(request::bad("the key may stand in `authorization` only")),
        false => Ok(()),
    }
}

fn no_key_in_plain(caller: &Caller, plain: &wire::Plain) -> Result<(), Refusal> {
    no_key_inside(caller, plain.path.as_bytes())?;
    no_key_inside(caller, &plain.body)?;
    let mut values = plain.headers.iter().map(|header| &header.value);
    values.try_for_each(|value| no_key_inside(caller, value))
}
