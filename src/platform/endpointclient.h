//! HTTP client of model servers: reads their reports and sends load orders.
#pragma once

#include <functional>
#include <optional>

#include "controllers/placement.h"
#include "http/client.h"

namespace gypsumcroft::platform {

//! Not thread-safe: call it on the thread that runs its io_context. Callbacks run there too.
class EndpointClient
{
public:
    explicit EndpointClient(boost::asio::io_context &context);

    //! Requests the server's report. The callback gets nullopt on a connection failure, a timeout,
    //! a status other than 200 or a malformed report.
    void requestReport(const RequestStatusReport &target,
                       std::function<void(std::optional<EndpointStatusReport>)> callback);
    //! Sends a load order. The callback gets OrderOutcome::Unknown when no response arrives;
    //! the server may still carry the order out.
    void sendLoadOrder(const SendLoadOrder &order, std::function<void(OrderOutcome)> callback);

private:
    http::Client client_;
};

} // namespace gypsumcroft::platform
