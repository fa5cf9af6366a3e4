#include "controllers/probes.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {
namespace {

void sendProbe(ProbeState &state, const EndpointListState &list, const EndpointId &endpoint,
               ProbeRecord &record, TimePoint now)
{
    const auto known = list.endpoints_.find(endpoint);
    if (known == list.endpoints_.end() || record.inFlight_ || isPaused(list, endpoint, now))
        return;
    record.inFlight_ = true;
    state.reportRequests_.push_back({endpoint, known->second.listed_.address_});
}

void logChange(ProbeState &state, const char *event, const EndpointId &endpoint)
{
    state.log_.push_back(logEvent(LogLevel::Info, LogLine(event).add("endpoint", endpoint)));
}

} // namespace
} // namespace detail

void requestProbe(ProbeState &state, const EndpointListState &list, const EndpointId &endpoint,
                  TimePoint now)
{
    ProbeRecord &record = state.records_[endpoint];
    if (now >= record.nextProbeAt_)
        detail::sendProbe(state, list, endpoint, record, now);
}

bool onProbeResult(ProbeState &state, const EndpointId &endpoint, bool answered, TimePoint now)
{
    const auto found = state.records_.find(endpoint);
    if (found == state.records_.end() || !found->second.inFlight_)
        return false;
    ProbeRecord &record = found->second;
    record.inFlight_ = false;
    const bool wasDown = record.failures_ > 0;
    if (!answered) {
        ++record.failures_;
        record.responses_ = 0;
        record.nextProbeAt_ = now + state.limits_.downProbeInterval_;
        if (!wasDown)
            detail::logChange(state, "endpoint-down", endpoint);
        return !wasDown || record.failures_ == state.limits_.lostAfterFailures_;
    }
    constexpr std::uint32_t MaxDoublings = 6;
    const Duration interval
            = state.limits_.minProbeInterval_ * (1U << std::min(record.responses_, MaxDoublings));
    ++record.responses_;
    record.failures_ = 0;
    record.nextProbeAt_ = now + std::min(interval, state.limits_.maxProbeInterval_);
    if (wasDown)
        detail::logChange(state, "endpoint-up", endpoint);
    return wasDown;
}

void onProbeVoid(ProbeState &state, const EndpointId &endpoint, TimePoint now)
{
    const auto found = state.records_.find(endpoint);
    if (found == state.records_.end())
        return;
    found->second.inFlight_ = false;
    found->second.nextProbeAt_ = now;
}

void tickProbes(ProbeState &state, const EndpointListState &list, TimePoint now)
{
    std::erase_if(state.records_,
                  [&](const auto &entry) { return !list.endpoints_.contains(entry.first); });
    for (auto &[endpoint, record] : state.records_) {
        if (record.failures_ > 0 && now >= record.nextProbeAt_)
            detail::sendProbe(state, list, endpoint, record, now);
        // Without probes for a long time, the probe interval starts short again.
        if (now - record.nextProbeAt_ > state.limits_.maxProbeInterval_)
            record.responses_ = 0;
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
        if (record.failures_ >= state.limits_.lostAfterFailures_)
            lost.insert(endpoint);
    }
    if (2 * lost.size() > list.endpoints_.size())
        lost.clear();
    return lost;
}

} // namespace gypsumcroft
