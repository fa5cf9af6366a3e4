#include "core/hash.h"

#include <string>

#include <xxhash.h>

namespace gypsumcroft {

std::uint64_t hashText(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t mixHash(std::uint64_t left, std::uint64_t right)
{
    const std::uint64_t both[2] = {left, right};
    return XXH3_64bits(both, sizeof both);
}

KeyHash hashIdempotencyKey(const OrganisationId &organisation, std::string_view key)
{
    //! The length prefix keeps pairs such as ("a", "bc") and ("ab", "c") distinct.
    std::string text = std::to_string(organisation.value_.size()) + ":" + organisation.value_;
    text += key;
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

Fingerprint fingerprintOf(const OrganisationId &organisation, const TemplateId &templateId,
                          std::string_view body)
{
    const std::uint64_t scope = mixHash(hashText(organisation.value_), hashText(templateId.value_));
    return {mixHash(scope, hashText(body))};
}

} // namespace gypsumcroft
