//! State of an agent's traffic: streams of its stage engine, calls of its plain service.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "controllers/claims.h"
#include "core/ids.h"
#include "core/logline.h"
#include "core/messages.h"
#include "core/template.h"
#include "filters/entrystate.h"

namespace gypsumcroft {

//! What the agent's control thread publishes for its traffic thread.
struct AgentView
{
    EndpointState state_ = EndpointState::Starting;
    EndpointReport report_;
    //! Incremented each time the endpoint starts.
    std::uint64_t endpointIncarnation_ = 0;
};

//! Runs layers for consecutive positions of a stream on the engine.
struct RunStep
{
    RequestId request_;
    Epoch epoch_;
    LayerRange layers_;
    TokenIndex firstPosition_;
    std::vector<std::string> inputs_;
    //! The engine runs the step with the lowest value first.
    std::uint32_t priority_ = 0;
};

//! Frees the memory and the slot that a stream uses in the engine.
struct CancelEngineStream
{
    RequestId request_;
    Epoch epoch_;
};

//! Calls the plain service.
struct CallService
{
    AttemptId attempt_;
    RequestId request_;
    std::string body_;
    //! Sent to the service, for its own records.
    std::optional<KeyHash> key_;
    Duration remainingTime_ {};
};

//! For control: the call of a claim ended, or was certainly not made.
struct CloseClaim
{
    KeyHash key_;
    ClaimNonce nonce_;
    //! Empty if the call was not made: the claim is released.
    std::optional<CallOutcome> outcome_;
};

using AgentEffect = std::variant<SendMessage, RunStep, CancelEngineStream, CallService,
                                 ClaimRequest, CloseClaim, LogEvent>;

//! A stream on this agent's engine, in its current epoch.
struct AgentStream
{
    StreamPlan plan_;
    std::uint32_t hop_ = 0;
    //! Position of the next step.
    TokenIndex nextPosition_;
    bool running_ = false;
    //! First position and result of the last step, to answer a repeated step.
    TokenIndex lastFirstPosition_;
    std::vector<std::string> lastOutputs_;
    bool lastEndsOutput_ = false;
    bool hasRun_ = false;
    TimePoint lastActivityAt_;
};

enum class CallPhase : std::uint8_t { Waiting, Claiming, Running };

struct AgentCall
{
    CallMessage message_;
    CallPhase phase_ = CallPhase::Waiting;
    TimePoint deadline_;
    ClaimNonce nonce_;
    std::size_t nextFilter_ = 0;
};

struct AgentLimits
{
    std::size_t maxBacklog_ = 8;
    //! Longest time that a step waits for a slot.
    Duration maxBacklogWait_ = std::chrono::milliseconds(500);
    //! A stream without a step for this long is ended as failed.
    Duration streamIdleTimeout_ = std::chrono::seconds(30);
    //! How long ended streams and attempts are remembered, to reject late repeats.
    Duration endedRetention_ = std::chrono::seconds(60);
    //! A call is not started with less time than this until its deadline.
    Duration minCallTime_ = std::chrono::milliseconds(5);
};

struct WaitingStep
{
    StepMessage step_;
    TimePoint arrivedAt_;
};

struct EndedStream
{
    Epoch epoch_;
    TimePoint endedAt_;
};

//! Slots in use, in total and by the entry that dispatched the work.
struct AgentLoad
{
    Slots busySlots_;
    std::unordered_map<Address, Slots> byEntry_;
};

struct AgentCounters
{
    std::uint64_t steps_ = 0;
    std::uint64_t droppedSteps_ = 0;
    std::uint64_t repeatedSteps_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t calls_ = 0;
};

struct AgentTraffic
{
    EndpointId self_;
    Address address_;
    AgentLimits limits_;
    std::unordered_map<RequestId, AgentStream> streams_;
    std::deque<WaitingStep> backlog_;
    //! By request: the highest epoch whose stream has ended on this agent.
    std::unordered_map<RequestId, EndedStream> ended_;
    //! Keys of ended_ and endedAttempts_ in the order of their expiry.
    std::deque<std::pair<TimePoint, std::variant<RequestId, AttemptId>>> endedByTime_;
    std::unordered_map<AttemptId, AgentCall> calls_;
    //! Attempts that ended recently; a late repeat of one is not run.
    std::unordered_map<AttemptId, TimePoint> endedAttempts_;
    std::deque<AttemptId> callBacklog_;
    //! Incarnation of the endpoint that traffic last saw die; no stream or call starts until
    //! control publishes a newer one.
    std::uint64_t endedIncarnation_ = 0;
    //! Positions run recently for each rank; all are halved when their sum exceeds a limit.
    std::array<double, RankCount> servedPositions_ {};
    AgentCounters counters_;
    std::vector<AgentEffect> effects_;
};

//! Records that a request's streams up to an epoch, or an attempt, have ended on this agent.
void recordEnded(AgentTraffic &state, const RequestId &request, Epoch epoch, TimePoint now);
void recordEnded(AgentTraffic &state, AttemptId attempt, TimePoint now);

inline void emit(AgentTraffic &state, AgentEffect effect)
{
    state.effects_.push_back(std::move(effect));
}

} // namespace gypsumcroft
