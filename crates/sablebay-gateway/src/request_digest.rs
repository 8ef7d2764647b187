//! What makes two requests the same: the method, the host, path and query, the headers that tell callers
//! apart, and the body. What belongs to one attempt alone, such as its identifier and how long it is wanted,
//! does not count, nor does the order of headers.

use hmac::{Hmac, Mac};
use http::header;
use sha2::Sha256;

use sablebay_model::{DIGEST_BYTES, FleetName, RequestDigest};

use crate::call::ForwardedRequest;

/// Digests requests under the fleet's key: all nodes agree, and no caller can make up a request whose digest
/// is another's.
#[derive(Clone)]
pub struct DigestKey {
    keyed: Hmac<Sha256>,
}

impl DigestKey {
    /// The key of a fleet.
    pub fn new(fleet: &FleetName, secret: Option<&str>) -> Self {
        let mut keyed = Hmac::<Sha256>::new_from_slice(secret.unwrap_or_default().as_bytes())
            .expect("a keyed hash takes a key of any length");
        update_with_part(&mut keyed, b"request digest");
        update_with_part(&mut keyed, fleet.as_str().as_bytes());
        Self { keyed }
    }

    /// The digest of a request. `caller_headers` names the headers that tell callers apart.
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

/// Adds a part with its length, so that no two lists of parts look alike.
fn update_with_part(hash: &mut Hmac<Sha256>, part: &[u8]) {
    hash.update(&(part.len() as u64).to_be_bytes());
    hash.update(part);
}
