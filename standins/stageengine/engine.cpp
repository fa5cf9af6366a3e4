#include "stageengine/engine.h"

#include <array>
#include <charconv>

#include "core/hash.h"

namespace gypsumcroft::standins {

namespace detail {

constexpr std::uint64_t EndModulus = 211;
constexpr std::size_t PrefillPositionsPerToken = 16;

constexpr std::array<const char *, 16> Words
        = {"panel ", "roof ",  "ridge ", "gutter ", "warm ",   "insulated ", "sheet ", "fit ",
           "anand ", "quote ", "cover ", "tunnel ", "grower ", "metre ",     "order ", "ready "};

std::string toHex(std::uint64_t value)
{
    char text[16];
    const auto end = std::to_chars(text, text + sizeof text, value, 16);
    return {text, end.ptr};
}

//! The first layer takes text; later ones take what an earlier stage put out.
std::uint64_t enter(const std::string &input, bool firstLayer)
{
    if (firstLayer)
        return hashText(input);
    std::uint64_t value = 0;
    std::from_chars(input.data(), input.data() + input.size(), value, 16);
    return value;
}

std::string wordOf(std::uint64_t value)
{
    return Words[value % Words.size()];
}

} // namespace detail

std::uint32_t batchWidth(const EngineSettings &settings)
{
    return settings.batch_ > 0 ? settings.batch_ : settings.slots_.value_;
}

bool isPoisoned(const StageEngine &engine, const EngineStep &step)
{
    if (engine.settings_.poison_.empty() || step.inputs_.empty())
        return false;
    return step.inputs_.front().find(engine.settings_.poison_) != std::string::npos;
}

EngineAnswer runStep(StageEngine &engine, const EngineStep &step)
{
    EngineStream &stream = engine.streams_[step.stream_];
    stream.cache_.resize(engine.settings_.modelLayers_.value_);
    EngineAnswer answer;
    std::uint32_t position = step.position_.value_;
    for (const std::string &input : step.inputs_) {
        std::uint64_t value = detail::enter(input, step.layers_.first_.value_ == 0);
        for (std::uint32_t layer = step.layers_.first_.value_; layer < step.layers_.end_.value_;
             ++layer) {
            stream.cache_[layer] = mixHash(stream.cache_[layer], value);
            value = mixHash(value, stream.cache_[layer] + layer);
            if (engine.keepRecords_)
                engine.records_.push_back({step.stream_, {layer}, {position}, value});
        }
        ++position;
        const bool last = step.layers_.end_ == engine.settings_.modelLayers_;
        answer.outputs_.push_back(last ? detail::wordOf(value) : detail::toHex(value));
        answer.end_ = last && value % detail::EndModulus == 0;
    }
    stream.positions_ = position;
    return answer;
}

void cancelStream(StageEngine &engine, const std::string &stream)
{
    engine.streams_.erase(stream);
}

Duration stepTime(const EngineSettings &settings, std::size_t positions)
{
    const std::size_t extra = (positions - 1) / detail::PrefillPositionsPerToken;
    return settings.costPerToken_ * static_cast<std::int64_t>(1 + extra);
}

std::vector<std::string> referenceAnswer(const std::string &prompt, std::uint32_t modelLayers,
                                         std::uint32_t maxTokens)
{
    StageEngine engine;
    engine.keepRecords_ = false;
    engine.settings_.layers_ = {{0}, {modelLayers}};
    engine.settings_.modelLayers_ = {modelLayers};
    std::vector<std::string> tokens;
    std::string input = prompt;
    while (tokens.size() < maxTokens) {
        const auto position = static_cast<std::uint32_t>(tokens.size());
        const EngineAnswer answer
                = runStep(engine, {"reference", engine.settings_.layers_, {position}, 0, {input}});
        tokens.push_back(answer.outputs_.back());
        input = tokens.back();
        if (answer.end_)
            break;
    }
    return tokens;
}

} // namespace gypsumcroft::standins
