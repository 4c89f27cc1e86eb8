#pragma once

#include <knapweedchute/feed/feed_subscriber.hpp>
#include <knapweedchute/net/request_handler.hpp>
#include <knapweedchute/wire/envelope.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace knapweedchute {

/// \brief Serves the keys and their changes to peers while this instance reads the store itself.
class feed_handler final : public request_handler
{
public:
    feed_handler(timer_queue& timers, envelope codec);

    /// \brief Sets the subscriber whose cache is served, and answers waiting peers when it changes.
    auto set_subscriber(feed_subscriber& subscriber) -> void;

    auto handle(relayed_request request, responder respond) -> std::uint64_t override;
    auto cancel(std::uint64_t request) -> void override;
    [[nodiscard]] auto limits() const -> caller_limits override { return {}; }

private:
    struct waiting_peer
    {
        feed_position after;
        responder respond;
        timer_id timer = 0;
        std::optional<duration> arrived; ///< When the call arrived, if ages are as of then.
    };

    auto wait_for_changes(const std::string& query, responder respond) -> std::uint64_t;
    /// \brief Answers with what is known beyond the state of the store in an era.
    auto tell_known(const std::string& query, const responder& respond) -> void;
    auto answer_waiting_peers() -> void;
    auto answer_peer(std::uint64_t id, bool even_if_empty) -> void;
    /// \param arrived Time as of which the age is stated; empty: now.
    [[nodiscard]] auto encode(const feed_page& page, std::optional<duration> arrived) const
        -> relayed_answer;

    timer_queue* timers_;
    envelope codec_;
    feed_subscriber* subscriber_ = nullptr;
    std::map<std::uint64_t, waiting_peer> waiting_;
    std::uint64_t next_id_ = 1;
};

} // namespace knapweedchute
