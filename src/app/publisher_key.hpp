// Ed25519 keys of those who may publish configuration changes.
//
// An operator signs a change with the private key; every VM checks it against
// the public keys of its settings, so a record that somebody else appends to
// the log counts nowhere. Public keys and signatures are hexadecimal.
#ifndef AMARANTHARCH_APP_PUBLISHER_KEY_HPP
#define AMARANTHARCH_APP_PUBLISHER_KEY_HPP

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>

namespace amarantharch
{

struct publisher_key
{
    std::string private_pem; // unencrypted PKCS #8
    std::string public_key;  // 64 hexadecimal digits
};

// INTERNAL if the cryptographic library fails.
absl::StatusOr<publisher_key> make_publisher_key();

// The signature over `bytes`; INVALID_ARGUMENT if the key cannot be read.
absl::StatusOr<std::string> sign_as_publisher(std::string const& private_pem,
                                              std::string_view bytes);

// False for a malformed key or signature too.
bool verify_with_key(std::string_view public_key, std::string_view bytes,
                     std::string_view signature);

// Names the publishers that verify_publisher knows, by author. Called once,
// before the first verification.
void set_publishers(std::map<std::string, std::string> public_keys);

// Whether `signature` is `author`'s over `bytes`; a verify_signature.
bool verify_publisher(std::string_view author, std::string_view bytes,
                      std::string_view signature);

} // namespace amarantharch

#endif
