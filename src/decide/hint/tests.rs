use super::*;

fn hint() -> Hint {
    Hint {
        server: ServerId::from("e1"),
        chat: ChatId(7),
        incarnation: Incarnation(3),
        expires_s: 100,
    }
}

/// Guards against callers that steer their chats by changing a hint.
#[test]
fn verify_any_changed_byte_is_refused() {
    let key = HintKey::derive("secret");
    let bytes = URL_SAFE_NO_PAD.decode(key.sign(&hint())).expect("base64");
    for index in 0..bytes.len() {
        let mut forged = bytes.clone();
        forged[index] ^= 1;
        let text = URL_SAFE_NO_PAD.encode(forged);
        assert_eq!(key.verify(&text, ChatId(7), 1), None, "byte {index}");
    }
}

/// Guards against use for another chat, after expiry, and against malformed text.
#[test]
fn verify_foreign_old_or_malformed_hint_is_refused() {
    let key = HintKey::derive("secret");
    let text = key.sign(&hint());
    assert_eq!(key.verify(&text, ChatId(8), 1), None);
    assert_eq!(key.verify(&text, ChatId(7), 100), None);
    for malformed in ["", "AAAA", "***", &"A".repeat(HINT_MAX + 1), &text[1..]] {
        assert_eq!(key.verify(malformed, ChatId(7), 1), None, "{malformed}");
    }
}
