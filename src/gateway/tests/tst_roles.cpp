// Which gateway does for its domain what one of them does for all, and how much of their links
// digests take.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/control.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr GatewayCapacity Large {200, 500};
constexpr GatewayCapacity Small {14, 63};
constexpr GatewayCapacity Unknown {};

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

Address addressOf(std::size_t index)
{
    return {"10.0.0." + std::to_string(index + 1), 7000};
}

GatewayDigestMessage digestOf(std::size_t index, const GatewayCapacity &capacity)
{
    GatewayDigestMessage digest;
    digest.instance_ = {"gateway-" + std::to_string(index)};
    digest.gateway_ = addressOf(index);
    digest.domain_ = {"a"};
    digest.incarnation_ = {1};
    digest.sequence_ = 1;
    digest.settled_ = true;
    digest.capacity_ = capacity;
    return digest;
}

struct RankCase
{
    const char *name_;
    //! Capacities of the gateways of a domain, all of which have just started.
    std::vector<GatewayCapacity> capacities_;
    //! Capacity of those that may go first.
    GatewayCapacity first_;
};

std::ostream &operator<<(std::ostream &out, const RankCase &test)
{
    return out << test.name_;
}

const RankCase RankCases[] = {
        {"one large among small ones", {Small, Small, Large, Small}, Large},
        {"two large ones", {Small, Large, Small, Large, Small}, Large},
        {"all alike", {Small, Small, Small}, Small},
        {"settings that name no capacity", {Unknown, Unknown}, Unknown},
        {"a capacity goes before none", {Unknown, Small, Unknown}, Small},
        {"of equal links the faster processor", {{14, 63}, {14, 90}, {14, 63}}, {14, 90}},
};

} // namespace

// After a common restart gateways with links of 14 Mbit/s read the store and spoke for their
// domain, several at a time, and their callers' streams stayed late for as long as they lasted.
BOOST_DATA_TEST_CASE(theLargestGatewayGoesFirst, RankCases, test)
{
    std::size_t first = 0;
    for (std::size_t self = 0; self < test.capacities_.size(); ++self) {
        MembersState members;
        members.self_ = addressOf(self);
        members.domain_ = {"a"};
        members.capacity_ = test.capacities_[self];
        for (std::size_t other = 0; other < test.capacities_.size(); ++other) {
            if (other != self)
                applyMemberDigest(members, digestOf(other, test.capacities_[other]), at(0));
        }
        if (domainRank(members, at(100)) > 0)
            continue;
        ++first;
        BOOST_TEST((test.capacities_[self] == test.first_));
    }
    BOOST_TEST(first == 1U);
}

namespace {

struct LinkCase
{
    const char *name_;
    GatewayCapacity capacity_;
    std::size_t neighbours_;
    std::size_t loads_;
    //! Bytes per second that digests may take, by the estimate of 32 bytes a load.
    double maxBytesPerSecond_;
    std::size_t leastDigests_;
};

std::ostream &operator<<(std::ostream &out, const LinkCase &test)
{
    return out << test.name_;
}

const LinkCase LinkCases[] = {
        {"few neighbours: the usual interval", Small, 8, 20, 175'000, 45},
        {"a small link among many neighbours", Small, 32, 60, 175'000, 12},
        {"a large link has room", Large, 32, 60, 2'500'000, 45},
        {"never less often than peers wait for", Small, 200, 300, 1e9, 12},
};

} // namespace

// Digests to all neighbours grow with the square of a domain's gateways: with 33 in each domain
// they took 2.4 MB/s of links of 1.75 MB/s.
BOOST_DATA_TEST_CASE(digestsTakeAPartOfTheLink, LinkCases, test)
{
    constexpr double LoadBytes = 32;
    GatewayControl gateway;
    gateway.self_ = {"self"};
    gateway.members_.self_ = {"10.9.9.9", 7000};
    gateway.members_.domain_ = {"a"};
    gateway.members_.capacity_ = test.capacity_;
    for (std::size_t i = 0; i < test.loads_; ++i)
        gateway.ownLoads_.push_back({{"i-" + std::to_string(i)}, 1000, {}, 1, 0, 0});
    std::size_t sent = 0;
    double bytes = 0;
    for (int ms = 0; ms < 10'000; ms += 100) {
        for (std::size_t i = 0; i < test.neighbours_; ++i)
            applyMemberDigest(gateway.members_, digestOf(i, Small), at(ms));
        onGatewayControlTick(gateway, at(ms));
        for (const GatewayControlEffect &effect : gateway.effects_) {
            const auto *digest = std::get_if<SendDigest>(&effect);
            if (digest == nullptr || digest->to_.size() < test.neighbours_)
                continue;
            ++sent;
            bytes += LoadBytes * static_cast<double>(digest->digest_.loads_.size())
                     * static_cast<double>(digest->to_.size());
        }
        gateway.effects_.clear();
    }
    BOOST_TEST(bytes / 10 <= test.maxBytesPerSecond_);
    BOOST_TEST(sent >= test.leastDigests_);
}

namespace {

struct WholeListCase
{
    const char *name_;
    std::size_t endpoints_;
    int ageMs_;
    std::size_t maxEntries_;
    bool carried_;
};

std::ostream &operator<<(std::ostream &out, const WholeListCase &test)
{
    return out << test.name_;
}

const WholeListCase WholeListCases[] = {
        {"a whole list at first", 60, 500, 128, true},
        {"a whole list later", 60, 2500, 128, false},
        {"a small change later", 3, 2500, 128, true},
        {"more than the link carries", 60, 500, 6, false},
};

} // namespace

// The first read after a restart is one change with every entry. Repeated in each digest by every
// gateway that had read, it filled the links until nobody heard the reader any more.
BOOST_DATA_TEST_CASE(wholeListsAreNotRepeated, WholeListCases, test)
{
    StoreRelayState reader;
    std::vector<ListedEndpoint> listed(test.endpoints_);
    for (std::size_t i = 0; i < listed.size(); ++i)
        listed[i].id_ = {"i-" + std::to_string(i)};
    BOOST_REQUIRE(noteListRead(reader, listed, {1}, at(0)));
    onReadAnswered(reader.list_, reader.limits_, at(test.ageMs_), Duration(), at(test.ageMs_));
    const auto news = storeNews(reader, {1}, test.maxEntries_, at(test.ageMs_));
    BOOST_REQUIRE(news.has_value());
    BOOST_TEST(!news->listChanges_.empty() == test.carried_);
}

namespace {

struct SuccessionCase
{
    const char *name_;
    std::size_t changes_;
    std::size_t maxEntries_;
    std::size_t carried_;
};

std::ostream &operator<<(std::ostream &out, const SuccessionCase &test)
{
    return out << test.name_;
}

const SuccessionCase SuccessionCases[] = {
        {"all fit", 3, 13, 3},
        {"the newest fit", 5, 13, 3},
        {"not even one", 5, 3, 0},
};

} // namespace

// While layers are loaded each read changes some entries. When all changes of two seconds were left
// out because they didn't fit together, 300 gateways read the whole list again and again.
BOOST_DATA_TEST_CASE(theNewestChangesAreCarried, SuccessionCases, test)
{
    constexpr std::size_t EntriesOfChange = 4;
    StoreRelayState reader;
    std::vector<ListedEndpoint> listed;
    for (std::size_t change = 0; change < test.changes_; ++change) {
        for (std::size_t i = 0; i < EntriesOfChange; ++i)
            listed.emplace_back().id_ = {std::to_string(change) + "-" + std::to_string(i)};
        BOOST_REQUIRE(noteListRead(reader, listed, {change + 1}, at(0)));
    }
    onReadAnswered(reader.list_, reader.limits_, at(1), Duration(), at(1));
    const auto news = storeNews(reader, {1}, test.maxEntries_, at(2));
    BOOST_REQUIRE(news.has_value());
    BOOST_REQUIRE(news->listChanges_.size() == test.carried_);
    if (test.carried_ > 0)
        BOOST_TEST(news->listChanges_.back().toHash_ == news->listHash_);
}

namespace {

struct LayerChangeCase
{
    const char *name_;
    std::size_t endpoints_;
    //! Their address is another one, too.
    bool moved_;
    std::size_t entries_;
};

std::ostream &operator<<(std::ostream &out, const LayerChangeCase &test)
{
    return out << test.name_;
}

const LayerChangeCase LayerChangeCases[] = {
        {"one endpoint", 1, false, 1},
        {"forty endpoints", 40, false, 10},
        {"one of them elsewhere", 1, true, 1},
        {"all of them elsewhere", 40, true, 40},
};

} // namespace

// While layers are loaded each read of the list changes some entries. Carried whole, they exceeded
// a tenth of the reader's link before 1,000 endpoints, and each gateway read the list for itself.
BOOST_DATA_TEST_CASE(changedLayersTakeAPartOfAnEntry, LayerChangeCases, test)
{
    const Address self = addressOf(0);
    std::vector<ListedEndpoint> listed(50);
    for (std::size_t i = 0; i < listed.size(); ++i)
        listed[i].id_ = {"i-" + std::to_string(i)};
    StoreRelayState reader;
    StoreRelayState recipient;
    for (StoreRelayState *state : {&reader, &recipient})
        BOOST_REQUIRE(noteListRead(*state, listed, {1}, at(0)));
    for (std::size_t i = 0; i < test.endpoints_; ++i) {
        listed[i].layers_ = LayerRange {{0}, {40}};
        listed[i].model_ = "m";
        listed[i].modelVersion_ = 1;
        listed[i].incarnation_ = 7;
        listed[i].state_ = ListedState::Draining;
        if (test.moved_)
            listed[i].address_ = addressOf(i);
    }
    BOOST_REQUIRE(noteListRead(reader, listed, {2}, at(10)));
    BOOST_TEST(entriesOf(reader.listChanges_.back().changes_) == test.entries_);
    onReadAnswered(reader.list_, reader.limits_, at(10), Duration(), at(10));
    GatewayDigestMessage heard = digestOf(0, Small);
    heard.sentAt_ = at(10).time_since_epoch();
    noteClock(reader, heard, at(10));
    const auto news = storeNews(reader, {1}, 128, at(20));
    BOOST_REQUIRE(news.has_value());
    const RelayedNews relayed = applyStoreNews(recipient, *news, self, std::nullopt, at(20));
    BOOST_TEST(relayed.listConfirmedAt_.has_value());
    BOOST_TEST(recipient.listHash_ == reader.listHash_);
}

namespace {

struct EchoCase
{
    std::size_t neighbours_;
    std::size_t mostEchoes_;
};

std::ostream &operator<<(std::ostream &out, const EchoCase &test)
{
    return out << test.neighbours_ << " neighbours";
}

const EchoCase EchoCases[] = {{1, 1}, {8, 8}, {9, 8}, {99, 8}};

} // namespace

// Each digest of a reader echoed the clocks of all gateways that it heard, to each of them, which
// grows with the square of a domain's gateways.
BOOST_DATA_TEST_CASE(echoesGoToTheirRecipientsOnly, EchoCases, test)
{
    GatewayControl gateway;
    gateway.self_ = {"self"};
    gateway.members_.self_ = {"10.9.9.9", 7000};
    gateway.members_.domain_ = {"a"};
    gateway.members_.capacity_ = Large;
    for (std::size_t i = 0; i < test.neighbours_; ++i) {
        GatewayDigestMessage digest = digestOf(i, Small);
        digest.sentAt_ = at(0).time_since_epoch();
        onGatewayDigest(gateway, digest, at(0));
    }
    onGatewayControlTick(gateway, at(10));
    gateway.effects_.clear();
    DesiredState desired;
    desired.version_ = {1};
    onDesiredState(gateway, desired, at(10), at(20));
    onDesiredStateRead(gateway, at(10), at(20));
    std::map<Address, std::size_t> echoed;
    for (const GatewayControlEffect &effect : gateway.effects_) {
        const auto *digest = std::get_if<SendDigest>(&effect);
        if (digest == nullptr || !digest->digest_.storeNews_)
            continue;
        const std::vector<DigestEcho> &echoes = digest->digest_.storeNews_->echoes_;
        BOOST_TEST(echoes.size() <= test.mostEchoes_);
        for (const DigestEcho &echo : echoes) {
            const bool isRecipient = std::find(digest->to_.begin(), digest->to_.end(), echo.to_)
                                     != digest->to_.end();
            echoed[echo.to_] += isRecipient ? 1 : 0;
        }
    }
    BOOST_TEST(echoed.size() == test.neighbours_);
    for (const auto &[to, times] : echoed)
        BOOST_TEST(times == 1U);
}

namespace {

struct BurstCase
{
    const char *name_;
    GatewayCapacity capacity_;
    std::size_t neighbours_;
    std::size_t newEntries_;
    //! Whether the digest right after the read and the later ones carry the change.
    bool first_;
    bool repeated_;
};

std::ostream &operator<<(std::ostream &out, const BurstCase &test)
{
    return out << test.name_;
}

//! Goes before its neighbours, and has hardly more link than they have.
constexpr GatewayCapacity FirstOfSmall {15, 63};

const BurstCase BurstCases[] = {
        {"a large domain, few entries", Large, 99, 10, true, true},
        {"a large domain, many entries", Large, 99, 100, true, false},
        {"a large domain, more than a digest holds", Large, 99, 200, false, false},
        {"a small domain, many entries", Large, 9, 100, true, true},
        {"a small link, many entries", FirstOfSmall, 32, 100, false, false},
        {"a small link, some entries", FirstOfSmall, 32, 40, true, false},
};

} // namespace

// Changes of more than a tenth of the reader's link were told to nobody: before 3,000 endpoints
// each of 100 neighbours read a list of a megabyte instead.
BOOST_DATA_TEST_CASE(manyChangesAreToldOnce, BurstCases, test)
{
    GatewayControl gateway;
    gateway.self_ = {"self"};
    gateway.members_.self_ = {"10.9.9.9", 7000};
    gateway.members_.domain_ = {"a"};
    gateway.members_.capacity_ = test.capacity_;
    for (std::size_t i = 0; i < test.neighbours_; ++i)
        applyMemberDigest(gateway.members_, digestOf(i, Small), at(0));
    onGatewayControlTick(gateway, at(10));
    DesiredState desired;
    desired.version_ = {1};
    onDesiredState(gateway, desired, at(10), at(20));
    std::vector<ListedEndpoint> listed(1);
    onEndpointList(gateway, listed, {1}, at(20), at(30));
    for (std::size_t i = 0; i < test.newEntries_; ++i)
        listed.emplace_back().id_ = {"i-" + std::to_string(i)};
    const auto carries = [&] {
        bool carried = false;
        for (const GatewayControlEffect &effect : gateway.effects_) {
            const auto *digest = std::get_if<SendDigest>(&effect);
            if (digest != nullptr && digest->digest_.storeNews_)
                carried = carried || !digest->digest_.storeNews_->listChanges_.empty();
        }
        gateway.effects_.clear();
        return carried;
    };
    gateway.effects_.clear();
    onEndpointList(gateway, listed, {2}, at(900), at(910));
    BOOST_TEST(carries() == test.first_);
    for (std::size_t i = 0; i < test.neighbours_; ++i)
        applyMemberDigest(gateway.members_, digestOf(i, Small), at(1000));
    onGatewayControlTick(gateway, at(1000));
    BOOST_TEST(carries() == test.repeated_);
}
