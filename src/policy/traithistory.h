//! Recent requests of one gateway by their traits: which run without an answer so far, and when
//! others were answered last.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/units.h"
#include "policy/crashblame.h"

namespace gypsumcroft {

struct TraitHistory
{
    //! Dispatches in progress that have brought no answer yet.
    std::unordered_map<RequestTrait, std::uint32_t> unanswered_;
    //! Last answers, in two generations: when the newer one is full, the older one is forgotten.
    std::unordered_map<RequestTrait, TimePoint> answeredAt_;
    std::unordered_map<RequestTrait, TimePoint> answeredBefore_;
    std::size_t maxTraitsPerGeneration_ = 4096;
};

void noteDispatched(TraitHistory &history, const std::vector<RequestTrait> &traits);

//! Notes that a dispatch brought an answer, or ended without one.
void releaseUnanswered(TraitHistory &history, const std::vector<RequestTrait> &traits);

void noteAnswered(TraitHistory &history, const std::vector<RequestTrait> &traits, TimePoint now);

//! True if a request with these traits may be dispatched: none of them is in quarantine, and of
//! those suspected no other request runs without an answer.
bool mayRun(const BlameVerdicts &verdicts, const TraitHistory &history,
            const std::vector<RequestTrait> &traits, TimePoint now);

//! When a request with the trait was last answered, as far as is remembered.
std::optional<TimePoint> lastAnswer(const TraitHistory &history, RequestTrait trait);

} // namespace gypsumcroft
