#include "controllers/members.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "core/hash.h"

namespace gypsumcroft {

namespace detail {
namespace {

//! A settled first speaker sends one digest of this many to the listed members.
constexpr std::uint64_t RepairPeriod = 10;

//! Notes that a gateway was alive at the given time.
GatewayMember &noteAlive(MembersState &state, const Address &address, TimePoint aliveAt)
{
    GatewayMember &member = state.members_[address];
    member.aliveAt_ = std::max(member.aliveAt_, aliveAt);
    return member;
}

//! Order in which the gateways of a domain do what one of them does for all. Rendezvous weights:
//! the loss of one moves only its own place.
std::uint64_t weightOf(const FailureDomainId &domain, const Address &address)
{
    return mixHash(hashText(domain.value_), hashText(address.host_) + address.port_);
}

void setDomain(GatewayMember &member, const Address &address, const FailureDomainId &domain)
{
    if (member.weight_ != 0 && member.domain_ == domain)
        return;
    member.domain_ = domain;
    member.weight_ = weightOf(domain, address);
}

void noteNamed(MembersState &state, const GatewayMemberReport &named, TimePoint now)
{
    const bool isNews = named.age_ >= Duration() && named.age_ < state.limits_.forgetAfter_;
    if (!isNews || named.address_ == state.self_)
        return;
    GatewayMember &member = noteAlive(state, named.address_, now - named.age_);
    if (member.digestAt_)
        return;
    setDomain(member, named.address_, named.domain_);
    member.capacity_ = named.capacity_;
}

bool isAlive(const MembersState &state, const GatewayMember &member, TimePoint now)
{
    if (member.stopping_)
        return false;
    if (member.domain_ == state.domain_)
        return member.digestAt_ && now - *member.digestAt_ < state.limits_.silentAfter_;
    return now - member.aliveAt_ < state.limits_.farSilentAfter_;
}

//! The gateways of each other domain that are alive, in their order.
std::map<FailureDomainId, std::vector<Address>> otherDomains(const MembersState &state,
                                                             TimePoint now)
{
    std::map<FailureDomainId, std::vector<Address>> domains;
    for (const auto &[address, member] : state.members_) {
        if (member.domain_ != state.domain_ && !member.domain_.value_.empty()
            && isAlive(state, member, now))
            domains[member.domain_].push_back(address);
    }
    const auto place = [&](const Address &address) {
        const GatewayMember &member = state.members_.at(address);
        return std::pair(member.capacity_, member.weight_);
    };
    for (auto &[domain, members] : domains)
        std::stable_sort(members.begin(), members.end(),
                         [&](const Address &left, const Address &right) {
                             return place(left) > place(right);
                         });
    return domains;
}

bool isNeighbour(const MembersState &state, const GatewayMember &member, TimePoint now)
{
    return member.domain_ == state.domain_ && now - member.aliveAt_ < state.limits_.sendWithin_;
}

std::vector<Address> neighbours(const MembersState &state, TimePoint now)
{
    std::vector<Address> near;
    for (const auto &[address, member] : state.members_) {
        if (isNeighbour(state, member, now))
            near.push_back(address);
    }
    return near;
}

//! Names the members after last that are heard and chosen, as many as one digest may name.
template <typename Chosen>
std::vector<GatewayMemberReport> nextToName(const MembersState &state, Address &last, TimePoint now,
                                            const Chosen &isChosen)
{
    std::vector<GatewayMemberReport> named;
    auto next = state.members_.upper_bound(last);
    for (std::size_t visited = 0; visited < state.members_.size(); ++visited, ++next) {
        if (named.size() == state.limits_.namedPerDigest_)
            break;
        if (next == state.members_.end())
            next = state.members_.begin();
        const GatewayMember &member = next->second;
        if (member.digestAt_ && isChosen(member))
            named.push_back(
                    {next->first, member.domain_, now - *member.digestAt_, member.capacity_});
        last = next->first;
    }
    return named;
}

bool searches(const MembersState &state, std::uint64_t sequence, TimePoint now)
{
    return !membersSettled(state, now)
           || (sequence % RepairPeriod == 0 && domainRank(state, now) == 0);
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
    for (const GatewayMemberReport &named : digest.members_)
        detail::noteNamed(state, named, now);
    // A relayed digest comes from another gateway than the one that it describes.
    if (digest.gateway_ == state.self_ || digest.scope_ == DigestScope::RelayedDomain)
        return;
    GatewayMember &member = detail::noteAlive(state, digest.gateway_, now);
    detail::setDomain(member, digest.gateway_, digest.domain_);
    member.capacity_ = digest.capacity_;
    member.digestAt_ = now;
    member.stopping_ = digest.stopping_;
    if (!digest.settled_)
        member.unsettledAt_ = now;
    if (!state.firstDigestAt_)
        state.firstDigestAt_ = now;
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
    return detail::nextToName(state, state.lastNamed_, now,
                              [](const GatewayMember &) { return true; });
}

std::vector<GatewayMemberReport> takeNeighboursToName(MembersState &state, TimePoint now)
{
    return detail::nextToName(
            state, state.lastNamedToOthers_, now,
            [&](const GatewayMember &member) { return member.domain_ == state.domain_; });
}

std::vector<Address> digestRecipients(const MembersState &state, std::uint64_t sequence,
                                      TimePoint now)
{
    const auto near = detail::neighbours(state, now);
    return detail::takeTurn({near.begin(), near.end()}, state.limits_.maxRecipients_, sequence);
}

std::vector<Address> searchRecipients(const MembersState &state, std::uint64_t sequence,
                                      TimePoint now)
{
    std::set<Address> recipients;
    for (const auto &[address, member] : state.members_) {
        if (member.unsettledAt_ && now - *member.unsettledAt_ < state.limits_.answerFor_)
            recipients.insert(address);
    }
    if (detail::searches(state, sequence, now))
        recipients.insert(state.listed_.begin(), state.listed_.end());
    recipients.erase(state.self_);
    for (const Address &address : detail::neighbours(state, now))
        recipients.erase(address);
    return detail::takeTurn(recipients, state.limits_.maxRecipients_, sequence);
}

std::vector<Address> domainDigestRecipients(const MembersState &state, TimePoint now)
{
    const std::size_t rank = domainRank(state, now);
    std::vector<Address> recipients;
    if (state.stopping_ || rank >= state.limits_.speakers_)
        return recipients;
    // Each speaker has its own counterpart, so that the loss of one on either side is covered.
    for (const auto &[domain, members] : detail::otherDomains(state, now))
        recipients.push_back(members[std::min(rank, members.size() - 1)]);
    return recipients;
}

std::vector<Address> relayRecipients(const MembersState &state, TimePoint now)
{
    std::vector<Address> near = detail::neighbours(state, now);
    near.resize(std::min(near.size(), state.limits_.maxRecipients_));
    return near;
}

double digestBytesPerSecond(const MembersState &state)
{
    constexpr double BytesPerMegabit = 125000;
    const double link = state.capacity_.linkMbps_ > 0 ? state.capacity_.linkMbps_
                                                      : state.limits_.usualLinkMbps_;
    return link * BytesPerMegabit * state.limits_.digestLinkPart_;
}

std::size_t domainRank(const MembersState &state, TimePoint now)
{
    const std::uint64_t own = detail::weightOf(state.domain_, state.self_);
    return static_cast<std::size_t>(
            std::count_if(state.members_.begin(), state.members_.end(), [&](const auto &entry) {
                const GatewayMember &member = entry.second;
                const bool goesBefore = state.stopping_
                                        || std::tuple(member.capacity_, member.weight_, state.self_)
                                                   > std::tuple(state.capacity_, own, entry.first);
                return member.domain_ == state.domain_ && goesBefore
                       && detail::isAlive(state, member, now);
            }));
}

bool hasNeighbours(const MembersState &state, TimePoint now)
{
    return std::any_of(state.members_.begin(), state.members_.end(), [&](const auto &entry) {
        return detail::isNeighbour(state, entry.second, now);
    });
}

std::uint32_t aliveMembers(const MembersState &state, TimePoint now)
{
    return static_cast<std::uint32_t>(
            std::count_if(state.members_.begin(), state.members_.end(), [&](const auto &entry) {
                return detail::isAlive(state, entry.second, now);
            }));
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
