//! Runs scenario files by hand: FILE... --seed N [--seeds M] [--log].
#include <iostream>

#include <gflags/gflags.h>
#include <oneapi/tbb/parallel_for.h>

#include "scenario.h"

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "how many seeds to run");
DEFINE_bool(log, false, "print what the cores logged (one seed)");

int main(int argc, char **argv)
{
    using namespace gypsumcroft;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    int failed = 0;
    for (int i = 1; i < argc; ++i) {
        Findings findings;
        const auto scenario = lab::loadScenario(argv[i], findings);
        for (const Finding &finding : findings)
            std::cerr << finding.place_ << ": " << finding.message_ << "\n";
        if (!scenario)
            return 2;
        std::vector<lab::ScenarioReport> reports(FLAGS_seeds);
        tbb::parallel_for(std::uint64_t {0}, FLAGS_seeds, [&](std::uint64_t n) {
            reports[n] = lab::runScenario(*scenario, FLAGS_seed + n, FLAGS_log);
        });
        lab::ScenarioReport total;
        std::uint64_t bad = 0;
        for (std::uint64_t n = 0; n < FLAGS_seeds; ++n) {
            const lab::ScenarioReport &report = reports[n];
            for (const std::string &line : report.logLines_)
                std::cout << line << "\n";
            for (const Finding &failure : report.failures_)
                std::cout << failure.place_ << ": seed " << FLAGS_seed + n << ": "
                          << failure.message_ << "\n";
            bad += report.failures_.empty() ? 0 : 1;
            total.requests_ += report.requests_;
            total.keyed_ += report.keyed_;
            total.done_ += report.done_;
            total.whole_ += report.whole_;
            total.notRun_ += report.notRun_;
            total.unknown_ += report.unknown_;
            total.cut_ += report.cut_;
            total.events_ += report.events_;
        }
        std::cout << argv[i] << " seeds=" << FLAGS_seeds << " failed=" << bad
                  << " requests=" << total.requests_ << " keyed=" << total.keyed_
                  << " done=" << total.done_ << " whole=" << total.whole_
                  << " not-run=" << total.notRun_ << " unknown=" << total.unknown_
                  << " cut=" << total.cut_ << " events=" << total.events_ << "\n";
        failed += bad == 0 ? 0 : 1;
    }
    return failed == 0 ? 0 : 1;
}
