#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "controllers/gatewayview.h"

using namespace gypsumcroft;

namespace {

ListedEndpoint listed(const char *id, std::uint16_t port, ListedState state = ListedState::Ready)
{
    ListedEndpoint endpoint;
    endpoint.id_ = {id};
    endpoint.target_ = {"desk"};
    endpoint.address_ = {"10.0.0.1", port};
    endpoint.state_ = state;
    return endpoint;
}

struct ListedAtCase
{
    const char *name_;
    std::vector<ListedEndpoint> list_;
    //! Whether endpoint x is listed at port 80.
    bool listed_;
};

std::ostream &operator<<(std::ostream &out, const ListedAtCase &test)
{
    return out << test.name_;
}

const ListedAtCase ListedAtCases[] = {
        {"in the list", {listed("x", 80)}, true},
        {"draining, with requests in progress", {listed("x", 80, ListedState::Draining)}, true},
        {"an empty list", {}, false},
        {"it has left", {listed("y", 81)}, false},
        {"another one has its address", {listed("y", 80)}, false},
        {"it has another address", {listed("x", 81)}, false},
        {"it has another address, and another one has its own",
         {listed("x", 81), listed("y", 80)},
         false},
};

} // namespace

// Guards against connections that are kept for an endpoint that has left, because another one uses
// its address.
BOOST_DATA_TEST_CASE(endpointsAreListedByIdAndAddress, ListedAtCases, test)
{
    EndpointListState state;
    const TimePoint now(std::chrono::seconds(1000));
    applyEndpointList(state, test.list_, now, now);
    BOOST_TEST(isListedAt(*buildEndpointIndex(state), {"x"}, {"10.0.0.1", 80}) == test.listed_);
}
