// Certificates for the peers' transport: one authority a cluster, and one
// certificate a VM whose common name is the VM's id. Keys are P-256.
#ifndef AMARANTHARCH_NET_CERTIFICATES_HPP
#define AMARANTHARCH_NET_CERTIFICATES_HPP

#include "core/time.hpp"

#include <absl/status/statusor.h>

#include <string>

namespace amarantharch
{

struct certified_key
{
    std::string certificate_pem;
    std::string key_pem; // unencrypted PKCS #8
};

struct validity_period
{
    time_point begin;
    time_point end;
};

// A self-signed certificate that may issue others. Internal on failure of
// the cryptographic library, as below.
absl::StatusOr<certified_key> make_authority(std::string const& name,
                                             validity_period validity);

// A certificate for `vm`, issued by `authority`. InvalidArgument if
// `authority` cannot be read.
absl::StatusOr<certified_key> issue_certificate(certified_key const& authority,
                                                std::string const& vm,
                                                validity_period validity);

} // namespace amarantharch

#endif
