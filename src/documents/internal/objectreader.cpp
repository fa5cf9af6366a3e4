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

std::string pointerToken(std::string_view name)
{
    std::string token = "/";
    for (const char ch : name) {
        if (ch == '~')
            token += "~0";
        else if (ch == '/')
            token += "~1";
        else
            token += ch;
    }
    return token;
}

ObjectReader::ObjectReader(const json::value &value, std::string place, Findings &findings)
    : object_(value.if_object()), place_(std::move(place)), findings_(findings)
{
    if (object_ == nullptr)
        addFinding(findings_, place_, "must be an object");
}

std::string ObjectReader::placeOf(std::string_view name) const
{
    return place_ + pointerToken(name);
}

void ObjectReader::reportError(std::string_view name, std::string message)
{
    addFinding(findings_, placeOf(name), std::move(message));
}

const json::value *ObjectReader::member(std::string_view name, bool required)
{
    knownNames_.emplace(name);
    if (object_ == nullptr)
        return nullptr;
    const auto *value = object_->if_contains({name.data(), name.size()});
    if (value == nullptr && required)
        reportError(name, "is missing");
    return value;
}

std::optional<std::string> ObjectReader::text(std::string_view name, bool required)
{
    const json::value *value = member(name, required);
    if (value == nullptr)
        return std::nullopt;
    if (!value->is_string()) {
        reportError(name, "must be a string");
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
        reportError(name, "must be a whole number");
        return std::nullopt;
    }
    if (number < minimum || number > maximum) {
        reportError(name,
                    "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum));
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
        reportError(name, "must be an array");
    return value->if_array();
}

const json::object *ObjectReader::object(std::string_view name, bool required)
{
    const json::value *value = member(name, required);
    if (value == nullptr)
        return nullptr;
    if (!value->is_object())
        reportError(name, "must be an object");
    return value->if_object();
}

void ObjectReader::reportUnknownMembers()
{
    if (object_ == nullptr)
        return;
    for (const auto &entry : *object_) {
        if (!knownNames_.contains(std::string_view(entry.key().data(), entry.key().size())))
            reportError({entry.key().data(), entry.key().size()}, "is not a known field");
    }
}

} // namespace gypsumcroft::detail
