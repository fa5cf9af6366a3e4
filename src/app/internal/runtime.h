//! Threads of a process: one for control, some for traffic, each with an io_context of its own.
#pragma once

#include <time.h>

#include <atomic>
#include <chrono>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <variant>
#include <vector>

#include <boost/asio.hpp>
#include <oneapi/tbb/concurrent_queue.h>

#include "core/units.h"
#include "ratelimitedlog.h"

namespace gypsumcroft::detail {

namespace asio = boost::asio;

//! The present time of a clock that never goes back and counts the time that the machine slept:
//! leases and freshness run out meanwhile.
inline TimePoint monotonicNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

//! Interval of the log lines on the load of a thread.
constexpr Duration LoadLogInterval = std::chrono::seconds(2);

//! Processor time that the calling thread has used.
inline Duration threadProcessorTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

//! Runs an action. An exception ends the action only and is logged: one request or message that
//! meets an unforeseen error must not end the process with all the others.
template <typename Action>
void runGuarded(RateLimitedLog &log, const char *where, const Action &action)
{
    try {
        action();
    } catch (const std::exception &error) {
        log.warn(LogLine("unexpected-error").add("where", where).add("reason", error.what()),
                 monotonicNow());
    }
}

class Runtime
{
public:
    explicit Runtime(std::uint32_t trafficThreads)
    {
        for (std::uint32_t i = 0; i < trafficThreads; ++i)
            traffic_.push_back(std::make_unique<asio::io_context>(1));
    }

    asio::io_context &control() { return control_; }

    std::vector<asio::io_context *> traffic()
    {
        std::vector<asio::io_context *> contexts;
        for (const auto &context : traffic_)
            contexts.push_back(context.get());
        return contexts;
    }

    //! Runs until stop(); the calling thread becomes the control thread.
    void run()
    {
        std::vector<std::jthread> threads;
        for (const auto &context : traffic_) {
            threads.emplace_back([this, &context] { runContext(*context, "traffic"); });
        }
        runContext(control_, "control");
        for (const auto &context : traffic_)
            context->stop();
    }

    //! Safe from any thread.
    void stop() { control_.stop(); }

private:
    void runContext(asio::io_context &context, const char *thread)
    {
        const auto guard = asio::make_work_guard(context);
        while (!context.stopped())
            runGuarded(errors_, thread, [&] { context.run(); });
    }

    RateLimitedLog errors_;
    asio::io_context control_ {1};
    std::vector<std::unique_ptr<asio::io_context>> traffic_;
};

//! What traffic learns for control: a queue with a wake-up of the control thread.
template <typename Note>
class Mailbox
{
public:
    Mailbox(asio::io_context &control, std::function<void(Note)> handler)
        : control_(control), handler_(std::move(handler))
    { }

    //! Safe from any thread; never blocks.
    void push(Note note)
    {
        notes_.push(std::move(note));
        if (!woken_.exchange(true))
            asio::post(control_, [this] { drain(); });
    }

private:
    void drain()
    {
        woken_ = false;
        Note note;
        while (notes_.try_pop(note))
            runGuarded(errors_, "mailbox", [&] { handler_(std::move(note)); });
    }

    asio::io_context &control_;
    std::function<void(Note)> handler_;
    tbb::concurrent_queue<Note> notes_;
    std::atomic<bool> woken_ {false};
    RateLimitedLog errors_;
};

//! Calls an action once, after the delay.
inline void callLater(asio::io_context &context, Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(context, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
        if (!error)
            action();
    });
}

//! Calls an action again and again on an io_context; the action returns the time until the next.
//! An exception out of the action is logged, and the next call comes after ErrorInterval.
class Ticker
{
public:
    Ticker(asio::io_context &context, std::function<Duration()> action)
        : timer_(context), action_(std::move(action))
    {
        arm(Duration::zero());
    }

    //! By how much the current call of the action comes too late.
    Duration delay() const { return delay_; }

private:
    static constexpr Duration ErrorInterval = std::chrono::milliseconds(100);

    void arm(Duration delay)
    {
        timer_.expires_after(delay);
        timer_.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            delay_ = std::chrono::duration_cast<Duration>(asio::steady_timer::clock_type::now()
                                                          - timer_.expiry());
            Duration next = ErrorInterval;
            runGuarded(errors_, "ticker", [&] { next = action_(); });
            arm(next);
        });
    }

    asio::steady_timer timer_;
    std::function<Duration()> action_;
    Duration delay_ {};
    RateLimitedLog errors_;
};

} // namespace gypsumcroft::detail
