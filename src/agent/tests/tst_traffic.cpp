//! The agent's traffic logic: which steps run, and the run state in a refusal. Guards against steps
//! that run twice or out of order, and against a refusal that says 'not run' of work that may run
//! later.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "agent/traffic.h"

using namespace gypsumcroft;

namespace {

constexpr TimePoint Start {std::chrono::seconds(100)};

AgentView readyView(EndpointState state = EndpointState::Ready)
{
    AgentView view;
    view.state_ = state;
    view.endpointIncarnation_ = 1;
    view.report_.kind_ = EndpointKind::Stage;
    view.report_.layers_ = {{0}, {4}};
    view.report_.slots_ = {2};
    return view;
}

StepMessage step(std::uint32_t epoch, std::uint32_t position, const char *request = "r")
{
    StepMessage message;
    message.plan_.request_ = {request};
    message.plan_.epoch_ = {epoch};
    message.plan_.entry_ = {"entry", 1};
    message.plan_.route_ = {{{"a"}, {"a", 1}, {{0}, {4}}}, {{"b"}, {"b", 1}, {{4}, {8}}}};
    message.plan_.maxTokens_ = {8};
    message.firstPosition_ = {position};
    message.inputs_ = {"x"};
    return message;
}

template <typename Effect>
std::size_t countEffects(const AgentTraffic &state)
{
    std::size_t count = 0;
    for (const AgentEffect &effect : state.effects_)
        count += std::holds_alternative<Effect>(effect) ? 1 : 0;
    return count;
}

std::size_t countRefusals(const AgentTraffic &state, RunState run)
{
    std::size_t count = 0;
    for (const AgentEffect &effect : state.effects_) {
        const auto *send = std::get_if<SendMessage>(&effect);
        const auto *failed
                = send == nullptr ? nullptr : std::get_if<StreamFailedMessage>(&send->message_);
        count += failed != nullptr && failed->run_ == run ? 1 : 0;
    }
    return count;
}

AgentTraffic newState()
{
    AgentTraffic state;
    state.self_ = {"a"};
    state.address_ = {"a", 1};
    return state;
}

void completeStep(AgentTraffic &state, const AgentView &view, std::uint32_t epoch,
                  std::uint32_t position)
{
    onStepResult(state, view, {{"r"}, {epoch}, {position}, {"y"}, false, {}, false, false}, Start);
}

//! A step that arrives after position 0 of epoch 1 has run.
struct StepCase
{
    const char *name_;
    std::uint32_t epoch_;
    std::uint32_t position_;
    std::size_t runs_;
    std::size_t forwards_;
};

const StepCase StepCases[] = {
        {"the next position runs", 1, 1, 1, 0},
        {"a repeated step gets the stored result", 1, 0, 0, 1},
        {"a gap is dropped", 1, 2, 0, 0},
        {"an older epoch is dropped", 0, 0, 0, 0},
        {"a newer epoch starts with its prefill", 2, 0, 1, 0},
        {"a newer epoch without its prefill is dropped", 2, 1, 0, 0},
};

std::ostream &operator<<(std::ostream &out, const StepCase &test)
{
    return out << test.name_;
}

struct OpenCase
{
    const char *name_;
    EndpointState state_;
    std::uint64_t endedIncarnation_;
    std::size_t runs_;
    std::size_t notRun_;
};

const OpenCase OpenCases[] = {
        {"ready", EndpointState::Ready, 0, 1, 0},
        {"leaving", EndpointState::Leaving, 0, 0, 1},
        {"down", EndpointState::Down, 0, 0, 1},
        {"starting", EndpointState::Starting, 0, 0, 1},
        {"endpoint died since the last view", EndpointState::Ready, 1, 0, 1},
};

std::ostream &operator<<(std::ostream &out, const OpenCase &test)
{
    return out << test.name_;
}

//! Of eight slots one is reserved for other ranks when background work holds at least half.
struct ReserveCase
{
    const char *name_;
    std::uint32_t heldByBackground_;
    std::uint32_t heldByUrgent_;
    Rank rank_;
    std::size_t runs_;
};

const ReserveCase ReserveCases[] = {
        {"background while two slots are free", 6, 0, Rank::Background, 1},
        {"background at the last slot", 7, 0, Rank::Background, 0},
        {"standard at the last slot", 7, 0, Rank::Standard, 1},
        {"urgent at the last slot", 7, 0, Rank::Urgent, 1},
        {"background that holds less than half", 3, 4, Rank::Background, 1},
        {"background that holds half, at the last slot", 4, 3, Rank::Background, 0},
        {"no slot is free", 7, 1, Rank::Urgent, 0},
};

std::ostream &operator<<(std::ostream &out, const ReserveCase &test)
{
    return out << test.name_;
}

StepMessage stepOfRank(const std::string &request, Rank rank)
{
    StepMessage message = step(1, 0, request.c_str());
    message.plan_.rank_ = rank;
    return message;
}

//! Opens count streams of a rank.
void openStreams(AgentTraffic &state, const AgentView &view, Rank rank, std::uint32_t count)
{
    for (std::uint32_t i = 0; i < count; ++i) {
        const std::string request = std::string(rankName(rank)) + std::to_string(i);
        onStep(state, view, stepOfRank(request, rank), Start);
    }
}

} // namespace

BOOST_DATA_TEST_CASE(backgroundOverloadLeavesASlot, ReserveCases)
{
    AgentTraffic state = newState();
    AgentView view = readyView();
    view.report_.slots_ = {8};
    openStreams(state, view, Rank::Background, sample.heldByBackground_);
    openStreams(state, view, Rank::Urgent, sample.heldByUrgent_);
    state.effects_.clear();
    onStep(state, view, stepOfRank("new", sample.rank_), Start);
    BOOST_TEST(countEffects<RunStep>(state) == sample.runs_);
}

BOOST_DATA_TEST_CASE(eachStepRunsOnce, StepCases)
{
    AgentTraffic state = newState();
    const AgentView view = readyView();
    onStep(state, view, step(1, 0), Start);
    completeStep(state, view, 1, 0);
    state.effects_.clear();
    onStep(state, view, step(sample.epoch_, sample.position_), Start);
    BOOST_TEST(countEffects<RunStep>(state) == sample.runs_);
    BOOST_TEST(countEffects<SendMessage>(state) == sample.forwards_);
}

BOOST_DATA_TEST_CASE(onlyAReadyEndpointOpensStreams, OpenCases)
{
    AgentTraffic state = newState();
    state.endedIncarnation_ = sample.endedIncarnation_;
    onStep(state, readyView(sample.state_), step(1, 0), Start);
    BOOST_TEST(countEffects<RunStep>(state) == sample.runs_);
    BOOST_TEST(countRefusals(state, RunState::NotRun) == sample.notRun_);
    // A late repeat of a refused step must not run, because its refusal said that it didn't run.
    onStep(state, readyView(), step(1, 0), Start);
    BOOST_TEST(countEffects<RunStep>(state) == sample.runs_);
}

BOOST_AUTO_TEST_CASE(leavingAgentContinuesItsStreams)
{
    AgentTraffic state = newState();
    onStep(state, readyView(), step(1, 0), Start);
    completeStep(state, readyView(), 1, 0);
    state.effects_.clear();
    onStep(state, readyView(EndpointState::Leaving), step(1, 1), Start);
    BOOST_TEST(countEffects<RunStep>(state) == 1U);
}

BOOST_AUTO_TEST_CASE(waitingStepsAreRefusedWhenNoSlotComesFree)
{
    AgentTraffic state = newState();
    const AgentView view = readyView();
    for (const char *name : {"r1", "r2", "r3"})
        onStep(state, view, step(1, 0, name), Start);
    BOOST_TEST(countEffects<RunStep>(state) == 2U);
    BOOST_TEST(state.backlog_.size() == 1U);
    onTick(state, view, Start + std::chrono::seconds(1));
    BOOST_TEST(countRefusals(state, RunState::NotRun) == 1U);
    BOOST_TEST(state.backlog_.empty());
}

BOOST_AUTO_TEST_CASE(recordsOfEndedStreamsExpire)
{
    AgentTraffic state = newState();
    const AgentView view = readyView();
    onStep(state, view, step(1, 0), Start);
    onEndStream(state, view, {{"r"}, {1}}, Start);
    BOOST_TEST(countEffects<CancelEngineStream>(state) == 1U);
    BOOST_TEST(isIdle(state));
    BOOST_TEST(state.ended_.size() == 1U);
    onTick(state, view, Start + std::chrono::minutes(2));
    BOOST_TEST(state.ended_.empty());
    BOOST_TEST(state.endedByTime_.empty());
}
