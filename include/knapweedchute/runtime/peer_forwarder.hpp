#pragma once

#include <knapweedchute/runtime/forwarder.hpp>
#include <knapweedchute/runtime/peer_agent.hpp>
#include <knapweedchute/runtime/peer_caller.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace knapweedchute {

/// \brief Forwards parts of a search to peers over TCP from a fixed pool of threads.
class peer_forwarder final : public forwarder
{
public:
    /// \brief Number of threads, which limits the forwarded requests in progress.
    static constexpr auto thread_count = std::size_t{8};

    /// \brief Maximum number of requests in the queue; further ones fail immediately.
    static constexpr auto max_waiting_requests = std::size_t{256};

    /// \param caller Calls peers; must outlive the forwarder.
    explicit peer_forwarder(peer_caller& caller);
    ~peer_forwarder() override;

    /// \brief Starts the threads.
    /// \param peers Provides the addresses of instances; must outlive the forwarder.
    auto start(const peer_agent& peers) -> void;

    /// \brief Stops the threads; requests still in the queue fail.
    auto stop() -> void;

    auto forward(const std::string& instance, forwarded_request request, completion done)
        -> void override;

private:
    struct job
    {
        std::string instance;
        forwarded_request request;
        completion done;
    };

    auto run() -> void;
    [[nodiscard]] auto call_peer(const job& work) -> std::optional<query_answer>;

    peer_caller* caller_;
    const peer_agent* peers_ = nullptr;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<job> jobs_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace knapweedchute
