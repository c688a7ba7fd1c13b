//! Certificates for tests: an authority, and what it signs, as PEM files in a folder.

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair, SanType};
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use time::{Duration, OffsetDateTime};

/// An authority, whose certificate is `NAME-ca.pem`.
pub struct CertificateAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
    folder: PathBuf,
    /// The file of its certificate.
    pub certificate: PathBuf,
}

/// A certificate with its key.
#[derive(Clone, Debug)]
pub struct CertificateFiles {
    /// The file of the certificate.
    pub certificate: PathBuf,
    /// The file of the key.
    pub key: PathBuf,
}

fn write(path: PathBuf, text: &str) -> PathBuf {
    // Whole or not at all: whoever reads it meanwhile gets the old one.
    let beside = path.with_extension("new");
    std::fs::write(&beside, text)
        .and_then(|()| std::fs::rename(&beside, &path))
        .expect("the folder can be written");
    path
}

impl CertificateAuthority {
    /// A new authority with its files in this folder.
    pub fn new(folder: &Path, name: &str) -> Self {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, name);
        let key = KeyPair::generate().expect("a key");
        let issuer = CertifiedIssuer::self_signed(params, key).expect("a certificate");
        let ca = write(folder.join(format!("{name}-ca.pem")), &issuer.pem());
        CertificateAuthority { issuer, folder: folder.to_owned(), certificate: ca }
    }

    /// Signs a certificate for this address and name, valid for so long from now on; a negative time makes one that
    /// has run out. The files are `NAME.pem` and `NAME.key`.
    pub fn sign(&self, name: &str, address: IpAddr, valid: Duration) -> CertificateFiles {
        let mut params = CertificateParams::new(vec![name.to_owned()]).expect("a name");
        params.subject_alt_names.push(SanType::IpAddress(address));
        let now = OffsetDateTime::now_utc();
        (params.not_before, params.not_after) = (now - Duration::days(30), now + valid);
        let key = KeyPair::generate().expect("a key");
        let certificate = params.signed_by(&key, &*self.issuer).expect("a certificate");
        CertificateFiles {
            certificate: write(self.folder.join(format!("{name}.pem")), &certificate.pem()),
            key: write(self.folder.join(format!("{name}.key")), &key.serialize_pem()),
        }
    }
}
