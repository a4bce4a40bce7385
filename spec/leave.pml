/*
 * A target that leaves: the node beside it acknowledges the leave and must not give the target work
 * afterwards, across crashes of the node and late announcements.
 *
 * Two starts of one target id (births 1 and 2) announce themselves; announcements are numbered and may
 * arrive in any order. Start 1 leaves. The node may crash at any moment and then knows only what the
 * store has. The store takes every write; that a leave is acknowledged without the store after a
 * time-out is a weaker promise, which is not modelled.
 *
 * Rules that may be left out (-D), each of which must make the model fail:
 *   ACK_BEFORE_KEPT     the leave is acknowledged before the store has it
 *   WORK_BEFORE_RESTORE a restarted node takes announcements before it has read its record
 *   NO_SEQUENCE         late announcements of a start count like new ones, also after its leave
 *   NO_BIRTH            announcements of an older start count after a newer one is known
 */

#define NONE 0
#define READY 1
#define LEFT 2
#define most_crashes 2

/* The announcements: start 1 says ready twice and then leaves; start 2 says ready. */
#define messages 4
byte births[messages];
byte sequences[messages];
bool leaves[messages];
bool on_its_way[messages];

byte kept_birth = NONE;  /* in the store: the latest start whose leave was acknowledged */
bool acknowledged = false; /* to start 1 */

/* Memory of the node's process. */
byte known_birth = NONE;
byte known_sequence = 0;
byte state = NONE;
bool restored = false;
byte left_birth = NONE; /* from the store */

#define gives_work_to_1 (state == READY && known_birth == 1)

proctype targets() {
    births[0] = 1; sequences[0] = 1; on_its_way[0] = true;
    births[1] = 1; sequences[1] = 2; on_its_way[1] = true;
    births[2] = 1; sequences[2] = 3; leaves[2] = true; on_its_way[2] = true;
    (acknowledged);
    births[3] = 2; sequences[3] = 1; on_its_way[3] = true
}

/* Takes any announcement that is on its way. */
inline receive() {
    if
    :: on_its_way[0] -> which = 0
    :: on_its_way[1] -> which = 1
    :: on_its_way[2] -> which = 2
    :: on_its_way[3] -> which = 3
    fi;
    on_its_way[which] = false;
    birth = births[which];
    sequence = sequences[which];
    leaving = leaves[which]
}

#define any_on_its_way (on_its_way[0] || on_its_way[1] || on_its_way[2] || on_its_way[3])

inline keep_and_acknowledge() {
    if
    :: birth == 1 ->
#ifdef ACK_BEFORE_KEPT
        acknowledged = true;
        pending = true
#else
        kept_birth = birth;
        acknowledged = true
#endif
    :: else -> skip
    fi
}

proctype node() {
    byte birth, sequence, which;
    bool leaving, pending = false;
    byte crashes = 0;
    do
    :: !restored -> atomic {
        left_birth = kept_birth;
        if
        :: known_birth != NONE && known_birth <= left_birth -> state = LEFT
        :: else -> skip
        fi;
        restored = true }
    :: pending -> atomic { kept_birth = 1; pending = false }
    :: crashes < most_crashes -> atomic {
        crashes++;
        known_birth = NONE; known_sequence = 0; state = NONE;
        restored = false; left_birth = NONE; pending = false }
#ifdef WORK_BEFORE_RESTORE
    :: any_on_its_way -> atomic {
#else
    :: restored && any_on_its_way -> atomic {
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
            :: leaving -> state = LEFT; keep_and_acknowledge()
            :: !leaving && birth <= left_birth -> state = LEFT
            :: else -> state = READY
            fi
        fi }
    :: timeout -> break
    od
}

/* No work to a start whose leave was acknowledged, at any moment. */
proctype monitor() {
    assert(!(acknowledged && gives_work_to_1))
}

init {
    atomic { run targets(); run node(); run monitor() }
}
