#include "platform/platformstandin.h"

#include <algorithm>
#include <optional>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <openssl/evp.h>

#include "core/hash.h"

namespace gypsumcroft::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::uint32_t ModelLayers = 4;
constexpr int EventsOfStream = 6;
constexpr std::chrono::milliseconds DefaultEventGap {15};
constexpr std::chrono::milliseconds LoadTime {60};
constexpr std::uint32_t Partitions = 12;

std::string base64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4, '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                    reinterpret_cast<const unsigned char *>(bytes.data()),
                    static_cast<int>(bytes.size()));
    return text;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
        text += static_cast<char>(value >> (8 * i) & 0xffU);
    return text;
}

std::string parameter(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

std::string header(const http::RelayRequest &request, std::string_view name)
{
    return std::string(http::findHeader(request.headers_, name).value_or(""));
}

struct Server
{
    std::string id_;
    std::unique_ptr<http::RelayServer> http_;
    Address address_;
    Address entryAddress_;
    std::optional<std::pair<std::uint32_t, std::uint32_t>> layers_;
    std::uint64_t orders_ = 0;
    std::uint64_t born_ = 1;
    //! Requests that may still run.
    std::vector<std::weak_ptr<http::RelayExchange>> open_;
    bool loading_ = false;
    bool model_ = true;
    bool draining_ = false;
    bool leaving_ = false;
    std::optional<std::chrono::milliseconds> retryAfter_;
};

using ExchangePtr = std::shared_ptr<http::RelayExchange>;

} // namespace

struct PlatformStandin::Impl
{
    void after(std::chrono::milliseconds delay, std::function<void()> action)
    {
        auto timer = std::make_shared<asio::steady_timer>(context_, delay);
        timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
            if (!error)
                action();
        });
    }

    template <typename Action>
    auto locked(const Action &action)
    {
        const std::lock_guard lock(mutex_);
        return action();
    }

    void onStore(const http::RelayRequest &request, const ExchangePtr &exchange);
    void onRead(const http::RelayRequest &request, const ExchangePtr &exchange);
    void onModel(Server &server, const http::RelayRequest &request, const ExchangePtr &exchange);
    void onOrder(Server &server, const http::RelayRequest &request, const ExchangePtr &exchange);
    void breakStream(const ExchangePtr &exchange, int next) const;
    void stream(const ExchangePtr &exchange, const std::string &id, int next, int breakAt);
    void work(const ExchangePtr &exchange, const http::ResponseHead &head, const std::string &id);
    std::string report(const Server &server);
    std::string entry(const Server &server);
    static ServerRun runOf(const Server &server, const http::RelayRequest &request);
    void turnAway(const Server &server, const http::RelayRequest &request,
                  const ExchangePtr &exchange) const;
    Server &addServer(const std::string &id, bool model);
    void listen(Server &server, const Address &address);
    void crash(Server &server, const ExchangePtr &cause);

    asio::io_context context_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::unique_ptr<http::RelayServer> store_;
    std::vector<std::string> configs_;
    std::vector<std::string> members_;
    std::uint64_t generation_ = 0;
    std::vector<ServerRun> runs_;
    std::vector<ServerRun> arrivals_;
    std::map<std::string, std::string> oddEntries_ {{"i-odd", "no entry"}};
    bool storeDown_ = false;
    std::string deadlyText_;
    std::chrono::milliseconds downFor_ {0};
    std::vector<std::chrono::steady_clock::time_point> crashes_;
    int breakAfter_ = -1;
    StreamBreak breakHow_ = StreamBreak::Closed;
    std::chrono::milliseconds longestWork_ {0};
    std::size_t answerBytes_ = 0;
    std::chrono::milliseconds eventGap_ = DefaultEventGap;
    std::jthread thread_;
};

ServerRun PlatformStandin::Impl::runOf(const Server &server, const http::RelayRequest &request)
{
    return {server.id_,
            header(request, "X-Request-Id"),
            header(request, "X-Tenant"),
            header(request, "X-Hop-Count"),
            header(request, "Last-Event-Id"),
            request.target_,
            request.body_,
            header(request, "X-Prompt-Prefix"),
            std::chrono::steady_clock::now()};
}

void PlatformStandin::Impl::turnAway(const Server &server, const http::RelayRequest &request,
                                     const ExchangePtr &exchange) const
{
    http::ResponseHead head {
            503,
            {{"X-Request-Id", header(request, "X-Request-Id")},
             {"X-Not-Executed", "1"},
             {"Retry-After",
              std::to_string(static_cast<double>(server.retryAfter_->count()) / 1000)}}};
    if (server.leaving_)
        head.headers_.emplace_back("Server-Leaving", "1");
    exchange->respond(head, {});
}

std::string PlatformStandin::Impl::entry(const Server &server)
{
    json::object entry {{"Service", server.model_ ? "model" : "desk"},
                        {"Address", server.entryAddress_.host_ + ":"
                                            + std::to_string(server.entryAddress_.port_)},
                        {"Zone", "a"},
                        {"Version", "v1"},
                        {"Slots", 4},
                        {"State", server.draining_ ? "draining" : "ready"},
                        {"Sequence", 1},
                        {"born", server.born_}};
    if (server.model_)
        entry["Kind"] = "half";
    if (server.layers_)
        entry["Layers"] = {{"From", server.layers_->first}, {"Target", server.layers_->second}};
    return json::serialize(entry);
}

std::string PlatformStandin::Impl::report(const Server &server)
{
    json::object report {
            {"Busy", server.loading_}, {"Sequence", server.orders_}, {"born", server.born_}};
    if (server.layers_)
        report["Layers"] = {{"From", server.layers_->first}, {"Target", server.layers_->second}};
    return json::serialize(report);
}

void PlatformStandin::Impl::onRead(const http::RelayRequest &request, const ExchangePtr &exchange)
{
    const std::uint64_t from = std::stoull(parameter(request.target_, "From"));
    const auto answer = [this, exchange, from] {
        std::string bytes = bigEndian(configs_.size(), 8) + bigEndian(0, 8);
        for (std::uint64_t i = from; i < configs_.size(); ++i) {
            const std::string record = std::string("\x06"
                                                   "config")
                                       + configs_[i];
            bytes += bigEndian(record.size(), 4) + record;
        }
        exchange->respond({200, {}}, bytes);
    };
    if (from < configs_.size())
        return answer();
    // Looks again in short steps: a stand-in need not be prompt.
    const std::chrono::milliseconds wait(std::stoi(parameter(request.target_, "WaitMs")));
    const auto until = std::chrono::steady_clock::now() + wait;
    auto look = std::make_shared<std::function<void()>>();
    *look = [this, from, until, answer, look] {
        const std::lock_guard lock(mutex_);
        if (from < configs_.size() || std::chrono::steady_clock::now() >= until) {
            answer();
            return;
        }
        after(std::chrono::milliseconds(10), *look);
    };
    after(std::chrono::milliseconds(10), *look);
}

void PlatformStandin::Impl::onStore(const http::RelayRequest &request, const ExchangePtr &exchange)
{
    const std::lock_guard lock(mutex_);
    if (storeDown_)
        return exchange->abort();
    if (request.target_.starts_with("/log-read"))
        return onRead(request, exchange);
    json::object answer;
    if (request.target_.starts_with("/log-newest")) {
        json::array items;
        if (parameter(request.target_, "Topic") == "keyed.op" && !configs_.empty())
            items.push_back({{"Key", "config"}, {"Value", base64(configs_.back())}, {"Offset", 0}});
        if (parameter(request.target_, "Topic") == "keyed.servers") {
            for (const auto &server : servers_)
                items.push_back(
                        {{"Key", server->id_}, {"Value", base64(entry(*server))}, {"Offset", 0}});
            for (const auto &[key, bytes] : oddEntries_)
                items.push_back({{"Key", key}, {"Value", base64(bytes)}, {"Offset", 0}});
        }
        answer = {{"Items", items}, {"HasMore", false}, {"EndOffset", configs_.size()}};
    } else if (request.target_.starts_with("/log-join")) {
        const std::string member(
                json::parse(request.body_).as_object().at("Member").as_string().c_str());
        auto found = std::find(members_.begin(), members_.end(), member);
        if (found == members_.end()) {
            found = members_.insert(members_.end(), member);
            ++generation_;
        }
        json::array parts;
        for (auto part = static_cast<std::uint32_t>(found - members_.begin()); part < Partitions;
             part += static_cast<std::uint32_t>(members_.size()))
            parts.push_back({"placement", part, 0});
        answer = {{"Generation", generation_}, {"TtlMs", 2000}, {"parts", parts}};
    } else if (request.target_.starts_with("/log-leave")) {
        generation_ += std::erase(
                members_, json::parse(request.body_).as_object().at("Member").as_string().c_str());
    } else {
        json::array rows;
        for (std::size_t i = 0; i < members_.size(); ++i)
            rows.push_back({"placement", i, members_[i], 0});
        answer = {{"parts", rows}};
    }
    exchange->respond({200, {{"Content-Type", "application/json"}}}, json::serialize(answer));
}

void PlatformStandin::Impl::onOrder(Server &server, const http::RelayRequest &request,
                                    const ExchangePtr &exchange)
{
    const json::object order = json::parse(request.body_).as_object();
    if (server.loading_ || order.at("Precondition").to_number<std::uint64_t>() != server.orders_)
        return exchange->respond({409, {}}, {});
    server.loading_ = true;
    server.layers_.reset();
    ++server.orders_;
    exchange->respond({202, {}}, {});
    const std::pair layers {order.at("From").to_number<std::uint32_t>(),
                            order.at("Target").to_number<std::uint32_t>()};
    after(LoadTime, [this, &server, layers] {
        const std::lock_guard lock(mutex_);
        server.loading_ = false;
        server.layers_ = layers;
    });
}

void PlatformStandin::Impl::breakStream(const ExchangePtr &exchange, int next) const
{
    if (breakHow_ == StreamBreak::Closed)
        return exchange->abort();
    exchange->writeBody("id: " + std::to_string(next) + "\ndata: ");
    exchange->finishResponse();
}

void PlatformStandin::Impl::stream(const ExchangePtr &exchange, const std::string &id, int next,
                                   int breakAt)
{
    if (next == breakAt)
        return breakStream(exchange, next);
    if (next > EventsOfStream)
        return exchange->finishResponse();
    const std::string number = std::to_string(next);
    exchange->writeBody("id: " + number + "\nevent: " + id + "\ndata: " + number + "\n\n");
    after(eventGap_,
          [this, exchange, id, next, breakAt] { stream(exchange, id, next + 1, breakAt); });
}

void PlatformStandin::Impl::work(const ExchangePtr &exchange, const http::ResponseHead &head,
                                 const std::string &id)
{
    std::string body = "done " + id;
    body.resize(std::max(body.size(), answerBytes_), '.');
    const auto longest = static_cast<std::uint64_t>(longestWork_.count());
    if (longest == 0)
        return exchange->respond(head, body);
    after(std::chrono::milliseconds(hashText(id) % longest),
          [exchange, head, body = std::move(body)] { exchange->respond(head, body); });
}

void PlatformStandin::Impl::onModel(Server &server, const http::RelayRequest &request,
                                    const ExchangePtr &exchange)
{
    const std::lock_guard lock(mutex_);
    if (request.target_ == "/report")
        return exchange->respond({200, {}}, report(server));
    if (request.target_ == "/order")
        return onOrder(server, request, exchange);
    const std::string id = header(request, "X-Request-Id");
    if (server.retryAfter_) {
        arrivals_.push_back(runOf(server, request));
        return turnAway(server, request, exchange);
    }
    http::ResponseHead head {
            200,
            {{"X-Request-Id", id},
             {"X-Response-Stamp", stampOf(id)},
             {"Content-Type", server.model_ ? "text/event-stream" : "text/plain"}}};
    if (server.leaving_)
        head.headers_.emplace_back("Server-Leaving", "1");
    if (header(request, "X-Expect-Instance") != server.id_)
        return exchange->respond({421, {head.headers_.front()}}, {});
    arrivals_.push_back(runOf(server, request));
    runs_.push_back(arrivals_.back());
    std::erase_if(server.open_, [](const auto &other) { return other.expired(); });
    server.open_.push_back(exchange);
    if (!deadlyText_.empty()
        && (request.target_ + header(request, "X-Prompt-Prefix")).find(deadlyText_)
                   != std::string::npos)
        return crash(server, exchange);
    if (!server.model_)
        return work(exchange, head, id);
    const std::string last = header(request, "Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    const int breakAt = std::exchange(breakAfter_, -1);
    exchange->startResponse(head);
    stream(exchange, id, first, breakAt < 0 ? -1 : first + breakAt);
}

Server &PlatformStandin::Impl::addServer(const std::string &id, bool model)
{
    servers_.push_back(std::make_unique<Server>());
    Server &server = *servers_.back();
    server.id_ = id;
    server.model_ = model;
    listen(server, {"127.0.0.1", 0});
    server.entryAddress_ = server.address_;
    return server;
}

void PlatformStandin::Impl::listen(Server &server, const Address &address)
{
    server.http_ = std::make_unique<http::RelayServer>(
            context_,
            [this, &server](const http::RelayRequest &request, const ExchangePtr &exchange) {
                onModel(server, request, exchange);
            });
    server.address_ = *server.http_->listen(address);
}

//! Closes all connections of a server and starts it again later.
void PlatformStandin::Impl::crash(Server &server, const ExchangePtr &cause)
{
    crashes_.push_back(std::chrono::steady_clock::now());
    // Not from within a handler of the server that goes.
    asio::post(context_, [this, &server, cause] {
        const std::lock_guard lock(mutex_);
        cause->abort();
        for (const auto &open : server.open_) {
            if (const auto exchange = open.lock())
                exchange->abort();
        }
        server.open_.clear();
        server.http_.reset();
        server.layers_.reset();
        server.loading_ = false;
        server.orders_ = 0;
    });
    after(downFor_, [this, &server] {
        const std::lock_guard lock(mutex_);
        ++server.born_;
        listen(server, server.address_);
    });
}

std::string stampOf(const std::string &request)
{
    return "stamp-" + std::to_string(hashText(request));
}

PlatformStandin::PlatformStandin(std::size_t modelServers, std::size_t plainServers)
    : impl_(std::make_unique<Impl>())
{
    for (std::size_t i = 1; i <= modelServers; ++i)
        impl_->addServer("i-model" + std::to_string(i), true);
    for (std::size_t i = 1; i <= plainServers; ++i)
        impl_->addServer(i == 1 ? "i-desk" : "i-desk" + std::to_string(i), false);
    impl_->store_ = std::make_unique<http::RelayServer>(
            impl_->context_,
            [this](const http::RelayRequest &request, const ExchangePtr &exchange) {
                impl_->onStore(request, exchange);
            });
    store_ = *impl_->store_->listen({"127.0.0.1", 0});
    impl_->thread_ = std::jthread([this] {
        const auto guard = asio::make_work_guard(impl_->context_);
        impl_->context_.run();
    });
}

PlatformStandin::~PlatformStandin()
{
    impl_->context_.stop();
    impl_->thread_.join();
}

void PlatformStandin::putConfig(std::uint64_t version, const std::vector<std::string> &keys,
                                bool withExtraRoute)
{
    const auto route = [](const char *prefix, const char *kind, const char *service) {
        return json::object {{"Name", prefix},       {"Host", "desk"},
                             {"PathPrefix", prefix}, {"Kind", kind},
                             {"TimeoutMs", 5000},    {"TargetLatencyMs", 500},
                             {"Priority", 0},        {"Service", service},
                             {"MaxAttempts", 2},     {"AllowAnonymous", false},
                             {"StreamResume", true}};
    };
    json::array routes {route("/quote/", "stream", "model"),
                        route("/book/", "non_idempotent", "desk"),
                        route("/look/", "idempotent", "desk")};
    if (withExtraRoute)
        routes.push_back(route("/extra/", "idempotent", "desk"));
    const json::object engine {
            {"Slots", 8},
            {"KvTokenBytes", 40000},
            {"step_ms", 1.0},
            {"read_per_s", 100000.0},
            {"loads_at_once", 2},
            {"Models", {{{"Name", "m"}, {"LoadS", 1.0}}}},
            {"Layers", ModelLayers},
            {"LayerMb", 1000.0},
            {"usual", {{"prompt", 800}, {"answer", 200}}},
            {"Kinds",
             {{{"Name", "half"}, {"SizeMb", 2200.0}, {"pace", 1.0}, {"ReadFactor", 1.0}}}}};
    const json::object config {
            {"Version", version},
            {"Routes", routes},
            {"Services", {{{"Name", "model"}, {"Engine", engine}}, {{"Name", "desk"}}}},
            {"Tenants", {{{"Name", "firm"}, {"ApiKeys", json::array(keys.begin(), keys.end())}}}}};
    impl_->locked([&] { impl_->configs_.push_back(json::serialize(config)); });
}

void PlatformStandin::setStoreDown(bool down)
{
    impl_->locked([&] { impl_->storeDown_ = down; });
}

void PlatformStandin::breakNextStream(int afterEvents, StreamBreak how)
{
    impl_->locked([&] {
        impl_->breakAfter_ = afterEvents;
        impl_->breakHow_ = how;
    });
}

void PlatformStandin::crashOn(const std::string &text, std::chrono::milliseconds downFor)
{
    impl_->locked([&] {
        impl_->deadlyText_ = text;
        impl_->downFor_ = downFor;
    });
}

std::vector<std::chrono::steady_clock::time_point> PlatformStandin::crashes()
{
    return impl_->locked([&] { return impl_->crashes_; });
}

void PlatformStandin::setDraining(const std::string &server)
{
    impl_->locked([&] {
        for (const auto &known : impl_->servers_)
            known->draining_ = known->draining_ || known->id_ == server;
    });
}

void PlatformStandin::setLeaving(const std::string &server)
{
    impl_->locked([&] {
        for (const auto &known : impl_->servers_)
            known->leaving_ = known->leaving_ || known->id_ == server;
    });
}

void PlatformStandin::turnAwayFor(const std::string &server, std::chrono::milliseconds retryAfter)
{
    impl_->locked([&] {
        for (const auto &known : impl_->servers_) {
            if (known->id_ == server)
                known->retryAfter_ = retryAfter;
        }
    });
}

void PlatformStandin::putOddEntry(const std::string &key, const std::string &bytes)
{
    impl_->locked([&] { impl_->oddEntries_[key] = bytes; });
}

std::vector<ServerRun> PlatformStandin::arrivals()
{
    return impl_->locked([&] { return impl_->arrivals_; });
}

std::vector<ServerRun> PlatformStandin::runs()
{
    return impl_->locked([&] { return impl_->runs_; });
}

std::string PlatformStandin::layersOf(const std::string &server)
{
    return impl_->locked([&]() -> std::string {
        for (const auto &known : impl_->servers_) {
            if (known->id_ == server && known->layers_)
                return std::to_string(known->layers_->first) + "-"
                       + std::to_string(known->layers_->second);
        }
        return "none";
    });
}

std::vector<std::string> PlatformStandin::modelServers() const
{
    std::vector<std::string> names;
    for (const auto &server : impl_->servers_) {
        if (server->model_)
            names.push_back(server->id_);
    }
    return names;
}

std::vector<std::string> PlatformStandin::servers() const
{
    std::vector<std::string> names;
    for (const auto &server : impl_->servers_)
        names.push_back(server->id_);
    return names;
}

Address PlatformStandin::addressOf(const std::string &server) const
{
    for (const auto &known : impl_->servers_) {
        if (known->id_ == server)
            return known->address_;
    }
    return {};
}

void PlatformStandin::setEntryAddress(const std::string &server, const Address &address)
{
    impl_->locked([&] {
        for (const auto &known : impl_->servers_) {
            if (known->id_ == server)
                known->entryAddress_ = address;
        }
    });
}

void PlatformStandin::setEventGap(std::chrono::milliseconds gap)
{
    impl_->locked([&] { impl_->eventGap_ = gap; });
}

void PlatformStandin::setLongestWork(std::chrono::milliseconds longest)
{
    impl_->locked([&] { impl_->longestWork_ = longest; });
}

void PlatformStandin::setAnswerBytes(std::size_t bytes)
{
    impl_->locked([&] { impl_->answerBytes_ = bytes; });
}

} // namespace gypsumcroft::standins
