//! Reads a JSON object member by member and collects a finding for every fault.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "core/findings.h"
#include "core/ids.h"

namespace gypsumcroft::detail {

//! Parses a text; a syntax fault is a finding with its position.
std::optional<boost::json::value> parseJson(std::string_view text, const std::string &place,
                                            Findings &findings);

//! Escapes a member name for a JSON pointer.
std::string pointerStep(std::string_view name);

class ObjectReader
{
public:
    //! place is the file and the JSON pointer of the value.
    ObjectReader(const boost::json::value &value, std::string place, Findings &findings);

    std::optional<std::string> text(std::string_view name, bool required);
    std::optional<std::int64_t>
    integer(std::string_view name, bool required, std::int64_t minimum = 0,
            std::int64_t maximum = std::numeric_limits<std::int64_t>::max());
    const boost::json::value *member(std::string_view name, bool required);
    const boost::json::array *array(std::string_view name, bool required);
    const boost::json::object *object(std::string_view name, bool required);
    //! Reports members that nobody asked for.
    void finish();

    std::string placeOf(std::string_view name) const;
    void fault(std::string_view name, std::string message);

private:
    const boost::json::object *object_ = nullptr;
    std::string place_;
    Findings &findings_;
    std::set<std::string, std::less<>> known_;
};

//! Reads an IP number with a port; a finding if the member is something else.
std::optional<Address> readAddress(ObjectReader &reader, std::string_view name, bool required);

} // namespace gypsumcroft::detail
