//! What becomes of a request after an attempt has ended without an answer for the caller.
#pragma once

#include <cstdint>

#include "core/routes.h"

namespace gypsumcroft {

//! How an attempt ended.
enum class AttemptEnding : std::uint8_t {
    //! The endpoint certainly did not run it and never will.
    NotRun,
    //! It may have run: no answer, or one that broke off.
    Unknown,
    //! The endpoint answered with a failure of its own.
    FailureAnswer,
};

struct AttemptFacts
{
    RepeatRule repeat_ = RepeatRule::Never;
    AttemptEnding ending_ = AttemptEnding::Unknown;
    //! Some of the answer has gone to the caller.
    bool answerBegun_ = false;
    //! An earlier attempt may have run.
    bool earlierMayHaveRun_ = false;
    //! Attempts that may have run, this one included.
    std::uint32_t runs_ = 0;
    std::uint32_t maxAttempts_ = 1;
    bool timeLeft_ = true;
    //! The retry budget has room.
    bool budgetLeft_ = true;
    //! Attempts of any ending so far.
    std::uint32_t sends_ = 0;
};

enum class NextStep : std::uint8_t {
    SendAgain,
    //! Hand the endpoint's own failure on.
    PassFailure,
    //! Refuse; it has not run and never will.
    RefuseNotRun,
    //! Say that the outcome is unknown.
    FailUnknown,
    //! Close, so that the answer is not taken for a whole one.
    BreakOff,
};

//! Sends of one request at most, however certain it is that none of them ran.
inline constexpr std::uint32_t MaxSends = 5;

NextStep nextStep(const AttemptFacts &facts);

} // namespace gypsumcroft
