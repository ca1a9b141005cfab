use super::*;

fn hint() -> Hint {
    Hint {
        server: ServerId::from("e1"),
        chat: ChatId(7),
        incarnation: Incarnation(3),
        expires_s: 100,
    }
}

/// Guards against callers that choose the server of their chats by modifying a hint.
#[test]
fn verify_any_changed_byte_is_rejected() {
    let key = HintKey::derive("secret");
    let bytes = URL_SAFE_NO_PAD.decode(key.sign(&hint())).expect("base64");
    for index in 0..bytes.len() {
        let mut forged = bytes.clone();
        forged[index] ^= 1;
        let text = URL_SAFE_NO_PAD.encode(forged);
        assert_eq!(key.verify(&text, ChatId(7), 1), None, "byte {index}");
    }
}

/// Guards against hints that are accepted for another chat, after expiry or when malformed.
#[test]
fn verify_foreign_expired_or_malformed_hint_is_rejected() {
    let key = HintKey::derive("secret");
    let text = key.sign(&hint());
    assert_eq!(key.verify(&text, ChatId(8), 1), None);
    assert_eq!(key.verify(&text, ChatId(7), 100), None);
    for malformed in [
        "",
        "AAAA",
        "***",
        &"A".repeat(HINT_MAX_CHARS + 1),
        &text[1..],
    ] {
        assert_eq!(key.verify(malformed, ChatId(7), 1), None, "{malformed}");
    }
}
