//! Programs' own requests at their owner: open, child, end, state and history.

use std::time::Duration;

use coord::decision::Opening;
use coord::id;
use coord::id::Shard;
use coord::id::Tokens;
use coord::program::Program;
use coord::record::Budget;
use coord::record::Ending;
use coord::refusal::Code;
use serde_json::Value;
use serde_json::json;
use wire::CallRequest;
use wire::Refusal;
use wire::call_frame::Frame;
use wire::call_request::What;

use crate::auth;
use crate::call::Call;
use crate::clock::unix_ms;
use crate::job::parse;
use crate::ledger::Stop;
use crate::out::Out;
use crate::refusal;
use crate::request;
use crate::shards::Durable;
use crate::sweep;

const STEP: &str = "program";
/// When to come back after records didn't reach a second place, in milliseconds.
const RETRY_AFTER: u64 = 1000;

/// Serves one request and sends its reply.
pub async fn serve(call: &Call, request: &CallRequest, out: &Out) -> Result<(), Stop> {
    let customer: id::Customer = parse(&request.customer)?;
    let key: id::Key = parse(&request.key_id)?;
    if !auth::in_force(&call.member.config(), &customer, &key) {
        return Err(auth::unauthorized("the key isn't in force").into());
    }
    let reply = match &request.what {
        Some(What::Open(open)) if open.parent.is_empty() => root(call, &customer, open).await?,
        Some(What::Open(open)) => child(call, &customer, open).await?,
        Some(What::End(end)) => ended(call, &customer, &parse(&end.program)?).await?,
        Some(What::Show(show)) => shown(call, &customer, show).await?,
        _ => return Err(request::bad("no such request").into()),
    };
    out.last(Frame::Reply(reply.into())).await;
    Ok(())
}

async fn root(call: &Call, customer: &id::Customer, open: &wire::Open) -> Result<String, Stop> {
    let name: id::Program = parse(&open.program)?;
    let budget = budget(open);
    let (opening, durable) = call.member.shards().decide(shard(&name), |replica| {
        records_of(replica.open(&name, customer, budget, unix_ms()))
    })?;
    opened(opening, durable, &name).await
}

async fn child(call: &Call, customer: &id::Customer, open: &wire::Open) -> Result<String, Stop> {
    let parent: id::Program = parse(&open.parent)?;
    let budget = budget(open);
    let (reply, durable) =
        call.member.shards().decide(shard(&parent), |replica| {
            match replica.next_child(&parent) {
                None => (Vec::new(), Err(missing())),
                Some(name) => {
                    let opening = replica.open_child(&name, customer, budget, unix_ms());
                    let (records, refused) = records_of(opening);
                    (records, Ok((name, refused)))
                }
            }
        })?;
    let (name, refused) = reply?;
    opened(refused, durable, &name).await
}

async fn opened(
    refused: Option<Refusal>,
    durable: Durable,
    name: &id::Program,
) -> Result<String, Stop> {
    stand(durable).await?;
    match refused {
        Some(refusal) => Err(refusal.into()),
        None => Ok(json!({ "program": name }).to_string()),
    }
}

async fn ended(call: &Call, customer: &id::Customer, name: &id::Program) -> Result<String, Stop> {
    let now = unix_ms();
    let (result, durable) = call.member.shards().decide(shard(name), |replica| {
        match replica.end(name, customer, Ending::Finished, now) {
            Ok(records) => {
                let program = replica.program(name);
                let opened_ms = program.map_or(now, |program| program.opened_ms);
                let ended: Vec<id::Program> = records.iter().filter_map(sweep::ended).collect();
                (records, Ok((ended, opened_ms)))
            }
            Err(refusal) => (Vec::new(), Err(refusal)),
        }
    })?;
    stand(durable).await?;
    let (ended, opened_ms) = result.map_err(|refusal| refusal::from_decision(refusal, STEP))?;
    if ended.contains(name) {
        let length = Duration::from_millis(now.saturating_sub(opened_ms));
        call.instruments.ended(length);
    }
    // A repeat may come after a release that was lost with its owner.
    call.caches.release(name);
    ended
        .iter()
        .for_each(|program| call.caches.release(program));
    call.flight.settled(shard(name));
    Ok(json!({ "program": name, "state": "ended" }).to_string())
}

async fn shown(call: &Call, customer: &id::Customer, show: &wire::Show) -> Result<String, Stop> {
    let name: id::Program = parse(&show.program)?;
    let (result, durable) = call.member.shards().decide(shard(&name), |replica| {
        let program = replica.customer_program(&name, customer);
        let shown = program.map(|program| (state(&name, program), replica.history(&name)));
        (Vec::new(), shown)
    })?;
    stand(durable).await?;
    let (state, history) = result.map_err(|refusal| refusal::from_decision(refusal, STEP))?;
    match history {
        Some(history) if show.history => {
            let messages = history
                .messages()
                .map_err(|broken| refusal::not_run(Code::Unavailable, STEP, broken.to_string()))?;
            let messages = String::from_utf8_lossy(&messages);
            Ok(format!(
                "{{\"program\":\"{name}\",\"messages\":{messages}}}"
            ))
        }
        _ => Ok(state.to_string()),
    }
}

fn state(name: &id::Program, program: &Program) -> Value {
    let ended = program.ended.as_ref().map(|(reason, _)| reason);
    json!({
        "program": name,
        "state": if ended.is_some() { "ended" } else { "open" },
        "reason": ended,
        "next_step": program.next_step(),
        "busy": program.is_busy(),
        "left": {
            "tokens": program.tokens_left(),
            "calls": program.calls_left(),
            "wall_ms": program.wall_ms_left(unix_ms()),
        },
        "spent": { "tokens": program.spent, "calls": program.calls },
    })
}

fn records_of(opening: Opening) -> (Vec<coord::record::Record>, Option<Refusal>) {
    match opening {
        Opening::New(records) => (records, None),
        Opening::AlreadyOpen => (Vec::new(), None),
        Opening::Refuse(refusal) => (Vec::new(), Some(refusal::from_decision(refusal, STEP))),
    }
}

async fn stand(durable: Durable) -> Result<(), Stop> {
    durable.wait().await.map_err(|_| {
        let message = "the change may not stand in two places";
        let refusal = refusal::unknown(Code::Unavailable, STEP, message);
        refusal::retry_after(refusal, RETRY_AFTER).into()
    })
}

fn budget(open: &wire::Open) -> Budget {
    Budget {
        tokens: Tokens(open.tokens),
        calls: open.calls,
        wall_ms: open.wall_ms,
    }
}

fn shard(program: &id::Program) -> Shard {
    Shard::of_program(program)
}

fn missing() -> Refusal {
    refusal::not_run(Code::NotFound, STEP, "no such program")
}
