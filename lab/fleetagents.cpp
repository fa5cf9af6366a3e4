//! Agents of the fleet: the agent cores beside their endpoints.
#include "fleetdetail.h"

#include <algorithm>

#include "filters/agentfilters.h"

namespace gypsumcroft::lab {

void Fleet::addAgent(const std::string &name, const std::string &domain)
{
    auto agent = std::make_unique<AgentNode>();
    agent->name_ = name;
    agent->domain_ = {domain};
    agent->endpoint_ = name;
    agent->address_ = {"10.0.0.2", nextPort_++};
    byName_[name] = agent.get();
    byAddress_[agent->address_] = agent.get();
    AgentNode &added = *agent;
    agents_.emplace(name, std::move(agent));
    resetAgent(added);
}

void Fleet::resetAgent(AgentNode &agent)
{
    agent.control_ = {};
    agent.traffic_ = {};
    agent.deferred_.clear();
    agent.frozen_ = agent.draining_ = agent.stopped_ = agent.readScheduled_ = false;
    agent.alive_ = true;
    HeartbeatMessage &heartbeat = agent.control_.heartbeat_;
    heartbeat.endpoint_ = {agent.endpoint_};
    heartbeat.instance_ = {agent.endpoint_};
    heartbeat.domain_ = agent.domain_;
    heartbeat.agent_ = agent.address_;
    heartbeat.incarnation_ = {incarnation_++};
    for (const auto &[name, entry] : entries_)
        agent.control_.entries_.push_back(entry->address_);
    agent.control_.claims_.self_ = {agent.endpoint_};
    agent.control_.claims_.limits_ = options_.claimsLimits_;
    agent.control_.claims_.random_ = {nextRandom(random_)};
    agent.traffic_.self_ = {agent.endpoint_};
    agent.traffic_.address_ = agent.address_;
    agent.traffic_.limits_ = options_.agentLimits_;
    agent.view_ = std::make_shared<const AgentView>(viewOf(agent.control_));
    const Duration phase(randomBelow(random_, 10000));
    deliver(agent, phase, [this, &agent] { tickAgent(agent); });
    deliver(agent, phase, [this, &agent] { tickAgentControl(agent); });
    deliver(agent, phase, [this, &agent] { pollEndpoint(agent); });
    if (endpoints_.at(agent.endpoint_)->kind_ == EndpointKind::Service)
        deliver(agent, phase, [this, &agent] { pollClaims(agent); });
}

void Fleet::addStage(const std::string &name, const std::string &domain,
                     const standins::EngineSettings &settings)
{
    auto endpoint = std::make_unique<EndpointNode>();
    endpoint->name_ = name + "/endpoint";
    endpoint->engine_.settings_ = settings;
    EndpointReport &report = endpoint->report_;
    report.kind_ = EndpointKind::Stage;
    report.target_ = {settings.model_};
    report.version_ = {settings.version_};
    report.layers_ = settings.layers_;
    report.modelLayers_ = settings.modelLayers_;
    report.accelerator_ = {settings.accelerator_};
    report.slots_ = settings.slots_;
    report.costPerToken_ = settings.costPerToken_;
    endpoints_.emplace(name, std::move(endpoint));
    addAgent(name, domain);
}

void Fleet::addService(const std::string &name, const std::string &domain,
                       const std::string &service, std::uint32_t slots)
{
    auto endpoint = std::make_unique<EndpointNode>();
    endpoint->name_ = name + "/endpoint";
    endpoint->kind_ = EndpointKind::Service;
    endpoint->service_.name_ = service;
    endpoint->report_.kind_ = EndpointKind::Service;
    endpoint->report_.target_ = {service};
    endpoint->report_.slots_ = {slots};
    endpoint->report_.costPerToken_ = endpoint->callTime_;
    endpoints_.emplace(name, std::move(endpoint));
    addAgent(name, domain);
}

void Fleet::tickAgent(AgentNode &agent)
{
    agentTraffic(agent, [&] { onTick(agent.traffic_, *agent.view_, now_); });
    AgentLoad load = agentLoad(agent.traffic_);
    if (options_.reportLag_ == Duration::zero())
        onAgentLoad(agent.control_, std::move(load));
    else
        deliver(agent, options_.reportLag_,
                [&agent, load = std::move(load)] { onAgentLoad(agent.control_, load); });
    deliver(agent, AgentTickInterval, [this, &agent] { tickAgent(agent); });
}

void Fleet::tickAgentControl(AgentNode &agent)
{
    onTick(agent.control_, now_);
    flushAgentControl(agent);
    deliver(agent, ControlTickInterval, [this, &agent] { tickAgentControl(agent); });
}

void Fleet::pollEndpoint(AgentNode &agent)
{
    const EndpointNode &endpoint = *endpoints_.at(agent.endpoint_);
    EndpointPollResult poll;
    if (endpoint.alive_ && !endpoint.frozen_) {
        poll.report_ = endpoint.report_;
        poll.leaving_ = endpoint.leaving_;
    }
    poll.connectionLost_ = !endpoint.alive_;
    const Duration delay = endpoint.frozen_ ? detail::PollTimeout : detail::LocalDelay;
    deliver(agent, delay, [this, &agent, poll] {
        onEndpointPolled(agent.control_, poll, now_);
        flushAgentControl(agent);
    });
    deliver(agent, detail::PollInterval, [this, &agent] { pollEndpoint(agent); });
}

void Fleet::flushAgent(AgentNode &agent)
{
    std::vector<AgentEffect> effects = std::move(agent.traffic_.effects_);
    agent.traffic_.effects_.clear();
    for (AgentEffect &effect : effects)
        performAgent(agent, effect);
}

void Fleet::performAgent(AgentNode &agent, AgentEffect &effect)
{
    if (const auto *send = std::get_if<SendMessage>(&effect)) {
        sendMessage(agent, send->to_, send->message_);
        const auto *step = std::get_if<StepMessage>(&send->message_);
        if (step != nullptr && send->to_ != agent.address_)
            onLinkUsed(agent.control_, send->to_, step->plan_.route_.at(step->hop_).endpoint_,
                       now_);
    } else if (const auto *step = std::get_if<RunStep>(&effect)) {
        runEngineStep(agent, *step);
    } else if (const auto *cancel = std::get_if<CancelEngineStream>(&effect)) {
        EndpointNode &endpoint = *endpoints_.at(agent.endpoint_);
        deliver(endpoint, detail::LocalDelay,
                [&endpoint, name = detail::streamName(cancel->request_, cancel->epoch_)] {
                    standins::cancelStream(endpoint.engine_, name);
                });
    } else if (const auto *call = std::get_if<CallService>(&effect)) {
        callEndpoint(agent, *call);
    } else if (const auto *wish = std::get_if<ClaimRequest>(&effect)) {
        deliver(agent, Duration(10), [this, &agent, wish = *wish] {
            onClaimRequest(agent.control_, wish, now_);
            flushAgentControl(agent);
        });
    } else if (const auto *close = std::get_if<CloseClaim>(&effect)) {
        deliver(agent, Duration(10), [this, &agent, close = *close] {
            onCloseClaim(agent.control_, close, now_);
            flushAgentControl(agent);
        });
    } else if (const auto *event = std::get_if<LogEvent>(&effect)) {
        keepLine(agent, *event);
    }
}

void Fleet::flushAgentControl(AgentNode &agent)
{
    while (!agent.control_.effects_.empty()) {
        std::vector<AgentControlEffect> effects = std::move(agent.control_.effects_);
        agent.control_.effects_.clear();
        for (AgentControlEffect &effect : effects)
            performAgentControl(agent, effect);
    }
}

void Fleet::performAgentControl(AgentNode &agent, AgentControlEffect &effect)
{
    if (const auto *datagram = std::get_if<SendDatagram>(&effect)) {
        sendDatagram(agent, datagram->to_, datagram->datagram_);
    } else if (const auto *append = std::get_if<AppendClaims>(&effect)) {
        claimBatches_[nextStep_] = append->batch_;
        appendToLog(agent, "claims", std::to_string(nextStep_++),
                    [this, &agent, id = append->appendId_](bool ok) {
                        onClaimsAppend(agent.control_, id, ok, now_);
                        flushAgentControl(agent);
                    });
    } else if (const auto *verdict = std::get_if<ClaimResult>(&effect)) {
        agentTraffic(agent, [&] { onClaimResult(agent.traffic_, *agent.view_, *verdict, now_); });
    } else if (std::holds_alternative<ViewChanged>(effect)) {
        agent.view_ = std::make_shared<const AgentView>(viewOf(agent.control_));
    } else if (std::holds_alternative<EndpointDied>(effect)) {
        agentTraffic(agent, [&] { onEndpointDied(agent.traffic_, *agent.view_, now_); });
    } else if (std::holds_alternative<ResetEndpoint>(effect)) {
        resetEngine(agent);
    } else if (const auto *event = std::get_if<LogEvent>(&effect)) {
        keepLine(agent, *event);
    }
}

void Fleet::resetEngine(AgentNode &agent)
{
    EndpointNode &endpoint = *endpoints_.at(agent.endpoint_);
    deliver(endpoint, detail::LocalDelay, [&endpoint] { endpoint.engine_.streams_.clear(); });
    deliver(agent, 2 * detail::LocalDelay, [this, &agent] {
        onEndpointReset(agent.control_, now_);
        flushAgentControl(agent);
    });
}

void Fleet::killAgent(const std::string &name)
{
    AgentNode &agent = *agents_.at(name);
    if (!agent.alive_)
        return;
    agent.alive_ = false;
    ++agent.generation_;
    tellPeersOfDeath(agent);
}

void Fleet::startAgent(const std::string &name)
{
    AgentNode &agent = *agents_.at(name);
    if (!agent.alive_)
        resetAgent(agent);
}

void Fleet::drainAgent(const std::string &name)
{
    AgentNode &agent = *agents_.at(name);
    agent.draining_ = true;
    deliver(agent, Duration::zero(), [this, &agent] {
        beginLeaving(agent.control_, now_);
        flushAgentControl(agent);
    });
    const auto waitIdle = std::make_shared<std::function<void()>>();
    *waitIdle = [this, &agent, waitIdle] {
        if (!isIdle(agent.traffic_) || !isIdle(agent.control_)) {
            deliver(agent, detail::StopPoll, *waitIdle);
            return;
        }
        agent.stopped_ = true;
        killAgent(agent.name_);
    };
    deliver(agent, detail::AgentLeaveNotice, *waitIdle);
}

} // namespace gypsumcroft::lab
