//! Endpoints and the log of the fleet: the stand-ins in virtual time.
#include "fleetdetail.h"

#include <algorithm>

namespace gypsumcroft::lab {

void Fleet::runEngineStep(AgentNode &agent, const RunStep &step)
{
    EndpointNode &endpoint = *endpoints_.at(agent.endpoint_);
    StepResult result {step.request_, step.epoch_, step.firstPosition_, {}, false, {},
                       false,         false};
    if (!endpoint.alive_) {
        result.failure_ = "connection refused";
        result.notRun_ = result.endpointDied_ = true;
        deliver(agent, detail::LocalDelay, [this, &agent, result] {
            agentTraffic(agent, [&] { onStepResult(agent.traffic_, *agent.view_, result, now_); });
        });
        return;
    }
    endpoint.waiting_.push_back({step, agent.name_, agent.generation_, nextStep_++});
    startSteps(endpoint);
}

//! Steps run side by side up to the slots, the most urgent first.
void Fleet::startSteps(EndpointNode &endpoint)
{
    while (!endpoint.waiting_.empty()
           && endpoint.running_ < standins::batchWidth(endpoint.engine_.settings_)) {
        const auto next = std::min_element(endpoint.waiting_.begin(), endpoint.waiting_.end(),
                                           [](const PendingStep &left, const PendingStep &right) {
                                               return left.step_.priority_ < right.step_.priority_;
                                           });
        const PendingStep pending = *next;
        endpoint.waiting_.erase(next);
        ++endpoint.running_;
        runningSteps_[pending.id_] = pending;
        const Duration time
                = standins::stepTime(endpoint.engine_.settings_, pending.step_.inputs_.size());
        deliver(endpoint, time, [this, &endpoint, pending] {
            runningSteps_.erase(pending.id_);
            finishStep(endpoint, pending);
        });
    }
}

void Fleet::finishStep(EndpointNode &endpoint, const PendingStep &pending)
{
    --endpoint.running_;
    const RunStep &step = pending.step_;
    const standins::EngineStep engineStep {detail::streamName(step.request_, step.epoch_),
                                           step.layers_, step.firstPosition_, step.priority_,
                                           step.inputs_};
    if (standins::isPoisoned(endpoint.engine_, engineStep)) {
        runningSteps_[pending.id_] = pending;
        killEndpoint(pending.agent_);
        return;
    }
    standins::EngineAnswer answer = standins::runStep(endpoint.engine_, engineStep);
    for (standins::EngineRecord &record : endpoint.engine_.records_) {
        if (keepLayerRuns_)
            layerRuns_.push_back({std::move(record), pending.agent_, now_});
    }
    endpoint.engine_.records_.clear();
    AgentNode &agent = *agents_.at(pending.agent_);
    StepResult result {step.request_,
                       step.epoch_,
                       step.firstPosition_,
                       std::move(answer.outputs_),
                       answer.end_,
                       {},
                       false,
                       false};
    after(detail::LocalDelay, [this, &agent, result, generation = pending.agentGeneration_] {
        runOn(agent, generation, [this, &agent, result] {
            agentTraffic(agent, [&] { onStepResult(agent.traffic_, *agent.view_, result, now_); });
        });
    });
    startSteps(endpoint);
}

//! Connections to the dead endpoint break.
void Fleet::failSteps(EndpointNode &endpoint)
{
    std::vector<PendingStep> lost = std::move(endpoint.waiting_);
    endpoint.waiting_.clear();
    for (auto at = runningSteps_.begin(); at != runningSteps_.end();) {
        if (endpoints_.at(at->second.agent_).get() != &endpoint) {
            ++at;
            continue;
        }
        lost.push_back(at->second);
        at = runningSteps_.erase(at);
    }
    for (const PendingStep &pending : lost) {
        AgentNode &agent = *agents_.at(pending.agent_);
        const RunStep &step = pending.step_;
        StepResult result {
                step.request_, step.epoch_, step.firstPosition_, {}, false, "connection reset",
                false,         true};
        after(detail::LocalDelay, [this, &agent, result, generation = pending.agentGeneration_] {
            runOn(agent, generation, [this, &agent, result] {
                agentTraffic(agent,
                             [&] { onStepResult(agent.traffic_, *agent.view_, result, now_); });
                onEndpointPolled(agent.control_, {std::nullopt, false, true}, now_);
                flushAgentControl(agent);
            });
        });
    }
}

void Fleet::killEndpoint(const std::string &name)
{
    EndpointNode &endpoint = *endpoints_.at(name);
    if (!endpoint.alive_)
        return;
    endpoint.alive_ = false;
    ++endpoint.generation_;
    endpoint.running_ = 0;
    endpoint.engine_.streams_.clear();
    failSteps(endpoint);
}

void Fleet::startEndpoint(const std::string &name)
{
    EndpointNode &endpoint = *endpoints_.at(name);
    endpoint.alive_ = true;
    endpoint.leaving_ = false;
}

void Fleet::setLeaving(const std::string &endpoint)
{
    endpoints_.at(endpoint)->leaving_ = true;
}

void Fleet::callEndpoint(AgentNode &agent, const CallService &call)
{
    EndpointNode &endpoint = *endpoints_.at(agent.endpoint_);
    if (!endpoint.alive_) {
        deliver(agent, detail::LocalDelay, [this, &agent, attempt = call.attempt_] {
            agentTraffic(agent, [&] {
                onServiceResult(agent.traffic_, *agent.view_,
                                {attempt, std::nullopt, true, true, "connection refused"}, now_);
            });
        });
        return;
    }
    deliver(endpoint, detail::LocalDelay + endpoint.callTime_,
            [this, &agent, &endpoint, call] { finishCall(agent, endpoint, call); });
    //! Without an answer the client's own timeout ends the call.
    deliver(agent, call.remainingTime_, [this, &agent, attempt = call.attempt_] {
        agentTraffic(agent, [&] {
            onServiceResult(agent.traffic_, *agent.view_,
                            {attempt, std::nullopt, false, false, "timeout"}, now_);
        });
    });
}

void Fleet::finishCall(AgentNode &agent, EndpointNode &endpoint, const CallService &call)
{
    const std::string body = standins::runCall(endpoint.service_, call.body_);
    if (endpoint.loseAnswers_ > 0) {
        --endpoint.loseAnswers_;
        return;
    }
    deliver(agent, detail::LocalDelay, [this, &agent, body, attempt = call.attempt_] {
        agentTraffic(agent, [&] {
            onServiceResult(agent.traffic_, *agent.view_,
                            {attempt, CallOutcome {200, body}, false, false, ""}, now_);
        });
    });
}

void Fleet::appendToLog(Node &node, const std::string &stream, const std::string &text,
                        const std::function<void(bool)> &done)
{
    const auto answer = [this, &node, done](Duration delay, bool ok) {
        deliver(node, delay, [done, ok] { done(ok); });
    };
    if (isCut(node.name_, detail::LogName))
        return answer(detail::AppendTimeout, false);
    after(options_.log_.appendDelay_ + logSlow_, [this, stream, text, answer] {
        const standins::AppendAnswer result = standins::appendRecord(log_, stream, text, logNow());
        if (result.status_ == standins::AppendStatus::Appended)
            answer(detail::LocalDelay, true);
        else if (result.status_ == standins::AppendStatus::AnswerLost)
            answer(detail::AppendTimeout, false);
        else
            answer(detail::OutageAnswer, false);
        wakeReaders();
    });
}

void Fleet::appendRaw(const std::string &stream, const std::string &text)
{
    standins::appendRecord(log_, stream, text, logNow());
    wakeReaders();
}

void Fleet::publish(const ConfigDocument &document, LogOffset replaces, const std::string &id)
{
    configRecords_[nextStep_] = ConfigPublish {{id}, replaces, document};
    appendRaw("config", std::to_string(nextStep_++));
}

void Fleet::appendSnapshot(const ConfigSnapshot &snapshot)
{
    configRecords_[nextStep_] = snapshot;
    appendRaw("config", std::to_string(nextStep_++));
}

void Fleet::wakeReaders()
{
    for (const auto &[name, entry] : entries_) {
        if (entry->alive_ && !entry->readScheduled_) {
            entry->readScheduled_ = true;
            EntryNode &node = *entry;
            deliver(node, options_.log_.readDelay_ + logSlow_, [this, &node] { readConfig(node); });
        }
    }
    for (const auto &[name, agent] : agents_) {
        const bool reads = endpoints_.at(agent->endpoint_)->kind_ == EndpointKind::Service;
        if (reads && agent->alive_ && !agent->readScheduled_) {
            agent->readScheduled_ = true;
            AgentNode &node = *agent;
            deliver(node, options_.log_.readDelay_ + logSlow_, [this, &node] { readClaims(node); });
        }
    }
}

void Fleet::readConfig(EntryNode &entry)
{
    entry.readScheduled_ = false;
    const auto answer
            = isCut(entry.name_, detail::LogName)
                      ? std::nullopt
                      : standins::readRecords(log_, "config",
                                              entry.control_.config_.appliedOffset_.value_ + 1,
                                              detail::PageLimit, logNow());
    if (!answer) {
        entry.readScheduled_ = true;
        deliver(entry, detail::ReadRetry, [this, &entry] { readConfig(entry); });
        return;
    }
    ConfigLogPage page {{answer->first_},
                        {answer->next_},
                        {logNow()},
                        std::chrono::milliseconds(log_.settings_.retentionMs_),
                        {}};
    for (const standins::LogRecord &record : answer->records_) {
        const auto known = configRecords_.find(std::strtoull(record.data_.c_str(), nullptr, 10));
        ConfigRecord value = MalformedRecord {{{"record", "malformed"}}};
        if (known != configRecords_.end())
            value = known->second;
        page.records_.push_back({{record.offset_}, {record.timeMs_}, std::move(value)});
    }
    onConfigPage(entry.control_, page, now_);
    flushEntryControl(entry);
}

//! A long poll ends after a second even if nothing came.
void Fleet::pollConfig(EntryNode &entry)
{
    if (!entry.readScheduled_)
        readConfig(entry);
    deliver(entry, detail::LongPoll, [this, &entry] { pollConfig(entry); });
}

void Fleet::pollClaims(AgentNode &agent)
{
    if (!agent.readScheduled_)
        readClaims(agent);
    deliver(agent, detail::LongPoll, [this, &agent] { pollClaims(agent); });
}

ClaimsPage Fleet::claimsPage(LogOffset, const standins::ReadAnswer &answer) const
{
    ClaimsPage page {{answer.first_}, {answer.next_}, {logNow()}, {}};
    for (const standins::LogRecord &record : answer.records_) {
        const auto known = claimBatches_.find(std::strtoull(record.data_.c_str(), nullptr, 10));
        page.records_.push_back({{record.offset_},
                                 {record.timeMs_},
                                 known == claimBatches_.end() ? ClaimBatch {} : known->second});
    }
    return page;
}

void Fleet::readClaims(AgentNode &agent)
{
    agent.readScheduled_ = false;
    const LogOffset from {agent.control_.claims_.ledger_.appliedOffset_.value_ + 1};
    const auto answer = isCut(agent.name_, detail::LogName)
                                ? std::nullopt
                                : standins::readRecords(log_, "claims", from.value_,
                                                        detail::PageLimit, logNow());
    if (!answer) {
        agent.readScheduled_ = true;
        deliver(agent, detail::ReadRetry, [this, &agent] { readClaims(agent); });
        return;
    }
    onClaimsPage(agent.control_, claimsPage(from, *answer), now_);
    flushAgentControl(agent);
    const bool more = agent.control_.claims_.ledger_.appliedOffset_.value_ + 1 < answer->next_;
    if (more) {
        agent.readScheduled_ = true;
        deliver(agent, options_.log_.readDelay_, [this, &agent] { readClaims(agent); });
    }
}

} // namespace gypsumcroft::lab
