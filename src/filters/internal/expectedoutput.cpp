#include "filters/expectedoutput.h"

namespace gypsumcroft {

namespace detail {
namespace {

OutputKey outputKey(const GatewayContext &context)
{
    return {context.route_.name_, context.organisation_.value_or(OrganisationId {})};
}

} // namespace
} // namespace detail

Tokens expectedOutputOf(const GatewayContext &context, const GatewayView &view,
                        const GatewayTraffic &state)
{
    const TargetSpec *target = findTarget(*view.table_, context.target_);
    const GatewayRequest &request = context.request_;
    if (target == nullptr || !target->engine_ || !context.route_.isStream_)
        return request.expectedOutput_;
    // Callers that say nothing of the output are outside the estimate, as they are of the protocol.
    if (!request.lengthHint_ && request.outputLimit_.value_ == 0)
        return request.expectedOutput_;
    return expectedOutput(state.outputSizes_, detail::outputKey(context), request.lengthHint_,
                          request.outputLimit_, target->engine_->typicalOutput_);
}

void learnOutput(const GatewayContext &context, GatewayTraffic &state, TimePoint now)
{
    // The length of a response that the caller resumed isn't known here.
    if (context.eventCount_ == 0 || context.request_.resumeAfter_)
        return;
    const auto usualGap = state.usualGaps_.find(context.target_);
    const auto stepsPerEvent
            = usualGap == state.usualGaps_.end() ? std::nullopt : medianOf(usualGap->second);
    learnOutput(state.outputSizes_, detail::outputKey(context), context.request_.lengthHint_,
                context.eventCount_, stepsPerEvent, now);
}

} // namespace gypsumcroft
