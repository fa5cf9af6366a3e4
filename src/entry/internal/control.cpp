#include "entry/control.h"

#include <algorithm>
#include <utility>

namespace gypsumcroft {

namespace detail {

void emit(EntryControl &state, EntryControlEffect effect)
{
    state.effects_.push_back(std::move(effect));
}

void publishMembershipChange(EntryControl &state, const MembershipChange &change,
                             std::string_view cause)
{
    emit(state, logEvent(LogLevel::Info, LogLine("membership")
                                                 .add("endpoint", change.endpoint_)
                                                 .add("domain", change.domain_)
                                                 .add("state", endpointStateName(change.state_))
                                                 .add("cause", cause)));
    emit(state, ViewChanged {});
    if (change.state_ == EndpointState::Down)
        emit(state, AgentDown {change.agent_});
}

void configChanged(EntryControl &state)
{
    state.index_ = std::make_shared<const ConfigIndex>(buildConfigIndex(state.config_));
    emit(state, ViewChanged {});
}

void sendDigests(EntryControl &state, TimePoint now)
{
    state.digestAt_ = now + state.limits_.digestInterval_;
    DigestMessage digest {
            state.self_, state.address_, state.config_.appliedOffset_, state.config_.digest_, {},
            {}};
    for (const auto &[organisation, rate] : state.ownDemand_) {
        if (digest.demand_.size() < state.limits_.maxDemandInDigest_)
            digest.demand_.push_back({organisation, rate});
    }
    digest.suspects_ = reportSuspects(state.suspects_, state.limits_.maxSuspectsInDigest_, now);
    for (const Address &peer : state.peers_) {
        if (peer != state.address_)
            emit(state, SendDatagram {peer, digest});
    }
}

//! The peer with the newest configuration; null if none is newer than this entry's.
const PeerEntry *newestPeer(const EntryControl &state)
{
    const PeerEntry *best = nullptr;
    for (const auto &[instance, peer] : state.digests_) {
        if (peer.digest_.configAppliedOffset_ <= state.config_.appliedOffset_)
            continue;
        if (best == nullptr
            || peer.digest_.configAppliedOffset_ > best->digest_.configAppliedOffset_)
            best = &peer;
    }
    return best;
}

void fetchFromPeer(EntryControl &state, TimePoint now)
{
    const PeerEntry *peer = newestPeer(state);
    if (peer == nullptr) {
        state.fetchedAt_ = now;
        return;
    }
    if (now - state.fetchedAt_ < state.limits_.fetchDelay_)
        return;
    state.fetchedAt_ = now;
    emit(state, SendMessage {peer->digest_.entry_,
                             ConfigFetchMessage {state.address_, state.config_.appliedOffset_}});
}

void appendCancel(EntryControl &state, ResolvingAttempt &resolving, TimePoint now)
{
    resolving.append_ = state.nextAppend_++;
    resolving.sentAt_ = now;
    emit(state,
         AppendClaims {resolving.append_,
                       {AttemptCancel {resolving.details_.key_, resolving.details_.attempt_}}});
}

const KeyState *keyOfAttempt(const ClaimLedger &ledger, const ResolveAttempt &attempt)
{
    const KeyState *key = findKey(ledger, attempt.key_);
    return key != nullptr && key->attempt_ == attempt.attempt_ ? key : nullptr;
}

//! Resolves the attempts whose cancel record has been read from the log: a claim counts only if it
//! precedes the cancel record.
void resolveAttempts(EntryControl &state, bool final)
{
    for (auto at = state.resolving_.begin(); at != state.resolving_.end();) {
        const auto current = at++;
        const ResolveAttempt &attempt = current->second.details_;
        if (!state.resolveLedger_->cancelledAttempts_.contains(attempt.attempt_))
            continue;
        const KeyState *key = keyOfAttempt(*state.resolveLedger_, attempt);
        if (key != nullptr && !key->outcome_ && !final)
            continue;
        AttemptResolution resolution {attempt.request_, attempt.attempt_, RunState::NotRun,
                                      std::nullopt};
        if (key != nullptr) {
            resolution.run_ = RunState::Unknown;
            resolution.outcome_ = key->outcome_;
        }
        emit(state, logEvent(LogLevel::Info,
                             LogLine("attempt-settled")
                                     .add("request", attempt.request_)
                                     .add("attempt", attempt.attempt_)
                                     .add("run", runStateName(resolution.run_))
                                     .add("outcome",
                                          key != nullptr && key->outcome_ ? "recorded" : "none")));
        emit(state, resolution);
        state.resolving_.erase(current);
    }
    if (state.resolving_.empty())
        state.resolveLedger_.reset();
}

void readClaims(EntryControl &state)
{
    if (state.resolving_.empty() || state.readingClaims_)
        return;
    const bool appended = std::any_of(state.resolving_.begin(), state.resolving_.end(),
                                      [](const auto &entry) { return entry.second.appended_; });
    if (!appended)
        return;
    if (!state.resolveLedger_) {
        LogOffset from = state.resolving_.begin()->second.details_.claimsOffset_;
        for (const auto &[attempt, resolving] : state.resolving_)
            from = std::min(from, resolving.details_.claimsOffset_);
        state.resolveLedger_.emplace();
        state.resolveLedger_->appliedOffset_ = from;
        state.ledgerStart_ = from;
    }
    state.readingClaims_ = true;
    emit(state, ReadClaims {{state.resolveLedger_->appliedOffset_.value_ + 1}});
}

void tickResolving(EntryControl &state, TimePoint now)
{
    for (auto &[attempt, resolving] : state.resolving_) {
        if (!resolving.appended_ && now - resolving.sentAt_ >= state.limits_.appendTimeout_)
            appendCancel(state, resolving, now);
    }
    std::erase_if(state.resolving_,
                  [&](const auto &entry) { return now >= entry.second.details_.deadline_; });
    if (state.resolving_.empty())
        state.resolveLedger_.reset();
    readClaims(state);
}

} // namespace detail

void onHeartbeat(EntryControl &state, const HeartbeatMessage &heartbeat, TimePoint now)
{
    const auto before = state.membership_.members_.find(heartbeat.endpoint_);
    const bool restarted = before != state.membership_.members_.end()
                           && before->second.heartbeat_.incarnation_ < heartbeat.incarnation_;
    if (restarted)
        detail::emit(state, AgentDown {before->second.heartbeat_.agent_});
    const auto change = applyHeartbeat(state.membership_, heartbeat, now);
    if (change)
        detail::publishMembershipChange(state, *change, "heartbeat");
    state.viewStale_ = true;
}

void onDigest(EntryControl &state, const DigestMessage &digest, TimePoint now)
{
    if (digest.instance_ == state.self_)
        return;
    state.digests_[digest.instance_] = {digest, now};
    mergeSuspects(state.suspects_, digest.suspects_, now);
    const bool known = std::find(state.peers_.begin(), state.peers_.end(), digest.entry_)
                       != state.peers_.end();
    if (!known)
        state.peers_.push_back(digest.entry_);
    if (digest.suspects_.empty())
        state.viewStale_ = true;
    else
        detail::emit(state, ViewChanged {});
}

void onConfigPage(EntryControl &state, const ConfigLogPage &page, TimePoint now)
{
    const LogOffset before = state.config_.appliedOffset_;
    for (LogEvent &event : applyConfigPage(state.config_, page, now))
        detail::emit(state, std::move(event));
    if (state.config_.appliedOffset_ != before)
        detail::configChanged(state);
    if (auto snapshot = takeDueSnapshot(state.config_, state.random_, now))
        detail::emit(state, AppendSnapshot {std::move(*snapshot)});
}

void onConfigState(EntryControl &state, const ConfigSnapshot &snapshot, TimePoint now)
{
    if (!applyPeerConfig(state.config_, snapshot, now))
        return;
    detail::emit(state,
                 logEvent(LogLevel::Info,
                          LogLine("config-from-peer").add("through", snapshot.throughOffset_)));
    detail::configChanged(state);
}

void onConfigFetch(EntryControl &state, const ConfigFetchMessage &fetch)
{
    if (fetch.appliedOffset_ >= state.config_.appliedOffset_)
        return;
    detail::emit(state,
                 SendMessage {fetch.replyTo_, ConfigStateMessage {snapshotOf(state.config_)}});
}

void onFailureReport(EntryControl &state, const ReportEndpointFailure &report, TimePoint now)
{
    const auto member = state.membership_.members_.find(report.endpoint_);
    if (member == state.membership_.members_.end())
        return;
    if (report.kind_ == FailureKind::Leaving) {
        const auto change = recordEndpointLeaving(state.membership_, report.endpoint_);
        if (change)
            detail::publishMembershipChange(state, *change, "traffic");
        return;
    }
    const EndpointDeath death {report.endpoint_, member->second.heartbeat_.domain_, now};
    recordEndpointDeath(state.suspects_, death);
    for (const Fingerprint fingerprint : report.inFlight_)
        recordSuspicion(state.suspects_, fingerprint, death);
    detail::sendDigests(state, now);
    detail::emit(state, ViewChanged {});
    const auto change = recordEndpointFailure(state.membership_, report.endpoint_, now);
    if (change)
        detail::publishMembershipChange(state, *change, "traffic");
}

void onResolveAttempt(EntryControl &state, const ResolveAttempt &attempt, TimePoint now)
{
    ResolvingAttempt &resolving = state.resolving_[attempt.attempt_];
    resolving.details_ = attempt;
    // The claim of this attempt may precede the offset at which the ledger starts: read again.
    if (state.resolveLedger_ && attempt.claimsOffset_ < state.ledgerStart_ && !state.readingClaims_)
        state.resolveLedger_.reset();
    detail::appendCancel(state, resolving, now);
}

void onCancelAppended(EntryControl &state, std::uint64_t append, bool ok, TimePoint now)
{
    for (auto &[attempt, resolving] : state.resolving_) {
        if (resolving.append_ != append)
            continue;
        resolving.appended_ = resolving.appended_ || ok;
        if (!ok)
            resolving.sentAt_ = now;
    }
    detail::readClaims(state);
}

void onClaimsRead(EntryControl &state, const std::optional<ClaimsPage> &page, TimePoint)
{
    state.readingClaims_ = false;
    if (!page || !state.resolveLedger_)
        return;
    const bool startsBeforeLedger
            = std::any_of(state.resolving_.begin(), state.resolving_.end(), [&](const auto &entry) {
                  return entry.second.details_.claimsOffset_ < state.ledgerStart_;
              });
    if (startsBeforeLedger) {
        state.resolveLedger_.reset();
        return;
    }
    for (const ClaimsPage::Record &record : page->records_)
        applyClaims(*state.resolveLedger_, record.offset_, record.time_, record.batch_);
    detail::resolveAttempts(state, true);
}

void onAgentUnreachable(EntryControl &state, const Address &agent, TimePoint now)
{
    for (const auto &[endpoint, member] : state.membership_.members_) {
        if (member.heartbeat_.agent_ != agent)
            continue;
        const auto change = recordEndpointFailure(state.membership_, endpoint, now);
        if (change)
            detail::publishMembershipChange(state, *change, "unreachable");
        return;
    }
}

void onInstanceList(EntryControl &state, const std::vector<InstanceId> &leaving,
                    const std::vector<Address> &entries, TimePoint)
{
    applyLeavingList(state.membership_, leaving);
    for (const Address &entry : entries) {
        if (std::find(state.peers_.begin(), state.peers_.end(), entry) == state.peers_.end())
            state.peers_.push_back(entry);
    }
    detail::emit(state, ViewChanged {});
}

void onQuarantineLifted(EntryControl &state, Fingerprint fingerprint, TimePoint now)
{
    liftQuarantine(state.suspects_, fingerprint, now);
    detail::sendDigests(state, now);
    detail::emit(state, ViewChanged {});
}

void onRequestCounts(EntryControl &state, std::unordered_map<OrganisationId, std::uint32_t> demand)
{
    state.ownDemand_ = std::move(demand);
}

void onTick(EntryControl &state, TimePoint now)
{
    for (const MembershipChange &change :
         tickMembership(state.membership_, state.limits_.membership_, now))
        detail::publishMembershipChange(state, change, "silent");
    std::erase_if(state.digests_, [&](const auto &entry) {
        return now - entry.second.lastSeen_ >= state.limits_.peerExpiresAfter_;
    });
    expireSuspects(state.suspects_, now);
    if (now >= state.digestAt_)
        detail::sendDigests(state, now);
    detail::fetchFromPeer(state, now);
    detail::tickResolving(state, now);
    if (std::exchange(state.viewStale_, false))
        detail::emit(state, ViewChanged {});
}

RoutingView viewOf(const EntryControl &state)
{
    RoutingView view
            = buildRoutingView(state.index_, state.config_, state.membership_, state.suspects_);
    for (const auto &[instance, peer] : state.digests_) {
        for (const DemandReport &demand : peer.digest_.demand_)
            view.peerDemand_[demand.organisation_] += demand.requestsPerSecond_;
    }
    return view;
}

bool isReady(const EntryControl &state)
{
    return state.config_.appliedOffset_.value_ > 0;
}

} // namespace gypsumcroft
