//! A small seeded generator, so that every decision can be replayed.
#pragma once

#include <cstdint>

namespace gypsumcroft {

//! State of a SplitMix64 generator.
struct Random
{
    std::uint64_t state_ = 0;
};

//! The next 64 random bits.
inline std::uint64_t nextRandom(Random &random)
{
    random.state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = random.state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

//! A number in [0, bound); 0 when bound is 0.
inline std::uint64_t randomBelow(Random &random, std::uint64_t bound)
{
    return bound == 0 ? 0 : nextRandom(random) % bound;
}

//! A number in [0, 1).
inline double randomUnit(Random &random)
{
    return static_cast<double>(nextRandom(random) >> 11) * 0x1.0p-53;
}

} // namespace gypsumcroft
