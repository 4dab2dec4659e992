//! Properties from a fixed seed.

/// Seed of every property.
pub const SEED: u64 = 0xacac1a;
/// Size of generated values.
pub const SIZE: usize = 100;
/// Cases of each property, unless `ACACIA_CASES` says otherwise.
const CASES: u64 = 2_000;

/// Cases of each property.
pub fn cases() -> u64 {
    std::env::var("ACACIA_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(CASES)
}

/// Makes a test of each property.
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
