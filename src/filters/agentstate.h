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

//! What an agent's control publishes for its traffic.
struct AgentView
{
    EndpointState state_ = EndpointState::Starting;
    EndpointReport report_;
    //! Counts the times that the endpoint came up.
    std::uint64_t endpointLife_ = 0;
};

//! Runs layers for consecutive positions of a stream on the engine.
struct RunStep
{
    RequestId request_;
    Epoch epoch_;
    LayerRange layers_;
    TokenIndex firstPosition_;
    std::vector<std::string> inputs_;
    //! The engine runs the lowest first.
    std::uint32_t priority_ = 0;
};

//! Frees the engine's memory and slot of a stream.
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
    //! The service is told the key, for its own records.
    std::optional<KeyHash> key_;
    Duration timeLeft_ {};
};

//! For control: the claim's call ended, or was certainly not made.
struct CloseClaim
{
    KeyHash key_;
    ClaimNonce nonce_;
    //! No outcome: release.
    std::optional<CallOutcome> outcome_;
};

using AgentEffect = std::variant<SendMessage, RunStep, CancelEngineStream, CallService, ClaimWish,
                                 CloseClaim, LogEvent>;

//! One stream on this agent's engine, in its present epoch.
struct AgentStream
{
    StreamPlan plan_;
    std::uint32_t hop_ = 0;
    //! Position that may run next.
    TokenIndex next_;
    bool running_ = false;
    //! The last step's result, for a repeated step.
    TokenIndex lastFirst_;
    std::vector<std::string> lastOutputs_;
    bool lastEnds_ = false;
    bool ranAny_ = false;
    TimePoint activeAt_;
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
    //! Steps and calls wait here at most this long for a slot.
    Duration maxBacklogWait_ = std::chrono::milliseconds(500);
    //! A stream without a step for this long is dropped.
    Duration streamIdle_ = std::chrono::seconds(30);
    Duration endedMemory_ = std::chrono::seconds(60);
    //! A claimed call is not begun with less time than this.
    Duration minCallTime_ = std::chrono::milliseconds(5);
};

struct WaitingStep
{
    StepMessage step_;
    TimePoint since_;
};

struct EndedStream
{
    Epoch epoch_;
    TimePoint at_;
};

//! Slots in use, in all and by the entry whose work holds them.
struct AgentLoad
{
    Slots slotsBusy_;
    std::unordered_map<Address, Slots> byEntry_;
};

struct AgentCounters
{
    std::uint64_t steps_ = 0;
    std::uint64_t staleSteps_ = 0;
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
    //! Epochs up to which a request's streams have ended here.
    std::unordered_map<RequestId, EndedStream> ended_;
    //! Entries of ended_ and endedAttempts_ in the order in which they are forgotten.
    std::deque<std::pair<TimePoint, std::variant<RequestId, AttemptId>>> endedOrder_;
    std::unordered_map<AttemptId, AgentCall> calls_;
    //! Attempts that ended lately; a late repeat of one never runs.
    std::unordered_map<AttemptId, TimePoint> endedAttempts_;
    std::deque<AttemptId> callBacklog_;
    //! The endpoint's life that traffic saw end; nothing begins before the next one.
    std::uint64_t endedLife_ = 0;
    //! Positions run lately for each rank, halved as they age.
    std::array<double, RankCount> servedPositions_ {};
    AgentCounters counters_;
    std::vector<AgentEffect> effects_;
};

//! Remembers that a request's streams up to an epoch have ended here.
void rememberEnded(AgentTraffic &state, const RequestId &request, Epoch epoch, TimePoint now);
void rememberEnded(AgentTraffic &state, AttemptId attempt, TimePoint now);

inline void emit(AgentTraffic &state, AgentEffect effect)
{
    state.effects_.push_back(std::move(effect));
}

} // namespace gypsumcroft
