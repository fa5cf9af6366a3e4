//! The value of an operation that may fail, or an error message.
#pragma once

#include <optional>
#include <string>
#include <utility>

namespace gypsumcroft {

//! Holds a value on success; on failure lastReason_ says what went wrong.
template <typename T>
struct Result
{
    std::optional<T> value_;
    std::string lastReason_;

    explicit operator bool() const { return value_.has_value(); }
    const T &operator*() const { return *value_; }
    T &operator*() { return *value_; }
    const T *operator->() const { return &*value_; }
};

template <typename T>
Result<T> success(T value)
{
    return {std::move(value), {}};
}

template <typename T>
Result<T> failure(std::string reason)
{
    return {std::nullopt, std::move(reason)};
}

} // namespace gypsumcroft
