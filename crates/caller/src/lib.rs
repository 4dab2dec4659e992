//! Placeholder head.
