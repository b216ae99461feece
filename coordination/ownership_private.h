/*
 * Declarations shared by the files that implement the ownership of shards; see
 * ownership.h.
 */
#ifndef COORDINATION_OWNERSHIP_PRIVATE_H
#define COORDINATION_OWNERSHIP_PRIVATE_H

#include "coordination/ownership.h"

/* Width of the hash of a VM's name in tokens.  */
#define OWNERSHIP_NAME_BITS 20

enum shard_state
{
  SHARD_FREE, /* not held by this VM */
  SHARD_HELD,
  SHARD_RELEASING,
};

struct shard
{
  enum shard_state state;
  guint64 token;             /* of the last time it was taken; 0 before */
  guint64 highest_token;     /* highest token ever issued for it; 0 before */
  gint64 yield_requested_us; /* last request to a peer to yield it; 0: never */
  gint64 retake_delay_us;    /* how long it must be free before a retake */
  gint64 retake_from_us;     /* end of that time, while it is free */
  gint64 conflict_since_us;  /* since when a peer holds it too; 0 while none
                                does */
  guint64 yielded_to;  /* hash of the name of the peer that it is released
                          for; 0 for none */
  guint64 granted_by;  /* hash of the name of the peer that yields it to this
                          VM; 0 for none */
  gint64 granted_us;   /* when it was granted */
  gint64 free_from_us; /* when it was found free after the grant; 0 before */
  guint n_raises;      /* of its token since it was taken */
};

struct ownership_peer
{
  char *name;
  guint64 name_hash;
  guint64 held; /* shards that it holds, as bits */
  gboolean is_leaving;
  gint64 heard_us;
  gboolean is_timeout_extended; /* its timeout was extended for a pause of this
                                VM; cleared when it is heard */
  guint n_yield_requests; /* recent requests to yield sent to it, which it may
                             still grant */
  guint64 incarnation;    /* 0 before it is known */
  guint capacity;         /* thousandths of a core; 0 for not known */
  gint64 capacity_since_us; /* when CAPACITY last changed */
  gint64 up_since_us;       /* when it was heard first, or again */
};

struct ownership
{
  struct ownership_driver *driver;
  char *vm;
  guint64 name_bits;  /* hash of the VM's name, in tokens; never 0 */
  guint64 generation; /* of the platform's latest assignment */
  guint64 assigned;   /* shards assigned to this VM, as bits */
  GHashTable *peers;  /* name -> struct ownership_peer */
  gboolean has_started;
  gboolean is_leaving;
  gint64 listen_until_us; /* takes no shard before this time */
  gint64 settled_from_us; /* takes no assigned shard before this time */
  gint64 settle_end_us;   /* settled_from_us is not after this time */
  gint64 now_us;          /* time of the last call */
  gboolean is_by_capacity;
  gboolean is_platform_reached;
  guint capacity;                /* of this VM; 0 for not known */
  guint average_capacity;        /* of the live VMs; 0 while shards are divided
                                    evenly */
  gboolean has_unknown_capacity; /* of a live peer */
  gint64 balance_from_us; /* asks for no shard by capacity before this time */
  gint64 balance_requested_us; /* last request by capacity; 0 for never */
  gint64 balance_blocked_us;   /* since when a peer that needs a shard more
                                  goes first; 0 while none does */
  guint n_balance_requests;
  struct shard shards[OWNERSHIP_MAX_SHARDS];
};

/* ownership.c */

/* The bits of the name whose hash is NAME_HASH in tokens; never 0.  */
guint64 ownership_get_name_bits (guint64 name_hash);

guint64 ownership_shard_bit (guint shard);
guint ownership_count_bits (guint64 bits);
guint64 ownership_get_shards_in_state (const struct ownership *o,
                                       enum shard_state state);
gboolean ownership_peer_is_heard (const struct ownership_peer *peer,
                                  gint64 now_us);
struct ownership_peer *ownership_ensure_peer (struct ownership *o,
                                              const char *name);

/* The live peer that holds SHARD, or NULL.  Of several, the one that holds the
   most shards.  */
struct ownership_peer *ownership_find_holder (struct ownership *o, guint shard,
                                              gint64 now_us);

/* Whether a peer was asked a moment ago to yield the shard NUMBER.  */
gboolean ownership_is_yield_requested (const struct ownership *o, guint number,
                                       gint64 now_us);

/* Takes the shard NUMBER, which must be free.  */
void ownership_take_shard (struct ownership *o, guint number);

/* Records the time of a call, and whether this VM was paused before it.  */
void ownership_update_time (struct ownership *o, gint64 now_us);

/* ownership_capacity.c */

/* Recomputes the average capacity of the live VMs.  */
void ownership_update_average (struct ownership *o, gint64 now_us);

/* Whether a VM with N_FROM shards and CAPACITY_FROM should yield one to a VM
   with N_TO shards and CAPACITY_TO; capacities may be 0 for not known.  */
gboolean ownership_is_fair_yield (const struct ownership *o, guint n_from,
                                  guint capacity_from, guint n_to,
                                  guint capacity_to);

/* Whether this VM should yield the shard NUMBER, which it holds, to a peer
   with N_HELD shards and CAPACITY.  */
gboolean ownership_may_yield (const struct ownership *o, guint number,
                              guint n_held, guint capacity);

/* The number of shards that peers have granted to this VM.  */
guint ownership_count_grants (const struct ownership *o);

/* The live PEER has released the shards DROPPED.  Another VM may be about to
   take them.  */
void ownership_note_drops (struct ownership *o,
                           const struct ownership_peer *peer, guint64 dropped,
                           gint64 now_us);

/* Takes the granted shards that are free, and drops grants that have become
   void.  */
void ownership_take_granted (struct ownership *o, gint64 now_us);

/* Does what is due to divide the shards by capacity.  */
void ownership_balance (struct ownership *o, gint64 now_us);

/* Asks for no shard by capacity before UNTIL_US.  */
void ownership_defer_balance (struct ownership *o, gint64 until_us);

#endif
