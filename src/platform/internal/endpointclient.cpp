#include "platform/endpointclient.h"

#include "platform/documents.h"
#include "platform/forwarding.h"

namespace gypsumcroft::platform {

namespace detail {
namespace {

//! Responses carry no request id: on a reused connection, a late response could be taken for the
//! response to the next request.
constexpr bool NewConnection = true;
constexpr std::chrono::milliseconds ResponseTimeout {450};
//! Size limit of a response body, for reports and orders.
constexpr std::uint64_t MaxResponseBytes = 256UL * 1024;
constexpr std::uint16_t StatusOk = 200;

constexpr std::string_view InstanceHeader = "X-Instance-Id";

EndpointSighting sightingIn(const EndpointId &endpoint, const http::ClientResult &result)
{
    if (!result.response_)
        return {result.connectionLost_ ? EndpointCheckResult::Gone : EndpointCheckResult::Silent};
    const auto instance = http::findHeader(result.response_->headers_, InstanceHeader);
    if (instance && *instance != endpoint.value_)
        return {EndpointCheckResult::Gone};
    const auto report = decodeServerReport(result.response_->body_);
    return {EndpointCheckResult::Responded, report.value_ ? report.value_->incarnation_ : 0};
}

} // namespace
} // namespace detail

EndpointClient::EndpointClient(boost::asio::io_context &context, NoticeHandler onNotice)
    : onNotice_(std::move(onNotice)), client_(context)
{ }

void EndpointClient::takeNotice(const EndpointId &endpoint, const http::ClientResult &result) const
{
    if (!result.response_)
        return;
    const EndpointNotice notice
            = decodeEndpointNotice(result.response_->status_, result.response_->headers_);
    if (notice.leaving_ || notice.pause_ || !notice.ignoredPause_.empty())
        onNotice_(endpoint, notice);
}

void EndpointClient::requestReport(
        const RequestStatusReport &target,
        std::function<void(std::optional<EndpointStatusReport>)> callback)
{
    http::HttpRequest request;
    request.path_ = "/report";
    client_.send(target.address_, std::move(request),
                 {detail::ResponseTimeout, detail::NewConnection, detail::MaxResponseBytes},
                 [this, endpoint = target.endpoint_,
                  callback = std::move(callback)](const http::ClientResult &result) {
                     takeNotice(endpoint, result);
                     if (!result.response_ || result.response_->status_ != detail::StatusOk)
                         return callback(std::nullopt);
                     callback(decodeServerReport(result.response_->body_).value_);
                 });
}

void EndpointClient::sight(const CheckEndpoint &target, const std::string &healthPath,
                           std::function<void(EndpointSighting)> callback)
{
    http::HttpRequest request;
    request.path_ = healthPath.empty() ? "/report" : healthPath;
    client_.send(target.address_, std::move(request),
                 {detail::ResponseTimeout, detail::NewConnection, detail::MaxResponseBytes},
                 [this, endpoint = target.endpoint_,
                  callback = std::move(callback)](const http::ClientResult &result) {
                     takeNotice(endpoint, result);
                     callback(detail::sightingIn(endpoint, result));
                 });
}

void EndpointClient::sendLoadOrder(const SendLoadOrder &order,
                                   std::function<void(OrderOutcome)> callback)
{
    http::HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/order";
    request.headers_
            = {{"Content-Type", "application/json"}, {"X-Expect-Instance", order.endpoint_.value_}};
    request.body_ = encodeLoadOrder(order.layers_, order.expectedOrders_);
    client_.send(order.address_, std::move(request),
                 {detail::ResponseTimeout, detail::NewConnection, detail::MaxResponseBytes},
                 [this, endpoint = order.endpoint_,
                  callback = std::move(callback)](const http::ClientResult &result) {
                     takeNotice(endpoint, result);
                     callback(result.response_ ? toOrderOutcome(result.response_->status_)
                                               : OrderOutcome::Unknown);
                 });
}

} // namespace gypsumcroft::platform
