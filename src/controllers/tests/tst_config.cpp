//! Tests of the configuration controller: tables of logs, and a comparison of readers that start
//! from a snapshot with a reader of the whole log.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "controllers/config.h"
#include "controllers/membership.h"

using namespace gypsumcroft;

namespace {

constexpr TimePoint Start {std::chrono::seconds(100)};

Template quote(std::int64_t patienceMs)
{
    Template work;
    work.id_ = {"quote"};
    work.target_ = {"panels"};
    work.responseTimeout_ = std::chrono::milliseconds(patienceMs);
    return work;
}

ConfigLogRecord publish(std::uint64_t offset, const std::string &id, std::uint64_t replaces,
                        std::int64_t patienceMs)
{
    return {{offset}, {1000}, ConfigPublish {{id}, {replaces}, quote(patienceMs)}};
}

ConfigLogRecord snapshot(std::uint64_t offset, std::uint64_t through, std::uint64_t version,
                         std::int64_t patienceMs)
{
    return {{offset}, {1000}, ConfigSnapshot {{through}, {{quote(patienceMs), {version}}}}};
}

ConfigLogRecord malformed(std::uint64_t offset)
{
    return {{offset}, {1000}, MalformedRecord {{{"record", "bad"}}}};
}

struct FoldCase
{
    const char *name_;
    std::uint64_t first_;
    std::vector<ConfigLogRecord> records_;
    std::uint64_t through_;
    //! Active version of the quote template; 0 for none.
    std::uint64_t version_;
};

const FoldCase FoldCases[] = {
        {"one publication", 1, {publish(1, "a", 0, 5)}, 1, 1},
        {"a replacement", 1, {publish(1, "a", 0, 5), publish(2, "b", 1, 6)}, 2, 2},
        {"the second of two concurrent publications is refused",
         1,
         {publish(1, "a", 0, 5), publish(2, "b", 1, 6), publish(3, "c", 1, 7)},
         3,
         2},
        {"an invalid document is refused", 1, {publish(1, "a", 0, 5), publish(2, "b", 1, 0)}, 2, 1},
        {"a duplicate append is ignored", 1, {publish(1, "a", 0, 5), publish(2, "a", 0, 5)}, 2, 1},
        {"malformed records are skipped", 1, {malformed(1), publish(2, "a", 0, 5)}, 2, 2},
        {"a snapshot closes the gap", 9, {snapshot(9, 8, 3, 5)}, 9, 3},
        {"records that precede the snapshot in the log but that it does not include are applied",
         9,
         {publish(9, "b", 3, 6), snapshot(10, 8, 3, 5)},
         10,
         9},
        {"of several snapshots the one that includes most records is used",
         9,
         {snapshot(9, 8, 3, 5), publish(10, "b", 3, 6), snapshot(11, 10, 10, 6),
          snapshot(12, 8, 3, 5)},
         12,
         10},
        {"a snapshot that does not cover the gap is not used", 9, {snapshot(9, 6, 3, 5)}, 0, 0},
        {"an old snapshot in a log without a gap changes nothing",
         1,
         {publish(1, "a", 0, 5), publish(2, "b", 1, 6), snapshot(3, 1, 1, 5)},
         3,
         2},
};

std::ostream &operator<<(std::ostream &out, const FoldCase &test)
{
    return out << test.name_;
}

ConfigLogPage pageOf(std::uint64_t first, std::vector<ConfigLogRecord> records)
{
    ConfigLogPage page;
    page.firstOffset_ = {first};
    page.nextOffset_ = {records.empty() ? first : records.back().offset_.value_ + 1};
    page.logTime_ = {1000};
    page.records_ = std::move(records);
    return page;
}

std::uint64_t versionOf(const ConfigState &state)
{
    const auto found = state.entries_.find({"template/quote"});
    return found == state.entries_.end() ? 0 : found->second.version_.value_;
}

struct AdoptCase
{
    const char *name_;
    std::uint64_t ownThrough_;
    std::uint64_t peerThrough_;
    bool taken_;
};

const AdoptCase AdoptCases[] = {{"the peer is ahead", 2, 5, true},
                                {"the peer is at the same offset", 5, 5, false},
                                {"the peer is behind", 5, 2, false}};

std::ostream &operator<<(std::ostream &out, const AdoptCase &test)
{
    return out << test.name_;
}

} // namespace

BOOST_DATA_TEST_CASE(acceptanceDependsOnLogOrder, FoldCases)
{
    ConfigState state;
    applyConfigPage(state, pageOf(sample.first_, sample.records_), Start);
    BOOST_TEST(state.appliedOffset_.value_ == sample.through_);
    BOOST_TEST(versionOf(state) == sample.version_);
}

BOOST_DATA_TEST_CASE(pageSizeDoesNotMatter, FoldCases)
{
    ConfigState whole;
    applyConfigPage(whole, pageOf(sample.first_, sample.records_), Start);
    ConfigState single;
    const std::uint64_t next = sample.records_.back().offset_.value_ + 1;
    for (const ConfigLogRecord &record : sample.records_) {
        ConfigLogPage page = pageOf(sample.first_, {record});
        page.nextOffset_ = {next};
        applyConfigPage(single, page, Start);
    }
    BOOST_TEST(single.appliedOffset_.value_ == whole.appliedOffset_.value_);
    BOOST_TEST(single.digest_ == whole.digest_);
}

BOOST_DATA_TEST_CASE(peerStateIsAppliedOnlyIfAhead, AdoptCases)
{
    ConfigState state;
    state.appliedOffset_ = {sample.ownThrough_};
    BOOST_TEST(applyPeerConfig(state, {{sample.peerThrough_}, {}}, Start) == sample.taken_);
    BOOST_TEST(state.appliedOffset_.value_ == std::max(sample.ownThrough_, sample.peerThrough_));
}

BOOST_AUTO_TEST_CASE(snapshotIsDueAtHalfTheRetention)
{
    ConfigState state;
    Random random {1};
    ConfigLogPage page = pageOf(1, {publish(1, "a", 0, 5)});
    page.retention_ = std::chrono::seconds(10);
    applyConfigPage(state, page, Start);
    BOOST_TEST(!takeDueSnapshot(state, random, Start).has_value());
    page.records_.clear();
    page.logTime_ = {1000 + 6000};
    applyConfigPage(state, page, Start);
    BOOST_TEST(!takeDueSnapshot(state, random, Start).has_value());
    const auto snapshotDue = takeDueSnapshot(state, random, Start + std::chrono::seconds(3));
    BOOST_REQUIRE(snapshotDue.has_value());
    BOOST_TEST(snapshotDue->throughOffset_.value_ == 1U);
}

BOOST_AUTO_TEST_CASE(snapshotsDoNotChangeActiveConfig)
{
    const bool holds = rc::check("a reader with snapshots agrees with the whole log", [] {
        ConfigState writer;
        std::vector<ConfigLogRecord> log;
        const int steps = *rc::gen::inRange(2, 30);
        std::vector<ConfigSnapshot> taken;
        for (int i = 1; i <= steps; ++i) {
            const auto offset = static_cast<std::uint64_t>(i);
            const int kind = *rc::gen::inRange(0, 4);
            if (kind == 0 && !taken.empty()) {
                const auto which = *rc::gen::inRange<std::size_t>(0, taken.size());
                log.push_back({{offset}, {1000}, taken[which]});
            } else if (kind == 1) {
                log.push_back(malformed(offset));
            } else {
                const auto replaces = *rc::gen::element(versionOf(writer), std::uint64_t {0});
                log.push_back(publish(offset, "p" + std::to_string(i), replaces, 5 + i));
            }
            applyConfigPage(writer, pageOf(1, {log.back()}), Start);
            taken.push_back(snapshotOf(writer));
        }
        // A late reader sees only the records that the log's retention has not deleted.
        const auto kept = *rc::gen::inRange<std::size_t>(0, log.size());
        const std::vector<ConfigLogRecord> rest(log.begin() + static_cast<std::ptrdiff_t>(kept),
                                                log.end());
        ConfigState reader;
        applyConfigPage(reader, pageOf(kept + 1, rest), Start);
        if (reader.appliedOffset_.value_ > 0)
            RC_ASSERT(reader.digest_ == writer.digest_);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(newestHeartbeatDecidesMembership)
{
    MembershipState state;
    HeartbeatMessage heartbeat;
    heartbeat.endpoint_ = {"e"};
    heartbeat.incarnation_ = {1};
    heartbeat.sequence_ = 5;
    heartbeat.state_ = EndpointState::Ready;
    BOOST_TEST(applyHeartbeat(state, heartbeat, Start).has_value());
    heartbeat.sequence_ = 4;
    heartbeat.state_ = EndpointState::Leaving;
    BOOST_TEST(!applyHeartbeat(state, heartbeat, Start).has_value());
    BOOST_TEST((effectiveState(state.members_.at({"e"})) == EndpointState::Ready));
    BOOST_TEST(tickMembership(state, {}, Start + std::chrono::seconds(2)).size() == 1U);
    BOOST_TEST((effectiveState(state.members_.at({"e"})) == EndpointState::Down));
    heartbeat.sequence_ = 6;
    heartbeat.state_ = EndpointState::Ready;
    BOOST_TEST(applyHeartbeat(state, heartbeat, Start + std::chrono::seconds(3)).has_value());
    BOOST_TEST(recordEndpointLeaving(state, {"e"}).has_value());
    BOOST_TEST((effectiveState(state.members_.at({"e"})) == EndpointState::Leaving));
}
