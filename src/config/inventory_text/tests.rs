use super::InventoryText;

fn text(content: &str) -> InventoryText {
    InventoryText::parse("test", content.as_bytes()).expect("valid INI")
}

/// Guards against a delta that results in a different text than the accepted one.
#[test]
fn apply_of_diff_results_in_next_text() {
    let texts = [
        "[a]\nk = 1\n",
        "[a]\nk = 2\n[b]\n",
        "[b]\n[c]\nx = [y]\n",
        "[a]\nk = 1\n[c]\nx = 2\n",
    ];
    for old in texts {
        for new in texts {
            let (old, new) = (text(old), text(new));
            let next = old.apply(&old.diff(&new));
            assert_eq!(next.digest(), new.digest());
        }
    }
}

/// Guards against a digest that depends on comments or the order of sections, which a delta does
/// not contain.
#[test]
fn digest_ignores_comments_and_section_order() {
    let a = text("[a]\nk=1\n; note\n[b]\nx = 2\n");
    let b = text("[b]\n\nx =  2\n[a]\nk = 1\n");
    assert_eq!(a.digest(), b.digest());
    assert_ne!(a.digest(), text("[a]\nk = 2\n[b]\nx = 2\n").digest());
}
