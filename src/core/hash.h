//! Hashes that every process computes alike.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/ids.h"

namespace gypsumcroft {

//! 64-bit hash of a text.
std::uint64_t hashText(std::string_view text, std::uint64_t seed = 0);

//! Mixes two 64-bit values into one.
std::uint64_t mixHash(std::uint64_t left, std::uint64_t right);

//! Hash of an idempotency key within the scope of its organisation.
KeyHash hashKey(const OrganisationId &organisation, std::string_view key);

//! Hash of what an endpoint is asked to run: organisation, template and body.
Fingerprint fingerprintOf(const OrganisationId &organisation, const TemplateId &templateId,
                          std::string_view body);

} // namespace gypsumcroft
