//! A part of a prompt crashes each server that begins to write an answer on it: here the last one
//! of the path, which returns the tokens. Do requests with that part stop coming, and are sound
//! ones still served?
#include <cstdlib>

#include "rig.h"

using namespace rig;

namespace {

constexpr Milliseconds StableWindow {3000};
constexpr Milliseconds Calm {10000};
constexpr Milliseconds Length {45000};
constexpr Milliseconds DownFor {3000};
const std::string DeadlyPart = "dead0001:200";

struct Sent
{
    Clock::time_point at_;
    bool isServed_ = false;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4)
        return 2;
    Record record(argv[3]);
    Store store(record);
    const char *wanted = std::getenv("TROUBLE");
    const bool trouble = wanted == nullptr || std::string(wanted) != "0";
    record.line(trouble ? "with a part that crashes servers" : "without crashes");
    store.put("keyed.op", "config", desiredState(3, {"key-a"}, {"quote"}));
    std::vector<std::unique_ptr<ModelServer>> servers;
    for (int i = 1; i <= 8; ++i)
        servers.push_back(std::make_unique<ModelServer>(record, store, "quote",
                                                        "i-quote" + std::to_string(i)));
    Gateway gateway(argv[1], argv[2], "gateway1", store.port());
    if (!gateway.waitUntilReady(Milliseconds(10000)))
        return 2;
    const auto send = [&](const std::string &id, const std::string &prefix) {
        const Answer answer = ask(gateway.callers(), "POST", "/quote/1", id, "key-a",
                                  "X-Deadline-Ms: 20000\r\nX-Model: m\r\nX-Token-Count: 760,600\r\n"
                                  "X-Prompt-Prefix: "
                                          + prefix + "\r\n",
                                  Milliseconds(4000));
        record.line("caller: " + id + " got " + std::to_string(answer.status_));
        return answer.status_ == 200 && answer.complete_;
    };
    bool isServed = false;
    for (int i = 0; i < 40 && !isServed; ++i) {
        std::this_thread::sleep_for(Milliseconds(500));
        isServed = send("w" + std::to_string(i), "5c1e07a2:40,w" + std::to_string(i) + ":720");
    }
    if (!isServed)
        return 2;
    std::this_thread::sleep_for(Milliseconds(3000));

    std::mutex mutex;
    std::vector<Sent> sound;
    const auto begin = Clock::now();
    const auto end = begin + Calm + Length;
    std::vector<std::thread> callers;
    constexpr int SoundCallers = 4;
    constexpr int DeadlyCallers = 2;
    callers.reserve(SoundCallers + DeadlyCallers);
    for (int c = 1; c <= SoundCallers; ++c) {
        callers.emplace_back([&, c] {
            for (int i = 1; Clock::now() < end; ++i) {
                const std::string id = "s" + std::to_string(c) + "-" + std::to_string(i);
                const auto at = Clock::now();
                const bool served = send(id, "5c1e07a2:40," + id + ":720");
                {
                    const std::lock_guard lock(mutex);
                    sound.push_back({at, served});
                }
                std::this_thread::sleep_for(Milliseconds(300));
            }
        });
    }
    std::this_thread::sleep_for(Calm);
    if (trouble)
        ModelServer::crashOn(DeadlyPart, DownFor);
    for (int c = 1; c <= DeadlyCallers; ++c) {
        callers.emplace_back([&, c] {
            for (int i = 1; Clock::now() < end; ++i) {
                const std::string id = "d" + std::to_string(c) + "-" + std::to_string(i);
                std::string prefix = "5c1e07a2:40,";
                prefix.append(DeadlyPart).append(",").append(id).append(":520");
                send(id, prefix);
                std::this_thread::sleep_for(Milliseconds(500));
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();

    const auto crashes = ModelServer::crashes();
    record.line("crashes: " + std::to_string(crashes.size()));
    const bool hasFifth = crashes.size() >= 5;
    int late = 0;
    for (const auto &server : servers) {
        for (const Run &run : server->arrivals()) {
            const bool hasPart = run.request_.starts_with("d");
            late += hasFifth && hasPart && run.at_ > crashes[4] + StableWindow ? 1 : 0;
        }
    }
    const auto changed = hasFifth ? crashes[4] + 2 * StableWindow : begin + Calm;
    int before = 0;
    int beforeServed = 0;
    int after = 0;
    int afterServed = 0;
    for (const Sent &request : sound) {
        before += request.at_ < begin + Calm ? 1 : 0;
        beforeServed += request.at_ < begin + Calm && request.isServed_ ? 1 : 0;
        after += request.at_ >= changed ? 1 : 0;
        afterServed += request.at_ >= changed && request.isServed_ ? 1 : 0;
    }
    record.line("sound requests before: " + std::to_string(before) + ", served whole "
                + std::to_string(beforeServed) + "; from 2 x StableWindowMs after the fifth crash: "
                + std::to_string(after) + ", served whole " + std::to_string(afterServed));
    record.line("requests with the part that reached servers later than StableWindowMs after the "
                "fifth crash: "
                + std::to_string(late));
    if (2 * beforeServed < before)
        return 2;
    return late > 3 ? 1 : 0;
}
