//! Property tests with a fixed seed.

/// Seed of all property tests.
pub const SEED: u64 = 0xacac1a;
/// Size of generated values, as quickcheck defines it.
pub const SIZE: usize = 100;
/// Default number of cases per property; `ACACIA_CASES` overrides it.
const DEFAULT_CASES: u64 = 2_000;

/// Number of cases per property.
pub fn cases() -> u64 {
    std::env::var("ACACIA_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(DEFAULT_CASES)
}

/// Defines a test for each property.
macro_rules! properties {
    ($(fn $name:ident($($argument:ident: $kind:ty),*) -> bool $body:block)*) => {
        $(
            #[test]
            fn $name() {
                fn property($($argument: $kind),*) -> bool $body
                let random = quickcheck::Gen::from_size_and_seed(common::SIZE, common::SEED);
                let cases = common::cases();
                quickcheck::QuickCheck::new()
                    .rng(random)
                    .tests(cases)
                    .max_tests(cases)
                    .quickcheck(property as fn($($kind),*) -> bool);
            }
        )*
    };
}
