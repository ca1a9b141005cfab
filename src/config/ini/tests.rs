use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{Document, FILE_MAX_BYTES};

fn parse_error(bytes: &[u8]) -> (usize, String) {
    let error = Document::parse_bytes("x.ini", bytes).expect_err("an invalid file");
    assert!(!error.remedy.is_empty());
    (error.line, error.problem)
}

/// Guards against error messages with a wrong line number after a byte order mark, comments, blank
/// lines or CRLF line ends.
#[test]
fn parse_keeps_line_numbers_after_comments_and_blank_lines() {
    let text = "\u{feff}# a\n\n[router]\n; b\nname = r1\n\n  zone=z1\r\n[log]\nlevel = info\n";
    let document = Document::parse("x.ini", text).expect("a valid file");
    let lines: Vec<_> = document
        .sections
        .iter()
        .flat_map(|section| {
            let entries = section.entries.iter();
            let header = (section.name.as_str(), section.line);
            std::iter::once(header).chain(entries.map(|entry| (entry.key.as_str(), entry.line)))
        })
        .collect();
    let expected = [
        ("router", 3),
        ("name", 5),
        ("zone", 7),
        ("log", 8),
        ("level", 9),
    ];
    assert_eq!(lines, expected);
    assert_eq!(document.sections[0].entries[1].value, "z1");
}

/// Guards against a key with an empty value that swallows the next line.
#[test]
fn parse_empty_value_stays_empty() {
    let document = Document::parse("x.ini", "[a]\nk =\nl = 1\n").expect("a valid file");
    let entries = &document.sections[0].entries;
    assert_eq!((entries[0].value.as_str(), entries[0].line), ("", 2));
    assert_eq!((entries[1].value.as_str(), entries[1].line), ("1", 3));
}

/// Guards against invalid files that are accepted in part, or rejected with a wrong line number.
#[test]
fn parse_bytes_reports_line_and_problem_of_invalid_files() {
    let large = vec![b'#'; FILE_MAX_BYTES as usize + 1];
    let cases: [(&[u8], usize, &str); 10] = [
        (b"", 0, "no section"),
        (b"\n\n# only a comment\n", 0, "no section"),
        (b"[a]\nk = \xff\xfe\n", 2, "not UTF-8"),
        (b"[a]\nk = 1\nl = \0\n", 3, "NUL"),
        (b"k = 1\n[a]\n", 1, "before the first section"),
        (b"[a]\nk = 1\nk = 2\n", 3, "twice"),
        (b"[a]\nk = 1\n[b]\n[a]\nl = 1\n", 4, "twice"),
        (b"[a]\nno sign\nk = 1\n", 2, "not valid INI"),
        (b"[a\nk = 1\n", 1, "not valid INI"),
        (&large, 0, "larger than"),
    ];
    for (bytes, line, problem) in cases {
        let shown = String::from_utf8_lossy(&bytes[..bytes.len().min(40)]);
        let found = parse_error(bytes);
        assert!(found.1.contains(problem), "{shown:?}: {found:?}");
        assert_eq!(found.0, line, "{shown:?}: {found:?}");
    }
}

/// Guards against panics on random text, and against sections and entries with the number of a line
/// that does not contain them.
#[test]
fn parse_random_text_reports_lines_that_contain_the_entries() {
    let mut rng = StdRng::seed_from_u64(11);
    let pieces = [
        "[a]\n",
        "[b c]\r\n",
        "k = v\n",
        "l=\n",
        "m = x = y\n",
        "# c\n",
        "[a]",
        "k = v",
        "=",
        "#",
        ";",
        "\n",
        "\r",
        "[",
        "]",
        " ",
        "é",
        ":",
        "\"",
        "\\",
        "'",
    ];
    let mut accepted = 0;
    for _ in 0..20_000 {
        let count = rng.random_range(0..16);
        let text: String = (0..count)
            .map(|_| pieces[rng.random_range(0..pieces.len())])
            .collect();
        let Ok(document) = Document::parse("x.ini", &text) else {
            continue;
        };
        accepted += 1;
        let lines: Vec<&str> = text.lines().collect();
        for section in &document.sections {
            let line = lines[section.line - 1];
            assert!(line.contains(&section.name), "{text:?}: {section:?}");
            for entry in &section.entries {
                let line = lines[entry.line - 1];
                assert!(line.contains(&entry.key), "{text:?}: {entry:?}");
                assert!(line.contains(&entry.value), "{text:?}: {entry:?}");
            }
        }
    }
    assert!(accepted > 500, "only {accepted} texts were accepted");
}

/// Guards against accepting numbers that have a unit, are out of range or are not finite.
#[test]
fn section_reader_rejects_invalid_numbers() {
    for value in ["5s", "5 ms", "-1", "", "1e3", "101"] {
        let text = format!("[a]\nk_ms = {value}\n");
        let document = Document::parse("x.ini", &text).expect("valid INI");
        let mut reader = document.readers().next().expect("one section");
        let error = reader.number("k_ms", 1, 0, 100).expect_err(value);
        assert_eq!(error.line, 2, "{error}");
    }
    for value in ["NaN", "inf", "1.5", "one"] {
        let text = format!("[a]\nk = {value}\n");
        let document = Document::parse("x.ini", &text).expect("valid INI");
        let mut reader = document.readers().next().expect("one section");
        reader.decimal("k", 0.5, 0.0, 1.0).expect_err(value);
    }
}
