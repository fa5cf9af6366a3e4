#include "common/program.h"

#include <iostream>

#include <boost/asio.hpp>

namespace gypsumcroft::standins {

namespace asio = boost::asio;

struct Program::Impl
{
    void handle(const http::HttpRequest &request, const std::shared_ptr<http::Exchange> &exchange)
    {
        const std::string key = request.method_ + " " + request.path_;
        const Route *best = nullptr;
        std::size_t length = 0;
        for (const auto &[prefix, route] : routes_) {
            if (key.starts_with(prefix) && prefix.size() >= length) {
                best = &route;
                length = prefix.size();
            }
        }
        if (best == nullptr)
            exchange->respond(jsonAnswer({{"error", "no such path"}}, 404));
        else
            (*best)(request, exchange);
    }

    asio::io_context context_ {1};
    std::map<std::string, Route> routes_;
    std::unique_ptr<http::Server> server_;
};

Program::Program() : impl_(std::make_unique<Impl>()) { }

Program::~Program() = default;

void Program::route(const std::string &key, Route handler)
{
    impl_->routes_[key] = std::move(handler);
}

void Program::after(std::chrono::microseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(impl_->context_, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
        if (!error)
            action();
    });
}

int Program::run(const std::string &address)
{
    const auto colon = address.rfind(':');
    const Address bind {address.substr(0, colon),
                        static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
    http::ServerOptions options;
    options.maxBodyBytes_ = 64UL * 1024 * 1024;
    impl_->server_ = std::make_unique<http::Server>(
            std::vector<asio::io_context *> {&impl_->context_},
            [this](const http::HttpRequest &request,
                   const std::shared_ptr<http::Exchange> &exchange) {
                impl_->handle(request, exchange);
            },
            options);
    const auto bound = impl_->server_->listen(bind);
    if (!bound) {
        std::cerr << bound.lastReason_ << "\n";
        return 1;
    }
    std::cout << "listening=" << bound->host_ << ":" << bound->port_ << std::endl;
    asio::signal_set signals(impl_->context_, SIGTERM, SIGINT);
    signals.async_wait([this](boost::system::error_code, int) { impl_->context_.stop(); });
    impl_->context_.run();
    return 0;
}

http::HttpResponse jsonAnswer(const boost::json::value &value, std::uint16_t status)
{
    http::HttpResponse response;
    response.status_ = status;
    response.body_ = boost::json::serialize(value) + "\n";
    return response;
}

boost::json::object bodyObject(const http::HttpRequest &request)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(request.body_, error);
    return error || !value.is_object() ? boost::json::object() : value.as_object();
}

std::int64_t numberOr(const boost::json::object &object, const char *name, std::int64_t fallback)
{
    const auto *value = object.if_contains(name);
    return value == nullptr || !value->is_number() ? fallback : value->to_number<std::int64_t>();
}

std::int64_t wallMilliseconds()
{
    using std::chrono::milliseconds;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace gypsumcroft::standins
