//! Defines the functions that a script can call besides Starlark's own: `consul`, `ownership`, `policy`, `member`,
//! `service` and `tls`. Their arguments are passed by name.
//!
//! `service(...)`, `tls(...)` and `member(...)` return a value that is passed to one of the other functions.
//! `consul(...)`, `ownership(...)` and `policy(...)` request settings; a script calls each of them at most once.

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

/// The settings that a script has requested so far. Each key is a function's name, and its value is the function's form
/// as JSON; the value of [`FOLDER_KEY`] is the script's folder. This is a standard type because the evaluator passes it
/// to functions through a trait that a type of this crate could implement only with `unsafe`.
pub(crate) type Requests = RefCell<BTreeMap<String, String>>;

/// The key of the script's folder in [`Requests`].
pub(crate) const FOLDER_KEY: &str = "";
/// Names of the functions that request settings.
pub(crate) const CONSUL: &str = "consul";
pub(crate) const OWNERSHIP: &str = "ownership";
pub(crate) const POLICY: &str = "policy";

/// The arguments of a function by their names.
type Arguments<'v> = SmallMap<String, Value<'v>>;

fn requests_of<'a>(evaluator: &Evaluator<'_, 'a, '_>) -> anyhow::Result<&'a Requests> {
    let extra = evaluator.extra.and_then(|extra| extra.downcast_ref());
    extra.ok_or_else(|| anyhow!("this function is not available here"))
}

/// Reads the arguments of a function into its form and checks the form.
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

/// Reads and checks the arguments of a function, and returns its form as a Starlark value.
fn form_value<'v, F: Form>(
    function: &str,
    arguments: &Arguments<'v>,
    evaluator: &mut Evaluator<'v, '_, '_>,
) -> anyhow::Result<Value<'v>> {
    let form: F = read_form(function, arguments, requests_of(evaluator)?)?;
    Ok(evaluator.heap().alloc(serde_json::to_value(form)?))
}

/// Stores a checked form as the request of `function`. Returns an error if the script has called the function before;
/// `only_one` is the reason in that error.
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
        return Err(anyhow!("{function}: is called more than once: {only_one}"));
    }
    Ok(NoneType)
}

/// Adds the functions of this module to the globals of a script.
pub(crate) fn builtins(builder: &mut GlobalsBuilder) {
    value_functions(builder);
    request_functions(builder);
}

#[starlark_module]
fn value_functions(builder: &mut GlobalsBuilder) {
    /// Describes TLS towards a server: `ca`, and optionally `cert` with `key`, and `server_name`.
    fn tls<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        form_value::<TlsForm>("tls", &fields, eval)
    }

    /// Describes a service of the catalogue: `name`, `destination`, `kind`, `zone`, and optionally `zone_meta`,
    /// `capacity` and `filter`.
    fn service<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        form_value::<ServiceForm>("service", &fields, eval)
    }

    /// Describes a forwarder of the fleet: `name`, `zone`, `address`, and optionally `region` and `weight`.
    fn member<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        form_value::<MemberForm>("member", &fields, eval)
    }
}

#[starlark_module]
fn request_functions(builder: &mut GlobalsBuilder) {
    /// Requests Consul as the source of endpoints: `addresses`, `services`, `networks`, and optionally `tls`,
    /// `token_file`, `datacenter`, `namespace`, `consistency`, `max_stale`, `wait` and `connections`.
    fn consul<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        request::<ConsulForm>(CONSUL, &fields, eval, "the endpoint list has one source")
    }

    /// Requests owners of destinations: `name` and `region` of this forwarder, `regions` with the zones of each, and
    /// `members`.
    fn ownership<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        request::<OwnershipForm>(OWNERSHIP, &fields, eval, "a forwarder belongs to one region")
    }

    /// Requests the policy commit point of the fleet, in Consul: `addresses`, and optionally `prefix`, `name`, `ttl`,
    /// `tls`, `token_file`, `datacenter` and `namespace`.
    fn policy<'v>(
        #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        request::<PolicyForm>(POLICY, &fields, eval, "a fleet has one commit point")
    }
}
