//! docs/API.md agrees with the closed list of error kinds.

use kumquattiller_base::error::Kind;

/// The page.
const PAGE: &str = include_str!("../../docs/API.md");
/// Line before the table.
const BEGIN: &str = "<!-- error kinds -->\n";
/// Line after the table.
const END: &str = "<!-- end of error kinds -->";

/// Returns the table as the list of kinds gives it.
fn table() -> String {
    let mut text = String::from("| kind | status | ran | Retry-After | message |\n");
    text.push_str("|---|---|---|---|---|\n");
    for kind in Kind::all() {
        let answer = kind.answer();
        let ran: Vec<String> = kind.possible_ran().iter().map(ToString::to_string).collect();
        let wait = answer.retry_after.map_or(String::new(), |w| format!("{} s", w.as_secs()));
        let ran = ran.join(", ");
        let line =
            format!("| `{kind}` | {} | {ran} | {wait} | {} |\n", answer.status, answer.message);
        text.push_str(&line);
    }
    text
}

#[test]
fn the_table_is_the_list() {
    let begin = PAGE.find(BEGIN).expect("the table begins") + BEGIN.len();
    let end = PAGE.find(END).expect("the table ends");
    let expected = table();
    assert_eq!(&PAGE[begin..end], expected, "the table is to read:\n{expected}");
}
