use crate::account;

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Identifies a non-idempotent request by the client account and the `Idempotency-Key` header.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Key {
    account: account::Id,
    text: String,
}

impl Key {
    /// Creates the key; returns `None` when the text is empty, too long or not printable ASCII.
    pub fn new(account: account::Id, text: &str) -> Option<Self> {
        let printable = text.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
        if text.is_empty() || text.len() > MAX_KEY_BYTES || !printable {
            return None;
        }
        Some(Self { account, text: text.to_owned() })
    }

    /// Returns the client account.
    pub const fn account(&self) -> &account::Id {
        &self.account
    }

    /// Returns the text that the caller sent as the key.
    pub fn text(&self) -> &str {
        &self.text
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.account, self.text)
    }
}
