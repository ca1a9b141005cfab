//! Placement hints: signed tokens that name the server which holds a chat's cache.
//!
//! The caller stores the hint and sends it with the chat's next request. A hint that is expired,
//! has a wrong signature, or belongs to another chat or to an earlier incarnation of the server is
//! ignored, which only costs a cache miss.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

use crate::ids::{ChatId, Incarnation, ServerId};

/// Location of a chat's cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hint {
    /// Server that holds the cache.
    pub server: ServerId,
    /// Chat that the cache belongs to.
    pub chat: ChatId,
    /// Incarnation of the server that built the cache; 0 if the server reports none.
    pub incarnation: Incarnation,
    /// Expiry time, in seconds since the Unix epoch.
    pub expires_s: u64,
}

/// Key that signs hints; all routers of a fleet use the same one.
#[derive(Clone)]
pub struct HintKey([u8; 32]);

impl std::fmt::Debug for HintKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("HintKey")
    }
}

/// Length of the truncated signature: long enough that it cannot be guessed, and half as long as
/// the full HMAC.
const TAG_BYTES: usize = 16;
/// Length of the chat, the incarnation and the expiry time, 8 bytes each.
const NUMBERS_BYTES: usize = 24;
/// Maximum length of a hint in characters; server ids are far shorter.
const HINT_MAX_CHARS: usize = 512;

impl HintKey {
    /// Derives the key from the secret that the routers share.
    pub fn derive(secret: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(b"jujubeusher placement hint\0");
        hasher.update(secret.as_bytes());
        Self(hasher.finalize().into())
    }

    fn mac(&self, payload: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        mac.update(payload);
        mac
    }

    /// Signs a hint and encodes it as URL-safe base64.
    ///
    /// ```
    /// use jujubeusher::decide::hint::{Hint, HintKey};
    /// use jujubeusher::ids::{ChatId, Incarnation, ServerId};
    /// let key = HintKey::derive("secret of the fleet");
    /// let hint = Hint {
    ///     server: ServerId::from("e1"),
    ///     chat: ChatId(7),
    ///     incarnation: Incarnation(1),
    ///     expires_s: 100,
    /// };
    /// let text = key.sign(&hint);
    /// assert_eq!(key.verify(&text, ChatId(7), 99), Some(hint));
    /// assert_eq!(HintKey::derive("another").verify(&text, ChatId(7), 99), None);
    /// ```
    pub fn sign(&self, hint: &Hint) -> String {
        let mut bytes = Vec::with_capacity(NUMBERS_BYTES + hint.server.as_str().len() + TAG_BYTES);
        bytes.extend_from_slice(&hint.chat.0.to_be_bytes());
        bytes.extend_from_slice(&hint.incarnation.0.to_be_bytes());
        bytes.extend_from_slice(&hint.expires_s.to_be_bytes());
        bytes.extend_from_slice(hint.server.as_str().as_bytes());
        let tag = self.mac(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&tag[..TAG_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a hint. Returns `None` unless it is signed with this key, belongs to `chat` and has
    /// not expired.
    pub fn verify(&self, text: &str, chat: ChatId, now_s: u64) -> Option<Hint> {
        if text.len() > HINT_MAX_CHARS {
            return None;
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        let payload_bytes = bytes.len().checked_sub(TAG_BYTES)?;
        let (payload, tag) = bytes.split_at(payload_bytes);
        self.mac(payload).verify_truncated_left(tag).ok()?;
        let (numbers, server) = payload.split_at_checked(NUMBERS_BYTES)?;
        let number = |index: usize| {
            let part = numbers[index * 8..index * 8 + 8].try_into();
            part.map(u64::from_be_bytes).unwrap_or(0)
        };
        let hint = Hint {
            server: ServerId::from(std::str::from_utf8(server).ok()?),
            chat: ChatId(number(0)),
            incarnation: Incarnation(number(1)),
            expires_s: number(2),
        };
        (hint.chat == chat && now_s < hint.expires_s).then_some(hint)
    }
}

#[cfg(test)]
mod tests;
