#include "objectreader.h"

namespace gypsumcroft::detail {

namespace json = boost::json;

std::optional<json::value> parseJson(std::string_view text, const std::string &place,
                                     Findings &findings)
{
    json::stream_parser parser;
    boost::system::error_code error;
    const std::size_t used = parser.write_some(text.data(), text.size(), error);
    if (!error && used == text.size())
        parser.finish(error);
    else if (!error)
        error = json::error::extra_data;
    if (!error)
        return parser.release();
    std::size_t line = 1;
    for (const char ch : text.substr(0, used))
        line += ch == '\n' ? 1 : 0;
    addFinding(findings, place + ":" + std::to_string(line), "is not JSON: " + error.message());
    return std::nullopt;
}

std::string pointerStep(std::string_view name)
{
    std::string step = "/";
    for (const char ch : name) {
        if (ch == '~')
            step += "~0";
        else if (ch == '/')
            step += "~1";
        else
            step += ch;
    }
    return step;
}

ObjectReader::ObjectReader(const json::value &value, std::string place, Findings &findings)
    : object_(value.if_object()), place_(std::move(place)), findings_(findings)
{
    if (object_ == nullptr)
        addFinding(findings_, place_, "must be an object");
}

std::string ObjectReader::placeOf(std::string_view name) const
{
    return place_ + pointerStep(name);
}

void ObjectReader::fault(std::string_view name, std::string message)
{
    addFinding(findings_, placeOf(name), std::move(message));
}

const json::value *ObjectReader::member(std::string_view name, bool required)
{
    known_.emplace(name);
    if (object_ == nullptr)
        return nullptr;
    const auto *value = object_->if_contains({name.data(), name.size()});
    if (value == nullptr && required)
        fault(name, "is missing");
    return value;
}

std::optional<std::string> ObjectReader::text(std::string_view name, bool required)
{
    const json::value *value = member(name, required);
    if (value == nullptr)
        return std::nullopt;
    if (!value->is_string()) {
        fault(name, "must be a string");
        return std::nullopt;
    }
    return std::string(value->as_string());
}

std::optional<std::int64_t> ObjectReader::integer(std::string_view name, bool required,
                                                  std::int64_t minimum, std::int64_t maximum)
{
    const json::value *value = member(name, required);
    if (value == nullptr)
        return std::nullopt;
    boost::system::error_code error;
    const auto number = value->is_number() ? value->to_number<std::int64_t>(error) : 0;
    if (!value->is_number() || error) {
        fault(name, "must be a whole number");
        return std::nullopt;
    }
    if (number < minimum || number > maximum) {
        fault(name, "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return std::nullopt;
    }
    return number;
}

const json::array *ObjectReader::array(std::string_view name, bool required)
{
    const json::value *value = member(name, required);
    if (value == nullptr)
        return nullptr;
    if (!value->is_array())
        fault(name, "must be an array");
    return value->if_array();
}

const json::object *ObjectReader::object(std::string_view name, bool required)
{
    const json::value *value = member(name, required);
    if (value == nullptr)
        return nullptr;
    if (!value->is_object())
        fault(name, "must be an object");
    return value->if_object();
}

void ObjectReader::finish()
{
    if (object_ == nullptr)
        return;
    for (const auto &entry : *object_) {
        if (!known_.contains(std::string_view(entry.key().data(), entry.key().size())))
            fault({entry.key().data(), entry.key().size()}, "is not a known field");
    }
}

} // namespace gypsumcroft::detail
