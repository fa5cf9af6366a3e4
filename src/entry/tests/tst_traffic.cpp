//! The entry's traffic logic: the run state in a refusal after several attempts, and which tokens
//! are accepted. Guards against a refusal that says 'not run' although an earlier attempt may have
//! run, and against tokens of another epoch in a response.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "entry/traffic.h"

using namespace gypsumcroft;

namespace {

constexpr TimePoint Start {std::chrono::seconds(100)};

RoutingView viewWithServices(RepeatPolicy repeat)
{
    ConfigIndex index;
    Template call;
    call.id_ = {"call"};
    call.kind_ = TemplateKind::Service;
    call.target_ = {"bookings"};
    call.responseTimeout_ = std::chrono::seconds(5);
    call.repeat_ = repeat;
    call.idempotencyWindow_ = std::chrono::hours(1);
    index.templates_[call.id_] = call;
    Template quote;
    quote.id_ = {"quote"};
    quote.target_ = {"panels"};
    quote.responseTimeout_ = std::chrono::seconds(5);
    index.templates_[quote.id_] = quote;
    index.organisations_[{"org"}].organisation_ = {"org"};
    index.byApiKey_[{"key"}] = {"org"};
    ConfigState config;
    MembershipState membership;
    for (const char *name : {"s1", "s2"}) {
        HeartbeatMessage heartbeat;
        heartbeat.endpoint_ = {name};
        heartbeat.agent_ = {name, 1};
        heartbeat.state_ = EndpointState::Ready;
        heartbeat.report_.target_ = {"bookings"};
        heartbeat.report_.slots_ = {4};
        applyHeartbeat(membership, heartbeat, Start);
    }
    HeartbeatMessage stage;
    stage.endpoint_ = {"m1"};
    stage.agent_ = {"m1", 1};
    stage.state_ = EndpointState::Ready;
    stage.report_.kind_ = EndpointKind::Stage;
    stage.report_.target_ = {"panels"};
    stage.report_.layers_ = {{0}, {8}};
    stage.report_.modelLayers_ = {8};
    stage.report_.slots_ = {4};
    applyHeartbeat(membership, stage, Start);
    return buildRoutingView(std::make_shared<const ConfigIndex>(index), config, membership, {});
}

CallerRequest request(const char *work)
{
    CallerRequest caller;
    caller.id_ = {"r"};
    caller.apiKey_ = {"key"};
    caller.template_ = {work};
    caller.body_ = "body";
    caller.idempotencyKey_ = "k";
    return caller;
}

//! Outcome of one attempt of a call.
enum class AttemptResult { AgentDown, BusyNotRun, FailedNotRun, Unknown };

struct OutcomeCase
{
    const char *name_;
    RepeatPolicy repeat_;
    std::vector<AttemptResult> attempts_;
    RunState run_;
};

const OutcomeCase OutcomeCases[] = {
        {"refused once", RepeatPolicy::Safe, {AttemptResult::FailedNotRun}, RunState::NotRun},
        {"refused twice",
         RepeatPolicy::Safe,
         {AttemptResult::BusyNotRun, AttemptResult::FailedNotRun},
         RunState::NotRun},
        {"agent down, then refused",
         RepeatPolicy::Safe,
         {AttemptResult::AgentDown, AttemptResult::BusyNotRun},
         RunState::Unknown},
        {"unknown, then refused",
         RepeatPolicy::Safe,
         {AttemptResult::Unknown, AttemptResult::FailedNotRun},
         RunState::Unknown},
        {"refused, then agent down",
         RepeatPolicy::Safe,
         {AttemptResult::FailedNotRun, AttemptResult::AgentDown},
         RunState::Unknown},
        {"with idempotency key, refused",
         RepeatPolicy::Never,
         {AttemptResult::FailedNotRun},
         RunState::NotRun},
        {"with idempotency key, unknown",
         RepeatPolicy::Never,
         {AttemptResult::Unknown},
         RunState::Unknown},
};

std::ostream &operator<<(std::ostream &out, const OutcomeCase &test)
{
    return out << test.name_;
}

template <typename Effect>
std::optional<Effect> takeEffect(EntryTraffic &state)
{
    std::optional<Effect> found;
    for (const EntryEffect &effect : state.effects_) {
        if (const auto *wanted = std::get_if<Effect>(&effect))
            found = *wanted;
    }
    return found;
}

void endAttempt(EntryTraffic &state, const RoutingView &view, AttemptResult end, TimePoint now)
{
    const RequestContext &context = state.requests_.at({"r"});
    const Address agent = context.route_.front().agent_;
    if (end == AttemptResult::AgentDown)
        return onAgentDown(state, view, agent, now);
    CallResultMessage result;
    result.request_ = {"r"};
    result.attempt_ = context.attempt_;
    result.endpoint_ = context.route_.front().endpoint_;
    result.refusal_.code_ = end == AttemptResult::BusyNotRun     ? RefusalCode::Busy
                            : end == AttemptResult::FailedNotRun ? RefusalCode::EndpointFailed
                                                                 : RefusalCode::OutcomeUnknown;
    result.refusal_.run_ = end == AttemptResult::Unknown ? RunState::Unknown : RunState::NotRun;
    onCallResult(state, view, result, now);
}

struct TokenCase
{
    const char *name_;
    std::uint32_t epoch_;
    std::uint32_t index_;
    bool accepted_;
};

const TokenCase TokenCases[] = {
        {"next token of the current epoch", 1, 0, true},
        {"token of an older epoch", 0, 0, false},
        {"token of a newer epoch", 2, 0, false},
        {"token after a gap", 1, 1, false},
};

std::ostream &operator<<(std::ostream &out, const TokenCase &test)
{
    return out << test.name_;
}

} // namespace

BOOST_DATA_TEST_CASE(refusalCoversAllAttempts, OutcomeCases)
{
    const RoutingView view = viewWithServices(sample.repeat_);
    EntryTraffic state;
    state.limits_.retry_.maxAttempts_ = static_cast<std::uint32_t>(sample.attempts_.size());
    onCallerRequest(state, view, request("call"), Start);
    TimePoint now = Start;
    for (std::size_t i = 0; i < sample.attempts_.size(); ++i) {
        BOOST_REQUIRE((state.requests_.at({"r"}).phase_ == RequestPhase::Calling));
        endAttempt(state, view, sample.attempts_[i], now);
        now += std::chrono::seconds(1);
        if (i + 1 < sample.attempts_.size())
            onTick(state, view, now);
    }
    // A request that still waits for a retry ends at its deadline.
    onTick(state, view, Start + std::chrono::seconds(6));
    const auto refusal = takeEffect<DeliverRefusal>(state);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST((refusal->refusal_.run_ == sample.run_));
    BOOST_TEST(state.requests_.empty());
    BOOST_TEST(state.queue_.size_ == 0U);
    for (const auto &[endpoint, window] : state.windows_)
        BOOST_TEST(window.outstanding_ == 0U);
}

BOOST_DATA_TEST_CASE(onlyTheNextTokenOfTheEpochIsAccepted, TokenCases)
{
    const RoutingView view = viewWithServices(RepeatPolicy::Safe);
    EntryTraffic state;
    onCallerRequest(state, view, request("quote"), Start);
    BOOST_REQUIRE((state.requests_.at({"r"}).phase_ == RequestPhase::Streaming));
    onToken(state, view, {{"r"}, {sample.epoch_}, {sample.index_}, "t", false}, Start);
    BOOST_TEST(state.requests_.at({"r"}).tokens_.size() == (sample.accepted_ ? 1U : 0U));
}
