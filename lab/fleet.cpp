#include "fleet.h"

#include <algorithm>

#include "core/hash.h"
#include "filters/agentfilters.h"

namespace gypsumcroft::lab {

namespace detail {

constexpr Duration LocalDelay = std::chrono::microseconds(50);
constexpr Duration BrokenDelay = std::chrono::milliseconds(1);
constexpr Duration PollInterval = std::chrono::milliseconds(500);
constexpr Duration PollTimeout = std::chrono::seconds(1);
constexpr Duration OutageAnswer = std::chrono::milliseconds(5);
constexpr Duration LongPoll = std::chrono::seconds(1);
constexpr Duration ReadRetry = std::chrono::milliseconds(200);
constexpr Duration AppendTimeout = std::chrono::milliseconds(1500);
constexpr Duration StopPoll = std::chrono::milliseconds(20);
constexpr Duration EntryDrainNotice = std::chrono::milliseconds(300);
constexpr Duration AgentLeaveNotice = std::chrono::milliseconds(500);
constexpr std::size_t PageLimit = 1000;

std::pair<std::string, std::string> unordered(const std::string &left, const std::string &right)
{
    return left < right ? std::pair(left, right) : std::pair(right, left);
}

std::string streamName(const RequestId &request, Epoch epoch)
{
    return request.value_ + "#" + std::to_string(epoch.value_);
}

const std::string LogName = "log";

} // namespace detail

FleetOptions defaultFleetOptions(std::uint64_t seed)
{
    FleetOptions options;
    options.seed_ = seed;
    return options;
}

ApiKeyHash apiKeyOf(const std::string &organisation)
{
    constexpr std::size_t HashDigits = 64;
    std::string hash = organisation;
    hash.resize(HashDigits, '0');
    return {hash};
}

Fleet::Fleet(FleetOptions options) : random_ {options.seed_}, options_(options)
{
    now_ = TimePoint(std::chrono::seconds(1000));
    log_.settings_ = options.log_.settings_;
}

Fleet::~Fleet() = default;

void Fleet::at(TimePoint time, std::function<void()> action)
{
    queue_.push({std::max(time, now_), nextOrder_++, std::move(action)});
}

void Fleet::after(Duration delay, std::function<void()> action)
{
    at(now_ + delay, std::move(action));
}

void Fleet::runUntil(TimePoint time)
{
    while (!queue_.empty() && queue_.top().time_ <= time) {
        //! The top is const only for the heap's order, which moving the action does not touch.
        auto action = std::move(const_cast<Event &>(queue_.top()).action_);
        now_ = queue_.top().time_;
        queue_.pop();
        ++events_;
        action();
    }
    now_ = time;
}

std::int64_t Fleet::logNow() const
{
    return now_.time_since_epoch().count() / 1000;
}

void Fleet::runOn(Node &node, std::uint64_t generation, const std::function<void()> &action)
{
    if (!node.alive_ || node.generation_ != generation)
        return;
    if (node.frozen_)
        node.deferred_.push_back(action);
    else
        action();
}

void Fleet::deliver(Node &node, Duration delay, std::function<void()> action)
{
    after(delay, [this, &node, generation = node.generation_, action = std::move(action)] {
        runOn(node, generation, action);
    });
}

Node *Fleet::nodeAt(const Address &address)
{
    const auto found = byAddress_.find(address);
    return found == byAddress_.end() ? nullptr : found->second;
}

Node *Fleet::nodeNamed(const std::string &name)
{
    const auto found = byName_.find(name);
    return found == byName_.end() ? nullptr : found->second;
}

bool Fleet::isCut(const std::string &left, const std::string &right) const
{
    return !cuts_.empty() && cuts_.contains(detail::unordered(left, right));
}

Duration Fleet::netDelay(const Node &from, const Node &to)
{
    const NetworkOptions &net = options_.network_;
    Duration delay
            = net.delay_
              + Duration(randomBelow(random_, static_cast<std::uint64_t>(net.jitter_.count()) + 1));
    if (slow_.empty())
        return delay;
    const auto slow = slow_.find(detail::unordered(from.name_, to.name_));
    return slow == slow_.end() ? delay : slow->second;
}

Evidence Fleet::takeEvidence()
{
    Evidence evidence;
    evidence.records_ = std::move(records_);
    evidence.layerRuns_ = std::move(layerRuns_);
    for (const auto &[name, endpoint] : endpoints_) {
        for (const auto &[body, count] : endpoint->service_.effects_)
            evidence.effects_[body] += count;
    }
    return evidence;
}

// Messages between processes ----------------------------------------------------------------

void Fleet::sendMessage(Node &from, const Address &to, const Message &message)
{
    Node *node = nodeAt(to);
    if (node == nullptr || !node->alive_) {
        deliver(from, detail::BrokenDelay, [this, &from, to] { peerDown(from, to); });
        return;
    }
    connections_.insert({from.name_, node->name_});
    if (isCut(from.name_, node->name_)) {
        held_[{from.name_, node->name_}].push_back(message);
        return;
    }
    const NetworkOptions &net = options_.network_;
    const bool late = net.lateShare_ > 0 && randomUnit(random_) < net.lateShare_;
    const bool repeated = net.repeatShare_ > 0 && randomUnit(random_) < net.repeatShare_;
    const auto most = static_cast<std::uint64_t>(net.lateMost_.count());
    if (repeated)
        deliverMessage(from, *node, message, Duration(randomBelow(random_, most)));
    if (late) {
        deliverMessage(from, *node, message, Duration(randomBelow(random_, most)));
        return;
    }
    TimePoint arrival = now_ + netDelay(from, *node);
    TimePoint &last = lastDelivery_[{from.name_, node->name_}];
    arrival = std::max(arrival, last + Duration(1));
    last = arrival;
    deliverMessage(from, *node, message, arrival - now_);
}

void Fleet::deliverMessage(Node &from, Node &to, const Message &message, Duration delay)
{
    after(delay, [this, &from, &to, message, generation = to.generation_,
                  sender = from.generation_] {
        if (to.alive_ && to.generation_ == generation) {
            runOn(to, generation, [this, &to, message] { receiveMessage(to, message); });
            return;
        }
        if (from.alive_ && from.generation_ == sender)
            runOn(from, sender, [this, &from, address = to.address_] { peerDown(from, address); });
    });
}

void Fleet::sendDatagram(Node &from, const Address &to, const Datagram &datagram)
{
    Node *node = nodeAt(to);
    if (node == nullptr || !node->alive_ || isCut(from.name_, node->name_))
        return;
    if (options_.network_.datagramLoss_ > 0
        && randomUnit(random_) < options_.network_.datagramLoss_)
        return;
    const Duration delay = netDelay(from, *node);
    deliver(*node, delay, [this, node, datagram] {
        if (const auto entry = entries_.find(node->name_); entry != entries_.end()) {
            if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&datagram))
                onHeartbeat(entry->second->control_, *heartbeat, now_);
            else if (const auto *digest = std::get_if<DigestMessage>(&datagram))
                onDigest(entry->second->control_, *digest, now_);
            flushEntryControl(*entry->second);
        } else if (const auto agent = agents_.find(node->name_); agent != agents_.end()) {
            if (const auto *probe = std::get_if<ProbeMessage>(&datagram))
                onProbe(agent->second->control_, *probe, now_);
            flushAgentControl(*agent->second);
        }
    });
}

void Fleet::receiveMessage(Node &to, const Message &message)
{
    if (const auto found = entries_.find(to.name_); found != entries_.end()) {
        EntryNode &entry = *found->second;
        if (const auto *fetch = std::get_if<ConfigFetchMessage>(&message)) {
            onConfigFetch(entry.control_, *fetch);
            return flushEntryControl(entry);
        }
        if (const auto *state = std::get_if<ConfigStateMessage>(&message)) {
            onConfigState(entry.control_, state->snapshot_, now_);
            return flushEntryControl(entry);
        }
        if (entry.naive_)
            return naiveMessage(entry, message);
        entryTraffic(entry, [&] {
            if (const auto *token = std::get_if<TokenMessage>(&message))
                onToken(entry.traffic_, *entry.view_, *token, now_);
            else if (const auto *failure = std::get_if<StreamFailedMessage>(&message))
                onStreamFailed(entry.traffic_, *entry.view_, *failure, now_);
            else if (const auto *result = std::get_if<CallResultMessage>(&message))
                onCallResult(entry.traffic_, *entry.view_, *result, now_);
        });
        return;
    }
    const auto found = agents_.find(to.name_);
    if (found == agents_.end())
        return;
    AgentNode &agent = *found->second;
    agentTraffic(agent, [&] {
        if (const auto *step = std::get_if<StepMessage>(&message))
            onStep(agent.traffic_, *agent.view_, *step, now_);
        else if (const auto *end = std::get_if<EndStreamMessage>(&message))
            onEndStream(agent.traffic_, *agent.view_, *end, now_);
        else if (const auto *call = std::get_if<CallMessage>(&message))
            onCall(agent.traffic_, *agent.view_, *call, now_);
    });
}

void Fleet::peerDown(Node &node, const Address &peer)
{
    if (const auto found = entries_.find(node.name_); found != entries_.end()) {
        EntryNode &entry = *found->second;
        agentDown(entry, peer);
        onUnreachable(entry.control_, peer, now_);
        flushEntryControl(entry);
    } else if (const auto agent = agents_.find(node.name_); agent != agents_.end()) {
        AgentNode &self = *agent->second;
        agentTraffic(self, [&] { onPeerDown(self.traffic_, *self.view_, peer, now_); });
    }
}

//! Connections to a process that died break; over a cut link nobody notices.
void Fleet::tellPeersOfDeath(const Node &dead)
{
    std::vector<std::string> peers;
    for (const auto &[from, to] : connections_) {
        if (to == dead.name_)
            peers.push_back(from);
    }
    for (const std::string &name : peers) {
        connections_.erase({name, dead.name_});
        Node *peer = nodeNamed(name);
        if (peer == nullptr || !peer->alive_ || isCut(name, dead.name_))
            continue;
        deliver(*peer, detail::BrokenDelay,
                [this, peer, address = dead.address_] { peerDown(*peer, address); });
    }
}

// Entries -----------------------------------------------------------------------------------

void Fleet::addEntry(const std::string &name, const std::string &domain)
{
    auto entry = std::make_unique<EntryNode>();
    entry->name_ = name;
    entry->domain_ = {domain};
    entry->address_ = {"10.0.0.1", nextPort_++};
    byName_[name] = entry.get();
    byAddress_[entry->address_] = entry.get();
    EntryNode &added = *entry;
    entries_.emplace(name, std::move(entry));
    resetEntry(added);
    for (const auto &[agentName, agent] : agents_)
        onEntryList(agent->control_, {added.address_});
}

//! A fresh process: nothing is kept from an earlier life.
void Fleet::resetEntry(EntryNode &entry)
{
    ++entry.generation_;
    entry.control_ = {};
    entry.traffic_ = {};
    entry.callers_.clear();
    entry.deferred_.clear();
    entry.frozen_ = entry.draining_ = entry.stopped_ = entry.readScheduled_ = false;
    entry.alive_ = true;
    entry.control_.self_ = {entry.name_};
    entry.control_.address_ = entry.address_;
    entry.control_.random_ = {nextRandom(random_)};
    for (const auto &[name, other] : entries_)
        entry.control_.peers_.push_back(other->address_);
    entry.traffic_.self_ = {entry.name_};
    entry.traffic_.address_ = entry.address_;
    entry.traffic_.limits_ = options_.entryLimits_;
    entry.traffic_.random_ = {nextRandom(random_)};
    entry.naive_.reset();
    if (options_.naive_) {
        entry.naive_.emplace();
        entry.naive_->address_ = entry.address_;
        entry.naive_->random_ = {nextRandom(random_)};
    }
    entry.view_ = std::make_shared<const RoutingView>(viewOf(entry.control_));
    const Duration phase(randomBelow(random_, 10000));
    deliver(entry, phase, [this, &entry] { tickEntry(entry); });
    deliver(entry, phase, [this, &entry] { tickEntryControl(entry); });
    deliver(entry, phase, [this, &entry] { pollConfig(entry); });
}

void Fleet::agentDown(EntryNode &entry, const Address &agent)
{
    entryTraffic(entry, [&] {
        if (entry.naive_)
            naiveAgentDown(*entry.naive_, agent, now_);
        else
            onAgentDown(entry.traffic_, *entry.view_, agent, now_);
    });
}

void Fleet::naiveMessage(EntryNode &entry, const Message &message)
{
    entryTraffic(entry, [&] {
        if (const auto *token = std::get_if<TokenMessage>(&message))
            naiveToken(*entry.naive_, *token, now_);
        else if (const auto *failure = std::get_if<StreamFailedMessage>(&message))
            naiveFailed(*entry.naive_, *failure, now_);
    });
}

void Fleet::tickEntry(EntryNode &entry)
{
    entryTraffic(entry, [&] {
        if (entry.naive_)
            naiveTick(*entry.naive_, *entry.view_, now_);
        else
            onTick(entry.traffic_, *entry.view_, now_);
    });
    deliver(entry, EntryTickInterval, [this, &entry] { tickEntry(entry); });
}

void Fleet::tickEntryControl(EntryNode &entry)
{
    onTick(entry.control_, now_);
    flushEntryControl(entry);
    deliver(entry, ControlTickInterval, [this, &entry] { tickEntryControl(entry); });
}

template <typename Action>
void Fleet::entryTraffic(EntryNode &entry, const Action &action)
{
    action();
    flushEntry(entry);
}

void Fleet::flushEntry(EntryNode &entry)
{
    auto &left = entry.naive_ ? entry.naive_->effects_ : entry.traffic_.effects_;
    std::vector<EntryEffect> effects = std::move(left);
    left.clear();
    for (EntryEffect &effect : effects)
        performEntry(entry, effect);
}

void Fleet::keepLine(const Node &node, const LogEvent &event)
{
    if (keepLog_)
        logLines_.push_back(std::to_string(now_.time_since_epoch().count() - 1000000000) + " "
                            + node.name_ + " " + event.text_);
}

void Fleet::endCaller(EntryNode &entry, const RequestId &request, Ending ending)
{
    const auto found = entry.callers_.find(request);
    if (found == entry.callers_.end())
        return;
    CallerRecord &record = records_[found->second];
    record.ending_ = ending;
    record.ended_ = now_ + options_.network_.callerDelay_;
    entry.callers_.erase(found);
}

void Fleet::performEntry(EntryNode &entry, EntryEffect &effect)
{
    if (const auto *send = std::get_if<SendMessage>(&effect)) {
        sendMessage(entry, send->to_, send->message_);
    } else if (const auto *token = std::get_if<AnswerToken>(&effect)) {
        const auto found = entry.callers_.find(token->request_);
        if (found == entry.callers_.end())
            return;
        CallerRecord &record = records_[found->second];
        if (record.tokens_.empty())
            record.firstToken_ = now_ + options_.network_.callerDelay_;
        record.tokens_.push_back(token->text_);
    } else if (const auto *end = std::get_if<AnswerEnd>(&effect)) {
        endCaller(entry, end->request_, Ending::Whole);
    } else if (const auto *call = std::get_if<AnswerCall>(&effect)) {
        const auto found = entry.callers_.find(call->request_);
        if (found != entry.callers_.end())
            records_[found->second].outcome_ = call->outcome_;
        endCaller(entry, call->request_, Ending::Done);
    } else if (const auto *refusal = std::get_if<AnswerRefusal>(&effect)) {
        const auto found = entry.callers_.find(refusal->request_);
        if (found != entry.callers_.end()) {
            records_[found->second].code_ = refusal->refusal_.code_;
            records_[found->second].retryAfter_ = refusal->refusal_.retryAfter_;
        }
        endCaller(entry, refusal->request_,
                  refusal->refusal_.run_ == RunState::NotRun ? Ending::NotRun : Ending::Unknown);
    } else if (const auto *settle = std::get_if<SettleAttempt>(&effect)) {
        deliver(entry, Duration(10), [this, &entry, settle = *settle] {
            onSettleAttempt(entry.control_, settle, now_);
            flushEntryControl(entry);
        });
    } else if (const auto *report = std::get_if<ReportFailure>(&effect)) {
        deliver(entry, Duration(10), [this, &entry, report = *report] {
            onFailureReport(entry.control_, report, now_);
            flushEntryControl(entry);
        });
    } else if (const auto *event = std::get_if<LogEvent>(&effect)) {
        keepLine(entry, *event);
    }
}

void Fleet::flushEntryControl(EntryNode &entry)
{
    while (!entry.control_.effects_.empty()) {
        std::vector<EntryControlEffect> effects = std::move(entry.control_.effects_);
        entry.control_.effects_.clear();
        const bool viewChanged
                = std::any_of(effects.begin(), effects.end(), [](const EntryControlEffect &effect) {
                      return std::holds_alternative<ViewChanged>(effect);
                  });
        if (viewChanged)
            entry.view_ = std::make_shared<const RoutingView>(viewOf(entry.control_));
        for (EntryControlEffect &effect : effects)
            performEntryControl(entry, effect);
    }
}

void Fleet::performEntryControl(EntryNode &entry, EntryControlEffect &effect)
{
    if (const auto *send = std::get_if<SendMessage>(&effect)) {
        sendMessage(entry, send->to_, send->message_);
    } else if (const auto *datagram = std::get_if<SendDatagram>(&effect)) {
        sendDatagram(entry, datagram->to_, datagram->datagram_);
    } else if (const auto *snapshot = std::get_if<AppendSnapshot>(&effect)) {
        configRecords_[nextStep_] = snapshot->snapshot_;
        appendToLog(entry, "config", std::to_string(nextStep_++), [](bool) {});
    } else if (const auto *append = std::get_if<AppendClaims>(&effect)) {
        claimBatches_[nextStep_] = append->batch_;
        appendToLog(entry, "claims", std::to_string(nextStep_++),
                    [this, &entry, id = append->append_](bool ok) {
                        onSettleAppended(entry.control_, id, ok, now_);
                        flushEntryControl(entry);
                    });
    } else if (const auto *read = std::get_if<ReadClaims>(&effect)) {
        deliver(entry, options_.log_.readDelay_ + logSlow_, [this, &entry, from = read->from_] {
            std::optional<ClaimsPage> page;
            const auto answer = isCut(entry.name_, detail::LogName)
                                        ? std::nullopt
                                        : standins::readRecords(log_, "claims", from.value_,
                                                                detail::PageLimit, logNow());
            if (answer)
                page = claimsPage(from, *answer);
            onSettlePage(entry.control_, page, now_);
            flushEntryControl(entry);
        });
    } else if (const auto *verdict = std::get_if<AttemptVerdict>(&effect)) {
        entryTraffic(entry,
                     [&] { onAttemptVerdict(entry.traffic_, *entry.view_, *verdict, now_); });
    } else if (const auto *down = std::get_if<AgentDown>(&effect)) {
        agentDown(entry, down->agent_);
    } else if (const auto *event = std::get_if<LogEvent>(&effect)) {
        keepLine(entry, *event);
    }
}

std::size_t Fleet::send(const std::string &name, CallerRecord request)
{
    const std::size_t index = records_.size();
    request.entry_ = name;
    request.sent_ = now_;
    records_.push_back(std::move(request));
    EntryNode &entry = *entries_.at(name);
    if (!entry.alive_ || entry.stopped_) {
        records_[index].ending_ = Ending::Cut;
        records_[index].ended_ = now_;
        return index;
    }
    const RequestId id {name + "-" + std::to_string(nextRequest_++)};
    records_[index].request_ = id;
    deliver(entry, options_.network_.callerDelay_, [this, &entry, index, id] {
        CallerRecord &record = records_[index];
        CallerRequest caller;
        caller.id_ = id;
        caller.apiKey_ = apiKeyOf(record.organisation_);
        caller.caller_ = {record.caller_};
        caller.template_ = {record.template_};
        caller.body_ = record.body_;
        if (!record.key_.empty())
            caller.idempotencyKey_ = record.key_;
        if (record.maxTokens_ > 0)
            caller.maxTokens_ = record.maxTokens_;
        entry.callers_[id] = index;
        entryTraffic(entry, [&] {
            if (entry.naive_)
                naiveRequest(*entry.naive_, *entry.view_, std::move(caller), now_);
            else
                onCallerRequest(entry.traffic_, *entry.view_, std::move(caller), now_);
        });
    });
    return index;
}

void Fleet::closeCaller(std::size_t index)
{
    CallerRecord &record = records_[index];
    EntryNode &entry = *entries_.at(record.entry_);
    if (record.ending_ != Ending::None)
        return;
    record.ending_ = Ending::Cut;
    record.ended_ = now_;
    entry.callers_.erase(record.request_);
    deliver(entry, options_.network_.callerDelay_, [this, &entry, id = record.request_] {
        entryTraffic(entry, [&] { onCallerGone(entry.traffic_, *entry.view_, id, now_); });
    });
}

void Fleet::killEntry(const std::string &name)
{
    EntryNode &entry = *entries_.at(name);
    if (!entry.alive_)
        return;
    entry.alive_ = false;
    ++entry.generation_;
    //! Every caller of this entry sees its connection break, wherever its request was.
    for (CallerRecord &record : records_) {
        if (record.entry_ != name || record.ending_ != Ending::None)
            continue;
        record.ending_ = Ending::Cut;
        record.ended_ = now_;
    }
    entry.callers_.clear();
    tellPeersOfDeath(entry);
}

void Fleet::startEntry(const std::string &name)
{
    EntryNode &entry = *entries_.at(name);
    if (entry.alive_)
        return;
    resetEntry(entry);
}

void Fleet::drainEntry(const std::string &name)
{
    EntryNode &entry = *entries_.at(name);
    entry.draining_ = true;
    deliver(entry, detail::EntryDrainNotice, [this, &entry] {
        beginDrain(entry.traffic_);
        const auto waitIdle = std::make_shared<std::function<void()>>();
        *waitIdle = [this, &entry, waitIdle] {
            if (!isIdle(entry.traffic_)) {
                deliver(entry, detail::StopPoll, *waitIdle);
                return;
            }
            entry.stopped_ = true;
            killEntry(entry.name_);
        };
        deliver(entry, detail::StopPoll, *waitIdle);
    });
}

// Agents ------------------------------------------------------------------------------------

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
    AgentLoad load = loadOf(agent.traffic_);
    if (options_.reportLag_ == Duration::zero())
        onLoad(agent.control_, std::move(load));
    else
        deliver(agent, options_.reportLag_,
                [&agent, load = std::move(load)] { onLoad(agent.control_, load); });
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
    EndpointPoll poll;
    if (endpoint.alive_ && !endpoint.frozen_) {
        poll.report_ = endpoint.report_;
        poll.leaving_ = endpoint.leaving_;
    }
    poll.refused_ = !endpoint.alive_;
    const Duration delay = endpoint.frozen_ ? detail::PollTimeout : detail::LocalDelay;
    deliver(agent, delay, [this, &agent, poll] {
        onPoll(agent.control_, poll, now_);
        flushAgentControl(agent);
    });
    deliver(agent, detail::PollInterval, [this, &agent] { pollEndpoint(agent); });
}

template <typename Action>
void Fleet::agentTraffic(AgentNode &agent, const Action &action)
{
    action();
    flushAgent(agent);
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
    } else if (const auto *wish = std::get_if<ClaimWish>(&effect)) {
        deliver(agent, Duration(10), [this, &agent, wish = *wish] {
            onClaimWish(agent.control_, wish, now_);
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
                    [this, &agent, id = append->append_](bool ok) {
                        onClaimsAppend(agent.control_, id, ok, now_);
                        flushAgentControl(agent);
                    });
    } else if (const auto *verdict = std::get_if<ClaimVerdict>(&effect)) {
        agentTraffic(agent, [&] { onClaimVerdict(agent.traffic_, *agent.view_, *verdict, now_); });
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
        onReset(agent.control_, now_);
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

// Endpoints ---------------------------------------------------------------------------------

void Fleet::runEngineStep(AgentNode &agent, const RunStep &step)
{
    EndpointNode &endpoint = *endpoints_.at(agent.endpoint_);
    StepResult result {step.request_, step.epoch_, step.firstPosition_, {}, false, {},
                       false,         false};
    if (!endpoint.alive_) {
        result.failure_ = "connection refused";
        result.notRun_ = result.died_ = true;
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
                onPoll(agent.control_, {std::nullopt, false, true}, now_);
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
    deliver(agent, call.timeLeft_, [this, &agent, attempt = call.attempt_] {
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

// The log -----------------------------------------------------------------------------------

void Fleet::appendToLog(Node &node, const std::string &stream, const std::string &text,
                        std::function<void(bool)> done)
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
    const auto answer = isCut(entry.name_, detail::LogName)
                                ? std::nullopt
                                : standins::readRecords(log_, "config",
                                                        entry.control_.config_.through_.value_ + 1,
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
    const LogOffset from {agent.control_.claims_.ledger_.through_.value_ + 1};
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
    const bool more = agent.control_.claims_.ledger_.through_.value_ + 1 < answer->next_;
    if (more) {
        agent.readScheduled_ = true;
        deliver(agent, options_.log_.readDelay_, [this, &agent] { readClaims(agent); });
    }
}

// Faults ------------------------------------------------------------------------------------

void Fleet::freeze(const std::string &name)
{
    nodeNamed(name)->frozen_ = true;
}

void Fleet::thaw(const std::string &name)
{
    Node &node = *nodeNamed(name);
    node.frozen_ = false;
    std::vector<std::function<void()>> deferred = std::move(node.deferred_);
    node.deferred_.clear();
    for (const auto &action : deferred)
        deliver(node, Duration::zero(), action);
}

void Fleet::cutLink(const std::string &left, const std::string &right)
{
    cuts_.insert(detail::unordered(left, right));
}

void Fleet::healLink(const std::string &left, const std::string &right)
{
    cuts_.erase(detail::unordered(left, right));
    for (const auto &[from, to] : {std::pair(left, right), std::pair(right, left)}) {
        const auto held = held_.find({from, to});
        if (held == held_.end())
            continue;
        const std::vector<Message> messages = std::move(held->second);
        held_.erase(held);
        Node *sender = nodeNamed(from);
        const Node *receiver = nodeNamed(to);
        if (sender == nullptr || receiver == nullptr || !sender->alive_)
            continue;
        for (const Message &message : messages)
            sendMessage(*sender, receiver->address_, message);
    }
}

void Fleet::slowLink(const std::string &left, const std::string &right, Duration delay)
{
    slow_[detail::unordered(left, right)] = delay;
}

void Fleet::outage(Duration length)
{
    log_.outageUntilMs_ = logNow() + length.count() / 1000;
}

} // namespace gypsumcroft::lab
