//! Runs the soak with one seed after the other and prints what it finds.
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <gflags/gflags.h>

#include "soak/soakrun.h"

DEFINE_uint64(seeds, 1, "number of seeds");
DEFINE_uint64(first_seed, 1, "the first seed");
DEFINE_uint32(seconds, 20, "length of each run");
DEFINE_string(gypsumcroft, "", "the program");
DEFINE_string(table, "",
              "a file with a set's name, a seed, a length in seconds and a cause a line");
DEFINE_string(set, "ci", "the set of the table to run");
DEFINE_bool(show, false, "print the faults of each seed");

using namespace gypsumcroft;

namespace {

void show(const lab::SoakPlan &plan)
{
    for (const lab::Fault &fault : plan.faults_)
        std::printf(
                "  %lld ms +%lld ms %s %s %d\n", static_cast<long long>(fault.at_.count() / 1000),
                static_cast<long long>(fault.length_.count() / 1000),
                std::string(lab::nameOf(fault.kind_)).c_str(),
                std::string(lab::nameOf(fault.place_)).c_str(), static_cast<int>(fault.target_));
    std::fflush(stdout);
}

//! The number of findings.
std::size_t runSeed(std::uint64_t seed, std::uint32_t length)
{
    const lab::SoakPlan plan = lab::makePlan(seed, std::chrono::seconds(length));
    std::string folder = (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr)
        return 1;
    if (FLAGS_show)
        show(plan);
    const lab::SoakResult result = lab::runSoak(plan, FLAGS_gypsumcroft, folder);
    if (result.interrupted_)
        std::exit(1);
    std::printf("seed %llu: gateways=%u callers=%u faults=%llu requests=%llu successes=%llu "
                "peak_mb=%llu findings=%zu\n",
                static_cast<unsigned long long>(seed), plan.gateways_, plan.callers_,
                static_cast<unsigned long long>(result.faults_),
                static_cast<unsigned long long>(result.requests_),
                static_cast<unsigned long long>(result.successes_),
                static_cast<unsigned long long>(result.peakBytes_ >> 20U), result.findings_.size());
    for (const std::string &finding : result.findings_)
        std::printf("  %s\n", finding.c_str());
    if (result.findings_.empty())
        std::filesystem::remove_all(folder);
    else
        std::printf("  logs: %s\n", folder.c_str());
    std::fflush(stdout);
    return result.findings_.size();
}

std::size_t runTable()
{
    std::ifstream file(FLAGS_table);
    std::size_t findings = file ? 0 : 1;
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::string set;
        std::uint64_t seed = 0;
        std::uint32_t length = 0;
        if (words >> set >> seed >> length && set == FLAGS_set)
            findings += runSeed(seed, length);
    }
    return findings;
}

//! The number of findings.
std::size_t runSeeds()
{
    std::size_t findings = 0;
    for (std::uint64_t i = 0; i < FLAGS_seeds; ++i)
        findings += runSeed(FLAGS_first_seed + i, FLAGS_seconds);
    return findings;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::size_t findings = FLAGS_table.empty() ? runSeeds() : runTable();
    return findings == 0 ? 0 : 1;
}
