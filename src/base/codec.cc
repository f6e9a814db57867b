#include "currantstack/codec.h"

#include <array>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

namespace currantstack
{

namespace
{

auto toHex(const unsigned char *bytes, unsigned size) -> std::string
{
    std::string text;
    text.reserve(size * 2);
    for (unsigned index = 0; index < size; ++index) {
        fmt::format_to(std::back_inserter(text), "{:02x}", bytes[index]);
    }
    return text;
}

auto bytesOf(std::string_view text) -> const unsigned char *
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

auto toBase64(std::string_view bytes) -> std::string
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0'); // EVP_EncodeBlock appends a null byte
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), bytesOf(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

auto fromBase64(std::string_view text) -> std::optional<std::string>
{
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), bytesOf(text), static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

auto sha256(std::string_view bytes) -> std::string
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(digest.data(), size);
}

auto hmac(std::string_view key, std::string_view bytes) -> std::string
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytesOf(bytes), bytes.size(), digest.data(), &size);
    return toHex(digest.data(), size);
}

auto equalConstantTime(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

auto hash64(std::string_view bytes, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace currantstack
