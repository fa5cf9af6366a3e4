#include "gateway/internal/requestblame.h"

#include "filters/gatewayfilters.h"
#include "gateway/internal/requestend.h"

namespace gypsumcroft::detail {

bool checkBlame(GatewayTraffic &state, const GatewayView &view, GatewayContext &context,
                TimePoint now)
{
    const RequestBlame blame = blameOfRequest(context, view, now);
    if (blame.status_ == BlameStatus::Quarantined) {
        context.quarantinedUntil_ = blame.until_;
        refuse(state, context,
               context.mayHaveRun_ ? GatewayRefusal::Failed : GatewayRefusal::Quarantined,
               "quarantine", now);
        return true;
    }
    if (blame.status_ == BlameStatus::Suspected && !context.suspect_) {
        dequeue(context, state);
        context.suspect_ = true;
        enqueue(context, state, false);
    }
    return false;
}

void reportAnswers(GatewayTraffic &state, const GatewayView &view)
{
    for (const auto &[trait, verdict] : view.blame_->traits_) {
        const auto answered = lastAnswer(state.traitHistory_, trait);
        if (answered && (!verdict.answeredAt_ || *answered > *verdict.answeredAt_))
            emit(state, TraitAnswered {trait, *answered});
    }
}

void reportLoss(GatewayTraffic &state, const GatewayContext &context, TimePoint now)
{
    const ActiveDispatch &dispatch = *context.dispatch_;
    if (!dispatch.hasAnswered_)
        emit(state, DispatchLost {dispatch.endpoint_, dispatch.incarnation_, dispatch.sentAt_, now,
                                  context.traits_});
}

} // namespace gypsumcroft::detail
