//! The ledger of claims: a fold of the claims stream that every reader computes alike.
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

//! An agent's wish to make the call of a key. Written ahead of the call.
struct Claim
{
    KeyHash key_;
    ClaimNonce nonce_;
    AttemptId attempt_;
    EndpointId endpoint_;
    //! What the call carries; a key used again with another body is refused.
    Fingerprint fingerprint_;
    Duration repeatWindow_ {};
};

//! How the call of a claim ended.
struct ClaimOutcome
{
    KeyHash key_;
    ClaimNonce nonce_;
    CallOutcome outcome_;
};

//! The claim's call was certainly not made and never will be; void on arrival if it comes first.
struct ClaimRelease
{
    KeyHash key_;
    ClaimNonce nonce_;
};

//! No claim of this attempt that stands after this record counts.
struct AttemptCancel
{
    KeyHash key_;
    AttemptId attempt_;
};

using ClaimRecord = std::variant<Claim, ClaimOutcome, ClaimRelease, AttemptCancel>;
//! Records that one append carries, in order.
using ClaimBatch = std::vector<ClaimRecord>;

//! The first claim on a key that was neither void nor released, with its outcome if known.
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

//! State of the fold.
struct ClaimLedger
{
    LogOffset through_;
    LogTime time_;
    std::unordered_map<KeyHash, KeyState> keys_;
    //! Nonces that no longer count: released, or seen once already.
    std::unordered_set<ClaimNonce> spentNonces_;
    std::unordered_set<AttemptId> cancelledAttempts_;
    //! What to forget, by the log's time.
    std::multimap<LogTime, std::variant<KeyHash, ClaimNonce, AttemptId>> forget_;
};

//! Applies the batch at an offset; batches at or below through_ are passed over.
void applyClaims(ClaimLedger &ledger, LogOffset offset, LogTime time, const ClaimBatch &batch);

//! The state of a key, or null.
const KeyState *findKey(const ClaimLedger &ledger, const KeyHash &key);

//! True when the claim with this nonce is the one that counts for its key.
bool holdsKey(const ClaimLedger &ledger, const KeyHash &key, ClaimNonce nonce);

} // namespace gypsumcroft
