//! Operators' HTTP that entries and agents share: health, readiness, metrics, token.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "core/ids.h"
#include "http/server.h"
#include "runtime.h"

namespace gypsumcroft::detail {

using OperatorRoute = std::function<http::HttpResponse(const http::HttpRequest &)>;

//! Handler that responds later, from any thread.
using LateOperatorRoute
        = std::function<void(const http::HttpRequest &, std::shared_ptr<http::Exchange>)>;

//! Runs on the control thread.
class OperatorServer
{
public:
    OperatorServer(asio::io_context &context, std::string token);

    //! key is "METHOD /path". Routes of this kind need the operators' token.
    void route(const std::string &key, OperatorRoute handler);
    void routeLate(const std::string &key, LateOperatorRoute handler);
    void setReady(std::function<bool()> ready) { ready_ = std::move(ready); }
    //! Called before each scrape, to bring the gauges up to date.
    void setRefresh(std::function<void()> refresh) { refresh_ = std::move(refresh); }
    prometheus::Gauge &gauge(const std::string &name, const std::string &help);
    Result<Address> listen(const Address &address);

private:
    void serve(const http::HttpRequest &request, const std::shared_ptr<http::Exchange> &exchange);
    bool isAuthorised(const http::HttpRequest &request) const;
    http::HttpResponse handle(const http::HttpRequest &request);
    http::HttpResponse metrics();

    std::string token_;
    std::map<std::string, OperatorRoute> routes_;
    std::map<std::string, LateOperatorRoute> lateRoutes_;
    std::function<bool()> ready_;
    std::function<void()> refresh_;
    std::shared_ptr<prometheus::Registry> registry_;
    http::Server server_;
};

http::HttpResponse plainAnswer(std::uint16_t status, std::string text);
http::HttpResponse jsonText(std::string text);

} // namespace gypsumcroft::detail
