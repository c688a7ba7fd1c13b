//! Creates a rustls configuration for Consul from PEM files, and explains handshake errors.
//!
//! The files are read for each new connection, so that replaced files take effect with the next connection. The check
//! of the settings reads them too.

use crate::settings::Tls;
use rustls_pki_types::pem::{self, PemObject};
use rustls_pki_types::{CertificateDer, InvalidDnsNameError, PrivateKeyDer, ServerName};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;
use thiserror::Error;
use tokio_rustls::rustls::{self, CertificateError, ClientConfig, RootCertStore, crypto::ring};

/// The reason why TLS cannot be set up, in one line.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A PEM file cannot be read.
    #[error("{path}: {source}")]
    ReadPem {
        /// The file.
        path: PathBuf,
        /// The error of reading or parsing the file.
        source: pem::Error,
    },
    /// A PEM file holds no certificate.
    #[error("{path}: the file contains no certificate")]
    NoCertificate {
        /// The file.
        path: PathBuf,
    },
    /// A certificate of an authority cannot be used as one.
    #[error("{path}: not a certificate of an authority: {source}")]
    InvalidAuthority {
        /// The file.
        path: PathBuf,
        /// The error of the TLS library.
        source: rustls::Error,
    },
    /// The key does not belong to the client's certificate.
    #[error("the key in {key} does not belong to the certificate in {cert}: {source}")]
    KeyMismatch {
        /// The file with the certificate.
        cert: PathBuf,
        /// The file with the key.
        key: PathBuf,
        /// The error of the TLS library.
        source: rustls::Error,
    },
    /// Only one of certificate and key is given.
    #[error("cert and key must be given together or not at all")]
    IncompleteIdentity,
    /// The TLS library offers no protocol version.
    #[error("no TLS version can be used: {0}")]
    ProtocolVersions(#[source] rustls::Error),
    /// `server_name` is not a DNS name.
    #[error("server_name: not a DNS name: {0}")]
    ServerName(#[from] InvalidDnsNameError),
}

/// Modification time and length of each TLS file. If they differ, a file was replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileVersions(Vec<Option<FileVersion>>);

#[derive(Clone, Debug, PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    length_bytes: u64,
}

impl FileVersion {
    fn of(path: &Path) -> io::Result<FileVersion> {
        let metadata = std::fs::metadata(path)?;
        Ok(FileVersion { modified: metadata.modified()?, length_bytes: metadata.len() })
    }
}

impl Tls {
    fn files(&self) -> impl Iterator<Item = &Path> {
        [Some(&self.ca), self.cert.as_ref(), self.key.as_ref()].into_iter().flatten().map(PathBuf::as_path)
    }

    /// Returns the versions of the files that are on disk now.
    pub fn file_versions(&self) -> FileVersions {
        FileVersions(self.files().map(|path| FileVersion::of(path).ok()).collect())
    }

    /// Reads the files and returns the client configuration.
    ///
    /// # Errors
    ///
    /// Returns any error of [`TlsError`] except [`TlsError::ServerName`].
    pub fn load(&self) -> Result<Arc<ClientConfig>, TlsError> {
        let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(TlsError::ProtocolVersions)?
            .with_root_certificates(self.load_authorities()?);
        let config = match (&self.cert, &self.key) {
            (None, None) => builder.with_no_client_auth(),
            (Some(cert), Some(key)) => {
                let private_key = PrivateKeyDer::from_pem_file(key)
                    .map_err(|source| TlsError::ReadPem { path: key.clone(), source })?;
                builder.with_client_auth_cert(load_certificates(cert)?, private_key).map_err(|source| {
                    TlsError::KeyMismatch { cert: cert.clone(), key: key.clone(), source }
                })?
            }
            (Some(_), None) | (None, Some(_)) => return Err(TlsError::IncompleteIdentity),
        };
        Ok(Arc::new(config))
    }

    fn load_authorities(&self) -> Result<RootCertStore, TlsError> {
        let mut roots = RootCertStore::empty();
        for authority in load_certificates(&self.ca)? {
            let added = roots.add(authority);
            added.map_err(|source| TlsError::InvalidAuthority { path: self.ca.clone(), source })?;
        }
        Ok(roots)
    }

    /// Returns the name that the certificate of the server at this address must contain.
    ///
    /// # Errors
    ///
    /// Returns [`TlsError::ServerName`] if `server_name` is not a DNS name.
    pub fn expected_server_name(&self, address: SocketAddr) -> Result<ServerName<'static>, TlsError> {
        match &self.server_name {
            Some(name) => Ok(ServerName::try_from(name.clone())?),
            None => Ok(ServerName::IpAddress(address.ip().into())),
        }
    }

    /// Returns the reason of a failed handshake in one line, and what to do about it.
    pub fn describe_handshake_error(&self, error: &io::Error, address: SocketAddr) -> String {
        let inner = error.get_ref().and_then(|inner| inner.downcast_ref::<rustls::Error>());
        let Some(rustls::Error::InvalidCertificate(reason)) = inner else { return error.to_string() };
        match reason {
            CertificateError::Expired | CertificateError::ExpiredContext { .. } => {
                "Consul's certificate has expired: renew it".to_owned()
            }
            CertificateError::NotValidYet | CertificateError::NotValidYetContext { .. } => {
                "Consul's certificate is not valid yet: compare the clocks".to_owned()
            }
            CertificateError::NotValidForName | CertificateError::NotValidForNameContext { .. } => {
                let name = self.server_name.clone().unwrap_or_else(|| address.ip().to_string());
                format!(
                    "Consul's certificate is not for {name}: set server_name to a name in the certificate"
                )
            }
            CertificateError::UnknownIssuer => {
                let ca = self.ca.display();
                format!("Consul's certificate is signed by none of the authorities in {ca}")
            }
            other => format!("Consul's certificate is invalid: {other:?}"),
        }
    }
}

fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
    let certificates = read.map_err(|source| TlsError::ReadPem { path: path.to_owned(), source })?;
    if certificates.is_empty() {
        return Err(TlsError::NoCertificate { path: path.to_owned() });
    }
    Ok(certificates)
}
