//! The filter chain: an array of named free functions that a request passes in order.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>

#include "core/messages.h"
#include "core/units.h"

namespace gypsumcroft {

enum class FilterAction {
    //! Go on with the next filter.
    Continue,
    //! Stop here for now; the chain is resumed at the same filter.
    Hold,
    //! The request ends with a refusal.
    Refuse,
    //! The request is in other hands; the chain is resumed at the next filter.
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

//! One filter: it sees the request, control's picture, traffic's own state and the time. A verdict
//! is a struct with an action_ and what a refusal needs.
template <typename Context, typename View, typename State, typename Verdict = FilterVerdict>
struct Filter
{
    std::string_view name_;
    Verdict (*run_)(Context &, const View &, State &, TimePoint);
};

//! Runs filters from next on; next is left where the chain is to be resumed.
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
