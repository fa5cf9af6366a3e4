//! Client of model servers' own interface: what they hold, and orders to hold something else.
#pragma once

#include <functional>
#include <optional>

#include "controllers/placing.h"
#include "http/client.h"

namespace gypsumcroft::platform {

//! Use it on its io_context's thread.
class EndpointClient
{
public:
    explicit EndpointClient(boost::asio::io_context &context);

    //! Nothing when there was no answer that can be read.
    void ask(const AskEndpoint &question,
             std::function<void(std::optional<EndpointReportFacts>)> callback);
    void order(const OrderLayers &order, std::function<void(OrderOutcome)> callback);

private:
    http::Client client_;
};

} // namespace gypsumcroft::platform
