//! Claim ledger: tables of short logs, and a comparison with a naive replay of the whole log.
#include <algorithm>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "policy/claims.h"

using namespace gypsumcroft;

namespace {

constexpr KeyHash Key {1, 1};
constexpr Duration Window = std::chrono::hours(1);

Claim claim(std::uint64_t nonce, std::uint64_t attempt, KeyHash key = Key)
{
    return {key, {nonce}, {attempt}, {"agent"}, {7}, Window};
}

ClaimOutcome outcome(std::uint64_t nonce)
{
    return {Key, {nonce}, {200, "done"}};
}

ClaimRelease release(std::uint64_t nonce)
{
    return {Key, {nonce}};
}

AttemptCancel cancel(std::uint64_t attempt)
{
    return {Key, {attempt}};
}

struct LedgerCase
{
    const char *name_;
    ClaimBatch log_;
    //! Nonce of the claim that owns the key at the end; 0 for none.
    std::uint64_t owner_;
    bool hasOutcome_;
};

const LedgerCase LedgerCases[] = {
        {"first claim owns the key", {claim(1, 11), claim(2, 12)}, 1, false},
        {"outcome is recorded", {claim(1, 11), outcome(1)}, 1, true},
        {"outcome of a claim without the key is ignored",
         {claim(1, 11), claim(2, 12), outcome(2)},
         1,
         false},
        {"release frees the key", {claim(1, 11), release(1)}, 0, false},
        {"another may claim after a release", {claim(1, 11), release(1), claim(2, 12)}, 2, false},
        {"claim after its own release is ignored", {release(1), claim(1, 11)}, 0, false},
        {"next claim owns the key after an ignored claim",
         {release(1), claim(1, 11), claim(2, 12)},
         2,
         false},
        {"claim of a cancelled attempt is ignored", {cancel(11), claim(1, 11)}, 0, false},
        {"cancel after the claim changes nothing", {claim(1, 11), cancel(11)}, 1, false},
        {"cancel does not affect another attempt", {cancel(11), claim(2, 12)}, 2, false},
        {"repeated append is ignored", {claim(1, 11), release(1), claim(1, 11)}, 0, false},
        {"release after the outcome changes nothing",
         {claim(1, 11), outcome(1), release(1)},
         1,
         true},
        {"release of a claim without the key changes nothing",
         {claim(1, 11), claim(2, 12), release(2)},
         1,
         false},
        {"keys are independent", {claim(1, 11, {2, 2}), claim(2, 12)}, 2, false},
};

std::ostream &operator<<(std::ostream &out, const LedgerCase &test)
{
    return out << test.name_;
}

//! Evaluates the rule over the whole log: the key belongs to the first claim whose nonce was not
//! claimed or released before, whose attempt was not cancelled before, and that was not released
//! between its append and its outcome.
std::uint64_t naiveOwner(const std::vector<ClaimRecord> &log)
{
    std::uint64_t owner = 0;
    bool done = false;
    for (std::size_t at = 0; at < log.size(); ++at) {
        const auto before = [&](const auto &matches) {
            return std::any_of(log.begin(), log.begin() + static_cast<std::ptrdiff_t>(at), matches);
        };
        if (const auto *one = std::get_if<Claim>(&log[at])) {
            const bool ignored = before([&](const ClaimRecord &other) {
                const auto *earlier = std::get_if<Claim>(&other);
                const auto *freed = std::get_if<ClaimRelease>(&other);
                const auto *stopped = std::get_if<AttemptCancel>(&other);
                return (earlier != nullptr && earlier->nonce_ == one->nonce_)
                       || (freed != nullptr && freed->nonce_ == one->nonce_)
                       || (stopped != nullptr && stopped->attempt_ == one->attempt_);
            });
            if (owner == 0 && !ignored)
                owner = one->nonce_.value_;
        } else if (const auto *freed = std::get_if<ClaimRelease>(&log[at])) {
            if (owner == freed->nonce_.value_ && !done)
                owner = 0;
        } else if (const auto *ended = std::get_if<ClaimOutcome>(&log[at])) {
            done = done || owner == ended->nonce_.value_;
        }
    }
    return owner;
}

ClaimRecord recordOf(std::uint8_t kind, std::uint64_t nonce, std::uint64_t attempt)
{
    switch (kind % 5) {
    case 0:
        return release(nonce);
    case 1:
        return cancel(attempt);
    case 2:
        return outcome(nonce);
    default:
        return claim(nonce, attempt);
    }
}

} // namespace

BOOST_DATA_TEST_CASE(firstClaimInTheLogOwnsTheKey, LedgerCases)
{
    ClaimLedger ledger;
    std::uint64_t offset = 0;
    for (const ClaimRecord &record : sample.log_)
        applyClaims(ledger, {++offset}, {1000}, {record});
    const KeyState *key = findKey(ledger, Key);
    BOOST_TEST((key == nullptr ? 0 : key->nonce_.value_) == sample.owner_);
    BOOST_TEST((key != nullptr && key->outcome_.has_value()) == sample.hasOutcome_);
}

BOOST_DATA_TEST_CASE(batchesAreAppliedLikeSingleRecords, LedgerCases)
{
    ClaimLedger ledger;
    applyClaims(ledger, {1}, {1000}, sample.log_);
    const KeyState *key = findKey(ledger, Key);
    BOOST_TEST((key == nullptr ? 0 : key->nonce_.value_) == sample.owner_);
}

BOOST_AUTO_TEST_CASE(keysAndNoncesExpireByLogTime)
{
    ClaimLedger ledger;
    applyClaims(ledger, {1}, {1000}, {claim(1, 11), cancel(5), release(9)});
    constexpr std::int64_t Later = 1000 + 2 * 3600 * 1000;
    applyClaims(ledger, {2}, {Later}, {});
    BOOST_TEST(ledger.keys_.empty());
    BOOST_TEST(ledger.usedNonces_.empty());
    BOOST_TEST(ledger.cancelledAttempts_.empty());
    BOOST_TEST(ledger.expirations_.empty());
}

BOOST_AUTO_TEST_CASE(incrementalReplayAgreesWithTheWholeLog)
{
    const bool holds = rc::check("incremental replay agrees with a replay of the whole log", [] {
        const auto kinds = *rc::gen::container<std::vector<std::uint8_t>>(
                rc::gen::inRange<std::uint8_t>(0, 5));
        ClaimLedger ledger;
        std::vector<ClaimRecord> log;
        for (const std::uint8_t kind : kinds) {
            const auto nonce = *rc::gen::inRange<std::uint64_t>(1, 6);
            //! Each nonce belongs to one attempt, as in production.
            log.push_back(recordOf(kind, nonce, 10 + nonce));
            applyClaims(ledger, {log.size()}, {1000}, {log.back()});
            const KeyState *key = findKey(ledger, Key);
            RC_ASSERT((key == nullptr ? 0 : key->nonce_.value_) == naiveOwner(log));
        }
    });
    BOOST_TEST(holds);
}
