#include "lavenderhoist/relay/peer_links.hpp"

#include "lavenderhoist/relay/stream_codec.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::relay {

namespace {

/** Many times a round trip between data centres of one region. */
constexpr duration connect_timeout = std::chrono::milliseconds(250);

/** A connection with open streams that has received nothing for this long is pinged. */
constexpr duration ping_delay = std::chrono::milliseconds(200);

/** A connection with open streams that has received nothing for this long gets no new streams. */
constexpr duration silence_timeout = std::chrono::milliseconds(600);

constexpr std::size_t max_answer_bytes = 64U << 20U;

} // namespace

/** A request that waits for its connection or its answer. */
struct peer_links::outgoing_request {
    relay_request request;
    std::string peer_id;
    done_handler done;
    std::shared_ptr<net::h2_client> sent_on;
    std::int32_t stream{-1};
    bool cancelled{false};
};

/** The connection to one node. */
struct peer_links::link {
    net::tcp::endpoint where;
    std::shared_ptr<net::h2_client> client;
    std::shared_ptr<net::tcp::socket> connecting;
    std::vector<std::shared_ptr<outgoing_request>> waiting; ///< For the connection.
    time_point pinged_at{}; ///< When the ping in flight was sent; zero without one.
};

peer_links::peer_links(boost::asio::any_io_executor executor, net::deadline_queue& deadlines,
                       net::memory_pool_ptr memory)
    : executor_(std::move(executor)), deadlines_(deadlines), memory_(std::move(memory)) {}

peer_links::~peer_links() = default;

peer_links::link_ptr peer_links::link_to(const net::tcp::endpoint& where) {
    auto& found = links_[where];
    if (!found) {
        found = std::make_shared<link>();
        found->where = where;
    }
    return found;
}

peer_links::cancel_function peer_links::submit(const net::tcp::endpoint& where,
                                               const std::string& peer_id,
                                               const relay_request& request, done_handler done) {
    const auto peer = link_to(where);
    const auto outgoing = std::make_shared<outgoing_request>();
    outgoing->peer_id = peer_id;
    outgoing->done = std::move(done);
    outgoing->request = request;
    if (peer->client && peer->client->is_usable()) {
        send(peer, outgoing);
    } else {
        peer->waiting.push_back(outgoing);
        connect(peer);
    }
    return [outgoing] {
        outgoing->cancelled = true;
        if (outgoing->sent_on) {
            outgoing->sent_on->cancel(outgoing->stream);
            outgoing->sent_on.reset();
        }
    };
}

void peer_links::send(const link_ptr& peer, const std::shared_ptr<outgoing_request>& outgoing) {
    if (outgoing->cancelled) {
        return;
    }
    outgoing->sent_on = peer->client;
    const auto message = to_stream(outgoing->request, runtime_clock::now());
    outgoing->request.message = {}; // frees memory: `message` is the copy that is sent
    outgoing->stream = peer->client->submit(message, [outgoing](net::exchange_result result) {
        outgoing->sent_on.reset();
        outgoing->done(from_stream(std::move(result), outgoing->peer_id));
    });
    if (outgoing->stream < 0) {
        outgoing->sent_on.reset();
        outgoing->done(
            make_failure(execution::not_run, errc::peer_lost, step::stream, outgoing->peer_id));
    }
}

void peer_links::request_load(const net::tcp::endpoint& where, const std::string& route,
                              std::function<void(const load_report&)> on_report) {
    const auto found = links_.find(where);
    if (found == links_.end() || !found->second->client) {
        return;
    }
    found->second->client->submit(make_load_query(route), [on_report = std::move(on_report)](
                                                              const net::exchange_result& result) {
        if (const auto load = parse_load_answer(result)) {
            on_report(*load);
        }
    });
}

void peer_links::connect(const link_ptr& peer) {
    if (peer->connecting) {
        return;
    }
    const auto socket = std::make_shared<net::tcp::socket>(executor_);
    peer->connecting = socket;
    const auto timeout = deadlines_.add(runtime_clock::now() + connect_timeout, [socket] {
        boost::system::error_code ignored;
        socket->close(ignored);
    });
    socket->async_connect(peer->where,
                          [this, peer, socket, timeout](const boost::system::error_code& failed) {
                              const bool timed_out = !socket->is_open();
                              if (!timed_out) {
                                  deadlines_.remove(timeout);
                              }
                              on_connected(peer, std::move(*socket), failed || timed_out);
                          });
}

void peer_links::on_connected(const link_ptr& peer, net::tcp::socket socket, bool failed) {
    peer->connecting.reset();
    if (!failed) {
        peer->client =
            std::make_shared<net::h2_client>(std::move(socket), max_answer_bytes, memory_);
        peer->client->start();
        peer->pinged_at = {};
    }
    for (const auto& outgoing : std::exchange(peer->waiting, {})) {
        if (outgoing->cancelled) {
            continue;
        }
        if (failed) {
            outgoing->done(make_failure(execution::not_run, errc::peer_lost, step::connect,
                                        outgoing->peer_id));
            continue;
        }
        send(peer, outgoing);
    }
}

void peer_links::check_liveness() {
    const auto now = runtime_clock::now();
    for (const auto& [where, peer] : links_) {
        const auto& client = peer->client;
        if (!client || !client->is_open() || client->open_streams() == 0) {
            continue;
        }
        const auto quiet = now - client->last_received();
        if (quiet < ping_delay) {
            peer->pinged_at = {};
            continue;
        }
        if (peer->pinged_at == time_point{}) {
            peer->pinged_at = now;
            client->ping();
            continue;
        }
        if (now - peer->pinged_at > silence_timeout - ping_delay) {
            // New streams use a new connection. Open streams may have run: they wait for an answer
            // until their deadline.
            unresponsive_.push_back(std::exchange(peer->client, nullptr));
            peer->pinged_at = {};
        }
    }
    std::erase_if(unresponsive_, [](const auto& client) {
        const bool is_over = !client->is_open() || client->open_streams() == 0;
        if (is_over) {
            client->shut_down();
        }
        return is_over;
    });
}

} // namespace lavenderhoist::relay
