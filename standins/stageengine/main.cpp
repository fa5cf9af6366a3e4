//! Stage engine stand-in: docs/PROTOCOLS.md, "Stage engines".
#include <cstdlib>
#include <deque>
#include <iostream>

#include <gflags/gflags.h>

#include "common/program.h"
#include "stageengine/engine.h"

DEFINE_string(listen, "127.0.0.1:0", "address to listen on");
DEFINE_string(model, "panels", "model name");
DEFINE_string(model_version, "1", "model version");
DEFINE_int32(first, 0, "first layer");
DEFINE_int32(end, 1, "layer after the last one");
DEFINE_int32(layers, 1, "layers of the whole model");
DEFINE_string(accelerator, "a1", "kind of accelerator");
DEFINE_int32(slots, 8, "streams side by side");
DEFINE_int32(batch, 0, "steps side by side; 0: as many as slots");
DEFINE_int64(cost_us, 2000, "time for one token, in microseconds");
DEFINE_string(poison, "", "a prompt with this text crashes the engine");
DEFINE_bool(records, true, "keep a record of every layer run");

namespace json = boost::json;
using namespace gypsumcroft;
using namespace gypsumcroft::standins;

namespace {

struct Waiting
{
    EngineStep step_;
    std::shared_ptr<http::Exchange> exchange_;
};

struct EngineProgram
{
    Program program_;
    StageEngine engine_;
    std::deque<Waiting> waiting_;
    std::uint32_t running_ = 0;
    std::int64_t extraDelayUs_ = 0;
    std::uint32_t wrongAnswers_ = 0;
    bool leaving_ = false;
};

void startNext(EngineProgram &self);

void finish(EngineProgram &self, const Waiting &work)
{
    if (isPoisoned(self.engine_, work.step_))
        std::_Exit(3);
    const EngineAnswer answer = runStep(self.engine_, work.step_);
    json::array outputs;
    for (const std::string &output : answer.outputs_)
        outputs.emplace_back(output);
    if (self.wrongAnswers_ > 0) {
        --self.wrongAnswers_;
        outputs.clear();
    }
    work.exchange_->respond(jsonAnswer({{"outputs", outputs}, {"end", answer.end_}}));
    --self.running_;
    startNext(self);
}

//! Continuous batching: as many steps side by side as there are slots, the most urgent first.
void startNext(EngineProgram &self)
{
    while (!self.waiting_.empty() && self.running_ < batchWidth(self.engine_.settings_)) {
        auto next = self.waiting_.begin();
        for (auto at = self.waiting_.begin(); at != self.waiting_.end(); ++at) {
            if (at->step_.priority_ < next->step_.priority_)
                next = at;
        }
        Waiting work = std::move(*next);
        self.waiting_.erase(next);
        ++self.running_;
        const Duration time = stepTime(self.engine_.settings_, work.step_.inputs_.size())
                              + Duration(self.extraDelayUs_);
        self.program_.after(time, [&self, work = std::move(work)] { finish(self, work); });
    }
}

void step(EngineProgram &self, const http::HttpRequest &request,
          const std::shared_ptr<http::Exchange> &exchange)
{
    const json::object body = bodyObject(request);
    EngineStep step;
    try {
        step.stream_ = std::string(body.at("stream").as_string());
        const auto &layers = body.at("layers").as_array();
        step.layers_ = {{layers.at(0).to_number<std::uint32_t>()},
                        {layers.at(1).to_number<std::uint32_t>()}};
        step.position_ = {body.at("position").to_number<std::uint32_t>()};
        step.priority_ = body.at("priority").to_number<std::uint32_t>();
        for (const json::value &input : body.at("inputs").as_array())
            step.inputs_.push_back(std::string(input.as_string()));
    } catch (const std::exception &) {
        exchange->respond(jsonAnswer({{"error", "malformed step"}}, 400));
        return;
    }
    self.waiting_.push_back({std::move(step), exchange});
    startNext(self);
}

json::value report(const EngineProgram &self)
{
    const EngineSettings &settings = self.engine_.settings_;
    return {{"kind", "stage"},
            {"model", settings.model_},
            {"version", settings.version_},
            {"layers", {settings.layers_.first_.value_, settings.layers_.end_.value_}},
            {"modelLayers", settings.modelLayers_.value_},
            {"accelerator", settings.accelerator_},
            {"slots", settings.slots_.value_},
            {"busy", self.engine_.streams_.size()},
            {"costPerTokenUs", settings.costPerToken_.count()},
            {"state", self.leaving_ ? "leaving" : "serving"}};
}

json::value records(const EngineProgram &self)
{
    json::array list;
    for (const EngineRecord &record : self.engine_.records_)
        list.push_back({record.stream_, record.layer_.value_, record.position_.value_,
                        std::to_string(record.value_)});
    return {{"records", list}};
}

void faults(EngineProgram &self, const http::HttpRequest &request,
            const std::shared_ptr<http::Exchange> &exchange)
{
    const json::object body = bodyObject(request);
    self.extraDelayUs_ = numberOr(body, "delayUs", self.extraDelayUs_);
    self.wrongAnswers_ = static_cast<std::uint32_t>(numberOr(body, "wrongAnswers", 0));
    self.leaving_ = numberOr(body, "leaving", self.leaving_ ? 1 : 0) != 0;
    exchange->respond(jsonAnswer({{"ok", true}}));
}

void addRoutes(EngineProgram &self)
{
    self.program_.route("GET /v1/report", [&self](const auto &, auto exchange) {
        exchange->respond(jsonAnswer(report(self)));
    });
    self.program_.route("POST /v1/steps", [&self](const auto &request, auto exchange) {
        step(self, request, exchange);
    });
    self.program_.route("POST /v1/streams/cancel", [&self](const auto &request, auto exchange) {
        const json::object body = bodyObject(request);
        const auto *stream = body.if_contains("stream");
        if (stream != nullptr && stream->is_string())
            cancelStream(self.engine_, std::string(stream->as_string()));
        exchange->respond(jsonAnswer({{"ok", true}}));
    });
    self.program_.route("POST /v1/streams/cancel-all", [&self](const auto &, auto exchange) {
        self.engine_.streams_.clear();
        exchange->respond(jsonAnswer({{"ok", true}}));
    });
    self.program_.route("GET /records", [&self](const auto &, auto exchange) {
        exchange->respond(jsonAnswer(records(self)));
    });
    self.program_.route("POST /faults", [&self](const auto &request, auto exchange) {
        faults(self, request, exchange);
    });
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    EngineProgram self;
    EngineSettings &settings = self.engine_.settings_;
    settings.model_ = FLAGS_model;
    settings.version_ = FLAGS_model_version;
    settings.layers_
            = {{static_cast<std::uint32_t>(FLAGS_first)}, {static_cast<std::uint32_t>(FLAGS_end)}};
    settings.modelLayers_ = {static_cast<std::uint32_t>(FLAGS_layers)};
    settings.accelerator_ = FLAGS_accelerator;
    settings.slots_ = {static_cast<std::uint32_t>(FLAGS_slots)};
    settings.batch_ = static_cast<std::uint32_t>(FLAGS_batch);
    settings.costPerToken_ = Duration(FLAGS_cost_us);
    settings.poison_ = FLAGS_poison;
    self.engine_.keepRecords_ = FLAGS_records;
    addRoutes(self);
    return self.program_.run(FLAGS_listen);
}
