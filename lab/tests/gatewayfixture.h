//! Two gateways as processes before the platform's stand-in.
#pragma once

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gatewayprogram.h"
#include "platform/platformstandin.h"

namespace gypsumcroft::lab::tests {

inline constexpr std::chrono::seconds Patience {20};

//! Waits for an event; false if it does not come about in time.
inline bool waitFor(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + Patience;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

//! Sends SIGTERM and waits for the end; the exit code, or -1.
inline int stop(GatewayProgram &gateway)
{
    gateway.signal(SIGTERM);
    return waitFor([&] { return gateway.hasEnded(); }) ? gateway.exitCode() : -1;
}

//! How often a text occurs in the gateway's log.
inline std::size_t countInLog(const GatewayProgram &gateway, const std::string &text)
{
    const std::string log = gateway.log();
    std::size_t count = 0;
    for (std::size_t at = log.find(text); at != std::string::npos; at = log.find(text, at + 1))
        ++count;
    return count;
}

struct GatewayFixture
{
    explicit GatewayFixture(std::size_t plainServers = 1, std::size_t modelServers = 3,
                            const std::string &moreSettings = {})
        : platform_(modelServers, plainServers)
    {
        const auto &suite = boost::unit_test::framework::master_test_suite();
        BOOST_REQUIRE(suite.argc > 1);
        std::string name = (std::filesystem::temp_directory_path() / "gateway-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
        folder_ = name;
        platform_.putConfig(1, {"key"}, false);
        for (const char *gateway : {"g1", "g2"})
            gateways_.push_back(std::make_unique<GatewayProgram>(suite.argv[1], folder_, gateway,
                                                                 platform_.store(), moreSettings));
        BOOST_REQUIRE(waitFor([&] { return gateways_[0]->isReady() && gateways_[1]->isReady(); }));
        BOOST_REQUIRE(waitFor([&] { return quote("warm-up").whole_; }));
    }

    ~GatewayFixture()
    {
        gateways_.clear();
        std::filesystem::remove_all(folder_);
    }

    Answer quote(const std::string &id)
    {
        Answer answer = ask(gateways_[0]->callers_, "POST", "/quote/x", id, "key");
        answer.whole_ = answer.whole_ && answer.status_ == "HTTP/1.1 200";
        return answer;
    }

    std::size_t runsOf(const std::string &id)
    {
        const auto runs = platform_.runs();
        return static_cast<std::size_t>(std::count_if(
                runs.begin(), runs.end(), [&](const auto &run) { return run.request_ == id; }));
    }

    standins::PlatformStandin platform_;
    std::string folder_;
    std::vector<std::unique_ptr<GatewayProgram>> gateways_;
};

} // namespace gypsumcroft::lab::tests
