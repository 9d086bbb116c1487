//! The callers' HTTP interface: chat completions, programs, models and plain routes.
//!
//! A handler is cancelled when its caller leaves. That cancels idempotent work; the owner runs
//! everything else in a task of its own, so nothing that may not be repeated depends on a handler.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use coord::id;
use coord::id::Shard;
use coord::refusal::Code;
use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpError;
use dropshot::HttpServer;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::StreamingBody;
use dropshot::endpoint;
use http::HeaderMap;
use http::Response;
use schemars::JsonSchema;
use serde::Deserialize;
use tokio::time::Instant;
use wire::CallRequest;
use wire::Refusal;
use wire::call_request::What;

use crate::answer;
use crate::auth;
use crate::auth::Caller;
use crate::ingress::Ingress;
use crate::member::Member;
use crate::plain;
use crate::refusal;
use crate::request;
use crate::request::Chat;
use crate::request::Turn;
use crate::settings::Limits;

/// Room above the body limit, so that a body over it is answered by this module.
const BODY_MARGIN: usize = 64 * 1024;
/// Models listed at most.
const MODELS_LIMIT: usize = 1000;

type Reply = Result<Response<Body>, HttpError>;
type Answer = Result<Response<Body>, Refusal>;
type Context = RequestContext<Arc<Callers>>;

/// What the handlers need.
pub struct Callers {
    member: Arc<Member>,
    ingress: Arc<Ingress>,
    limits: Limits,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct ProgramPath {
    program: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
#[allow(dead_code)]
struct PlainPath {
    route: String,
    path: Vec<String>,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct RoutePath {
    route: String,
}

/// Starts serving callers.
pub fn serve(
    callers: Callers,
    address: SocketAddr,
) -> eyre::Result<HttpServer<Arc<Callers>>> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: callers.limits.body_bytes + BODY_MARGIN,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let server = ServerBuilder::new(description()?, Arc::new(callers), node::log::slog());
    Ok(server.config(config).start()?)
}

fn description() -> eyre::Result<ApiDescription<Arc<Callers>>> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(chat)
        .and_then(|()| api.register(open))
        .and_then(|()| api.register(child))
        .and_then(|()| api.register(show))
        .and_then(|()| api.register(history))
        .and_then(|()| api.register(end))
        .and_then(|()| api.register(models));
    registered.map_err(|error| eyre::eyre!("{error}"))?;
    routes::register(&mut api).map_err(|error| eyre::eyre!("{error}"))?;
    Ok(api)
}

#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn chat(context: Context, body: StreamingBody) -> Reply {
    let callers = context.context();
    reply(callers.chat(context.request.headers(), body).await)
}

#[endpoint { method = POST, path = "/v1/programs" }]
async fn open(context: Context, body: StreamingBody) -> Reply {
    let callers = context.context();
    reply(callers.open(context.request.headers(), None, body).await)
}

#[endpoint { method = POST, path = "/v1/programs/{program}/children" }]
async fn child(context: Context, path: Path<ProgramPath>, body: StreamingBody) -> Reply {
    let callers = context.context();
    let parent = path.into_inner().program;
    let headers = context.request.headers();
    reply(callers.open(headers, Some(&parent), body).await)
}

#[endpoint { method = GET, path = "/v1/programs/{program}" }]
async fn show(context: Context, path: Path<ProgramPath>) -> Reply {
    let callers = context.context();
    let program = path.into_inner().program;
    let headers = context.request.headers();
    reply(callers.show(headers, &program, false).await)
}

#[endpoint { method = GET, path = "/v1/programs/{program}/history" }]
async fn history(context: Context, path: Path<ProgramPath>) -> Reply {
    let callers = context.context();
    let program = path.into_inner().program;
    let headers = context.request.headers();
    reply(callers.show(headers, &program, true).await)
}

#[endpoint { method = POST, path = "/v1/programs/{program}/end" }]
async fn end(context: Context, path: Path<ProgramPath>) -> Reply {
    let callers = context.context();
    let program = path.into_inner().program;
    reply(callers.end(context.request.headers(), &program).await)
}

#[endpoint { method = GET, path = "/v1/models" }]
async fn models(context: Context) -> Reply {
    let callers = context.context();
    reply(callers.models(context.request.headers()))
}

fn reply(answer: Answer) -> Reply {
    Ok(answer.unwrap_or_else(|refusal| refusal::response(&refusal)))
}

impl Callers {
    /// Handlers over a member and its way to the owners.
    pub fn new(member: Arc<Member>, ingress: Arc<Ingress>, limits: Limits) -> Callers {
        Callers {
            member,
            ingress,
            limits,
        }
    }

    fn authenticate(&self, headers: &HeaderMap) -> Result<Caller, Refusal> {
        auth::authenticate(&self.member.config(), headers)
    }

    async fn chat(&self, headers: &HeaderMap, body: StreamingBody) -> Answer {
        let caller = self.authenticate(headers)?;
        let deadline = request::deadline(headers, &self.limits)?;
        let turn = request::turn(headers)?;
        let name = request_name(headers)?;
        let body = request::read(body, headers, &self.limits, deadline).await?;
        no_key_inside(&caller, &body)?;
        let chat = Chat::parse(&body)?;
        let shard = shard(&caller, turn.as_ref(), &name)?;
        let form = answer::Form::new(&chat);
        let request = call(&caller, name, chat_or_step(chat, turn));
        let frames = self.ingress.run(request, shard, deadline).await?;
        answer::chat(frames, form).await
    }

    async fn open(&self, headers: &HeaderMap, parent: Option<&str>, body: StreamingBody) -> Answer {
        let caller = self.authenticate(headers)?;
        let deadline = request::deadline(headers, &self.limits)?;
        let parent: Option<id::Program> = parent.map(program).transpose()?;
        let name = request_name(headers)?;
        let body = request::read(body, headers, &self.limits, deadline).await?;
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

    async fn show(&self, headers: &HeaderMap, name: &str, history: bool) -> Answer {
        let name = program(name)?;
        let show = wire::Show {
            program: name.to_string(),
            history,
        };
        self.ask(headers, &name, What::Show(show)).await
    }

    async fn end(&self, headers: &HeaderMap, name: &str) -> Answer {
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

    fn models(&self, headers: &HeaderMap) -> Answer {
        self.authenticate(headers)?;
        let config = self.member.config();
        let mut names: Vec<_> = config.models().map(|model| model.id.clone()).collect();
        names.sort();
        names.truncate(MODELS_LIMIT);
        Ok(answer::models(&names))
    }

    async fn plain(&self, context: &Context, route: &str, body: Option<StreamingBody>) -> Answer {
        let headers = context.request.headers();
        let route: id::Route = route.parse().map_err(|_| no_route())?;
        let caller = self.plain_caller(headers, &route)?;
        let deadline = request::deadline(headers, &self.limits)?;
        let turn = request::turn(headers)?;
        let name = request_name(headers)?;
        let body = match body {
            Some(body) => request::read(body, headers, &self.limits, deadline).await?,
            None => Bytes::new(),
        };
        let shard = shard(&caller, turn.as_ref(), &name)?;
        let plain = wire::Plain {
            route: route.to_string(),
            method: context.request.method().to_string(),
            path: plain::path(context.request.uri()),
            headers: plain::headers(headers, &caller.customer),
            body,
            program: turn.as_ref().map(|turn| turn.program.to_string()).unwrap_or_default(),
            step: turn.map_or(0, |turn| turn.step.0),
        };
        no_key_in_plain(&caller, &plain)?;
        let request = call(&caller, name, What::Plain(plain));
        answer::plain(self.ingress.run(request, shard, deadline).await?).await
    }

    /// The caller of a plain route, which may be open to all.
    fn plain_caller(&self, headers: &HeaderMap, route: &id::Route) -> Result<Caller, Refusal> {
        let config = self.member.config();
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
    let name = name.parse().map_err(|_| request::bad("malformed request name"))?;
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

/// One endpoint for each method of a plain route.
mod routes {
    use dropshot::ApiDescriptionRegisterError;

    use super::*;

    macro_rules! route {
        ($name:ident, $root:ident, $method:ident, $($body:ident)?) => {
            #[endpoint { method = $method, path = "/r/{route}/{path:.*}", unpublished = true }]
            async fn $name(
                context: Context,
                path: Path<PlainPath>
                $(, $body: StreamingBody)?
            ) -> Reply {
                let callers = context.context().clone();
                let route = path.into_inner().route;
                let body = None $(.or(Some($body)))?;
                reply(callers.plain(&context, &route, body).await)
            }

            #[endpoint { method = $method, path = "/r/{route}", unpublished = true }]
            async fn $root(
                context: Context,
                path: Path<RoutePath>
                $(, $body: StreamingBody)?
            ) -> Reply {
                let callers = context.context().clone();
                let route = path.into_inner().route;
                let body = None $(.or(Some($body)))?;
                reply(callers.plain(&context, &route, body).await)
            }
        };
    }

    route!(get, get_root, GET,);
    route!(head, head_root, HEAD,);
    route!(options, options_root, OPTIONS, body);
    route!(post, post_root, POST, body);
    route!(put, put_root, PUT, body);
    route!(patch, patch_root, PATCH, body);
    route!(delete, delete_root, DELETE, body);

    pub fn register(
        api: &mut ApiDescription<Arc<Callers>>,
    ) -> Result<(), ApiDescriptionRegisterError> {
        api.register(get)?;
        api.register(head)?;
        api.register(options)?;
        api.register(post)?;
        api.register(put)?;
        api.register(patch)?;
        api.register(delete)
    }
}
