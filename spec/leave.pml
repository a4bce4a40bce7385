/*
 * Departure of a target: once the node on its host has acknowledged the leave, the node must not route
 * requests to the target, even after crashes of the node or when announcements arrive late.
 *
 * Two processes with the same target id (births 1 and 2) send announcements, which carry sequence
 * numbers and may arrive in any order. The process with birth 1 leaves. The node may crash at any
 * moment and then restarts with only what the store holds. Every write to the store succeeds; the
 * weaker guarantee when a leave is acknowledged without the store after a timeout is not modelled.
 *
 * Rules that may be left out (-D), each of which must make the model fail:
 *   ACK_BEFORE_KEPT     the leave is acknowledged before it is stored
 *   WORK_BEFORE_RESTORE a restarted node accepts announcements before it has read its record
 *   NO_SEQUENCE         older announcements of a process are accepted, also after its leave
 *   NO_BIRTH            announcements of an older process are accepted after a newer one is known
 */

#define NONE 0
#define READY 1
#define LEFT 2
#define max_crashes 2

/* The announcements: birth 1 announces ready twice and then its leave; birth 2 announces ready. */
#define messages 4
byte births[messages];
byte sequences[messages];
bool leaves[messages];
bool in_flight[messages];

byte stored_birth = NONE;  /* in the store: the latest birth whose leave was stored */
bool acknowledged = false; /* the leave of birth 1 */

/* State of the node that a crash loses. */
byte known_birth = NONE;
byte known_sequence = 0;
byte state = NONE;
bool restored = false;   /* the node has read its record from the store */
byte left_birth = NONE;  /* stored_birth as the node has read it */

#define may_route_to_1 (state == READY && known_birth == 1)

proctype targets() {
    births[0] = 1; sequences[0] = 1; in_flight[0] = true;
    births[1] = 1; sequences[1] = 2; in_flight[1] = true;
    births[2] = 1; sequences[2] = 3; leaves[2] = true; in_flight[2] = true;
    (acknowledged);
    births[3] = 2; sequences[3] = 1; in_flight[3] = true
}

/* Receives any announcement in flight. */
inline receive() {
    if
    :: in_flight[0] -> index = 0
    :: in_flight[1] -> index = 1
    :: in_flight[2] -> index = 2
    :: in_flight[3] -> index = 3
    fi;
    in_flight[index] = false;
    birth = births[index];
    sequence = sequences[index];
    leaving = leaves[index]
}

#define any_in_flight (in_flight[0] || in_flight[1] || in_flight[2] || in_flight[3])

inline store_and_acknowledge() {
    if
    :: birth == 1 ->
#ifdef ACK_BEFORE_KEPT
        acknowledged = true;
        pending = true
#else
        stored_birth = birth;
        acknowledged = true
#endif
    :: else -> skip
    fi
}

proctype node() {
    byte birth, sequence, index;
    bool leaving, pending = false;
    byte crashes = 0;
    do
    :: !restored -> atomic {
        left_birth = stored_birth;
        if
        :: known_birth != NONE && known_birth <= left_birth -> state = LEFT
        :: else -> skip
        fi;
        restored = true }
    :: pending -> atomic { stored_birth = 1; pending = false }
    :: crashes < max_crashes -> atomic {
        crashes++;
        known_birth = NONE; known_sequence = 0; state = NONE;
        restored = false; left_birth = NONE; pending = false }
#ifdef WORK_BEFORE_RESTORE
    :: any_in_flight -> atomic {
#else
    :: restored && any_in_flight -> atomic {
#endif
        receive();
        if
#ifndef NO_BIRTH
        :: birth < known_birth -> skip
#endif
#ifndef NO_SEQUENCE
        :: birth == known_birth && sequence < known_sequence -> skip
        :: birth == known_birth && state == LEFT -> skip
#endif
        :: else ->
            known_birth = birth;
            known_sequence = sequence;
            if
            :: leaving -> state = LEFT; store_and_acknowledge()
            :: !leaving && birth <= left_birth -> state = LEFT
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
