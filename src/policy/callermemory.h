//! How much memory a process may hold for its callers, and which requests it takes when that runs
//! out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/routes.h"

namespace gypsumcroft {

//! Limits on what callers take of a process.
struct CallerBounds
{
    //! Bytes held for all callers: incomplete requests, read-ahead, requests in progress, responses
    //! held back and unsent responses.
    std::size_t heldBytes_ = 0;
    //! The part of them that unsent responses may take.
    std::size_t unsentBytes_ = 0;
    //! The part of them that responses which are held back may take.
    std::size_t responseBytes_ = 0;
    std::size_t connections_ = 0;
};

//! Bounds that the settings name; the others are derived.
struct CallerBoundSettings
{
    std::optional<std::size_t> heldBytes_;
    std::optional<std::size_t> connections_;
};

//! memoryMb: the instance's memory, if the settings name it. descriptors: number of file
//! descriptors that the process may open.
CallerBounds callerBounds(std::optional<std::uint32_t> memoryMb, std::size_t descriptors,
                          const CallerBoundSettings &settings = {});

//! A complete request that asks for memory.
struct MemoryClaim
{
    std::size_t bytes_ = 0;
    Priority priority_;
    //! Bytes that its organisation holds already.
    std::size_t organisationBytes_ = 0;
};

//! False if the request must be refused. limit and used are those of all callers; used does not
//! include the request. Large and less urgent requests are refused first.
bool admitsToMemory(const MemoryClaim &claim, std::size_t limit, std::size_t used);

} // namespace gypsumcroft
