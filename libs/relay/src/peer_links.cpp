#include "lavenderhoist/relay/peer_links.hpp"

#include "lavenderhoist/relay/stream_codec.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::relay {

namespace {

/** Longer than a round trip between data centres of one region by far. */
constexpr duration connect_timeout = std::chrono::milliseconds(250);

/** A connection with open streams that has been quiet this long is asked for a sign of life. */
constexpr duration quiet_time = std::chrono::milliseconds(200);

/** Without a sign of life for this long a connection gets no more streams. */
constexpr duration silent_time = std::chrono::milliseconds(600);

constexpr std::size_t max_answer_bytes = 64U << 20U;

} // namespace

/** A request that waits for its connection, or for its answer. */
struct peer_links::waiter {
    relay_request request;
    std::string peer_id;
    done_handler done;
    std::shared_ptr<net::h2_client> sent_on;
    std::int32_t stream{-1};
    bool withdrawn{false};
};

/** The connection to one node. */
struct peer_links::link {
    net::tcp::endpoint where;
    std::shared_ptr<net::h2_client> client;
    std::shared_ptr<net::tcp::socket> connecting;
    std::vector<std::shared_ptr<waiter>> waiting;
    time_point asked{}; ///< When a sign of life was asked for.
};

peer_links::peer_links(boost::asio::any_io_executor executor, net::deadline_queue& deadlines)
    : executor_(std::move(executor)), deadlines_(deadlines) {}

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
    const auto target = link_to(where);
    const auto waiting = std::make_shared<waiter>();
    waiting->peer_id = peer_id;
    waiting->done = std::move(done);
    waiting->request = request;
    if (target->client && target->client->is_usable()) {
        send(target, waiting);
    } else {
        target->waiting.push_back(waiting);
        connect(target);
    }
    return [waiting] {
        waiting->withdrawn = true;
        if (waiting->sent_on) {
            waiting->sent_on->cancel(waiting->stream);
            waiting->sent_on.reset();
        }
    };
}

void peer_links::send(const link_ptr& target, const std::shared_ptr<waiter>& waiting) {
    if (waiting->withdrawn) {
        return;
    }
    waiting->sent_on = target->client;
    const auto message = to_stream(waiting->request, runtime_clock::now());
    waiting->request.message = {}; // nghttp2 has its copy
    waiting->stream = target->client->submit(message, [waiting](net::exchange_result result) {
        waiting->sent_on.reset();
        waiting->done(from_stream(std::move(result), waiting->peer_id));
    });
    if (waiting->stream < 0) {
        waiting->sent_on.reset();
        waiting->done(
            make_failure(execution::not_run, errc::peer_lost, step::stream, waiting->peer_id));
    }
}

void peer_links::ask_load(const net::tcp::endpoint& where, const std::string& route,
                          std::function<void(const load_report&)> told) {
    const auto found = links_.find(where);
    if (found == links_.end() || !found->second->client) {
        return;
    }
    found->second->client->submit(make_load_question(route),
                                  [told = std::move(told)](const net::exchange_result& result) {
                                      if (const auto load = parse_load_answer(result)) {
                                          told(*load);
                                      }
                                  });
}

void peer_links::connect(const link_ptr& target) {
    if (target->connecting) {
        return;
    }
    const auto socket = std::make_shared<net::tcp::socket>(executor_);
    target->connecting = socket;
    const auto timeout = deadlines_.add(runtime_clock::now() + connect_timeout, [socket] {
        boost::system::error_code ignored;
        socket->close(ignored);
    });
    socket->async_connect(target->where,
                          [this, target, socket, timeout](const boost::system::error_code& failed) {
                              const bool timed_out = !socket->is_open();
                              if (!timed_out) {
                                  deadlines_.remove(timeout);
                              }
                              on_connected(target, std::move(*socket), failed || timed_out);
                          });
}

void peer_links::on_connected(const link_ptr& target, net::tcp::socket socket, bool failed) {
    target->connecting.reset();
    if (!failed) {
        target->client = std::make_shared<net::h2_client>(std::move(socket), max_answer_bytes);
        target->client->start();
        target->asked = {};
    }
    for (const auto& waiting : std::exchange(target->waiting, {})) {
        if (waiting->withdrawn) {
            continue;
        }
        if (failed) {
            waiting->done(
                make_failure(execution::not_run, errc::peer_lost, step::connect, waiting->peer_id));
            continue;
        }
        send(target, waiting);
    }
}

void peer_links::watch() {
    const auto now = runtime_clock::now();
    for (const auto& [where, target] : links_) {
        const auto& client = target->client;
        if (!client || !client->is_open() || client->open_streams() == 0) {
            continue;
        }
        const auto quiet = now - client->last_received();
        if (quiet < quiet_time) {
            target->asked = {};
            continue;
        }
        if (target->asked == time_point{}) {
            target->asked = now;
            client->ping();
            continue;
        }
        if (now - target->asked > silent_time - quiet_time) {
            // New streams get a new connection; those that may have run wait for their deadline.
            silent_.push_back(std::exchange(target->client, nullptr));
            target->asked = {};
        }
    }
    std::erase_if(silent_, [](const auto& client) {
        const bool is_over = !client->is_open() || client->open_streams() == 0;
        if (is_over) {
            client->shut_down();
        }
        return is_over;
    });
}

} // namespace lavenderhoist::relay
