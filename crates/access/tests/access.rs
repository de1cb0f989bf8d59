//! Tests of key validation and of the identification of requests.

use http::{HeaderMap, HeaderName, HeaderValue};
use pomeloslip_access::{
    Admitted, ApiKey, ApiKeyError, Arrived, ConfigFreshness, CustomerSpec,
    Customers, CustomersError, Denied, KeyHeaders,
};
use yare::parameterized;

fn names() -> KeyHeaders {
    KeyHeaders {
        credential: HeaderName::from_static("x-key"),
        customer: HeaderName::from_static("x-customer"),
    }
}

fn spec(name: &str, keys: &[&str]) -> CustomerSpec {
    let keys = keys.iter().map(|key| ApiKey::parse(key.as_bytes()));
    CustomerSpec {
        keys: keys.collect::<Result<_, _>>().expect("keys"),
        ..CustomerSpec::new(name.parse().expect("a name"))
    }
}

fn customers() -> Customers {
    let specs = vec![spec("alama", &["key-a"]), spec("taevakorv", &[])];
    Customers::new(specs).expect("customers")
}

fn headers(keys: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for key in keys {
        let value = HeaderValue::from_bytes(key.as_bytes()).expect("value");
        headers.append("x-key", value);
    }
    headers.append("x-customer", HeaderValue::from_static("made-up"));
    headers
}

/// Returns the customer, or the reason for which the request is denied.
fn identify(
    keys: &[&str],
    public: bool,
    freshness: ConfigFreshness,
) -> Result<Option<String>, Denied> {
    let mut headers = headers(keys);
    let arrived = Arrived::from_headers(&mut headers, &names());
    assert!(headers.is_empty(), "no credential is passed on");
    let table = customers();
    let identified = arrived.identify(Some(&table), public, freshness)?;
    Ok(identified.customer().map(ToString::to_string))
}

#[parameterized(
    known = { &["key-a"], ConfigFreshness::Fresh, Ok(()) },
    known_by_an_old_configuration = {
        &["key-a"], ConfigFreshness::Stale, Ok(())
    },
    known_but_not_confirmed = {
        &["key-a"], ConfigFreshness::Expired, Err(false)
    },
    unknown = { &["key-b"], ConfigFreshness::Fresh, Err(true) },
    unknown_to_an_old_configuration = {
        &["key-b"], ConfigFreshness::Stale, Err(false)
    },
    none = { &[], ConfigFreshness::Fresh, Err(true) },
    none_by_an_old_configuration = { &[], ConfigFreshness::Stale, Err(false) },
    several = { &["key-a", "key-a"], ConfigFreshness::Fresh, Err(true) },
    empty = { &[""], ConfigFreshness::Fresh, Err(true) },
    with_a_space = { &["key a"], ConfigFreshness::Fresh, Err(true) },
)]
fn a_key_is_identified_by_the_known_configuration(
    keys: &[&str],
    freshness: ConfigFreshness,
    expected: Result<(), bool>,
) {
    let result = identify(keys, false, freshness);
    let certain = |denied| matches!(denied, Denied::Unknown(_));
    assert_eq!(result.map(|_| ()).map_err(certain), expected);
}

#[parameterized(
    without_a_key = { &[], None },
    with_a_known_one = { &["key-a"], Some("alama") },
    with_an_unknown_one = { &["key-b"], None },
    with_several = { &["key-a", "key-a"], None },
)]
fn a_public_route_needs_no_key(keys: &[&str], customer: Option<&str>) {
    for freshness in [ConfigFreshness::Fresh, ConfigFreshness::Expired] {
        let identified = identify(keys, true, freshness).expect("served");
        assert_eq!(identified.as_deref(), customer);
    }
}

#[test]
fn without_customers_everybody_is_served() {
    let mut headers = headers(&["anything"]);
    let arrived = Arrived::from_headers(&mut headers, &names());
    let identified = arrived.identify(None, false, ConfigFreshness::Expired);
    assert!(identified.expect("served").caller().is_none());
    assert!(headers.is_empty());
}

/// Guards against passing a key or a forged customer name to an engine: items
/// of a job have headers of their own, which `from_headers` does not see.
#[test]
fn customer_headers_of_an_item_are_replaced() {
    let mut headers = headers(&["key-a"]);
    let customer = "taevakorv".parse().expect("a name");
    Admitted::item(Some(customer)).write(&mut headers, &names());
    assert_eq!(headers.len(), 1);
    assert_eq!(headers["x-customer"], "taevakorv");
    Admitted::item(None).write(&mut headers, &names());
    assert!(headers.is_empty());
}

#[parameterized(
    empty = { b"", ApiKeyError::Empty },
    overlong = { &[b'k'; 257], ApiKeyError::TooLong },
    not_ascii = { "k\u{e9}y".as_bytes(), ApiKeyError::InvalidCharacter },
    control = { b"key\n", ApiKeyError::InvalidCharacter },
    not_text = { &[0xff, 0xfe], ApiKeyError::InvalidCharacter },
)]
fn an_invalid_key_is_rejected(text: &[u8], error: ApiKeyError) {
    assert_eq!(ApiKey::parse(text), Err(error));
}

#[test]
fn ambiguous_customers_are_rejected() {
    let same = vec![spec("alama", &[]), spec("alama", &[])];
    let error = Customers::new(same).expect_err("refused");
    assert!(matches!(error, CustomersError::SameName(_)), "{error}");
    let shared = vec![spec("alama", &["k"]), spec("taevakorv", &["k"])];
    let error = Customers::new(shared).expect_err("refused");
    assert!(matches!(error, CustomersError::SharedKey(_)), "{error}");
    assert!(!error.to_string().contains("\"k\""));
    let twice = Customers::new(vec![spec("alama", &["k", "k"])]);
    assert!(twice.is_ok(), "a customer may repeat its own key");
    let key = ApiKey::parse(b"k").expect("a key");
    let many = CustomerSpec {
        keys: vec![key; 100_000],
        ..spec("alama", &[])
    };
    let error = Customers::new(vec![many]).expect_err("refused");
    assert_eq!(error, CustomersError::TooManyKeys(100_000));
}

#[test]
fn no_debug_output_shows_a_key_or_its_digest() {
    let key = ApiKey::parse(b"key-a").expect("a key");
    let digest = base::KeyDigest::of_key("key-a").to_string();
    let arrived = Arrived::from_headers(&mut headers(&["key-a"]), &names());
    let shown = format!("{key:?} {:?} {arrived:?}", customers());
    assert!(!shown.contains("key-a"), "{shown}");
    assert!(!shown.contains(&digest[..8]), "{shown}");
}
