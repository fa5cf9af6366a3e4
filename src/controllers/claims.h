//! Claims controller: appends a claim to the log before each at-most-once call, many claims in one
//! append, and decides each claim once it has been read back.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/logline.h"
#include "core/messages.h"
#include "core/random.h"
#include "policy/claims.h"

namespace gypsumcroft {

//! A request from the traffic thread to make a call at most once.
struct ClaimRequest
{
    RequestId request_;
    AttemptId attempt_;
    IdempotencyScope scope_;
    Fingerprint fingerprint_;
    TimePoint deadline_;
};

enum class ClaimDecision : std::uint8_t {
    //! This attempt owns the key and may make the call once.
    Granted,
    //! The call was made before; the recorded outcome is attached.
    Recorded,
    //! The idempotency key was already used with a different request body.
    KeyReused,
    //! Another attempt owns the key and its outcome was not known before the deadline.
    HeldElsewhere,
    //! The attempt was cancelled, or the log did not accept the claim in time. The call must not be
    //! made.
    NotClaimed,
};

struct ClaimResult
{
    AttemptId attempt_;
    ClaimDecision decision_ = ClaimDecision::NotClaimed;
    ClaimNonce nonce_;
    std::optional<CallOutcome> outcome_;
    std::string reason_;
};

//! Effect: append the batch as one record of the claims stream.
struct AppendClaims
{
    std::uint64_t appendId_ = 0;
    ClaimBatch batch_;
};

using ClaimsEffect = std::variant<ClaimResult, AppendClaims, LogEvent>;

struct ClaimsLimits
{
    std::size_t maxBatch_ = 256;
    std::size_t maxAppendsInFlight_ = 1;
    //! Time without a response after which an append is retried; duplicate records are ignored.
    Duration appendTimeout_ = std::chrono::milliseconds(1500);
    Duration retryDelay_ = std::chrono::milliseconds(200);
    std::size_t maxOutgoing_ = 20000;
};

//! Result of one read of the claims stream.
struct ClaimsPage
{
    //! Oldest offset that the log still has, and the offset of the next append.
    LogOffset firstOffset_;
    LogOffset nextOffset_;
    LogTime logTime_;
    struct Record
    {
        LogOffset offset_;
        LogTime time_;
        ClaimBatch batch_;
    };
    std::vector<Record> records_;
};

struct PendingClaim
{
    ClaimRequest claimRequest_;
    bool appended_ = false;
};

//! A request that waits for the outcome of another attempt with the same key.
struct WaitingClaimRequest
{
    ClaimRequest claimRequest_;
};

struct InFlightAppend
{
    ClaimBatch batch_;
    TimePoint sentAt_;
};

struct ClaimsState
{
    EndpointId self_;
    ClaimsLimits limits_;
    Random random_;
    ClaimLedger ledger_;
    //! True once the stream has been read to its end.
    bool caughtUp_ = false;
    std::deque<ClaimRecord> outgoing_;
    std::map<std::uint64_t, InFlightAppend> inFlight_;
    std::map<ClaimNonce, PendingClaim> pending_;
    std::vector<WaitingClaimRequest> waiting_;
    std::uint64_t nextAppendId_ = 1;
    TimePoint nextAppendAt_;
    std::vector<ClaimsEffect> effects_;
};

void requestClaim(ClaimsState &state, const ClaimRequest &request, TimePoint now);

//! Records the outcome of a call that was made.
void finishClaim(ClaimsState &state, const KeyHash &key, ClaimNonce nonce, CallOutcome outcome,
                 TimePoint now);

//! Releases a claim whose call was not made and never will be.
void releaseClaim(ClaimsState &state, const KeyHash &key, ClaimNonce nonce, TimePoint now);

//! Handles the result of an append. An append that failed may still take effect later.
void onClaimsAppended(ClaimsState &state, std::uint64_t append, bool ok, TimePoint now);

//! Applies a page of the stream to the ledger and decides the pending claims that it contains.
void applyClaimsPage(ClaimsState &state, const ClaimsPage &page, TimePoint now);

//! Expires requests past their deadline, retries lost appends and sends the next batch.
void tickClaims(ClaimsState &state, TimePoint now);

//! True when no record or request is waiting for the log.
bool claimsIdle(const ClaimsState &state);

} // namespace gypsumcroft
