//! A rules document that uses every key.

pub(crate) const RULES: &str = "\
tenants:
- tenant: alama
  key_sha256:
  - aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
  - bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb
  limits:
    requests_per_s: 20
    burst: 40
    concurrent: 40
    batch_items_open: 100000
  weight: 3
- tenant: taevakorv
pools:
- {pool: alama, kind: engine, models: [alama-llm, alama-small]}
- {pool: alama-spare, kind: engine, models: alama-llm}
- pool: registry-desk
  kind: service
  service: registry-desk
  repeatable: [GET, PUT]
  order_fencing: checked
  hosts: [http://10.0.0.1:8080]
- {pool: vautsher-app, kind: service, service: vautsher-app}
rules:
- name: season
  when:
    class: batch
    dates: {from: 2026-12-01, to: 2026-12-26, zone: Africa/Dar_es_Salaam}
    pool_load: {pool: alama, above: 0.8}
  then: {shed: true}
- name: urgent
  when:
    class: batch
    due_in_ms: {below: 3600000}
  then: {pool: alama, batch_share: 0.9, batch_floor: 0.5}
- name: night
  when:
    class: batch
    time_of_day: {from: 20:00, to: 06:00, zone: Africa/Dar_es_Salaam}
  then: {pool: alama, batch_share: 0.8}
- name: offices
  when: {header: {name: X-Branch, prefix: dar-}}
  then: {pool: alama, retries: 0}
- name: counter
  when: {class: online, tenant: [alama], model: [alama-llm]}
  then:
    pool: alama
    fallback_pools: [alama-spare]
    deadline_ms: 30000
    first_token_ms: 1400
    hedge_ms: 900
    rate_per_s: 50
    concurrent: 100
- when: {prompt_bytes: {min: 10000}}
  then: {refuse: {status: 429, detail: too long at this hour}}
- name: rebooking
  when: {service: vautsher-app, method: POST, path: [/book, /svc/*]}
  then: {pool: vautsher-app, repeatable: false}
- when: {service: [vautsher-app]}
  then: {pool: vautsher-app}
- when: {service: registry-desk}
  then: {pool: registry-desk}
";
