//! Fair queue: shares, minimum shares, removal, and a comparison with a naive queue.
#include <list>
#include <map>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "policy/fairqueue.h"

using namespace gypsumcroft;

namespace {

const CanDispatch AnyRequest = [](const QueuedRequest &) { return true; };

QueuedRequest request(int number, const std::string &organisation, Rank rank = Rank::Standard,
                      std::int64_t work = 100, std::uint32_t weight = 1,
                      const std::string &caller = "c")
{
    return {{"r" + std::to_string(number)},         {organisation}, {caller}, rank, {work}, weight,
            TimePoint(std::chrono::seconds(number))};
}

struct ShareCase
{
    const char *name_;
    std::int64_t smallWork_;
    std::int64_t largeWork_;
    std::uint32_t smallWeight_;
    //! Minimum share of the served work that "small" gets while both organisations have requests.
    double minShare_;
};

const ShareCase ShareCases[] = {
        {"equal work", 100, 100, 1, 0.45},
        {"other organisation has large requests", 100, 900, 1, 0.45},
        {"organisation has large requests itself", 900, 100, 1, 0.45},
        {"double weight", 100, 100, 2, 0.60},
};

std::ostream &operator<<(std::ostream &out, const ShareCase &test)
{
    return out << test.name_;
}

//! A queue with the same rules that has a single list and searches all of it each time.
struct NaiveQueue
{
    std::list<QueuedRequest> waiting_;
    //! Organisations in round-robin order, per rank, with their deficit and whether they already
    //! got the quantum of this round.
    struct Turn
    {
        OrganisationId organisation_;
        std::int64_t deficit_ = 0;
        bool quantumGranted_ = false;
        std::vector<CallerId> callers_;
    };
    std::map<Rank, std::list<Turn>> turns_;

    void push(const QueuedRequest &added)
    {
        waiting_.push_back(added);
        auto &turns = turns_[added.rank_];
        auto turn = std::find_if(turns.begin(), turns.end(), [&](const Turn &other) {
            return other.organisation_ == added.organisation_;
        });
        if (turn == turns.end())
            turn = turns.insert(turns.end(), Turn {added.organisation_, 0, false, {}});
        if (std::find(turn->callers_.begin(), turn->callers_.end(), added.caller_)
            == turn->callers_.end())
            turn->callers_.push_back(added.caller_);
    }

    std::list<QueuedRequest>::iterator head(Rank rank, const Turn &turn)
    {
        return std::find_if(waiting_.begin(), waiting_.end(), [&](const QueuedRequest &other) {
            return other.rank_ == rank && other.organisation_ == turn.organisation_
                   && other.caller_ == turn.callers_.front();
        });
    }

    QueuedRequest take(Rank rank, std::list<Turn>::iterator turn)
    {
        const auto at = head(rank, *turn);
        QueuedRequest taken = *at;
        waiting_.erase(at);
        turn->deficit_ -= taken.work_.value_;
        const CallerId caller = turn->callers_.front();
        turn->callers_.erase(turn->callers_.begin());
        const bool more = std::any_of(waiting_.begin(), waiting_.end(), [&](const auto &other) {
            return other.rank_ == rank && other.organisation_ == turn->organisation_
                   && other.caller_ == caller;
        });
        if (more)
            turn->callers_.push_back(caller);
        if (turn->callers_.empty())
            turns_[rank].erase(turn);
        return taken;
    }

    std::optional<QueuedRequest> pop()
    {
        constexpr std::int64_t Quantum = 512;
        for (const Rank rank : AllRanks) {
            auto &turns = turns_[rank];
            while (!turns.empty()) {
                const auto turn = turns.begin();
                const auto at = head(rank, *turn);
                if (!turn->quantumGranted_) {
                    turn->quantumGranted_ = true;
                    turn->deficit_ += Quantum * at->weight_;
                }
                if (turn->deficit_ >= at->work_.value_)
                    return take(rank, turn);
                turn->quantumGranted_ = false;
                turns.splice(turns.end(), turns, turn);
            }
        }
        return std::nullopt;
    }
};

} // namespace

BOOST_DATA_TEST_CASE(organisationsShareByWeight, ShareCases)
{
    FairQueue queue;
    for (int i = 0; i < 400; ++i) {
        pushRequest(queue,
                    request(i, "small", Rank::Standard, sample.smallWork_, sample.smallWeight_));
        pushRequest(queue, request(1000 + i, "large", Rank::Standard, sample.largeWork_));
    }
    double small = 0;
    double total = 0;
    for (int i = 0; i < 300; ++i) {
        const auto next = popRequest(queue, AnyRequest);
        BOOST_REQUIRE(next.has_value());
        const auto work = static_cast<double>(next->work_.value_);
        total += work;
        small += next->organisation_.value_ == "small" ? work : 0;
    }
    BOOST_TEST(small / total >= sample.minShare_);
}

BOOST_AUTO_TEST_CASE(urgentGoesFirstButMinSharesHold)
{
    FairQueue queue;
    queue.minShares_ = {PerMille {0}, PerMille {200}, PerMille {100}};
    for (int i = 0; i < 2000; ++i) {
        for (const Rank rank : AllRanks)
            pushRequest(queue, request(i, "o", rank));
    }
    std::array<int, RankCount> served {};
    for (int i = 0; i < 1000; ++i)
        ++served[static_cast<std::size_t>(popRequest(queue, AnyRequest)->rank_)];
    BOOST_TEST(served[0] >= 650);
    BOOST_TEST(served[1] >= 190);
    BOOST_TEST(served[2] >= 95);
}

BOOST_AUTO_TEST_CASE(unusedMinShareGoesToOtherRanks)
{
    FairQueue queue;
    queue.minShares_ = {PerMille {0}, PerMille {500}, PerMille {400}};
    for (int i = 0; i < 100; ++i)
        pushRequest(queue, request(i, "o", Rank::Urgent));
    for (int i = 0; i < 100; ++i)
        BOOST_TEST((popRequest(queue, AnyRequest)->rank_ == Rank::Urgent));
}

BOOST_AUTO_TEST_CASE(callersOfOneOrganisationTakeTurns)
{
    FairQueue queue;
    for (int i = 0; i < 50; ++i)
        pushRequest(queue, request(i, "o", Rank::Standard, 10, 1, "loud"));
    pushRequest(queue, request(99, "o", Rank::Standard, 10, 1, "quiet"));
    popRequest(queue, AnyRequest);
    BOOST_TEST(popRequest(queue, AnyRequest)->caller_.value_ == "quiet");
}

BOOST_AUTO_TEST_CASE(blockedRequestsDoNotBlockOthers)
{
    FairQueue queue;
    pushRequest(queue, request(1, "blocked"));
    pushRequest(queue, request(2, "free"));
    const auto next = popRequest(queue, [](const QueuedRequest &candidate) {
        return candidate.organisation_.value_ == "free";
    });
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->request_.value_ == "r2");
    BOOST_TEST(!popRequest(queue, [](const QueuedRequest &) { return false; }).has_value());
    BOOST_TEST(queue.size_ == 1U);
}

BOOST_AUTO_TEST_CASE(evictionTakesFromTheLowestRankAndTheLongestOrganisation)
{
    FairQueue queue;
    for (int i = 0; i < 3; ++i)
        pushRequest(queue, request(i, "long", Rank::Background));
    pushRequest(queue, request(9, "short", Rank::Background));
    pushRequest(queue, request(10, "long", Rank::Urgent));
    BOOST_TEST(evictRequest(queue, Rank::Urgent)->request_.value_ == "r2");
    BOOST_TEST(evictRequest(queue, Rank::Urgent)->request_.value_ == "r1");
    FairQueue urgentOnly;
    pushRequest(urgentOnly, request(1, "o", Rank::Urgent));
    BOOST_TEST(!evictRequest(urgentOnly, Rank::Background).has_value());
}

BOOST_AUTO_TEST_CASE(removalUpdatesTheCounts)
{
    FairQueue queue;
    for (int i = 0; i < 20; ++i)
        pushRequest(queue, request(i, i % 2 == 0 ? "a" : "b", AllRanks[i % 3], 100, 1,
                                   "c" + std::to_string(i % 4)));
    BOOST_TEST(removeRequest(queue, request(4, "a", AllRanks[4 % 3])));
    BOOST_TEST(!removeRequest(queue, request(4, "a", AllRanks[4 % 3])));
    BOOST_TEST(removeExpired(queue, TimePoint(std::chrono::seconds(9))).size() == 9U);
    BOOST_TEST(queue.size_ == 10U);
    std::size_t left = 0;
    while (popRequest(queue, AnyRequest))
        ++left;
    BOOST_TEST(left == 10U);
    BOOST_TEST(queue.size_ == 0U);
    for (const auto &rank : queue.ranks_)
        BOOST_TEST((rank.work_ == 0 && rank.organisations_.empty()));
}

BOOST_AUTO_TEST_CASE(agreesWithTheNaiveQueue)
{
    const bool holds = rc::check("fair queue agrees with the naive one", [] {
        FairQueue queue;
        NaiveQueue naive;
        const int steps = *rc::gen::inRange(1, 120);
        for (int i = 0; i < steps; ++i) {
            if (*rc::gen::inRange(0, 3) > 0) {
                const auto added
                        = request(i, "o" + std::to_string(*rc::gen::inRange(0, 4)),
                                  AllRanks[static_cast<std::size_t>(*rc::gen::inRange(0, 3))],
                                  *rc::gen::inRange<std::int64_t>(1, 2000), 1,
                                  "c" + std::to_string(*rc::gen::inRange(0, 3)));
                pushRequest(queue, added);
                naive.push(added);
                continue;
            }
            const auto one = popRequest(queue, AnyRequest);
            const auto other = naive.pop();
            RC_ASSERT(one.has_value() == other.has_value());
            if (one)
                RC_ASSERT(one->request_ == other->request_);
        }
    });
    BOOST_TEST(holds);
}
