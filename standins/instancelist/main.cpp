//! Instance list stand-in: docs/PROTOCOLS.md, "The list of instances". The list lags.
#include <deque>

#include <gflags/gflags.h>

#include "common/program.h"

DEFINE_string(listen, "127.0.0.1:0", "address to listen on");
DEFINE_int64(lag_ms, 500, "how late the list is");

namespace json = boost::json;
using namespace gypsumcroft;
using namespace gypsumcroft::standins;

namespace {

//! A version of the list with the time from which it is shown.
struct Version
{
    std::int64_t shownFromMs_ = 0;
    json::object instances_;
};

struct ListProgram
{
    Program program_;
    std::deque<Version> versions_ {{}};
};

json::value shown(ListProgram &self)
{
    while (self.versions_.size() > 1 && self.versions_[1].shownFromMs_ <= wallMilliseconds())
        self.versions_.pop_front();
    json::array list;
    for (const auto &entry : self.versions_.front().instances_)
        list.push_back(entry.value());
    return {{"instances", list}};
}

//! Adds or replaces an instance; with "state":"gone" it is taken out.
void put(ListProgram &self, const http::HttpRequest &request,
         const std::shared_ptr<http::Exchange> &exchange)
{
    const json::object body = bodyObject(request);
    const auto *name = body.if_contains("instance");
    const auto *state = body.if_contains("state");
    if (name == nullptr || !name->is_string() || state == nullptr || !state->is_string()) {
        exchange->respond(jsonAnswer({{"error", "instance and state are needed"}}, 400));
        return;
    }
    Version next {wallMilliseconds() + FLAGS_lag_ms, self.versions_.back().instances_};
    if (state->as_string() == "gone")
        next.instances_.erase(name->as_string());
    else
        next.instances_[name->as_string()] = body;
    self.versions_.push_back(std::move(next));
    exchange->respond(jsonAnswer({{"ok", true}}));
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    ListProgram self;
    self.program_.route("GET /v1/instances", [&self](const auto &, auto exchange) {
        exchange->respond(jsonAnswer(shown(self)));
    });
    self.program_.route("POST /v1/instances", [&self](const auto &request, auto exchange) {
        put(self, request, exchange);
    });
    return self.program_.run(FLAGS_listen);
}
