//! Files of a disk's log under damage.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;
use history::record::Disk;
use history::record::Record;
use history::record::Turn;
use history::segment;
use history::segment::Folder;
use history::segment::Number;
use history::time::Timestamp;
use rstest::fixture;
use rstest::rstest;

struct Scratch(PathBuf);

impl Drop for Scratch {
    fn drop(&mut self) {
        // A folder that stays behind harms nobody.
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[fixture]
fn scratch() -> Scratch {
    let name = format!("teasellever-segment-{:016x}", rand::random::<u64>());
    Scratch(std::env::temp_dir().join(name))
}

fn turn(number: u64) -> Record {
    Record::Turn(Turn {
        id: format!("turn-{number}").parse().expect("name"),
        customer: "c".parse().expect("name"),
        previous: None,
        content: Bytes::from(vec![number as u8; 20 + number as usize]),
        expires: Timestamp(1_000_000 + number),
    })
}

fn write(folder: &Folder, records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    records
        .iter()
        .for_each(|record| segment::encode(record, &mut bytes));
    let mut file = folder.create(Number(1)).expect("create");
    file.append(&bytes).expect("append");
    bytes
}

fn read(folder: &Folder) -> (Vec<Record>, bool) {
    let mut records = Vec::new();
    let whole = folder.read(Number(1), |record| records.push(record));
    (records, whole.expect("read"))
}

fn overwrite(path: &Path, bytes: &[u8]) {
    fs::write(path.join("00000001.log"), bytes).expect("write");
}

#[rstest]
fn what_was_written_is_read_again(scratch: Scratch) {
    let folder = Folder::open(&scratch.0, Disk(7)).expect("open");
    let records: Vec<Record> = (0..5).map(turn).collect();
    write(&folder, &records);
    assert_eq!(read(&folder), (records, true));
}

#[rstest]
fn a_file_cut_at_any_byte_of_its_last_record_keeps_the_records_before(scratch: Scratch) {
    let folder = Folder::open(&scratch.0, Disk(7)).expect("open");
    let records: Vec<Record> = (0..3).map(turn).collect();
    let bytes = write(&folder, &records);
    let mut last = Vec::new();
    segment::encode(&records[2], &mut last);
    let start = bytes.len() - last.len();
    for cut in start..bytes.len() {
        overwrite(&scratch.0, &bytes[..cut]);
        let (found, whole) = read(&folder);
        assert_eq!(found, records[..2], "cut at {cut}");
        assert_eq!(whole, cut == start);
    }
}

#[rstest]
fn a_changed_byte_anywhere_in_the_last_record_never_yields_another_record(scratch: Scratch) {
    let folder = Folder::open(&scratch.0, Disk(7)).expect("open");
    let records: Vec<Record> = (0..3).map(turn).collect();
    let bytes = write(&folder, &records);
    let mut last = Vec::new();
    segment::encode(&records[2], &mut last);
    for at in bytes.len() - last.len()..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x55;
        overwrite(&scratch.0, &damaged);
        assert_eq!(read(&folder), (records[..2].to_vec(), false), "at {at}");
    }
}

#[rstest]
fn zeros_behind_the_last_sync_are_no_records(scratch: Scratch) {
    let folder = Folder::open(&scratch.0, Disk(7)).expect("open");
    let records: Vec<Record> = (0..2).map(turn).collect();
    let mut bytes = write(&folder, &records);
    bytes.extend_from_slice(&[0; 4096]);
    overwrite(&scratch.0, &bytes);
    assert_eq!(read(&folder), (records, false));
}

#[rstest]
fn a_disk_keeps_its_name_and_an_empty_one_gets_a_new_one(scratch: Scratch) {
    let first = Folder::open(&scratch.0, Disk(7)).expect("open");
    assert_eq!((first.disk, first.fresh), (Disk(7), true));
    let again = Folder::open(&scratch.0, Disk(8)).expect("open");
    assert_eq!((again.disk, again.fresh), (Disk(7), false));
    fs::remove_dir_all(&scratch.0).expect("wipe");
    let wiped = Folder::open(&scratch.0, Disk(9)).expect("open");
    assert_eq!((wiped.disk, wiped.fresh), (Disk(9), true));
}

#[rstest]
fn records_without_the_name_of_their_disk_are_not_taken_for_another_disks(scratch: Scratch) {
    let folder = Folder::open(&scratch.0, Disk(7)).expect("open");
    write(&folder, &[turn(1)]);
    fs::remove_file(scratch.0.join("disk")).expect("remove");
    let other = Folder::open(&scratch.0, Disk(8)).expect("open");
    assert_eq!(other.files().expect("files"), Vec::new());
}
