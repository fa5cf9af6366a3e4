//! Controller of the set of gateways: which others there are, how many, and who gets the next
//! digest. Learned from their digests, from the members that they name, and from the platform's
//! group, whose list is complete only while it has fewer members than partitions.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/messages.h"
#include "core/units.h"

namespace gypsumcroft {

struct MemberLimits
{
    //! Time without news of a gateway after which it no longer counts. Much longer than an outage
    //! of a link or a restart: a gateway that is counted too long costs a part of the retry slack,
    //! one that is dropped too early lets the others exceed it.
    Duration forgetAfter_ = std::chrono::seconds(60);
    //! Time without news after which a gateway gets no more digests.
    Duration sendWithin_ = std::chrono::seconds(10);
    //! Time without a digest after which a gateway of the own failure domain counts as silent and
    //! does nothing on behalf of others.
    Duration silentAfter_ = std::chrono::milliseconds(1300);
    //! The same for gateways of other domains, which are heard of at second hand.
    Duration farSilentAfter_ = std::chrono::seconds(3);
    //! Time for which a gateway that isn't settled is answered, in whatever domain it is.
    Duration answerFor_ = std::chrono::seconds(2);
    //! Gateways of a domain that send and receive for it across domains.
    std::size_t speakers_ = 2;
    //! Time from the first digest of another gateway until the known members count as complete.
    Duration settleTime_ = std::chrono::seconds(2);
    //! Members that one digest names.
    std::size_t namedPerDigest_ = 12;
    //! Maximum number of recipients of one digest; beyond it they take turns.
    std::size_t maxRecipients_ = 256;
    //! Part of the link that digests may take. The rest belongs to callers and endpoints.
    double digestLinkPart_ = 0.1;
    //! The link where the settings don't name one, in Mbit/s.
    double usualLinkMbps_ = 1000;
};

struct GatewayMember
{
    //! As its own digests say, before the first of them as others name it.
    FailureDomainId domain_;
    //! When it is known to have been alive last.
    TimePoint aliveAt_;
    //! When its last own digest arrived.
    std::optional<TimePoint> digestAt_;
    //! When its last digest arrived in which it said that it isn't settled.
    std::optional<TimePoint> unsettledAt_;
    bool stopping_ = false;
    GatewayCapacity capacity_;
    //! Of the gateways of a domain, the one with the highest capacity goes first, and of equal ones
    //! the one with the highest weight.
    std::uint64_t weight_ = 0;
};

//! The platform's group as this process sees it.
struct GroupSize
{
    //! The group has at least this many members.
    std::uint32_t atLeast_ = 0;
    //! The list names every member, so that atLeast_ is the exact number.
    bool complete_ = false;
};

struct MembersState
{
    MemberLimits limits_;
    Address self_;
    FailureDomainId domain_;
    GatewayCapacity capacity_;
    std::map<Address, GatewayMember> members_;
    //! Members that the platform lists; some may not have sent a digest yet.
    std::vector<Address> listed_;
    GroupSize group_;
    //! When the first digest of another gateway arrived.
    std::optional<TimePoint> firstDigestAt_;
    //! This process is stopping.
    bool stopping_ = false;
    //! Last member named in an own digest and in a sum over the domain; the next one of the same
    //! kind goes on after it.
    Address lastNamed_;
    Address lastNamedToOthers_;
};

//! Notes a digest of the gateway itself.
void applyMemberDigest(MembersState &state, const GatewayDigestMessage &digest, TimePoint now);

//! Handles the platform's list of the members that hold a partition.
void applyListedMembers(MembersState &state, std::vector<Address> listed, std::uint32_t partitions);

//! Handles the number of partitions that the platform assigned to this process. They are dealt
//! evenly, so it bounds the number of members from below.
void applyPartitionShare(MembersState &state, std::uint32_t share, std::uint32_t partitions);

void forgetMembers(MembersState &state, TimePoint now);

//! Members for the next digest to name. Only those whose own digests arrive here are named:
//! second-hand news passed on in circles would keep a dead gateway alive.
std::vector<GatewayMemberReport> takeMembersToName(MembersState &state, TimePoint now);

//! The same for a sum over the domain, which names gateways of this domain only.
std::vector<GatewayMemberReport> takeNeighboursToName(MembersState &state, TimePoint now);

//! Recipients of the own digest with the given sequence number: the gateways of the own failure
//! domain.
std::vector<Address> digestRecipients(const MembersState &state, std::uint64_t sequence,
                                      TimePoint now);

//! Other gateways that get the names of members, so that all find each other. A gateway that isn't
//! settled sends them to the listed members, whose answer it gets; so does the first speaker of a
//! domain from time to time, for domains that have lost sight of each other.
std::vector<Address> searchRecipients(const MembersState &state, std::uint64_t sequence,
                                      TimePoint now);

//! Recipients of the sum over this domain: one speaker of each other domain. Empty if this process
//! is no speaker of this one.
std::vector<Address> domainDigestRecipients(const MembersState &state, TimePoint now);

//! Gateways of this domain, to which a sum that another domain sent here is passed on.
std::vector<Address> relayRecipients(const MembersState &state, TimePoint now);

//! Bytes per second that this process may spend on digests.
double digestBytesPerSecond(const MembersState &state);

//! Number of gateways of the own domain that go before this one in what one does for all. Each
//! computes it from the members that it hears; while they disagree, two do the same or the next
//! one takes over.
std::size_t domainRank(const MembersState &state, TimePoint now);

//! True if other gateways of the domain are heard.
bool hasNeighbours(const MembersState &state, TimePoint now);

//! Number of other gateways that are alive as far as is known.
std::uint32_t aliveMembers(const MembersState &state, TimePoint now);

//! Number of gateways including this one; never less than known.
std::uint32_t knownGateways(const MembersState &state);

//! True once the known members are all that can be learned soon. Until then there may be far more.
bool membersSettled(const MembersState &state, TimePoint now);

} // namespace gypsumcroft
