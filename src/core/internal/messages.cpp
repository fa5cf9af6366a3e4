#include "core/messages.h"

namespace gypsumcroft {

std::string_view runStateName(RunState run)
{
    return run == RunState::NotRun ? "not-run" : "unknown";
}

std::string_view refusalCodeName(RefusalCode code)
{
    switch (code) {
    case RefusalCode::BadRequest:
        return "bad-request";
    case RefusalCode::Unauthorised:
        return "unauthorised";
    case RefusalCode::UnknownTemplate:
        return "unknown-template";
    case RefusalCode::KeyRequired:
        return "key-required";
    case RefusalCode::KeyReused:
        return "key-reused";
    case RefusalCode::TooLarge:
        return "too-large";
    case RefusalCode::RateLimited:
        return "rate-limited";
    case RefusalCode::Overloaded:
        return "overloaded";
    case RefusalCode::Expired:
        return "expired";
    case RefusalCode::NoRoute:
        return "no-route";
    case RefusalCode::Busy:
        return "busy";
    case RefusalCode::Leaving:
        return "leaving";
    case RefusalCode::Quarantined:
        return "quarantined";
    case RefusalCode::LogUnavailable:
        return "log-unavailable";
    case RefusalCode::EndpointFailed:
        return "endpoint-failed";
    case RefusalCode::InProgress:
        return "in-progress";
    case RefusalCode::CallerGone:
        return "caller-gone";
    case RefusalCode::OutcomeUnknown:
        return "outcome-unknown";
    }
    return "unknown";
}

std::string_view endpointStateName(EndpointState state)
{
    switch (state) {
    case EndpointState::Starting:
        return "starting";
    case EndpointState::Ready:
        return "ready";
    case EndpointState::Leaving:
        return "leaving";
    case EndpointState::Down:
        return "down";
    }
    return "unknown";
}

} // namespace gypsumcroft
