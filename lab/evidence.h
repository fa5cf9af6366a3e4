//! What a run leaves behind for its judge: callers' records and the stand-ins' records.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/messages.h"
#include "core/units.h"
#include "stageengine/engine.h"

namespace gypsumcroft::lab {

enum class Ending {
    None,
    //! A whole answer of a model.
    Whole,
    //! A service's outcome.
    Done,
    NotRun,
    Unknown,
    //! The connection broke, or the caller went away.
    Cut,
};

//! What a caller sent and heard.
struct CallerRecord
{
    std::string key_;
    std::string template_;
    std::string body_;
    std::string organisation_;
    std::string caller_;
    std::uint32_t maxTokens_ = 0;
    std::string entry_;
    RequestId request_;
    TimePoint sent_;
    TimePoint firstToken_;
    TimePoint ended_;
    std::vector<std::string> tokens_;
    Ending ending_ = Ending::None;
    std::optional<RefusalCode> code_;
    Duration retryAfter_ {};
    CallOutcome outcome_;
};

//! One layer run, in the order in which they ran over the whole fleet.
struct LayerRun
{
    standins::EngineRecord record_;
    std::string endpoint_;
    TimePoint at_;
};

struct Evidence
{
    std::vector<CallerRecord> records_;
    std::vector<LayerRun> layerRuns_;
    //! How often each call's body took effect, over all services.
    std::map<std::string, std::uint32_t> effects_;
    //! False where dead engines took their records along.
    bool hasAllLayerRuns_ = true;
};

} // namespace gypsumcroft::lab
