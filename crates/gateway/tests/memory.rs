//! Memory that the long answers and bodies of several sources share.

use bytes::Bytes;
use gateway::serve::memory::Exhausted;
use gateway::serve::memory::Memory;
use gateway::serve::memory::Source;

const MIB: usize = 1024 * 1024;

/// Memory for long answers of the smallest entry, which has 88 MB.
const ANSWER_MEMORY: usize = 11 * MIB;

const SHORT: usize = 16 * 1024;

/// Guards against answers of sound targets that fail because one faulty target's answers take all memory.
#[test]
fn one_source_leaves_memory_for_a_long_answer_of_another_one() {
    let memory = Memory::new(ANSWER_MEMORY, SHORT);
    let faulty = Source::target("faulty");
    let held: Vec<Bytes> = (0..100)
        .map_while(|_| memory.hold(faulty, vec![0; MIB].into()).ok())
        .collect();
    assert!(held.len() >= 6, "{} held", held.len());
    let mut sound = memory.share(Source::target("sound"));
    assert_eq!(sound.resize(2 * MIB), Ok(()));
}

/// Guards against a bound by source that rejects one answer of the maximum size and its events.
#[test]
fn one_source_may_hold_an_answer_of_the_maximum_size() {
    let memory = Memory::new(ANSWER_MEMORY, SHORT);
    let mut share = memory.share(Source::target("large"));
    assert_eq!(share.resize(4 * MIB + 2 * MIB), Ok(()));
}

/// Guards against memory that isn't returned, or is returned while its bytes are still referenced.
#[test]
fn memory_is_returned_when_the_last_reference_to_its_bytes_is_dropped() {
    let memory = Memory::new(ANSWER_MEMORY, SHORT);
    let source = Source::target("target");
    let size = 6 * MIB;
    for _ in 0..10 {
        let bytes = memory.hold(source, vec![0; size].into()).expect("memory");
        let part = bytes.slice(..1);
        drop(bytes);
        let further = memory.hold(source, vec![0; size].into());
        assert_eq!(further, Err(Exhausted));
        drop(part);
    }
    let mut share = memory.share(source);
    share.resize(size).expect("memory");
    share.resize(MIB).expect("less memory");
    assert!(memory.hold(source, vec![0; 4 * MIB].into()).is_ok());
}

/// Guards against short answers that fail while long ones take the memory.
#[test]
fn short_bytes_are_not_counted() {
    let memory = Memory::new(0, SHORT);
    let source = Source::customer("customer");
    assert!(memory.hold(source, vec![0; SHORT].into()).is_ok());
    assert_eq!(
        memory.hold(source, vec![0; SHORT + 1].into()),
        Err(Exhausted)
    );
}
