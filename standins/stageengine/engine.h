//! A stage engine's arithmetic: deterministic, stateful and cheap. Plays a range of layers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/units.h"

namespace gypsumcroft::standins {

struct EngineSettings
{
    std::string model_ = "panels";
    std::string version_ = "1";
    LayerRange layers_;
    LayerIndex modelLayers_;
    std::string accelerator_ = "a1";
    //! Streams that it holds.
    Slots slots_ {8};
    //! Steps that it runs side by side; 0: as many as it holds streams.
    std::uint32_t batch_ = 0;
    Duration costPerToken_ = std::chrono::milliseconds(2);
    //! A prompt that holds this text crashes the engine; empty: none does.
    std::string poison_;
};

//! One layer ran for one position of one stream.
struct EngineRecord
{
    std::string stream_;
    LayerIndex layer_;
    TokenIndex position_;
    //! State of the computation after the layer; ties records into one lineage.
    std::uint64_t value_ = 0;
};

struct EngineStream
{
    //! Running state of each layer; stands for the KV cache.
    std::vector<std::uint64_t> cache_;
    std::uint32_t positions_ = 0;
};

struct EngineStep
{
    std::string stream_;
    LayerRange layers_;
    TokenIndex position_;
    std::uint32_t priority_ = 0;
    std::vector<std::string> inputs_;
};

struct EngineAnswer
{
    std::vector<std::string> outputs_;
    bool end_ = false;
};

struct StageEngine
{
    EngineSettings settings_;
    std::unordered_map<std::string, EngineStream> streams_;
    std::vector<EngineRecord> records_;
    bool keepRecords_ = true;
};

//! Steps that the engine runs side by side.
std::uint32_t batchWidth(const EngineSettings &settings);

//! Whether this step crashes the engine.
bool isPoisoned(const StageEngine &engine, const EngineStep &step);

//! Runs what it is asked to run, also where a router should not have asked.
EngineAnswer runStep(StageEngine &engine, const EngineStep &step);

void cancelStream(StageEngine &engine, const std::string &stream);

//! Time that a step takes alone; a prefill's positions cost less than tokens.
Duration stepTime(const EngineSettings &settings, std::size_t positions);

//! The answer of an undisturbed run of the whole model.
std::vector<std::string> referenceAnswer(const std::string &prompt, std::uint32_t modelLayers,
                                         std::uint32_t maxTokens);

} // namespace gypsumcroft::standins
