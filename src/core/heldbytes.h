//! Counts the bytes that requests hold in memory against common limits.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace gypsumcroft {

struct ByteBudget
{
    std::size_t limit_ = 0;
    std::size_t used_ = 0;
    //! What is counted here is counted there too.
    std::shared_ptr<ByteBudget> parent_;
};

inline bool isOverLimit(const ByteBudget &budget)
{
    return budget.used_ > budget.limit_;
}

//! The bytes that one request, response or connection holds; given back when it ends.
class HeldBytes
{
public:
    HeldBytes() = default;
    explicit HeldBytes(std::shared_ptr<ByteBudget> budget) : budget_(std::move(budget)) { }
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
        for (ByteBudget *budget = budget_.get(); budget != nullptr; budget = budget->parent_.get())
            budget->used_ += size - size_;
        size_ = size;
    }
    std::size_t size() const { return size_; }

private:
    std::shared_ptr<ByteBudget> budget_;
    std::size_t size_ = 0;
};

} // namespace gypsumcroft
