//! Decides what to do with a request after an attempt ended without a complete response for the
//! caller.
#pragma once

#include <cstdint>

#include "core/routes.h"

namespace gypsumcroft {

enum class AttemptOutcome : std::uint8_t {
    //! The endpoint did not run the request and never will.
    NotRun,
    //! The request may have run: there was no response, or an incomplete one.
    Unknown,
    //! The endpoint responded with an error.
    ErrorResponse,
};

//! An attempt is a dispatch with its outcome: maxAttempts_ limits only possibleRuns_, the attempts
//! that may have run, while dispatches_ counts all and is limited by MaxDispatches.
struct AttemptSummary
{
    RerunPolicy rerunPolicy_ = RerunPolicy::Never;
    AttemptOutcome outcome_ = AttemptOutcome::Unknown;
    //! Part of the response has been sent to the caller.
    bool responseStarted_ = false;
    //! An earlier attempt may have run.
    bool earlierAttemptMayHaveRun_ = false;
    //! Number of attempts that may have run, including this one if it may have.
    std::uint32_t possibleRuns_ = 0;
    std::uint32_t maxAttempts_ = 1;
    bool beforeDeadline_ = true;
    //! The retry budget allows another retry.
    bool hasRetryBudget_ = true;
    //! Number of dispatches so far, whatever their outcome.
    std::uint32_t dispatches_ = 0;
};

enum class RetryDecision : std::uint8_t {
    Retry,
    //! Forward the endpoint's error response to the caller.
    ForwardError,
    //! Refuse the request, which has not run and never will.
    RefuseNotRun,
    //! Report to the caller that the outcome is unknown.
    FailUnknown,
    //! Close the connection, so that the caller doesn't take the partial response for a complete
    //! one.
    Abort,
};

//! Limit on the dispatches of one request, also when none of them ran.
inline constexpr std::uint32_t MaxDispatches = 5;

RetryDecision decideRetry(const AttemptSummary &attempt);

} // namespace gypsumcroft
