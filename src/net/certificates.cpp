#include "net/certificates.hpp"

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/x509v3.h>

#include <memory>

namespace amarantharch
{

namespace
{

constexpr int version_3 = 2; // X.509 counts from zero
constexpr int serial_bytes = 16;

template <auto Free>
struct freed_by
{
    template <typename T>
    void operator()(T* object) const
    {
        Free(object);
    }
};

using key_ptr = std::unique_ptr<EVP_PKEY, freed_by<EVP_PKEY_free>>;
using certificate_ptr = std::unique_ptr<X509, freed_by<X509_free>>;
using extension_ptr =
    std::unique_ptr<X509_EXTENSION, freed_by<X509_EXTENSION_free>>;
using bio_ptr = std::unique_ptr<BIO, freed_by<BIO_free>>;
using number_ptr = std::unique_ptr<BIGNUM, freed_by<BN_free>>;

// What a new certificate says, and who signs it.
struct certificate_form
{
    std::string name;
    validity_period validity;
    char const* basic_constraints;
    char const* key_usage;
};

std::time_t seconds(time_point t)
{
    return std::chrono::duration_cast<std::chrono::seconds>(
               t.time_since_epoch())
        .count();
}

bool add_extension(X509* certificate, int kind, char const* value)
{
    extension_ptr const extension(
        X509V3_EXT_conf_nid(nullptr, nullptr, kind, value));
    return extension && X509_add_ext(certificate, extension.get(), -1) == 1;
}

bool set_serial(X509* certificate)
{
    unsigned char bytes[serial_bytes];
    if (RAND_bytes(bytes, serial_bytes) != 1)
    {
        return false;
    }
    bytes[0] &= 0x7f; // serial numbers are positive
    number_ptr const number(BN_bin2bn(bytes, serial_bytes, nullptr));
    return number &&
           BN_to_ASN1_INTEGER(number.get(), X509_get_serialNumber(certificate));
}

bool set_common_name(X509* certificate, std::string const& name)
{
    auto const* const bytes =
        reinterpret_cast<unsigned char const*>(name.data());
    return X509_NAME_add_entry_by_txt(
               X509_get_subject_name(certificate), "CN", MBSTRING_UTF8, bytes,
               static_cast<int>(name.size()), -1, 0) == 1;
}

bool fill(X509* certificate, certificate_form const& form, EVP_PKEY* key)
{
    return X509_set_version(certificate, version_3) == 1 &&
           set_serial(certificate) &&
           ASN1_TIME_set(X509_getm_notBefore(certificate),
                         seconds(form.validity.begin)) != nullptr &&
           ASN1_TIME_set(X509_getm_notAfter(certificate),
                         seconds(form.validity.end)) != nullptr &&
           set_common_name(certificate, form.name) &&
           X509_set_pubkey(certificate, key) == 1 &&
           add_extension(certificate, NID_basic_constraints,
                         form.basic_constraints) &&
           add_extension(certificate, NID_key_usage, form.key_usage);
}

std::string contents(BIO* memory)
{
    char* data = nullptr;
    auto const size = BIO_get_mem_data(memory, &data);
    return {data, static_cast<std::size_t>(size)};
}

absl::StatusOr<certified_key> to_pem(X509* certificate, EVP_PKEY* key)
{
    bio_ptr const certificate_text(BIO_new(BIO_s_mem()));
    bio_ptr const key_text(BIO_new(BIO_s_mem()));
    if (PEM_write_bio_X509(certificate_text.get(), certificate) != 1 ||
        PEM_write_bio_PrivateKey(key_text.get(), key, nullptr, nullptr, 0,
                                 nullptr, nullptr) != 1)
    {
        return absl::InternalError("cannot encode a certificate");
    }
    return certified_key{contents(certificate_text.get()),
                         contents(key_text.get())};
}

// Without an issuer, the certificate is self-signed.
absl::StatusOr<certified_key> make(certificate_form const& form, X509* issuer,
                                   EVP_PKEY* issuer_key)
{
    key_ptr const key(EVP_EC_gen("P-256"));
    certificate_ptr const certificate(X509_new());
    if (!key || !certificate || !fill(certificate.get(), form, key.get()))
    {
        return absl::InternalError("cannot make a certificate");
    }
    X509* const signer = issuer != nullptr ? issuer : certificate.get();
    EVP_PKEY* const signer_key = issuer_key != nullptr ? issuer_key : key.get();
    if (X509_set_issuer_name(certificate.get(),
                             X509_get_subject_name(signer)) != 1 ||
        X509_sign(certificate.get(), signer_key, EVP_sha256()) == 0)
    {
        return absl::InternalError("cannot sign a certificate");
    }
    return to_pem(certificate.get(), key.get());
}

bio_ptr reader(std::string const& text)
{
    return bio_ptr(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
}

} // namespace

absl::StatusOr<certified_key> make_authority(std::string const& name,
                                             validity_period validity)
{
    return make({name, validity, "critical,CA:TRUE,pathlen:0",
                 "critical,keyCertSign,cRLSign"},
                nullptr, nullptr);
}

absl::StatusOr<certified_key> issue_certificate(certified_key const& authority,
                                                std::string const& vm,
                                                validity_period validity)
{
    certificate_ptr const issuer(PEM_read_bio_X509(
        reader(authority.certificate_pem).get(), nullptr, nullptr, nullptr));
    key_ptr const issuer_key(PEM_read_bio_PrivateKey(
        reader(authority.key_pem).get(), nullptr, nullptr, nullptr));
    if (!issuer || !issuer_key)
    {
        return absl::InvalidArgumentError("the authority cannot be read");
    }
    return make(
        {vm, validity, "critical,CA:FALSE", "critical,digitalSignature"},
        issuer.get(), issuer_key.get());
}

} // namespace amarantharch
