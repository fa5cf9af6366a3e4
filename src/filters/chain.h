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

struct FilterVerdict
{
    FilterAction action_ = FilterAction::Continue;
    Refusal refusal_;
};

inline FilterVerdict proceed()
{
    return {};
}

inline FilterVerdict hold()
{
    return {FilterAction::Hold, {}};
}

inline FilterVerdict done()
{
    return {FilterAction::Done, {}};
}

inline FilterVerdict refuse(RefusalCode code, std::string reason, Duration retryAfter = {})
{
    return {FilterAction::Refuse, {code, RunState::NotRun, std::move(reason), retryAfter}};
}

//! One filter. Its arguments are the request, the view that the control thread published, the
//! state of the traffic thread and the current time. A Verdict is a struct with a FilterAction
//! action_ and the details of a refusal.
template <typename Context, typename View, typename State, typename Verdict = FilterVerdict>
struct Filter
{
    std::string_view name_;
    Verdict (*run_)(Context &, const View &, State &, TimePoint);
};

//! Runs the filters from index next on, and sets next to the filter at which a later run starts.
template <typename Context, typename View, typename State, typename Verdict>
Verdict runChain(std::span<const Filter<Context, View, State, Verdict>> chain, std::size_t &next,
                 Context &context, const View &view, State &state, TimePoint now)
{
    while (next < chain.size()) {
        Verdict verdict = chain[next].run_(context, view, state, now);
        if (verdict.action_ == FilterAction::Hold || verdict.action_ == FilterAction::Refuse)
            return verdict;
        ++next;
        if (verdict.action_ == FilterAction::Done)
            return verdict;
    }
    return {FilterAction::Done, {}};
}

} // namespace gypsumcroft
