//! The functions that a script has besides Starlark's own: `consul`, `ownership`, `policy`, `member`, `service` and `tls`.
//! All their arguments are named.
//!
//! `service(...)`, `tls(...)` and `member(...)` return a value for one of the others. `consul(...)`, `ownership(...)` and
//! `policy(...)` request settings, each at most once.

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

/// What a script has requested so far: the forms as JSON by their function, and the script's folder by [`FOLDER_KEY`]. A
/// type of its own would need an unsafe implementation of the trait by which the evaluator passes it to functions; the
/// standard library's types have one.
pub(crate) type Requests = RefCell<BTreeMap<String, String>>;

/// The key of the script's folder among its requests.
pub(crate) const FOLDER_KEY: &str = "";
/// The functions that request settings.
pub(crate) const CONSUL: &str = "consul";
pub(crate) const OWNERSHIP: &str = "ownership";
pub(crate) const POLICY: &str = "policy";

/// The arguments of a function.
type Arguments<'v> = SmallMap<String, Value<'v>>;

fn requests_of<'a>(evaluator: &Evaluator<'_, 'a, '_>) -> anyhow::Result<&'a Requests> {
    let extra = evaluator.extra.and_then(|extra| extra.downcast_ref());
    extra.ok_or_else(|| anyhow!("this function is not available here"))
}

/// Reads the arguments of a function into its form and checks it.
fn read_form<F: Form>(function: &str, arguments: &Arguments<'_>, requests: &Requests) -> anyhow::Result<F> {
    let arguments = arguments_to_json::<F>(function, arguments)?;
    let mut form: F =
        serde_path_to_error::deserialize(Json::Object(arguments)).map_err(|error| {
            match error.path().to_string().as_str() {
                "." => anyhow!("{function}: {}", error.inner()),
                path => anyhow!("{function}: {path}: {}", error.inner()),
            }
        })?;
    let folder = requests.borrow().get(FOLDER_KEY).map(PathBuf::from).unwrap_or_default();
    form.check(&folder).map_err(|reason| anyhow!("{function}: {reason}"))?;
    Ok(form)
}

fn arguments_to_json<F: Form>(
    function: &str,
    arguments: &Arguments<'_>,
) -> anyhow::Result<Map<String, Json>> {
    let mut json = Map::new();
    for (name, value) in arguments {
        if !F::FIELDS.contains(&name.as_str()) {
            return Err(anyhow!("{function}: {}", unknown("field", name, F::FIELDS.iter().copied())));
        }
        let value = value.to_json_value().map_err(|error| anyhow!("{function}: {name}: {error}"))?;
        json.insert(name.clone(), value);
    }
    Ok(json)
}

/// Returns a checked form as a value of the script.
fn form_value<'v, F: Form>(
    function: &str,
    arguments: &Arguments<'v>,
    evaluator: &mut Evaluator<'v, '_, '_>,
) -> anyhow::Result<Value<'v>> {
    let form: F = read_form(function, arguments, requests_of(evaluator)?)?;
    Ok(evaluator.heap().alloc(serde_json::to_value(form)?))
}

/// Requests settings by a checked form, once a script; `only_one` says why.
fn request<F: Form>(
    function: &str,
    arguments: &Arguments<'_>,
    evaluator: &Evaluator<'_, '_, '_>,
    only_one: &str,
) -> anyhow::Result<NoneType> {
    let requests = requests_of(evaluator)?;
    let form: F = read_form(function, arguments, requests)?;
    let earlier = requests.borrow_mut().insert(function.to_owned(), serde_json::to_string(&form)?);
    if earlier.is_some() {
        return Err(anyhow!("{function}: is asked for twice: {only_one}"));
    }
    Ok(NoneType)
}

/// Adds the functions of this module.
pub(crate) fn builtins(builder: &mut GlobalsBuilder) {
    value_functions(builder);
    request_functions(builder);
}

#[starlark_module]
fn value_functions(builder: &mut GlobalsBuilder) {
    /// TLS towards a server: `ca`, and optionally `cert` with `key`, and `server_name`.
    fn tls<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        form_value::<TlsForm>("tls", &fields, eval)
    }

    /// A service of the catalogue: `name`, `destination`, `kind`, `zone`, and optionally `zone_meta`, `capacity` and
    /// `filter`.
    fn service<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        form_value::<ServiceForm>("service", &fields, eval)
    }

    /// A forwarder of the fleet: `name`, `zone`, `address`, and optionally `region` and `weight`.
    fn member<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        form_value::<MemberForm>("member", &fields, eval)
    }
}

#[starlark_module]
fn request_functions(builder: &mut GlobalsBuilder) {
    /// Consul as the source of endpoints: `addresses`, `services`, `networks`, and optionally `tls`, `token_file`,
    /// `datacenter`, `namespace`, `consistency`, `max_stale`, `wait` and `connections`.
    fn consul<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        request::<ConsulForm>(CONSUL, &fields, eval, "the endpoint list has one source")
    }

    /// The owners of destinations: `name` and `region` of this forwarder, `regions` with the zones of each, and `members`.
    fn ownership<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        request::<OwnershipForm>(OWNERSHIP, &fields, eval, "a forwarder stands in one region")
    }

    /// The policy commit point of the fleet, in Consul: `addresses`, and optionally `prefix`, `name`, `ttl`, `tls`,
    /// `token_file`, `datacenter` and `namespace`.
    fn policy<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        request::<PolicyForm>(POLICY, &fields, eval, "a fleet has one commit point")
    }
}
