//! Command line of the entry daemon.

use std::path::PathBuf;

use coord::id::Customer;
use coord::id::Key;
use coord::id::Ticket;
use gumdrop::Options as Gumdrop;
use node::options::Dump;
use node::options::File;

/// Schedules agent programs: entry host.
#[derive(Debug, Gumdrop)]
pub struct Options {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(help = "show the version", short = "V")]
    pub version: bool,
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Gumdrop)]
pub enum Command {
    #[options(help = "run the daemon")]
    Serve(File),
    #[options(help = "check a settings file without starting")]
    Check(File),
    #[options(help = "take callers' requests on the users' platform")]
    Front(Role),
    #[options(help = "keep turns and budgets on the users' platform")]
    History(Role),
    #[options(help = "print what logs say of one request")]
    Explain(Explain),
    #[options(help = "print the state of a running process")]
    Dump(Dump),
    #[options(help = "put or show a change ticket")]
    Ticket(Ticketing),
    #[options(help = "give or withdraw a customer's key")]
    Key(Keying),
}

/// A role on the users' platform.
#[derive(Debug, Gumdrop)]
pub struct Role {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(help = "check the settings without starting")]
    pub check: bool,
    #[options(free, help = "settings file; else the platform's variable names it")]
    pub settings: Option<PathBuf>,
}

/// A request and the logs to search.
#[derive(Debug, Gumdrop)]
pub struct Explain {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(free, required, help = "the request's id")]
    pub request: String,
    #[options(free, help = "log files")]
    pub files: Vec<PathBuf>,
}

/// Ticket commands.
#[derive(Debug, Gumdrop)]
pub struct Ticketing {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<TicketCommand>,
}

/// What to do with a ticket.
#[derive(Debug, Gumdrop)]
pub enum TicketCommand {
    #[options(help = "put a ticket in force")]
    Put(TicketPut),
    #[options(help = "show a ticket")]
    Show(TicketShow),
}

/// A ticket to put in force.
#[derive(Debug, Gumdrop)]
pub struct TicketPut {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(help = "administrative address, http://IP:PORT", required)]
    pub admin: String,
    #[options(help = "file with the operator's key", required)]
    pub key_file: PathBuf,
    #[options(free, required, help = "file with the change: {number, set, remove}")]
    pub change: PathBuf,
}

/// A ticket to show.
#[derive(Debug, Gumdrop)]
pub struct TicketShow {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(help = "administrative address, http://IP:PORT", required)]
    pub admin: String,
    #[options(help = "file with the operator's key", required)]
    pub key_file: PathBuf,
    #[options(free, required, help = "ticket number")]
    pub number: Ticket,
}

/// Key commands.
#[derive(Debug, Gumdrop)]
pub struct Keying {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<KeyCommand>,
}

/// What to do with a customer's key.
#[derive(Debug, Gumdrop)]
pub enum KeyCommand {
    #[options(help = "make a key, put it in force and print it once")]
    Give(KeyGive),
    #[options(help = "withdraw a key")]
    Withdraw(KeyWithdraw),
}

/// A key to make.
#[derive(Debug, Gumdrop)]
pub struct KeyGive {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(help = "administrative address, http://IP:PORT", required)]
    pub admin: String,
    #[options(help = "file with the operator's key", required)]
    pub key_file: PathBuf,
    #[options(help = "number of the ticket", required)]
    pub ticket: Ticket,
    #[options(help = "customer", required)]
    pub customer: Option<Customer>,
    #[options(free, required, help = "name of the key")]
    pub key: Option<Key>,
}

/// A key to withdraw.
#[derive(Debug, Gumdrop)]
pub struct KeyWithdraw {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(help = "administrative address, http://IP:PORT", required)]
    pub admin: String,
    #[options(help = "file with the operator's key", required)]
    pub key_file: PathBuf,
    #[options(help = "number of the ticket", required)]
    pub ticket: Ticket,
    #[options(free, required, help = "name of the key")]
    pub key: Option<Key>,
}
