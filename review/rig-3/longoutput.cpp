//! Callers of the model set no limit of their own to the output: the largest number of output
//! tokens in X-Token-Count is 9007199254740991. A tenth of the route's requests goes to a service
//! that isn't a model's. Do the other callers still get their answers?
#include <cstdlib>

#include "rig.h"

using namespace rig;

namespace {

//! TimeoutMs of the route of the other callers.
constexpr Milliseconds Timeout {800};
constexpr Milliseconds Slack {500};
constexpr Milliseconds CallerWaits {1500};
constexpr Milliseconds Length {20000};

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4)
        return 2;
    Record record(argv[3]);
    Store store(record);
    const char *wanted = std::getenv("TROUBLE");
    const bool trouble = wanted == nullptr || std::string(wanted) != "0";
    const std::string outputLimit = trouble ? "9007199254740991" : "600";
    record.line("largest number of output tokens: " + outputLimit);
    store.put("keyed.op", "config", desiredState(3, {"key-a", "key-b"}, {"quote"}, true));
    std::vector<std::unique_ptr<ModelServer>> models;
    for (const char *id : {"i-quote1", "i-quote2"})
        models.push_back(std::make_unique<ModelServer>(record, store, "quote", id));
    std::vector<std::unique_ptr<Server>> desks;
    for (const char *id : {"i-desk1", "i-desk2", "i-desk3"})
        desks.push_back(std::make_unique<Server>(record, store, id, Milliseconds(60)));
    Gateway gateway(argv[1], argv[2], "gateway1", store.port());
    if (!gateway.waitUntilReady(Milliseconds(10000)))
        return 2;
    std::this_thread::sleep_for(Milliseconds(5000));
    const auto look = [&](const std::string &id) {
        return ask(gateway.callers(), "GET", "/look/1", id, "key-a", "X-Deadline-Ms: 1500\r\n",
                   CallerWaits);
    };
    if (look("r0").status_ != 200)
        return 2;

    const auto end = Clock::now() + Length;
    std::thread quotes([&] {
        for (int i = 1; Clock::now() < end; ++i) {
            const std::string id = "q" + std::to_string(i);
            const Answer answer = ask(gateway.callers(), "POST", "/quote/1", id, "key-b",
                                      "X-Deadline-Ms: 20000\r\nX-Model: m\r\nX-Token-Count: 760,"
                                              + outputLimit + "\r\nX-Prompt-Prefix: 5c1e07a2:40,"
                                              + std::to_string(10000 + i) + ":720\r\n",
                                      Milliseconds(5000));
            record.line("caller of the model: " + id + " got " + std::to_string(answer.status_));
            std::this_thread::sleep_for(Milliseconds(100));
        }
    });
    std::atomic<int> asked {0};
    std::atomic<int> late {0};
    std::atomic<int> unanswered {0};
    std::vector<std::thread> callers;
    for (int c = 1; c <= 4; ++c) {
        callers.emplace_back([&, c] {
            for (int i = 1; Clock::now() < end; ++i) {
                const std::string id = "r" + std::to_string(c) + "-" + std::to_string(i);
                const Answer answer = look(id);
                const auto took
                        = std::chrono::duration_cast<Milliseconds>(Clock::now() - answer.sentAt_);
                ++asked;
                late += took > Timeout ? 1 : 0;
                unanswered += took > Timeout + Slack ? 1 : 0;
                record.line("caller: " + id + " got " + std::to_string(answer.status_) + " after "
                            + std::to_string(took.count()) + " ms");
                std::this_thread::sleep_for(Milliseconds(100));
            }
        });
    }
    quotes.join();
    for (std::thread &caller : callers)
        caller.join();
    record.line("the gateway answers /ready with "
                + std::to_string(ask(gateway.ready(), "GET", "/ready", "ready", "").status_));
    record.line("requests of the other callers: " + std::to_string(asked)
                + ", unanswered at TimeoutMs: " + std::to_string(late)
                + ", of these without an answer half a second later: "
                + std::to_string(unanswered));
    return 2 * unanswered > late ? 1 : 0;
}
