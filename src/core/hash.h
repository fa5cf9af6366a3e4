//! Hashes that have the same value in every process, so that they can be sent and compared.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/ids.h"

namespace gypsumcroft {

std::uint64_t hashText(std::string_view text, std::uint64_t seed = 0);

//! Combines two 64-bit values into one hash.
std::uint64_t mixHash(std::uint64_t left, std::uint64_t right);

//! Hash of an idempotency key. Equal keys of different organisations have different hashes.
KeyHash hashIdempotencyKey(const OrganisationId &organisation, std::string_view key);

//! Hash that identifies the work of a request, whatever its request id: organisation, template and
//! body.
Fingerprint fingerprintOf(const OrganisationId &organisation, const TemplateId &templateId,
                          std::string_view body);

} // namespace gypsumcroft
