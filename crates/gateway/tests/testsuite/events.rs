//! Splitting of a stream into whole events, whatever the sizes of its chunks.

use kumquattiller_gateway::events::Splitter;
use proptest::prelude::*;

use crate::support::cases;

/// Fixed seed of the properties' cases.
const SEED: u64 = 0x5eed_0101;

fn stream(events: usize, end: &str) -> Vec<u8> {
    (0..events).map(|n| format!("id: {n}{end}data: token {n}{end}{end}")).collect::<String>().into()
}

proptest! {
    #![proptest_config(cases(SEED))]

    #[test]
    fn a_stream_split_at_any_byte_is_reassembled(
        events in 1..20_usize,
        crlf in any::<bool>(),
        cuts in proptest::collection::vec(1..40_usize, 1..60),
    ) {
        let whole = stream(events, if crlf { "\r\n" } else { "\n" });
        let mut splitter = Splitter::default();
        let mut out = Vec::new();
        let mut rest = whole.as_slice();
        for cut in cuts {
            let (chunk, remaining) = rest.split_at(cut.min(rest.len()));
            out.extend_from_slice(&splitter.push(chunk).unwrap());
            prop_assert!(whole.starts_with(&out));
            rest = remaining;
        }
        out.extend_from_slice(&splitter.push(rest).unwrap());
        prop_assert_eq!(&out, &whole);
        prop_assert!(!splitter.is_partial());
        let last = (events - 1).to_string();
        prop_assert_eq!(splitter.last_id(), Some(last.as_bytes()));
    }

    #[test]
    fn a_stream_resumes_after_its_last_complete_event(
        events in 2..20_usize,
        cut in 1..400_usize,
    ) {
        let whole = stream(events, "\n");
        let cut = cut.min(whole.len());
        let mut splitter = Splitter::default();
        let mut out = splitter.push(&whole[..cut]).unwrap().to_vec();
        splitter.discard_partial();
        let next: usize = match splitter.last_id() {
            Some(id) => std::str::from_utf8(id).unwrap().parse::<usize>().unwrap() + 1,
            None => 0,
        };
        let rest: String = (next..events).map(|n| format!("id: {n}\ndata: token {n}\n\n")).collect();
        out.extend_from_slice(&splitter.push(rest.as_bytes()).unwrap());
        prop_assert_eq!(out, whole);
    }
}

#[test]
fn an_event_without_end_is_refused() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(&vec![b'x'; 2 * 1024 * 1024]).is_err());
}
