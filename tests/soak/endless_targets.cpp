#include "endless_targets.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace knapweedchute::soak {
namespace {

using boost::asio::ip::tcp;

constexpr auto block_bytes = std::size_t{64} * 1'024;
/// A little less than the entry daemon takes of one answer.
constexpr auto stalled_blocks = 63;
const auto head = std::string{"HTTP/1.1 200 OK\r\nServer-Stamp: endless\r\n\r\n"};

} // namespace

struct endless_targets::session
{
    tcp::socket socket;
    bool stalls;
    std::string request;
    int blocks = 0;
};

endless_targets::endless_targets() : block_(block_bytes, 'x') {}

endless_targets::~endless_targets()
{
    loop_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

auto endless_targets::add(const address& where, bool stalls) -> void
{
    const auto endpoint = tcp::endpoint{boost::asio::ip::address_v4{where.ip}, where.port};
    acceptors_.push_back(std::make_unique<tcp::acceptor>(loop_, endpoint));
    accept(*acceptors_.back(), stalls);
}

auto endless_targets::start() -> void
{
    thread_ = std::thread{[this] { loop_.run(); }};
}

auto endless_targets::accept(tcp::acceptor& from, bool stalls) -> void
{
    from.async_accept([this, &from, stalls](const auto& failure, tcp::socket socket) {
        if (failure) {
            return;
        }
        read_request(std::make_shared<session>(session{std::move(socket), stalls, {}}));
        accept(from, stalls);
    });
}

auto endless_targets::read_request(const std::shared_ptr<session>& to) -> void
{
    boost::asio::async_read_until(
        to->socket, boost::asio::dynamic_buffer(to->request), "\r\n\r\n",
        [this, to](const auto& failure, std::size_t) {
            if (failure) {
                return;
            }
            boost::asio::async_write(to->socket, boost::asio::buffer(head),
                                     [this, to](const auto&, std::size_t) { write_block(to); });
        });
}

auto endless_targets::write_block(const std::shared_ptr<session>& to) -> void
{
    if (to->stalls && to->blocks == stalled_blocks) {
        // Keeps the connection open until the caller closes it.
        boost::asio::async_read(to->socket, boost::asio::dynamic_buffer(to->request),
                                [to](const auto&, std::size_t) {});
        return;
    }
    to->blocks += 1;
    boost::asio::async_write(to->socket, boost::asio::buffer(block_),
                             [this, to](const auto& failure, std::size_t) {
                                 if (!failure) {
                                     write_block(to);
                                 }
                             });
}

} // namespace knapweedchute::soak
