#include "policy/claims.h"

namespace gypsumcroft {

namespace detail {

//! How long a used nonce or a cancelled attempt is remembered. Must be far longer than the time
//! after which an append that its sender gave up can still reach the log.
constexpr std::int64_t UsedNonceRetentionMs = 3600L * 1000;

void markNonceUsed(ClaimLedger &ledger, ClaimNonce nonce)
{
    if (!ledger.usedNonces_.insert(nonce).second)
        return;
    ledger.expirations_.emplace(LogTime {ledger.logTime_.value_ + UsedNonceRetentionMs}, nonce);
}

void apply(ClaimLedger &ledger, LogOffset offset, const Claim &claim)
{
    const bool counts = !ledger.usedNonces_.contains(claim.nonce_)
                        && !ledger.cancelledAttempts_.contains(claim.attempt_)
                        && !ledger.keys_.contains(claim.key_);
    markNonceUsed(ledger, claim.nonce_);
    if (!counts)
        return;
    const auto window
            = std::chrono::duration_cast<std::chrono::milliseconds>(claim.idempotencyWindow_)
                      .count();
    const LogTime expires {ledger.logTime_.value_ + window};
    ledger.keys_.emplace(claim.key_, KeyState {claim.nonce_, claim.attempt_, claim.endpoint_,
                                               claim.fingerprint_, offset, expires, std::nullopt});
    ledger.expirations_.emplace(expires, claim.key_);
}

void apply(ClaimLedger &ledger, LogOffset, const ClaimOutcome &outcome)
{
    const auto key = ledger.keys_.find(outcome.key_);
    if (key != ledger.keys_.end() && key->second.nonce_ == outcome.nonce_)
        key->second.outcome_ = outcome.outcome_;
}

void apply(ClaimLedger &ledger, LogOffset, const ClaimRelease &release)
{
    markNonceUsed(ledger, release.nonce_);
    const auto key = ledger.keys_.find(release.key_);
    if (key != ledger.keys_.end() && key->second.nonce_ == release.nonce_ && !key->second.outcome_)
        ledger.keys_.erase(key);
}

void apply(ClaimLedger &ledger, LogOffset, const AttemptCancel &cancel)
{
    if (!ledger.cancelledAttempts_.insert(cancel.attempt_).second)
        return;
    ledger.expirations_.emplace(LogTime {ledger.logTime_.value_ + UsedNonceRetentionMs},
                                cancel.attempt_);
}

void removeEntry(ClaimLedger &ledger, const KeyHash &key)
{
    const auto found = ledger.keys_.find(key);
    if (found != ledger.keys_.end() && found->second.expires_ <= ledger.logTime_)
        ledger.keys_.erase(found);
}

void removeEntry(ClaimLedger &ledger, const ClaimNonce &nonce)
{
    ledger.usedNonces_.erase(nonce);
}

void removeEntry(ClaimLedger &ledger, const AttemptId &attempt)
{
    ledger.cancelledAttempts_.erase(attempt);
}

//! Entries expire by log time instead of local time, so that all readers have the same state.
void removeExpiredEntries(ClaimLedger &ledger)
{
    while (!ledger.expirations_.empty() && ledger.expirations_.begin()->first <= ledger.logTime_) {
        const auto what = ledger.expirations_.begin()->second;
        ledger.expirations_.erase(ledger.expirations_.begin());
        std::visit([&](const auto &id) { removeEntry(ledger, id); }, what);
    }
}

} // namespace detail

void applyClaims(ClaimLedger &ledger, LogOffset offset, LogTime time, const ClaimBatch &batch)
{
    if (offset <= ledger.appliedOffset_)
        return;
    ledger.appliedOffset_ = offset;
    ledger.logTime_ = std::max(ledger.logTime_, time);
    detail::removeExpiredEntries(ledger);
    for (const ClaimRecord &record : batch)
        std::visit([&](const auto &value) { detail::apply(ledger, offset, value); }, record);
}

const KeyState *findKey(const ClaimLedger &ledger, const KeyHash &key)
{
    const auto found = ledger.keys_.find(key);
    return found == ledger.keys_.end() ? nullptr : &found->second;
}

bool ownsKey(const ClaimLedger &ledger, const KeyHash &key, ClaimNonce nonce)
{
    const KeyState *state = findKey(ledger, key);
    return state != nullptr && state->nonce_ == nonce;
}

} // namespace gypsumcroft
