//! Operators' commands that talk to a running entry.

use std::fs;

use coord::config::Change;
use coord::config::Name;
use coord::config::Object;
use http::Method;
use node::command::Exit;
use node::command::fail;
use node::command::send_and_print;

use crate::options::KeyCommand;
use crate::options::KeyGive;
use crate::options::KeyWithdraw;
use crate::options::TicketCommand;
use crate::options::TicketPut;
use crate::options::TicketShow;

/// Puts or shows a ticket.
pub async fn ticket(command: TicketCommand) -> Exit {
    match command {
        TicketCommand::Put(put) => put_file(put).await,
        TicketCommand::Show(TicketShow {
            admin,
            key_file,
            number,
            ..
        }) => {
            let url = format!("{admin}/v1/tickets/{number}");
            send_and_print(Method::GET, &url, &key_file, Vec::new()).await
        }
    }
}

/// Gives or withdraws a customer's key.
pub async fn key(command: KeyCommand) -> Exit {
    match command {
        KeyCommand::Give(give) => give_key(give).await,
        KeyCommand::Withdraw(withdraw) => withdraw_key(withdraw).await,
    }
}

async fn put_file(put: TicketPut) -> Exit {
    let text = match fs::read_to_string(&put.change) {
        Ok(text) => text,
        Err(error) => return fail(Exit::Usage, format!("{}: {error}", put.change.display())),
    };
    let change: Change = match serde_json::from_str(&text) {
        Ok(change) => change,
        Err(error) => return fail(Exit::Usage, format!("{}: {error}", put.change.display())),
    };
    let url = format!("{}/v1/tickets/{}", put.admin, change.number);
    send_and_print(Method::PUT, &url, &put.key_file, text.into_bytes()).await
}

async fn give_key(give: KeyGive) -> Exit {
    let (Some(name), Some(customer)) = (give.key, give.customer) else {
        return fail(Exit::Usage, "a key needs its name and its customer");
    };
    let (presented, key) = coord::key::generate(name, customer, &mut rand::rng());
    let change = Change {
        number: give.ticket,
        set: vec![Object::Key(key)],
        remove: Vec::new(),
    };
    let exit = put_change(&give.admin, &give.key_file, &change).await;
    if exit == Exit::Success {
        eprintln!("the key is shown this once:");
        println!("{presented}");
    }
    exit
}

async fn withdraw_key(withdraw: KeyWithdraw) -> Exit {
    let KeyWithdraw {
        admin,
        key_file,
        ticket,
        key,
        ..
    } = withdraw;
    let Some(key) = key else {
        return fail(Exit::Usage, "which key?");
    };
    let change = Change {
        number: ticket,
        set: Vec::new(),
        remove: vec![Name::Key(key)],
    };
    put_change(&admin, &key_file, &change).await
}

async fn put_change(admin: &str, key_file: &std::path::Path, change: &Change) -> Exit {
    let url = format!("{admin}/v1/tickets/{}", change.number);
    match serde_json::to_vec(change) {
        Ok(body) => send_and_print(Method::PUT, &url, key_file, body).await,
        Err(error) => fail(Exit::Failure, error),
    }
}
