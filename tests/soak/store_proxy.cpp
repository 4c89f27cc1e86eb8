#include "store_proxy.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <memory>
#include <sstream>
#include <string>
#include <utility>

namespace knapweedchute::soak {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr auto buffer_bytes = std::size_t{65'536};
constexpr auto reset_delay = std::chrono::milliseconds{20};

auto endpoint_of(const address& where) -> tcp::endpoint
{
    return {boost::asio::ip::address_v4{where.ip}, where.port};
}

/// Writes an endpoint as the system's table of connections does.
auto table_entry(const tcp::endpoint& endpoint) -> std::string
{
    auto text = std::ostringstream{};
    text << std::hex << std::uppercase << std::setfill('0') << std::setw(8)
         << htonl(endpoint.address().to_v4().to_uint()) << ':' << std::setw(4) << endpoint.port();
    return text.str();
}

/// Finds the inode of the socket at one end of a connection within this machine.
/// \returns The inode; empty if there is no such connection.
auto inode_of(const tcp::endpoint& own_end, const tcp::endpoint& other_end) -> std::string
{
    constexpr auto columns_before_inode = 6;
    const auto wanted_local = table_entry(own_end);
    const auto wanted_remote = table_entry(other_end);
    auto table = std::ifstream{"/proc/net/tcp"};
    for (auto line = std::string{}; std::getline(table, line);) {
        auto columns = std::istringstream{line};
        auto column = std::string{};
        auto local = std::string{};
        auto remote = std::string{};
        columns >> column >> local >> remote;
        if (local != wanted_local || remote != wanted_remote) {
            continue;
        }
        for (auto skipped = 0; skipped < columns_before_inode; ++skipped) {
            columns >> column;
        }
        auto inode = std::string{};
        columns >> inode;
        return inode;
    }
    return "";
}

} // namespace

/// Passes bytes on between two connections until one of them ends.
class store_proxy::connection final : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket from, tcp::socket to, std::shared_ptr<const access> owner)
        : ends_{std::move(from), std::move(to)},
          reset_timer_{ends_[0].get_executor()}, owner_{std::move(owner)}
    {
    }

    auto start() -> void
    {
        ends_[1].async_connect(endpoint_of(owner_->listener),
                               [self = shared_from_this()](const error_code& failure) {
                                   if (failure) {
                                       self->close();
                                       return;
                                   }
                                   self->forward(instance_end);
                                   self->forward(1 - instance_end);
                               });
    }

    [[nodiscard]] auto answer_due() const noexcept -> bool { return answer_due_; }

    auto reset() -> void
    {
        auto ignored = error_code{};
        ends_.at(instance_end).set_option(boost::asio::socket_base::linger{true, 0}, ignored);
        close();
    }

private:
    static constexpr auto instance_end = std::size_t{0};

    auto forward(std::size_t end) -> void
    {
        ends_.at(end).async_read_some(
            boost::asio::buffer(buffers_.at(end)),
            [self = shared_from_this(), end](const error_code& failure, std::size_t bytes) {
                if (failure) {
                    self->close();
                } else if (self->owner_->resetting) {
                    self->reset_later();
                } else {
                    self->pass_on(end, bytes);
                }
            });
    }

    auto pass_on(std::size_t end, std::size_t bytes) -> void
    {
        answer_due_ = end == instance_end;
        boost::asio::async_write(
            ends_.at(1 - end), boost::asio::buffer(buffers_.at(end).data(), bytes),
            [self = shared_from_this(), end](const error_code& failure, std::size_t) {
                if (failure) {
                    self->close();
                    return;
                }
                self->forward(end);
            });
    }

    auto reset_later() -> void
    {
        reset_timer_.expires_after(reset_delay);
        reset_timer_.async_wait([self = shared_from_this()](const error_code& replaced) {
            if (!replaced) {
                self->reset();
            }
        });
    }

    auto close() -> void
    {
        auto ignored = error_code{};
        for (auto& end : ends_) {
            end.close(ignored);
        }
    }

    std::array<tcp::socket, 2> ends_;
    std::array<std::array<char, buffer_bytes>, 2> buffers_{};
    boost::asio::steady_timer reset_timer_;
    std::shared_ptr<const access> owner_;
    bool answer_due_ = false;
};

store_proxy::store_proxy(boost::asio::io_context& loop, const address& where)
    : loop_{&loop}, acceptor_{loop, endpoint_of(where)}
{
    accept();
}

auto store_proxy::add_instance(const entry_process& process, const address& listener) -> void
{
    instances_.push_back(std::make_shared<access>(access{&process, listener}));
}

auto store_proxy::set_resetting(std::size_t instance, bool resetting) -> void
{
    instances_.at(instance)->resetting = resetting;
}

auto store_proxy::cut_waiting() -> void
{
    for (const auto& one : connections_) {
        const auto open = one.lock();
        if (open && open->answer_due()) {
            open->reset();
        }
    }
}

auto store_proxy::remember(const std::shared_ptr<connection>& added) -> void
{
    std::erase_if(connections_, [](const auto& one) { return one.expired(); });
    connections_.push_back(added);
}

auto store_proxy::accept() -> void
{
    acceptor_.async_accept([this](const error_code& failure, socket from) {
        if (!failure) {
            connect_to_listener(std::move(from));
        }
        accept();
    });
}

auto store_proxy::connect_to_listener(socket from) -> void
{
    auto gone = error_code{};
    const auto instance_end = from.remote_endpoint(gone);
    if (gone) {
        return;
    }
    const auto inode = inode_of(instance_end, acceptor_.local_endpoint());
    const auto owner = std::find_if(instances_.begin(), instances_.end(), [&](const auto& one) {
        return one->process->owns_socket(inode);
    });
    if (owner != instances_.end()) {
        const auto added = std::make_shared<connection>(std::move(from), socket{*loop_}, *owner);
        remember(added);
        added->start();
    }
}

} // namespace knapweedchute::soak
