//! Counts the bytes that calls hold in memory against a common limit.
#pragma once

#include <cstddef>
#include <utility>

namespace gypsumcroft::detail {

struct ByteBudget
{
    std::size_t limit_ = 0;
    std::size_t used_ = 0;
};

//! The bytes that one call holds; given back when the call goes.
class HeldBytes
{
public:
    HeldBytes() = default;
    explicit HeldBytes(ByteBudget &budget) : budget_(&budget) { }
    HeldBytes(HeldBytes &&other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)), size_(std::exchange(other.size_, 0))
    { }
    HeldBytes &operator=(HeldBytes &&other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(size_, other.size_);
        return *this;
    }
    ~HeldBytes() { set(0); }

    void set(std::size_t size)
    {
        if (budget_ == nullptr)
            return;
        budget_->used_ += size - size_;
        size_ = size;
    }
    std::size_t size() const { return size_; }

private:
    ByteBudget *budget_ = nullptr;
    std::size_t size_ = 0;
};

} // namespace gypsumcroft::detail
