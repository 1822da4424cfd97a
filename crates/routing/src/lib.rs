//! Routing, admission, account limits and long prompts.
