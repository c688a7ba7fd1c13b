//! The functions that a script has beside Starlark's own: `consul`, `ownership`, `policy`, `member`, `service` and `tls`.
//! All their arguments are named.
//!
//! `service(...)`, `tls(...)` and `member(...)` give a value that goes into one of the others, each of which says what is
//! wanted, once.

use crate::forms::{ConsulForm, Form, PolicyForm, ServiceForm, TlsForm, unknown};
use crate::ownership::{MemberForm, OwnershipForm};
use anyhow::anyhow;
use serde_json::{Map, Value as Json};
use starlark::collections::SmallMap;
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::Value;
use starlark::values::none::NoneType;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// What a script has asked for so far: the forms as JSON, by their function, and its folder by [`FOLDER`]. The evaluator
/// hands a value on to functions only if its type is one of the standard library's.
pub(crate) type Requests = RefCell<BTreeMap<String, String>>;

/// Where the folder of the script stands among what it has asked for.
pub(crate) const FOLDER_KEY: &str = "";

fn requests_of<'a>(eval: &Evaluator<'_, 'a, '_>) -> anyhow::Result<&'a Requests> {
    eval.extra.and_then(|extra| extra.downcast_ref()).ok_or_else(|| anyhow!("this word has no place here"))
}

/// Reads the arguments of a function into its form and checks it.
fn read_form<F: Form>(
    word: &str,
    fields: &SmallMap<String, Value<'_>>,
    requests: &Requests,
) -> anyhow::Result<F> {
    let mut json = Map::new();
    for (name, value) in fields {
        if !F::FIELDS.contains(&name.as_str()) {
            return Err(anyhow!("{word}: {}", unknown("field", name, F::FIELDS.iter().copied())));
        }
        let value = value.to_json_value().map_err(|error| anyhow!("{word}: {name}: {error}"))?;
        json.insert(name.clone(), value);
    }
    let read = serde_path_to_error::deserialize(Json::Object(json));
    let mut form: F = read.map_err(|error| match error.path().to_string().as_str() {
        "." => anyhow!("{word}: {}", error.inner()),
        path => anyhow!("{word}: {path}: {}", error.inner()),
    })?;
    let folder = requests.borrow().get(FOLDER_KEY).map(PathBuf::from).unwrap_or_default();
    form.check(&folder).map_err(|why| anyhow!("{word}: {why}"))?;
    Ok(form)
}

#[starlark_module]
pub(crate) fn builtins(builder: &mut GlobalsBuilder) {
    /// TLS towards a server: `ca`, and perhaps `cert` with `key`, and `server_name`.
    fn tls<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let form: TlsForm = read_form("tls", &fields, requests_of(eval)?)?;
        Ok(eval.heap().alloc(serde_json::to_value(form)?))
    }

    /// A service of the catalogue: `name`, `destination`, `kind`, `zone`, and perhaps `zone_meta`, `capacity` and
    /// `filter`.
    fn service<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let form: ServiceForm = read_form("service", &fields, requests_of(eval)?)?;
        Ok(eval.heap().alloc(serde_json::to_value(form)?))
    }

    /// Consul as the source of the transport map: `addresses`, `services`, `networks`, and perhaps `tls`,
    /// `token_file`, `datacenter`, `namespace`, `consistency`, `max_stale`, `wait` and `connections`.
    fn consul<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let requests = requests_of(eval)?;
        let form: ConsulForm = read_form("consul", &fields, requests)?;
        if requests.borrow_mut().insert("consul".to_owned(), serde_json::to_string(&form)?).is_some() {
            return Err(anyhow!("consul: is asked for twice: the transport map has one source"));
        }
        Ok(NoneType)
    }

    /// A forwarder of the fleet: `name`, `zone`, `address`, and perhaps `region` and `weight`.
    fn member<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let form: MemberForm = read_form("member", &fields, requests_of(eval)?)?;
        Ok(eval.heap().alloc(serde_json::to_value(form)?))
    }

    /// Owners of destinations: `name` and `region` of this forwarder, `regions` with the zones of each, and `members`.
    fn ownership<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let requests = requests_of(eval)?;
        let form: OwnershipForm = read_form("ownership", &fields, requests)?;
        if requests.borrow_mut().insert("ownership".to_owned(), serde_json::to_string(&form)?).is_some() {
            return Err(anyhow!("ownership: is asked for twice: a forwarder stands in one region"));
        }
        Ok(NoneType)
    }

    /// Policy epochs of the fleet, with their commit point in Consul: `addresses`, and perhaps `prefix`, `name`, `ttl`,
    /// `tls`, `token_file`, `datacenter` and `namespace`.
    fn policy<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let requests = requests_of(eval)?;
        let form: PolicyForm = read_form("policy", &fields, requests)?;
        if requests.borrow_mut().insert("policy".to_owned(), serde_json::to_string(&form)?).is_some() {
            return Err(anyhow!("policy: is asked for twice: a fleet has one commit point"));
        }
        Ok(NoneType)
    }
}
