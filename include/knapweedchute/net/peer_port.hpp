#pragma once

#include <knapweedchute/membership/membership.hpp>
#include <knapweedchute/relay/timer_queue.hpp>
#include <knapweedchute/wire/envelope.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Exchanges membership datagrams with other instances.
class peer_port
{
public:
    /// \param self  This instance.
    /// \param seeds Addresses of peers to join through.
    /// \param codec Signs datagrams and verifies received ones.
    peer_port(boost::asio::io_context& loop, timer_queue& timers, const member& self,
              std::vector<address> seeds, envelope codec);

    /// \brief Opens the socket and starts to probe.
    /// \param reason Filled on failure.
    [[nodiscard]] auto open(error& reason) -> bool;

    /// \brief Adds peers found by other means; each is probed before it counts as a member.
    auto add_peers(const std::vector<member>& peers) -> void;

    /// \brief Replaces the addresses of peers to join through.
    auto set_seeds(std::vector<address> seeds) -> void { membership_.set_seeds(std::move(seeds)); }

    /// \brief Sets a later state of this instance and sends it to peers at once.
    auto announce(member_state state) -> void;

    /// \brief Sets the version of the active configuration that is sent to peers.
    auto set_configuration(std::uint64_t version) -> void;

    /// \brief Sends the request counts of rollouts to a few peers.
    auto send_evidence(const std::vector<evidence_row>& rows) -> void;

    /// \brief Sets the listener for the request counts of peers.
    auto on_evidence(std::function<void(const std::vector<evidence_row>&)> listener) -> void
    {
        evidence_listener_ = std::move(listener);
    }

    /// \brief Requests a loan of shared room from a peer.
    /// \param at Time of the request, which the reply repeats.
    auto request_room(const address& peer, duration at) -> void;

    /// \brief Sets what grants and receives loans of shared room.
    /// \param lend   Grants a loan to an instance, or none.
    /// \param borrow Receives the loan of an instance and the time of its request.
    auto on_room(std::function<std::optional<room_loan>(const std::string&)> lend,
                 std::function<void(const std::string&, room_loan, duration)> borrow) -> void
    {
        lend_ = std::move(lend);
        borrow_ = std::move(borrow);
    }

    /// \brief Sets the listener for the configuration versions that peers have in force.
    auto on_configuration(
        std::function<void(const std::string& instance, std::uint64_t version)> listener) -> void
    {
        configuration_listener_ = std::move(listener);
    }

    [[nodiscard]] auto members() const -> std::vector<member> { return membership_.members(); }
    [[nodiscard]] auto self() const -> const member& { return membership_.self(); }

private:
    auto receive() -> void;
    auto on_datagram(std::size_t count) -> void;
    auto on_room_message(const peer_message& message) -> void;
    auto tick() -> void;
    auto send(const std::vector<outgoing>& messages) -> void;

    timer_queue* timers_;
    address address_;
    envelope codec_;
    membership membership_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 2'048> input_{};
    std::function<void(const std::vector<evidence_row>&)> evidence_listener_;
    std::function<void(const std::string&, std::uint64_t)> configuration_listener_;
    std::function<std::optional<room_loan>(const std::string&)> lend_;
    std::function<void(const std::string&, room_loan, duration)> borrow_;
};

} // namespace knapweedchute
