//! The table of error kinds in docs/API.md matches the code.

use kumquattiller_base::error::Kind;

/// Text of docs/API.md.
const PAGE: &str = include_str!("../../docs/API.md");
/// Line that precedes the table.
const BEGIN: &str = "<!-- error kinds -->\n";
/// Line that follows the table.
const END: &str = "<!-- end of error kinds -->";

/// Returns the expected table, built from the error kinds of the code.
fn error_table() -> String {
    let mut text = String::from("| kind | status | ran | Retry-After | message |\n");
    text.push_str("|---|---|---|---|---|\n");
    for kind in Kind::all() {
        let answer = kind.answer();
        let ran: Vec<String> = kind.possible_ran().iter().map(ToString::to_string).collect();
        let retry_after =
            answer.retry_after.map_or(String::new(), |w| format!("{} s", w.as_secs()));
        let ran = ran.join(", ");
        let line = format!(
            "| `{kind}` | {} | {ran} | {retry_after} | {} |\n",
            answer.status, answer.message
        );
        text.push_str(&line);
    }
    text
}

#[test]
fn error_table_matches_the_kinds() {
    let begin = PAGE.find(BEGIN).expect("the table begins") + BEGIN.len();
    let end = PAGE.find(END).expect("the table ends");
    let expected = error_table();
    assert_eq!(&PAGE[begin..end], expected, "the table must read:\n{expected}");
}
