//! Property tests: names and key digests that parse are formatted unchanged.

use pomeloslip_base::{Customer, EndpointName, KeyDigest, RequestId};
use proptest::{prelude::*, test_runner::RngSeed};

/// Generates cases from a fixed seed; `PROPERTY_FACTOR` multiplies their
/// number.
fn config(cases: u32) -> ProptestConfig {
    let factor = std::env::var("PROPERTY_FACTOR").ok();
    let factor = factor.and_then(|text| text.parse().ok()).unwrap_or(1);
    ProptestConfig {
        cases: cases.saturating_mul(factor),
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (1..=128).contains(&text.len()) && text.chars().all(allowed)
}

/// Guards against accepting a key digest with a plus sign, which no key has,
/// so that its customer could never call: `from_str_radix` accepts a sign
/// before a digit.
#[test]
fn a_sign_is_no_hex_digit() {
    let signed = "+f".repeat(32);
    assert!(signed.parse::<KeyDigest>().is_err());
    assert!("0f".repeat(32).parse::<KeyDigest>().is_ok());
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn names_are_shown_as_they_were_parsed(
        text in "([a-zA-Z0-9._-]{0,140}|.{0,40}|[a-z]{1,9}.[a-z]{1,9})",
    ) {
        match text.parse::<Customer>() {
            Ok(name) => {
                prop_assert!(is_name(&text));
                prop_assert_eq!(name.to_string(), &text[..]);
                let json = serde_json::to_string(&name).expect("serializes");
                let back: Customer =
                    serde_json::from_str(&json).expect("deserializes");
                prop_assert_eq!(back, name);
            }
            Err(error) => {
                prop_assert!(!is_name(&text));
                prop_assert!(error.to_string().contains("tenant"));
                let json = serde_json::to_string(&text).expect("serializes");
                prop_assert!(
                    serde_json::from_str::<EndpointName>(&json).is_err()
                );
            }
        }
    }

    #[test]
    fn drawn_request_ids_are_names(random: u128) {
        let id = RequestId::from_random(random);
        prop_assert_eq!(id.as_str().parse::<RequestId>(), Ok(id.clone()));
    }

    #[test]
    fn digests_come_back(key in ".{0,40}") {
        let digest = KeyDigest::of_key(&key);
        let text = digest.to_string();
        prop_assert_eq!(text.parse(), Ok(digest));
        prop_assert_eq!(text.to_uppercase().parse(), Ok(digest));
    }

    #[test]
    fn only_64_hex_digits_are_a_digest(
        text in "([0-9a-fA-F]{63,65}|[0-9a-f]{0,64}[^0-9a-f][0-9a-f]{0,64}\
            |[0-9a-f]{31}[+ -][0-9a-f]{32})",
    ) {
        let is_hex = text.chars().all(|c| c.is_ascii_hexdigit());
        let is_valid = text.len() == 64 && is_hex;
        match text.parse::<KeyDigest>() {
            Ok(digest) => {
                prop_assert!(is_valid, "{text:?} was accepted");
                prop_assert_eq!(digest.to_string(), text.to_lowercase());
            }
            Err(_) => prop_assert!(!is_valid),
        }
    }
}
