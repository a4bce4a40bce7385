/* Versioned records on a log with retention: every reader, wherever it begins, judges alike.
 *
 * Two authors read, prepare a successor and append it, perhaps twice (a lost confirmation); the log
 * drops old records but never the current one, which is renewed before it expires. Not modelled:
 * renewal in time (assumed), several topics.
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

/* what a reader that has followed the log from its beginning holds */
byte true_offset = 0;        /* offset + 1; 0 for none */
byte true_version = 0;

byte read_offset[AUTHORS];
byte read_version[AUTHORS];
bool prepared[AUTHORS];

inline append(v, r) {
  version[tail] = v;
  replaces[tail] = r;
  tail++;
  if
  :: v == true_version + 1 && r == true_offset -> true_offset = tail; true_version = v
  :: else
  fi
}

proctype author(byte a) {
  do
  :: atomic { tail < RECORDS && !prepared[a] ->
#ifdef AUTHOR_DOES_NOT_READ
       read_version[a] = true_version;
       read_offset[a] = (tail > 0 -> tail : 0);
#else
       read_version[a] = true_version;
       read_offset[a] = true_offset;
#endif
       prepared[a] = true }
  :: atomic { tail < RECORDS && prepared[a] ->
       append(read_version[a] + 1, read_offset[a]);
       if
       :: prepared[a] = false
       :: true               /* the confirmation is lost: it appends the same again */
       fi }
  :: tail == RECORDS -> break
  od
}

proctype retention() {
  do
  :: atomic { first < tail &&
#ifndef CURRENT_MAY_EXPIRE
       first + 1 < true_offset &&
#endif
       tail < RECORDS -> first++ }
  :: tail == RECORDS -> break
  od
}

/* A reader without memory reads what is retained, at any moment. */
proctype fresh_reader() {
  byte i;
  byte seen_version = 0;
  byte seen_offset = 0;
  do
  :: atomic {
       i = first;
       seen_version = 0;
       seen_offset = 0;
       do
       :: i < tail ->
          if
#ifdef LAST_OF_VERSION_WINS
          :: version[i] >= seen_version -> seen_version = version[i]; seen_offset = i + 1
#else
          :: version[i] > seen_version -> seen_version = version[i]; seen_offset = i + 1
#endif
          :: else
          fi;
          i++
       :: else -> break
       od;
       assert(seen_offset == true_offset && seen_version == true_version);
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
