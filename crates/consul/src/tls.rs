//! TLS towards Consul: files into a rustls configuration, and errors into plain lines.

use crate::settings::Tls;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, InvalidDnsNameError, PrivateKeyDer, ServerName};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;
use thiserror::Error;
use tokio_rustls::rustls::{self, CertificateError, ClientConfig, RootCertStore, crypto::ring};

/// Why TLS cannot be set up, in one line.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file cannot be read, or holds nothing of use.
    #[error("{path}: {why}")]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        why: String,
    },
    /// Certificate and key do not fit, or one is without the other.
    #[error("{0}")]
    Pair(String),
    /// The name that is expected is none.
    #[error("server_name: not a DNS name: {0}")]
    Name(#[from] InvalidDnsNameError),
}

/// What the files were like when they were read: another stamp means that they were replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileVersions(Vec<Option<(SystemTime, u64)>>);

impl Tls {
    fn files(&self) -> impl Iterator<Item = &Path> {
        [Some(&self.ca), self.cert.as_ref(), self.key.as_ref()].into_iter().flatten().map(PathBuf::as_path)
    }

    /// The stamp of the files as they are now.
    pub fn file_versions(&self) -> FileVersions {
        let stamp = |path| std::fs::metadata(path).and_then(|data| Ok((data.modified()?, data.len()))).ok();
        FileVersions(self.files().map(stamp).collect())
    }

    /// Reads the files.
    pub fn load(&self) -> Result<Arc<ClientConfig>, TlsError> {
        let bad = |path: &Path, why: String| TlsError::File { path: path.to_owned(), why };
        let certificates = |path: &Path| {
            let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
            let read = read.map_err(|error| bad(path, error.to_string()))?;
            if read.is_empty() {
                Err(bad(path, "there is no certificate in it".to_owned()))
            } else {
                Ok(read)
            }
        };
        let mut roots = RootCertStore::empty();
        for authority in certificates(&self.ca)? {
            roots.add(authority).map_err(|error| bad(&self.ca, error.to_string()))?;
        }
        let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(|error| TlsError::Pair(error.to_string()))?
            .with_root_certificates(roots);
        let config = match (&self.cert, &self.key) {
            (None, None) => builder.with_no_client_auth(),
            (Some(cert), Some(key)) => {
                let pair = PrivateKeyDer::from_pem_file(key).map_err(|error| bad(key, error.to_string()))?;
                builder.with_client_auth_cert(certificates(cert)?, pair).map_err(|error| {
                    let (cert, key) = (cert.display(), key.display());
                    TlsError::Pair(format!(
                        "the key in {key} does not fit the certificate in {cert}: {error}"
                    ))
                })?
            }
            _ => return Err(TlsError::Pair("cert and key are given together or not at all".to_owned())),
        };
        Ok(Arc::new(config))
    }

    /// The name that the certificate of the server at this address has to bear.
    pub fn expected_server_name(&self, address: SocketAddr) -> Result<ServerName<'static>, TlsError> {
        match &self.server_name {
            Some(name) => Ok(ServerName::try_from(name.clone())?),
            None => Ok(ServerName::IpAddress(address.ip().into())),
        }
    }

    /// A failed handshake in one line, with what to do about it.
    pub fn describe_handshake_error(&self, error: &io::Error, address: SocketAddr) -> String {
        let inner = error.get_ref().and_then(|inner| inner.downcast_ref::<rustls::Error>());
        let Some(rustls::Error::InvalidCertificate(why)) = inner else { return format!("TLS: {error}") };
        let name = self.server_name.clone().unwrap_or_else(|| address.ip().to_string());
        match why {
            CertificateError::Expired | CertificateError::ExpiredContext { .. } => {
                "TLS: Consul's certificate has run out: it needs a new one".to_owned()
            }
            CertificateError::NotValidYet | CertificateError::NotValidYetContext { .. } => {
                "TLS: Consul's certificate is not valid yet: compare the clocks".to_owned()
            }
            CertificateError::NotValidForName | CertificateError::NotValidForNameContext { .. } => {
                format!(
                    "TLS: Consul's certificate is not for {name}: set server_name to a name that it bears"
                )
            }
            CertificateError::UnknownIssuer => {
                format!(
                    "TLS: Consul's certificate is signed by none of the authorities in {}",
                    self.ca.display()
                )
            }
            other => format!("TLS: Consul's certificate: {other:?}"),
        }
    }
}
