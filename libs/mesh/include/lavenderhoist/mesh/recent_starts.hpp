#pragma once

#include "lavenderhoist/mesh/target_start.hpp"

#include <deque>

namespace lavenderhoist::mesh {

/** \brief The starts that were added last. */
class recent_starts {
public:
    /** \brief The oldest ones make room: a host runs one target after the other, and messages are
     * delayed by seconds at most. */
    static constexpr std::size_t max_starts = 16;

    void add(const target_start& start);

    /** \brief Adds a start and all earlier ones of the same id. */
    void add_through(const target_start& newest);

    void remove(const target_start& start);

    bool contains(const target_start& start) const;

private:
    struct entry {
        target_start start;
        bool includes_earlier{false};
    };

    void add(entry added);

    std::deque<entry> entries_; ///< In the order in which they were added.
};

} // namespace lavenderhoist::mesh
