//! What every stand-in program needs: a loop, a server, JSON in and out, answers after a delay.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/json.hpp>

#include "http/server.h"

namespace gypsumcroft::standins {

using Route = std::function<void(const http::HttpRequest &, std::shared_ptr<http::Exchange>)>;

class Program
{
public:
    Program();
    ~Program();
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    //! key is "METHOD /path"; the longest path that matches as a prefix is taken.
    void route(const std::string &key, Route handler);
    void after(std::chrono::microseconds delay, std::function<void()> action);
    //! Serves until SIGTERM or SIGINT; prints "listening=ADDRESS" once it does.
    int run(const std::string &address);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

http::HttpResponse jsonAnswer(const boost::json::value &value, std::uint16_t status = 200);
//! The body as an object; empty if it is none.
boost::json::object bodyObject(const http::HttpRequest &request);
std::int64_t numberOr(const boost::json::object &object, const char *name, std::int64_t fallback);
std::int64_t wallMilliseconds();

} // namespace gypsumcroft::standins
