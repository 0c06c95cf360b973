#include "app/publisher_key.hpp"

#include <QByteArray>

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>

#include <memory>

namespace amarantharch
{

namespace
{

constexpr std::size_t public_key_bytes = 32;
constexpr std::size_t signature_bytes = 64;

template <auto Free>
struct freed_by
{
    template <typename Resource>
    void operator()(Resource* resource) const
    {
        (void)Free(resource);
    }
};

using key_handle = std::unique_ptr<EVP_PKEY, freed_by<EVP_PKEY_free>>;
using digest_handle = std::unique_ptr<EVP_MD_CTX, freed_by<EVP_MD_CTX_free>>;
using bio_handle = std::unique_ptr<BIO, freed_by<BIO_free>>;

unsigned char const* bytes_of(std::string_view text)
{
    return reinterpret_cast<unsigned char const*>(text.data());
}

std::string to_hex(std::string const& bytes)
{
    return QByteArray::fromStdString(bytes).toHex().toStdString();
}

// Empty unless `hex` is exactly `size` bytes in hexadecimal.
std::string from_hex(std::string_view hex, std::size_t size)
{
    QByteArray const text(hex.data(), static_cast<qsizetype>(hex.size()));
    std::string bytes = QByteArray::fromHex(text).toStdString();
    bool const exact = bytes.size() == size && hex.size() == 2 * size;
    return exact ? bytes : std::string();
}

key_handle read_private(std::string const& pem)
{
    bio_handle const input(
        BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
    return key_handle(
        PEM_read_bio_PrivateKey(input.get(), nullptr, nullptr, nullptr));
}

absl::StatusOr<std::string> write_private(EVP_PKEY* key)
{
    bio_handle const output(BIO_new(BIO_s_mem()));
    if (PEM_write_bio_PrivateKey(output.get(), key, nullptr, nullptr, 0,
                                 nullptr, nullptr) != 1)
    {
        return absl::InternalError("private key cannot be written");
    }
    char* data = nullptr;
    long const size = BIO_get_mem_data(output.get(), &data);
    return std::string(data, static_cast<std::size_t>(size));
}

std::map<std::string, std::string>& publishers()
{
    static std::map<std::string, std::string> known;
    return known;
}

} // namespace

absl::StatusOr<publisher_key> make_publisher_key()
{
    key_handle const key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
    std::string raw(public_key_bytes, '\0');
    std::size_t size = raw.size();
    if (!key || EVP_PKEY_get_raw_public_key(
                    key.get(), reinterpret_cast<unsigned char*>(raw.data()),
                    &size) != 1)
    {
        return absl::InternalError("key cannot be made");
    }
    auto pem = write_private(key.get());
    if (!pem.ok())
    {
        return pem.status();
    }
    return publisher_key{*std::move(pem), to_hex(raw)};
}

absl::StatusOr<std::string> sign_as_publisher(std::string const& private_pem,
                                              std::string_view bytes)
{
    key_handle const key = read_private(private_pem);
    if (!key || EVP_PKEY_get_id(key.get()) != EVP_PKEY_ED25519)
    {
        return absl::InvalidArgumentError("not an Ed25519 private key");
    }
    digest_handle const context(EVP_MD_CTX_new());
    std::string signature(signature_bytes, '\0');
    std::size_t size = signature.size();
    bool const made =
        EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr,
                           key.get()) == 1 &&
        EVP_DigestSign(context.get(),
                       reinterpret_cast<unsigned char*>(signature.data()),
                       &size, bytes_of(bytes), bytes.size()) == 1;
    if (!made)
    {
        return absl::InternalError("signature cannot be made");
    }
    return to_hex(signature);
}

bool verify_with_key(std::string_view public_key, std::string_view bytes,
                     std::string_view signature)
{
    std::string const raw_key = from_hex(public_key, public_key_bytes);
    std::string const raw_signature = from_hex(signature, signature_bytes);
    if (raw_key.empty() || raw_signature.empty())
    {
        return false;
    }
    key_handle const key(EVP_PKEY_new_raw_public_key(
        EVP_PKEY_ED25519, nullptr, bytes_of(raw_key), raw_key.size()));
    digest_handle const context(EVP_MD_CTX_new());
    return key &&
           EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr,
                                key.get()) == 1 &&
           EVP_DigestVerify(context.get(), bytes_of(raw_signature),
                            raw_signature.size(), bytes_of(bytes),
                            bytes.size()) == 1;
}

void set_publishers(std::map<std::string, std::string> public_keys)
{
    publishers() = std::move(public_keys);
}

bool verify_publisher(std::string_view author, std::string_view bytes,
                      std::string_view signature)
{
    auto const found = publishers().find(std::string(author));
    return found != publishers().end() &&
           verify_with_key(found->second, bytes, signature);
}

} // namespace amarantharch
