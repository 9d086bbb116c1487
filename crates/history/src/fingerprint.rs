//! Fingerprints of records, by which disks compare what they hold.

use coord::id;
use coord::id::Customer;
use coord::id::Request;

use crate::origin;
use crate::record::Account;
use crate::record::Record;
use crate::record::State;

/// Fingerprint of a record; `None` for records that disks don't exchange.
pub fn of_record(record: &Record) -> Option<u64> {
    match record {
        Record::Turn(turn) => Some(of_turn(&turn.id)),
        Record::Charge(charge) => Some(of_charge(&charge.account, &charge.turn, charge.state)),
        Record::Origin(origin) => Some(of_origin(&origin.customer, &origin.request, &origin.state)),
        Record::Membership(_) | Record::Joining(_) => None,
    }
}

/// Fingerprint of a turn with this id.
pub fn of_turn(id: &Request) -> u64 {
    id::fingerprint(&[b"turn", id.as_str().as_bytes()]).max(1)
}

/// Fingerprint of a charge in this state.
pub fn of_charge(account: &Account, turn: &Request, state: State) -> u64 {
    let kind: &[u8] = match state {
        State::Reserved(_) => b"reserved",
        State::Settled(_) => b"settled",
    };
    let parts = [
        kind,
        account.customer.as_str().as_bytes(),
        account.program.as_str().as_bytes(),
        turn.as_str().as_bytes(),
        &state.tokens().to_be_bytes(),
    ];
    id::fingerprint(&parts).max(1)
}

/// Fingerprint of a request's origin in this state.
pub fn of_origin(customer: &Customer, request: &Request, state: &origin::State) -> u64 {
    let (relay, number, service, version) = match state {
        origin::State::Chosen(choice) => {
            let (service, version) = (choice.service.as_str(), choice.version.as_str());
            (choice.relay, choice.number, service, version)
        }
        origin::State::Ambiguous => (0, 0, "", ""),
    };
    let parts = [
        b"origin".as_slice(),
        customer.as_str().as_bytes(),
        request.as_str().as_bytes(),
        &relay.to_be_bytes(),
        &number.to_be_bytes(),
        service.as_bytes(),
        version.as_bytes(),
    ];
    id::fingerprint(&parts).max(1)
}
