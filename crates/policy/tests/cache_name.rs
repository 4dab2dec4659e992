//! Names of KV cache blocks.

use acacia_policy::cache::chain;
use acacia_policy::request::BLOCK_TOKENS;

fn prompt(blocks: usize, rest: usize) -> Vec<u32> {
    (0..(blocks * BLOCK_TOKENS + rest) as u32).collect()
}

#[test]
fn chain_partial_block() {
    assert!(chain("s", "m", "v1", None, &prompt(0, 1_999)).is_empty());
    assert_eq!(chain("s", "m", "v1", None, &prompt(3, 7)).len(), 3);
}

#[test]
fn chain_longer_prompt() {
    let short = chain("s", "m", "v1", None, &prompt(2, 0));
    let long = chain("s", "m", "v1", None, &prompt(4, 100));
    assert_eq!(short, long[..2]);
}

#[test]
fn chain_distinct_inputs() {
    let tokens = prompt(1, 0);
    let names = [
        chain("s", "m", "v1", None, &tokens),
        chain("t", "m", "v1", None, &tokens),
        chain("s", "n", "v1", None, &tokens),
        chain("s", "m", "v2", None, &tokens),
        chain("s", "m", "v1", Some(""), &tokens),
        chain("s", "m", "v1", Some("a"), &tokens),
        chain("s", "mv", "1", None, &tokens),
    ];
    for (i, a) in names.iter().enumerate() {
        assert!(names[i + 1..].iter().all(|b| a != b), "{i}");
    }
}

#[test]
fn chain_changed_first_token() {
    let mut tokens = prompt(3, 0);
    let before = chain("s", "m", "v1", None, &tokens);
    tokens[0] += 1;
    let after = chain("s", "m", "v1", None, &tokens);
    assert!(before.iter().zip(&after).all(|(a, b)| a != b));
}
