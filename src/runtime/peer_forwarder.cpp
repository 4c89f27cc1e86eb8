#include <knapweedchute/runtime/peer_forwarder.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {

peer_forwarder::peer_forwarder(peer_caller& caller) : caller_{&caller} {}

peer_forwarder::~peer_forwarder()
{
    stop();
}

auto peer_forwarder::start(const peer_agent& peers) -> void
{
    peers_ = &peers;
    for (auto index = std::size_t{0}; index < thread_count; ++index) {
        threads_.emplace_back([this] { run(); });
    }
}

auto peer_forwarder::stop() -> void
{
    {
        const auto lock = std::lock_guard{mutex_};
        stopping_ = true;
    }
    wake_.notify_all();
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
    for (const auto& waiting : std::exchange(jobs_, {})) {
        waiting.done(std::nullopt);
    }
}

auto peer_forwarder::forward(const std::string& instance, forwarded_request request,
                             completion done) -> void
{
    {
        const auto lock = std::lock_guard{mutex_};
        if (jobs_.size() < max_waiting_requests && !stopping_) {
            jobs_.push_back({instance, std::move(request), std::move(done)});
            wake_.notify_one();
            return;
        }
    }
    done(std::nullopt);
}

auto peer_forwarder::run() -> void
{
    auto lock = std::unique_lock{mutex_};
    while (true) {
        wake_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
        if (stopping_) {
            return;
        }
        const auto work = std::move(jobs_.front());
        jobs_.pop_front();
        lock.unlock();
        work.done(call_peer(work));
        lock.lock();
    }
}

auto peer_forwarder::call_peer(const job& work) -> std::optional<query_answer>
{
    const auto peer = peers_->peer_address(work.instance);
    const auto& request = work.request;
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(request.deadline - steady_clock::now());
    if (!peer || remaining <= milliseconds::zero()) {
        return std::nullopt;
    }
    const auto call = peer_call{peer_call_kind::search,
                                request.service,
                                request.version,
                                request.snapshot,
                                request.total_shards,
                                request.shards,
                                request.text,
                                request.top,
                                static_cast<std::uint64_t>(remaining.count())};
    auto reply = caller_->call(*peer, call, remaining);
    return reply ? std::optional{std::move(reply->answer)} : std::nullopt;
}

} // namespace knapweedchute
