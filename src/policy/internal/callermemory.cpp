#include "policy/callermemory.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {
namespace {

constexpr std::size_t Megabyte = 1'000'000;
//! A quarter of the memory: copies that are made while a request is passed on can double it.
constexpr std::size_t HeldShare = 4;
//! A quarter of the memory.
constexpr std::size_t ConnectionShare = 4;
//! Memory of an idle connection is 10 KB.
constexpr std::size_t ConnectionBytes = 16'000;
//! Largest response (8 MB) and what other callers hold.
constexpr std::size_t MinResponseBytes = 12 * Megabyte;
constexpr std::size_t MaxResponseBytes = 16UL * 1024 * 1024;
//! Without a memory in the settings.
constexpr std::size_t DefaultHeldBytes = 128UL * 1024 * 1024;
constexpr std::size_t MaxConnections = 8192;
//! Parts in eight of the memory that requests may fill, by priority.
constexpr std::size_t Parts = 8;
constexpr std::size_t UrgentParts = 8;
constexpr std::size_t MiddleParts = 7;
constexpr std::size_t LeastUrgentParts = 6;
//! A request is large if it takes more than one part in 256.
constexpr std::size_t LargeShare = 256;

std::size_t partsOf(const MemoryClaim &claim, std::size_t limit)
{
    std::size_t parts = LeastUrgentParts;
    if (claim.priority_.value_ == 0)
        parts = UrgentParts;
    else if (claim.priority_.value_ == 1)
        parts = MiddleParts;
    return claim.bytes_ > limit / LargeShare ? parts - 1 : parts;
}

} // namespace
} // namespace detail

CallerBounds callerBounds(std::optional<std::uint32_t> memoryMb, std::size_t descriptors,
                          const CallerBoundSettings &settings)
{
    CallerBounds bounds;
    // The rest is for connections to endpoints, the store and other gateways.
    bounds.connections_ = std::min(detail::MaxConnections, descriptors / 4 * 3);
    bounds.heldBytes_ = detail::DefaultHeldBytes;
    if (memoryMb) {
        const std::size_t memory = *memoryMb * detail::Megabyte;
        bounds.heldBytes_ = memory / detail::HeldShare;
        bounds.connections_ = std::min(bounds.connections_,
                                       memory / detail::ConnectionShare / detail::ConnectionBytes);
    }
    bounds.heldBytes_ = settings.heldBytes_.value_or(bounds.heldBytes_);
    bounds.connections_
            = std::min(settings.connections_.value_or(bounds.connections_), descriptors / 4 * 3);
    bounds.unsentBytes_ = std::max(bounds.heldBytes_ / 2, detail::MinResponseBytes);
    bounds.responseBytes_ = std::min(bounds.unsentBytes_, detail::MaxResponseBytes);
    return bounds;
}

bool admitsToMemory(const MemoryClaim &claim, std::size_t limit, std::size_t used)
{
    const std::size_t after = used + claim.bytes_;
    if (after <= limit / 2)
        return true;
    // One organisation never fills more than half.
    if (claim.organisationBytes_ + claim.bytes_ > limit / 2)
        return false;
    return after <= limit / detail::Parts * detail::partsOf(claim, limit);
}

} // namespace gypsumcroft
