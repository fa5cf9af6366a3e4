#include "gatewaycontrol.h"

#include <algorithm>

#include "app/log.h"
#include "documents/settings.h"
#include "platform/documents.h"

namespace gypsumcroft::detail {

namespace {

const std::string LeaseTopic = "placement";
//! Stands between a member's address and its incarnation.
constexpr char MemberSeparator = '/';
//! Partition whose holder places layers.
constexpr std::uint32_t LeasePartition = 0;
constexpr std::size_t MaxLoggedKeyBytes = 64;
//! Lines about unreadable entries that one poll of the endpoint list may log.
constexpr std::uint64_t MaxUnreadableLines = 20;

} // namespace

GatewayControlLoop::GatewayControlLoop(asio::io_context &context, const GatewaySettings &settings,
                                       std::uint64_t incarnation, Publish publish)
    : context_(context), topicPartitions_(settings.topicPartitions_), publish_(std::move(publish)),
      store_(context, settings.storeAddress_),
      endpoints_(context,
                 [this](const EndpointId &endpoint, const EndpointNotice &notice) {
                     onControlNotice(control_, endpoint, notice, monotonicNow());
                 }),
      datagrams_(
              context, [this](Datagram datagram) { onDatagram(std::move(datagram)); },
              [this](const std::string &reason) {
                  garbage_.warn(LogLine("garbage").add("port", "udp").add("reason", reason),
                                monotonicNow());
              })
{
    control_.self_ = settings.instance_;
    control_.incarnation_ = {incarnation};
    control_.random_ = {incarnation};
    control_.crashes_.blame_.seed_ = incarnation;
    control_.members_.domain_ = settings.domain_;
    control_.members_.capacity_ = settings.capacity_;
    control_.bounds_ = settings.bounds_;
    control_.lease_.limits_ = settings.lease_;
}

void GatewayControlLoop::start()
{
    ticker_.emplace(context_, [this] { return tick(); });
}

Result<Address> GatewayControlLoop::listen(const Address &mesh)
{
    auto bound = datagrams_.bind(mesh);
    if (!bound)
        return bound;
    control_.members_.self_ = *bound;
    // Members are named by where they are reached, so that peers find them.
    member_ = formatAddress(*bound) + MemberSeparator
              + std::to_string(control_.incarnation_.value_);
    return bound;
}

void GatewayControlLoop::applySettings(const GatewaySettings &settings)
{
    topicPartitions_ = settings.topicPartitions_;
    control_.members_.capacity_ = settings.capacity_;
    onBoundsChanged(control_, settings.bounds_, settings.lease_);
    perform();
}

void GatewayControlLoop::note(TrafficNote note)
{
    if (const auto *doubt = std::get_if<RequestProbe>(&note))
        onProbeRequested(control_, *doubt, monotonicNow());
    else if (auto *shares = std::get_if<OwnEndpointLoads>(&note))
        onOwnLoads(control_, std::move(*shares));
    else if (const auto *notice = std::get_if<EndpointNoticeSeen>(&note))
        onEndpointNotice(control_, *notice, monotonicNow());
    else if (auto *loss = std::get_if<DispatchLost>(&note))
        onDispatchLost(control_, std::move(*loss), monotonicNow());
    else if (const auto *answered = std::get_if<TraitAnswered>(&note))
        onTraitAnswered(control_, *answered, monotonicNow());
    perform();
}

void GatewayControlLoop::beginStop()
{
    onStopping(control_);
    perform();
}

void GatewayControlLoop::onDatagram(Datagram datagram)
{
    if (auto *digest = std::get_if<GatewayDigestMessage>(&datagram))
        onGatewayDigest(control_, std::move(*digest), monotonicNow());
    perform();
}

Duration GatewayControlLoop::tick()
{
    const TimePoint now = monotonicNow();
    noteTick(control_.loopDelay_, ticker_->delay());
    onGatewayControlTick(control_, now);
    perform();
    if (now - loadLoggedAt_ >= LoadLogInterval)
        logLoad(now);
    return GatewayControlInterval;
}

void GatewayControlLoop::logLoad(TimePoint now)
{
    const Duration used = threadProcessorTime();
    const bool isFirst = std::exchange(loadLoggedAt_, now) == TimePoint();
    const Duration before = std::exchange(processorTime_, used);
    if (isFirst)
        return;
    const DigestFigures digests = std::exchange(control_.digestFigures_, {});
    LogLine line("control-load");
    line.add("cpu_ms", used - before)
            .add("late_ms", takeLongest(control_.loopDelay_))
            .add("digests", digests.count_)
            .add("digest_delay_ms", digests.longestDelay_)
            .add("store", control_.platformReachable_ ? "answers" : "silent");
    if (const auto listedAt = control_.endpoints_.confirmedAt_)
        line.add("list_age_ms", now - *listedAt);
    GC_LOG_INFO(line);
}

void GatewayControlLoop::readNewestConfig()
{
    const TimePoint asked = monotonicNow();
    store_.readLatest(platform::DesiredStateTopic,
                      [this, asked](const Result<platform::CompactedTopic> &topic) {
                          if (!topic)
                              return configFailed(topic.lastReason_);
                          configNext_ = topic->endOffset_;
                          runGuarded(errors_, "config",
                                     [&] { takeConfig(topic->records_, asked); });
                          onDesiredStateRead(control_, asked, monotonicNow());
                          perform();
                      });
}

void GatewayControlLoop::waitForConfig(Duration wait)
{
    const TimePoint asked = monotonicNow();
    store_.read(platform::DesiredStateTopic, configNext_, wait,
                [this, asked, wait](const Result<platform::RecordRange> &span) {
                    const TimePoint now = monotonicNow();
                    if (!span)
                        return configFailed(span.lastReason_);
                    // Of many states the newest one counts, and only its read confirms it.
                    if (span->expired_ || span->hasMore_)
                        return readNewestConfig();
                    configNext_ = span->nextOffset_;
                    // Nothing came for the whole wait, so nothing was newer at its end.
                    const bool isConfirmed = span->records_.empty() && now - asked >= wait;
                    if (isConfirmed)
                        onDesiredStateConfirmed(control_, asked + wait, now);
                    runGuarded(errors_, "config", [&] { takeConfig(span->records_, asked); });
                    onDesiredStateRead(control_, isConfirmed ? asked + wait : asked, now);
                    perform();
                });
}

void GatewayControlLoop::configFailed(const std::string &reason)
{
    onDesiredStateReadFailed(control_, reason, monotonicNow());
    perform();
}

void GatewayControlLoop::takeConfig(const std::vector<platform::CompactedRecord> &records,
                                    TimePoint asked)
{
    const TimePoint now = monotonicNow();
    for (const platform::CompactedRecord &record : records) {
        if (record.key_ != platform::DesiredStateKey || !record.value_)
            continue;
        auto desired = platform::decodeDesiredState(*record.value_);
        if (desired)
            onDesiredState(control_, std::move(*desired), asked, now);
        else
            GC_LOG_WARNING(LogLine("config-unreadable").add("reason", desired.lastReason_));
    }
    perform();
}

void GatewayControlLoop::readEndpoints()
{
    const TimePoint asked = monotonicNow();
    store_.readLatest(
            platform::EndpointTopic, [this, asked](const Result<platform::CompactedTopic> &topic) {
                if (topic)
                    runGuarded(errors_, "endpoint-list", [&] { takeEndpoints(*topic, asked); });
                else
                    onEndpointListFailed(control_, topic.lastReason_, monotonicNow());
                perform();
            });
}

void GatewayControlLoop::logUnreadable(const std::map<std::string, std::string> &unreadable)
{
    std::uint64_t changed = 0;
    for (const auto &[key, reason] : unreadable) {
        const auto known = unreadable_.find(key);
        if (known != unreadable_.end() && known->second == reason)
            continue;
        if (++changed <= MaxUnreadableLines)
            GC_LOG_WARNING(LogLine("endpoint-unreadable")
                                   .add("endpoint", key.substr(0, MaxLoggedKeyBytes))
                                   .add("reason", reason));
    }
    if (changed > MaxUnreadableLines)
        GC_LOG_WARNING(LogLine("endpoints-unreadable")
                               .add("left_out", changed - MaxUnreadableLines)
                               .add("all", std::uint64_t {unreadable.size()}));
}

//! Takes the entries that can be read; each of the others is logged when it appears or changes.
void GatewayControlLoop::takeEndpoints(const platform::CompactedTopic &topic, TimePoint asked)
{
    std::vector<ListedEndpoint> listed;
    std::map<std::string, std::string> unreadable;
    for (const platform::CompactedRecord &record : topic.records_) {
        auto endpoint = platform::decodeListedEndpoint(record.key_, record.value_.value_or(""));
        if (endpoint)
            listed.push_back(std::move(*endpoint));
        else
            unreadable[record.key_] = endpoint.lastReason_;
    }
    logUnreadable(unreadable);
    unreadable_ = std::move(unreadable);
    onEndpointList(control_, listed, {topic.endOffset_}, asked, monotonicNow());
}

void GatewayControlLoop::perform()
{
    std::vector<GatewayControlEffect> effects = std::move(control_.effects_);
    control_.effects_.clear();
    bool changed = false;
    for (GatewayControlEffect &effect : effects) {
        changed = changed || std::holds_alternative<GatewayViewChanged>(effect);
        perform(effect);
    }
    if (changed)
        publish_(std::make_shared<const GatewayView>(gatewayViewOf(control_, monotonicNow())));
}

void GatewayControlLoop::perform(GatewayControlEffect &effect)
{
    if (const auto *group = std::get_if<JoinGroup>(&effect))
        join(*group);
    else if (std::holds_alternative<LeaveGroup>(effect))
        leave();
    else if (std::holds_alternative<RequestPeerAddresses>(effect))
        askPeers();
    else if (const auto *read = std::get_if<ReadDesiredState>(&effect))
        read->wait_ ? waitForConfig(*read->wait_) : readNewestConfig();
    else if (std::holds_alternative<ReadEndpointList>(effect))
        readEndpoints();
    else if (const auto *send = std::get_if<SendDigest>(&effect))
        datagrams_.send(send->to_, send->digest_);
    else if (const auto *question = std::get_if<RequestStatusReport>(&effect))
        ask(*question);
    else if (const auto *layers = std::get_if<SendLoadOrder>(&effect))
        order(*layers);
    else if (const auto *check = std::get_if<CheckEndpoint>(&effect))
        this->check(*check);
    else if (const auto *event = std::get_if<LogEvent>(&effect))
        writeLog(event->level_, event->text_);
}

void GatewayControlLoop::join(const JoinGroup &join)
{
    const TimePoint sent = monotonicNow();
    const platform::GroupJoinRequest request {LeaseTopic, member_, LeaseTopic,
                                              control_.lease_.limits_.lifetime_,
                                              join.generation_.value_};
    store_.joinGroup(request, [this, sent](const Result<platform::GroupMembership> &membership) {
        const TimePoint now = monotonicNow();
        if (!membership) {
            onJoinFailed(control_, now);
            onPlatformRequestFailed(control_, "join", membership.lastReason_, now);
            return perform();
        }
        const auto &held = membership->partitions_;
        const bool granted = std::find(held.begin(), held.end(), LeasePartition) != held.end();
        onJoinResponse(control_, {membership->generation_}, granted, sent, now);
        onPartitionShare(control_, static_cast<std::uint32_t>(held.size()), topicPartitions_);
        perform();
    });
}

void GatewayControlLoop::leave()
{
    store_.leaveGroup(LeaseTopic, member_, [](const std::optional<std::string> &reason) {
        if (reason)
            GC_LOG_WARNING(LogLine("leave-failed").add("reason", *reason));
    });
}

void GatewayControlLoop::askPeers()
{
    store_.listMembers(LeaseTopic, [this](const Result<std::vector<std::string>> &members) {
        if (!members) {
            onPlatformRequestFailed(control_, "members", members.lastReason_, monotonicNow());
            return perform();
        }
        std::vector<Address> peers;
        for (const std::string &member : *members) {
            if (const auto address = parseAddress(member.substr(0, member.find(MemberSeparator))))
                peers.push_back(*address);
        }
        onPeersListed(control_, std::move(peers), topicPartitions_);
    });
}

void GatewayControlLoop::ask(const RequestStatusReport &ask)
{
    const TimePoint asked = monotonicNow();
    endpoints_.requestReport(ask, [this, asked, endpoint = ask.endpoint_](
                                          const std::optional<EndpointStatusReport> &report) {
        onReportResponse(control_, endpoint, report, asked, monotonicNow());
        perform();
    });
}

void GatewayControlLoop::check(const CheckEndpoint &check)
{
    const TimePoint sent = monotonicNow();
    const auto onChecked
            = [this, sent, endpoint = check.endpoint_](const EndpointSighting &sighting) {
                  onEndpointChecked(control_, endpoint, sighting, sent, monotonicNow());
                  perform();
              };
    const auto &table = control_.routes_.table_;
    const TargetSpec *target = table ? findTarget(*table, check.target_) : nullptr;
    endpoints_.sight(check, target != nullptr && !target->engine_ ? target->healthPath_ : "",
                     onChecked);
}

void GatewayControlLoop::order(const SendLoadOrder &order)
{
    endpoints_.sendLoadOrder(order, [this, endpoint = order.endpoint_](OrderOutcome outcome) {
        onOrderResponse(control_, endpoint, outcome, monotonicNow());
        perform();
    });
}

} // namespace gypsumcroft::detail
