//! What a soak does, drawn from its seed alone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/units.h"

namespace gypsumcroft::lab {

enum class FaultKind {
    // Of a gateway's process.
    Pause,
    Stop,
    Kill,
    // Of a link.
    Delay,
    Reset,
    HoldRequests,
    HoldAnswers,
    Silence,
    Truncate,
    // Of an endpoint, played by its link.
    AnswerTwice,
    AnswerTwiceUnnamed,
    EndlessHead,
    EndlessBody,
    // Of the operator.
    NewState,
    RevokeKey,
};
constexpr std::size_t FaultKinds = static_cast<std::size_t>(FaultKind::RevokeKey) + 1;

enum class FaultPlace { Gateway, CallerLink, StoreLink, EndpointLink, Operator };

struct Fault
{
    FaultKind kind_;
    FaultPlace place_;
    //! Number of the gateway or endpoint, or Everywhere.
    std::uint32_t target_ = 0;
    Duration at_ {};
    Duration length_ {};
};

constexpr std::uint32_t Everywhere = UINT32_MAX;

struct SoakPlan
{
    std::uint64_t seed_ = 0;
    std::uint32_t gateways_ = 0;
    std::uint32_t callers_ = 0;
    std::uint32_t modelServers_ = 0;
    std::uint32_t plainServers_ = 0;
    //! Plain servers work for less than this.
    Duration longestWork_ {};
    //! Between the events of a stream.
    Duration eventGap_ {};
    Duration length_ {};
    //! Ordered by time.
    std::vector<Fault> faults_;
};

SoakPlan makePlan(std::uint64_t seed, Duration length);

std::string_view nameOf(FaultKind kind);
std::string_view nameOf(FaultPlace place);

} // namespace gypsumcroft::lab
