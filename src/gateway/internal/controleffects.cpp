#include "gateway/internal/controleffects.h"

#include <utility>

namespace gypsumcroft::detail {

void publishView(GatewayControl &state)
{
    state.effects_.emplace_back(GatewayViewChanged {});
}

void emitLog(GatewayControl &state, std::vector<LogEvent> &log)
{
    for (LogEvent &event : log)
        state.effects_.emplace_back(std::move(event));
    log.clear();
}

void rebuildEndpointIndex(GatewayControl &state)
{
    state.endpointIndex_ = buildEndpointIndex(state.endpoints_);
    publishView(state);
}

} // namespace gypsumcroft::detail
