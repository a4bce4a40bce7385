#pragma once

#include <map>
#include <string>
#include <string_view>

namespace lavenderhoist::admission {

/**
 * \brief Guarantees each class of requests a share of its demand, whatever the demand of other
 * classes.
 *
 * Requests are admitted by rank. While the higher ranks alone use the capacity of a service, none
 * of the lower ones would be served. So an entry raises one request in eight of a class, if it
 * would be refused otherwise, to the guaranteed rank, which every hop of its call chain admits
 * first.
 *
 * The guarantee has two bounds: a share of the requests of the class, and the same share of all
 * restricted requests of this entry that are served. Callers that retry more often, or a class
 * whose demand grows many times over, thus take no more than that from the higher ranks.
 *
 * A pure state machine. It counts requests that arrive from callers, not their nested calls.
 */
class guaranteed_share {
public:
    /** \brief Guaranteed share of a class's requests. With one retry by each caller, 23% of them
     * are admitted; the minimum shares that the users require for a class begin at 17%. */
    static constexpr double share = 0.125;

    /** \brief A request of a class has arrived. */
    void on_request(std::string_view class_name);

    /** \brief A request of a class was served. \param guaranteed true if try_take() admitted it.
     * \param restricted false if nothing of what serves the class is overloaded: such requests give
     * the others no claim, as they don't use the scarce service. */
    void on_served(std::string_view class_name, bool guaranteed, bool restricted = true);

    /** \brief Admits a request that would be refused otherwise, if the share of its class is not
     * used up. \returns true if the request is admitted. */
    bool try_take(std::string_view class_name);

private:
    /** Requests that each class may still claim; negative if it was served more than its share. */
    std::map<std::string, double, std::less<>> balances_;
    double total_balance_{1}; ///< Requests that all classes together may still claim.
};

} // namespace lavenderhoist::admission
