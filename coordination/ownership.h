/*
 * Decides which shards of its availability zone this VM owns.  Does no I/O.
 *
 * The platform assigns each shard to one member.  The assignment says who may
 * take a shard that nobody holds.  It does not take a shard away from a live
 * VM that holds it, so that no work moves when the platform assigns all shards
 * anew.  A VM that is assigned a shard which a live peer holds asks the peer
 * to yield it.  The peer yields it when it is leaving, or holds at least two
 * more shards than the VM that asks.  The peer is not asked if its last
 * beacon shows that it would refuse.  While the platform can't be reached, VMs
 * keep the shards that they hold.
 *
 * A VM that has just started listens to its peers for a moment before it takes
 * a shard.  One that was paused gives its peers a moment to be heard again.  A
 * shard that was yielded or fenced is taken again only after it was free for a
 * while.
 *
 * When shards are divided by capacity, a VM with N shards and a processor
 * capacity C yields one to a VM with M shards and a capacity D when
 * (N - 1/2) / C > (M + 1/2) / D: both then are nearer to their shares.  If all
 * have one capacity, that is the rule above.  A VM may then ask for any shard
 * of a peer, not only for one that is assigned to it, and takes that shard
 * when the peer has granted it and no longer reports it as held.  The VM that
 * it is assigned to leaves a shard which a live peer has released alone for a
 * moment.  The VM that needs a shard most asks first.  A VM whose capacity is
 * not known counts with the average, and is not asked for shards that are not
 * assigned to the one that asks.
 *
 * Two VMs may for a while believe that they hold the same shard.  That is
 * harmless: upstreams accept only the highest token, and the VM whose token is
 * refused gives the shard up.  If no upstream refuses a token, a VM that hears
 * that a peer holds the shard too gives it up, unless the shard is assigned to
 * this VM.
 *
 * A token consists of the platform's generation in the high bits, a count of
 * raises, and 20 bits of a hash of the VM's name.  No two VMs ever use the
 * same token: one generation does not assign a shard to two VMs whose 20 bits
 * are the same.  Generations are below 2^35, tokens below 2^63.
 */
#ifndef COORDINATION_OWNERSHIP_H
#define COORDINATION_OWNERSHIP_H

#include <glib.h>

struct ownership;
struct ownership_driver;

/* Maximum number of shards of one availability zone.  */
#define OWNERSHIP_MAX_SHARDS 64

/* A peer that was not heard for this long counts as gone.  */
#define OWNERSHIP_PEER_TIMEOUT_US (600 * G_GINT64_CONSTANT (1000))

/* A request to yield a shard is repeated after this.  */
#define OWNERSHIP_YIELD_RETRY_US (200 * G_GINT64_CONSTANT (1000))

struct ownership_driver_ops
{
  /* This VM now owns SHARD.  The driver takes its upstreams with TOKEN.  */
  void (*take_shard) (struct ownership_driver *driver, guint shard,
                      guint64 token);

  /* The driver starts nothing more in SHARD, and calls ownership_released ()
     once nothing runs there.  */
  void (*release_shard) (struct ownership_driver *driver, guint shard);

  /* Asks PEER to yield SHARD.  */
  void (*request_yield) (struct ownership_driver *driver, const char *peer,
                         guint shard);
};

/* The first member of every driver.  */
struct ownership_driver
{
  const struct ownership_driver_ops *ops;
};

/* DRIVER must outlive the ownership.  VM is this VM's name, which should
   differ for each incarnation of the process: under the same name, a restarted
   process would use the tokens of the former one again.  */
struct ownership *ownership_new (struct ownership_driver *driver,
                                 const char *vm);
void ownership_free (struct ownership *ownership);

/* The platform assigns exactly SHARDS to this VM, by GENERATION.  A generation
   that is lower than a known one is ignored.  */
void ownership_assign (struct ownership *ownership, guint64 generation,
                       const guint *shards, guint n_shards, gint64 now_us);

/* Applies a beacon of PEER, a VM of the own availability zone, which holds
   the shards whose bits are set in HELD.  */
void ownership_update_peer (struct ownership *ownership, const char *peer,
                            guint64 held, gboolean is_leaving, gint64 now_us);

/* Handles the request of PEER, which holds N_HELD shards, to yield SHARD to
   it.  Releases SHARD if this VM holds it and at least two more shards than
   PEER, or as the capacities of both demand.  Returns whether SHARD is
   being released for PEER, or was released for it last.  */
gboolean ownership_handle_yield_request (struct ownership *ownership,
                                         const char *peer, guint shard,
                                         guint n_held, gint64 now_us);

/* Handles the reply of PEER to the request to yield SHARD.  Returns whether it
   is granted now and was not before; FALSE unless shards are divided by
   capacity.  */
gboolean ownership_handle_yield_reply (struct ownership *ownership,
                                       const char *peer, guint shard,
                                       gboolean is_granted, gint64 now_us);

/* Divides the shards by capacity from now on, instead of evenly.  */
void ownership_share_by_capacity (struct ownership *ownership);

/* The capacity of this VM is MILLI_CORES thousandths of a core; 0 for not
   known.  */
void ownership_set_capacity (struct ownership *ownership, guint milli_cores,
                             gint64 now_us);

/* The incarnation and the capacity of PEER, as its beacon reports them; to be
   called before ownership_update_peer () is, for the same beacon.  */
void ownership_update_peer_capacity (struct ownership *ownership,
                                     const char *peer, guint64 incarnation,
                                     guint milli_cores, gint64 now_us);

/* Whether the platform answers.  While it does not, the assignment may be
   outdated, and no shard is requested by capacity.  */
void ownership_set_platform_reached (struct ownership *ownership,
                                     gboolean is_reached);

/* Every VM of the zone that may hold a shard was heard since the start: this
   VM need not listen any longer before it takes shards.  */
void ownership_end_listening (struct ownership *ownership, gint64 now_us);

/* Completes release_shard (): nothing runs in SHARD any more.  */
void ownership_released (struct ownership *ownership, guint shard,
                         gint64 now_us);

/* Upstreams of SHARD have a higher token of another VM.  Releases the shard,
   which is not taken again before it was free for a while.  */
void ownership_fenced (struct ownership *ownership, guint shard,
                       gint64 now_us);

/* Returns a token of this VM that is higher than TOKEN, for an upstream of
   SHARD that has refused TOKEN although no other VM holds the shard.  When
   SHARD is taken again later, its token is higher still.  */
guint64 ownership_raise (struct ownership *ownership, guint shard,
                         guint64 token);

/* This VM is leaving: releases every shard and takes none any more.  */
void ownership_leave (struct ownership *ownership, gint64 now_us);

/* The shards that are held, those being released included, as bits.  */
guint64 ownership_get_held (const struct ownership *ownership);

/* The number of shards that are held or that peers release for this VM.  To be
   sent with a request to yield.  */
guint ownership_count_claimed (const struct ownership *ownership);

/* The token for SHARD, or 0 when it is not held or is being released.  */
guint64 ownership_get_token (const struct ownership *ownership, guint shard);

/* Whether a shard is assigned to this VM that no live VM holds, so that this
   VM will take it.  */
gboolean ownership_is_acquiring (struct ownership *ownership, gint64 now_us);

/* Does what is due at NOW_US.  To be called several times a second.  */
void ownership_advance (struct ownership *ownership, gint64 now_us);

#endif
