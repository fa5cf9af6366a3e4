#include "controllers/claims.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {

void decide(ClaimsState &state, ClaimResult result, const ClaimRequest &request)
{
    static constexpr std::string_view Names[]
            = {"granted", "recorded", "key-reused", "held-elsewhere", "not-claimed"};
    LogLine line("claim");
    line.add("request", request.request_).add("attempt", request.attempt_);
    line.add("decision", Names[static_cast<std::size_t>(result.decision_)]);
    if (!result.reason_.empty())
        line.add("reason", result.reason_);
    state.effects_.push_back(logEvent(LogLevel::Info, line));
    state.effects_.push_back(std::move(result));
}

//! Decides a request whose key another claim owns. Returns false if the outcome of that claim is
//! not known yet, so that the request has to wait.
bool decideOwnedKey(ClaimsState &state, const ClaimRequest &request, const KeyState &key)
{
    ClaimResult result;
    result.attempt_ = request.attempt_;
    if (key.fingerprint_ != request.fingerprint_) {
        result.decision_ = ClaimDecision::KeyReused;
        result.reason_ = "the idempotency key was used with another body";
    } else if (key.outcome_) {
        result.decision_ = ClaimDecision::Recorded;
        result.outcome_ = key.outcome_;
    } else {
        return false;
    }
    decide(state, std::move(result), request);
    return true;
}

void appendBatches(ClaimsState &state, TimePoint now)
{
    while (!state.outgoing_.empty() && state.inFlight_.size() < state.limits_.maxAppendsInFlight_
           && now >= state.nextAppendAt_) {
        const std::size_t count = std::min(state.outgoing_.size(), state.limits_.maxBatch_);
        const auto end = state.outgoing_.begin() + static_cast<std::ptrdiff_t>(count);
        ClaimBatch batch(state.outgoing_.begin(), end);
        state.outgoing_.erase(state.outgoing_.begin(), end);
        for (const ClaimRecord &record : batch) {
            const auto *claim = std::get_if<Claim>(&record);
            const auto pending
                    = claim == nullptr ? state.pending_.end() : state.pending_.find(claim->nonce_);
            if (pending != state.pending_.end())
                pending->second.appended_ = true;
        }
        const std::uint64_t id = state.nextAppendId_++;
        state.inFlight_.emplace(id, InFlightAppend {batch, now});
        state.effects_.push_back(AppendClaims {id, std::move(batch)});
    }
}

void enqueueRecord(ClaimsState &state, ClaimRecord record, TimePoint now)
{
    state.outgoing_.push_back(std::move(record));
    appendBatches(state, now);
}

//! Identifies a record among all records of its kind.
std::uint64_t recordIdentity(const ClaimRecord &record)
{
    if (const auto *claim = std::get_if<Claim>(&record))
        return claim->nonce_.value_;
    if (const auto *outcome = std::get_if<ClaimOutcome>(&record))
        return outcome->nonce_.value_;
    if (const auto *release = std::get_if<ClaimRelease>(&record))
        return release->nonce_.value_;
    return std::get<AttemptCancel>(record).attempt_.value_;
}

bool sameBatch(const ClaimBatch &left, const ClaimBatch &right)
{
    return left.size() == right.size()
           && std::equal(left.begin(), left.end(), right.begin(),
                         [](const ClaimRecord &one, const ClaimRecord &other) {
                             return one.index() == other.index()
                                    && recordIdentity(one) == recordIdentity(other);
                         });
}

//! Removes the in-flight append of a batch that was read back: it has taken effect, whether or not
//! the log answered it.
void completeAppends(ClaimsState &state, const ClaimBatch &batch)
{
    if (batch.empty())
        return;
    std::erase_if(state.inFlight_,
                  [&](const auto &entry) { return sameBatch(entry.second.batch_, batch); });
}

//! Puts the records of a failed append back at the front of the queue, except claims that have
//! expired since.
void requeue(ClaimsState &state, const ClaimBatch &batch)
{
    for (auto record = batch.rbegin(); record != batch.rend(); ++record) {
        const auto *claim = std::get_if<Claim>(&*record);
        if (claim != nullptr && !state.pending_.contains(claim->nonce_))
            continue;
        state.outgoing_.push_front(*record);
    }
}

Claim makeClaim(const ClaimsState &state, ClaimNonce nonce, const ClaimRequest &request)
{
    return {request.scope_.key_,  nonce,
            request.attempt_,     state.self_,
            request.fingerprint_, request.scope_.idempotencyWindow_};
}

//! Decides pending claims that were read back from the log, whether they own their key or another
//! claim does.
void decidePending(ClaimsState &state)
{
    for (auto at = state.pending_.begin(); at != state.pending_.end();) {
        const auto current = at++;
        const ClaimNonce nonce = current->first;
        const ClaimRequest request = current->second.claimRequest_;
        const bool spent = state.ledger_.usedNonces_.contains(nonce);
        if (ownsKey(state.ledger_, request.scope_.key_, nonce)) {
            state.pending_.erase(current);
            decide(state, {request.attempt_, ClaimDecision::Granted, nonce, std::nullopt, {}},
                   request);
            continue;
        }
        if (!spent)
            continue;
        state.pending_.erase(current);
        const KeyState *key = findKey(state.ledger_, request.scope_.key_);
        if (key == nullptr)
            decide(state,
                   {request.attempt_, ClaimDecision::NotClaimed, nonce, std::nullopt,
                    "the attempt was cancelled"},
                   request);
        else if (!decideOwnedKey(state, request, *key))
            state.waiting_.push_back({request});
    }
}

//! Decides requests that wait for another attempt, if its outcome is known or its claim was
//! released by now.
void decideWaiting(ClaimsState &state, TimePoint now)
{
    std::vector<WaitingClaimRequest> waiting = std::move(state.waiting_);
    state.waiting_.clear();
    for (const WaitingClaimRequest &entry : waiting) {
        const KeyState *key = findKey(state.ledger_, entry.claimRequest_.scope_.key_);
        if (key == nullptr) {
            requestClaim(state, entry.claimRequest_, now);
            continue;
        }
        if (!decideOwnedKey(state, entry.claimRequest_, *key))
            state.waiting_.push_back(entry);
    }
}

void expirePending(ClaimsState &state, TimePoint now)
{
    for (auto at = state.pending_.begin(); at != state.pending_.end();) {
        const auto current = at++;
        if (current->second.claimRequest_.deadline_ > now)
            continue;
        const PendingClaim pending = current->second;
        const ClaimNonce nonce = current->first;
        state.pending_.erase(current);
        std::erase_if(state.outgoing_, [&](const ClaimRecord &record) {
            const auto *claim = std::get_if<Claim>(&record);
            return claim != nullptr && claim->nonce_ == nonce;
        });
        if (pending.appended_)
            enqueueRecord(state, ClaimRelease {pending.claimRequest_.scope_.key_, nonce}, now);
        decide(state,
               {pending.claimRequest_.attempt_, ClaimDecision::NotClaimed, nonce, std::nullopt,
                "the log did not take the claim in time"},
               pending.claimRequest_);
    }
}

void expireWaiting(ClaimsState &state, TimePoint now)
{
    std::vector<WaitingClaimRequest> waiting = std::move(state.waiting_);
    state.waiting_.clear();
    for (const WaitingClaimRequest &entry : waiting) {
        if (entry.claimRequest_.deadline_ > now) {
            state.waiting_.push_back(entry);
            continue;
        }
        decide(state,
               {entry.claimRequest_.attempt_,
                ClaimDecision::HeldElsewhere,
                {},
                std::nullopt,
                "another attempt holds the key and its outcome is not known"},
               entry.claimRequest_);
    }
}

void retryLostAppends(ClaimsState &state, TimePoint now)
{
    for (auto at = state.inFlight_.begin(); at != state.inFlight_.end();) {
        const auto current = at++;
        if (now - current->second.sentAt_ < state.limits_.appendTimeout_)
            continue;
        requeue(state, current->second.batch_);
        state.inFlight_.erase(current);
    }
}

} // namespace detail

void requestClaim(ClaimsState &state, const ClaimRequest &request, TimePoint now)
{
    const KeyState *key = findKey(state.ledger_, request.scope_.key_);
    if (key != nullptr) {
        if (!detail::decideOwnedKey(state, request, *key))
            state.waiting_.push_back({request});
        return;
    }
    if (state.outgoing_.size() >= state.limits_.maxOutgoing_) {
        detail::decide(state,
                       {request.attempt_,
                        ClaimDecision::NotClaimed,
                        {},
                        std::nullopt,
                        "too many records wait for the log"},
                       request);
        return;
    }
    const ClaimNonce nonce {nextRandom(state.random_)};
    state.pending_.emplace(nonce, PendingClaim {request, false});
    detail::enqueueRecord(state, detail::makeClaim(state, nonce, request), now);
}

void finishClaim(ClaimsState &state, const KeyHash &key, ClaimNonce nonce, CallOutcome outcome,
                 TimePoint now)
{
    detail::enqueueRecord(state, ClaimOutcome {key, nonce, std::move(outcome)}, now);
}

void releaseClaim(ClaimsState &state, const KeyHash &key, ClaimNonce nonce, TimePoint now)
{
    detail::enqueueRecord(state, ClaimRelease {key, nonce}, now);
}

void onClaimsAppended(ClaimsState &state, std::uint64_t append, bool ok, TimePoint now)
{
    const auto found = state.inFlight_.find(append);
    if (found == state.inFlight_.end())
        return;
    if (!ok) {
        detail::requeue(state, found->second.batch_);
        state.nextAppendAt_ = now + state.limits_.retryDelay_;
    }
    state.inFlight_.erase(found);
    detail::appendBatches(state, now);
}

void applyClaimsPage(ClaimsState &state, const ClaimsPage &page, TimePoint now)
{
    if (page.firstOffset_.value_ > state.ledger_.appliedOffset_.value_ + 1
        && state.ledger_.appliedOffset_.value_ > 0)
        state.effects_.push_back(
                logEvent(LogLevel::Warning, LogLine("claims-gap")
                                                    .add("through", state.ledger_.appliedOffset_)
                                                    .add("first", page.firstOffset_)));
    for (const ClaimsPage::Record &record : page.records_) {
        applyClaims(state.ledger_, record.offset_, record.time_, record.batch_);
        detail::completeAppends(state, record.batch_);
    }
    if (state.ledger_.appliedOffset_.value_ + 1 >= page.nextOffset_.value_ || page.records_.empty())
        state.caughtUp_ = true;
    if (page.records_.empty())
        return;
    detail::decidePending(state);
    detail::decideWaiting(state, now);
    detail::appendBatches(state, now);
}

void tickClaims(ClaimsState &state, TimePoint now)
{
    detail::expirePending(state, now);
    detail::expireWaiting(state, now);
    detail::retryLostAppends(state, now);
    detail::appendBatches(state, now);
}

bool claimsIdle(const ClaimsState &state)
{
    return state.outgoing_.empty() && state.inFlight_.empty() && state.pending_.empty()
           && state.waiting_.empty();
}

} // namespace gypsumcroft
