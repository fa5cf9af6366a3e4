//! Small seeded pseudo-random generator. The same seed gives the same sequence, so decisions can be
//! reproduced.
#pragma once

#include <cstdint>

namespace gypsumcroft {

//! State of a SplitMix64 generator.
struct Random
{
    std::uint64_t state_ = 0;
};

//! Returns the next 64 random bits.
inline std::uint64_t nextRandom(Random &random)
{
    random.state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = random.state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

//! Returns a number in [0, bound), or 0 when bound is 0.
inline std::uint64_t randomBelow(Random &random, std::uint64_t bound)
{
    return bound == 0 ? 0 : nextRandom(random) % bound;
}

//! Returns a number in [0, 1).
inline double randomUnit(Random &random)
{
    return static_cast<double>(nextRandom(random) >> 11) * 0x1.0p-53;
}

} // namespace gypsumcroft
