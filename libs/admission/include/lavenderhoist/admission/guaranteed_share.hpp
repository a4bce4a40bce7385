#pragma once

#include <map>
#include <string>
#include <string_view>

namespace lavenderhoist::admission {

/**
 * \brief Guarantees each class of requests a share of what it asks for, whatever others ask.
 *
 * Requests are admitted by rank. Where the higher ranks alone fill a service, the lower ones would
 * get nothing for as long as that lasts. So an entry raises one request in eight of a class, if it
 * is refused otherwise, to the guaranteed rank, which all hops of its chain put first.
 *
 * What is guaranteed is bounded twice: by a share of what the class asks, and by the same share of
 * what the entry's requests are served in total. Callers that ask more often, or a class that grows
 * many times over, thus take no more than that from the higher ranks.
 *
 * A pure state machine; requests that enter here only, not the calls made for them.
 */
class guaranteed_share {
public:
    /** \brief Share of a class's requests. With one more try by each caller 23% of them are let in;
     * the users' floors for a class begin at 17%. */
    static constexpr double share = 0.125;

    /** \brief A request of a class has arrived. */
    void on_request(std::string_view class_name);

    /** \brief A request of a class was served. \param guaranteed it was let in by try_take(). */
    void on_served(std::string_view class_name, bool guaranteed);

    /** \brief A request of a class is refused otherwise. \returns true if it is to be let in. */
    bool try_take(std::string_view class_name);

private:
    /** By class: requests; negative if more than the share was served lately. */
    std::map<std::string, double, std::less<>> owed_;
    double available_{1}; ///< Requests, over all classes.
};

} // namespace lavenderhoist::admission
