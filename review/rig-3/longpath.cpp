//! Clients that the users don't control ask for paths that no route has: long ones of nothing but
//! slashes, inside MaxHeaderBytes. Do ordinary callers still get answers?
#include <cstdlib>

#include "rig.h"

using namespace rig;

namespace {

//! TimeoutMs of the ordinary callers' route.
constexpr Milliseconds Timeout {800};
constexpr Milliseconds Slack {500};
constexpr Milliseconds CallerWaits {1500};
constexpr Milliseconds Length {20000};
constexpr int Connections = 100;
constexpr std::size_t PathBytes = 16000;

//! Sends one request after the other on a kept connection, each when the one before is answered.
void askOnAndOn(int port, const std::string &path, Clock::time_point end,
                std::atomic<int> &answered)
{
    while (Clock::now() < end) {
        const int socket = connectTo(port);
        if (socket < 0)
            return;
        Connection connection(socket);
        bool isOpen = true;
        while (isOpen && Clock::now() < end) {
            isOpen = connection.write("GET " + path + " HTTP/1.1\r\nHost: desk\r\n\r\n")
                     && connection.read(true).has_value();
            answered += isOpen ? 1 : 0;
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4)
        return 2;
    Record record(argv[3]);
    Store store(record);
    const char *wanted = std::getenv("TROUBLE");
    const bool trouble = wanted == nullptr || std::string(wanted) != "0";
    const std::string path
            = trouble ? std::string(PathBytes, '/') : "/" + std::string(PathBytes - 1, 'x');
    record.line(trouble ? "paths of slashes" : "paths of the same length without further slashes");
    store.put("keyed.op", "config", desiredState(3, {"key-a"}));
    std::vector<std::unique_ptr<Server>> servers;
    for (const char *id : {"i-desk1", "i-desk2", "i-desk3"})
        servers.push_back(std::make_unique<Server>(record, store, id, Milliseconds(60)));
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

    const auto begin = Clock::now();
    const auto end = begin + Length;
    std::atomic<int> answered {0};
    std::vector<std::thread> threads;
    constexpr int Callers = 4;
    threads.reserve(Connections + Callers);
    for (int c = 0; c < Connections; ++c)
        threads.emplace_back([&] { askOnAndOn(gateway.callers(), path, end, answered); });
    std::atomic<int> asked {0};
    std::atomic<int> served {0};
    std::atomic<int> late {0};
    std::atomic<int> unanswered {0};
    for (int c = 1; c <= Callers; ++c) {
        threads.emplace_back([&, c] {
            for (int i = 1; Clock::now() < end; ++i) {
                const std::string id = "r" + std::to_string(c) + "-" + std::to_string(i);
                const Answer answer = look(id);
                const auto took
                        = std::chrono::duration_cast<Milliseconds>(Clock::now() - answer.sentAt_);
                ++asked;
                served += answer.status_ == 200 ? 1 : 0;
                late += took > Timeout ? 1 : 0;
                unanswered += took > Timeout + Slack ? 1 : 0;
                record.line("caller: " + id + " got " + std::to_string(answer.status_) + " after "
                            + std::to_string(took.count()) + " ms");
                std::this_thread::sleep_for(Milliseconds(100));
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    record.line("requests for long paths answered: " + std::to_string(answered));
    record.line("the gateway answers /ready with "
                + std::to_string(ask(gateway.ready(), "GET", "/ready", "ready", "").status_));
    record.line("requests of ordinary callers: " + std::to_string(asked) + ", served "
                + std::to_string(served) + ", unanswered at TimeoutMs: " + std::to_string(late)
                + ", of these without an answer half a second later: "
                + std::to_string(unanswered));
    return 2 * unanswered > late ? 1 : 0;
}
