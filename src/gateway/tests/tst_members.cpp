// Fleets of gateways that learn of each other over a network that loses and cuts, while the store
// lists only as many members as its topic has partitions.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>

#include "core/random.h"
#include "gateway/control.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

//! Part of the retry slack that the gateways together may use; see policy/retryshare.
constexpr double UsedPartOfSlack = 0.8;
constexpr double Slack = 320;

enum class Trouble : std::uint8_t { None, RestartHalf, CutDomain, RestartAll };

struct FleetCase
{
    const char *name_;
    std::size_t gateways_;
    std::size_t domains_;
    std::uint32_t partitions_;
    double loss_;
    Trouble trouble_;
    //! Each gateway must know the load of at least this part of the others in the end.
    double heard_;
};

std::ostream &operator<<(std::ostream &out, const FleetCase &test)
{
    return out << test.name_;
}

const FleetCase FleetCases[] = {
        {"one gateway alone", 1, 1, 24, 0, Trouble::None, 1},
        {"fewer gateways than partitions", 5, 3, 24, 0, Trouble::None, 1},
        {"one more than partitions", 25, 3, 24, 0, Trouble::None, 1},
        {"28 gateways", 28, 4, 24, 0.02, Trouble::None, 0.95},
        {"68 gateways", 68, 5, 24, 0, Trouble::None, 1},
        {"68 gateways, lossy links", 68, 5, 24, 0.05, Trouble::None, 0.95},
        {"68 gateways, half restart", 68, 5, 24, 0.02, Trouble::RestartHalf, 0.95},
        {"68 gateways, all restart", 68, 5, 24, 0.02, Trouble::RestartAll, 0.95},
        {"68 gateways, a domain is cut off", 68, 5, 24, 0, Trouble::CutDomain, 0.95},
        {"68 gateways, one partition", 68, 5, 1, 0, Trouble::None, 1},
        {"350 gateways", 350, 9, 24, 0.01, Trouble::None, 0.95},
};

struct SentDigest
{
    std::size_t from_;
    Address to_;
    GatewayDigestMessage digest_;
};

struct Fleet
{
    FleetCase test_;
    std::vector<GatewayControl> gateways_;
    std::map<Address, std::size_t> byAddress_;
    std::deque<SentDigest> inTransit_;
    Random random_ {7};
    std::uint64_t incarnations_ = 0;
    bool cut_ = false;
};

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

std::size_t domainOf(const Fleet &fleet, std::size_t index)
{
    return index % fleet.test_.domains_;
}

Address addressOf(std::size_t index)
{
    return {"10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1), 7000};
}

void start(Fleet &fleet, std::size_t index)
{
    GatewayControl &gateway = fleet.gateways_[index];
    gateway = {};
    gateway.self_ = {"gateway-" + std::to_string(index)};
    gateway.incarnation_ = {++fleet.incarnations_};
    gateway.members_.self_ = addressOf(index);
    gateway.members_.domain_ = {"domain-" + std::to_string(domainOf(fleet, index))};
    gateway.bounds_.retry_.slack_ = Slack;
    gateway.ownLoads_ = {{{"x"}, 0, {}, 1, 0}};
}

Fleet makeFleet(const FleetCase &test)
{
    Fleet fleet {test, {}, {}, {}};
    fleet.gateways_.resize(test.gateways_);
    for (std::size_t i = 0; i < test.gateways_; ++i) {
        start(fleet, i);
        fleet.byAddress_[addressOf(i)] = i;
    }
    return fleet;
}

//! Partitions are dealt evenly to the members in order; those beyond the last partition get none.
std::uint32_t shareOf(const Fleet &fleet, std::size_t index)
{
    const std::uint32_t members = static_cast<std::uint32_t>(fleet.gateways_.size());
    const std::uint32_t partitions = fleet.test_.partitions_;
    return partitions / members + (index < partitions % members ? 1 : 0);
}

std::vector<Address> listedMembers(const Fleet &fleet)
{
    std::vector<Address> listed;
    for (std::size_t i = 0; i < fleet.gateways_.size(); ++i) {
        if (shareOf(fleet, i) > 0)
            listed.push_back(addressOf(i));
    }
    return listed;
}

void carryOut(Fleet &fleet, std::size_t index, TimePoint now)
{
    GatewayControl &gateway = fleet.gateways_[index];
    const std::vector<GatewayControlEffect> effects = std::move(gateway.effects_);
    gateway.effects_.clear();
    for (const GatewayControlEffect &effect : effects) {
        if (std::holds_alternative<JoinGroup>(effect)) {
            onJoinResponse(gateway, {1}, index == 0, now, now);
            onPartitionShare(gateway, shareOf(fleet, index), fleet.test_.partitions_);
        } else if (std::holds_alternative<RequestPeerAddresses>(effect)) {
            onPeersListed(gateway, listedMembers(fleet), fleet.test_.partitions_);
        } else if (const auto *send = std::get_if<SendDigest>(&effect)) {
            for (const Address &to : send->to_)
                fleet.inTransit_.push_back({index, to, send->digest_});
        }
    }
}

bool isCut(const Fleet &fleet, std::size_t from, std::size_t to)
{
    return fleet.cut_ && (domainOf(fleet, from) == 0) != (domainOf(fleet, to) == 0);
}

void deliver(Fleet &fleet, TimePoint now)
{
    std::deque<SentDigest> arriving;
    std::swap(arriving, fleet.inTransit_);
    for (SentDigest &sent : arriving) {
        const std::size_t to = fleet.byAddress_.at(sent.to_);
        if (isCut(fleet, sent.from_, to) || randomUnit(fleet.random_) < fleet.test_.loss_)
            continue;
        onGatewayDigest(fleet.gateways_[to], std::move(sent.digest_), now);
    }
}

void causeTrouble(Fleet &fleet, int ms)
{
    constexpr int TroubleAtMs = 6000;
    constexpr int HealAtMs = 14000;
    if (ms == HealAtMs)
        fleet.cut_ = false;
    if (ms != TroubleAtMs)
        return;
    fleet.cut_ = fleet.test_.trouble_ == Trouble::CutDomain;
    const std::size_t step = fleet.test_.trouble_ == Trouble::RestartAll ? 1 : 2;
    const bool restart = fleet.test_.trouble_ == Trouble::RestartHalf || step == 1;
    for (std::size_t i = 0; restart && i < fleet.gateways_.size(); i += step)
        start(fleet, i);
}

//! Retries beyond the ratio that all gateways together would allow themselves.
double slackInUse(const Fleet &fleet, TimePoint now)
{
    double sum = 0;
    for (const GatewayControl &gateway : fleet.gateways_) {
        const GatewayView view = gatewayViewOf(gateway, now);
        sum += UsedPartOfSlack * view.retry_.slack_ / view.gatewayCount_;
    }
    return sum;
}

} // namespace

BOOST_DATA_TEST_CASE(everyGatewayKnowsTheOthers, FleetCases, test)
{
    Fleet fleet = makeFleet(test);
    double mostSlack = 0;
    // 350 gateways exchange as many digests in 6 s as 68 in 20 s.
    const int endMs = test.gateways_ > 100 ? 6000 : 20000;
    for (int ms = 0; ms <= endMs; ms += 100) {
        causeTrouble(fleet, ms);
        deliver(fleet, at(ms));
        for (std::size_t i = 0; i < fleet.gateways_.size(); ++i) {
            onGatewayControlTick(fleet.gateways_[i], at(ms));
            carryOut(fleet, i, at(ms));
        }
        mostSlack = std::max(mostSlack, slackInUse(fleet, at(ms)));
    }
    BOOST_TEST(mostSlack <= Slack);
    BOOST_TEST(slackInUse(fleet, at(endMs)) >= 0.7 * Slack);
    for (const GatewayControl &gateway : fleet.gateways_) {
        const GatewayView view = gatewayViewOf(gateway, at(endMs));
        const auto load = view.peerLoads_->find({"x"});
        const std::uint32_t streams = load == view.peerLoads_->end() ? 0 : load->second.streams_;
        // Each gateway has one stream: none may be missing, and none counted twice.
        BOOST_TEST(streams >= test.heard_ * static_cast<double>(test.gateways_ - 1));
        BOOST_TEST(streams <= test.gateways_ - 1);
        BOOST_TEST(view.peerCount_ >= test.heard_ * static_cast<double>(test.gateways_ - 1));
        BOOST_TEST(view.gatewayCount_ >= test.gateways_);
    }
}
