//! This entry's part of the pipes between failure domains, over which activations are handed on.
#pragma once

#include <cstdint>

#include "core/routes.h"

namespace gypsumcroft {

//! Bytes that may still be handed across; refilled at the entry's part of the pipes' rate.
struct PipeShare
{
    double bytes_ = 0;
    TimePoint filledAt_;
};

//! True while the share has room for another path that crosses domains.
bool mayCross(PipeShare &share, const EngineSpec &engine, std::uint32_t entries, TimePoint now);

//! Charges a path for what its tokens hand across.
void chargeCrossings(PipeShare &share, const EngineSpec &engine, std::uint32_t crossings,
                     Tokens tokens);

} // namespace gypsumcroft
