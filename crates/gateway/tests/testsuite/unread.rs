//! What is held for callers that read slowly, and who is cut off.

use kumquattiller_base::size::Bytes;
use kumquattiller_gateway::unread::Table;
use proptest::prelude::*;
use test_case::test_case;

use crate::support::cases;

/// Budget of the tests.
const BUDGET: Bytes = Bytes::new(100);

/// Guards against cutting off a stream that is not the slowest.
#[test_case(&[40, 60], None; "the budget is kept")]
#[test_case(&[40, 61], Some(1); "the most unread bytes")]
#[test_case(&[70, 20, 30], Some(0); "also if it did not grow last")]
#[test_case(&[60, 60, 10], Some(1); "the newest of equals")]
fn who_is_cut_off(unread: &[u64], expected: Option<usize>) {
    let mut table = Table::new(BUDGET);
    let keys: Vec<_> = unread.iter().map(|_| table.open()).collect();
    for (key, bytes) in keys.iter().zip(unread) {
        table.add(*key, Bytes::new(*bytes));
    }
    assert_eq!(table.slowest(), expected.map(|n| keys[n]));
}

proptest! {
    #![proptest_config(cases(31))]

    /// Guards against counts that drift, or a budget that stays exceeded.
    #[test]
    fn the_budget_is_kept(steps in prop::collection::vec((0_usize..8, 0_u64..60, any::<bool>()), 0..200)) {
        let mut table = Table::new(BUDGET);
        let mut responses: Vec<_> = (0..8).map(|_| (table.open(), 0_u64)).collect();
        for (n, bytes, is_read) in steps {
            let (key, unread) = &mut responses[n];
            if is_read {
                table.take(*key, Bytes::new(bytes));
                *unread = unread.saturating_sub(bytes);
            } else {
                table.add(*key, Bytes::new(bytes));
                *unread += bytes;
            }
            while let Some(slowest) = table.slowest() {
                let most = responses.iter().map(|(_, unread)| *unread).max();
                prop_assert_eq!(Some(table.close(slowest).get()), most);
                let cut_off = responses.iter_mut().find(|(key, _)| *key == slowest);
                *cut_off.unwrap() = (table.open(), 0);
            }
            prop_assert_eq!(table.used().get(), responses.iter().map(|(_, unread)| unread).sum::<u64>());
            prop_assert!(table.used() <= table.budget());
        }
    }
}
