#include "policy/traithistory.h"

#include <algorithm>
#include <utility>

namespace gypsumcroft {

void noteDispatched(TraitHistory &history, const std::vector<RequestTrait> &traits)
{
    for (const RequestTrait trait : traits)
        ++history.unanswered_[trait];
}

void releaseUnanswered(TraitHistory &history, const std::vector<RequestTrait> &traits)
{
    for (const RequestTrait trait : traits) {
        const auto found = history.unanswered_.find(trait);
        if (found != history.unanswered_.end() && --found->second == 0)
            history.unanswered_.erase(found);
    }
}

void noteAnswered(TraitHistory &history, const std::vector<RequestTrait> &traits, TimePoint now)
{
    if (history.answeredAt_.size() + traits.size() > history.maxTraitsPerGeneration_)
        history.answeredBefore_ = std::exchange(history.answeredAt_, {});
    for (const RequestTrait trait : traits)
        history.answeredAt_[trait] = now;
}

bool mayRun(const BlameVerdicts &verdicts, const TraitHistory &history,
            const std::vector<RequestTrait> &traits, TimePoint now)
{
    const BlameStatus status = blameOf(verdicts, traits, now).status_;
    if (status != BlameStatus::Suspected)
        return status == BlameStatus::None;
    return std::none_of(traits.begin(), traits.end(), [&](RequestTrait trait) {
        const auto found = verdicts.traits_.find(trait);
        return found != verdicts.traits_.end() && found->second.crashes_ > 0
               && history.unanswered_.contains(trait);
    });
}

std::optional<TimePoint> lastAnswer(const TraitHistory &history, RequestTrait trait)
{
    for (const auto *generation : {&history.answeredAt_, &history.answeredBefore_}) {
        const auto found = generation->find(trait);
        if (found != generation->end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace gypsumcroft
