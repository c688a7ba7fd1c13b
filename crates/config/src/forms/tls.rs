//! Checks the arguments of `tls(...)`: TLS towards Consul.

use super::Form;
use orchidyoke_consul::settings::Tls;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// Arguments of `tls(...)`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TlsForm {
    ca: PathBuf,
    cert: Option<PathBuf>,
    key: Option<PathBuf>,
    server_name: Option<String>,
}

impl Form for TlsForm {
    const FIELDS: &'static [&'static str] = &["ca", "cert", "key", "server_name"];

    fn check(&mut self, folder: &Path) -> Result<(), String> {
        let paths = [Some(&mut self.ca), self.cert.as_mut(), self.key.as_mut()];
        for path in paths.into_iter().flatten() {
            *path = folder.join(&path);
        }
        let tls = self.clone().into_settings();
        // The expected address is known only when a connection is opened, so only the name is checked here.
        let any_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        tls.expected_server_name(any_address).map_err(|error| error.to_string())?;
        tls.load().map(drop).map_err(|error| error.to_string())
    }
}

impl TlsForm {
    pub(super) fn into_settings(self) -> Tls {
        let TlsForm { ca, cert, key, server_name } = self;
        Tls { ca, cert, key, server_name }
    }
}
