//! Callers that keep their connections and send the next request as soon as they have an answer.
#pragma once

#include <functional>

#include "core/ids.h"
#include "core/random.h"
#include "soak/requests.h"

namespace boost::asio {
class io_context;
}

namespace gypsumcroft::lab {

struct CallersState
{
    std::uint64_t seed_ = 0;
    //! Where each gateway is reached.
    std::vector<Address> gateways_;
    //! Of the keys in force the newest is the last; the first is never revoked.
    std::vector<std::string> keys_;
    bool stopping_ = false;
    std::uint32_t running_ = 0;
    Requests requests_;
    std::function<void(Finding)> onFinding_;
    //! Whether that gateway and the way to it were undisturbed between the two times.
    std::function<bool(std::uint32_t gateway, SoakTime from, SoakTime to)> wasCalm_;
};

//! Starts a caller; the state must live until none is running.
void startCaller(boost::asio::io_context &context, CallersState &state, std::uint32_t number);

} // namespace gypsumcroft::lab
