// Whether the platform still tells a gateway its desired state, by what became of the reads.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/control.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

//! What becomes of the read that is in flight from 0 ms on.
enum class ReadEnd {
    //! Nothing yet.
    None,
    Answered,
    Failed,
    //! It failed, and another gateway's news confirms the state afterwards.
    FailedThenConfirmed,
    //! It failed, and another gateway has just read a newer state.
    FailedThenNewerElsewhere,
    //! It failed, and another gateway read a newer state two seconds before.
    FailedThenNewerLongAgo,
};

struct AvailabilityCase
{
    const char *name_;
    //! Time for which the store may hold the read back.
    int waitMs_;
    //! How late the control thread's last tick was.
    int lateMs_;
    //! When its next tick was due.
    int tickDueMs_;
    ReadEnd end_;
    int endMs_;
    bool isAvailable_;
};

std::ostream &operator<<(std::ostream &out, const AvailabilityCase &test)
{
    return out << test.name_;
}

const AvailabilityCase AvailabilityCases[] = {
        {"answered", 0, 0, 10, ReadEnd::Answered, 10, true},
        {"in flight", 0, 0, 199, ReadEnd::None, 199, true},
        {"without an answer", 0, 0, 200, ReadEnd::None, 200, false},
        {"a waiting read", 800, 0, 999, ReadEnd::None, 999, true},
        {"a waiting read without an answer", 800, 0, 1000, ReadEnd::None, 1000, false},
        {"in flight, the process was held up", 0, 2000, 2100, ReadEnd::None, 2100, true},
        {"in flight, held up, the first event since", 0, 0, 100, ReadEnd::None, 2100, true},
        {"refused", 0, 0, 10, ReadEnd::Failed, 10, false},
        {"failed without an answer", 0, 0, 900, ReadEnd::Failed, 900, false},
        {"failed while the process was held up", 0, 2000, 2100, ReadEnd::Failed, 2100, true},
        {"failed, held up, the first event since", 0, 0, 100, ReadEnd::Failed, 2100, true},
        {"refused, but a neighbour reads it", 0, 0, 10, ReadEnd::FailedThenConfirmed, 10, true},
        {"failed on a full link, a neighbour has read a newer one", 0, 0, 900,
         ReadEnd::FailedThenNewerElsewhere, 900, true},
        {"failed, a neighbour read a newer one before the store fell silent", 0, 0, 900,
         ReadEnd::FailedThenNewerLongAgo, 900, false},
};

//! A neighbour's digest: it read state 2 from the store that long ago.
void hearNews(GatewayControl &control, Duration age, int ms)
{
    const Address self {"10.0.0.1", 1};
    control.members_.self_ = self;
    control.members_.domain_ = {"a"};
    GatewayDigestMessage digest;
    digest.instance_ = {"neighbour"};
    digest.domain_ = {"a"};
    digest.gateway_ = {"10.0.0.2", 1};
    digest.incarnation_ = {1};
    digest.sequence_ = 1;
    digest.sentAt_ = at(ms).time_since_epoch();
    digest.storeNews_.emplace();
    digest.storeNews_->configVersion_ = {2};
    digest.storeNews_->configAge_ = age;
    digest.storeNews_->echoes_ = {{self, at(ms).time_since_epoch(), Duration()}};
    onGatewayDigest(control, digest, at(ms));
}

} // namespace

// A link that is full can make reads fail that the store would have answered. Requests must not be
// served then by a state that others know to be replaced.
BOOST_DATA_TEST_CASE(stateIsAvailableWhileThePlatformTellsIt, AvailabilityCases, test)
{
    GatewayControl control;
    DesiredState desired;
    desired.version_ = {1};
    onDesiredState(control, desired, at(-100), at(-100));
    StoreRead &read = control.relay_.config_;
    read.inFlight_ = true;
    read.sentAt_ = at(0);
    read.wait_ = milliseconds(test.waitMs_);
    control.loopDelay_.last_ = milliseconds(test.lateMs_);
    control.loopDelay_.nextDueAt_ = at(test.tickDueMs_);
    if (test.end_ != ReadEnd::None && test.end_ != ReadEnd::Answered)
        onDesiredStateReadFailed(control, "test", at(test.endMs_));
    if (test.end_ == ReadEnd::Answered || test.end_ == ReadEnd::FailedThenConfirmed)
        onDesiredStateConfirmed(control, at(0), at(test.endMs_));
    if (test.end_ == ReadEnd::FailedThenNewerElsewhere)
        hearNews(control, milliseconds(20), test.endMs_);
    if (test.end_ == ReadEnd::FailedThenNewerLongAgo)
        hearNews(control, seconds(2), test.endMs_);
    BOOST_TEST(gatewayViewOf(control, at(test.endMs_)).stateAvailable_ == test.isAvailable_);
}
