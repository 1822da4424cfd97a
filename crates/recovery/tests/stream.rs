//! Tests of response delivery with late, duplicated, reordered, foreign and missing frames.

mod common;

use kumquattiller_base::attempt;
use kumquattiller_base::request;
use kumquattiller_recovery::stream::Mismatch;
use kumquattiller_recovery::stream::Origin;
use kumquattiller_recovery::stream::Receiver;
use kumquattiller_recovery::stream::Replay;
use kumquattiller_recovery::stream::Verdict;
use proptest::collection::vec;
use proptest::prelude::*;

/// Maximum size of a chunk, in tokens.
const MAX_CHUNK_TOKENS: usize = 4;

/// Fault that the simulated network applies to one frame.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    Duplicate,
    Lose,
    Delay(usize),
    /// Inserts a frame of another attempt if true, else of another runner incarnation.
    InsertForeign(bool),
}

#[derive(Debug, Clone)]
enum Frame {
    Chunk(Origin, u64, Vec<u64>),
    End(Origin, u64),
}

fn origin(number: u32, incarnation: u64) -> Origin {
    let request = request::Id::from_u128(1);
    Origin { request, attempt: attempt::Number::new(number), incarnation }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::Duplicate),
        1 => Just(Fault::Lose),
        2 => (1..6_usize).prop_map(Fault::Delay),
        1 => any::<bool>().prop_map(Fault::InsertForeign),
    ]
}

/// Returns the frames of a response of `total` tokens, starting at `offset`.
fn frames(total: u64, offset: u64, chunk_sizes: &[usize]) -> Vec<Frame> {
    let mut frames = Vec::new();
    let mut next = offset;
    for size in chunk_sizes.iter().cycle() {
        if next >= total {
            break;
        }
        let end = total.min(next + *size as u64);
        frames.push(Frame::Chunk(origin(2, 7), next, (next..end).collect()));
        next = end;
    }
    frames.push(Frame::End(origin(2, 7), total));
    frames
}

/// Returns the frames in the order in which a faulty network delivers them.
fn send(frames: Vec<Frame>, faults: &mut impl Iterator<Item = Fault>) -> Vec<Frame> {
    let mut delivered: Vec<(usize, Frame)> = Vec::new();
    for (index, frame) in frames.into_iter().enumerate() {
        let slot = index * 2;
        match faults.next().unwrap_or(Fault::None) {
            Fault::None => delivered.push((slot, frame)),
            Fault::Duplicate => delivered.extend([(slot, frame.clone()), (slot + 3, frame)]),
            Fault::Lose => {}
            Fault::Delay(by) => delivered.push((slot + 2 * by, frame)),
            Fault::InsertForeign(other_attempt) => {
                let from = if other_attempt { origin(1, 7) } else { origin(2, 6) };
                let foreign = match &frame {
                    Frame::Chunk(_, offset, data) => {
                        Frame::Chunk(from, *offset, vec![u64::MAX; data.len()])
                    }
                    Frame::End(_, total) => Frame::End(from, total.saturating_sub(1)),
                };
                delivered.extend([(slot, foreign), (slot, frame)]);
            }
        }
    }
    delivered.sort_by_key(|(slot, _)| *slot);
    delivered.into_iter().map(|(_, frame)| frame).collect()
}

#[test]
fn a_stream_is_complete_only_if_all_its_data_was_delivered() {
    let input = (0..40_u64, vec(1..=MAX_CHUNK_TOKENS, 1..5), vec(fault(), 0..120));
    let outcome = common::runner(3).run(&input, |(total, chunk_sizes, faults)| {
        let mut faults = faults.into_iter();
        let mut receiver = Receiver::new(origin(2, 7), 0);
        let mut received: Vec<u64> = Vec::new();
        let mut complete = false;
        // Each round resumes the stream at the next expected offset.
        for _ in 0..200 {
            if complete {
                break;
            }
            for frame in send(frames(total, receiver.next_offset(), &chunk_sizes), &mut faults) {
                let verdict = match &frame {
                    Frame::Chunk(from, offset, data) => {
                        receiver.accept_chunk(*from, *offset, data.len() as u64)
                    }
                    Frame::End(from, total) => receiver.accept_end(*from, *total),
                };
                match (verdict, frame) {
                    (Verdict::Deliver, Frame::Chunk(_, _, data)) => {
                        prop_assert!(!complete, "delivered after the end");
                        received.extend(data);
                    }
                    (Verdict::Complete, _) => complete = true,
                    (Verdict::Contradiction, _) => prop_assert!(false, "unexpected contradiction"),
                    _ => {}
                }
            }
            let prefix: Vec<u64> = (0..received.len() as u64).collect();
            prop_assert_eq!(&received, &prefix, "tokens of this attempt in order");
            prop_assert!(!complete || received.len() as u64 == total, "complete response is whole");
        }
        prop_assert!(complete, "resuming completes the response");
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

#[test]
fn discarded_frames_are_counted_by_reason() {
    let mut receiver = Receiver::new(origin(2, 7), 0);
    assert_eq!(receiver.accept_chunk(origin(2, 7), 0, 2), Verdict::Deliver);
    assert_eq!(receiver.accept_chunk(origin(2, 7), 0, 2), Verdict::Drop);
    assert_eq!(receiver.accept_chunk(origin(2, 7), 1, 2), Verdict::Gap);
    assert_eq!(receiver.accept_chunk(origin(2, 7), 3, 1), Verdict::Gap);
    assert_eq!(receiver.accept_chunk(origin(1, 7), 2, 1), Verdict::Drop);
    assert_eq!(receiver.accept_end(origin(2, 7), 1), Verdict::Contradiction);
    assert_eq!(receiver.accept_end(origin(2, 7), 2), Verdict::Complete);
    assert_eq!(receiver.accept_chunk(origin(2, 7), 2, 1), Verdict::Drop);
    let drops = receiver.drops();
    assert_eq!((drops.repeated, drops.early, drops.foreign, drops.late), (2, 1, 1, 1));
}

#[test]
fn a_further_attempt_delivers_only_what_is_new_and_the_same_so_far() {
    let mut replay = Replay::default();
    assert_eq!(replay.advance(b"gas odour "), Ok(&b"gas odour "[..]));
    replay.restart();
    assert_eq!(replay.advance(b"gas"), Ok(&b""[..]));
    assert!(!replay.is_caught_up());
    assert_eq!(replay.advance(b" odour at"), Ok(&b"at"[..]));
    assert!(replay.is_caught_up());
    replay.restart();
    assert_eq!(replay.advance(b"gas smell"), Err(Mismatch));
}
