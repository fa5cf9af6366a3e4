#include "app/processes.h"

#include <sys/resource.h>

#include "app/log.h"
#include "documents/routedocuments.h"
#include "gatewaycontrol.h"
#include "gatewaytraffic.h"
#include "http/server.h"
#include "operators.h"
#include "policy/stopplan.h"
#include "runtime.h"

namespace gypsumcroft {

namespace detail {

//! File descriptors that the process may open.
std::size_t descriptorLimit()
{
    constexpr std::size_t Usual = 1024;
    rlimit limit {};
    return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : Usual;
}

constexpr Duration StopPoll = std::chrono::milliseconds(20);
//! Time for the last answers to leave the sockets.
constexpr Duration FlushTime = std::chrono::milliseconds(100);

class GatewayProcess
{
public:
    GatewayProcess(const GatewaySettings &settings, SettingsLoader load);
    int run();

private:
    void setUpMetrics();
    void setUpOperatorRoutes();
    void explainRoute(const http::HttpRequest &request,
                      const std::shared_ptr<http::Exchange> &exchange);
    void waitForSignal();
    void reload();
    void requestStop();
    void onTraffic(Duration delay, std::function<void()> action);
    void finishWhenIdle();
    void end(std::size_t cut);

    GatewaySettings settings_;
    SettingsLoader load_;
    Runtime runtime_;
    std::uint64_t incarnation_;
    Mailbox<TrafficNote> mailbox_;
    GatewayTrafficLoop traffic_;
    GatewayControlLoop control_;
    http::Server ready_;
    OperatorServer metrics_;
    asio::signal_set signals_;
    bool stopping_ = false;
    StopPlan stop_;
};

GatewayProcess::GatewayProcess(const GatewaySettings &settings, SettingsLoader load)
    : settings_(settings), load_(std::move(load)), runtime_(1),
      incarnation_(static_cast<std::uint64_t>(
              std::chrono::system_clock::now().time_since_epoch().count())),
      mailbox_(runtime_.control(), [this](TrafficNote note) { control_.note(std::move(note)); }),
      traffic_(*runtime_.traffic().front(), incarnation_,
               {callerBounds(settings.limits_.memoryMb_, descriptorLimit(),
                             settings.limits_.callers_),
                settings.limits_.bodyTimeout_, settings.limits_.sendTimeout_},
               [this](TrafficNote note) { mailbox_.push(std::move(note)); }),
      control_(runtime_.control(), settings, incarnation_,
               [this](std::shared_ptr<const GatewayView> view) {
                   traffic_.publish(std::move(view));
               }),
      ready_({&runtime_.control()},
             [this](const http::HttpRequest &, const std::shared_ptr<http::Exchange> &exchange) {
                 const bool ready = !stopping_ && control_.isReady();
                 exchange->respond(ready ? plainAnswer(200, "ready\n")
                                         : plainAnswer(503, "not ready\n"));
             }),
      metrics_(runtime_.control(), settings.operatorToken_.value_or("")),
      signals_(runtime_.control(), SIGTERM, SIGINT, SIGHUP)
{
    setUpMetrics();
    setUpOperatorRoutes();
}

void GatewayProcess::setUpOperatorRoutes()
{
    if (!settings_.operatorToken_)
        return;
    metrics_.routeLate("POST /v1/route", [this](const http::HttpRequest &request,
                                                const std::shared_ptr<http::Exchange> &exchange) {
        explainRoute(request, exchange);
    });
}

void GatewayProcess::explainRoute(const http::HttpRequest &request,
                                  const std::shared_ptr<http::Exchange> &exchange)
{
    Findings findings;
    auto question = decodeRouteQuestion(request.body_, findings);
    if (!question) {
        std::string text;
        for (const Finding &finding : findings)
            text += finding.place_ + ": " + finding.message_ + "\n";
        return exchange->respond(plainAnswer(400, text));
    }
    const auto format = request.query_.find("format");
    const bool asText = format != request.query_.end() && format->second == "text";
    onTraffic(Duration(), [this, asText, exchange, question = std::move(*question)]() mutable {
        const RouteExplanation explanation = traffic_.explain(std::move(question));
        exchange->respond(asText ? plainAnswer(200, formatRouteExplanation(explanation))
                                 : jsonText(encodeRouteExplanation(explanation)));
    });
}

void GatewayProcess::setUpMetrics()
{
    auto &received = metrics_.gauge("requests_received", "Requests that callers sent");
    auto &answered = metrics_.gauge("requests_answered", "Requests answered by an endpoint");
    auto &refused = metrics_.gauge("requests_refused_not_run", "Requests refused, not run");
    std::array<prometheus::Gauge *, RankCount> onArrival {};
    for (const Rank rank : AllRanks)
        onArrival.at(static_cast<std::size_t>(rank))
                = &metrics_.gauge("requests_refused_on_arrival_" + std::string(rankName(rank)),
                                  "Refused on arrival for want of capacity, of this rank");
    auto &quarantined = metrics_.gauge("requests_quarantined",
                                       "Refused, as endpoints crashed under such requests");
    auto &failed = metrics_.gauge("requests_failed", "Requests that ended without a whole answer");
    auto &gone = metrics_.gauge("callers_gone", "Requests whose caller left");
    auto &sends = metrics_.gauge("sends", "Requests sent to endpoints, repeats included");
    auto &retries = metrics_.gauge("retries", "Repeats that the budget allowed");
    auto &spent = metrics_.gauge("retries_without_budget", "Repeats that the budget forbade");
    auto &strays = metrics_.gauge("stray_answers", "Endpoints' answers that were passed over");
    auto &foreign = metrics_.gauge("foreign_answers", "Successes without the endpoint's stamp");
    auto &unreadable = metrics_.gauge("unreadable_entries", "Entries that name no endpoint");
    auto &idle = metrics_.gauge("idle_connections", "Connections to endpoints kept for reuse");
    auto &connections = metrics_.gauge("caller_connections", "Connections of callers");
    auto &held = metrics_.gauge("caller_held_bytes", "Bytes held for callers");
    auto &heldLimit = metrics_.gauge("caller_held_bytes_limit", "Limit of these bytes");
    auto &memoryRefusals = metrics_.gauge("requests_refused_for_memory",
                                          "Refused as callers held too many bytes");
    auto &memoryCloses = metrics_.gauge("connections_closed_for_memory",
                                        "Closed as unsent responses took too many bytes");
    auto &repeated = metrics_.gauge("repeated_ids", "Requests whose id was in hand already");
    auto &version = metrics_.gauge("config_version", "Version of the desired state in force");
    auto &age = metrics_.gauge("config_age_ms", "Time since the state in force was confirmed");
    auto &listAge = metrics_.gauge("endpoint_list_age_ms", "Time since the list was confirmed");
    auto &lease = metrics_.gauge("placement_lease", "1 while this process places layers");
    auto &slow = metrics_.gauge("endpoints_slow", "Endpoints that count as slower than their kind");
    metrics_.setReady([this] { return !stopping_ && control_.isReady(); });
    metrics_.setRefresh([&, this, onArrival] {
        const TimePoint now = monotonicNow();
        const auto counters = traffic_.counters();
        received.Set(static_cast<double>(counters->received_));
        answered.Set(static_cast<double>(counters->answered_));
        refused.Set(static_cast<double>(counters->refused_));
        for (std::size_t rank = 0; rank < RankCount; ++rank)
            onArrival.at(rank)->Set(static_cast<double>(counters->refusedOnArrival_.at(rank)));
        quarantined.Set(static_cast<double>(counters->quarantined_));
        failed.Set(static_cast<double>(counters->failed_));
        gone.Set(static_cast<double>(counters->callersDisconnected_));
        sends.Set(static_cast<double>(counters->dispatches_));
        retries.Set(static_cast<double>(counters->retries_));
        spent.Set(static_cast<double>(counters->retriesDenied_));
        strays.Set(static_cast<double>(counters->unmatchedResponses_));
        foreign.Set(static_cast<double>(counters->foreignResponses_));
        unreadable.Set(static_cast<double>(control_.unreadableEntries()));
        idle.Set(static_cast<double>(counters->idleConnections_));
        connections.Set(static_cast<double>(counters->callerConnections_));
        held.Set(static_cast<double>(counters->callerHeldBytes_));
        heldLimit.Set(static_cast<double>(counters->callerHeldBytesLimit_));
        memoryRefusals.Set(static_cast<double>(counters->refusedForMemory_));
        memoryCloses.Set(static_cast<double>(counters->closedForMemory_));
        repeated.Set(static_cast<double>(counters->repeatedIds_));
        const RouteTableState &routes = control_.state().routes_;
        version.Set(routes.table_ ? static_cast<double>(routes.table_->state_.version_.value_) : 0);
        age.Set(toMilliseconds(desiredStateAge(routes, now).value_or(Duration())));
        const auto listedAt = control_.state().endpoints_.confirmedAt_;
        listAge.Set(listedAt ? toMilliseconds(now - *listedAt) : 0);
        slow.Set(static_cast<double>(control_.state().speeds_.slow_.size()));
        lease.Set(holdsLease(control_.state().lease_, now) ? 1 : 0);
    });
}

void GatewayProcess::waitForSignal()
{
    signals_.async_wait([this](boost::system::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reload();
        else
            requestStop();
        waitForSignal();
    });
}

//! Takes what may change in a running process. Connections and requests in progress go on.
void GatewayProcess::reload()
{
    Findings findings;
    const auto loaded = load_(findings);
    for (const Finding &finding : findings)
        GC_LOG_ERROR(LogLine("reload-finding")
                             .add("place", finding.place_)
                             .add("reason", finding.message_));
    if (!loaded || !findings.empty()) {
        GC_LOG_ERROR(LogLine("reload")
                             .add("outcome", "kept")
                             .add("findings", std::uint64_t {findings.size()}));
        return;
    }
    const SettingsChanges changes = compareSettings(settings_, *loaded);
    for (const std::string &name : changes.needRestart_)
        GC_LOG_WARNING(LogLine("reload-needs-restart").add("setting", name));
    for (const std::string &name : changes.applied_)
        GC_LOG_INFO(LogLine("reload-changed").add("setting", name));
    settings_.bounds_ = loaded->bounds_;
    settings_.lease_ = loaded->lease_;
    settings_.capacity_ = loaded->capacity_;
    settings_.topicPartitions_ = loaded->topicPartitions_;
    settings_.grace_ = loaded->grace_;
    control_.applySettings(settings_);
    GC_LOG_INFO(LogLine("reload")
                        .add("outcome", "applied")
                        .add("changed", std::uint64_t {changes.applied_.size()})
                        .add("need_restart", std::uint64_t {changes.needRestart_.size()}));
}

void GatewayProcess::onTraffic(Duration delay, std::function<void()> action)
{
    callLater(*runtime_.traffic().front(), delay, std::move(action));
}

//! Readiness goes off at once; new connections are served until the balancer has noticed.
void GatewayProcess::requestStop()
{
    if (stopping_)
        return runtime_.stop();
    stopping_ = true;
    const TimePoint now = monotonicNow();
    stop_ = planStop(settings_.grace_, now);
    GC_LOG_INFO(LogLine("draining").add("instance", settings_.instance_));
    control_.beginStop();
    onTraffic(Duration(), [this] { traffic_.beginStop(stop_.acceptUntil_); });
    onTraffic(stop_.acceptUntil_ - now, [this] {
        traffic_.stopAccepting();
        finishWhenIdle();
    });
}

void GatewayProcess::finishWhenIdle()
{
    if (traffic_.isIdle() || monotonicNow() >= stop_.abortAt_)
        return onTraffic(FlushTime, [this, cut = traffic_.cutRequests()] { end(cut); });
    onTraffic(StopPoll, [this] { finishWhenIdle(); });
}

void GatewayProcess::end(std::size_t cut)
{
    GC_LOG_INFO(LogLine("stopped")
                        .add("instance", settings_.instance_)
                        .add("cut", std::uint64_t {cut}));
    runtime_.stop();
}

int GatewayProcess::run()
{
    const auto mesh = control_.listen(settings_.meshAddress_);
    const auto callers
            = mesh ? traffic_.listen(settings_.callerAddress_) : failure<Address>(mesh.lastReason_);
    const auto ready = callers ? ready_.listen(settings_.readinessAddress_)
                               : failure<Address>(callers.lastReason_);
    const auto metrics = ready && settings_.metricsAddress_
                                 ? metrics_.listen(*settings_.metricsAddress_)
                                 : ready;
    if (!metrics) {
        GC_LOG_ERROR(LogLine("start-failed").add("reason", metrics.lastReason_));
        return 1;
    }
    GC_LOG_INFO(LogLine("started")
                        .add("role", "gateway")
                        .add("instance", settings_.instance_)
                        .add("domain", settings_.domain_)
                        .add("mesh", formatAddress(*mesh))
                        .add("callers", formatAddress(*callers)));
    control_.start();
    waitForSignal();
    runtime_.run();
    return 0;
}

} // namespace detail

int runGateway(const GatewaySettings &settings, SettingsLoader load)
{
    detail::GatewayProcess process(settings, std::move(load));
    return process.run();
}

} // namespace gypsumcroft
