//! Reads the requests of RelayServer's callers and refuses those that are unreadable or too large.
#pragma once

#include <optional>

#include "relayconnection.h"

namespace gypsumcroft::http::detail {

//! Status line and header section of a response.
std::string headText(RelayConnection &connection, const ResponseHead &head,
                     const std::string &framing);

//! Suspends the coroutine that serves the connection until its wake timer is cancelled.
asio::awaitable<void> waitForWake(RelayConnection &connection, Clock::time_point until);

//! Returns nothing if the connection is closed or the request was refused.
asio::awaitable<std::optional<RelayRequest>> readRequest(RelayConnection &connection);

} // namespace gypsumcroft::http::detail
