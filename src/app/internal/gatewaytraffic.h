//! Carries out the gateway's traffic core: callers' and endpoints' HTTP on the traffic thread.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <unordered_map>

#include "controllers/gatewayview.h"
#include "core/heldbytes.h"
#include "gateway/explanation.h"
#include "gateway/traffic.h"
#include "http/eventsplitter.h"
#include "http/relayclient.h"
#include "http/relayserver.h"
#include "policy/callermemory.h"
#include "ratelimitedlog.h"
#include "runtime.h"

namespace gypsumcroft::detail {

//! What traffic learns for control.
using TrafficNote = std::variant<std::monostate, RequestProbe, OwnEndpointLoads, EndpointNoticeSeen,
                                 DispatchLost, TraitAnswered>;

//! What callers may take of the process, and how slow they may be.
struct CallerServerLimits
{
    CallerBounds bounds_;
    Duration bodyTimeout_ {};
    Duration sendTimeout_ {};
};

//! Everything but publish() and counters() is used on the traffic thread.
class GatewayTrafficLoop
{
public:
    using Note = std::function<void(TrafficNote)>;
    GatewayTrafficLoop(asio::io_context &context, std::uint64_t seed,
                       const CallerServerLimits &limits, Note note);

    Result<Address> listen(const Address &callers);
    //! Replaces the view; safe from any thread.
    void publish(std::shared_ptr<const GatewayView> view);
    //! Answers say that their connections close; new connections are still taken. Requests are
    //! dispatched for the first time until the given time.
    void beginStop(TimePoint dispatchUntil);
    //! Takes no connection any more.
    void stopAccepting();
    //! True when no request is in progress and all callers have received their responses.
    bool isIdle() const
    {
        return isGatewayIdle(traffic_) && exchanges_.empty() && !server_.hasUndelivered();
    }
    //! Ends the requests that are still in hand; their number.
    std::size_t cutRequests();
    //! Where a request would go now. Nothing is sent or counted.
    RouteExplanation explain(RouteQuestion question) const;
    //! Counters as of the last tick; safe from any thread.
    std::shared_ptr<const GatewayCounters> counters() const { return counters_.load(); }

private:
    struct OpenExchange
    {
        http::RelayRequest request_;
        GatewayRequest decoded_;
        std::shared_ptr<http::RelayExchange> exchange_;
        HeldBytes held_;
    };
    struct OpenCall
    {
        http::RelayCall call_;
        http::ResponseHead head_;
        EndpointResponseHead facts_;
        http::EventSplitter splitter_;
        //! Answer, or whole events, that wait to be handed on.
        std::string bytes_;
        //! Bytes of the answer so far.
        std::size_t received_ = 0;
        HeldBytes held_;
        //! The copy of the request, until the response begins.
        HeldBytes request_;
    };

    void onRequest(http::RelayRequest request, std::shared_ptr<http::RelayExchange> exchange);
    //! The memory of the caller's organisation; requests without one share theirs.
    std::shared_ptr<ByteBudget> budgetOf(const OrganisationRule *organisation);
    //! Counts a request's memory. Returns false if there is too little left for it.
    bool holdRequest(OpenExchange &open);
    void refuseForMemory(const OpenExchange &open);
    void endForAbsentCaller(ExchangeId exchange);
    //! Whether the exchange's caller is still there and nothing speaks against the dispatch; ends
    //! or queues the request if not.
    bool maySend(ExchangeId exchange, DispatchId dispatch);
    void onBody(DispatchId send, std::string_view bytes);
    void giveUpSend(DispatchId send, const char *reason);
    //! Counts what a call holds of its answer. Over the limit of all calls, the one that holds most
    //! is given up. Returns false if that is this one.
    bool countHeld(DispatchId send);
    Duration tick();
    void tellShares(TimePoint now);
    void closeIdleConnections(TimePoint now);
    void logLoad(TimePoint now);
    void takeLimits(const GatewayView &view);
    void applyLimits(const CallerLimits &limits);

    //! Runs an event of the core and carries out its effects.
    template <typename Event>
    void withTraffic(const Event &event);
    void perform(GatewayEffect &effect);
    void startSend(const DispatchRequest &send);
    void deliver(const DeliverResponse &deliver);
    void refuse(const RefuseRequest &refusal);

    asio::io_context &context_;
    Note note_;
    GatewayTraffic traffic_;
    std::atomic<std::shared_ptr<const GatewayView>> view_;
    std::shared_ptr<const RouteTable> limitsOf_;
    CallerServerLimits limits_;
    //! Complete requests that were refused because callers held too many bytes.
    std::uint64_t completeRefusedForMemory_ = 0;
    //! Bytes held for all callers.
    std::shared_ptr<ByteBudget> callerBytes_;
    //! Of them, those of responses that are held back.
    std::shared_ptr<ByteBudget> responseBytes_;
    //! Of them, those of requests in progress.
    std::unordered_map<OrganisationId, std::shared_ptr<ByteBudget>> organisationBytes_;
    RateLimitedLog memoryLog_;
    std::unordered_map<ExchangeId, OpenExchange> exchanges_;
    std::unordered_map<DispatchId, OpenCall> calls_;
    std::uint64_t nextExchange_ = 1;
    TimePoint sharesToldAt_;
    TimePoint idleCheckedAt_;
    TimePoint loadLoggedAt_;
    Duration processorTime_ {};
    //! Longest time for which a request lay unread since the last line on the load.
    Duration longestReadDelay_ {};
    std::atomic<std::shared_ptr<const GatewayCounters>> counters_;
    http::RelayClient client_;
    http::RelayServer server_;
    Ticker ticker_;
};

} // namespace gypsumcroft::detail
