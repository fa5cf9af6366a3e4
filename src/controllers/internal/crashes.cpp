#include "controllers/crashes.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gypsumcroft {

namespace detail {
namespace {

void sendCheck(CrashesState &state, const EndpointListState &list, const EndpointId &endpoint,
               UnconfirmedLosses &unconfirmed)
{
    const auto known = list.endpoints_.find(endpoint);
    if (known == list.endpoints_.end() || std::exchange(unconfirmed.checking_, true))
        return;
    const ListedEndpoint &listed = known->second.listed_;
    state.checks_.push_back({endpoint, listed.address_, listed.target_});
}

//! Takes the losses that the end of the endpoint explains.
std::vector<DispatchLost> takeCrashed(UnconfirmedLosses &unconfirmed,
                                      const EndpointSighting &sighting)
{
    const auto isCrashed = [&](const DispatchLost &loss) {
        return sighting.result_ == EndpointCheckResult::Gone
               || (loss.incarnation_ != 0 && sighting.incarnation_ > loss.incarnation_);
    };
    std::vector<DispatchLost> crashed;
    std::copy_if(unconfirmed.losses_.begin(), unconfirmed.losses_.end(),
                 std::back_inserter(crashed), isCrashed);
    std::erase_if(unconfirmed.losses_, isCrashed);
    return crashed;
}

//! Blames the traits of a dispatch for the end of its endpoint.
void blameTraits(CrashesState &state, const DispatchLost &loss)
{
    const EndpointCrash crash {loss.endpoint_, loss.incarnation_, loss.sentAt_, loss.lostAt_};
    for (const RequestTrait trait : loss.traits_) {
        if (recordCrash(state.blame_, trait, crash)
            && state.news_.size() < state.limits_.maxTraitsInNews_)
            state.news_.push_back(trait);
    }
}

void logCrash(CrashesState &state, const EndpointId &endpoint,
              const std::vector<DispatchLost> &losses, TimePoint now)
{
    state.log_.push_back(
            logEvent(LogLevel::Warning, LogLine("endpoint-crashed")
                                                .add("endpoint", endpoint)
                                                .add("incarnation", losses.front().incarnation_)
                                                .add("unanswered", std::uint64_t {losses.size()})
                                                .add("ms_ago", now - losses.front().lostAt_)));
}

bool isInQuarantine(const BlameVerdicts &verdicts, RequestTrait trait, TimePoint now)
{
    const auto found = verdicts.traits_.find(trait);
    return found != verdicts.traits_.end() && now < found->second.quarantinedUntil_;
}

//! Logs the traits that have come into quarantine, or out of it by an answer.
void logChanges(CrashesState &state, const BlameVerdicts &before, TimePoint now)
{
    for (const auto &[trait, verdict] : state.verdicts_->traits_) {
        if (now >= verdict.quarantinedUntil_ || isInQuarantine(before, trait, now))
            continue;
        state.log_.push_back(logEvent(LogLevel::Warning,
                                      LogLine("quarantine-began")
                                              .add("trait", trait)
                                              .add("crashes", std::uint64_t {verdict.crashes_})
                                              .add("rivals", std::uint64_t {verdict.rivals_.size()})
                                              .add("for_ms", verdict.quarantinedUntil_ - now)));
    }
    for (const auto &[trait, verdict] : before.traits_) {
        if (now < verdict.quarantinedUntil_ && !isInQuarantine(*state.verdicts_, trait, now))
            state.log_.push_back(
                    logEvent(LogLevel::Warning, LogLine("quarantine-ended").add("trait", trait)));
    }
}

void applyNews(CrashesState &state, TimePoint now)
{
    const auto before = std::exchange(state.verdicts_,
                                      std::make_shared<const BlameVerdicts>(judge(state.blame_)));
    logChanges(state, *before, now);
}

} // namespace
} // namespace detail

void onDispatchLost(CrashesState &state, const EndpointListState &list, DispatchLost loss,
                    TimePoint now)
{
    const auto known = list.endpoints_.find(loss.endpoint_);
    if (known == list.endpoints_.end() || known->second.listed_.state_ != ListedState::Ready
        || now - loss.lostAt_ > state.limits_.forgetLossAfter_)
        return;
    const EndpointId endpoint = loss.endpoint_;
    UnconfirmedLosses &unconfirmed = state.unconfirmed_[endpoint];
    unconfirmed.losses_.push_back(std::move(loss));
    detail::sendCheck(state, list, endpoint, unconfirmed);
}

void onEndpointChecked(CrashesState &state, const EndpointListState &list,
                       const EndpointId &endpoint, const EndpointSighting &sighting,
                       TimePoint sentAt, TimePoint now)
{
    const auto found = state.unconfirmed_.find(endpoint);
    if (found == state.unconfirmed_.end())
        return;
    UnconfirmedLosses &unconfirmed = found->second;
    unconfirmed.checking_ = false;
    if (sighting.result_ == EndpointCheckResult::Silent)
        return;
    const auto crashed = detail::takeCrashed(unconfirmed, sighting);
    // A loss after the check was sent is not explained by it.
    std::erase_if(unconfirmed.losses_,
                  [&](const DispatchLost &loss) { return loss.lostAt_ <= sentAt; });
    if (unconfirmed.losses_.empty())
        state.unconfirmed_.erase(found);
    else
        detail::sendCheck(state, list, endpoint, unconfirmed);
    if (crashed.empty())
        return;
    detail::logCrash(state, endpoint, crashed, now);
    for (const DispatchLost &loss : crashed)
        detail::blameTraits(state, loss);
    if (!state.news_.empty())
        detail::applyNews(state, now);
}

bool onTraitAnswered(CrashesState &state, const TraitAnswered &answered, TimePoint now)
{
    if (!recordAnswer(state.blame_, answered.trait_, answered.at_))
        return false;
    detail::applyNews(state, now);
    return true;
}

bool onTraitReports(CrashesState &state, const std::vector<TraitReport> &reports, TimePoint now)
{
    if (!mergeTraitReports(state.blame_, reports, now))
        return false;
    detail::applyNews(state, now);
    return true;
}

void tickCrashes(CrashesState &state, const EndpointListState &list, TimePoint now)
{
    for (auto &[endpoint, unconfirmed] : state.unconfirmed_) {
        if (unconfirmed.checking_)
            continue;
        std::erase_if(unconfirmed.losses_, [&](const DispatchLost &loss) {
            return now - loss.lostAt_ > state.limits_.forgetLossAfter_;
        });
        if (!unconfirmed.losses_.empty())
            detail::sendCheck(state, list, endpoint, unconfirmed);
    }
    std::erase_if(state.unconfirmed_, [&](const auto &entry) {
        return !entry.second.checking_
               && (entry.second.losses_.empty() || !list.endpoints_.contains(entry.first));
    });
    const std::size_t before = state.blame_.traits_.size();
    forgetTraits(state.blame_, now);
    if (state.blame_.traits_.size() != before)
        detail::applyNews(state, now);
}

} // namespace gypsumcroft
