//! Waiting on an io_context in tests.
#pragma once

#include <chrono>
#include <functional>

#include <boost/asio/io_context.hpp>

namespace gypsumcroft::http::tests {

//! Runs until the condition holds; false if that takes longer than the limit.
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
