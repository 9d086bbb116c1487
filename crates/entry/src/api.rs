//! The endpoints of the callers' HTTP interface.
//!
//! A handler is cancelled when its caller leaves. That cancels idempotent work; the owner runs
//! everything else in a task of its own, so nothing that may not be repeated depends on a handler.

use std::net::SocketAddr;
use std::sync::Arc;

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
use http::Response;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::callers::Callers;

/// Bodies of this many times the limit are received, so that one over it gets this system's answer.
const RECEIVED: usize = 4;

type Reply = Result<Response<Body>, HttpError>;
type Context = RequestContext<Arc<Callers>>;

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

/// Starts serving callers.
pub fn serve(callers: Callers, address: SocketAddr) -> eyre::Result<HttpServer<Arc<Callers>>> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: callers.body_limit() * RECEIVED,
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
    Ok(callers
        .reply(callers.chat(context.request.headers(), body.into()))
        .await)
}

#[endpoint { method = POST, path = "/v1/programs" }]
async fn open(context: Context, body: StreamingBody) -> Reply {
    let callers = context.context();
    Ok(callers
        .reply(callers.open(context.request.headers(), None, body.into()))
        .await)
}

#[endpoint { method = POST, path = "/v1/programs/{program}/children" }]
async fn child(context: Context, path: Path<ProgramPath>, body: StreamingBody) -> Reply {
    let callers = context.context();
    let parent = path.into_inner().program;
    let headers = context.request.headers();
    Ok(callers
        .reply(callers.open(headers, Some(&parent), body.into()))
        .await)
}

#[endpoint { method = GET, path = "/v1/programs/{program}" }]
async fn show(context: Context, path: Path<ProgramPath>) -> Reply {
    let callers = context.context();
    let program = path.into_inner().program;
    let headers = context.request.headers();
    Ok(callers.reply(callers.show(headers, &program, false)).await)
}

#[endpoint { method = GET, path = "/v1/programs/{program}/history" }]
async fn history(context: Context, path: Path<ProgramPath>) -> Reply {
    let callers = context.context();
    let program = path.into_inner().program;
    let headers = context.request.headers();
    Ok(callers.reply(callers.show(headers, &program, true)).await)
}

#[endpoint { method = POST, path = "/v1/programs/{program}/end" }]
async fn end(context: Context, path: Path<ProgramPath>) -> Reply {
    let callers = context.context();
    let program = path.into_inner().program;
    Ok(callers
        .reply(callers.end(context.request.headers(), &program))
        .await)
}

#[endpoint { method = GET, path = "/v1/models" }]
async fn models(context: Context) -> Reply {
    let callers = context.context();
    let answer = async { callers.models(context.request.headers()) };
    Ok(callers.reply(answer).await)
}

/// One endpoint for each method of a plain route.
mod routes {
    use dropshot::ApiDescriptionRegisterError;

    use super::*;

    macro_rules! route {
        ($name:ident, $method:ident, $($body:ident)?) => {
            #[endpoint { method = $method, path = "/r/{route}/{path:.*}", unpublished = true }]
            async fn $name(
                context: Context,
                path: Path<PlainPath>
                $(, $body: StreamingBody)?
            ) -> Reply {
                let callers = context.context().clone();
                let route = path.into_inner().route;
                let body = None $(.or(Some($body.into())))?;
                Ok(callers.reply(callers.plain(&context.request, &route, body.into())).await)
            }
        };
    }

    route!(get, GET,);
    route!(head, HEAD,);
    route!(options, OPTIONS, body);
    route!(post, POST, body);
    route!(put, PUT, body);
    route!(patch, PATCH, body);
    route!(delete, DELETE, body);

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
