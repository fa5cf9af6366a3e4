//! Measures the path over real processes on this machine. Prints a line a figure; no bounds, for
//! absolute times depend on the machine.
#include <signal.h>

#include <algorithm>
#include <iostream>

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include "processdriver.h"

DEFINE_string(gypsumcroft, "build/src/app/gypsumcroft", "the product's binary");
DEFINE_string(standins, "build/standins", "folder of the stand-ins");

namespace gypsumcroft::lab {
namespace {

void print(const std::string &name, double value)
{
    std::cout << "name=" << name << " value=" << value << std::endl;
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(share * last)];
}

CallerRecord quote(int number, std::uint32_t tokens)
{
    CallerRecord record;
    record.template_ = "quote";
    record.body_ = "measure " + std::to_string(number);
    record.maxTokens_ = tokens;
    return record;
}

//! One token by calling the four engines one after the other.
double directToken(ProcessFleet &fleet, ProcessDriver &driver, int number)
{
    std::string input = "direct " + std::to_string(number);
    const TimePoint begin = driver.now();
    for (int stage = 0; stage < 4; ++stage) {
        http::HttpRequest request;
        request.method_ = "POST";
        request.path_ = "/v1/steps";
        request.body_ = boost::json::serialize(
                boost::json::object {{"stream", "direct-" + std::to_string(number)},
                                     {"layers", {stage * 2, stage * 2 + 2}},
                                     {"position", 0},
                                     {"priority", 0},
                                     {"inputs", {input}}});
        const auto result = driver.ask(
                fleet.child("engine-stage-1-" + std::to_string(stage + 1)).http_, request);
        if (!result.response_)
            return -1;
        const auto answer = boost::json::parse(result.response_->body_);
        input = std::string(answer.at("outputs").as_array().at(0).as_string());
    }
    return toMilliseconds(driver.now() - begin);
}

void measureLatency(ProcessFleet &fleet, ProcessDriver &driver)
{
    constexpr int Pairs = 150;
    std::vector<double> added;
    std::vector<double> through;
    for (int i = 0; i < Pairs; ++i) {
        const double direct = directToken(fleet, driver, i);
        const TimePoint begin = driver.now();
        const std::size_t index = driver.send("entry-1", quote(i, 1), false);
        driver.runUntil([&] { return driver.records_[index].ending_ != Ending::None; },
                        std::chrono::seconds(10));
        const double whole = toMilliseconds(driver.records_[index].ended_ - begin);
        through.push_back(whole);
        added.push_back(whole - direct);
    }
    print("latency.through_entry_ms.median", percentile(through, 0.5));
    print("latency.added_ms.median", percentile(added, 0.5));
    print("latency.added_ms.p99", percentile(added, 0.99));
}

void measureTokens(ProcessFleet &fleet, ProcessDriver &driver, int streams)
{
    constexpr std::uint32_t Tokens = 64;
    constexpr int Rounds = 3;
    const std::size_t first = driver.records_.size();
    const TimePoint begin = driver.now();
    for (int round = 0; round < Rounds; ++round) {
        for (int i = 0; i < streams; ++i)
            driver.send("entry-1", quote(1000 + round * streams + i, Tokens), true);
        if (round == 0) {
            driver.runUntil([&] { return driver.now() - begin > std::chrono::milliseconds(300); },
                            std::chrono::seconds(2));
            const std::string suffix = "." + std::to_string(streams) + "_streams";
            print("memory.entry_mb" + suffix,
                  static_cast<double>(fleet.residentBytes("entry-1")) / 1e6);
            print("memory.agent_mb" + suffix,
                  static_cast<double>(fleet.residentBytes("stage-1-1")) / 1e6);
        }
        driver.runUntil([&] { return driver.allEnded(); }, std::chrono::seconds(60));
    }
    std::size_t tokens = 0;
    for (std::size_t i = first; i < driver.records_.size(); ++i)
        tokens += driver.records_[i].tokens_.size();
    const double seconds = toMilliseconds(driver.now() - begin) / 1000;
    print("tokens_per_s." + std::to_string(streams) + "_streams",
          static_cast<double>(tokens) / seconds);
}

void measureIdle(ProcessFleet &fleet, ProcessDriver &driver)
{
    constexpr int Seconds = 5;
    const Duration entry = fleet.processorTime("entry-1");
    const Duration agent = fleet.processorTime("stage-1-1");
    driver.runUntil([] { return false; }, std::chrono::seconds(Seconds));
    const auto percent = [](Duration used) { return toMilliseconds(used) / (Seconds * 10.0); };
    print("idle.entry_cpu_percent", percent(fleet.processorTime("entry-1") - entry));
    print("idle.agent_cpu_percent", percent(fleet.processorTime("stage-1-1") - agent));
    print("memory.entry_mb.idle", static_cast<double>(fleet.residentBytes("entry-1")) / 1e6);
    print("memory.agent_mb.idle", static_cast<double>(fleet.residentBytes("stage-1-1")) / 1e6);
}

//! Open-loop bookings under 300 appends a second.
void measureClaims(const ProgramPaths &paths, std::uint32_t batch)
{
    constexpr int Bookings = 3000;
    constexpr Duration Gap = std::chrono::microseconds(2500);
    ProcessFleetOptions options;
    options.claimsBatch_ = batch;
    options.entries_ = 1;
    ProcessFleet fleet(paths, options);
    ProcessDriver driver(fleet);
    fleet.startAll();
    if (!driver.waitReady())
        return;
    for (int i = 0; i < Bookings; ++i) {
        driver.after(Gap * i, [&driver, i] {
            CallerRecord record;
            record.template_ = "booking";
            record.body_ = "b" + std::to_string(i);
            record.key_ = "k" + std::to_string(i);
            driver.send("entry-1", record, false);
        });
    }
    const TimePoint begin = driver.now();
    driver.runUntil([&] { return driver.records_.size() == Bookings && driver.allEnded(); },
                    std::chrono::seconds(40));
    std::vector<double> times;
    for (const CallerRecord &record : driver.records_) {
        if (record.ending_ == Ending::Done)
            times.push_back(toMilliseconds(record.ended_ - record.sent_));
    }
    http::HttpRequest request;
    request.path_ = "/stats";
    const auto stats = driver.ask(fleet.log(), request);
    const auto appends
            = boost::json::parse(stats.response_->body_).at("appends").to_number<double>();
    const double seconds = toMilliseconds(driver.now() - begin) / 1000;
    const std::string name = "claims.batch_" + std::to_string(batch);
    print(name + ".done", static_cast<double>(times.size()));
    print(name + ".done_per_s", static_cast<double>(times.size()) / seconds);
    print(name + ".appends_per_s", appends / seconds);
    if (times.empty())
        return;
    print(name + ".latency_ms.median", percentile(times, 0.5));
    print(name + ".latency_ms.p99", percentile(times, 0.99));
}

std::uint64_t configThrough(ProcessFleet &fleet, ProcessDriver &driver, const std::string &entry)
{
    http::HttpRequest request;
    request.path_ = "/v1/config";
    request.headers_["Authorization"] = "Bearer " + fleet.token();
    const auto result = driver.ask(fleet.child(entry).operators_, request);
    if (!result.response_ || result.response_->status_ != 200)
        return 0;
    const auto value = boost::json::parse(result.response_->body_);
    return value.at("through").to_number<std::uint64_t>();
}

//! Time from the start of 'publish' until every entry shows the new offset.
void measureConfiguration(ProcessFleet &fleet, ProcessDriver &driver)
{
    constexpr std::uint32_t Publications = 20;
    std::vector<double> times;
    for (std::uint32_t i = 0; i < Publications; ++i) {
        const std::uint64_t before = configThrough(fleet, driver, "entry-1");
        const TimePoint begin = driver.now();
        driver.publishAsync(quoteDocument(100 + i), "measure-" + std::to_string(i));
        const bool everywhere = driver.runUntil(
                [&] {
                    const auto names = fleet.names("entry-");
                    return std::all_of(names.begin(), names.end(), [&](const std::string &name) {
                        return configThrough(fleet, driver, name) > before;
                    });
                },
                std::chrono::seconds(10));
        if (everywhere)
            times.push_back(toMilliseconds(driver.now() - begin));
        driver.runUntil(
                [&] {
                    driver.reapPublishers();
                    return !driver.arePublishing();
                },
                std::chrono::seconds(10));
    }
    print("configuration.in_force_everywhere", static_cast<double>(times.size()));
    if (times.empty())
        return;
    print("configuration.in_force_ms.median", percentile(times, 0.5));
    print("configuration.in_force_ms.worst", percentile(times, 1.0));
}

//! Time from a fault until a booking with a fresh key is done again.
double bookingBackAfter(ProcessDriver &driver, const std::string &name)
{
    const TimePoint begin = driver.now();
    for (int i = 0; i < 400; ++i) {
        CallerRecord record;
        record.template_ = "booking";
        record.body_ = name + std::to_string(i);
        record.key_ = record.body_;
        const std::size_t index = driver.send("entry-1", record, false);
        driver.runUntil([&] { return driver.records_[index].ending_ != Ending::None; },
                        std::chrono::seconds(20));
        if (driver.records_[index].ending_ == Ending::Done)
            break;
    }
    return toMilliseconds(driver.now() - begin);
}

void measureRecoveryOfBooking(const ProgramPaths &paths)
{
    ProcessFleetOptions options;
    options.services_ = 2;
    ProcessFleet fleet(paths, options);
    ProcessDriver driver(fleet);
    fleet.startAll();
    if (!driver.waitReady())
        return;
    fleet.signal("booking-1", SIGKILL);
    print("recovery.booking_after_agent_kill_ms", bookingBackAfter(driver, "kill"));
    constexpr int OutageMs = 6000;
    driver.fault("log", R"({"outageMs":)" + std::to_string(OutageMs) + "}");
    driver.runUntil([] { return false; }, std::chrono::milliseconds(OutageMs));
    print("recovery.booking_after_log_outage_ms", bookingBackAfter(driver, "outage"));
}

int measureAll()
{
    const ProgramPaths paths {FLAGS_gypsumcroft, FLAGS_standins};
    {
        ProcessFleetOptions options;
        options.slots_ = 64;
        ProcessFleet fleet(paths, options);
        ProcessDriver driver(fleet);
        fleet.startAll();
        if (!driver.waitReady()) {
            std::cerr << "the fleet did not come up\n";
            return 1;
        }
        measureIdle(fleet, driver);
        measureLatency(fleet, driver);
        measureTokens(fleet, driver, 8);
        measureTokens(fleet, driver, 64);
        measureConfiguration(fleet, driver);
    }
    measureRecoveryOfBooking(paths);
    measureClaims(paths, 1);
    measureClaims(paths, 256);
    return 0;
}

} // namespace
} // namespace gypsumcroft::lab

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return gypsumcroft::lab::measureAll();
}
