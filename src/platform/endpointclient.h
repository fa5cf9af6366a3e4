//! HTTP client of model servers: reads their reports and sends load orders.
#pragma once

#include <functional>
#include <optional>

#include "controllers/crashes.h"
#include "controllers/placement.h"
#include "core/endpointnotice.h"
#include "http/client.h"

namespace gypsumcroft::platform {

//! Not thread-safe: call it on the thread that runs its io_context. Callbacks run there too.
class EndpointClient
{
public:
    //! Called with what a server said about further requests, before the callback of the request.
    using NoticeHandler = std::function<void(const EndpointId &, const EndpointNotice &)>;
    EndpointClient(boost::asio::io_context &context, NoticeHandler onNotice);

    //! Requests the server's report. The callback gets nullopt on a connection failure, a timeout,
    //! a status other than 200 or a malformed report.
    void requestReport(const RequestStatusReport &target,
                       std::function<void(std::optional<EndpointStatusReport>)> callback);
    //! Sends a load order. The callback gets OrderOutcome::Unknown when no response arrives;
    //! the server may still carry the order out.
    void sendLoadOrder(const SendLoadOrder &order, std::function<void(OrderOutcome)> callback);

    //! Finds out whether a server runs: requests the health path or, if that is empty, the server's
    //! report. Any response of the server itself shows it, also one that turns the request away. A
    //! timeout is EndpointCheckResult::Silent; a connection that is refused or lost, or a response
    //! that names another server, is EndpointCheckResult::Gone.
    void sight(const CheckEndpoint &target, const std::string &healthPath,
               std::function<void(EndpointSighting)> callback);

private:
    void takeNotice(const EndpointId &endpoint, const http::ClientResult &result) const;

    NoticeHandler onNotice_;
    http::Client client_;
};

} // namespace gypsumcroft::platform
