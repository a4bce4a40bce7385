/* Versioned records on a log with retention: every reader finds the same current record, at
 * whichever offset it begins.
 *
 * Two authors read the current record, prepare its successor and append it, possibly twice (after a
 * lost confirmation). Retention removes old records but never the current one, which is renewed before
 * it expires. Not modelled: that the renewal is in time (assumed), several topics.
 *
 * Rules that -D leaves out: CURRENT_MAY_EXPIRE, AUTHOR_DOES_NOT_READ, LAST_OF_VERSION_WINS. Each must
 * make the assertion fail.
 */
#define RECORDS 6
#define AUTHORS 2

byte version[RECORDS];
byte replaces[RECORDS];      /* offset + 1 of the record that it replaces; 0 for none */
byte tail = 0;
byte first = 0;              /* lowest offset retained */

/* the current record of a reader that has read the log from offset 0 */
byte current_offset = 0;        /* offset + 1; 0 for none */
byte current_version = 0;

byte read_offset[AUTHORS];
byte read_version[AUTHORS];
bool prepared[AUTHORS];

inline append(v, r) {
  version[tail] = v;
  replaces[tail] = r;
  tail++;
  if
  :: v == current_version + 1 && r == current_offset -> current_offset = tail; current_version = v
  :: else
  fi
}

proctype author(byte a) {
  do
  :: atomic { tail < RECORDS && !prepared[a] ->
#ifdef AUTHOR_DOES_NOT_READ
       read_version[a] = current_version;
       read_offset[a] = (tail > 0 -> tail : 0);
#else
       read_version[a] = current_version;
       read_offset[a] = current_offset;
#endif
       prepared[a] = true }
  :: atomic { tail < RECORDS && prepared[a] ->
       append(read_version[a] + 1, read_offset[a]);
       if
       :: prepared[a] = false
       :: true               /* the confirmation is lost: the author appends the same record again */
       fi }
  :: tail == RECORDS -> break
  od
}

proctype retention() {
  do
  :: atomic { first < tail &&
#ifndef CURRENT_MAY_EXPIRE
       first + 1 < current_offset &&
#endif
       tail < RECORDS -> first++ }
  :: tail == RECORDS -> break
  od
}

/* A reader without state reads the retained records, at any moment. */
proctype fresh_reader() {
  byte i;
  byte found_version = 0;
  byte found_offset = 0;
  do
  :: atomic {
       i = first;
       found_version = 0;
       found_offset = 0;
       do
       :: i < tail ->
          if
#ifdef LAST_OF_VERSION_WINS
          :: version[i] >= found_version -> found_version = version[i]; found_offset = i + 1
#else
          :: version[i] > found_version -> found_version = version[i]; found_offset = i + 1
#endif
          :: else
          fi;
          i++
       :: else -> break
       od;
       assert(found_offset == current_offset && found_version == current_version);
       i = 0 }
  :: tail == RECORDS -> break
  od
}

init {
  atomic {
    run author(0);
    run author(1);
    run retention();
    run fresh_reader()
  }
}
