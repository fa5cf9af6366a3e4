#include "workload.h"

#include <algorithm>
#include <cmath>

#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/push_relabel_max_flow.hpp>

namespace gypsumcroft::lab {

namespace detail {

constexpr std::uint32_t Pipelines = 10;
constexpr std::uint32_t Stages = 4;
constexpr std::uint32_t ModelLayers = 8;
constexpr std::uint32_t StreamsHeld = 32;
constexpr std::uint32_t BatchWidth = 4;
constexpr std::uint32_t LongestAnswer = 400;
constexpr double TailExponent = 1.6;

//! Three kinds of accelerator whose speeds differ fourfold.
Duration costOf(const FleetShape &shape, std::uint32_t pipeline)
{
    if (!shape.mixedKinds_)
        return std::chrono::milliseconds(16);
    if (pipeline <= 3)
        return std::chrono::milliseconds(8);
    return pipeline <= 7 ? std::chrono::milliseconds(16) : std::chrono::milliseconds(32);
}

std::string stageName(std::uint32_t pipeline, std::uint32_t stage)
{
    return "stage-" + std::to_string(pipeline) + "-" + std::to_string(stage);
}

std::string domainOf(std::uint32_t pipeline, std::uint32_t stage)
{
    static const char *const domains[] = {"a", "b", "c"};
    return domains[(pipeline + stage) % 3];
}

void buildFleet(Fleet &fleet, const WorkloadOptions &options)
{
    const FleetShape &shape = options.shape_;
    for (std::uint32_t i = 1; i <= shape.entries_; ++i)
        fleet.addEntry("entry-" + std::to_string(i), domainOf(i, 0));
    for (std::uint32_t p = 1; p <= Pipelines; ++p) {
        for (std::uint32_t s = 1; s <= Stages; ++s) {
            standins::EngineSettings settings;
            const std::uint32_t width = ModelLayers / Stages;
            settings.layers_ = {{(s - 1) * width}, {s * width}};
            settings.modelLayers_ = {ModelLayers};
            settings.slots_ = {StreamsHeld};
            settings.batch_ = BatchWidth;
            settings.costPerToken_ = costOf(shape, p);
            fleet.addStage(stageName(p, s), domainOf(p, s), settings);
        }
    }
    for (std::uint32_t i = 1; i <= 3; ++i)
        fleet.addService("booking-" + std::to_string(i), domainOf(i, 0), "bookings", 16);
    if (!shape.slowLinks_)
        return;
    //! Odd and even pipelines are joined by links that are a hundred times slower.
    for (std::uint32_t p = 1; p <= Pipelines; ++p) {
        for (std::uint32_t q = 1; q <= Pipelines; ++q) {
            for (std::uint32_t s = 1; s < Stages && p % 2 != q % 2; ++s)
                fleet.slowLink(stageName(p, s), stageName(q, s + 1), std::chrono::milliseconds(20));
        }
    }
}

Template workTemplate(const WorkloadOptions &options, const std::string &name)
{
    Template work;
    work.id_ = {name};
    work.target_ = {"panels"};
    work.rank_ = rankOf(name);
    work.responseTimeout_ = name == "quote"     ? options.quotePatience_
                            : name == "summary" ? options.summaryPatience_
                                                : options.answerPatience_;
    work.parameters_["maxTokens"] = {LongestAnswer, 1, LongestAnswer};
    return work;
}

void publishAll(Fleet &fleet, const WorkloadOptions &options)
{
    for (const char *name : {"quote", "answer", "summary"})
        fleet.publish(workTemplate(options, name), {}, name);
    for (int i = 1; i <= 10; ++i) {
        ParameterSet set;
        set.organisation_ = {"org-" + std::to_string(i)};
        set.apiKeyHashes_ = {apiKeyOf(set.organisation_.value_)};
        fleet.publish(set, {}, set.organisation_.value_);
    }
    FleetPolicy policy;
    policy.minShares_ = options.floors_;
    fleet.publish(policy, {}, "fleet");
}

//! Pareto lengths with the given mean, cut at the longest answer.
std::uint32_t answerLength(Random &random, double mean)
{
    const double least = mean * (TailExponent - 1) / TailExponent;
    const double length = least / std::pow(1.0 - randomUnit(random), 1.0 / TailExponent);
    return static_cast<std::uint32_t>(std::clamp(length, 1.0, double {LongestAnswer}));
}

std::string pickEntry(const WorkloadOptions &options, Random &random)
{
    double at = randomUnit(random);
    for (std::size_t i = 0; i < options.entryShares_.size(); ++i) {
        at -= options.entryShares_[i];
        if (at < 0)
            return "entry-" + std::to_string(i + 1);
    }
    return "entry-" + std::to_string(1 + randomBelow(random, options.shape_.entries_));
}

//! Arrivals do not depend on what the router does: the same seed gives the same requests.
void scheduleLoad(Fleet &fleet, const WorkloadOptions &options, const LoadSpec &load,
                  TimePoint start, Random &random)
{
    if (load.perSecond_ <= 0)
        return;
    double at = static_cast<double>(load.from_.count());
    int number = 0;
    while (true) {
        at += -std::log(1.0 - randomUnit(random)) / load.perSecond_ * 1e6;
        if (at >= static_cast<double>(load.to_.count()))
            return;
        CallerRecord record;
        record.template_ = load.work_;
        record.organisation_ = load.organisation_;
        record.caller_ = load.caller_.empty() ? load.organisation_ + "-"
                                                        + std::to_string(randomBelow(random, 20))
                                              : load.caller_;
        record.body_ = load.work_ + load.organisation_ + load.caller_ + std::to_string(number++);
        record.maxTokens_ = answerLength(random, load.meanTokens_);
        const std::string entry = pickEntry(options, random);
        fleet.at(start + Duration(static_cast<std::int64_t>(at)),
                 [&fleet, entry, record] { fleet.send(entry, record); });
    }
}

void countTokens(const Fleet &fleet, WorkloadResult &result)
{
    std::array<std::uint64_t, RankCount> byRank {};
    for (const CallerRecord &record : fleet.records_)
        byRank[static_cast<std::size_t>(rankOf(record.template_))] += record.tokens_.size();
    result.rankTokensAt_.push_back(byRank);
    result.tokensAt_.push_back(byRank[0] + byRank[1] + byRank[2]);
}

} // namespace detail

FleetShape trivediFleet(bool mixedKinds)
{
    return {"trivedi", mixedKinds, mixedKinds, std::chrono::milliseconds(1), 3};
}

FleetShape nileFleet(bool mixedKinds)
{
    return {"nile", mixedKinds, mixedKinds, std::chrono::milliseconds(4), 3};
}

Rank rankOf(const std::string &work)
{
    if (work == "quote")
        return Rank::Urgent;
    return work == "summary" ? Rank::Background : Rank::Standard;
}

std::vector<std::pair<std::string, std::string>> stagesOf(const FleetShape &)
{
    std::vector<std::pair<std::string, std::string>> stages;
    for (std::uint32_t p = 1; p <= detail::Pipelines; ++p) {
        for (std::uint32_t s = 1; s <= detail::Stages; ++s)
            stages.emplace_back(detail::stageName(p, s), detail::domainOf(p, s));
    }
    return stages;
}

double fleetBound(const FleetShape &shape, const std::vector<std::string> &dead)
{
    using Traits = boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
    using Graph = boost::adjacency_list<
            boost::vecS, boost::vecS, boost::directedS, boost::no_property,
            boost::property<boost::edge_capacity_t, long,
                            boost::property<boost::edge_residual_capacity_t, long,
                                            boost::property<boost::edge_reverse_t,
                                                            Traits::edge_descriptor>>>>;
    constexpr long Unlimited = 1000000000;
    constexpr double Scale = 1000;
    Graph graph(2 + 2 * detail::Pipelines * detail::Stages);
    auto capacity = get(boost::edge_capacity, graph);
    auto reverse = get(boost::edge_reverse, graph);
    const auto connect = [&](std::size_t from, std::size_t to, long amount) {
        const auto edge = add_edge(from, to, graph).first;
        const auto back = add_edge(to, from, graph).first;
        capacity[edge] = amount;
        capacity[back] = 0;
        reverse[edge] = back;
        reverse[back] = edge;
    };
    const auto node = [](std::uint32_t pipeline, std::uint32_t stage) {
        return 2 + 2 * ((pipeline - 1) * detail::Stages + stage - 1);
    };
    for (std::uint32_t p = 1; p <= detail::Pipelines; ++p) {
        for (std::uint32_t s = 1; s <= detail::Stages; ++s) {
            const bool gone
                    = std::find(dead.begin(), dead.end(), detail::stageName(p, s)) != dead.end();
            const double seconds = static_cast<double>(detail::costOf(shape, p).count()) / 1e6;
            const double rate = gone ? 0 : detail::BatchWidth / seconds;
            connect(node(p, s), node(p, s) + 1, static_cast<long>(rate * Scale));
            if (s == 1)
                connect(0, node(p, s), Unlimited);
            if (s == detail::Stages)
                connect(node(p, s) + 1, 1, Unlimited);
            for (std::uint32_t q = 1; q <= detail::Pipelines && s < detail::Stages; ++q)
                connect(node(p, s) + 1, node(q, s + 1), Unlimited);
        }
    }
    return static_cast<double>(boost::push_relabel_max_flow(graph, 0, 1)) / Scale;
}

std::vector<LoadSpec> normalDay(double tokensPerSecond, Duration length)
{
    constexpr double MeanTokens = 40;
    struct Part
    {
        const char *work_;
        double share_;
    };
    static constexpr Part Parts[] = {{"quote", 0.5}, {"answer", 0.3}, {"summary", 0.2}};
    std::vector<LoadSpec> loads;
    for (int i = 1; i <= 10; ++i) {
        const double organisation = i <= 2 ? 0.3 : 0.05;
        for (const Part &part : Parts)
            loads.push_back({part.work_,
                             "org-" + std::to_string(i),
                             "",
                             tokensPerSecond * organisation * part.share_ / MeanTokens,
                             {},
                             length,
                             MeanTokens});
    }
    return loads;
}

WorkloadResult runWorkload(const WorkloadOptions &options)
{
    FleetOptions fleetOptions = defaultFleetOptions(options.seed_);
    fleetOptions.naive_ = options.naive_;
    fleetOptions.reportLag_ = options.reportLag_;
    fleetOptions.network_.callerDelay_ = options.shape_.callerDelay_;
    fleetOptions.network_.datagramLoss_ = options.datagramLoss_;
    Fleet fleet(fleetOptions);
    fleet.keepLayerRuns_ = false;
    detail::buildFleet(fleet, options);
    detail::publishAll(fleet, options);
    fleet.runUntil(fleet.now() + std::chrono::seconds(3));
    WorkloadResult result;
    result.start_ = fleet.now();
    Random random {options.seed_ * 31 + 7};
    for (const LoadSpec &load : options.loads_)
        detail::scheduleLoad(fleet, options, load, result.start_, random);
    for (const Duration sample : options.samples_)
        fleet.at(result.start_ + sample, [&] { detail::countTokens(fleet, result); });
    if (options.prepare_)
        options.prepare_(fleet, result.start_);
    fleet.runUntil(result.start_ + options.length_);
    for (const auto &[name, entry] : fleet.entries_)
        result.attempts_
                += entry->naive_ ? entry->naive_->attempts_ : entry->traffic_.counters_.dispatched_;
    result.records_ = std::move(fleet.records_);
    return result;
}

} // namespace gypsumcroft::lab
