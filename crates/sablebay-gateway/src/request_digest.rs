//! Digests requests, to recognize repeated attempts of the same request. A digest covers the method, host,
//! path and query, the headers that identify the caller, and the body. It excludes other headers, such as the
//! attempt's identifier and deadline, and the order of headers.

use hmac::{Hmac, Mac};
use http::header;
use sha2::Sha256;

use sablebay_model::{DIGEST_BYTES, FleetName, RequestDigest};

use crate::call::ForwardedRequest;

/// Digests requests with the fleet's key: all nodes compute the same digest, and callers cannot construct
/// collisions.
#[derive(Clone)]
pub struct DigestKey {
    keyed: Hmac<Sha256>,
}

impl DigestKey {
    /// Derives the key from the fleet's name and secret.
    pub fn new(fleet: &FleetName, secret: Option<&str>) -> Self {
        let mut keyed = Hmac::<Sha256>::new_from_slice(secret.unwrap_or_default().as_bytes())
            .expect("a keyed hash takes a key of any length");
        update_with_part(&mut keyed, b"request digest");
        update_with_part(&mut keyed, fleet.as_str().as_bytes());
        Self { keyed }
    }

    /// The digest of a request. `caller_headers` are the headers that identify the caller.
    pub fn digest<'a>(
        &self,
        request: &ForwardedRequest,
        caller_headers: impl IntoIterator<Item = &'a str>,
    ) -> RequestDigest {
        let mut hash = self.keyed.clone();
        update_with_part(&mut hash, request.method.as_str().as_bytes());
        let host = request.headers.get(header::HOST).map_or(&b""[..], |host| host.as_bytes());
        update_with_part(&mut hash, &host.to_ascii_lowercase());
        update_with_part(&mut hash, request.uri.to_string().as_bytes());
        for name in caller_headers {
            for value in request.headers.get_all(name) {
                update_with_part(&mut hash, name.as_bytes());
                update_with_part(&mut hash, value.as_bytes());
            }
        }
        update_with_part(&mut hash, &request.body);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize().into_bytes()[..DIGEST_BYTES]);
        RequestDigest(digest)
    }
}

/// Hashes a part with its length as prefix, so that different lists of parts cannot collide.
fn update_with_part(hash: &mut Hmac<Sha256>, part: &[u8]) {
    hash.update(&(part.len() as u64).to_be_bytes());
    hash.update(part);
}
