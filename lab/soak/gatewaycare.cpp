#include "soak/gatewaycare.h"

#include <signal.h>

#include <algorithm>

#include <boost/asio.hpp>

namespace gypsumcroft::lab {

namespace asio = boost::asio;

namespace detail {

using std::chrono::milliseconds;

//! The grace time in the gateways' settings, and what a busy machine may add.
constexpr milliseconds Grace {8000};
constexpr milliseconds GraceMargin {500};
//! After this an ending process is given up and killed.
constexpr milliseconds EndPatience {16000};
constexpr milliseconds EndPoll {20};
//! How long what has been held up takes to settle.
constexpr milliseconds SettleTime {1000};
//! From the stated target for a node's control.
constexpr std::uint64_t MaxGatewayBytes = 128UL * 1024 * 1024;

namespace {

std::string nameOf(const CaredGateway &gateway)
{
    return "g" + std::to_string(gateway.number_ + 1);
}

bool overlaps(const std::vector<std::pair<SoakTime, SoakTime>> &spans, SoakTime from, SoakTime to)
{
    return std::any_of(spans.begin(), spans.end(),
                       [&](const auto &span) { return span.first <= to && from <= span.second; });
}

void judgeEnd(const CaredGateway &gateway, SoakTime asked, SoakTime now, const OnFinding &onFinding)
{
    const auto add = [&](const std::string &what) {
        onFinding({what, now, "", nameOf(gateway), ""});
    };
    if (gateway.killed_ || !wasUnharmed(gateway, asked, now))
        return;
    if (gateway.program_->exitCode() != 0)
        add("asked to stop, ended with " + std::to_string(gateway.program_->exitCode()));
    const auto took = std::chrono::duration_cast<milliseconds>(now - asked);
    if (took > Grace + GraceMargin)
        add("asked to stop, took " + std::to_string(took.count()) + " ms");
}

asio::awaitable<void> seeToEnd(asio::io_context &context, CaredGateway &gateway,
                               std::optional<milliseconds> away, OnFinding onFinding)
{
    const SoakTime asked = SoakClock::now();
    asio::steady_timer timer(context);
    while (!gateway.program_->hasEnded()) {
        timer.expires_after(EndPoll);
        co_await timer.async_wait(asio::use_awaitable);
        if (SoakClock::now() > asked + EndPatience) {
            gateway.program_->signal(SIGCONT);
            gateway.program_->signal(SIGKILL);
        }
    }
    const SoakTime ended = SoakClock::now();
    judgeEnd(gateway, asked, ended, onFinding);
    gateway.stops_.emplace_back(asked, ended);
    if (gateway.killed_)
        gateway.disturbed_.emplace_back(asked, ended);
    if (away) {
        timer.expires_after(*away);
        co_await timer.async_wait(asio::use_awaitable);
        gateway.program_->restart();
        gateway.stopping_ = false;
        gateway.killed_ = false;
    }
    gateway.disturbed_.emplace_back(ended, SoakClock::now() + SettleTime);
}

} // namespace
} // namespace detail

void pauseGateway(CaredGateway &gateway, SoakTime now)
{
    if (gateway.pauses_++ == 0) {
        gateway.program_->signal(SIGSTOP);
        gateway.disturbed_.emplace_back(now, SoakTime::max());
    }
}

void resumeGateway(CaredGateway &gateway, SoakTime now)
{
    if (--gateway.pauses_ > 0)
        return;
    gateway.program_->signal(SIGCONT);
    for (auto &[from, to] : gateway.disturbed_) {
        if (to == SoakTime::max())
            to = now + detail::SettleTime;
    }
}

void endGateway(asio::io_context &context, CaredGateway &gateway, int signal,
                std::optional<std::chrono::milliseconds> away, const OnFinding &onFinding)
{
    if (gateway.stopping_ && signal != SIGKILL)
        return;
    gateway.killed_ = gateway.killed_ || signal == SIGKILL;
    gateway.program_->signal(signal);
    if (gateway.stopping_)
        return;
    gateway.stopping_ = true;
    asio::co_spawn(context, detail::seeToEnd(context, gateway, away, onFinding), asio::detached);
}

void watchMemory(CaredGateway &gateway, SoakTime now, const OnFinding &onFinding)
{
    const std::uint64_t peak = gateway.program_->peakBytes();
    gateway.peakBytes_ = std::max(gateway.peakBytes_, peak);
    if (peak <= detail::MaxGatewayBytes || gateway.overMemory_)
        return;
    gateway.overMemory_ = true;
    onFinding(
            {"memory of " + std::to_string(peak) + " bytes", now, "", detail::nameOf(gateway), ""});
}

bool wasUnharmed(const CaredGateway &gateway, SoakTime from, SoakTime to)
{
    return !detail::overlaps(gateway.disturbed_, from, to);
}

bool wasCalm(const CaredGateway &gateway, SoakTime from, SoakTime to)
{
    return !gateway.stopping_ && wasUnharmed(gateway, from, to)
           && !detail::overlaps(gateway.stops_, from, to);
}

} // namespace gypsumcroft::lab
