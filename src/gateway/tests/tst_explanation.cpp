// Explanations of where a request would go agree with what happens to it, and change nothing.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/explanation.h"
#include "gateway/traffic.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

RouteRule route(const char *prefix, const char *target, bool stream)
{
    RouteRule made;
    made.name_ = {prefix};
    made.host_ = "desk";
    made.pathPrefix_ = prefix;
    made.isStream_ = stream;
    made.rerunPolicy_ = RerunPolicy::FromStart;
    made.timeout_ = seconds(20);
    made.latencyTarget_ = milliseconds(500);
    made.targets_ = {{{target}, 1}};
    made.maxAttempts_ = 2;
    return made;
}

ListedEndpoint endpoint(const char *id, const char *target, std::uint16_t port,
                        std::optional<LayerRange> layers = {})
{
    ListedEndpoint made;
    made.id_ = {id};
    made.target_ = {target};
    made.address_ = {"127.0.0.1", port};
    made.domain_ = {"a"};
    made.slots_ = 1;
    made.accelerator_ = {"k"};
    made.layers_ = layers;
    return made;
}

GatewayView viewAt(int confirmedMs)
{
    DesiredState state;
    state.version_ = {7};
    state.routes_ = {route("/look/", "desk", false), route("/quote/", "model", true),
                     route("/gone/", "nobody", false)};
    TargetSpec model {{"model"}, "", 0, EngineSpec {}};
    model.engine_->layers_ = 4;
    model.engine_->layerBytes_ = {1'000'000};
    model.engine_->kvBytesPerToken_ = {4000};
    model.engine_->prefillTokensPerSecond_ = 100'000;
    model.engine_->decodeStepTime_ = milliseconds(1);
    model.engine_->accelerators_[{"k"}] = {{4'000'000}, 1, 1};
    state.targets_ = {{{"desk"}, "", 0, {}}, model, {{"nobody"}, "", 0, {}}};
    state.organisations_ = {{{"firm"}, {"key"}, {}}};
    EndpointListState list;
    const LayerRange half {{0}, {2}};
    const LayerRange rest {{2}, {4}};
    applyEndpointList(list,
                      {endpoint("d1", "desk", 1), endpoint("m1", "model", 3, half),
                       endpoint("m2", "model", 4, rest), endpoint("m3", "model", 5, rest),
                       endpoint("m4", "model", 6)},
                      at(confirmedMs), at(confirmedMs));
    GatewayView view;
    view.table_ = buildRouteTable(state);
    view.endpoints_ = buildEndpointIndex(list);
    view.stateConfirmedAt_ = at(confirmedMs);
    view.listConfirmedAt_ = at(confirmedMs);
    view.stateAvailable_ = true;
    view.freshness_.maxKeyAge_ = seconds(5);
    view.domain_ = {"a"};
    return view;
}

RouteQuestion question(const char *path, const char *key, const char *organisation)
{
    RouteQuestion made;
    made.request_.host_ = "desk";
    made.request_.path_ = path;
    if (*key != '\0')
        made.request_.apiKey_ = key;
    if (*organisation != '\0')
        made.organisation_ = OrganisationId {organisation};
    made.request_.promptTokens_ = {100};
    made.request_.expectedOutput_ = {100};
    made.request_.outputLimit_ = {100};
    return made;
}

struct ExplanationCase
{
    const char *name_;
    const char *path_;
    const char *key_;
    const char *organisation_;
    int confirmedMs_;
    //! Endpoint that doesn't answer probes, and requests that are in progress already.
    const char *down_;
    std::uint64_t inProgress_;
    const char *outcome_;
    const char *decidedBy_;
    const char *reason_;
    std::size_t candidates_;
    std::size_t ruledOut_;
    std::size_t parts_;
};

std::ostream &operator<<(std::ostream &out, const ExplanationCase &test)
{
    return out << test.name_;
}

const ExplanationCase Cases[] = {
        {"a model", "/quote/x", "key", "", 0, "", 0, "dispatched", "queue", "", 4, 1, 2},
        {"an organisation instead of a key", "/quote/x", "", "firm", 0, "", 0, "dispatched",
         "queue", "", 4, 1, 2},
        {"a spare endpoint takes over", "/quote/x", "key", "", 0, "m2", 0, "dispatched", "queue",
         "", 4, 2, 2},
        {"a part that no endpoint has", "/quote/x", "key", "", 0, "m1", 0, "queued", "queue",
         "no capacity", 4, 2, 0},
        {"a plain service", "/look/x", "key", "", 0, "", 0, "dispatched", "queue", "", 1, 0, 0},
        {"a plain service that is full", "/look/x", "key", "", 0, "", 3, "queued", "queue",
         "no capacity", 1, 0, 0},
        {"no endpoints", "/gone/x", "key", "", 0, "", 0, "queued", "queue", "no capacity", 0, 0, 0},
        {"no such route", "/none/x", "key", "", 0, "", 0, "refused", "route", "filter", 0, 0, 0},
        {"no such key", "/quote/x", "other", "", 0, "", 0, "refused", "authorise", "filter", 0, 0,
         0},
        {"no such organisation", "/quote/x", "", "nobody", 0, "", 0, "refused", "authorise",
         "filter", 0, 0, 0},
        {"an old state", "/quote/x", "key", "", -1801, "", 0, "held", "route", "", 0, 0, 0},
};

} // namespace

// An operator must be able to trust the answer: it is what the filters do with such a request, and
// asking costs nobody anything.
BOOST_DATA_TEST_CASE(explanationsAgreeWithTheChain, Cases, test)
{
    GatewayTraffic state;
    GatewayView view = viewAt(test.confirmedMs_);
    if (*test.down_ != '\0')
        view.downEndpoints_ = {{test.down_}};
    for (std::uint64_t i = 1; i <= test.inProgress_; ++i) {
        GatewayRequest request = question(test.path_, "key", "").request_;
        request.exchange_ = {i};
        onGatewayRequest(state, view, request, at(0));
    }
    state.effects_.clear();
    const std::uint64_t received = state.counters_.received_;
    const RouteExplanation explained
            = explainRoute(state, view, question(test.path_, test.key_, test.organisation_), at(0));
    BOOST_TEST(routeOutcomeName(explained.outcome_) == test.outcome_);
    BOOST_TEST(explained.decidedBy_ == test.decidedBy_);
    BOOST_TEST(explained.reason_ == test.reason_);
    BOOST_TEST(explained.candidates_.size() == test.candidates_);
    const auto ruledOut
            = std::count_if(explained.candidates_.begin(), explained.candidates_.end(),
                            [](const Candidate &one) { return !one.ruledOut_.empty(); });
    BOOST_TEST(static_cast<std::size_t>(ruledOut) == test.ruledOut_);
    BOOST_TEST((explained.plan_ ? explained.plan_->path_.size() : 0) == test.parts_);
    BOOST_TEST(state.effects_.empty());
    BOOST_TEST(state.counters_.received_ == received);
    BOOST_TEST(state.requests_.size() == test.inProgress_);

    // What becomes of the same request when it arrives.
    GatewayRequest arriving = question(test.path_, test.key_, "").request_;
    if (*test.organisation_ != '\0' && explained.outcome_ != RouteOutcome::Refused)
        arriving.apiKey_ = "key";
    arriving.exchange_ = {100};
    onGatewayRequest(state, view, arriving, at(0));
    const bool isSent = std::any_of(state.effects_.begin(), state.effects_.end(),
                                    [](const GatewayEffect &effect) {
                                        return std::holds_alternative<DispatchRequest>(effect);
                                    });
    BOOST_TEST(isSent == (explained.outcome_ == RouteOutcome::Dispatched));
    BOOST_TEST(state.requests_.contains({100}) == (explained.outcome_ != RouteOutcome::Refused));
}
