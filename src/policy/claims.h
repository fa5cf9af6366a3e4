//! The claim ledger. Every reader that replays the claims stream gets the same state.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/messages.h"
#include "core/units.h"

namespace gypsumcroft {

//! An agent's request to make the call of an idempotency key. Appended before the call is made.
struct Claim
{
    KeyHash key_;
    ClaimNonce nonce_;
    AttemptId attempt_;
    EndpointId endpoint_;
    //! Identifies the work of the call; reusing the key with another body is refused.
    Fingerprint fingerprint_;
    Duration idempotencyWindow_ {};
};

//! Outcome of a claim's call.
struct ClaimOutcome
{
    KeyHash key_;
    ClaimNonce nonce_;
    CallOutcome outcome_;
};

//! Gives a claim up: its call was not made and never will be. A claim that follows its own release
//! in the stream is ignored.
struct ClaimRelease
{
    KeyHash key_;
    ClaimNonce nonce_;
};

//! Cancels an attempt: its claims that follow this record in the stream are ignored.
struct AttemptCancel
{
    KeyHash key_;
    AttemptId attempt_;
};

using ClaimRecord = std::variant<Claim, ClaimOutcome, ClaimRelease, AttemptCancel>;
//! Records of one append, in order.
using ClaimBatch = std::vector<ClaimRecord>;

//! The claim that owns a key, which is the first one neither ignored nor released, and its outcome
//! if known.
struct KeyState
{
    ClaimNonce nonce_;
    AttemptId attempt_;
    EndpointId endpoint_;
    Fingerprint fingerprint_;
    LogOffset offset_;
    LogTime expires_;
    std::optional<CallOutcome> outcome_;
};

//! State after applying the claims stream in order.
struct ClaimLedger
{
    LogOffset appliedOffset_;
    LogTime logTime_;
    std::unordered_map<KeyHash, KeyState> keys_;
    //! Nonces already claimed or released; a further claim with one of them is ignored.
    std::unordered_set<ClaimNonce> usedNonces_;
    std::unordered_set<AttemptId> cancelledAttempts_;
    //! Entries to remove, by log time.
    std::multimap<LogTime, std::variant<KeyHash, ClaimNonce, AttemptId>> expirations_;
};

//! Applies the batch at an offset. Batches up to the last applied offset are skipped.
void applyClaims(ClaimLedger &ledger, LogOffset offset, LogTime time, const ClaimBatch &batch);

//! Returns the state of a key, or null.
const KeyState *findKey(const ClaimLedger &ledger, const KeyHash &key);

//! True if the claim with this nonce owns the key.
bool ownsKey(const ClaimLedger &ledger, const KeyHash &key, ClaimNonce nonce);

} // namespace gypsumcroft
