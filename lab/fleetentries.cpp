//! Entries of the fleet: the entry cores and their callers.
#include "fleetdetail.h"

#include <algorithm>

namespace gypsumcroft::lab {

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
    } else if (const auto *token = std::get_if<DeliverToken>(&effect)) {
        const auto found = entry.callers_.find(token->request_);
        if (found == entry.callers_.end())
            return;
        CallerRecord &record = records_[found->second];
        if (record.tokens_.empty())
            record.firstToken_ = now_ + options_.network_.callerDelay_;
        record.tokens_.push_back(token->text_);
    } else if (const auto *end = std::get_if<FinishTokenStream>(&effect)) {
        endCaller(entry, end->request_, Ending::Whole);
    } else if (const auto *call = std::get_if<DeliverOutcome>(&effect)) {
        const auto found = entry.callers_.find(call->request_);
        if (found != entry.callers_.end())
            records_[found->second].outcome_ = call->outcome_;
        endCaller(entry, call->request_, Ending::Done);
    } else if (const auto *refusal = std::get_if<DeliverRefusal>(&effect)) {
        const auto found = entry.callers_.find(refusal->request_);
        if (found != entry.callers_.end()) {
            records_[found->second].code_ = refusal->refusal_.code_;
            records_[found->second].retryAfter_ = refusal->refusal_.retryAfter_;
        }
        endCaller(entry, refusal->request_,
                  refusal->refusal_.run_ == RunState::NotRun ? Ending::NotRun : Ending::Unknown);
    } else if (const auto *settle = std::get_if<ResolveAttempt>(&effect)) {
        deliver(entry, Duration(10), [this, &entry, settle = *settle] {
            onResolveAttempt(entry.control_, settle, now_);
            flushEntryControl(entry);
        });
    } else if (const auto *report = std::get_if<ReportEndpointFailure>(&effect)) {
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
                    [this, &entry, id = append->appendId_](bool ok) {
                        onCancelAppended(entry.control_, id, ok, now_);
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
            onClaimsRead(entry.control_, page, now_);
            flushEntryControl(entry);
        });
    } else if (const auto *verdict = std::get_if<AttemptResolution>(&effect)) {
        entryTraffic(entry,
                     [&] { onAttemptResolved(entry.traffic_, *entry.view_, *verdict, now_); });
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
        entryTraffic(entry, [&] { onCallerDisconnected(entry.traffic_, *entry.view_, id, now_); });
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

} // namespace gypsumcroft::lab
