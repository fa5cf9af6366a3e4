//! Plain service stand-in: docs/PROTOCOLS.md, "Plain services".
#include <fstream>

#include <gflags/gflags.h>

#include "common/program.h"
#include "plainservice/service.h"

DEFINE_string(listen, "127.0.0.1:0", "address to listen on");
DEFINE_string(service, "bookings", "service name");
DEFINE_int32(slots, 16, "calls side by side");
DEFINE_string(effects, "", "file to which each effect is appended, one body a line");
DEFINE_int64(cost_us, 2000, "time for one call, in microseconds");

namespace json = boost::json;
using namespace gypsumcroft;
using namespace gypsumcroft::standins;

namespace {

struct ServiceProgram
{
    Program program_;
    PlainService service_;
    std::int64_t delayUs_ = 0;
    std::int64_t loseAnswers_ = 0;
    bool leaving_ = false;
};

//! A lost answer took effect; its connection stays without an answer.
void call(ServiceProgram &self, const http::HttpRequest &request,
          const std::shared_ptr<http::Exchange> &exchange)
{
    ++self.service_.busy_;
    self.program_.after(std::chrono::microseconds(FLAGS_cost_us + self.delayUs_),
                        [&self, exchange, body = request.body_] {
                            --self.service_.busy_;
                            http::HttpResponse response;
                            response.body_ = runCall(self.service_, body);
                            if (!FLAGS_effects.empty())
                                std::ofstream(FLAGS_effects, std::ios::app) << body << "\n";
                            if (self.loseAnswers_ > 0)
                                --self.loseAnswers_;
                            else
                                exchange->respond(std::move(response));
                        });
}

json::value report(const ServiceProgram &self)
{
    return {{"kind", "service"},
            {"service", self.service_.name_},
            {"slots", self.service_.slots_},
            {"busy", self.service_.busy_},
            {"state", self.leaving_ ? "leaving" : "serving"}};
}

json::value effects(const ServiceProgram &self)
{
    json::object counts;
    for (const auto &[body, count] : self.service_.effects_)
        counts[body] = count;
    return {{"effects", counts}};
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    ServiceProgram self;
    self.service_.name_ = FLAGS_service;
    self.service_.slots_ = static_cast<std::uint32_t>(FLAGS_slots);
    self.program_.route("GET /v1/report", [&self](const auto &, auto exchange) {
        exchange->respond(jsonAnswer(report(self)));
    });
    self.program_.route("POST /v1/call", [&self](const auto &request, auto exchange) {
        call(self, request, exchange);
    });
    self.program_.route("GET /effects", [&self](const auto &, auto exchange) {
        exchange->respond(jsonAnswer(effects(self)));
    });
    self.program_.route("POST /faults", [&self](const auto &request, auto exchange) {
        const json::object body = bodyObject(request);
        self.delayUs_ = numberOr(body, "delayUs", self.delayUs_);
        self.loseAnswers_ = numberOr(body, "loseAnswers", self.loseAnswers_);
        self.leaving_ = numberOr(body, "leaving", self.leaving_ ? 1 : 0) != 0;
        exchange->respond(jsonAnswer({{"ok", true}}));
    });
    return self.program_.run(FLAGS_listen);
}
