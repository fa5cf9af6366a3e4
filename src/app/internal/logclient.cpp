#include "logclient.h"

#include <boost/json.hpp>

#include "app/log.h"

namespace gypsumcroft::detail {

namespace {

constexpr std::chrono::milliseconds TailWait {1000};
constexpr std::chrono::milliseconds ReadMargin {1000};
constexpr std::chrono::milliseconds RetryDelay {200};
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusTooMany = 429;

AppendResult appendResultOf(const http::ClientResult &answer)
{
    AppendResult result;
    if (!answer.response_) {
        result.notTaken_ = answer.notSent_;
        result.reason_ = answer.reason_;
        return result;
    }
    if (answer.response_->status_ != StatusOk) {
        result.notTaken_ = answer.response_->status_ == StatusTooMany;
        result.reason_ = "status " + std::to_string(answer.response_->status_);
        return result;
    }
    boost::system::error_code error;
    const auto value = boost::json::parse(answer.response_->body_, error);
    const auto *offset
            = error || !value.is_object() ? nullptr : value.as_object().if_contains("offset");
    if (offset != nullptr && offset->is_number())
        result.offset_ = LogOffset {offset->to_number<std::uint64_t>()};
    else
        result.reason_ = "the log's answer can't be read";
    return result;
}

} // namespace

LogClient::LogClient(asio::io_context &context, Address log)
    : context_(context), log_(std::move(log)), client_(context)
{ }

void LogClient::append(const std::string &stream, std::string data,
                       std::chrono::milliseconds timeout,
                       std::function<void(AppendResult)> callback)
{
    http::HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/v1/streams/" + stream + "/records";
    request.body_ = std::move(data);
    client_.send(log_, std::move(request), {timeout, false},
                 [callback = std::move(callback)](const http::ClientResult &answer) {
                     callback(appendResultOf(answer));
                 });
}

void LogClient::read(const std::string &stream, LogOffset from, std::chrono::milliseconds wait,
                     std::function<void(std::optional<LogPage>)> callback)
{
    http::HttpRequest request;
    request.path_ = "/v1/streams/" + stream + "/records";
    request.query_
            = {{"from", std::to_string(from.value_)}, {"waitMs", std::to_string(wait.count())}};
    client_.send(log_, std::move(request), {wait + ReadMargin, false},
                 [callback = std::move(callback)](const http::ClientResult &answer) {
                     const bool ok = answer.response_ && answer.response_->status_ == StatusOk;
                     callback(ok ? decodeLogPage(answer.response_->body_) : std::nullopt);
                 });
}

void LogClient::tail(const std::string &stream, const std::function<LogOffset()> &next,
                     const std::function<void(const LogPage &)> &callback)
{
    tailOnce(stream, next, callback);
}

void LogClient::tailOnce(const std::string &stream, const std::function<LogOffset()> &next,
                         const std::function<void(const LogPage &)> &callback)
{
    read(stream, next(), TailWait,
         [this, stream, next, callback](const std::optional<LogPage> &page) {
             if (page) {
                 callback(*page);
                 tailOnce(stream, next, callback);
                 return;
             }
             auto timer = std::make_shared<asio::steady_timer>(context_, RetryDelay);
             timer->async_wait(
                     [this, timer, stream, next, callback](boost::system::error_code error) {
                         if (!error)
                             tailOnce(stream, next, callback);
                     });
         });
}

} // namespace gypsumcroft::detail
