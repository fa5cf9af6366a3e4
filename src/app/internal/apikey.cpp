#include "app/apikey.h"

#include <array>

#include <openssl/evp.h>

namespace gypsumcroft {

ApiKeyHash hashApiKey(std::string_view key)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    EVP_Digest(key.data(), key.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string text;
    for (unsigned int i = 0; i < size; ++i) {
        text += Digits[digest[i] >> 4];
        text += Digits[digest[i] & 15];
    }
    return {text};
}

} // namespace gypsumcroft
