//! One program of a trace: its turns in order, pauses, tool calls and sub-agents.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use std::time::Instant;

use futures::future::try_join_all;
use holds::caller::Caller;
use serde_json::Value;
use serde_json::json;

use super::Run;
use super::turn;
use super::turn::Call;
use super::turn::Reply;
use crate::engine::DECODE_RATE;
use crate::engine::PREFILL_RATE;
use crate::score::Sample;
use crate::trace;
use crate::trace::CALL_LIMIT;
use crate::trace::IDLE_LIMIT_MS;
use crate::trace::Outcome;
use crate::trace::Step;

/// Tokens that a program may use; its calls are what bounds it.
const TOKENS: u64 = 1_000_000_000;

/// Tokens that a sub-agent may use.
const AGENT_TOKENS: u64 = 20_000_000;

/// Longest life of a program, in milliseconds.
const WALL_MS: u64 = 600_000;

/// Beyond the idle limit, until a program must have ended.
const IDLE_SLACK: Duration = Duration::from_secs(5);

/// Tries of a request that was refused for now.
const TRIES: u32 = 20;

/// Pause before a request without an answer is sent again.
const BACK_OFF: Duration = Duration::from_millis(200);

/// Bytes of text to a token at the stand-ins.
const TOKEN_BYTES: usize = 4;

/// How these turns came out: their latency alone in microseconds, and how they ended.
type Turns<'a> = Pin<Box<dyn Future<Output = eyre::Result<(u64, Outcome)>> + Send + 'a>>;

/// A program or sub-agent that runs.
struct Agent<'a> {
    run: &'a Run,
    /// Position of the program in the trace, which chooses its entries.
    id: usize,
    customer: usize,
    program: String,
}

/// Runs a program and counts how it ended.
///
/// Errors: an answer is missing, or it didn't end as stated.
pub async fn run(run: &Run, id: usize, at: u64) -> eyre::Result<()> {
    let program = &run.trace.programs[id];
    let start = Instant::now();
    let opener = caller(run, program.customer, id);
    let calls = match program.steps.iter().any(|step| !step.agents.is_empty()) {
        true => trace::calls(&program.steps).max(CALL_LIMIT),
        false => CALL_LIMIT,
    };
    let budget = json!({ "tokens": TOKENS, "calls": calls, "wall_ms": WALL_MS });
    let agent = Agent {
        run,
        id,
        customer: program.customer,
        program: opener.open(budget).await?,
    };
    let (alone, outcome) = agent.turns(&program.steps).await?;
    if outcome == Outcome::Finished {
        let ended = opener.end(&agent.program).await;
        eyre::ensure!(ended.ok(), "end: {ended:?}");
    }
    let latency = run.recorded(start.elapsed());
    let flood = &run.trace.head.flood;
    let mut tally = run.tally.lock();
    tally.ends[outcome as usize] += 1;
    if outcome == Outcome::Finished {
        tally.samples.push(Sample {
            customer: program.customer,
            within_flood: (flood.from..flood.to).contains(&at),
            latency,
            alone,
        });
    }
    eyre::ensure!(
        outcome == program.outcome,
        "ended as {outcome:?}, not as {:?}",
        program.outcome
    );
    Ok(())
}

impl Agent<'_> {
    fn turns<'a>(&'a self, steps: &'a [Step]) -> Turns<'a> {
        Box::pin(async move {
            let mut alone = 0;
            for (at, step) in steps.iter().enumerate() {
                let number = at + 1;
                let reply = self.call(number, step).await?;
                match reply.code.as_str() {
                    "" => {}
                    "looped" | "budget" if at >= CALL_LIMIT => return Ok((alone, Outcome::Looped)),
                    "ended" if at > 0 && steps[at - 1].pause > IDLE_LIMIT_MS => {
                        return Ok((alone, Outcome::Idle));
                    }
                    _ => eyre::bail!("turn {number}: {reply:?}"),
                }
                alone += self.call_alone(number, step, reply.tokens);
                alone += self.pause(number, step).await?;
            }
            Ok((alone, Outcome::Finished))
        })
    }

    /// One turn, again while it is refused for now.
    async fn call(&self, number: usize, step: &Step) -> eyre::Result<Reply> {
        let mut messages = Vec::new();
        if number == 1 {
            let prompt = self.run.trace.head.customers[self.customer].prompt;
            messages.push(message("system", "instructions", prompt));
        }
        let ask = format!("{} turn {number} ", self.program);
        messages.push(message("user", &ask, step.input));
        let call = Call {
            run: self.run,
            customer: self.customer,
            entry: self.entry(number),
            program: &self.program,
            step: number,
            messages,
            max_tokens: step.output,
        };
        for _ in 0..TRIES {
            let reply = turn::send(&call).await;
            match reply.wait {
                Some(wait) => tokio::time::sleep(wait.max(BACK_OFF)).await,
                None => return Ok(reply),
            }
        }
        eyre::bail!("turn {number} was refused {TRIES} times")
    }

    /// The pause after a turn, with its tool call and sub-agents; returns its length alone.
    async fn pause(&self, number: usize, step: &Step) -> eyre::Result<u64> {
        let idle = step.pause > IDLE_LIMIT_MS;
        let length = match idle {
            true => self.run.scaled(u64::from(IDLE_LIMIT_MS)) + IDLE_SLACK,
            false => self.run.scaled(u64::from(step.pause)),
        };
        let tool = async {
            match step.service && !idle {
                true => self.tool(number).await,
                false => Ok(()),
            }
        };
        let agents = step.agents.iter().map(|steps| self.agent(number, steps));
        let rest = async {
            tokio::time::sleep(length).await;
            Ok(())
        };
        let (agents, (), ()) = tokio::try_join!(try_join_all(agents), tool, rest)?;
        let agents = agents.into_iter().max().unwrap_or(0);
        Ok(agents.max(u64::from(step.pause) * 1_000))
    }

    /// A call that must run once, under one name however often it is sent.
    async fn tool(&self, number: usize) -> eyre::Result<()> {
        let name = format!("{}-{number}", self.program);
        let caller = caller(self.run, self.customer, self.entry(number + 1));
        for _ in 0..TRIES {
            let gauge = &self.run.gauges[self.customer];
            let within = gauge.look();
            let answer = caller.plain("book", &name, "{}").await;
            turn::note(self.run, self.customer, answer.code(), within);
            match answer.ok() {
                true => return Ok(()),
                false if answer.ran() == "unknown" => eyre::bail!("tool: {answer:?}"),
                false => {
                    let wait = answer.retry_after.map(Duration::from_secs);
                    tokio::time::sleep(wait.unwrap_or(BACK_OFF)).await;
                }
            }
        }
        eyre::bail!("tool call {name} was refused {TRIES} times")
    }

    async fn agent(&self, number: usize, steps: &[Step]) -> eyre::Result<u64> {
        let parent = caller(self.run, self.customer, self.entry(number));
        let budget =
            json!({ "tokens": AGENT_TOKENS, "calls": steps.len(), "wall_ms": WALL_MS / 2 });
        let agent = Agent {
            run: self.run,
            id: self.id + number,
            customer: self.customer,
            program: parent.child(&self.program, budget).await?,
        };
        let (alone, outcome) = agent.turns(steps).await?;
        eyre::ensure!(
            outcome == Outcome::Finished,
            "a sub-agent ended as {outcome:?}"
        );
        let ended = parent.end(&agent.program).await;
        eyre::ensure!(ended.ok(), "end of a sub-agent: {ended:?}");
        Ok(alone)
    }

    /// Latency of a turn with its target to itself and its cache at hand, in microseconds.
    fn call_alone(&self, number: usize, step: &Step, tokens: u64) -> u64 {
        let prompt = match number {
            1 => self.run.trace.head.customers[self.customer].prompt,
            _ => 0,
        };
        let prefill = u64::from(prompt + step.input) * 1_000_000 / PREFILL_RATE;
        prefill + tokens * 1_000_000 / DECODE_RATE
    }

    fn entry(&self, number: usize) -> usize {
        self.id + number
    }
}

fn caller(run: &Run, customer: usize, entry: usize) -> Caller {
    let name = run.trace.head.customers[customer].name.as_str();
    run.fleet.caller(entry % run.fleet.entries.len(), name)
}

fn message(role: &str, begin: &str, tokens: u32) -> Value {
    let length = (tokens as usize * TOKEN_BYTES).saturating_sub(begin.len());
    json!({ "role": role, "content": format!("{begin}{}", "x".repeat(length)) })
}
