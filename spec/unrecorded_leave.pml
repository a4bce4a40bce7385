/*
 * Departure of a target whose leave was acknowledged while the store was away: the node must not route
 * requests to it, even after crashes of the node or when announcements arrive late.
 *
 * Nothing is recorded here. A restarted node takes a start that announces itself into service only once
 * the target has said, when asked, that it accepts requests. The answer names the id of the start that
 * gives it. The later start (birth 2) has another id, so that requests for birth 1 never reach it.
 *
 * Rules that may be left out (-D), each of which must make the model fail:
 *   UNASKED_RESTART     a restarted node believes the first announcement
 *   ANSWER_OF_ANOTHER   the answer of one start confirms another
 */

#define NONE 0
#define READY 1
#define LEFT 2
#define max_crashes 2

#define messages 4
byte births[messages];
bool leaves[messages];
bool in_flight[messages];

byte running_birth = 1;    /* the start that answers the node's question */
bool says_leaving = false; /* birth 1, from its leave on */
bool acknowledged = false; /* the leave of birth 1 */

/* State of the node that a crash loses. */
byte known_birth = NONE;
byte state = NONE;
bool confirmed = true; /* the first process of a host has no predecessor */

/* The question in flight: the start that it is about, and the answer. */
byte asked_birth = NONE;
byte answered_birth = NONE; /* NONE: it does not accept requests */

#define may_route_to_1 (state == READY && confirmed && known_birth == 1)

proctype targets() {
    births[0] = 1; in_flight[0] = true;
    births[1] = 1; in_flight[1] = true;
    says_leaving = true;
    births[2] = 1; leaves[2] = true; in_flight[2] = true;
    (acknowledged);
    atomic { running_birth = 2; births[3] = 2; in_flight[3] = true }
}

inline receive() {
    if
    :: in_flight[0] -> index = 0
    :: in_flight[1] -> index = 1
    :: in_flight[2] -> index = 2
    :: in_flight[3] -> index = 3
    fi;
    in_flight[index] = false;
    birth = births[index];
    leaving = leaves[index]
}

#define any_in_flight (in_flight[0] || in_flight[1] || in_flight[2] || in_flight[3])

proctype node() {
    byte birth, index;
    bool leaving;
    byte crashes = 0;
    do
    :: crashes < max_crashes -> atomic {
        crashes++;
        known_birth = NONE; state = NONE;
        asked_birth = NONE;
#ifndef UNASKED_RESTART
        confirmed = false
#endif
        }
    :: state == READY && !confirmed && asked_birth == NONE -> atomic {
        asked_birth = known_birth;
        if
        :: running_birth == 1 && says_leaving -> answered_birth = NONE
        :: else -> answered_birth = running_birth
        fi }
    :: asked_birth != NONE -> atomic {
        if
#ifdef ANSWER_OF_ANOTHER
        :: answered_birth != NONE && state == READY -> confirmed = true
#else
        :: answered_birth == asked_birth && asked_birth == known_birth && state == READY ->
            confirmed = true
#endif
        :: else -> skip
        fi;
        asked_birth = NONE }
    :: any_in_flight -> atomic {
        receive();
        if
        :: birth < known_birth -> skip
        :: birth == known_birth && state == LEFT -> skip
        :: else ->
            known_birth = birth;
            if
            :: leaving -> state = LEFT; if :: birth == 1 -> acknowledged = true :: else -> skip fi
            :: else -> state = READY
            fi
        fi }
    :: timeout -> break
    od
}

/* No request is ever routed to a process whose leave was acknowledged. */
proctype monitor() {
    assert(!(acknowledged && may_route_to_1))
}

init {
    atomic { run targets(); run node(); run monitor() }
}
