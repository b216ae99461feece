/*
 * Which shards of its availability zone this VM owns: free of I/O.
 *
 * The platform assigns each shard to one member.  The assignment says who may
 * take a shard that nobody holds; it does not take one away from a VM that
 * holds it and is well, so that a platform which deals everything anew moves
 * no work.  A VM that is assigned a shard which a live peer holds asks the
 * peer to yield it; the peer does so when it is leaving, or holds at least two
 * more shards than the one that asks.  It is not asked when, by what was last
 * heard of it, it would not.  Without the platform, what is held stays held.
 *
 * A VM that has just begun listens for a moment before it takes anything, and
 * one that was paused gives its peers a moment to be heard again.  A shard
 * that was yielded or fenced is taken again only when it was free for a while.
 *
 * Two VMs may for a while believe that they hold a shard.  That is harmless:
 * upstreams obey only the highest token, and the VM that learns of it gives
 * the shard up.  Where no upstream tells, a VM that hears a peer hold the
 * shard too gives it up when it is not assigned to it.
 *
 * Tokens: the platform's generation in the high bits, then a count of raises,
 * then 20 bits of a hash of the VM's name, so that no two VMs ever use the
 * same one: those whose bits agree are not assigned a shard by one generation.
 * Generations are below 2^35; tokens are below 2^63.
 */
#ifndef COORDINATION_OWNERSHIP_H
#define COORDINATION_OWNERSHIP_H

#include <glib.h>

struct ownership;
struct ownership_driver;

/* The most shards of one availability zone.  */
#define OWNERSHIP_MAX_SHARDS 64

/* A peer that was not heard for this long counts as gone, in microseconds.  */
#define OWNERSHIP_PEER_TIMEOUT_US (600 * G_GINT64_CONSTANT (1000))

/* A request to yield is repeated after this.  */
#define OWNERSHIP_YIELD_RETRY_US (200 * G_GINT64_CONSTANT (1000))

struct ownership_driver_ops
{
  /* This VM now owns SHARD; its upstreams are to be taken with TOKEN.  */
  void (*take) (struct ownership_driver *driver, guint shard, guint64 token);

  /* Nothing more is to be started in SHARD; ownership_released () tells when
     nothing runs there any longer.  */
  void (*release) (struct ownership_driver *driver, guint shard);

  /* Asks PEER to yield SHARD.  */
  void (*ask_to_yield) (struct ownership_driver *driver, const char *peer,
                        guint shard);
};

/* The first member of every driver.  */
struct ownership_driver
{
  const struct ownership_driver_ops *ops;
};

/* DRIVER must outlive the ownership.  VM is this VM's name, which should tell
   its lives apart: under an old name, a process that starts anew would use the
   tokens of its former life.  */
struct ownership *ownership_new (struct ownership_driver *driver,
                                 const char *vm);
void ownership_free (struct ownership *ownership);

/* The platform's word: this VM is to own exactly SHARDS, by GENERATION.  An
   older generation than one already known is ignored.  */
void ownership_assign (struct ownership *ownership, guint64 generation,
                       const guint *shards, guint n_shards, gint64 now_us);

/* PEER, of the own availability zone, holds the shards whose bits are set.  */
void ownership_update_peer (struct ownership *ownership, const char *peer,
                            guint64 held, gboolean is_leaving, gint64 now_us);

/* PEER asks this VM, which holds it, to yield SHARD.  PEER holds N_HELD.  */
void ownership_handle_yield_request (struct ownership *ownership,
                                     const char *peer, guint shard,
                                     guint n_held, gint64 now_us);

/* Nothing runs in SHARD any longer, after release ().  */
void ownership_released (struct ownership *ownership, guint shard,
                         gint64 now_us);

/* Upstreams of SHARD obey somebody else.  The shard is given up, and not
   taken again before it has been free for a while.  */
void ownership_fenced (struct ownership *ownership, guint shard,
                       gint64 now_us);

/* A token of this VM that is higher than TOKEN, for an upstream of SHARD that
   has refused TOKEN although nobody else holds the shard.  Tokens of later
   takes of SHARD are higher still.  */
guint64 ownership_raise (struct ownership *ownership, guint shard,
                         guint64 token);

/* This VM is leaving: every shard is released.  */
void ownership_leave (struct ownership *ownership, gint64 now_us);

/* The shards that are held, those being released included.  */
guint64 ownership_get_held (const struct ownership *ownership);

/* The token for SHARD, or 0 when it is not held or is being released.  */
guint64 ownership_get_token (const struct ownership *ownership, guint shard);

/* Passes the time; to be called several times a second.  */
void ownership_advance (struct ownership *ownership, gint64 now_us);

#endif
