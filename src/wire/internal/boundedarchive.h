//! Reads what cereal::PortableBinaryOutputArchive writes. Containers resize to the announced size
//! before they read their elements, so that a few bytes could take all memory; a size above the
//! number of bytes that are left is rejected here.
#pragma once

#include <algorithm>
#include <cstring>
#include <string_view>
#include <type_traits>

#include <cereal/archives/portable_binary.hpp>

namespace gypsumcroft::detail {

class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedInputArchive(std::string_view bytes) : InputArchive(this), bytes_(bytes)
    {
        std::uint8_t writtenLittleEndian = 0;
        take(&writtenLittleEndian, 1);
        const bool littleEndian = cereal::portable_binary_detail::is_little_endian() != 0;
        swap_ = littleEndian != (writtenLittleEndian != 0);
    }

    template <std::size_t ElementSize>
    void loadBinary(void *data, std::size_t size)
    {
        take(data, size);
        auto *bytes = static_cast<std::uint8_t *>(data);
        for (std::size_t at = 0; swap_ && at < size; at += ElementSize)
            std::reverse(bytes + at, bytes + at + ElementSize);
    }

    //! Throws if fewer bytes are left.
    void require(std::uint64_t size) const
    {
        if (size > bytes_.size())
            throw cereal::Exception("more announced than received");
    }

private:
    void take(void *data, std::size_t size)
    {
        require(size);
        std::memcpy(data, bytes_.data(), size);
        bytes_.remove_prefix(size);
    }

    std::string_view bytes_;
    bool swap_ = false;
};

// Found by cereal by argument-dependent lookup.

template <typename Value>
std::enable_if_t<std::is_arithmetic_v<Value>> load(BoundedInputArchive &archive, Value &value)
{
    archive.loadBinary<sizeof(Value)>(&value, sizeof value);
}

template <typename Value>
void load(BoundedInputArchive &archive, cereal::SizeTag<Value> &tag)
{
    archive(tag.size);
    archive.require(tag.size);
}

template <typename Value>
void load(BoundedInputArchive &archive, cereal::NameValuePair<Value> &pair)
{
    archive(pair.value);
}

template <typename Value>
void load(BoundedInputArchive &archive, cereal::BinaryData<Value> &data)
{
    using Element = std::remove_pointer_t<Value>;
    archive.loadBinary<sizeof(Element)>(data.data, static_cast<std::size_t>(data.size));
}

} // namespace gypsumcroft::detail

namespace cereal::traits::detail {

template <>
struct get_output_from_input<gypsumcroft::detail::BoundedInputArchive>
{
    using type = PortableBinaryOutputArchive;
};

} // namespace cereal::traits::detail
