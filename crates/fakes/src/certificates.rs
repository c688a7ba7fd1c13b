//! Creates certificates for tests: an authority and the certificates that it signs, as PEM files in a folder.

use crate::temporary_folder::write_atomically;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair, SanType};
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use time::{Duration, OffsetDateTime};

/// Time before its signature from which a certificate is valid.
const VALID_BEFORE_NOW: Duration = Duration::days(30);

/// A certificate authority, whose own certificate is `NAME-ca.pem`.
pub struct CertificateAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
    folder: PathBuf,
    /// The PEM file with its certificate.
    pub certificate: PathBuf,
}

/// The files of a certificate and its key.
#[derive(Clone, Debug)]
pub struct CertificateFiles {
    /// The PEM file with the certificate.
    pub certificate: PathBuf,
    /// The PEM file with the private key of the certificate.
    pub key: PathBuf,
}

impl CertificateAuthority {
    /// Creates an authority. Its files are written to `folder`.
    pub fn new(folder: &Path, name: &str) -> Self {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, name);
        let key = KeyPair::generate().expect("a key");
        let issuer = CertifiedIssuer::self_signed(params, key).expect("a certificate");
        let certificate = write_atomically(&folder.join(format!("{name}-ca.pem")), &issuer.pem());
        CertificateAuthority { issuer, folder: folder.to_owned(), certificate }
    }

    /// Signs a certificate for a name and an address. It is valid for `valid_for` from now on; with a negative value it
    /// has already expired. The files are `NAME.pem` and `NAME.key`.
    pub fn sign(&self, name: &str, address: IpAddr, valid_for: Duration) -> CertificateFiles {
        let mut params = CertificateParams::new(vec![name.to_owned()]).expect("a name");
        params.subject_alt_names.push(SanType::IpAddress(address));
        let now = OffsetDateTime::now_utc();
        params.not_before = now - VALID_BEFORE_NOW;
        params.not_after = now + valid_for;
        let key = KeyPair::generate().expect("a key");
        let certificate = params.signed_by(&key, &*self.issuer).expect("a certificate");
        let file = |extension: &str| self.folder.join(format!("{name}.{extension}"));
        CertificateFiles {
            certificate: write_atomically(&file("pem"), &certificate.pem()),
            key: write_atomically(&file("key"), &key.serialize_pem()),
        }
    }
}
