//! Claims controller: writes claims ahead of calls, many in one append, and reads them back.
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

//! Traffic's wish to make a call at most once.
struct ClaimWish
{
    RequestId request_;
    AttemptId attempt_;
    IdempotencyScope scope_;
    Fingerprint fingerprint_;
    TimePoint deadline_;
};

enum class ClaimDecision : std::uint8_t {
    //! The call may be made, once.
    Granted,
    //! It was made before; here is its outcome.
    Recorded,
    //! The key was used with another body.
    KeyReused,
    //! Another attempt holds the key, and its outcome is not known.
    HeldElsewhere,
    //! The attempt was cancelled, or the log did not take the claim in time; never to be called.
    NotClaimed,
};

struct ClaimVerdict
{
    AttemptId attempt_;
    ClaimDecision decision_ = ClaimDecision::NotClaimed;
    ClaimNonce nonce_;
    std::optional<CallOutcome> outcome_;
    std::string reason_;
};

//! Append these records as one record of the claims stream.
struct AppendClaims
{
    std::uint64_t append_ = 0;
    ClaimBatch batch_;
};

using ClaimsEffect = std::variant<ClaimVerdict, AppendClaims, LogEvent>;

struct ClaimsLimits
{
    std::size_t maxBatch_ = 256;
    std::size_t maxAppendsInFlight_ = 1;
    //! An append without an answer for this long is sent again; repeats count once.
    Duration appendTimeout_ = std::chrono::milliseconds(1500);
    Duration retryDelay_ = std::chrono::milliseconds(200);
    std::size_t maxOutgoing_ = 20000;
};

//! One read of the claims stream.
struct ClaimsPage
{
    LogOffset first_;
    LogOffset next_;
    LogTime now_;
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
    ClaimWish wish_;
    bool appended_ = false;
};

//! A wish that waits for the outcome of another attempt with the same key.
struct WaitingWish
{
    ClaimWish wish_;
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
    //! True once the stream was read to its end.
    bool caughtUp_ = false;
    std::deque<ClaimRecord> outgoing_;
    std::map<std::uint64_t, InFlightAppend> inFlight_;
    std::map<ClaimNonce, PendingClaim> pending_;
    std::vector<WaitingWish> waiting_;
    std::uint64_t nextAppend_ = 1;
    TimePoint appendAfter_;
    std::vector<ClaimsEffect> effects_;
};

void wantClaim(ClaimsState &state, const ClaimWish &wish, TimePoint now);

//! The call was made and this is its outcome.
void finishClaim(ClaimsState &state, const KeyHash &key, ClaimNonce nonce, CallOutcome outcome,
                 TimePoint now);

//! The call was certainly not made and never will be.
void releaseClaim(ClaimsState &state, const KeyHash &key, ClaimNonce nonce, TimePoint now);

//! The log answered an append, or it failed; a failed one may still take effect.
void onClaimsAppended(ClaimsState &state, std::uint64_t append, bool ok, TimePoint now);

//! Folds a page of the stream and decides the claims that it carries back.
void applyClaimsPage(ClaimsState &state, const ClaimsPage &page, TimePoint now);

//! Deadlines, lost appends and the next batch.
void tickClaims(ClaimsState &state, TimePoint now);

//! True when nothing waits for the log.
bool claimsIdle(const ClaimsState &state);

} // namespace gypsumcroft
