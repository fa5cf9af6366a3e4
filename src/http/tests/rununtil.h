//! Helper for tests: runs an io_context until a condition holds.
#pragma once

#include <chrono>
#include <functional>

#include <boost/asio/io_context.hpp>

namespace gypsumcroft::http::tests {

//! Runs the context until the condition holds. Returns false if the time limit is exceeded.
inline bool runUntil(boost::asio::io_context &context, std::chrono::seconds limit,
                     const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end)
        context.run_one_for(std::chrono::milliseconds(50));
    return condition();
}

inline bool runUntil(boost::asio::io_context &context, const std::function<bool()> &condition)
{
    return runUntil(context, std::chrono::seconds(10), condition);
}

} // namespace gypsumcroft::http::tests
