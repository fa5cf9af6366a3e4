#include "controllers/members.h"

#include <algorithm>
#include <set>

#include "core/hash.h"

namespace gypsumcroft {

namespace detail {
namespace {

//! Gateways of other failure domains get one digest of this many.
constexpr std::uint64_t CrossDomainDigestPeriod = 3;

//! Notes that a gateway was alive at the given time.
GatewayMember &noteAlive(MembersState &state, const Address &address, TimePoint aliveAt)
{
    GatewayMember &member = state.members_[address];
    member.aliveAt_ = std::max(member.aliveAt_, aliveAt);
    return member;
}

void noteNamed(MembersState &state, const GatewayMemberReport &named, TimePoint now)
{
    const bool isNews = named.age_ >= Duration() && named.age_ < state.limits_.forgetAfter_;
    if (isNews && named.address_ != state.self_)
        noteAlive(state, named.address_, now - named.age_);
}

//! True if it is this gateway's turn to get the digest, if it is in another failure domain.
bool isCrossDomainTurn(const Address &address, std::uint64_t sequence)
{
    return (hashText(address.host_) + address.port_ + sequence) % CrossDomainDigestPeriod == 0;
}

//! The part of the list that is due when recipients take turns.
std::vector<Address> takeTurn(const std::set<Address> &all, std::size_t count,
                              std::uint64_t sequence)
{
    std::vector<Address> list(all.begin(), all.end());
    if (list.size() <= count)
        return list;
    const std::size_t first = sequence * count % list.size();
    std::rotate(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(first), list.end());
    list.resize(count);
    return list;
}

} // namespace
} // namespace detail

void applyMemberDigest(MembersState &state, const GatewayDigestMessage &digest, TimePoint now)
{
    if (digest.gateway_ == state.self_)
        return;
    GatewayMember &member = detail::noteAlive(state, digest.gateway_, now);
    member.domain_ = digest.domain_;
    member.digestAt_ = now;
    if (!state.firstDigestAt_)
        state.firstDigestAt_ = now;
    for (const GatewayMemberReport &named : digest.members_)
        detail::noteNamed(state, named, now);
}

void applyListedMembers(MembersState &state, std::vector<Address> listed, std::uint32_t partitions)
{
    const auto count = static_cast<std::uint32_t>(listed.size());
    state.listed_ = std::move(listed);
    // A member without a partition can only exist if every partition is held by another member.
    state.group_ = {count, count > 0 && count < partitions};
}

void applyPartitionShare(MembersState &state, std::uint32_t share, std::uint32_t partitions)
{
    const std::uint32_t atLeast = share == 0 ? partitions + 1 : partitions / (share + 1) + 1;
    if (state.group_.atLeast_ >= atLeast)
        return;
    // The only partition of a topic tells nothing about members without one.
    state.group_ = {atLeast, partitions > 1 && share == partitions};
}

void forgetMembers(MembersState &state, TimePoint now)
{
    std::erase_if(state.members_, [&](const auto &entry) {
        return now - entry.second.aliveAt_ > state.limits_.forgetAfter_;
    });
}

std::vector<GatewayMemberReport> takeMembersToName(MembersState &state, TimePoint now)
{
    std::vector<GatewayMemberReport> named;
    auto next = state.members_.upper_bound(state.lastNamed_);
    for (std::size_t visited = 0; visited < state.members_.size(); ++visited, ++next) {
        if (named.size() == state.limits_.namedPerDigest_)
            break;
        if (next == state.members_.end())
            next = state.members_.begin();
        if (next->second.digestAt_)
            named.push_back({next->first, now - *next->second.digestAt_});
        state.lastNamed_ = next->first;
    }
    return named;
}

std::vector<Address> digestRecipients(const MembersState &state, std::uint64_t sequence,
                                      TimePoint now)
{
    std::set<Address> near;
    std::set<Address> far;
    for (const auto &[address, member] : state.members_) {
        if (now - member.aliveAt_ > state.limits_.sendWithin_)
            continue;
        if (member.domain_ == state.domain_)
            near.insert(address);
        else if (detail::isCrossDomainTurn(address, sequence))
            far.insert(address);
    }
    for (const Address &address : state.listed_) {
        if (!near.contains(address) && detail::isCrossDomainTurn(address, sequence))
            far.insert(address);
    }
    near.erase(state.self_);
    far.erase(state.self_);
    std::vector<Address> recipients
            = detail::takeTurn(near, state.limits_.maxRecipients_, sequence);
    const auto others
            = detail::takeTurn(far, state.limits_.maxRecipients_ - recipients.size(), sequence);
    recipients.insert(recipients.end(), others.begin(), others.end());
    return recipients;
}

std::uint32_t knownGateways(const MembersState &state)
{
    const auto heard = static_cast<std::uint32_t>(state.members_.size());
    return std::max(heard + 1, state.group_.atLeast_);
}

bool membersSettled(const MembersState &state, TimePoint now)
{
    if (state.group_.complete_)
        return true;
    return state.firstDigestAt_ && now - *state.firstDigestAt_ >= state.limits_.settleTime_;
}

} // namespace gypsumcroft
