//! Embeds the fair queue and the claims ledger in a program of one's own.
#include <iostream>

#include "policy/claims.h"
#include "policy/fairqueue.h"

using namespace gypsumcroft;

int main()
{
    FairQueue queue;
    const TimePoint deadline {std::chrono::seconds(60)};
    for (int i = 0; i < 3; ++i)
        pushRequest(queue, {{"large-" + std::to_string(i)},
                            {"large"},
                            {"c"},
                            Rank::Standard,
                            {400},
                            1,
                            deadline});
    pushRequest(queue, {{"small-0"}, {"small"}, {"c"}, Rank::Standard, {400}, 1, deadline});
    while (const auto next = popRequest(queue, [](const QueuedRequest &) { return true; }))
        std::cout << next->request_.value_ << "\n";

    ClaimLedger ledger;
    const KeyHash key {1, 2};
    const Duration window = std::chrono::hours(24);
    applyClaims(ledger, {1}, {1000}, {Claim {key, {7}, {70}, {"agent-a"}, {5}, window}});
    applyClaims(ledger, {2}, {1001}, {Claim {key, {8}, {80}, {"agent-b"}, {5}, window}});
    std::cout << "held by " << findKey(ledger, key)->endpoint_.value_ << "\n";
    return ownsKey(ledger, key, {7}) ? 0 : 1;
}
