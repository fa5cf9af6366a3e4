//! A plain service: counts the effects of each call.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace gypsumcroft::standins {

struct PlainService
{
    std::string name_ = "bookings";
    std::uint32_t slots_ = 16;
    std::uint32_t busy_ = 0;
    //! How often each body took effect.
    std::map<std::string, std::uint32_t> effects_;
    std::uint64_t calls_ = 0;
};

//! Takes effect once more and returns the answer's body.
std::string runCall(PlainService &service, const std::string &body);

} // namespace gypsumcroft::standins
