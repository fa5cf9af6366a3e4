//! A filter chain: an array of named free functions that are run on a request in order.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>

#include "core/messages.h"
#include "core/units.h"

namespace gypsumcroft {

enum class FilterAction {
    //! Run the next filter.
    Continue,
    //! Stop; a later run of the chain starts at this filter again.
    Hold,
    //! Stop; the request is refused.
    Refuse,
    //! Stop; the request was queued or dispatched. A later run starts at the next filter.
    Done,
};

struct FilterResult
{
    FilterAction action_ = FilterAction::Continue;
    Refusal refusal_;
};

inline FilterResult proceed()
{
    return {};
}

inline FilterResult hold()
{
    return {FilterAction::Hold, {}};
}

inline FilterResult done()
{
    return {FilterAction::Done, {}};
}

inline FilterResult refuse(RefusalCode code, std::string reason, Duration retryAfter = {})
{
    return {FilterAction::Refuse, {code, RunState::NotRun, std::move(reason), retryAfter}};
}

//! One filter. Its arguments are the request, the view that the control thread published, the
//! state of the traffic thread and the current time. A Result is a struct with a FilterAction
//! action_ and the details of a refusal.
template <typename Context, typename View, typename State, typename Result = FilterResult>
struct Filter
{
    std::string_view name_;
    Result (*run_)(Context &, const View &, State &, TimePoint);
};

//! Runs the filters from index next on, and sets next to the filter at which a later run starts.
template <typename Context, typename View, typename State, typename Result>
Result runChain(std::span<const Filter<Context, View, State, Result>> chain, std::size_t &next,
                Context &context, const View &view, State &state, TimePoint now)
{
    while (next < chain.size()) {
        Result result = chain[next].run_(context, view, state, now);
        if (result.action_ == FilterAction::Hold || result.action_ == FilterAction::Refuse)
            return result;
        ++next;
        if (result.action_ == FilterAction::Done)
            return result;
    }
    return {FilterAction::Done, {}};
}

} // namespace gypsumcroft
