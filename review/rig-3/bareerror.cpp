//! A server fails after it has run a booking: its 503 doesn't bear the mark of a request that
//! wasn't executed. What does the gateway tell the caller?
#include <cstdlib>

#include "rig.h"

using namespace rig;

int main(int argc, char **argv)
{
    if (argc < 4)
        return 2;
    Record record(argv[3]);
    Store store(record);
    const char *wanted = std::getenv("TROUBLE");
    const bool trouble = wanted == nullptr || std::string(wanted) != "0";
    record.line(trouble ? "with failures after the run" : "without failures");
    store.put("keyed.op", "config", desiredState(3, {"key-a"}));
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 1; i <= 3; ++i)
        servers.push_back(std::make_unique<Server>(record, store, "i-desk" + std::to_string(i),
                                                   Milliseconds(60)));
    Gateway gateway(argv[1], argv[2], "gateway1", store.port());
    if (!gateway.waitUntilReady(Milliseconds(10000)))
        return 2;
    std::this_thread::sleep_for(Milliseconds(2000));
    const auto book = [&](const std::string &id) {
        const Answer answer = ask(gateway.callers(), "POST", "/book/1", id, "key-a");
        record.line(
                "caller: " + id + " got " + std::to_string(answer.status_)
                + (answer.stamp_.empty() ? " without a stamp" : " with stamp " + answer.stamp_));
        return answer.status_;
    };
    if (book("r0") != 200)
        return 2;
    servers.front()->failAfterRun(trouble);
    std::set<std::string> promised;
    for (int i = 1; i <= 30; ++i) {
        const std::string id = "r" + std::to_string(i);
        const int status = book(id);
        if (status == 503 || status == 429 || status == 408 || status == 421)
            promised.insert(id);
    }
    int ran = 0;
    for (const auto &server : servers) {
        for (const Run &run : server->runs())
            ran += promised.contains(run.request_) ? 1 : 0;
    }
    record.line("bookings answered with a promise that they haven't run: "
                + std::to_string(promised.size()) + ", of these ran: " + std::to_string(ran));
    return ran > 0 ? 1 : 0;
}
