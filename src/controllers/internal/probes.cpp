#include "controllers/probes.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {
namespace {

void ask(ProbeState &state, const EndpointListState &list, const EndpointId &endpoint,
         ProbeRecord &record)
{
    const auto known = list.endpoints_.find(endpoint);
    if (known == list.endpoints_.end() || record.asking_)
        return;
    record.asking_ = true;
    state.asks_.push_back({endpoint, known->second.listed_.address_});
}

void logChange(ProbeState &state, const char *event, const EndpointId &endpoint)
{
    state.log_.push_back(logEvent(LogLevel::Info, LogLine(event).add("endpoint", endpoint)));
}

} // namespace
} // namespace detail

void noteDoubt(ProbeState &state, const EndpointListState &list, const EndpointId &endpoint,
               TimePoint now)
{
    ProbeRecord &record = state.records_[endpoint];
    if (now >= record.nextAt_)
        detail::ask(state, list, endpoint, record);
}

bool onProbeAnswer(ProbeState &state, const EndpointId &endpoint, bool answered, TimePoint now)
{
    const auto found = state.records_.find(endpoint);
    if (found == state.records_.end() || !found->second.asking_)
        return false;
    ProbeRecord &record = found->second;
    record.asking_ = false;
    const bool wasDown = record.failures_ > 0;
    if (!answered) {
        ++record.failures_;
        record.answers_ = 0;
        record.nextAt_ = now + state.limits_.downInterval_;
        if (!wasDown)
            detail::logChange(state, "endpoint-down", endpoint);
        return !wasDown || record.failures_ == state.limits_.lostAfter_;
    }
    constexpr std::uint32_t MaxDoublings = 6;
    const Duration trust
            = state.limits_.firstTrust_ * (1U << std::min(record.answers_, MaxDoublings));
    ++record.answers_;
    record.failures_ = 0;
    record.nextAt_ = now + std::min(trust, state.limits_.longestTrust_);
    if (wasDown)
        detail::logChange(state, "endpoint-up", endpoint);
    return wasDown;
}

void tickProbes(ProbeState &state, const EndpointListState &list, TimePoint now)
{
    std::erase_if(state.records_,
                  [&](const auto &entry) { return !list.endpoints_.contains(entry.first); });
    for (auto &[endpoint, record] : state.records_) {
        if (record.failures_ > 0 && now >= record.nextAt_)
            detail::ask(state, list, endpoint, record);
        // Without probes for a long time, the probe interval starts short again.
        if (now - record.nextAt_ > state.limits_.longestTrust_)
            record.answers_ = 0;
    }
}

std::set<EndpointId> downEndpoints(const ProbeState &state)
{
    std::set<EndpointId> down;
    for (const auto &[endpoint, record] : state.records_) {
        if (record.failures_ > 0)
            down.insert(endpoint);
    }
    return down;
}

std::set<EndpointId> lostEndpoints(const ProbeState &state, const EndpointListState &list)
{
    std::set<EndpointId> lost;
    for (const auto &[endpoint, record] : state.records_) {
        if (record.failures_ >= state.limits_.lostAfter_)
            lost.insert(endpoint);
    }
    if (2 * lost.size() > list.endpoints_.size())
        lost.clear();
    return lost;
}

} // namespace gypsumcroft
