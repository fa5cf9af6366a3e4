//! Gateways under faults: paused, stopped, killed, started again, watched.
#pragma once

#include <functional>
#include <memory>

#include "gatewayprogram.h"
#include "soak/requests.h"

namespace boost::asio {
class io_context;
}

namespace gypsumcroft::lab {

struct CaredGateway
{
    std::uint32_t number_ = 0;
    std::unique_ptr<GatewayProgram> program_;
    //! The process was held up, or was not there, in these spans.
    std::vector<std::pair<SoakTime, SoakTime>> disturbed_;
    //! From being asked to stop to the end.
    std::vector<std::pair<SoakTime, SoakTime>> stops_;
    int pauses_ = 0;
    bool stopping_ = false;
    bool killed_ = false;
    bool overMemory_ = false;
    std::uint64_t peakBytes_ = 0;
};

using OnFinding = std::function<void(Finding)>;

void pauseGateway(CaredGateway &gateway, SoakTime now);
void resumeGateway(CaredGateway &gateway, SoakTime now);
//! Asks it to stop, or kills it, and starts it again so long after its end; with no such time it
//! stays away. One that is asked to stop already can only be killed.
void endGateway(boost::asio::io_context &context, CaredGateway &gateway, int signal,
                std::optional<std::chrono::milliseconds> away, const OnFinding &onFinding);
void watchMemory(CaredGateway &gateway, SoakTime now, const OnFinding &onFinding);
//! Neither paused nor killed; it may have been asked to stop.
bool wasUnharmed(const CaredGateway &gateway, SoakTime from, SoakTime to);
//! Unharmed and not asked to stop.
bool wasCalm(const CaredGateway &gateway, SoakTime from, SoakTime to);

} // namespace gypsumcroft::lab
