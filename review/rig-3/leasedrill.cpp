//! A drill of the store: it goes away for a moment and comes back from a copy some seconds old.
//! Since the copy, the store had dealt the partitions of the gateways' group anew. Later a model
//! service is added, whose servers start empty. Do they ever get layers?
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
    record.line(trouble ? "with the drill" : "without the drill");
    store.put("keyed.op", "config", desiredState(3, {"key-a"}, {"quote"}));
    std::vector<std::unique_ptr<ModelServer>> servers;
    for (const char *id : {"i-quote1", "i-quote2"})
        servers.push_back(std::make_unique<ModelServer>(record, store, "quote", id));
    Gateway gateway1(argv[1], argv[2], "gateway1", store.port());
    Gateway gateway2(argv[1], argv[2], "gateway2", store.port());
    if (!gateway1.waitUntilReady(Milliseconds(10000))
        || !gateway2.waitUntilReady(Milliseconds(10000))) {
        record.line("the gateways aren't ready");
        return 2;
    }
    int number = 0;
    const auto call = [&](const std::string &route) {
        const std::string id = "r" + std::to_string(++number) + "-" + route;
        const Gateway &gateway = number % 2 == 0 ? gateway1 : gateway2;
        const Answer answer = ask(gateway.callers(), "POST", "/" + route + "/1", id, "key-a");
        record.line("caller: " + id + " got " + std::to_string(answer.status_));
        return answer.status_ == 200 && answer.complete_;
    };
    bool isServed = false;
    for (int i = 0; i < 20 && !isServed; ++i) {
        std::this_thread::sleep_for(Milliseconds(500));
        isServed = call("quote");
    }
    if (!isServed) {
        record.line("the first route isn't served");
        return 2;
    }

    std::this_thread::sleep_for(Milliseconds(1000));
    store.copy();
    std::this_thread::sleep_for(Milliseconds(1500));
    store.rebalance();
    std::this_thread::sleep_for(Milliseconds(2500));
    if (trouble) {
        store.goAway();
        std::this_thread::sleep_for(Milliseconds(500));
        store.comeBackFromCopy();
    }
    std::this_thread::sleep_for(Milliseconds(10000));

    for (const char *id : {"i-draft1", "i-draft2"})
        servers.push_back(std::make_unique<ModelServer>(record, store, "draft", id));
    store.put("keyed.op", "config", desiredState(5, {"key-a"}, {"quote", "draft"}));
    record.line("operator: version 5 adds the service and the route 'draft'");
    std::this_thread::sleep_for(Milliseconds(15000));
    int first = 0;
    int added = 0;
    constexpr int Requests = 24;
    for (int i = 0; i < Requests; ++i) {
        first += call("quote") ? 1 : 0;
        added += call("draft") ? 1 : 0;
        std::this_thread::sleep_for(Milliseconds(250));
    }
    for (const auto &server : servers)
        record.line("layers: " + server->layers());
    record.line("served of " + std::to_string(Requests) + " requests each: first route "
                + std::to_string(first) + ", route added later " + std::to_string(added));
    if (first < Requests / 2)
        return 2;
    return 4 * added < first ? 1 : 0;
}
