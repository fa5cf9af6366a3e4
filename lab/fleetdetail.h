//! What the parts of the fleet share.
#pragma once

#include "fleet.h"

namespace gypsumcroft::lab {

namespace detail {

constexpr Duration LocalDelay = std::chrono::microseconds(50);
constexpr Duration BrokenDelay = std::chrono::milliseconds(1);
constexpr Duration PollInterval = std::chrono::milliseconds(500);
constexpr Duration PollTimeout = std::chrono::seconds(1);
constexpr Duration OutageAnswer = std::chrono::milliseconds(5);
constexpr Duration LongPoll = std::chrono::seconds(1);
constexpr Duration ReadRetry = std::chrono::milliseconds(200);
constexpr Duration AppendTimeout = std::chrono::milliseconds(1500);
constexpr Duration StopPoll = std::chrono::milliseconds(20);
constexpr Duration EntryDrainNotice = std::chrono::milliseconds(300);
constexpr Duration AgentLeaveNotice = std::chrono::milliseconds(500);
constexpr std::size_t PageLimit = 1000;

inline std::pair<std::string, std::string> unordered(const std::string &left,
                                                     const std::string &right)
{
    return left < right ? std::pair(left, right) : std::pair(right, left);
}

inline std::string streamName(const RequestId &request, Epoch epoch)
{
    return request.value_ + "#" + std::to_string(epoch.value_);
}

inline const std::string LogName = "log";

} // namespace detail

template <typename Action>
void Fleet::entryTraffic(EntryNode &entry, const Action &action)
{
    action();
    flushEntry(entry);
}

template <typename Action>
void Fleet::agentTraffic(AgentNode &agent, const Action &action)
{
    action();
    flushAgent(agent);
}

} // namespace gypsumcroft::lab
