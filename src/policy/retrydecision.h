//! Decides what to do with a request after an attempt ended without a complete response for the
//! caller.
#pragma once

#include <cstdint>

#include "core/routes.h"

namespace gypsumcroft {

enum class AttemptEnding : std::uint8_t {
    //! The endpoint did not run the request and never will.
    NotRun,
    //! The request may have run: there was no response, or an incomplete one.
    Unknown,
    //! The endpoint responded with an error.
    FailureAnswer,
};

struct AttemptFacts
{
    RepeatRule repeat_ = RepeatRule::Never;
    AttemptEnding ending_ = AttemptEnding::Unknown;
    //! Part of the response has been sent to the caller.
    bool answerBegun_ = false;
    //! An earlier attempt may have run.
    bool earlierMayHaveRun_ = false;
    //! Number of attempts that may have run, including this one.
    std::uint32_t runs_ = 0;
    std::uint32_t maxAttempts_ = 1;
    bool timeLeft_ = true;
    //! The retry budget allows another retry.
    bool budgetLeft_ = true;
    //! Number of dispatches so far, whatever their outcome.
    std::uint32_t sends_ = 0;
};

enum class NextStep : std::uint8_t {
    SendAgain,
    //! Forward the endpoint's error response to the caller.
    PassFailure,
    //! Refuse the request, which has not run and never will.
    RefuseNotRun,
    //! Report to the caller that the outcome is unknown.
    FailUnknown,
    //! Close the connection, so that the caller doesn't take the partial response for a complete
    //! one.
    BreakOff,
};

//! Limit on the dispatches of one request, also when none of them ran.
inline constexpr std::uint32_t MaxSends = 5;

NextStep nextStep(const AttemptFacts &facts);

} // namespace gypsumcroft
