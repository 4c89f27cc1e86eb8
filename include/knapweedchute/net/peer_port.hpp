#pragma once

#include <knapweedchute/membership/membership.hpp>
#include <knapweedchute/relay/timer_queue.hpp>
#include <knapweedchute/wire/envelope.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <vector>

namespace knapweedchute {

/// \brief Datagrams between instances: feeds membership and sends what it wants sent.
class peer_port
{
public:
    /// \param self  This instance.
    /// \param seeds Peers to join through.
    /// \param codec Seals and opens datagrams.
    peer_port(boost::asio::io_context& loop, timer_queue& timers, const member& self,
              std::vector<address> seeds, envelope codec);

    /// \brief Opens the address and starts to probe.
    [[nodiscard]] auto open(error& reason) -> bool;

    /// \brief Notes peers learned from elsewhere; they are probed before they are believed.
    auto introduce(const std::vector<member>& peers) -> void;

    /// \brief Replaces the addresses through which peers are found.
    auto set_seeds(std::vector<address> seeds) -> void { membership_.set_seeds(std::move(seeds)); }

    /// \brief Announces a later state of this instance and tells it at once.
    auto announce(member_state state) -> void;

    /// \brief Tells peers which configuration is in force here.
    auto set_configuration(std::uint64_t version) -> void;

    /// \brief Tells a few peers what was counted for moves between versions.
    auto tell_evidence(const std::vector<evidence_row>& rows) -> void;

    /// \brief Calls `heard` with what peers have counted.
    auto on_evidence(std::function<void(const std::vector<evidence_row>&)> heard) -> void
    {
        heard_ = std::move(heard);
    }

    [[nodiscard]] auto members() const -> std::vector<member> { return membership_.members(); }
    [[nodiscard]] auto self() const -> const member& { return membership_.self(); }

private:
    auto receive() -> void;
    auto on_datagram(std::size_t count) -> void;
    auto tick() -> void;
    auto send(const std::vector<outgoing>& messages) -> void;

    timer_queue* timers_;
    address where_;
    envelope codec_;
    membership membership_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 2'048> input_{};
    std::function<void(const std::vector<evidence_row>&)> heard_;
};

} // namespace knapweedchute
