//! Creates the TLS configuration of the server from its certificate and the authority for client certificates.

use crate::certificates::CertificateFiles;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use std::path::Path;
use std::sync::Arc;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::crypto::{CryptoProvider, ring};
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::server::danger::ClientCertVerifier;
use tokio_rustls::rustls::{RootCertStore, ServerConfig};

/// Returns an acceptor that serves with this certificate. With `client_authority`, clients need a certificate that this
/// authority has signed.
pub(super) fn acceptor(files: &CertificateFiles, client_authority: Option<&Path>) -> TlsAcceptor {
    let chain: Result<Vec<_>, _> =
        CertificateDer::pem_file_iter(&files.certificate).expect("a certificate").collect();
    let key = PrivateKeyDer::from_pem_file(&files.key).expect("a key");
    let provider = Arc::new(ring::default_provider());
    let builder = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .expect("versions");
    let builder = match client_authority {
        None => builder.with_no_client_auth(),
        Some(authority) => builder.with_client_cert_verifier(client_verifier(authority, provider)),
    };
    let config = builder.with_single_cert(chain.expect("a certificate"), key);
    TlsAcceptor::from(Arc::new(config.expect("the key belongs to the certificate")))
}

fn client_verifier(authority: &Path, provider: Arc<CryptoProvider>) -> Arc<dyn ClientCertVerifier> {
    let mut roots = RootCertStore::empty();
    let authority = CertificateDer::from_pem_file(authority).expect("an authority");
    roots.add(authority).expect("an authority");
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider);
    verifier.build().expect("a verifier")
}
