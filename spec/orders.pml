/* At-most-once execution of one order over a chain of epochs.
 *
 * Node 0 owns the key in epoch 1, node 1 in epoch 2 and node 0 again in epoch 3; node 2 never owns it.
 * A node that does not own the key in an epoch is an outsider in it, but may write the next epoch.
 * Time is discrete; LEASE and OUTAGE are lengths in ticks. A node may pause between any two of its
 * steps, since steps interleave freely with time. During an outage no node reads or writes the log.
 * Not modelled: clocks that differ (the fuzz test covers them), more than one key, hosts that restart
 * under the same id.
 *
 * Rules that -D leaves out: NO_WAIT, LEASE_FROM_ANSWER, OUTSIDER_AS_MEMBER, NO_HORIZON,
 * HAND_OVER_WHILE_RUNNING. Each must make the assertion fail.
 */
#define LEASE 1
#define OUTAGE 2
#ifndef LAST_TIME
#define LAST_TIME 4
#endif
#ifndef EPOCHS
#define EPOCHS 2
#endif
#define NODES 3
#define NEVER 99

byte now = 0;
byte log_epoch = 1;          /* newest epoch in the log */
byte takeover_wait[4];       /* by epoch: how long a new owner waits before it runs orders */

byte known_epoch[NODES];     /* newest epoch that the node has read from the log */
byte epoch_read_at[12];      /* by node * 4 + epoch: when the node read the epoch */
byte lease_until[NODES];
byte last_log_read_at[NODES]; /* when the newest confirmed query of the log was sent */
byte query_sent_at[NODES];   /* when the pending query of the log was sent; NEVER if there is none */
byte response_epoch[NODES];  /* the epoch in the response to it */
bool unconfirmed_append[NODES]; /* the confirmation of an append was lost; cleared by reading the log */
bool is_recorded[NODES];     /* the node has a record that the order ran */
bool running[NODES];
bool handed_over[4];         /* by epoch: the previous owner has handed over */
byte horizon[4];             /* by epoch: the horizon that was handed over */

byte issued = NEVER;         /* when the caller issued the key */
byte runs = 0;

#define owner_of(epoch) ((epoch) % 2 == 1 -> 0 : 1)
/* Each epoch has one member, its owner, so that its own confirmation is that of all members. */
#define is_member(node) (owner_of(known_epoch[node]) == (node))
/* Node 1 always holds a lease: this only adds behaviours, so that no violation is missed. */
#define needs_lease(node) ((node) == 0)
#define read_at(node, epoch) epoch_read_at[(node) * 4 + (epoch)]

#define may_start_at(node, epoch) \
  (handed_over[epoch] -> 0 : read_at(node, epoch) + takeover_wait[epoch])
#ifdef NO_HORIZON
#define is_after_horizon(node, epoch) (true)
#else
#define is_after_horizon(node, epoch) \
  ((epoch) == 1 || \
   issued > (handed_over[epoch] -> horizon[epoch] : read_at(node, epoch) + takeover_wait[epoch]))
#endif

/* Node n may start the order in the epoch it knows. */
#define may_run(n) \
  (issued != NEVER && owner_of(known_epoch[n]) == n && (!needs_lease(n) || now < lease_until[n]) && \
   !is_recorded[n] && (known_epoch[n] == 1 || now >= may_start_at(n, known_epoch[n])) && \
   is_after_horizon(n, known_epoch[n]))

inline read_log(n) {
  do
  :: known_epoch[n] < log_epoch ->
     known_epoch[n]++;
     read_at(n, known_epoch[n]) = now;
     lease_until[n] = 0
  :: else -> break
  od;
  unconfirmed_append[n] = false
}

proctype node(byte n) {
  byte lease_from;
  do
  :: atomic { known_epoch[n] < log_epoch -> read_log(n) }
  :: atomic { unconfirmed_append[n] -> read_log(n) }
  :: atomic { /* queries the log; the response may arrive at any later time */
       needs_lease(n) && query_sent_at[n] == NEVER ->
       query_sent_at[n] = now;
       response_epoch[n] = log_epoch }
  :: atomic { /* the response arrives */
       query_sent_at[n] != NEVER ->
#ifdef LEASE_FROM_ANSWER
       lease_from = now;
#else
       lease_from = query_sent_at[n];
#endif
       if
       :: response_epoch[n] == known_epoch[n] ->
          last_log_read_at[n] = lease_from;
          if
          :: lease_from + LEASE > lease_until[n] -> lease_until[n] = lease_from + LEASE
          :: else
          fi
       :: else
       fi;
       query_sent_at[n] = NEVER;
       lease_from = 0 }
  :: atomic { /* all members confirm that they know no newer epoch */
       needs_lease(n) && is_member(n) && !unconfirmed_append[n] &&
       now + LEASE <= last_log_read_at[n] + OUTAGE && now + LEASE > lease_until[n] ->
       lease_until[n] = now + LEASE }
  :: atomic { /* writes the next assignment */
       log_epoch < EPOCHS && known_epoch[n] == log_epoch && !unconfirmed_append[n] ->
       log_epoch++;
       takeover_wait[log_epoch] = LEASE;
#ifndef OUTSIDER_AS_MEMBER
       if
       :: !is_member(n) -> takeover_wait[log_epoch] = LEASE + OUTAGE
       :: else
       fi;
#endif
#ifdef NO_WAIT
       takeover_wait[log_epoch] = 0;
#endif
       /* the remaining wait of the author's current epoch is carried over */
       if
       :: known_epoch[n] > 1 &&
          read_at(n, known_epoch[n]) + takeover_wait[known_epoch[n]] > now + takeover_wait[log_epoch] ->
          takeover_wait[log_epoch] = read_at(n, known_epoch[n]) + takeover_wait[known_epoch[n]] - now
       :: else
       fi;
       if
       :: unconfirmed_append[n] = true  /* the confirmation is lost */
       :: read_log(n)
       fi }
  :: atomic { may_run(n) -> runs++; assert(runs <= 1); is_recorded[n] = true; running[n] = true }
  :: atomic { running[n] -> running[n] = false }
  :: atomic { /* the owner of the previous epoch hands over */
       known_epoch[n] > 1 && owner_of(known_epoch[n] - 1) == n && !handed_over[known_epoch[n]] &&
       owner_of(known_epoch[n]) != n &&
#ifndef HAND_OVER_WHILE_RUNNING
       !running[n] &&
#endif
       (known_epoch[n] == 2 || handed_over[known_epoch[n] - 1] ||
        now >= read_at(n, known_epoch[n] - 1) + takeover_wait[known_epoch[n] - 1]) ->
       handed_over[known_epoch[n]] = true;
       if
       :: known_epoch[n] == 2 -> horizon[known_epoch[n]] = 0
       :: known_epoch[n] > 2 && handed_over[known_epoch[n] - 1] ->
          horizon[known_epoch[n]] = horizon[known_epoch[n] - 1]
       :: else ->
          horizon[known_epoch[n]] = read_at(n, known_epoch[n] - 1) + takeover_wait[known_epoch[n] - 1]
       fi;
       if
       :: is_recorded[n] && !running[n] -> is_recorded[owner_of(known_epoch[n])] = true
       :: else
       fi }
  :: now == LAST_TIME -> break
  od
}

proctype environment() {
  do
  :: atomic { now < LAST_TIME -> now++ }
  :: atomic { issued == NEVER -> issued = now + 1 }
  :: atomic { now == LAST_TIME -> break }
  od
}

init {
  atomic {
    byte n = 0;
    do
    :: n < NODES ->
       known_epoch[n] = 1;
       query_sent_at[n] = NEVER;
       run node(n);
       n++
    :: else -> break
    od;
    n = 0;
    run environment()
  }
}
