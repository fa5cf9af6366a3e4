//! Reads a JSON object member by member and adds a finding for each error.
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

//! Parses JSON. A syntax error adds a finding with the line number and returns nullopt.
std::optional<boost::json::value> parseJson(std::string_view text, const std::string &place,
                                            Findings &findings);

//! Reference token of a JSON pointer for a member name: '/' and the escaped name.
std::string pointerToken(std::string_view name);

//! Each getter adds a finding if a required member is missing, and each but member() also if a
//! member has a wrong type or value; it then returns nullopt or nullptr.
class ObjectReader
{
public:
    //! place: file name and JSON pointer of the value, the prefix of the findings' places.
    ObjectReader(const boost::json::value &value, std::string place, Findings &findings);

    std::optional<std::string> text(std::string_view name, bool required);
    std::optional<std::int64_t>
    integer(std::string_view name, bool required, std::int64_t minimum = 0,
            std::int64_t maximum = std::numeric_limits<std::int64_t>::max());
    const boost::json::value *member(std::string_view name, bool required);
    const boost::json::array *array(std::string_view name, bool required);
    const boost::json::object *object(std::string_view name, bool required);
    //! Adds a finding for each member of the object that no getter was called for.
    void reportUnknownMembers();

    std::string placeOf(std::string_view name) const;
    void reportError(std::string_view name, std::string message);

private:
    const boost::json::object *object_ = nullptr;
    std::string place_;
    Findings &findings_;
    std::set<std::string, std::less<>> knownNames_;
};

//! Reads a member of the form IP:PORT; adds a finding if it has another form. Defined in
//! settings.cpp.
std::optional<Address> readAddress(ObjectReader &reader, std::string_view name, bool required);

} // namespace gypsumcroft::detail
