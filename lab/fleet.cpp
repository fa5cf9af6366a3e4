//! The event heap, the network and the faults of the fleet.
#include "fleetdetail.h"

#include <algorithm>

namespace gypsumcroft::lab {

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
        onAgentUnreachable(entry.control_, peer, now_);
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
