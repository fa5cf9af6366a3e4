#include "operators.h"

#include <prometheus/text_serializer.h>

namespace gypsumcroft::detail {

OperatorServer::OperatorServer(asio::io_context &context, std::string token)
    : token_(std::move(token)), registry_(std::make_shared<prometheus::Registry>()),
      server_({&context},
              [this](const http::HttpRequest &request,
                     const std::shared_ptr<http::Exchange> &exchange) { serve(request, exchange); })
{ }

void OperatorServer::route(const std::string &key, OperatorRoute handler)
{
    routes_[key] = std::move(handler);
}

void OperatorServer::routeLate(const std::string &key, LateOperatorRoute handler)
{
    lateRoutes_[key] = std::move(handler);
}

prometheus::Gauge &OperatorServer::gauge(const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge()
            .Name("gypsumcroft_" + name)
            .Help(help)
            .Register(*registry_)
            .Add({});
}

Result<Address> OperatorServer::listen(const Address &address)
{
    return server_.listen(address);
}

http::HttpResponse OperatorServer::metrics()
{
    if (refresh_)
        refresh_();
    http::HttpResponse response
            = plainAnswer(200, prometheus::TextSerializer().Serialize(registry_->Collect()));
    response.contentType_ = "text/plain; version=0.0.4";
    return response;
}

void OperatorServer::serve(const http::HttpRequest &request,
                           const std::shared_ptr<http::Exchange> &exchange)
{
    const auto late = lateRoutes_.find(request.method_ + " " + request.path_);
    if (late == lateRoutes_.end() || !isAuthorised(request))
        return exchange->respond(handle(request));
    late->second(request, exchange);
}

bool OperatorServer::isAuthorised(const http::HttpRequest &request) const
{
    return http::headerValue(request, "authorization") == "Bearer " + token_;
}

http::HttpResponse OperatorServer::handle(const http::HttpRequest &request)
{
    if (request.path_ == "/healthz")
        return plainAnswer(200, "ok\n");
    if (request.path_ == "/readyz")
        return ready_ && ready_() ? plainAnswer(200, "ready\n") : plainAnswer(503, "not ready\n");
    if (request.path_ == "/metrics")
        return metrics();
    const std::string key = request.method_ + " " + request.path_;
    const auto found = routes_.find(key);
    if (found == routes_.end() && !lateRoutes_.contains(key))
        return plainAnswer(404, "no such path\n");
    if (!isAuthorised(request))
        return plainAnswer(401, "the operators' token is missing or wrong\n");
    return found->second(request);
}

http::HttpResponse plainAnswer(std::uint16_t status, std::string text)
{
    http::HttpResponse response;
    response.status_ = status;
    response.contentType_ = "text/plain";
    response.body_ = std::move(text);
    return response;
}

http::HttpResponse jsonText(std::string text)
{
    http::HttpResponse response;
    response.body_ = std::move(text) + "\n";
    return response;
}

} // namespace gypsumcroft::detail
